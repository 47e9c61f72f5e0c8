// Guards against new flows that reach a target of an evacuated data centre, and against requests that fail because of an
// evacuation while other data centres have room.
#include "RelayScene.h"

#include "relay/TargetDirectory.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace relay_scene;

constexpr std::size_t agentsPerDataCentre = 4;

EvacuationSet evacuate(std::vector<std::string> dataCentres, std::uint64_t revision)
{
    return { std::move(dataCentres), { 1, revision } };
}

// Agents 0 to 3 are in north, as all entries are, and 4 to 7 in south.
std::unique_ptr<Scene> makeScene()
{
    std::unique_ptr<Scene> scene = std::make_unique<Scene>(4, 2 * agentsPerDataCentre);
    for (std::size_t index = agentsPerDataCentre; index < scene->agents.size(); ++index) {
        scene->agents[index]->dataCentre = "south";
        scene->startAgent(index);
    }
    scene->publishView();
    scene->runFor(500ms);
    return scene;
}

void tellEntries(Scene& scene, EvacuationSet const& set, std::size_t first = 0)
{
    for (std::size_t index = first; index < scene.entries.size(); ++index)
        scene.entries[index]->relay->setEvacuations(set, scene.now());
}

void tellAgents(Scene& scene, EvacuationSet const& set, std::size_t first = 0)
{
    for (std::size_t index = first; index < scene.agents.size(); ++index)
        scene.agents[index]->relay->setEvacuations(set, scene.now());
}

std::uint64_t openingsIn(Scene const& scene, std::string_view dataCentre)
{
    std::uint64_t openings = 0;
    for (std::unique_ptr<Agent> const& agent : scene.agents)
        openings += agent->dataCentre == dataCentre ? agent->target.openings : 0;
    return openings;
}

struct Failures {
    std::size_t refused { 0 };
    std::size_t reset { 0 };
    std::size_t unanswered { 0 };
};

Failures failuresOf(Scene const& scene)
{
    Failures failures;
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows) {
        for (Request const& request : flow->requests) {
            failures.refused += request.refused ? 1 : 0;
            failures.reset += request.reset ? 1 : 0;
            failures.unanswered += request.answered ? 0 : 1;
        }
    }
    return failures;
}

void requireNoFailure(Scene const& scene)
{
    Failures const failures = failuresOf(scene);
    BOOST_TEST(failures.refused == 0U);
    BOOST_TEST(failures.reset == 0U);
    BOOST_TEST(failures.unanswered == 0U);
}

// Opens flows that stay open, and returns those whose target is in north.
std::vector<CallerFlow*> openLongFlows(Scene& scene)
{
    std::vector<CallerFlow*> flows;
    for (std::size_t index = 0; index < 40; ++index) {
        flows.push_back(&scene.open(index % scene.entries.size()));
        scene.runFor(10ms);
    }
    scene.runFor(200ms);
    return flows;
}

// 4 targets with 3 slots and 20 ms serve 600 requests a second; the load is half of it.
constexpr double loadPerSecond = 300;

} // namespace

// Load: half of what one data centre serves, while every entry and agent knows of the evacuation.
BOOST_AUTO_TEST_CASE(NoFlowOpensInAnEvacuatedDataCentreAndOpenFlowsStay)
{
    std::unique_ptr<Scene> const scene = makeScene();
    std::vector<CallerFlow*> const longFlows = openLongFlows(*scene);
    (void)runTraffic(*scene, loadPerSecond, 1s, 200ms, anyEntry);
    EvacuationSet const set = evacuate({ "north" }, 1);
    tellEntries(*scene, set);
    tellAgents(*scene, set);
    scene->runFor(5ms);
    std::uint64_t const before = openingsIn(*scene, "north");
    BOOST_TEST(before > 100U);
    Answers const answers = runTraffic(*scene, loadPerSecond, 2s, 200ms, anyEntry);
    BOOST_TEST(answers.inTime == answers.all);
    BOOST_TEST(openingsIn(*scene, "north") == before);
    std::uint64_t requests = 0;
    for (std::size_t index = 0; index < agentsPerDataCentre; ++index)
        requests += scene->agents[index]->target.requests;
    for (CallerFlow* const flow : longFlows)
        scene->request(*flow);
    scene->runFor(1s);
    std::uint64_t requestsLater = 0;
    for (std::size_t index = 0; index < agentsPerDataCentre; ++index)
        requestsLater += scene->agents[index]->target.requests;
    BOOST_TEST(requestsLater > requests);
    requireNoFailure(*scene);
}

// Failure: one entry of four has not received the evacuation, and sends it a quarter of the load.
BOOST_AUTO_TEST_CASE(AgentsForwardTheOpeningsOfAStaleEntryOutOfTheDataCentre)
{
    std::unique_ptr<Scene> const scene = makeScene();
    (void)runTraffic(*scene, loadPerSecond, 1s, 200ms, anyEntry);
    EvacuationSet const set = evacuate({ "north" }, 1);
    tellEntries(*scene, set, 1);
    tellAgents(*scene, set);
    scene->runFor(5ms);
    std::uint64_t const before = openingsIn(*scene, "north");
    Answers const answers = runTraffic(*scene, loadPerSecond, 2s, 200ms, anyEntry);
    BOOST_TEST(answers.inTime == answers.all);
    BOOST_TEST(openingsIn(*scene, "north") == before);
    std::uint64_t arrived = 0;
    for (std::unique_ptr<Agent> const& agent : scene->agents)
        arrived += agent->relay->evacuatedOpeningCount();
    BOOST_TEST(arrived > 0U);
    requireNoFailure(*scene);
}

// Failure: one agent of the data centre has not received the evacuation and still reports that it accepts flows; the agents
// beside it receive openings of a stale entry.
BOOST_AUTO_TEST_CASE(NoInformedProcessSendsAnOpeningToAStaleAgent)
{
    std::unique_ptr<Scene> const scene = makeScene();
    (void)runTraffic(*scene, loadPerSecond, 1s, 200ms, anyEntry);
    EvacuationSet const set = evacuate({ "north" }, 1);
    tellEntries(*scene, set, 1);
    tellAgents(*scene, set, 1);
    scene->runFor(5ms);
    std::uint64_t const before = openingsIn(*scene, "north");
    std::size_t const decided = scene->decisions.decisions.size();
    Answers const answers = runTraffic(*scene, loadPerSecond, 2s, 200ms, anyEntry);
    BOOST_TEST(answers.inTime == answers.all);
    // What reaches the target comes straight from the stale entry.
    std::uint64_t forwarded = 0;
    std::uint64_t direct = 0;
    for (std::size_t index = decided; index < scene->decisions.decisions.size(); ++index) {
        RelayDecision const& decision = scene->decisions.decisions[index];
        bool const isToStale = decision.destination == scene->agents[0]->data;
        forwarded += isToStale && decision.outcome == "passed_first" ? 1 : 0;
        direct += decision.outcome == "admitted" && decision.destination == scene->agents[0]->targetEndpoint ? 1 : 0;
    }
    BOOST_TEST(forwarded == 0U);
    BOOST_TEST(openingsIn(*scene, "north") - before == direct);
    std::uint64_t counted = 0;
    for (std::size_t index = 1; index < scene->entries.size(); ++index)
        counted += scene->entries[index]->relay->evacuatedFlowCount();
    BOOST_TEST(counted == 0U);
    tellAgents(*scene, set);
    tellEntries(*scene, set);
    scene->runFor(5ms);
    std::uint64_t const informed = openingsIn(*scene, "north");
    (void)runTraffic(*scene, loadPerSecond, 1s, 200ms, anyEntry);
    BOOST_TEST(openingsIn(*scene, "north") == informed);
    requireNoFailure(*scene);
}

// Load: retransmissions, because the answers of the first targets are lost while the evacuation arrives.
BOOST_AUTO_TEST_CASE(RetransmittedOpeningsLeaveTheDataCentreToo)
{
    std::unique_ptr<Scene> const scene = makeScene();
    for (std::unique_ptr<Agent> const& agent : scene->agents)
        agent->target.up = false;
    for (std::size_t index = 0; index < 40; ++index)
        scene->open(index % scene->entries.size());
    scene->runFor(50ms);
    EvacuationSet const set = evacuate({ "north" }, 1);
    tellEntries(*scene, set);
    tellAgents(*scene, set);
    for (std::unique_ptr<Agent> const& agent : scene->agents)
        agent->target.up = true;
    scene->runFor(2s);
    BOOST_TEST(openingsIn(*scene, "north") == 0U);
    requireNoFailure(*scene);
}

// Failure: both data centres are evacuated.
BOOST_AUTO_TEST_CASE(CallersAreRefusedAtOnceIfAllDataCentresAreEvacuated)
{
    std::unique_ptr<Scene> const scene = makeScene();
    std::vector<CallerFlow*> const longFlows = openLongFlows(*scene);
    EvacuationSet const set = evacuate({ "north", "south" }, 1);
    tellAgents(*scene, set);
    tellEntries(*scene, set, 1);
    scene->runFor(5ms);
    std::uint64_t const before = openingsIn(*scene, "north") + openingsIn(*scene, "south");
    // Entry 0 is stale: an agent refuses what it sends.
    CallerFlow const& throughStale = scene->open(0);
    CallerFlow const& throughInformed = scene->open(1);
    scene->runFor(10ms);
    BOOST_TEST(throughStale.requests.front().refused);
    BOOST_TEST(throughInformed.requests.front().refused);
    BOOST_TEST(scene->decisions.count("refused_evacuated") == 1U);
    // A retransmission may follow a copy that opened the flow, so that it is not refused.
    scene->repeatOpening(throughStale, 2, 1);
    scene->runFor(10ms);
    BOOST_TEST(scene->decisions.count("dropped_evacuated") == 1U);
    BOOST_TEST((openingsIn(*scene, "north") + openingsIn(*scene, "south")) == before);
    for (CallerFlow* const flow : longFlows)
        scene->request(*flow);
    scene->runFor(1s);
    for (CallerFlow const* const flow : longFlows)
        BOOST_TEST((flow->requests.back().answered && !flow->requests.back().reset));
    tellAgents(*scene, evacuate({}, 2));
    tellEntries(*scene, evacuate({}, 2));
    scene->runFor(500ms);
    CallerFlow const& after = scene->open(1);
    scene->runFor(100ms);
    BOOST_TEST(after.requests.front().answered.has_value());
}

// Failure: the network delivers the original opening twice, the second time after the evacuation of all data centres. The
// target was offered the flow, so that the caller may have opened it.
BOOST_AUTO_TEST_CASE(ADuplicateOfAnOfferedOpeningIsNotRefused)
{
    std::unique_ptr<Scene> const scene = makeScene();
    CallerFlow const& flow = scene->open(0);
    scene->runFor(1200us); // the target has been offered the flow, and the caller has not received its answer
    EvacuationSet const set = evacuate({ "north", "south" }, 1);
    tellAgents(*scene, set);
    scene->repeatOpening(flow, 0, 0);
    // The entry offered the duplicate to another target, which it asks first for the flow.
    scene->runFor(200ms);
    BOOST_REQUIRE(flow.open);
    scene->repeatRequest(flow);
    scene->runFor(1s);
    BOOST_TEST(flow.requests.front().answered.has_value());
    BOOST_TEST(!flow.requests.front().reset);
    BOOST_TEST(!flow.requests.front().refused);
}

// Two data centres of three are evacuated: the choice leaves both out, also for a target that was offered the flow.
BOOST_AUTO_TEST_CASE(TheChoiceLeavesOutAllEvacuatedDataCentres)
{
    TargetDirectory directory("a", 1);
    ServiceView view;
    view.service = "desk";
    for (std::uint32_t number = 0; number < 9; ++number)
        view.targets.push_back({ "target-" + std::to_string(number), std::string(1, static_cast<char>('a' + number % 3)), { 0x0A020001U + number, 8173 } });
    TimePoint const now { 1000s };
    directory.setEvacuations(evacuate({ "a", "c" }, 1));
    directory.setView(view, now);
    TargetGroup& group = directory.findOrAddService("desk");
    std::array<Endpoint, 1> const asked { view.targets[1].data };
    for (int choice = 0; choice < 50; ++choice) {
        RelayRoute route;
        directory.chooseTargets(group, asked, now, route);
        BOOST_REQUIRE(route.candidateCount == 3U);
        for (RelayCandidate const& candidate : route.usedCandidates())
            BOOST_TEST((candidate.agent.address - 0x0A020001U) % 3 == 1U);
    }
    directory.setEvacuations(evacuate({ "a", "b", "c" }, 2));
    BOOST_TEST(TargetDirectory::isWhollyEvacuated(group));
    RelayRoute route;
    directory.chooseTargets(group, asked, now, route);
    BOOST_TEST(route.candidateCount == 0U);
}
