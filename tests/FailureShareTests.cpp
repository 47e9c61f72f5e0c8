// Guards against targets that fail requests and therefore look idle, and against targets that receive no requests any
// more after a fault.
#include "RelayScene.h"
#include "balancing/FailureShare.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace relay_scene;

constexpr double requestsPerSecond = 700;

std::uint64_t failedRequests(Scene const& scene)
{
    std::uint64_t failed = 0;
    for (std::unique_ptr<Agent> const& agent : scene.agents)
        failed += agent->target.failed;
    return failed;
}

std::uint64_t requestsAt(Scene const& scene, std::size_t agent)
{
    return scene.agents[agent]->target.requests;
}

} // namespace

BOOST_AUTO_TEST_CASE(TheShareFollowsTheLatestRequests)
{
    FailureShare share;
    BOOST_TEST(share.percent() == 0U);
    for (int request = 0; request < 60; ++request)
        share.record(true);
    BOOST_TEST(share.percent() >= 99U);
    for (int request = 0; request < 60; ++request)
        share.record(false);
    BOOST_TEST(share.percent() <= 1U);
}

// A target that receives no requests could not show that it works again.
BOOST_AUTO_TEST_CASE(TheShareFallsWithoutRequests)
{
    FailureShare share;
    for (int request = 0; request < 60; ++request)
        share.record(true);
    TimePoint now { 1000s };
    for (int tick = 0; tick <= 300; ++tick)
        share.tick(now + tick * 100ms);
    BOOST_TEST(share.percent() <= 1U);
}

BOOST_AUTO_TEST_CASE(AReplacedTargetStartsWithoutFailures)
{
    FailureShare share;
    share.record(true);
    share.reset();
    BOOST_TEST(share.percent() == 0U);
}

// Two of ten targets reset every second request at once. They looked idle and received more than their share.
BOOST_AUTO_TEST_CASE(TargetsThatResetRequestsGetFewer)
{
    Scene scene(4, 10);
    runTraffic(scene, requestsPerSecond, 1s, 60ms, anyEntry);
    scene.agents[2]->target.failEvery = 2;
    scene.agents[7]->target.failEvery = 2;
    std::size_t const flowsBefore = scene.flows.size();
    Answers const answers = runTraffic(scene, requestsPerSecond, 4s, 60ms, anyEntry);
    // An equal distribution fails a tenth of the requests.
    BOOST_TEST(failedRequests(scene) <= (scene.flows.size() - flowsBefore) / 20);
    BOOST_TEST(answers.inTime >= answers.all * 95 / 100);
}

// A target accepts requests and answers none; the callers give up.
BOOST_AUTO_TEST_CASE(TargetsWhoseCallersGiveUpGetFewer)
{
    Scene scene(4, 10);
    CallerFlow& flow = scene.open(0);
    scene.runFor(100ms);
    for (std::unique_ptr<Agent> const& agent : scene.agents)
        agent->target.serviceTime = 10s;
    scene.request(flow);
    scene.runFor(3s);
    scene.close(flow);
    scene.runFor(10ms);
    std::size_t failing = 0;
    for (std::unique_ptr<Agent> const& agent : scene.agents)
        failing += agent->relay->load().failedPercent > 0 ? 1U : 0U;
    BOOST_TEST(failing == 1U);
}

// A caller that closes early says nothing about the target.
BOOST_AUTO_TEST_CASE(ACallerThatLeavesAtOnceIsNoFailure)
{
    Scene scene(1, 1);
    CallerFlow& flow = scene.open(0);
    scene.runFor(100ms);
    scene.request(flow);
    scene.runFor(5ms);
    scene.close(flow);
    scene.runFor(10ms);
    BOOST_TEST(scene.agents[0]->relay->load().failedPercent == 0U);
}

// Datagrams may be reordered: a seventh of the answered requests counted as failed without any fault.
BOOST_AUTO_TEST_CASE(AnEndThatOvertakesTheAnswerIsNoFailure)
{
    Scene scene(1, 1);
    CallerFlow& flow = scene.open(0);
    scene.runFor(100ms);
    scene.request(flow);
    scene.runFor(5ms);
    Header const end { 9200, 0, 0, serviceAddress, flow.caller, acknowledgementFlag | closingFlag, 0 };
    Bytes const packet = makePacket(end);
    (void)scene.agents[0]->relay->processTargetDatagram(packet, scene.now(), wallClockSeconds);
    scene.runFor(100ms);
    BOOST_TEST(scene.agents[0]->relay->load().failedPercent == 0U);
}

BOOST_AUTO_TEST_CASE(ATargetThatNoLongerFailsGetsItsShareBack)
{
    Scene scene(4, 10);
    scene.agents[2]->target.failEvery = 2;
    runTraffic(scene, requestsPerSecond, 4s, 60ms, anyEntry);
    scene.agents[2]->target.failEvery = 0;
    runTraffic(scene, requestsPerSecond, 10s, 60ms, anyEntry);
    std::uint64_t const before = requestsAt(scene, 2);
    std::size_t const flowsBefore = scene.flows.size();
    runTraffic(scene, requestsPerSecond, 4s, 60ms, anyEntry);
    BOOST_TEST(requestsAt(scene, 2) - before >= (scene.flows.size() - flowsBefore) / 20);
}

// Avoiding every target would leave no target to serve requests.
BOOST_AUTO_TEST_CASE(TargetsThatAllFailStayInUse)
{
    Scene scene(4, 5);
    for (std::unique_ptr<Agent> const& agent : scene.agents)
        agent->target.failEvery = 2;
    runTraffic(scene, 300, 5s, 60ms, anyEntry);
    for (std::size_t agent = 0; agent < scene.agents.size(); ++agent)
        BOOST_TEST(requestsAt(scene, agent) >= scene.flows.size() / 10);
}
