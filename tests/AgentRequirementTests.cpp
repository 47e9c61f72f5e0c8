// Guards against agents that break a line of section 1.2 of the design page.

#include "AgentScene.h"

#include <boost/test/unit_test.hpp>

using namespace plantaindrift;
using namespace plantaindrift::testing;

namespace {

std::vector<std::string> const three { "a", "b", "c" };

bool isDeliveredAt(Journey const& journey, std::string_view name)
{
    return journey.action == AgentAction::Deliver && journey.at == name;
}

} // namespace

// R1: a feed survives the drain of its target, joins, a restart of its agent and an entry that knows nothing.
BOOST_AUTO_TEST_CASE(R1FeedSurvivesPlannedChanges)
{
    AgentScene scene = AgentScene::settled(three);
    scene.send(three, scene.syn(1));
    scene.send(three, scene.data(1));
    scene.agents["a"]->setDraining(true);
    scene.record("a").draining = true;
    scene.spread();
    BOOST_TEST(isDeliveredAt(scene.send(three, scene.data(1)), "a"));
    scene.join("n");
    BOOST_TEST(isDeliveredAt(scene.send({ "n", "a", "b", "c" }, scene.data(1)), "a"));
    scene.start("a", false);
    std::array<FlowHash, 1> const open { scene.data(1).flow };
    scene.agents["a"]->reconcile(open, scene.now);
    scene.agents["a"]->setDraining(true);
    BOOST_TEST(isDeliveredAt(scene.send({ "n", "a", "b", "c" }, scene.data(1)), "a"));
    scene.advance(10min);
    BOOST_TEST(isDeliveredAt(scene.send({ "c", "n" }, scene.data(1)), "a"));
}

// R2: a flow table entry does not let a packet of another service in.
BOOST_AUTO_TEST_CASE(R2ServicesStayApart)
{
    AgentScene scene = AgentScene::settled(three);
    scene.send(three, scene.syn(1));
    RouteOption other = scene.route(three);
    other.service = hashService("izposoja");
    for (InnerPacket const& packet : { scene.syn(1), scene.data(1), scene.syn(2), scene.finish(1) })
        BOOST_TEST((scene.decide("a", other, packet).action == AgentAction::Drop));
    BOOST_TEST(scene.agents["a"]->counts().openFlows == 1U);
}

// R4, R5: after a refusal no copy of the same attempt runs, and after an admission no copy is refused.
BOOST_AUTO_TEST_CASE(R4RefusalAndAdmissionExclude)
{
    AgentScene scene = AgentScene::settled(three);
    scene.send(three, scene.syn(1));
    for (std::string const& name : three)
        scene.fill(name);
    BOOST_TEST(isDeliveredAt(scene.send(three, scene.syn(1)), "a"));
    BOOST_TEST((scene.send(three, scene.syn(2)).action == AgentAction::Refuse));
    for (std::string const& name : three)
        scene.relieve(name);
    BOOST_TEST(!scene.send(three, scene.syn(2)).admitted);
}

// R6: nobody sends new work to a draining target, also when it is the only one that the list names first.
BOOST_AUTO_TEST_CASE(R6DrainingTargetGetsNoNewWork)
{
    AgentScene scene = AgentScene::settled(three);
    scene.agents["b"]->setDraining(true);
    scene.record("b").draining = true;
    scene.spread();
    scene.fill("a");
    for (std::uint16_t flow = 1; flow <= 30; ++flow)
        BOOST_TEST(scene.send(three, scene.syn(flow)).at != "b");
    for (std::uint16_t flow = 31; flow <= 60; ++flow)
        BOOST_TEST(scene.send({ "b", "c", "a" }, scene.syn(flow)).at != "b");
    BOOST_TEST(scene.agents["b"]->counts().admitted == 0U);
}

// R7: a request in progress at the moment of the drain is finished.
BOOST_AUTO_TEST_CASE(R7RequestInProgressIsFinished)
{
    AgentScene scene = AgentScene::settled(three);
    scene.send(three, scene.syn(1));
    scene.agents["a"]->setDraining(true);
    for (InnerPacket const& packet : { scene.packet(1), scene.data(1), scene.packet(1), scene.finish(1), scene.packet(1) })
        BOOST_TEST(isDeliveredAt(scene.send(three, packet), "a"));
}

// R8: changed limits hold from the next packet on and lose no flow.
BOOST_AUTO_TEST_CASE(R8LimitsTakeEffectAtOnce)
{
    AgentScene scene = AgentScene::settled({ "a" });
    scene.service.limits.slots = 100;
    scene.agents["a"]->setService(scene.service);
    for (std::uint16_t flow = 1; flow <= 50; ++flow)
        BOOST_TEST(scene.send({ "a" }, scene.syn(flow)).admitted);
    scene.service.limits.slots = 10;
    scene.service.limits.connections = 20;
    scene.agents["a"]->setService(scene.service);
    BOOST_TEST(!scene.send({ "a" }, scene.syn(60)).admitted);
    for (std::uint16_t flow = 1; flow <= 50; ++flow)
        BOOST_TEST(isDeliveredAt(scene.send({ "a" }, scene.data(flow)), "a"));
}
