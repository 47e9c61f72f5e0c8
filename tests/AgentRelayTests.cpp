// Guards against packets of open flows that reach other targets, resets of flows that are open, new flows at targets that
// cannot take them, and flows that nobody answers for.
#include "RelayScene.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace relay_scene;

std::size_t ownerOf(Scene const& scene, CallerFlow const& flow)
{
    std::uint64_t const hash = hashRelayFlow({ flow.caller, serviceAddress });
    for (std::size_t index = 0; index < scene.agents.size(); ++index) {
        if (scene.agents[index]->target.flows.contains(hash))
            return index;
    }
    return scene.agents.size();
}

std::vector<CallerFlow*> openFlows(Scene& scene, std::size_t count)
{
    std::vector<CallerFlow*> flows;
    flows.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
        flows.push_back(&scene.open(0));
    return flows;
}

bool isAnswered(CallerFlow const& flow)
{
    return std::all_of(flow.requests.begin(), flow.requests.end(), [](Request const& request) { return request.answered.has_value(); });
}

bool isReset(CallerFlow const& flow)
{
    return std::any_of(flow.requests.begin(), flow.requests.end(), [](Request const& request) { return request.reset; });
}

std::uint64_t foreignSegments(Scene const& scene)
{
    std::uint64_t sum = 0;
    for (std::unique_ptr<Agent> const& agent : scene.agents)
        sum += agent->target.foreign;
    return sum;
}

/// A loss of power: targets come back without flows, and their agents know nothing.
void restartTargetsAndAgents(Scene& scene)
{
    for (std::size_t index = 0; index < scene.agents.size(); ++index) {
        scene.agents[index]->target.flows.clear();
        scene.startAgent(index);
    }
}

/// The entry starts anew and knows no flow; half a second later the caller sends a request.
void requestThroughNewEntry(Scene& scene, CallerFlow& flow, Duration wait)
{
    scene.startEntry(0);
    scene.runFor(500ms);
    scene.request(flow);
    scene.runFor(wait);
}

/// A caller's segment as an entry sends it to an agent.
///
/// \param limitTenths  expected time above which the flow is not to be taken
PacketVerdict decideRelayed(Scene& scene, std::size_t agent, Header const& header, std::string_view service = "desk", std::uint16_t limitTenths = 0)
{
    Bytes const packet = makePacket(header);
    RelayRoute route;
    route.serviceHash = hashService(service);
    route.latencyLimitTenthMs = limitTenths;
    KeyRing keys;
    keys.count = 1;
    Bytes datagram(maximumRelayHeaderBytes);
    datagram.resize(writeRelayPacket(route, packet, { keys, wallSeconds }, datagram));
    datagram.insert(datagram.end(), packet.begin(), packet.end());
    return scene.agents[agent]->relay->processRelayDatagram(datagram, scene.entries[0]->data, scene.now(), wallSeconds);
}

std::uint64_t outcomeCount(Scene const& scene, std::size_t agent, AgentRelayOutcome outcome)
{
    return scene.agents[agent]->relay->outcomeCounts()[static_cast<std::size_t>(outcome)];
}

} // namespace

BOOST_AUTO_TEST_CASE(AFlowOpensAndItsRequestsAreAnswered)
{
    Scene scene(2, 4);
    CallerFlow& flow = scene.open(0);
    scene.runFor(100ms);
    scene.request(flow);
    scene.runFor(100ms);
    BOOST_TEST(isAnswered(flow));
    BOOST_TEST(ownerOf(scene, flow) < scene.agents.size());
}

// The page's times must hold the wait at the target: a caller waits for both.
BOOST_AUTO_TEST_CASE(RequestTimesHoldTheWaitAtTheTarget)
{
    Scene scene(1, 1);
    scene.agents[0]->target.slots = 1;
    scene.agents[0]->target.serviceTime = 60ms;
    scene.open(0);
    scene.open(0);
    scene.runFor(1s);
    LatencyHistogram const& times = scene.agents[0]->relay->requestTimes();
    BOOST_TEST(times.total() == 2U);
    // 60 ms and, behind it, 120 ms.
    BOOST_TEST(times.sumSeconds() == 0.18, boost::test_tools::tolerance(1e-6));
}

// A steward's feed moves to an entry that has just joined and knows nothing of it.
BOOST_AUTO_TEST_CASE(AnotherEntryFindsTheOwner)
{
    Scene scene(2, 7);
    std::vector<CallerFlow*> const flows = openFlows(scene, 40);
    scene.runFor(2s);
    for (CallerFlow* const flow : flows) {
        flow->entry = 1;
        scene.request(*flow);
    }
    scene.runFor(300ms);
    for (CallerFlow const* const flow : flows)
        BOOST_TEST((isAnswered(*flow) && !isReset(*flow)));
    // Owners had told the agents that rank first.
    BOOST_TEST(foreignSegments(scene) == 0U);
}

// A search went from agent to agent and ended at a machine that was gone, so that for 2.8 s packets of an open flow
// reached other targets and its own none.
BOOST_AUTO_TEST_CASE(ADeadAgentDoesNotEndASearch)
{
    Scene scene(2, 7);
    std::vector<CallerFlow*> const flows = openFlows(scene, 40);
    scene.runFor(100ms);
    scene.agents[6]->up = false;
    for (CallerFlow* const flow : flows) {
        if (ownerOf(scene, *flow) == 6)
            continue;
        flow->entry = 1;
        scene.request(*flow);
    }
    // Callers repeat a segment after 200 ms.
    scene.runFor(200ms);
    for (CallerFlow* const flow : flows) {
        if (ownerOf(scene, *flow) != 6)
            scene.request(*flow);
    }
    scene.runFor(500ms);
    for (CallerFlow const* const flow : flows) {
        // The first of the two requests may have been lost at the dead agent; the scene's callers do not repeat it.
        if (ownerOf(scene, *flow) != 6)
            BOOST_TEST((flow->requests[1].answered.has_value() && !isReset(*flow)));
    }
}

// Agents learn of new targets every 10 s. While many targets were replaced, the agents that an entry asked did not know the
// owner's agent, so that for 2.9 s packets of an open flow reached other targets and its own none.
BOOST_AUTO_TEST_CASE(AnEntryNamesTheAgentsThatOthersDoNotKnow)
{
    Scene scene(2, 14);
    std::vector<CallerFlow*> const flows = openFlows(scene, 40);
    scene.runFor(100ms);
    ServiceView part;
    part.service = "desk";
    for (std::unique_ptr<Agent> const& agent : scene.agents)
        agent->relay->setView(part);
    for (CallerFlow* const flow : flows) {
        flow->entry = 1;
        scene.request(*flow);
    }
    // A segment that was only used to search is not delivered late; callers repeat it after 200 ms.
    scene.runFor(200ms);
    for (CallerFlow* const flow : flows)
        scene.request(*flow);
    scene.runFor(100ms);
    for (CallerFlow const* const flow : flows)
        BOOST_TEST((flow->requests[1].answered.has_value() && !isReset(*flow)));
}

// After a loss of power agents know few others, and callers of lost flows waited until their deadline.
BOOST_AUTO_TEST_CASE(AFlowThatNobodyHoldsIsResetThoughAgentsKnowNoOthers)
{
    Scene scene(1, 14);
    CallerFlow& flow = scene.open(0);
    scene.runFor(1s);
    ServiceView part;
    part.service = "desk";
    restartTargetsAndAgents(scene);
    for (std::unique_ptr<Agent> const& agent : scene.agents)
        agent->relay->setView(part);
    requestThroughNewEntry(scene, flow, 200ms);
    BOOST_TEST(isReset(flow));
}

// A restarted agent had an empty view, took its own answer for that of all agents, and reset an open flow. Entries ask
// now, and one that does not know all targets yet resets nothing.
BOOST_AUTO_TEST_CASE(AnEntryWithoutACompleteViewResetsNoOpenFlow)
{
    Scene scene(1, 4);
    std::vector<CallerFlow*> const flows = openFlows(scene, 40);
    scene.runFor(1s);
    scene.startEntry(0);
    ServiceView part;
    part.service = "desk";
    part.targets.push_back({ scene.agents[0]->name, "north", scene.agents[0]->data });
    scene.entries[0]->relay->setView(part, scene.now());
    scene.entries[0]->relay->setViewsComplete(false);
    scene.runFor(500ms);
    for (CallerFlow* const flow : flows)
        scene.request(*flow);
    scene.runFor(200ms);
    for (CallerFlow const* const flow : flows)
        BOOST_TEST(!isReset(*flow));
}

// An owner did not answer an entry that had started anew at the address through which the flow was opened. The entry went on
// searching, and reset the flow when the owner's load was late.
BOOST_AUTO_TEST_CASE(AnEntryThatStartedAnewLearnsTheOwner)
{
    Scene scene(1, 4);
    std::vector<CallerFlow*> const flows = openFlows(scene, 20);
    scene.runFor(1s);
    scene.startEntry(0);
    scene.runFor(500ms);
    for (CallerFlow* const flow : flows)
        scene.request(*flow);
    scene.runFor(300ms);
    std::size_t const searched = scene.decisions.count("search_forwarded");
    BOOST_TEST(searched > 0U);
    for (CallerFlow* const flow : flows)
        scene.request(*flow);
    scene.runFor(100ms);
    BOOST_TEST(scene.decisions.count("search_forwarded") == searched);
    for (CallerFlow const* const flow : flows)
        BOOST_TEST(isAnswered(*flow));
}

// A target that is falsely taken for dead may hold the flow.
BOOST_AUTO_TEST_CASE(ATargetTakenForDeadIsAskedToo)
{
    Scene scene(1, 4);
    std::vector<CallerFlow*> const flows = openFlows(scene, 40);
    scene.runFor(1s);
    scene.startEntry(0);
    ServiceView view = scene.view();
    view.targets[2].dead = true;
    scene.entries[0]->relay->setView(view, scene.now());
    scene.runFor(500ms);
    for (CallerFlow* const flow : flows)
        scene.request(*flow);
    scene.runFor(100ms);
    for (CallerFlow const* const flow : flows)
        BOOST_TEST((!isReset(*flow) && isAnswered(*flow)));
}

// The target goes on while its agent is replaced; the new agent must deliver what it has never seen.
BOOST_AUTO_TEST_CASE(ARestartedAgentDeliversFlowsFromBefore)
{
    Scene scene(1, 4);
    std::vector<CallerFlow*> const flows = openFlows(scene, 40);
    scene.runFor(1s);
    for (std::size_t index = 0; index < scene.agents.size(); ++index)
        scene.startAgent(index);
    scene.runFor(400ms);
    for (CallerFlow* const flow : flows)
        scene.request(*flow);
    scene.runFor(300ms);
    for (CallerFlow const* const flow : flows)
        BOOST_TEST((isAnswered(*flow) && !isReset(*flow)));
}

// After a loss of power targets hold no flows. Without a reset each caller would wait until its deadline.
BOOST_AUTO_TEST_CASE(AFlowThatNobodyHoldsIsReset)
{
    Scene scene(1, 4);
    CallerFlow& flow = scene.open(0);
    scene.runFor(1s);
    restartTargetsAndAgents(scene);
    requestThroughNewEntry(scene, flow, 50ms);
    BOOST_TEST(isReset(flow));
    BOOST_TEST(scene.entries[0]->relay->failedSearchTimes().total() == 1U);
    BOOST_TEST(scene.entries[0]->relay->successfulSearchTimes().total() == 0U);
}

// Targets that drained while the power was lost did not come back, but their agents did. These gave each lost flow to their
// target and waited for it to return the segment, so that 1,053 callers had no answer for 12 s.
BOOST_AUTO_TEST_CASE(AnAgentWithoutATargetDoesNotKeepAFlow)
{
    Scene scene(1, 4);
    CallerFlow& flow = scene.open(0);
    scene.runFor(1s);
    restartTargetsAndAgents(scene);
    Agent& lone = *scene.agents[2];
    lone.target.up = false;
    lone.state.isAccepting = false;
    lone.state.isAnnounced = false;
    lone.state.isGone = true;
    lone.relay->setTargetState(lone.state, scene.now());
    requestThroughNewEntry(scene, flow, 100ms);
    BOOST_TEST(isReset(flow));
}

// A target may be late with its announcement while it answers callers.
BOOST_AUTO_TEST_CASE(ATargetThatStillAnswersIsNotGone)
{
    Scene scene(1, 3);
    CallerFlow& first = scene.open(0);
    std::vector<CallerFlow*> const others = openFlows(scene, 40);
    scene.runFor(1s);
    std::size_t const owner = ownerOf(scene, first);
    CallerFlow* const second = *std::find_if(others.begin(), others.end(), [&](CallerFlow* flow) { return ownerOf(scene, *flow) == owner; });
    scene.startAgent(owner);
    scene.request(first);
    scene.runFor(50ms);
    Agent& agent = *scene.agents[owner];
    agent.state.isGone = true;
    agent.relay->setTargetState(agent.state, scene.now());
    requestThroughNewEntry(scene, *second, 100ms);
    BOOST_TEST((isAnswered(first) && isAnswered(*second) && !isReset(*second)));
}

// The caller's end of a lost flow had no answer. It was repeated every 1.6 s, and each time all agents were asked.
BOOST_AUTO_TEST_CASE(TheEndOfAFlowThatNobodyHoldsIsReset)
{
    Scene scene(1, 4);
    CallerFlow& flow = scene.open(0);
    scene.runFor(1s);
    restartTargetsAndAgents(scene);
    scene.startEntry(0);
    scene.runFor(500ms);
    scene.close(flow);
    scene.runFor(50ms);
    BOOST_TEST(isReset(flow));
}

// After a loss of power each lost flow was asked for at all targets, which had no flows of before: 5,000 searches a second
// at 43 targets of 0.15 cores delayed what came on new flows.
BOOST_AUTO_TEST_CASE(TargetsThatStartedWithTheirAgentsAreNotAsked)
{
    Scene scene(1, 4);
    CallerFlow& flow = scene.open(0);
    scene.runFor(1s);
    for (std::size_t index = 0; index < scene.agents.size(); ++index) {
        Agent& agent = *scene.agents[index];
        agent.target.flows.clear();
        agent.state.isStartObserved = true;
        scene.startAgent(index);
    }
    std::uint64_t const before = foreignSegments(scene);
    requestThroughNewEntry(scene, flow, 50ms);
    BOOST_TEST(isReset(flow));
    // The agent that the entry asks tries its own target all the same.
    BOOST_TEST(foreignSegments(scene) - before == 1U);
}

// A new target's record waited for the control budget; an entry that did not know it reset a flow that was open there.
BOOST_AUTO_TEST_CASE(AnEntryThatLacksANewTargetDoesNotResetAtOnce)
{
    Scene scene(2, 4);
    scene.runFor(11s);
    std::vector<CallerFlow*> const flows = openFlows(scene, 20);
    scene.runFor(100ms);
    ServiceView part = scene.view();
    part.targets.pop_back();
    scene.entries[1]->relay->setView(part, scene.now());
    scene.runFor(400ms);
    for (CallerFlow* const flow : flows) {
        flow->entry = 1;
        scene.request(*flow);
    }
    scene.runFor(1s);
    for (CallerFlow const* const flow : flows)
        BOOST_TEST(!isReset(*flow));
}

// One agent that does not answer may own the flow.
BOOST_AUTO_TEST_CASE(AFlowIsNotResetWhileAnAgentIsSilent)
{
    Scene scene(1, 4);
    CallerFlow& flow = scene.open(0);
    scene.runFor(1s);
    std::size_t const owner = ownerOf(scene, flow);
    scene.agents[owner]->up = false;
    requestThroughNewEntry(scene, flow, 1s);
    BOOST_TEST(!isReset(flow));
}

// The store still had records of targets that were gone when all entries started anew, and these never answered, so that
// no caller was told of its lost flow.
BOOST_AUTO_TEST_CASE(ATargetThatWasNeverHeardDoesNotKeepAFlow)
{
    Scene scene(1, 4);
    CallerFlow& flow = scene.open(0);
    scene.runFor(1s);
    std::size_t const owner = ownerOf(scene, flow);
    scene.agents[owner]->up = false;
    scene.startEntry(0);
    scene.runFor(3s);
    scene.request(flow);
    scene.runFor(200ms);
    BOOST_TEST(isReset(flow));
}

// The target that replaced another one holds none of its flows.
BOOST_AUTO_TEST_CASE(FlowsOfAReplacedTargetAreReset)
{
    Scene scene(1, 2);
    CallerFlow& flow = scene.open(0);
    scene.runFor(500ms);
    std::size_t const owner = ownerOf(scene, flow);
    scene.agents[owner]->target.flows.clear();
    scene.agents[owner]->relay->handleTargetReplacement();
    scene.request(flow);
    scene.runFor(10ms);
    BOOST_TEST(isReset(flow));
}

// A target answered data of a flow that it did not hold with a reset of its own, and the agent sent it to the caller.
BOOST_AUTO_TEST_CASE(AResetOfATargetThatNeverHadTheFlowStaysHere)
{
    Scene scene(1, 2);
    Bytes const reset = makePacket({ 1, 1, 0, serviceAddress, { 0x64400001U, 2000 }, resetFlag, 0 });
    PacketVerdict const verdict = scene.agents[0]->relay->processTargetDatagram(reset, scene.now(), wallSeconds);
    BOOST_TEST(!verdict.to.isSet());
}

BOOST_AUTO_TEST_CASE(ADrainingTargetTakesNoNewFlowsAndKeepsItsOwn)
{
    Scene scene(1, 3);
    CallerFlow& flow = scene.open(0);
    scene.runFor(500ms);
    std::size_t const owner = ownerOf(scene, flow);
    scene.agents[owner]->state.isAccepting = false;
    scene.agents[owner]->relay->setTargetState(scene.agents[owner]->state, scene.now());
    std::uint64_t const before = scene.agents[owner]->target.openings;
    for (int count = 0; count < 30; ++count)
        scene.open(0);
    scene.request(flow);
    scene.runFor(500ms);
    BOOST_TEST(scene.agents[owner]->target.openings == before);
    BOOST_TEST(isAnswered(flow));
}

// Targets that still started looked idle, so that nearly every new flow went to them first and came back.
BOOST_AUTO_TEST_CASE(ATargetThatReturnsOpeningsBeforeItsAnnouncementIsLeftAlone)
{
    Scene scene(1, 2);
    Agent& agent = *scene.agents[0];
    agent.state.isAnnounced = false;
    agent.relay->setTargetState(agent.state, scene.now());
    BOOST_TEST(agent.relay->load().isAccepting);
    Bytes const returned = makePacket({ 100, 0, 0, { 0x64400001U, 2000 }, serviceAddress, openingFlag | returnedFlag, 0 });
    PacketVerdict const verdict = agent.relay->processTargetDatagram(returned, scene.now(), wallSeconds);
    BOOST_TEST((verdict.to == scene.agents[1]->data));
    scene.runFor(1s);
    BOOST_TEST(!agent.relay->load().isAccepting);
    agent.state.isAnnounced = true;
    agent.relay->setTargetState(agent.state, scene.now());
    BOOST_TEST(agent.relay->load().isAccepting);
}

BOOST_AUTO_TEST_CASE(SegmentsOfAnotherServiceAreDropped)
{
    Scene scene(1, 1);
    PacketVerdict const verdict = decideRelayed(scene, 0, { 100, 0, 0, { 0x64400001U, 2000 }, serviceAddress, openingFlag, 0 }, "store");
    BOOST_TEST(!verdict.to.isSet());
    BOOST_TEST(outcomeCount(scene, 0, AgentRelayOutcome::DroppedWrongService) == 1U);
}

// Two targets answered the copies of an opening segment, and the caller acknowledged one. The agent of the other took the
// acknowledged number for its own target's, because numbers up to 2^26 higher counted as such, and reset the open flow when
// its target returned the segment.
BOOST_AUTO_TEST_CASE(ASegmentForAnotherAnswerIsNotTakenForAnOwnFlow)
{
    constexpr std::uint32_t answerSequence = 5000;
    constexpr std::uint32_t otherSequence = answerSequence + (1U << 25U);
    Endpoint const caller { 0x64400001U, 2000 };
    Scene scene(1, 2);
    (void)decideRelayed(scene, 0, { 100, 0, 0, caller, serviceAddress, openingFlag, 0 });
    Bytes const answer = makePacket({ answerSequence, 101, 0, serviceAddress, caller, openingFlag | acknowledgementFlag, 0 });
    (void)scene.agents[0]->relay->processTargetDatagram(answer, scene.now(), wallSeconds);

    Header const segment { 101, otherSequence + 1, 0, caller, serviceAddress, acknowledgementFlag, 100 };
    (void)decideRelayed(scene, 0, segment);
    Header returned = segment;
    returned.flags |= returnedFlag;
    (void)scene.agents[0]->relay->processTargetDatagram(makePacket(returned), scene.now(), wallSeconds);

    BOOST_TEST(outcomeCount(scene, 0, AgentRelayOutcome::Delivered) == 0U);
    BOOST_TEST(outcomeCount(scene, 0, AgentRelayOutcome::ResetLostFlow) == 0U);
}

// A replaced target had been offered a copy of an opening segment, and its agent took the flow, which was open elsewhere,
// for one that the old target had lost.
BOOST_AUTO_TEST_CASE(AReplacedTargetHasNotLostFlowsThatOpenedElsewhere)
{
    constexpr std::uint32_t answerSequence = 5000;
    constexpr std::uint32_t otherSequence = 90000;
    Endpoint const caller { 0x64400001U, 2000 };
    Scene scene(1, 2);
    (void)decideRelayed(scene, 0, { 100, 0, 0, caller, serviceAddress, openingFlag, 0 });
    Bytes const answer = makePacket({ answerSequence, 101, 0, serviceAddress, caller, openingFlag | acknowledgementFlag, 0 });
    (void)scene.agents[0]->relay->processTargetDatagram(answer, scene.now(), wallSeconds);
    scene.agents[0]->relay->handleTargetReplacement();

    (void)decideRelayed(scene, 0, { 101, otherSequence + 1, 0, caller, serviceAddress, acknowledgementFlag, 100 });
    BOOST_TEST(outcomeCount(scene, 0, AgentRelayOutcome::ResetLostFlow) == 0U);
}

// All targets of a service have more work than they can answer in time.
BOOST_AUTO_TEST_CASE(AnOverloadedTargetRefusesFirstCopiesOnlyAndOnlyWithinALimit)
{
    Scene scene(1, 1);
    AgentRelay& relay = *scene.agents[0]->relay;
    std::uint16_t port = 2000;
    auto const open = [&](std::uint32_t copy, std::uint16_t limit) {
        return decideRelayed(scene, 0, { 100, copy, 0, { 0x64400001U, ++port }, serviceAddress, openingFlag, 0 }, "desk", limit);
    };
    for (int count = 0; count < 12; ++count)
        scene.open(0);
    scene.runFor(15ms);
    BOOST_TEST_REQUIRE(relay.load().activeRequests == 12U);
    BOOST_TEST((open(0, 0).to == scene.agents[0]->app));
    BOOST_TEST((open(0, 10'000).to == scene.agents[0]->app));
    BOOST_TEST((open(0, 500).to == Endpoint { 0x64400001U, callerPort }));
    BOOST_TEST(!open(1, 500).to.isSet());
    BOOST_TEST(outcomeCount(scene, 0, AgentRelayOutcome::RefusedOverLimit) == 1U);
    BOOST_TEST(outcomeCount(scene, 0, AgentRelayOutcome::DroppedOverLimit) == 1U);
}
