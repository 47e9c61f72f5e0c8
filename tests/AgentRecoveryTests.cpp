// Guards against flows that are lost or admitted twice when an agent restarts, pauses, or counts differ from the target.

#include "AgentScene.h"

#include <boost/test/unit_test.hpp>

using namespace plantaindrift;
using namespace plantaindrift::testing;

namespace {

std::vector<std::string> const three { "a", "b", "c" };

} // namespace

BOOST_AUTO_TEST_CASE(RestartKeepsLiveFlows)
{
    AgentScene scene = AgentScene::settled(three);
    scene.send(three, scene.syn(1));
    scene.start("a", false);
    std::array<FlowHash, 1> const open { scene.syn(1).flow };
    scene.agents["a"]->reconcile(open, scene.now);
    Journey const journey = scene.send(three, scene.data(1));
    BOOST_TEST((journey.action == AgentAction::Deliver));
    BOOST_TEST(journey.at == "a");
}

// The restarted agent passed the flow on before; its note is gone, so it must ask.
BOOST_AUTO_TEST_CASE(RestartDoesNotForgetPassedFlows)
{
    AgentScene scene = AgentScene::settled(three);
    scene.fill("a");
    std::string const owner = scene.send(three, scene.syn(1)).at;
    scene.start("a", true);
    for (Duration const wait : { Duration(0s), Duration(15s), Duration(30s) }) {
        scene.advance(wait);
        Journey const copy = scene.send(three, scene.syn(1));
        BOOST_TEST(copy.at == owner);
        BOOST_TEST(!copy.admitted);
    }
}

// Until its table is rebuilt, an agent cannot know whether a flow is its own.
BOOST_AUTO_TEST_CASE(RecoveringAgent)
{
    AgentScene scene = AgentScene::settled(three);
    scene.start("a", false);
    AgentDecision const first = scene.decide("a", scene.route(three), scene.syn(1));
    BOOST_TEST((first.action == AgentAction::Drop));
    BOOST_TEST((first.reason == AgentReason::Recovering));
    RouteOption probe = scene.route({ "b", "a", "c" });
    probe.claimant = AgentScene::endpoint("b");
    probe.position = 1;
    probe.hops = 1;
    BOOST_TEST((scene.decide("a", probe, scene.syn(1)).reason == AgentReason::Recovering));
    AgentDecision const later = scene.decide("a", scene.route(three), scene.data(1));
    BOOST_TEST((later.action == AgentAction::Pass));
}

BOOST_AUTO_TEST_CASE(ReconcileAdoptsUnknownFlows)
{
    AgentScene scene = AgentScene::settled(three);
    std::vector<FlowHash> open;
    for (std::uint16_t flow = 1; flow <= 50; ++flow)
        open.push_back(scene.syn(flow).flow);
    scene.agents["a"]->reconcile(open, scene.now);
    BOOST_TEST(scene.agents["a"]->counts().openFlows == 50U);
    BOOST_TEST((scene.send(three, scene.data(7)).action == AgentAction::Deliver));
}

// More open flows than the limit allows must all survive a restart.
BOOST_AUTO_TEST_CASE(ReconcileAdoptsBeyondTheBound)
{
    AgentScene scene({ "a" });
    scene.service.limits.connections = 4;
    scene.start("a", false);
    std::vector<FlowHash> open;
    for (std::uint16_t flow = 1; flow <= 100; ++flow)
        open.push_back(scene.syn(flow).flow);
    scene.agents["a"]->reconcile(open, scene.now);
    for (std::uint16_t flow = 1; flow <= 100; ++flow)
        BOOST_TEST((scene.send({ "a" }, scene.data(flow)).action == AgentAction::Deliver));
    BOOST_TEST(!scene.send({ "a" }, scene.syn(200)).admitted);
}

// A leak makes the agent unwilling for ever; a list that was taken before an admission must not end the flow.
BOOST_AUTO_TEST_CASE(ReconcileDropsLeakedFlowsOnly)
{
    AgentScene scene = AgentScene::settled(three);
    scene.agents["a"]->reconcile({}, scene.now);
    scene.advance(1s);
    scene.send(three, scene.syn(1));
    scene.send(three, scene.data(1));
    scene.advance(1s);
    scene.agents["a"]->reconcile({}, scene.now);
    BOOST_TEST(scene.agents["a"]->counts().openFlows == 1U);
    scene.advance(10s);
    scene.agents["a"]->reconcile({}, scene.now);
    BOOST_TEST(scene.agents["a"]->counts().openFlows == 0U);
}

// The list of established connections lacks a half-open one whose SYN-ACK was lost; its SYN must not go elsewhere.
BOOST_AUTO_TEST_CASE(ReconcileKeepsHalfOpenFlowsHere)
{
    AgentScene scene = AgentScene::settled(three);
    scene.send(three, scene.syn(1));
    for (int round = 0; round < 3; ++round) {
        scene.advance(10s);
        scene.agents["a"]->reconcile({}, scene.now);
    }
    BOOST_TEST(scene.agents["a"]->counts().openFlows == 0U);
    scene.fill("a");
    BOOST_TEST(scene.send(three, scene.syn(1)).at == "a");
}

// A caller that has sent FIN may wait longer than 60 s for its answer (R3).
BOOST_AUTO_TEST_CASE(FinishedFlowThatTheTargetStillServes)
{
    AgentScene scene = AgentScene::settled(three);
    scene.send(three, scene.syn(1));
    scene.send(three, scene.data(1));
    scene.send(three, scene.finish(1));
    std::array<FlowHash, 1> const open { scene.syn(1).flow };
    for (int round = 0; round < 20; ++round) {
        scene.advance(10s);
        scene.agents["a"]->reconcile(open, scene.now);
    }
    BOOST_TEST((scene.send(three, scene.data(1)).action == AgentAction::Deliver));
}

// First packets that waited in the socket of a stopped process may have been admitted elsewhere since.
BOOST_AUTO_TEST_CASE(PausedProcessDropsQueuedFirstPackets)
{
    AgentScene scene = AgentScene::settled(three);
    scene.send(three, scene.syn(1));
    scene.now += 3s;
    AgentDecision const queued = scene.decide("a", scene.route(three), scene.syn(2));
    BOOST_TEST((queued.reason == AgentReason::Paused));
    BOOST_TEST((scene.decide("a", scene.route(three), scene.data(1)).action == AgentAction::Deliver));
    // The timer may run before the socket is read.
    BOOST_TEST(scene.agents["a"]->tick(scene.now, scene.redirects) == 0U);
    BOOST_TEST((scene.decide("a", scene.route(three), scene.syn(2)).reason == AgentReason::Paused));
    scene.advance(200ms);
    BOOST_TEST(scene.send(three, scene.syn(2)).admitted);
}

BOOST_AUTO_TEST_CASE(LapsedLeaseUnsettles)
{
    AgentScene scene = AgentScene::settled(three);
    std::uint32_t const fingerprint = scene.view().fingerprint;
    BOOST_TEST(scene.agents["a"]->isSettled(fingerprint, scene.now));
    BOOST_TEST(!scene.agents["a"]->isSettled(fingerprint + 1, scene.now));
    for (int step = 0; step < 110; ++step) {
        scene.now += 100ms;
        scene.agents["a"]->tick(scene.now, scene.redirects);
    }
    BOOST_TEST(!scene.agents["a"]->isSettled(fingerprint, scene.now));
    scene.agents["a"]->renewLease(scene.now);
    BOOST_TEST(!scene.agents["a"]->isSettled(fingerprint, scene.now));
    scene.advance(71s);
    BOOST_TEST(scene.agents["a"]->isSettled(fingerprint, scene.now));
}

BOOST_AUTO_TEST_CASE(ChangedViewUnsettles)
{
    AgentScene scene = AgentScene::settled(three);
    scene.join("n");
    std::uint32_t const fingerprint = scene.view().fingerprint;
    BOOST_TEST(!scene.agents["a"]->isSettled(fingerprint, scene.now));
    scene.advance(11s);
    BOOST_TEST(scene.agents["a"]->isSettled(fingerprint, scene.now));
    BOOST_TEST(!scene.agents["n"]->isSettled(fingerprint, scene.now));
    // A changed weight may reorder common targets, which takes the time of all retransmissions.
    scene.record("b").weight = 50;
    scene.spread();
    scene.advance(60s);
    BOOST_TEST(!scene.agents["a"]->isSettled(scene.view().fingerprint, scene.now));
    scene.advance(11s);
    BOOST_TEST(scene.agents["a"]->isSettled(scene.view().fingerprint, scene.now));
}

// Draining is no part of the fingerprint and must not make agents probe.
BOOST_AUTO_TEST_CASE(DrainKeepsAgentsSettled)
{
    AgentScene scene = AgentScene::settled(three);
    scene.record("c").draining = true;
    scene.spread();
    BOOST_TEST(scene.agents["a"]->isSettled(scene.view().fingerprint, scene.now));
}
