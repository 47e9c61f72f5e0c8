// Guards against resets of open flows by an entry that sheds load, against a changed behaviour without declared limits, and
// against flows that are searched for after their entry has left the rotation.
#include "RelayScene.h"
#include "balancing/LinkBudget.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace relay_scene;

std::uint64_t countOf(Scene& scene, std::size_t entry, EntryRelayOutcome outcome)
{
    return scene.entries[entry]->relay->outcomeCounts()[static_cast<std::size_t>(outcome)];
}

EntryResources linkOf(double megabits)
{
    EntryResources resources;
    resources.linkMbps = megabits;
    return resources;
}

PacketVerdict sendOpening(Scene& scene, std::size_t entry, std::uint16_t port, std::uint32_t copy)
{
    static Bytes packet;
    packet = makePacket({ 100, copy, 0, { 0x64410001U, port }, serviceAddress, openingFlag, 0 });
    return scene.entries[entry]->relay->processCallerDatagram(packet, scene.now(), wallClockSeconds);
}

// Sends segments of an open flow at a rate. Their verdicts are not delivered.
void sendSegments(Scene& scene, std::size_t entry, CallerFlow const& flow, std::uint16_t dataBytes, double megabits, std::chrono::milliseconds time)
{
    Bytes const packet = makePacket({ 1 + flow.nextSequence, flow.targetSequence + 1, 0, flow.caller, serviceAddress, acknowledgementFlag, dataBytes });
    double const linkBytes = static_cast<double>(packet.size() + datagramHeaderBytes);
    double owed = 0;
    for (std::chrono::milliseconds passed { 0 }; passed < time; passed += 10ms) {
        scene.runFor(10ms);
        for (owed += megabits * 1250; owed >= linkBytes; owed -= linkBytes)
            (void)scene.entries[entry]->relay->processCallerDatagram(packet, scene.now(), wallClockSeconds);
    }
}

// Starts a scene of entries with these links in one data centre that know of each other.
std::unique_ptr<Scene> makeScene(std::vector<double> const& links)
{
    std::unique_ptr<Scene> scene = std::make_unique<Scene>(links.size(), 4);
    for (std::size_t index = 0; index < links.size(); ++index) {
        scene->entryResources = linkOf(links[index]);
        scene->startEntry(index);
    }
    for (std::size_t index = 0; index < links.size(); ++index) {
        std::vector<EntryPeer> peers;
        for (std::size_t other = 0; other < links.size(); ++other) {
            if (other != index)
                peers.push_back({ entryNameHash("entry-" + std::to_string(other + 1)), scene->entries[other]->data });
        }
        scene->entries[index]->relay->setEntryPeers(peers);
    }
    scene->runFor(2s);
    return scene;
}

} // namespace

// Load: bulk fills a link of 10 Mbit/s.
BOOST_AUTO_TEST_CASE(OnlyNewBulkFlowsAreRefused)
{
    std::unique_ptr<Scene> const scene = makeScene({ 10 });
    CallerFlow& flow = scene->open(0);
    scene->runFor(300ms);
    BOOST_REQUIRE(flow.open);
    sendSegments(*scene, 0, flow, 1200, 12, 1s);
    // A retransmission may belong to a flow that an earlier copy opened.
    PacketVerdict const copy = sendOpening(*scene, 0, 2000, 1);
    BOOST_TEST(copy.to.isSet());
    BOOST_TEST(copy.to.port != callerPort);
    // The same opening, repeated by the network.
    scene->repeatOpening(flow, 0, 0);
    BOOST_TEST(countOf(*scene, 0, EntryRelayOutcome::RefusedLink) == 0U);
    PacketVerdict const refused = sendOpening(*scene, 0, 2001, 0);
    BOOST_TEST((refused.to == Endpoint { 0x64410001U, callerPort }));
    BOOST_TEST((refused.header[30] == std::byte { resetFlag }));
    BOOST_TEST(countOf(*scene, 0, EntryRelayOutcome::RefusedLink) == 1U);
    // Its retransmission, which the caller does not send after a reset, is not refused either.
    BOOST_TEST(sendOpening(*scene, 0, 2001, 1).to.port != callerPort);
    scene->request(flow);
    scene->runFor(300ms);
    BOOST_TEST(!flow.requests.back().reset);
    BOOST_TEST(countOf(*scene, 0, EntryRelayOutcome::ResetLostFlow) == 0U);
}

// Load: as before, without declared limits.
BOOST_AUTO_TEST_CASE(WithoutLimitsNothingIsRefusedOrPaced)
{
    std::unique_ptr<Scene> const scene = makeScene({ 0, 0, 0 });
    CallerFlow& flow = scene->open(0);
    scene->runFor(300ms);
    sendSegments(*scene, 0, flow, 1200, 12, 1s);
    BOOST_TEST(sendOpening(*scene, 0, 2001, 0).to.port != callerPort);
    Bytes const packet = makePacket({ 1 + flow.nextSequence, flow.targetSequence + 1, 0, flow.caller, serviceAddress, acknowledgementFlag, 1200 });
    BOOST_TEST(!scene->entries[0]->relay->processCallerDatagram(packet, scene->now(), wallClockSeconds).isBulk);
    BOOST_TEST(!scene->entries[0]->relay->shouldLeaveRotation());
    EntryResourceReport const report = scene->entries[0]->relay->resourceReport(scene->now());
    BOOST_TEST(report.rotation.knownOthers == 0U);
    BOOST_TEST(report.linkUtilisation == 0);
    BOOST_TEST(report.receivedBytes > 1'000'000U);
}

// Load: small segments fill the link of 10 Mbit/s of one entry of four. Flows that open in the last second before the
// fabric stops using it move to another entry, which must not search among all targets: their segments would wait for
// round trips.
BOOST_AUTO_TEST_CASE(FlowsOfAnEntryThatLeavesFindTheirOwnerAtOnce)
{
    std::unique_ptr<Scene> const scene = makeScene({ 10, 200, 200, 200 });
    BOOST_TEST(scene->entries[0]->relay->resourceReport(scene->now()).rotation.knownOthers == 3U);
    CallerFlow& busy = scene->open(0);
    scene->runFor(300ms);
    for (int index = 0; index < 40 && !scene->entries[0]->relay->shouldLeaveRotation(); ++index)
        sendSegments(*scene, 0, busy, 400, 9, 100ms);
    BOOST_REQUIRE(scene->entries[0]->relay->shouldLeaveRotation());
    BOOST_TEST(!scene->entries[1]->relay->shouldLeaveRotation());
    std::vector<CallerFlow*> moving;
    moving.reserve(40);
    // The surge has moved; flows still arrive until the fabric has missed two probes.
    scene->runFor(200ms);
    for (int index = 0; index < 40; ++index)
        moving.push_back(&scene->open(0));
    scene->runFor(520ms);
    std::uint64_t const before = scene->entries[1]->relay->searchMessageCount();
    for (CallerFlow* const flow : moving) {
        flow->entry = 1;
        scene->request(*flow);
    }
    scene->runFor(300ms);
    std::size_t answered = 0;
    for (CallerFlow const* const flow : moving)
        answered += flow->requests.back().answered.has_value() ? 1 : 0;
    BOOST_TEST(answered >= 38U);
    BOOST_TEST(scene->entries[1]->relay->searchMessageCount() == before);
    BOOST_TEST(countOf(*scene, 1, EntryRelayOutcome::ResetLostFlow) == 0U);
}

// Load: bulk takes 0.75 of a link of 10 Mbit/s, because the entry refuses more. Others have room, so that it must leave
// the rotation in place of refusing all the time.
BOOST_AUTO_TEST_CASE(AnEntryThatRefusesLeavesTheRotation)
{
    std::unique_ptr<Scene> const scene = makeScene({ 10, 200, 200, 200 });
    CallerFlow& flow = scene->open(0);
    scene->runFor(300ms);
    sendSegments(*scene, 0, flow, 1200, 7, 2s);
    BOOST_TEST(!scene->entries[0]->relay->shouldLeaveRotation());
    std::uint16_t port = 3000;
    for (int index = 0; index < 20 && !scene->entries[0]->relay->shouldLeaveRotation(); ++index) {
        sendSegments(*scene, 0, flow, 1200, 7, 100ms);
        for (int opening = 0; opening < 2; ++opening)
            (void)sendOpening(*scene, 0, port++, 0);
        BOOST_TEST(scene->entries[0]->relay->resourceReport(scene->now()).linkUtilisation < 0.8);
    }
    BOOST_TEST(countOf(*scene, 0, EntryRelayOutcome::RefusedLink) > 0U);
    BOOST_TEST(scene->entries[0]->relay->shouldLeaveRotation());
}
