// Guards against cold targets that receive more than they sustain, and against refusals while others have room.
#include "RelayScene.h"

#include "balancing/ColdLimit.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace relay_scene;

constexpr std::size_t agentsPerDataCentre = 4;
constexpr double coldRate = 10.5;
constexpr std::size_t coldAllowance = 10;

// 4 targets with 3 slots and 20 ms serve 600 requests a second.
constexpr double usualLoad = 300;

// Agents 0 to 3 are in north, as all entries are, and 4 to 7 in south.
std::unique_ptr<Scene> makeScene()
{
    std::unique_ptr<Scene> scene = std::make_unique<Scene>(4, 2 * agentsPerDataCentre);
    for (std::size_t index = agentsPerDataCentre; index < scene->agents.size(); ++index) {
        scene->agents[index]->dataCentre = "south";
        scene->startAgent(index);
    }
    scene->publishView();
    for (std::unique_ptr<Agent> const& agent : scene->agents)
        agent->relay->setColdRate(coldRate);
    scene->runFor(500ms);
    return scene;
}

void announce(Scene& scene, std::size_t index, std::chrono::milliseconds warmUp)
{
    Agent& agent = *scene.agents[index];
    agent.state.lastAnnouncement = scene.now();
    agent.state.remainingWarmUp = warmUp;
    agent.relay->setTargetState(agent.state, scene.now());
}

void setEvacuations(Scene& scene, EvacuationSet const& set)
{
    for (std::unique_ptr<Entry> const& entry : scene.entries)
        entry->relay->setEvacuations(set, scene.now());
    for (std::unique_ptr<Agent> const& agent : scene.agents)
        agent->relay->setEvacuations(set, scene.now());
}

// Largest number of openings of a target in a second, from a time on.
std::size_t mostInAnySecond(FakeTarget const& target, TimePoint from)
{
    std::vector<TimePoint> times;
    std::copy_if(target.openingTimes.begin(), target.openingTimes.end(), std::back_inserter(times), [from](TimePoint time) { return time >= from; });
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] > 1s)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

void requireNoFailure(Scene const& scene)
{
    std::size_t refused = 0;
    std::size_t reset = 0;
    std::size_t unanswered = 0;
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows) {
        for (Request const& request : flow->requests) {
            refused += request.refused ? 1 : 0;
            reset += request.reset ? 1 : 0;
            unanswered += request.answered ? 0 : 1;
        }
    }
    BOOST_TEST(refused == 0U);
    BOOST_TEST(reset == 0U);
    BOOST_TEST(unanswered == 0U);
}

} // namespace

// Twice the rate passed at the boundary of two fixed seconds.
BOOST_AUTO_TEST_CASE(TheLimitHoldsInAnySecond)
{
    ColdLimit limit;
    TimePoint now { 1000s };
    BOOST_TEST(limit.hasRoom(now));
    BOOST_TEST(limit.allowance() == 0U);
    limit.setRate(3.9);
    BOOST_TEST(limit.allowance() == 3U);
    for (int delivery = 0; delivery < 3; ++delivery) {
        BOOST_TEST(limit.hasRoom(now));
        limit.recordDelivery(now);
        now += 100ms;
    }
    BOOST_TEST(!limit.hasRoom(now));
    BOOST_TEST(!limit.hasRoom(TimePoint { 1001s }));
    BOOST_TEST(limit.hasRoom(TimePoint { 1001s } + 1ms));
    limit.recordDelivery(TimePoint { 1001s } + 1ms);
    BOOST_TEST(!limit.hasRoom(TimePoint { 1001s } + 2ms));
    // A lower rate counts what was delivered before.
    limit.setRate(1);
    BOOST_TEST(!limit.hasRoom(TimePoint { 1002s }));
    BOOST_TEST(limit.hasRoom(TimePoint { 1002s } + 2ms));
    // A rate below 1 lets one through, because 0 stands for no limit.
    limit.setRate(0.2);
    BOOST_TEST(limit.allowance() == 1U);
    limit.setRate(0);
    BOOST_TEST(limit.hasRoom(TimePoint { 1001s }));
}

// Load: half of what one data centre serves, while an evacuation of the other one ends. Its targets were idle.
BOOST_AUTO_TEST_CASE(TargetsAreColdAfterAnEvacuationUntilTheyAnnounceThemselves)
{
    std::unique_ptr<Scene> const scene = makeScene();
    setEvacuations(*scene, { { "north" }, { 1, 1 } });
    (void)runTraffic(*scene, usualLoad, 1s, 200ms, anyEntry);
    setEvacuations(*scene, { {}, { 1, 2 } });
    TimePoint const withdrawn = scene->now();
    (void)runTraffic(*scene, usualLoad, 2s, 200ms, anyEntry);
    for (std::size_t index = 0; index < agentsPerDataCentre; ++index) {
        BOOST_TEST(mostInAnySecond(scene->agents[index]->target, withdrawn) <= coldAllowance);
        BOOST_TEST(mostInAnySecond(scene->agents[index]->target, withdrawn) >= coldAllowance / 2);
        BOOST_TEST(scene->agents[index]->relay->load().coldAllowance == coldAllowance);
    }
    for (std::size_t index = 0; index < agentsPerDataCentre; ++index)
        announce(*scene, index, 0ms);
    scene->runFor(500ms);
    TimePoint const warm = scene->now();
    (void)runTraffic(*scene, usualLoad, 1s, 200ms, anyEntry);
    for (std::size_t index = 0; index < agentsPerDataCentre; ++index)
        BOOST_TEST(mostInAnySecond(scene->agents[index]->target, warm) > 2 * coldAllowance);
    requireNoFailure(*scene);
}

// Load: 1.5 times the usual load, when all targets of a data centre return at once and are cold for 3 s.
BOOST_AUTO_TEST_CASE(AColdDataCentreRampsUpWithoutRefusals)
{
    std::unique_ptr<Scene> const scene = makeScene();
    setEvacuations(*scene, { { "north" }, { 1, 1 } });
    (void)runTraffic(*scene, 1.5 * usualLoad, 1s, 200ms, anyEntry);
    setEvacuations(*scene, { {}, { 1, 2 } });
    TimePoint const withdrawn = scene->now();
    for (std::size_t index = 0; index < agentsPerDataCentre; ++index)
        announce(*scene, index, 3s);
    Answers const answers = runTraffic(*scene, 1.5 * usualLoad, 3s, 200ms, anyEntry);
    BOOST_TEST(answers.inTime == answers.all);
    std::size_t returned = 0;
    for (std::size_t index = 0; index < agentsPerDataCentre; ++index) {
        BOOST_TEST(mostInAnySecond(scene->agents[index]->target, withdrawn) <= coldAllowance);
        BOOST_TEST(mostInAnySecond(scene->agents[index]->target, withdrawn) >= coldAllowance / 2);
        scene->agents[index]->relay->visitOpeningCounts([&returned](std::string_view /*action*/, std::string_view reason, std::uint64_t count) { returned += reason == "cold" ? count : 0; });
    }
    // Entries send a cold target about its rate, and hand-backs correct the rest.
    BOOST_TEST(returned < answers.all / 4);
    requireNoFailure(*scene);
}

// Failure: every target starts at once, under 7 times what they take while they are cold. What no target takes is refused at
// once, with the reason.
BOOST_AUTO_TEST_CASE(OpeningsBeyondAllColdTargetsAreRefusedAtOnce)
{
    std::unique_ptr<Scene> const scene = makeScene();
    for (std::size_t index = 0; index < scene->agents.size(); ++index)
        announce(*scene, index, 10s);
    scene->runFor(2s);
    TimePoint const started = scene->now();
    (void)runTraffic(*scene, 560, 2s, 200ms, anyEntry);
    std::size_t served = 0;
    for (std::unique_ptr<Agent> const& agent : scene->agents) {
        BOOST_TEST(mostInAnySecond(agent->target, started) <= coldAllowance);
        served += agent->target.openingTimes.size();
    }
    // 8 targets take 10 a second each.
    BOOST_TEST(served >= 140U);
    std::size_t refused = 0;
    std::size_t unanswered = 0;
    for (std::unique_ptr<CallerFlow> const& flow : scene->flows) {
        Request const& request = flow->requests.front();
        refused += request.refused ? 1 : 0;
        unanswered += request.refused || request.answered ? 0 : 1;
        BOOST_TEST(!request.reset);
    }
    BOOST_TEST(unanswered == 0U);
    BOOST_TEST(refused > 0U);
}

// Load: requests on an open flow, which cannot be moved; they leave less for new flows.
BOOST_AUTO_TEST_CASE(RequestsOnOpenFlowsConsumeTheAllowance)
{
    std::unique_ptr<Scene> const scene = std::make_unique<Scene>(1, 1);
    scene->agents[0]->relay->setColdRate(5);
    CallerFlow& flow = scene->open(0);
    scene->runFor(2s);
    announce(*scene, 0, 10s);
    for (int request = 0; request < 5; ++request) {
        scene->request(flow);
        scene->runFor(50ms);
    }
    CallerFlow const& refused = scene->open(0);
    scene->runFor(100ms);
    BOOST_TEST(refused.requests.front().refused);
    for (Request const& request : flow.requests)
        BOOST_TEST(request.answered.has_value());
    scene->runFor(1s);
    CallerFlow const& later = scene->open(0);
    scene->runFor(100ms);
    BOOST_TEST(later.requests.front().answered.has_value());
}

// Failure: an agent restarts beside a target whose state it does not know.
BOOST_AUTO_TEST_CASE(ATargetIsColdUntilItHasAnnouncedItself)
{
    std::unique_ptr<Scene> const scene = std::make_unique<Scene>(1, 2);
    Agent& agent = *scene->agents[0];
    agent.relay->setColdRate(4);
    BOOST_TEST(agent.relay->load().coldAllowance == 0U);
    agent.state.isAnnounced = false;
    agent.relay->setTargetState(agent.state, scene->now());
    BOOST_TEST(agent.relay->load().coldAllowance == 4U);
}
