// Guards against resets of flows that may be open, retransmissions sent to a dead target again, and work that
// accumulates at slow, busy or few targets.
#include "RelayScene.h"

#include <boost/test/unit_test.hpp>

#include <random>

namespace {

using namespace relay_scene;

PacketVerdict sendOpening(Scene& scene, std::size_t entry, std::uint16_t port, std::uint32_t copy, Endpoint address = serviceAddress)
{
    static Bytes packet;
    packet = makePacket({ 100, copy, 0, { 0x64400001U, port }, address, openingFlag, 0 });
    return scene.entries[entry]->relay->processCallerDatagram(packet, scene.now(), wallClockSeconds);
}

// The platform's callers retransmit after 200 ms, and then with doubled intervals.
void retransmitRequests(Scene& scene)
{
    for (Duration const wait : { 200ms, 400ms, 800ms }) {
        scene.runFor(wait);
        for (std::unique_ptr<CallerFlow> const& flow : scene.flows) {
            if (!flow->requests.back().answered)
                scene.repeatRequest(*flow);
        }
    }
}

void requestOnAllFlows(Scene& scene)
{
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows)
        scene.request(*flow);
    retransmitRequests(scene);
    scene.runFor(600ms);
}

} // namespace

BOOST_AUTO_TEST_CASE(AnAddressWithoutARouteIsRefusedAtOnce)
{
    Scene scene(1, 2);
    PacketVerdict const verdict = sendOpening(scene, 0, 2000, 0, { 0xC6120009U, 443 });
    BOOST_TEST((verdict.to == Endpoint { 0x64400001U, callerPort }));
    BOOST_TEST(verdict.header.size() == 31U);
    BOOST_TEST((verdict.header[30] == std::byte { resetFlag }));
}

// An earlier copy may have opened the flow through another entry with a newer configuration.
BOOST_AUTO_TEST_CASE(ALaterCopyIsNeverRefused)
{
    Scene scene(1, 2);
    PacketVerdict const verdict = sendOpening(scene, 0, 2000, 1, { 0xC6120009U, 443 });
    BOOST_TEST(!verdict.to.isSet());
}

BOOST_AUTO_TEST_CASE(AnEntryWithoutConfigurationRefusesNothing)
{
    Scene scene(1, 2);
    division::SegmentFormat const codec;
    SceneSender sender(scene, { 0x0A010009U, 7735 });
    EntryRelayOptions options;
    options.keys.count = 1;
    EntryRelay relay(options, codec, sender, scene.decisions);
    Bytes const packet = makePacket({ 100, 0, 0, { 0x64400001U, 2000 }, serviceAddress, openingFlag, 0 });
    BOOST_TEST(!relay.processCallerDatagram(packet, scene.now(), wallClockSeconds).to.isSet());
}

// The first target may be dead; a second attempt there would cost the caller another 400 ms.
BOOST_AUTO_TEST_CASE(ACopyGoesToAnotherTarget)
{
    Scene scene(1, 3);
    Endpoint const first = sendOpening(scene, 0, 2000, 0).to;
    Endpoint const second = sendOpening(scene, 0, 2000, 1).to;
    Endpoint const third = sendOpening(scene, 0, 2000, 2).to;
    BOOST_TEST((first != second));
    BOOST_TEST((second != third));
    BOOST_TEST((first != third));
}

// A caller acknowledges the first of two targets that answered; the second must not receive its segments.
BOOST_AUTO_TEST_CASE(AFlowThatTwoTargetsAnsweredStaysAtTheAcknowledgedOne)
{
    Scene scene(1, 3);
    Bytes const opening = makePacket({ 100, 0, 0, { 0x64400001U, 2000 }, serviceAddress, openingFlag, 0 });
    CallerFlow& flow = scene.open(0);
    scene.runFor(100us);
    flow.retransmissions = 1;
    scene.runFor(800us);
    // The retransmission arrives before the answer to the original.
    Bytes const copy = makePacket({ 100, 1, 0, flow.caller, serviceAddress, openingFlag, 0 });
    PacketVerdict const verdict = scene.entries[0]->relay->processCallerDatagram(copy, scene.now(), wallClockSeconds);
    Bytes sent(verdict.header.begin(), verdict.header.end());
    sent.insert(sent.end(), verdict.payload.begin(), verdict.payload.end());
    scene.deliver(scene.entries[0]->data, verdict.to, sent);
    scene.runFor(200ms);
    scene.request(flow);
    scene.runFor(200ms);
    std::uint64_t unknownSegments = 0;
    std::size_t requests = 0;
    for (std::unique_ptr<Agent> const& agent : scene.agents) {
        unknownSegments += agent->target.unknownSegments;
        requests += agent->target.requests;
    }
    BOOST_TEST(unknownSegments == 0U);
    BOOST_TEST(requests == 2U);
    BOOST_TEST(flow.requests.back().answered.has_value());
}

// An agent that restarts beside a draining target knows nothing of it and reports that it accepts flows.
BOOST_AUTO_TEST_CASE(ADrainingTargetTakesNoNewFlowsAfterARestartOfItsAgent)
{
    Scene scene(1, 4);
    Agent& agent = *scene.agents[1];
    agent.state.isAccepting = false;
    agent.relay->setTargetState(agent.state, scene.now());
    scene.runFor(500ms);
    scene.startAgent(1);
    agent.state.isAnnounced = false;
    agent.relay->setTargetState(agent.state, scene.now());
    scene.runFor(500ms);
    std::uint64_t const before = agent.target.openings;
    runTraffic(scene, 300, 1s, 60ms, [](std::mt19937& /*random*/) { return std::size_t { 0 }; });
    BOOST_TEST(agent.target.openings == before);
    agent.state.isAnnounced = true;
    agent.relay->setTargetState(agent.state, scene.now());
    scene.runFor(500ms);
    runTraffic(scene, 300, 1s, 60ms, [](std::mt19937& /*random*/) { return std::size_t { 0 }; });
    BOOST_TEST(agent.target.openings > before);
}

// Steady load at 70 percent of the slots: new flows must not queue at one target while another is free.
BOOST_AUTO_TEST_CASE(SteadyLoadIsAnsweredInTime)
{
    Scene scene(4, 7);
    Answers const answers = runTraffic(scene, 700, 3s, 60ms, anyEntry);
    BOOST_TEST(answers.inTime >= answers.all * 98 / 100);
}

// A burst of 1.7 times the usual load, which fills all slots, for a second.
BOOST_AUTO_TEST_CASE(ABurstIsAnsweredInTime)
{
    Scene scene(4, 7);
    runTraffic(scene, 550, 1s, 60ms, anyEntry);
    Answers const answers = runTraffic(scene, 935, 1s, 120ms, anyEntry);
    BOOST_TEST(answers.inTime >= answers.all * 95 / 100);
}

// One of seven targets becomes five times slower: it must not dominate the worst response times.
BOOST_AUTO_TEST_CASE(ASlowTargetGetsLessWork)
{
    Scene scene(4, 7);
    runTraffic(scene, 500, 1s, 60ms, anyEntry);
    scene.agents[3]->target.serviceTime = 100ms;
    runTraffic(scene, 500, 1s, 120ms, anyEntry);
    std::uint64_t const before = scene.agents[3]->target.requests;
    std::size_t const firstFlow = scene.flows.size();
    Answers const answers = runTraffic(scene, 500, 2s, 120ms, anyEntry);
    std::uint64_t const slow = scene.agents[3]->target.requests - before;
    BOOST_TEST(answers.inTime >= answers.all * 95 / 100);
    // An equal share is a seventh of the requests; its slots can serve one in 31.
    BOOST_TEST(slow <= (scene.flows.size() - firstFlow) / 14);
}

// Half of the callers move to one data centre, so that one entry carries most of the load.
BOOST_AUTO_TEST_CASE(AnEntryWithMostOfTheLoadSpreadsIt)
{
    Scene scene(4, 7);
    Answers const answers = runTraffic(scene, 700, 2s, 60ms, [](std::mt19937& random) { return random() % 2 == 0 ? std::size_t { 0 } : random() % 4; });
    BOOST_TEST(answers.inTime >= answers.all * 98 / 100);
}

// Long flows that open while all targets are idle must not accumulate at a few of them.
BOOST_AUTO_TEST_CASE(LongFlowsAreSpreadEvenly)
{
    Scene scene(4, 7);
    std::mt19937 random(5);
    for (int count = 0; count < 280; ++count) {
        scene.open(random() % 4);
        scene.runFor(10ms);
    }
    scene.runFor(1s);
    std::size_t most = 0;
    for (std::unique_ptr<Agent> const& agent : scene.agents)
        most = std::max(most, agent->target.flows.size());
    BOOST_TEST(most <= 50U);
}

// A caller cannot tell a refusal at a recently added address from an entry that does not serve the address yet.
BOOST_AUTO_TEST_CASE(NewAddressesHaveNoLimitForSomeTime)
{
    Scene scene(1, 2);
    Endpoint const added { 0xC6120001U, 8080 };
    Service service;
    service.name = "desk";
    service.addresses.push_back({ serviceAddress, Protocol::Tcp });
    service.addresses.push_back({ added, Protocol::Tcp });
    for (ServiceAddress& address : service.addresses)
        address.targetLatency = 400ms;
    scene.entries[0]->relay->setConfiguration({ { service } }, scene.now());
    auto const limitOf = [&](std::uint16_t port, Endpoint address) {
        PacketVerdict const verdict = sendOpening(scene, 0, port, 0, address);
        Bytes sent(verdict.header.begin(), verdict.header.end());
        sent.insert(sent.end(), verdict.payload.begin(), verdict.payload.end());
        KeyRing keys;
        keys.count = 1;
        return decodeRelayMessage(sent, keys, wallClockSeconds).route.latencyLimitTenthMs;
    };
    BOOST_TEST(limitOf(2000, serviceAddress) > 0U);
    BOOST_TEST(limitOf(2001, added) == 0U);
    scene.runFor(31s);
    BOOST_TEST(limitOf(2002, added) > 0U);
}

// Guards against a reset of an open flow whose target the entry does not know: a member record that was late, or lost while
// machines were cut off. A notice of the owner outweighs the view of the entry.
BOOST_AUTO_TEST_CASE(AnOwnerThatTheViewLacksKeepsItsFlows)
{
    Scene scene(2, 6);
    // Each entry lacks other targets, so that the agents that hold owner records differ.
    ServiceView first = scene.view();
    first.targets.erase(first.targets.begin(), first.targets.begin() + 2);
    ServiceView second = scene.view();
    second.targets.pop_back();
    scene.entries[0]->relay->setView(first, scene.now());
    scene.entries[1]->relay->setView(second, scene.now());
    scene.runFor(10s);
    constexpr std::size_t flowCount = 60;
    for (std::size_t index = 0; index < flowCount; ++index)
        scene.open(0);
    scene.runFor(1s);
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows)
        flow->entry = 1;
    requestOnAllFlows(scene);
    // The retransmissions of the last request pass the other entry again.
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows) {
        scene.request(*flow);
        flow->entry = 0;
    }
    retransmitRequests(scene);
    scene.runFor(5s);
    std::size_t unanswered = 0;
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows) {
        for (Request const& request : flow->requests) {
            BOOST_TEST(!request.reset);
            unanswered += request.answered ? 0 : 1;
        }
    }
    BOOST_TEST(unanswered == 0U);
}

// Guards against a crash: an agent whose address another service had used before was chosen to hold owner records, and
// the entry did not find its service.
BOOST_AUTO_TEST_CASE(OwnersAreSentToAnAgentWhoseAddressWasReused)
{
    Scene scene(1, 3);
    ServiceView other;
    other.service = "mail";
    other.targets.push_back({ "old", "north", scene.agents[0]->data });
    EntryRelay& entry = *scene.entries[0]->relay;
    entry.setView(other, scene.now());
    entry.setView(scene.view(), scene.now());
    other.targets.clear();
    entry.setView(other, scene.now());
    for (std::size_t index = 0; index < 20; ++index)
        scene.open(0);
    scene.runFor(2s);
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows)
        BOOST_TEST(flow->requests.back().answered.has_value());
}

// Guards against decisions that operators cannot trace: every new flow has a reason at its entry and at its agent.
BOOST_AUTO_TEST_CASE(NewFlowsAreCountedByReason)
{
    Scene scene(1, 3);
    constexpr std::uint64_t flowCount = 30;
    for (std::uint64_t count = 0; count < flowCount; ++count) {
        scene.open(0);
        scene.runFor(50ms);
    }
    std::vector<SiteCounts> const sites = scene.entries[0]->relay->siteCounts(scene.now());
    BOOST_TEST_REQUIRE(sites.size() == 1U);
    BOOST_TEST(sites[0].dataCentre == "north");
    BOOST_TEST(sites[0].flows[static_cast<std::size_t>(RemoteReason::Local)] == flowCount);
    BOOST_TEST((sites[0].extraTenthMs == 0.0));
    std::uint64_t admitted = 0;
    for (std::unique_ptr<Agent> const& agent : scene.agents) {
        agent->relay->visitOpeningCounts([&admitted](std::string_view action, std::string_view reason, std::uint64_t count) {
            admitted += action == "admit" && reason == "has_room" ? count : 0;
        });
    }
    BOOST_TEST(admitted == flowCount);
    std::vector<RelayDecision> const& decisions = scene.decisions.decisions;
    BOOST_TEST(std::all_of(decisions.begin(), decisions.end(), [](RelayDecision const& decision) { return decision.outcome == "first_forwarded" ? decision.reason == "local" : decision.outcome != "admitted" || decision.reason == "has_room"; }));
}
