// Guards against flows that are admitted twice, or blocked, when copies of a first packet take different ways.

#include "AgentScene.h"

#include <boost/test/unit_test.hpp>

using namespace plantaindrift;
using namespace plantaindrift::testing;

namespace {

std::vector<std::string> const three { "a", "b", "c" };

// A route whose fingerprint no agent has, so that every agent probes.
RouteOption strangeRoute(AgentScene const& scene, std::vector<std::string> const& candidates, std::uint32_t offset = 1)
{
    RouteOption route = scene.route(candidates);
    route.viewFingerprint += offset;
    return route;
}

} // namespace

// The SYN-ACK was lost, and the copy comes through an entry that ranks another target first.
BOOST_AUTO_TEST_CASE(RetransmissionThroughAnotherOrder)
{
    for (std::vector<std::string> const& order : { std::vector<std::string> { "b", "a", "c" }, { "c", "b", "a" }, { "b", "c", "a" } }) {
        AgentScene scene = AgentScene::settled(three);
        BOOST_TEST(scene.follow("a", strangeRoute(scene, three), scene.syn(1)).at == "a");
        Journey const copy = scene.follow(order.front(), strangeRoute(scene, order, 2), scene.syn(1));
        BOOST_TEST(copy.at == "a");
        BOOST_TEST(!copy.admitted);
    }
}

// A target joins in front of the owner 20 s after the first copy: longer than the settle window, shorter than the
// retransmissions of a SYN.
BOOST_AUTO_TEST_CASE(RetransmissionAfterAJoin)
{
    AgentScene scene = AgentScene::settled(three);
    scene.send(three, scene.syn(1));
    scene.join("n");
    for (Duration const wait : { Duration(0s), Duration(20s), Duration(40s) }) {
        scene.advance(wait);
        Journey const copy = scene.send({ "n", "a", "b", "c" }, scene.syn(1));
        BOOST_TEST(copy.at == "a");
        BOOST_TEST(!copy.admitted);
    }
}

// A newcomer asks only the first candidate that remembers all copies; asking all would cost each flow a round.
BOOST_AUTO_TEST_CASE(ProbeOfANewcomerEndsAtTheFirstAgentWithMemory)
{
    AgentScene scene = AgentScene::settled(three);
    scene.join("n");
    scene.advance(15s);
    Journey const journey = scene.send({ "n", "a", "b", "c" }, scene.syn(1));
    BOOST_TEST(journey.admitted);
    BOOST_TEST(journey.at == "n");
    BOOST_TEST(journey.hops == 2);
}

// The probe passes an agent before a direct copy arrives there: the note catches the copy.
BOOST_AUTO_TEST_CASE(ProbeCrossesADirectCopy)
{
    AgentScene scene = AgentScene::settled(three);
    AgentDecision const probe = scene.decide("a", strangeRoute(scene, three), scene.syn(1));
    BOOST_TEST((probe.to == AgentScene::endpoint("b")));
    AgentDecision const onward = scene.decide("b", probe.route, scene.syn(1));
    Journey const direct = scene.send({ "b", "c", "a" }, scene.syn(1));
    Journey const rest = scene.follow(scene.nameOf(onward.to), onward.route, scene.syn(1));
    BOOST_TEST(direct.at == "a");
    BOOST_TEST(rest.at == "a");
    BOOST_TEST((direct.admitted != rest.admitted));
}

// The direct copy comes first: the probe finds the flow.
BOOST_AUTO_TEST_CASE(DirectCopyCrossesAProbe)
{
    AgentScene scene = AgentScene::settled(three);
    AgentDecision const probe = scene.decide("a", strangeRoute(scene, three), scene.syn(1));
    BOOST_TEST(scene.send({ "b", "c", "a" }, scene.syn(1)).at == "b");
    Journey const rest = scene.follow("b", probe.route, scene.syn(1));
    BOOST_TEST(rest.at == "b");
    BOOST_TEST(!rest.admitted);
}

// Other agents send copies to the claimant, so it keeps its claim although it drains or fills before the probe returns.
BOOST_AUTO_TEST_CASE(ClaimantDrainsOrFillsBeforeTheProbeReturns)
{
    for (bool const drains : { true, false }) {
        AgentScene scene = AgentScene::settled(three);
        AgentDecision const probe = scene.decide("a", strangeRoute(scene, three), scene.syn(1));
        if (drains)
            scene.agents["a"]->setDraining(true);
        else
            scene.fill("a");
        Journey const journey = scene.follow("b", probe.route, scene.syn(1));
        BOOST_TEST(journey.at == "a");
        BOOST_TEST(journey.admitted);
    }
}

// Notes that point to a dead claimant must not swallow the retransmissions for 70 s.
BOOST_AUTO_TEST_CASE(ClaimantDiesBeforeTheProbeReturns)
{
    AgentScene scene = AgentScene::settled(three);
    AgentDecision const probe = scene.decide("a", strangeRoute(scene, three), scene.syn(1));
    AgentDecision const onward = scene.decide("b", probe.route, scene.syn(1));
    scene.decide(scene.nameOf(onward.to), onward.route, scene.syn(1));
    scene.agents.erase("a");
    BOOST_TEST(scene.send({ "b", "c" }, scene.syn(1)).at == "a"); // lost with the dead agent
    scene.advance(6s);
    scene.setDead("a");
    Journey const retry = scene.send({ "b", "c" }, scene.syn(1));
    BOOST_TEST(retry.admitted);
    Journey const copy = scene.send({ "c", "b" }, scene.syn(1));
    BOOST_TEST(copy.at == retry.at);
    BOOST_TEST(!copy.admitted);
}

// The same for a claimant that dies while it joins, so that no view ever names it.
BOOST_AUTO_TEST_CASE(UnknownClaimantIsForgotten)
{
    AgentScene scene = AgentScene::settled(three);
    RouteOption probe = strangeRoute(scene, { "z", "a", "b", "c" });
    probe.claimant = AgentScene::endpoint("z");
    probe.position = 1;
    probe.hops = 1;
    scene.decide("a", probe, scene.syn(1));
    BOOST_TEST((scene.decide("a", scene.route(three), scene.syn(1)).to == AgentScene::endpoint("z")));
    scene.advance(11s);
    BOOST_TEST(scene.send(three, scene.syn(1)).admitted);
}

// Two claims that meet are decided by one order, whatever the sequence of packets.
BOOST_AUTO_TEST_CASE(TwoClaimants)
{
    for (std::uint16_t flow = 1; flow <= 40; ++flow) {
        AgentScene scene = AgentScene::settled(three);
        AgentDecision const first = scene.decide("a", strangeRoute(scene, { "a", "b", "c" }), scene.syn(flow));
        AgentDecision const second = scene.decide("b", strangeRoute(scene, { "b", "a", "c" }, 2), scene.syn(flow));
        BOOST_TEST((first.to == AgentScene::endpoint("b")));
        BOOST_TEST((second.to == AgentScene::endpoint("a")));
        Journey const one = scene.follow("b", first.route, scene.syn(flow));
        Journey const two = scene.follow("a", second.route, scene.syn(flow));
        int const admitted = (one.admitted ? 1 : 0) + (two.admitted ? 1 : 0);
        BOOST_TEST(admitted == 1);
        BOOST_TEST(one.at == two.at);
        BOOST_TEST((scene.agents["a"]->counts().admitted + scene.agents["b"]->counts().admitted) == 1U);
    }
}

// Notes of agents with different orders can form a loop; packets in it end, and the flow is not blocked.
BOOST_AUTO_TEST_CASE(NoteLoopsEnd)
{
    AgentScene scene = AgentScene::settled({ "a", "b" });
    scene.fill("a");
    scene.fill("b");
    scene.decide("a", strangeRoute(scene, { "a", "b" }), scene.syn(1));
    scene.decide("b", strangeRoute(scene, { "b", "a" }), scene.syn(1));
    Journey const looping = scene.send({ "a", "b" }, scene.syn(1));
    BOOST_TEST((looping.action == AgentAction::Drop));
    BOOST_TEST((looping.reason == AgentReason::HopLimit));
    BOOST_TEST(looping.hops <= 16);
    scene.relieve("a");
    scene.relieve("b");
    bool admitted = false;
    for (int copy = 0; copy < 3; ++copy)
        admitted = admitted || scene.send({ "a", "b" }, scene.syn(1)).admitted;
    BOOST_TEST(admitted);
    BOOST_TEST((scene.agents["a"]->counts().admitted + scene.agents["b"]->counts().admitted) == 1U);
}

// A request over UDP runs where its first packet is admitted, so a strict service always asks all candidates (R5).
BOOST_AUTO_TEST_CASE(StrictServiceAlwaysProbes)
{
    AgentScene scene = AgentScene::settled(three, Protocol::Udp);
    scene.service.idempotent = false;
    for (std::string const& name : three)
        scene.agents[name]->setService(scene.service);
    Journey const journey = scene.send(three, scene.syn(1));
    BOOST_TEST(journey.admitted);
    BOOST_TEST(journey.hops == 3);
    for (std::vector<std::string> const& order : { std::vector<std::string> { "b", "a", "c" }, { "c", "b", "a" } }) {
        Journey const copy = scene.send(order, scene.syn(1));
        BOOST_TEST(copy.at == "a");
        BOOST_TEST(!copy.admitted);
    }
}

// The request may have run at the target that died: a copy must stay unanswered and not run again (R5).
BOOST_AUTO_TEST_CASE(StrictRequestDoesNotRunAgainAfterACrash)
{
    AgentScene scene = AgentScene::settled(three, Protocol::Udp);
    scene.service.idempotent = false;
    for (std::string const& name : three)
        scene.agents[name]->setService(scene.service);
    BOOST_TEST(scene.send(three, scene.syn(1)).at == "a");
    scene.setDead("a");
    Journey const copy = scene.send({ "b", "c" }, scene.syn(1));
    BOOST_TEST(!copy.admitted);
    BOOST_TEST((copy.action != AgentAction::Refuse));
}

// A caller uses the same ports again: the known flow stays with its target, whose kernel tells old from new.
BOOST_AUTO_TEST_CASE(FlowKeyReuse)
{
    AgentScene scene = AgentScene::settled(three);
    scene.send({ "b", "c", "a" }, scene.syn(1));
    InnerPacket again = scene.syn(1);
    again.sequence = 77777;
    Journey const open = scene.send({ "b", "c", "a" }, again);
    BOOST_TEST(open.at == "b");
    BOOST_TEST(!open.admitted);
    scene.send({ "b", "c", "a" }, scene.finish(1));
    Journey const closing = scene.send({ "b", "c", "a" }, again);
    BOOST_TEST(closing.at == "b");
    BOOST_TEST(scene.agents["b"]->counts().openFlows == 1U);
}

BOOST_AUTO_TEST_CASE(EmptyView)
{
    AgentScene scene({ "a" });
    AgentOptions options;
    options.name = "a";
    options.self = AgentScene::endpoint("a");
    options.service = hashService("rota-desk");
    options.coldStart = false;
    scene.agents["a"] = std::make_unique<AgentPipeline>(options, scene.now);
    scene.agents["a"]->setService(scene.service);
    scene.agents["a"]->reconcile({}, scene.now);
    RouteOption const route = scene.route({ "a", "b" });
    // A probe along a stale entry's list alone would miss an owner that joined, so nothing is claimed without a view.
    AgentDecision const first = scene.decide("a", route, scene.syn(1));
    BOOST_TEST((first.action == AgentAction::Drop));
    BOOST_TEST((first.reason == AgentReason::Recovering));
    BOOST_TEST((scene.decide("a", route, scene.data(2)).action == AgentAction::Pass));
}

// The list of a stale entry may lack the agent that a note or another agent sent the packet to.
BOOST_AUTO_TEST_CASE(ListWithoutThisAgent)
{
    AgentScene scene = AgentScene::settled(three);
    Journey const willing = scene.follow("c", scene.route({ "a", "b" }), scene.syn(1));
    BOOST_TEST(willing.admitted);
    scene.agents["c"]->setDraining(true);
    Journey const draining = scene.follow("c", scene.route({ "a", "b" }), scene.syn(2));
    BOOST_TEST(draining.admitted);
    BOOST_TEST(draining.at != "c");
    RouteOption empty = scene.route({});
    BOOST_TEST((scene.decide("c", empty, scene.syn(3)).action == AgentAction::Drop));
    BOOST_TEST((scene.decide("c", empty, scene.data(4)).action == AgentAction::Pass));
}

// The owner that a redirect names may have forgotten the flow and drain; the pair must not send the packet in circles.
BOOST_AUTO_TEST_CASE(RedirectToADrainingAgentThatForgot)
{
    AgentScene scene = AgentScene::settled(three);
    scene.agents["a"]->acceptRedirect(scene.syn(1).flow, AgentScene::endpoint("c"), scene.now);
    scene.agents["c"]->setDraining(true);
    Journey const journey = scene.send({ "a", "b" }, scene.syn(1));
    BOOST_TEST(journey.admitted);
    BOOST_TEST(journey.at == "a");
}

// A skipped agent has no note; it must not take that for proof when the agent that skipped it restarts.
BOOST_AUTO_TEST_CASE(RestartAfterAFreeChoice)
{
    AgentScene scene = AgentScene::settled({ "a", "b", "c", "d" });
    std::vector<std::string> const order { "a", "b", "c", "d" };
    scene.record("b").draining = true;
    scene.spread();
    scene.fill("a");
    std::string const owner = scene.send(order, scene.syn(1)).at;
    BOOST_TEST(owner != "a");
    BOOST_TEST(owner != "b");
    scene.start("a", true);
    scene.fill("a");
    Journey const copy = scene.send(order, scene.syn(1));
    BOOST_TEST(copy.at == owner);
    BOOST_TEST(!copy.admitted);
}
