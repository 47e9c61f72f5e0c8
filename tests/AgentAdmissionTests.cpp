// Guards against targets that take too much, too little, or nothing because of what they or their peers report.

#include "AgentScene.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace plantaindrift;
using namespace plantaindrift::testing;

namespace {

AgentScene single(std::uint32_t slots, std::uint32_t queuePerSlot = 0, bool coldStart = false)
{
    AgentScene scene({ "a" });
    scene.service.limits.slots = slots;
    scene.service.limits.queuePerSlot = queuePerSlot;
    scene.start("a", true, coldStart);
    if (!coldStart)
        scene.advance(90s);
    return scene;
}

int admitMany(AgentScene& scene, std::uint16_t first, std::uint16_t count)
{
    int admitted = 0;
    for (std::uint16_t flow = first; flow < first + count; ++flow)
        admitted += scene.send({ "a" }, scene.syn(flow)).admitted ? 1 : 0;
    return admitted;
}

void report(AgentScene& scene, std::uint32_t busy, int times = 1)
{
    LoadReport load;
    load.busySlots = busy;
    for (int index = 0; index < times; ++index)
        scene.agents["a"]->setLoadReport(load, scene.now);
}

// The caller sends its request, gets the answer and acknowledges it.
void answer(AgentScene& scene, std::uint16_t flow)
{
    scene.send({ "a" }, scene.data(flow));
    InnerPacket acknowledgement = scene.packet(flow);
    acknowledgement.sequence = 111;
    scene.send({ "a" }, acknowledgement);
}

} // namespace

BOOST_AUTO_TEST_CASE(SlotsAndQueueBoundAdmission)
{
    AgentScene plain = single(7);
    BOOST_TEST(admitMany(plain, 1, 20) == 7);
    AgentScene queued = single(7, 2);
    BOOST_TEST(admitMany(queued, 1, 50) == 21);
}

BOOST_AUTO_TEST_CASE(AnswersFreeSlots)
{
    AgentScene scene = single(3);
    BOOST_TEST(admitMany(scene, 1, 10) == 3);
    answer(scene, 1);
    BOOST_TEST(admitMany(scene, 20, 10) == 1);
}

// The acknowledgement of the handshake may overtake nothing, but it can come after the request by another entry.
BOOST_AUTO_TEST_CASE(LateHandshakeAcknowledgementIsNoAnswer)
{
    AgentScene scene = single(1);
    BOOST_TEST(admitMany(scene, 1, 1) == 1);
    scene.send({ "a" }, scene.data(1));
    InnerPacket acknowledgement = scene.packet(1);
    acknowledgement.sequence = 101;
    scene.send({ "a" }, acknowledgement);
    BOOST_TEST(admitMany(scene, 2, 1) == 0);
}

// Standing feeds hold connections and no slots.
BOOST_AUTO_TEST_CASE(SilentFeedsHoldNoSlots)
{
    AgentScene scene = single(2);
    for (std::uint16_t flow = 1; flow <= 100; ++flow) {
        BOOST_TEST(admitMany(scene, flow, 1) == 1);
        answer(scene, flow);
    }
    BOOST_TEST(scene.agents["a"]->counts().openFlows == 100U);
}

BOOST_AUTO_TEST_CASE(ConnectionsBoundAdmission)
{
    AgentScene scene({ "a" });
    scene.service.limits.slots = 10000;
    scene.service.limits.connections = 50;
    scene.start("a", true);
    scene.advance(90s);
    BOOST_TEST(admitMany(scene, 1, 100) == 50);
}

// 2,000 connections at once would break a target whose caches are cold.
BOOST_AUTO_TEST_CASE(SlowStartBoundsConnections)
{
    AgentScene scene({ "a" });
    scene.service.limits.slots = 10000;
    scene.service.limits.connections = 100;
    scene.start("a", true, true);
    BOOST_TEST(admitMany(scene, 1, 100) == 10);
    scene.advance(15s);
    BOOST_TEST(admitMany(scene, 200, 100) == 45);
    scene.advance(20s);
    BOOST_TEST(admitMany(scene, 400, 100) == 45);
}

BOOST_AUTO_TEST_CASE(SlowStartBoundsTheQueue)
{
    AgentScene scene = single(10, 1, true);
    BOOST_TEST(admitMany(scene, 1, 40) == 11);
}

// An endpoint that always reports 0 must not let the target take any number of requests.
BOOST_AUTO_TEST_CASE(ReportOfNothingIsBoundedByOwnCounts)
{
    AgentScene scene = single(4);
    report(scene, 0, 20);
    int admitted = admitMany(scene, 1, 20);
    report(scene, 0, 20);
    scene.advance(200ms);
    report(scene, 0, 20);
    admitted += admitMany(scene, 30, 20);
    BOOST_TEST(admitted == 4);
}

// An endpoint that always reports a full target must not keep it idle while its counts move.
BOOST_AUTO_TEST_CASE(FrozenFullReportIsNotBelieved)
{
    AgentScene scene = single(4);
    report(scene, 4, 20);
    int admitted = 0;
    for (std::uint16_t round = 0; round < 40; ++round) {
        std::uint16_t const first = static_cast<std::uint16_t>(round * 10 + 1);
        for (std::uint16_t flow = first; flow < first + 4; ++flow) {
            if (scene.send({ "a" }, scene.syn(flow)).admitted) {
                ++admitted;
                report(scene, 4);
                answer(scene, flow);
            }
        }
        report(scene, 4);
        scene.advance(500ms);
    }
    BOOST_TEST(admitted > 100);
}

// Open flows bound a report that is too high: an idle target must not look busy.
BOOST_AUTO_TEST_CASE(ReportAboveOpenFlowsIsBounded)
{
    AgentScene scene = single(4);
    report(scene, 1000, 50);
    BOOST_TEST(scene.agents["a"]->counts().estimatedBusy == 0);
    BOOST_TEST(admitMany(scene, 1, 1) == 1);
}

BOOST_AUTO_TEST_CASE(SilentReportsExpire)
{
    AgentScene scene = single(4);
    for (std::uint16_t flow = 1; flow <= 8; ++flow) {
        admitMany(scene, flow, 1);
        answer(scene, flow);
    }
    report(scene, 4, 50);
    BOOST_TEST(scene.agents["a"]->counts().estimatedBusy > 3.5);
    scene.advance(6s);
    BOOST_TEST(scene.agents["a"]->counts().estimatedBusy < 0.5);
}

// Lost acknowledgements leave requests in progress; reports must be able to free the target again.
BOOST_AUTO_TEST_CASE(LostAnswersDoNotFillTheTarget)
{
    AgentScene scene = single(4);
    for (std::uint16_t flow = 1; flow <= 4; ++flow) {
        admitMany(scene, flow, 1);
        scene.send({ "a" }, scene.data(flow));
    }
    for (int round = 0; round < 20; ++round) {
        scene.advance(500ms);
        report(scene, 0);
    }
    BOOST_TEST(admitMany(scene, 10, 1) == 1);
}

BOOST_AUTO_TEST_CASE(UnhealthyTargetTakesNothing)
{
    AgentScene scene = single(4);
    scene.fill("a");
    BOOST_TEST(admitMany(scene, 1, 5) == 0);
    scene.relieve("a");
    BOOST_TEST(admitMany(scene, 10, 2) == 2);
}

// R6: a draining target takes no new flow from the next packet on.
BOOST_AUTO_TEST_CASE(DrainingTargetTakesNothing)
{
    AgentScene scene = AgentScene::settled({ "a", "b" });
    scene.agents["a"]->setDraining(true);
    for (std::uint16_t flow = 1; flow <= 50; ++flow)
        BOOST_TEST(scene.send({ "a", "b" }, scene.syn(flow)).at != "a");
    BOOST_TEST(scene.agents["a"]->counts().admitted == 0U);
}

// A target that is busier than its peers passes some flows on, and only to a peer that is less busy.
BOOST_AUTO_TEST_CASE(BusierThanPeers)
{
    AgentScene scene = AgentScene::settled({ "a", "b" });
    for (std::uint16_t flow = 1; flow <= 6; ++flow) {
        scene.send({ "a", "b" }, scene.syn(flow));
        scene.send({ "a", "b" }, scene.data(flow));
    }
    scene.service.limits.slots = 100;
    scene.agents["a"]->setService(scene.service);
    for (std::uint16_t flow = 100; flow < 150; ++flow) {
        scene.send({ "a", "b" }, scene.syn(flow));
        scene.send({ "a", "b" }, scene.data(flow));
    }
    scene.advance(20s);
    std::uint64_t const before = scene.agents["a"]->counts().passed;
    scene.agents["a"]->setPeerLoad("b", 0.1, scene.now);
    scene.advance(100ms);
    for (std::uint16_t flow = 200; flow < 210; ++flow)
        scene.send({ "a", "b" }, scene.syn(flow));
    BOOST_TEST(scene.agents["a"]->counts().passed > before);
    std::uint64_t const between = scene.agents["a"]->counts().passed;
    scene.agents["a"]->setPeerLoad("b", 0.9, scene.now);
    scene.advance(100ms);
    for (std::uint16_t flow = 300; flow < 310; ++flow)
        scene.send({ "a", "b" }, scene.syn(flow));
    BOOST_TEST(scene.agents["a"]->counts().passed == between);
}

// A peer that reports nonsense must not make every other target refuse.
BOOST_AUTO_TEST_CASE(PeerLoadIsBounded)
{
    AgentScene scene = single(4);
    for (double const load : { -1e300, 1e300, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity() }) {
        scene.agents["a"]->setPeerLoad("b", load, scene.now);
        scene.advance(100ms);
    }
    BOOST_TEST(admitMany(scene, 1, 1) == 1);
}

// In overload the agents must not multiply packets: passes are bounded by a share of admissions and a rate.
BOOST_AUTO_TEST_CASE(PassesAreBoundedInOverload)
{
    AgentScene scene({ "a", "b" });
    scene.service.limits.slots = 1;
    scene.start("a", true);
    scene.advance(90s);
    scene.decide("a", scene.route({ "a", "b" }), scene.syn(1));
    int passes = 0;
    int refusals = 0;
    for (std::uint16_t flow = 2; flow <= 1000; ++flow) {
        AgentAction const action = scene.decide("a", scene.route({ "a", "b" }), scene.syn(flow)).action;
        passes += action == AgentAction::Pass ? 1 : 0;
        refusals += action == AgentAction::Refuse ? 1 : 0;
    }
    BOOST_TEST(passes <= 21);
    BOOST_TEST(passes + refusals + static_cast<int>(scene.agents["a"]->counts().dropped[static_cast<std::size_t>(AgentReason::NotesFull)]) == 999);
}

BOOST_AUTO_TEST_CASE(HuntEndsAtItsLimit)
{
    std::vector<std::string> const six { "a", "b", "c", "d", "e", "f" };
    AgentScene scene = AgentScene::settled(six);
    for (std::string const& name : six)
        scene.fill(name);
    Journey const journey = scene.send(six, scene.syn(1));
    BOOST_TEST((journey.action == AgentAction::Refuse));
    BOOST_TEST(journey.hops == 3);
}
