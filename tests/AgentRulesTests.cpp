// Guards against a broken rule A1 to A11 of section 3 of the design page.

#include "AgentScene.h"

#include <boost/test/unit_test.hpp>

using namespace plantaindrift;
using namespace plantaindrift::testing;

namespace {

std::vector<std::string> const three { "a", "b", "c" };

bool isDropped(AgentDecision const& decision, AgentReason reason)
{
    return decision.action == AgentAction::Drop && decision.reason == reason;
}

} // namespace

// A packet of another service must not reach this target (R2).
BOOST_AUTO_TEST_CASE(A1OtherServiceIsDropped)
{
    AgentScene scene = AgentScene::settled(three);
    RouteOption route = scene.route(three);
    route.service = hashService("ledger-store");
    BOOST_TEST(isDropped(scene.decide("a", route, scene.syn(1)), AgentReason::WrongService));
    scene.send(three, scene.syn(2));
    BOOST_TEST(isDropped(scene.decide("a", route, scene.data(2)), AgentReason::WrongService));
}

// A known flow stays, also when its target drains, is full or is not healthy (R1).
BOOST_AUTO_TEST_CASE(A2KnownFlowIsDelivered)
{
    AgentScene scene = AgentScene::settled(three);
    BOOST_TEST(scene.send(three, scene.syn(1)).admitted);
    scene.agents["a"]->setDraining(true);
    scene.fill("a");
    Journey const journey = scene.send(three, scene.data(1));
    BOOST_TEST((journey.action == AgentAction::Deliver));
    BOOST_TEST(journey.at == "a");
}

// Without notices every packet of a moved flow takes one more hop; with one for direct packets the budget is wasted.
BOOST_AUTO_TEST_CASE(A2NoticeOnlyAfterMoreThanOneHop)
{
    AgentScene scene = AgentScene::settled(three);
    BOOST_TEST(!scene.decide("a", scene.route(three), scene.syn(1)).notice.has_value());
    RouteOption passed = scene.route(three);
    passed.hops = 1;
    AgentDecision const decision = scene.decide("a", passed, scene.data(1));
    BOOST_REQUIRE(decision.notice.has_value());
    BOOST_TEST((decision.notice->flow == scene.data(1).flow));
    BOOST_TEST((decision.notice->entry == passed.entry));
}

// A draining target must not take a new connection that reuses the ports of one that is closing.
BOOST_AUTO_TEST_CASE(A2DrainingAgentForgetsClosingFlow)
{
    AgentScene scene = AgentScene::settled(three);
    scene.send(three, scene.syn(1));
    scene.send(three, scene.finish(1));
    scene.agents["a"]->setDraining(true);
    BOOST_TEST((scene.send(three, scene.data(1)).action == AgentAction::Deliver));
    Journey const journey = scene.send(three, scene.syn(1));
    BOOST_TEST(journey.admitted);
    BOOST_TEST(journey.at != "a");
}

// Late packets of a finished flow are delivered for 60 s, of a reset one for 5 s; then the flow is forgotten.
BOOST_AUTO_TEST_CASE(A2ClosingFlowsExpire)
{
    AgentScene scene = AgentScene::settled(three);
    scene.send(three, scene.syn(1));
    scene.send(three, scene.finish(1));
    scene.send(three, scene.syn(2));
    InnerPacket reset = scene.packet(2);
    reset.rst = true;
    scene.send(three, reset);
    scene.advance(4s);
    BOOST_TEST((scene.send(three, scene.data(2)).action == AgentAction::Deliver));
    scene.advance(6s);
    BOOST_TEST((scene.send(three, scene.data(2)).action == AgentAction::Drop));
    scene.advance(45s);
    BOOST_TEST((scene.send(three, scene.data(1)).action == AgentAction::Deliver));
    scene.advance(62s);
    BOOST_TEST((scene.send(three, scene.data(1)).action == AgentAction::Drop));
}

// An open TCP flow that is silent for hours is still a feed (R1); a silent UDP flow ends after 60 s.
BOOST_AUTO_TEST_CASE(A2SilentFlows)
{
    AgentScene tcp = AgentScene::settled(three);
    tcp.send(three, tcp.syn(1));
    tcp.advance(1h);
    BOOST_TEST((tcp.send(three, tcp.data(1)).action == AgentAction::Deliver));
    AgentScene udp = AgentScene::settled(three, Protocol::Udp);
    udp.send(three, udp.syn(1));
    udp.advance(59s);
    BOOST_TEST(udp.agents["a"]->counts().openFlows == 1U);
    udp.advance(2s);
    BOOST_TEST(udp.agents["a"]->counts().openFlows == 0U);
}

// A SYN that is sent again must follow the first one, although the first agent has room by now (A8).
BOOST_AUTO_TEST_CASE(A3NoteKeepsCopiesOnThePath)
{
    AgentScene scene = AgentScene::settled(three);
    scene.fill("a");
    std::string const owner = scene.send(three, scene.syn(1)).at;
    BOOST_TEST(owner != "a");
    scene.relieve("a");
    scene.advance(60s);
    Journey const copy = scene.send(three, scene.syn(1));
    BOOST_TEST(copy.at == owner);
    BOOST_TEST(!copy.admitted);
}

BOOST_AUTO_TEST_CASE(A4SettledAgentAdmitsAtOnce)
{
    AgentScene scene = AgentScene::settled(three);
    Journey const journey = scene.send(three, scene.syn(1));
    BOOST_TEST(journey.admitted);
    BOOST_TEST(journey.at == "a");
    BOOST_TEST(journey.hops == 0);
}

// A packet ranked with another view may have a copy at an agent that this view does not put first.
BOOST_AUTO_TEST_CASE(A5OtherFingerprintMakesTheAgentAsk)
{
    AgentScene scene = AgentScene::settled(three);
    scene.send({ "b", "c", "a" }, scene.syn(1));
    RouteOption other = scene.route(three);
    other.viewFingerprint += 1;
    Journey const copy = scene.follow("a", other, scene.syn(1));
    BOOST_TEST(copy.at == "b");
    BOOST_TEST(!copy.admitted);
    Journey const fresh = scene.follow("a", other, scene.syn(2));
    BOOST_TEST(fresh.admitted);
    BOOST_TEST(fresh.at == "a");
    BOOST_TEST(fresh.hops == 3);
}

BOOST_AUTO_TEST_CASE(A5SingleCandidateIsAdmittedWithoutAProbe)
{
    AgentScene scene({ "a" });
    BOOST_TEST(scene.send({ "a" }, scene.syn(1)).admitted);
}

// A refusal by agents that are all full is the answer "not run"; it must not be silent when it can be truthful.
BOOST_AUTO_TEST_CASE(A6FullServiceRefusesWhenSettled)
{
    AgentScene scene = AgentScene::settled(three);
    for (std::string const& name : three)
        scene.fill(name);
    BOOST_TEST((scene.send(three, scene.syn(1)).action == AgentAction::Refuse));
    // A copy that comes when there is room again must not run after the refusal.
    for (std::string const& name : three)
        scene.relieve(name);
    BOOST_TEST((scene.send(three, scene.syn(1)).action == AgentAction::Refuse));
    InnerPacket next = scene.syn(1);
    next.sequence = 5000;
    BOOST_TEST(scene.send(three, next).admitted);
}

BOOST_AUTO_TEST_CASE(A6UnsettledServiceDropsSilently)
{
    AgentScene scene(three);
    scene.advance(1s);
    for (std::string const& name : three)
        scene.fill(name);
    Journey const journey = scene.send(three, scene.syn(1));
    BOOST_TEST((journey.action == AgentAction::Drop));
    BOOST_TEST((journey.reason == AgentReason::Unsettled));
}

// A stale entry does not know the owner. A reset would break the flow; the agents pass the packet on instead.
BOOST_AUTO_TEST_CASE(A7LaterPacketFindsItsOwnerOutsideTheList)
{
    AgentScene scene = AgentScene::settled({ "a", "b", "c", "d" });
    scene.send({ "d", "a", "b", "c" }, scene.syn(1));
    Journey const journey = scene.send({ "a", "b" }, scene.data(1));
    BOOST_TEST((journey.action == AgentAction::Deliver));
    BOOST_TEST(journey.at == "d");
    Journey const unknown = scene.send({ "a", "b" }, scene.data(2));
    BOOST_TEST((unknown.action == AgentAction::Drop));
    BOOST_TEST((unknown.reason == AgentReason::UnknownFlow));
}

// An owner that eight newcomers push out of the list tells the first two candidates.
BOOST_AUTO_TEST_CASE(A9OwnerOutsideTheListSendsRedirects)
{
    AgentScene scene = AgentScene::settled({ "a" });
    for (std::uint16_t flow = 1; flow <= 200; ++flow)
        scene.send({ "a" }, scene.syn(flow));
    for (char letter = 'b'; letter <= 't'; ++letter)
        scene.addRecord(std::string(1, letter));
    scene.agents["a"]->setView(scene.view(), scene.now);
    scene.advance(100ms);
    BOOST_TEST(scene.lastRedirects > 0U);
    BOOST_TEST(scene.lastRedirects <= scene.redirects.size());
    for (std::size_t index = 0; index < scene.lastRedirects; ++index)
        BOOST_TEST((scene.redirects[index].to != AgentScene::endpoint("a")));
}

BOOST_AUTO_TEST_CASE(A9RedirectLeadsLaterPacketsAndEnds)
{
    AgentScene scene = AgentScene::settled(three);
    scene.send({ "c", "a", "b" }, scene.syn(1));
    scene.agents["a"]->acceptRedirect(scene.syn(1).flow, AgentScene::endpoint("c"), scene.now);
    BOOST_TEST((scene.decide("a", scene.route(three), scene.data(1)).to == AgentScene::endpoint("c")));
    scene.advance(61s);
    BOOST_TEST((scene.decide("a", scene.route(three), scene.data(1)).to == AgentScene::endpoint("b")));
}

// A full note table must not make an agent forget its decision: it drops first packets and keeps later ones.
BOOST_AUTO_TEST_CASE(A11NotesAreBounded)
{
    AgentScene scene(three);
    scene.noteEntries = 4;
    scene.start("a", true);
    scene.advance(90s);
    scene.fill("a");
    for (std::uint16_t flow = 1; flow <= 4; ++flow)
        BOOST_TEST((scene.decide("a", scene.route(three), scene.syn(flow)).action == AgentAction::Pass));
    BOOST_TEST(isDropped(scene.decide("a", scene.route(three), scene.syn(5)), AgentReason::NotesFull));
    BOOST_TEST((scene.decide("a", scene.route(three), scene.data(5)).action == AgentAction::Pass));
    BOOST_TEST(scene.agents["a"]->counts().notes == 4U);
    scene.advance(80s);
    BOOST_TEST(scene.agents["a"]->counts().notes == 0U);
}

BOOST_AUTO_TEST_CASE(A11FlowsAreBounded)
{
    AgentScene scene({ "a" });
    scene.service.limits.connections = 10;
    scene.service.limits.slots = 1000;
    scene.start("a", true);
    scene.advance(90s);
    int admitted = 0;
    for (std::uint16_t flow = 1; flow <= 100; ++flow) {
        Journey const journey = scene.send({ "a" }, scene.syn(flow));
        admitted += journey.admitted ? 1 : 0;
        scene.send({ "a" }, scene.finish(flow));
    }
    // Twice the connections, because closing flows stay in the table.
    BOOST_TEST(admitted == 20);
    BOOST_TEST(scene.agents["a"]->counts().openFlows == 0U);
}

BOOST_AUTO_TEST_CASE(ReasonsHaveNames)
{
    BOOST_TEST(agentReasonName(AgentReason::None) == "none");
    BOOST_TEST(agentReasonName(AgentReason::Recovering) == "recovering");
}
