// Guards against resets of open flows after a configuration gave their address, or a part of its new flows, to another service:
// entries searched only the targets of the service that a new flow would get, and none of them holds the flow.
#include "MovedScene.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace {

using namespace relay_scene;

/// Many services with a target each; some of them share the address and have open flows.
struct ManyServicesScene : Scene {
    explicit ManyServicesScene(std::size_t serviceCount)
        : Scene(1, 3)
    {
        for (std::size_t index = 0; index < serviceCount; ++index)
            names_.push_back("service-" + std::to_string(index));
        for (std::string const& name : names_)
            addAgent(name);
        publishView();
        configure(shared({ { names_.front(), 30 }, { names_[serviceCount / 2], 30 }, { names_.back(), 30 } }));
        runFor(12s);
        constexpr std::size_t flowCount = 12;
        for (std::size_t index = 0; index < flowCount; ++index)
            open(0);
        runFor(1s);
    }

    void checkAfterTheAddressMoved()
    {
        configure(shared({ { mainService } }));
        startEntry(0);
        for (std::unique_ptr<CallerFlow> const& flow : flows)
            request(*flow);
        runFor(callerTimeout);
        for (std::unique_ptr<CallerFlow> const& flow : flows) {
            BOOST_TEST(flow->open);
            BOOST_TEST(flow->requests.back().answered.has_value());
        }
        BOOST_TEST(decisions.count("reset_lost") == 0U);
    }

private:
    std::vector<std::string> names_;
};

} // namespace

BOOST_AUTO_TEST_CASE(FlowsStayOpenWhenTheWeightsChangeAndTheEntriesAreReplaced)
{
    MovedScene scene(2);
    scene.configure(shared({ { mainService, 10 }, { nextService, 90 } }));
    scene.runFor(5s);
    scene.checkAfterRestartOfEntries();
    scene.runFor(8s);
    scene.checkThatAllAreServed();
}

// The hash of a flow selects a share by its remainder, so that other numbers in the same proportion move flows as well.
BOOST_AUTO_TEST_CASE(FlowsStayOpenWhenTheWeightsAreScaled)
{
    MovedScene scene(2);
    scene.configure(shared({ { mainService, 9 }, { nextService, 1 } }));
    scene.checkAfterRestartOfEntries();
}

// The new configuration does not name the service whose targets hold the flows.
BOOST_AUTO_TEST_CASE(FlowsStayOpenWhenTheAddressMovesToAnotherService)
{
    MovedScene scene(2, { { mainService } });
    scene.configure(shared({ { nextService } }));
    scene.runFor(5s);
    scene.checkAfterRestartOfEntries();
}

BOOST_AUTO_TEST_CASE(FlowsStayOpenWhenAddressesSplitAndMergeAgain)
{
    MovedScene scene(2, { { mainService } });
    scene.configure(shared({ { mainService, 50 }, { nextService, 50 } }));
    scene.checkAfterRestartOfEntries();
    scene.configure(shared({ { nextService } }));
    scene.checkAfterRestartOfEntries();
}

BOOST_AUTO_TEST_CASE(FlowsStayOpenWhenAllSharesAreZero)
{
    MovedScene scene(2);
    scene.configure(shared({ { mainService, 0 }, { nextService, 0 } }));
    scene.checkAfterRestartOfEntries();
}

// Flows are found while the address is served, also if it was not for some time.
BOOST_AUTO_TEST_CASE(FlowsAreFoundWhenTheAddressIsBackAtAnotherService)
{
    MovedScene scene(2, { { mainService } });
    scene.configure({});
    scene.runFor(5s);
    scene.restartEntries();
    scene.configure(shared({ { nextService } }));
    scene.runFor(500ms);
    scene.checkThatAllAreServed();
}

// The configuration changes while an entry searches.
BOOST_AUTO_TEST_CASE(ASearchGoesOnWhenTheAddressMoves)
{
    MovedScene scene(1, { { mainService } });
    scene.restartEntries();
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows)
        scene.request(*flow);
    scene.runFor(1ms);
    scene.configure(shared({ { nextService } }));
    scene.runFor(callerTimeout);
    BOOST_TEST(scene.decisions.count("reset_lost") == 0U);
    scene.checkThatAllAreServed();
}

// Entries are replaced in turn, and the ones that leave hand over the owners of their flows.
BOOST_AUTO_TEST_CASE(FlowsStayOpenWhenEntriesAreReplacedInTurn)
{
    MovedScene scene(3);
    scene.configure(shared({ { mainService, 10 }, { nextService, 90 } }));
    for (std::size_t index = 0; index < scene.entries.size(); ++index) {
        scene.entries[index]->up = false;
        for (std::unique_ptr<CallerFlow> const& flow : scene.flows)
            flow->entry = flow->entry == index ? (index + 1) % scene.entries.size() : flow->entry;
        scene.checkThatAllAreServed();
        scene.startEntry(index);
        scene.runFor(1s);
    }
    scene.checkThatAllAreServed();
}

// Processes of agents and entries are killed at the same moment after the change: nothing remembers the flows but the targets.
BOOST_AUTO_TEST_CASE(FlowsStayOpenWhenAgentsAndEntriesAreReplacedTogether)
{
    MovedScene scene(2);
    scene.configure(shared({ { mainService, 10 }, { nextService, 90 } }));
    scene.runFor(5s);
    for (std::size_t index = 0; index < scene.agents.size(); ++index)
        scene.startAgent(index);
    scene.checkAfterRestartOfEntries();
}

// The agents cannot tell what their targets hold, but this entry has seen that the address was theirs.
BOOST_AUTO_TEST_CASE(FlowsStayOpenWhenTheAddressMovesAndAgentsAreReplaced)
{
    MovedScene scene(2, { { mainService } });
    scene.configure(shared({ { nextService } }));
    scene.runFor(5s);
    for (std::size_t index = 0; index < scene.agents.size(); ++index)
        scene.startAgent(index);
    // The other entry knows the owners of half of the flows.
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows)
        flow->entry = 1 - flow->entry;
    scene.runFor(500ms);
    scene.checkThatAllAreServed();
}

// Guards against flows that stay silent: the new agent does not know what its target holds, and no entry has seen that the address was
// the service's. Other agents of the service have the owner recorded.
BOOST_AUTO_TEST_CASE(FlowsAreFoundThroughRecordedOwnersWhenAnAgentAndAllEntriesAreReplaced)
{
    MovedScene scene(2, { { mainService } });
    scene.configure(shared({ { nextService } }));
    scene.runFor(5s);
    scene.startAgent(0);
    scene.checkAfterRestartOfEntries();
    for (std::unique_ptr<Agent> const& agent : scene.agents)
        BOOST_TEST((agent->service != nextService || agent->target.unknownSegments > 0U));
    BOOST_TEST(scene.agents[1]->target.unknownSegments + scene.agents[2]->target.unknownSegments == 0U);
}

// Guards against segments that reach targets of a service that had their address in no configuration that this entry has seen. The
// agents have just started and cannot tell what their targets hold: the flow is neither shown to them nor reset.
BOOST_AUTO_TEST_CASE(SegmentsAreNotShownToTargetsOfForeignServices)
{
    MovedScene scene(2, { { mainService } });
    scene.configure(shared({ { nextService } }));
    scene.restartEntries();
    for (std::size_t index = 0; index < scene.agents.size(); ++index)
        scene.startAgent(index);
    scene.runFor(500ms);
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows)
        scene.request(*flow);
    scene.runFor(2 * callerTimeout);
    BOOST_TEST(scene.decisions.count("reset_lost") == 0U);
    for (std::unique_ptr<Agent> const& agent : scene.agents)
        BOOST_TEST((agent->service != mainService || agent->target.unknownSegments == 0U));
}

// Guards against flows that stay silent among many services: the replies of most agents arrived when the entry had forgotten
// the query, and each round sent the queries in the same order again.
BOOST_AUTO_TEST_CASE(FlowsAreFoundAmongThousandsOfServices)
{
    ManyServicesScene scene(2500);
    scene.checkAfterTheAddressMoved();
}

// As above, with more services than remembered queries: those whose agents have replied are not queried again.
BOOST_AUTO_TEST_CASE(FlowsAreFoundAmongMoreServicesThanRememberedQueries)
{
    ManyServicesScene scene(6000);
    for (std::unique_ptr<Agent> const& agent : scene.agents) {
        agent->state.isStartObserved = true;
        agent->relay->setTargetState(agent->state, scene.now());
    }
    scene.checkAfterTheAddressMoved();
}

// Guards against queries that are forgotten while agents start: each first load report repeated the queries of all services.
BOOST_AUTO_TEST_CASE(FlowsAreFoundAmongThousandsOfServicesWhoseAgentsReportOneByOne)
{
    ManyServicesScene scene(2500);
    constexpr std::size_t kindOffset = 1;
    scene.linkRule = [random = std::mt19937(5)](Bytes const& datagram) mutable -> std::optional<Duration> {
        if (datagram[kindOffset] == std::byte { static_cast<std::uint8_t>(RelayMessageKind::LoadReport) })
            return std::chrono::milliseconds { random() % 2000 };
        bool const isReply = datagram[kindOffset] == std::byte { static_cast<std::uint8_t>(RelayMessageKind::FlowQueryReply) };
        return isReply ? Duration(100ms) : Duration(linkDelay);
    };
    scene.checkAfterTheAddressMoved();
}

// The agent of an owner that the view lacks refuses segments that name another service.
BOOST_AUTO_TEST_CASE(AnUnlistedOwnerReceivesSegmentsWhenTheAddressMoves)
{
    MovedScene scene(1, { { mainService } });
    ServiceView reduced = scene.view();
    reduced.targets.erase(reduced.targets.begin());
    scene.entries[0]->relay->setView(reduced, scene.now());
    // A notice of the owner shows that it runs; it answers the segment that the entry had on its way.
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows)
        scene.request(*flow);
    scene.runFor(1s);
    scene.configure(shared({ { nextService } }));
    std::size_t const refused = scene.decisions.count("dropped_service");
    scene.checkThatAllAreServed();
    BOOST_TEST(scene.decisions.count("dropped_service") == refused);
}

// After a power loss the targets of no service hold the flow. The targets of other services must not delay the reset.
BOOST_AUTO_TEST_CASE(CallersOfLostFlowsAreResetWithinASecondWithOtherServices)
{
    MovedScene scene(2);
    for (std::size_t index = 0; index < 9; ++index)
        scene.addAgent(otherService);
    scene.publishView();
    // No load report of the former processes is under way when the new ones start.
    scene.runFor(1050ms);
    restartMachines(scene);
    scene.runFor(400ms);
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows)
        scene.request(*flow);
    scene.runFor(600ms);
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows)
        BOOST_TEST(flow->requests.back().reset);
}

// As above, if the targets of other services have not announced themselves yet, so that their agents know nothing of them.
BOOST_AUTO_TEST_CASE(TargetsThatHaveNotAnnouncedThemselvesDoNotDelayAResetAfterAPowerLoss)
{
    MovedScene scene(2);
    for (std::size_t index = 0; index < 9; ++index)
        scene.addAgent(otherService);
    scene.publishView();
    scene.runFor(1050ms);
    restartMachines(scene);
    for (std::unique_ptr<Agent> const& agent : scene.agents) {
        if (agent->service != otherService)
            continue;
        agent->state = {};
        agent->relay->setTargetState(agent->state, scene.now());
    }
    scene.runFor(400ms);
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows)
        scene.request(*flow);
    scene.runFor(600ms);
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows)
        BOOST_TEST(flow->requests.back().reset);
}

// As above, if targets of other services started with their agents, and the agents did not see it.
BOOST_AUTO_TEST_CASE(TargetsThatStartedWithTheirAgentsDoNotDelayAReset)
{
    MovedScene scene(2);
    for (std::size_t index = 0; index < 9; ++index)
        scene.addAgent(otherService);
    scene.publishView();
    scene.runFor(1050ms);
    for (std::unique_ptr<Agent> const& agent : scene.agents) {
        agent->state.isStartObserved = agent->service != otherService;
        agent->state.hasStartedWithAgent = true;
        agent->target.flows.clear();
    }
    for (std::size_t index = 0; index < scene.agents.size(); ++index)
        scene.startAgent(index);
    scene.restartEntries();
    scene.runFor(400ms);
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows)
        scene.request(*flow);
    scene.runFor(600ms);
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows)
        BOOST_TEST(flow->requests.back().reset);
}

// A search that the flow's own service answers costs the targets of other services nothing.
BOOST_AUTO_TEST_CASE(OtherServicesAreNotSearchedForFlowsOfTheOwnOne)
{
    MovedScene scene(2, { { mainService } });
    scene.checkAfterRestartOfEntries();
    BOOST_TEST(scene.decisions.count("search_widened") == 0U);
    for (std::unique_ptr<Agent> const& agent : scene.agents)
        BOOST_TEST((agent->service == mainService || agent->target.unknownSegments == 0U));
}
