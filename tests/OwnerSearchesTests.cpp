// Guards against searches whose cost grows with flows times targets, and callers of lost flows that wait.
//
// Pattern of the load: all machines of a large service lose power, and the callers of all open flows send their next
// segment within a second. At 109 targets such searches took 1 GB between data centres, and callers waited until their
// deadline.
#include "RelayScene.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace relay_scene;

std::vector<CallerFlow*> openFlows(Scene& scene, std::size_t count)
{
    std::vector<CallerFlow*> flows;
    for (std::size_t index = 0; index < count; ++index) {
        flows.push_back(&scene.open(index % scene.entries.size()));
        scene.runFor(2ms);
    }
    scene.runFor(1s);
    return flows;
}

std::size_t resetCount(std::vector<CallerFlow*> const& flows)
{
    return static_cast<std::size_t>(std::count_if(flows.begin(), flows.end(), [](CallerFlow const* flow) {
        return std::any_of(flow->requests.begin(), flow->requests.end(), [](Request const& request) { return request.reset; });
    }));
}

std::size_t answeredCount(std::vector<CallerFlow*> const& flows)
{
    return static_cast<std::size_t>(std::count_if(flows.begin(), flows.end(), [](CallerFlow const* flow) { return flow->requests.back().answered.has_value(); }));
}

/// Datagrams that the scene sends in a second without searches.
std::uint64_t idleDatagrams(Scene& scene)
{
    std::uint64_t const before = scene.deliveredCount();
    scene.runFor(1s);
    return scene.deliveredCount() - before;
}

} // namespace

BOOST_AUTO_TEST_CASE(CallersOfLostFlowsAreResetWithinASecondAtAnySize)
{
    for (std::size_t const targets : { 3U, 30U, 109U, 300U }) {
        Scene scene(2, targets);
        std::vector<CallerFlow*> const flows = openFlows(scene, 60);
        restartMachines(scene);
        scene.runFor(400ms);
        for (CallerFlow* const flow : flows)
            scene.request(*flow);
        scene.runFor(600ms);
        BOOST_TEST(resetCount(flows) == flows.size(), targets << " targets");
    }
}

// Retransmissions and the loss of further flows must not add a query to each target for each flow.
BOOST_AUTO_TEST_CASE(TheCostOfALostFlowDoesNotGrowWithTheTargets)
{
    for (std::size_t const targets : { 30U, 109U, 300U }) {
        Scene scene(1, targets);
        std::vector<CallerFlow*> const flows = openFlows(scene, 60);
        restartMachines(scene);
        scene.runFor(1500ms);
        std::uint64_t const idle = idleDatagrams(scene);
        std::uint64_t const before = scene.deliveredCount();
        for (CallerFlow* const flow : flows) {
            scene.request(*flow);
            scene.runFor(1ms);
        }
        scene.runFor(940ms);
        BOOST_TEST(resetCount(flows) == flows.size());
        // A flow costs its segment, the first agent's report, the target's return and the reset. The flows of 10 ms
        // share a query to each target and its reply.
        std::uint64_t const searches = scene.deliveredCount() - before - std::min(idle, scene.deliveredCount() - before);
        BOOST_TEST(searches <= 10 * flows.size() + 16 * targets, targets << " targets");
    }
}

BOOST_AUTO_TEST_CASE(FurtherSegmentsOfALostFlowAreResetWithoutASearch)
{
    Scene scene(1, 20);
    CallerFlow& flow = scene.open(0);
    scene.runFor(1s);
    restartMachines(scene);
    scene.runFor(500ms);
    scene.request(flow);
    scene.runFor(200ms);
    std::size_t const searched = scene.decisions.count("search_forwarded");
    std::size_t const reset = scene.decisions.count("reset_lost");
    scene.request(flow);
    scene.runFor(10ms);
    BOOST_TEST(scene.decisions.count("search_forwarded") == searched);
    BOOST_TEST(scene.decisions.count("reset_lost") == reset + 1);
}

// The caller's next flow may have the same endpoints.
BOOST_AUTO_TEST_CASE(ANewFlowWithTheEndpointsOfALostOneIsServed)
{
    Scene scene(1, 8);
    CallerFlow& flow = scene.open(0);
    scene.runFor(1s);
    restartMachines(scene);
    scene.runFor(500ms);
    scene.request(flow);
    scene.runFor(200ms);
    BOOST_TEST(resetCount({ &flow }) == 1U);
    Bytes const opening = makePacket({ 100, 0, 0, flow.caller, serviceAddress, openingFlag, 0 });
    BOOST_TEST(scene.entries[0]->relay->processCallerDatagram(opening, scene.now(), wallClockSeconds).to.isSet());
    Bytes const later = makePacket({ 101, 9000, 0, flow.caller, serviceAddress, acknowledgementFlag, 10 });
    (void)scene.entries[0]->relay->processCallerDatagram(later, scene.now(), wallClockSeconds);
    BOOST_TEST(scene.entries[0]->relay->outcomeCounts()[static_cast<std::size_t>(EntryRelayOutcome::ForwardedToOwner)] == 1U);
}

// Entries and agents are killed while the targets keep all flows.
BOOST_AUTO_TEST_CASE(OpenFlowsAreFoundAfterAllProcessesWereKilled)
{
    for (std::size_t const targets : { 7U, 109U }) {
        Scene scene(2, targets);
        std::vector<CallerFlow*> const flows = openFlows(scene, 40);
        for (std::size_t index = 0; index < targets; ++index)
            scene.startAgent(index);
        for (std::size_t index = 0; index < scene.entries.size(); ++index)
            scene.startEntry(index);
        scene.runFor(400ms);
        for (CallerFlow* const flow : flows)
            scene.request(*flow);
        scene.runFor(200ms);
        BOOST_TEST(resetCount(flows) == 0U);
        BOOST_TEST(answeredCount(flows) == flows.size(), targets << " targets");
    }
}

// Every reply of a query is lost once: open flows must not be taken for lost, and lost ones must end.
BOOST_AUTO_TEST_CASE(ASilentAgentIsQueriedAgain)
{
    Scene scene(1, 12);
    std::vector<CallerFlow*> const flows = openFlows(scene, 10);
    restartMachines(scene);
    scene.runFor(1500ms);
    scene.agents[4]->up = false;
    for (CallerFlow* const flow : flows)
        scene.request(*flow);
    scene.runFor(250ms);
    BOOST_TEST(resetCount(flows) == 0U);
    scene.agents[4]->up = true;
    scene.runFor(700ms);
    BOOST_TEST(resetCount(flows) == flows.size());
}

// An agent that was frozen replies to the queries of an entry's earlier process. The numbers of its queries began at one,
// and such replies were taken for those to the queries of the new process about other flows.
BOOST_AUTO_TEST_CASE(RepliesToAnEarlierProcessAreNotTaken)
{
    Scene scene(1, 4);
    std::vector<CallerFlow*> const flows = openFlows(scene, 8);
    KeyRing keys;
    keys.count = 1;
    for (int restart = 0; restart < 3; ++restart) {
        for (std::unique_ptr<Agent> const& agent : scene.agents)
            agent->up = false;
        scene.startEntry(0);
        scene.runFor(100ms);
        for (CallerFlow* const flow : flows)
            scene.request(*flow);
        scene.runFor(200ms);
        BOOST_TEST(scene.entries[0]->relay->searchMessageCount() > 0U);
        Bytes reply(maximumRelayMessageBytes);
        for (std::uint32_t number = 1; number <= 64; ++number) {
            std::size_t const bytes = writeRelayFlowQueryReply(hashService("desk"), number, {}, { keys, wallClockSeconds }, reply);
            for (std::unique_ptr<Agent> const& agent : scene.agents)
                BOOST_TEST(!scene.entries[0]->relay->processAgentMessage(agent->data, std::span<std::byte const>(reply).first(bytes), scene.now(), wallClockSeconds));
        }
    }
    BOOST_TEST(resetCount(flows) == 0U);
}

// Views change at each replacement of a target.
BOOST_AUTO_TEST_CASE(LostFlowsEndWhileTargetsAreReplacedOneByOne)
{
    Scene scene(1, 40);
    std::vector<CallerFlow*> const flows = openFlows(scene, 20);
    restartMachines(scene);
    scene.runFor(500ms);
    for (CallerFlow* const flow : flows)
        scene.request(*flow);
    ServiceView view = scene.view();
    for (int step = 0; step < 6; ++step) {
        view.targets[static_cast<std::size_t>(step)].draining = true;
        scene.entries[0]->relay->setView(view, scene.now());
        scene.runFor(100ms);
    }
    BOOST_TEST(resetCount(flows) == flows.size());
}
