// Guards against a request that runs although its caller was told "not run" (R4), in the cases that model checking found.

#include "AgentScene.h"

#include <boost/test/unit_test.hpp>

using namespace plantaindrift;
using namespace plantaindrift::testing;

namespace {

std::vector<std::string> const three { "a", "b", "c" };

void makeStrict(AgentScene& scene)
{
    scene.service.idempotent = false;
    for (std::string const& name : three)
        scene.agents[name]->setService(scene.service);
}

void fillAll(AgentScene& scene)
{
    for (std::string const& name : three)
        scene.fill(name);
}

void relieveAll(AgentScene& scene)
{
    for (std::string const& name : three)
        scene.relieve(name);
}

} // namespace

// Another copy of a strict datagram may be under way to a target that takes it.
BOOST_AUTO_TEST_CASE(StrictDatagramIsNotRefused)
{
    AgentScene scene = AgentScene::settled(three, Protocol::Udp);
    makeStrict(scene);
    fillAll(scene);
    Journey const journey = scene.send(three, scene.syn(1));
    BOOST_TEST((journey.action == AgentAction::Drop));
    BOOST_TEST((journey.reason == AgentReason::AllFull));
    // A later copy may run, because its caller got no answer.
    relieveAll(scene);
    BOOST_TEST(scene.send(three, scene.syn(1)).admitted);
}

// A restart forgets the refusal; a copy that comes at once must not run, here or at another target.
BOOST_AUTO_TEST_CASE(RestartedAgentTakesNoCopyOfARefusedDatagram)
{
    AgentScene scene = AgentScene::settled(three, Protocol::Udp);
    fillAll(scene);
    Journey const refused = scene.send(three, scene.syn(1));
    BOOST_TEST((refused.action == AgentAction::Refuse));
    scene.start(refused.at, true);
    relieveAll(scene);
    Journey const copy = scene.send(three, scene.syn(1));
    BOOST_TEST(!copy.admitted);
    BOOST_TEST((copy.reason == AgentReason::Recovering));
    Journey const otherOrder = scene.send({ refused.at }, scene.syn(1));
    BOOST_TEST(!otherOrder.admitted);
}

// The same by the probe of a claimant: the restarted agent must not let it pass.
BOOST_AUTO_TEST_CASE(RestartedAgentStopsTheProbeForARefusedDatagram)
{
    AgentScene scene = AgentScene::settled(three, Protocol::Udp);
    scene.start("b", true);
    RouteOption route = scene.route(three);
    route.claimant = AgentScene::endpoint("a");
    route.position = 1;
    route.hops = 1;
    AgentDecision const early = scene.decide("b", route, scene.syn(1));
    BOOST_TEST((early.action == AgentAction::Drop));
    BOOST_TEST((early.reason == AgentReason::Recovering));
    scene.advance(6s);
    BOOST_TEST((scene.decide("b", route, scene.syn(1)).action == AgentAction::Pass));
}

// TCP callers see a refusal of the SYN only before the handshake, so that nothing has run; they are refused early.
BOOST_AUTO_TEST_CASE(TcpIsRefusedWhenAllAreFull)
{
    AgentScene scene = AgentScene::settled(three);
    fillAll(scene);
    BOOST_TEST((scene.send(three, scene.syn(1)).action == AgentAction::Refuse));
}
