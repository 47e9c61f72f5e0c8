#include "RelayScene.h"

#include <boost/test/unit_test.hpp>

using namespace relay_scene;

namespace {

std::size_t openingsAtTargets(Scene const& scene)
{
    std::size_t openings = 0;
    for (std::unique_ptr<Agent> const& agent : scene.agents)
        openings += agent->target.openings;
    return openings;
}

std::size_t resetRequests(Scene const& scene)
{
    std::size_t resets = 0;
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows)
        resets += static_cast<std::size_t>(std::count_if(flow->requests.begin(), flow->requests.end(), [](Request const& request) { return request.reset; }));
    return resets;
}

std::size_t unansweredRequests(Scene const& scene)
{
    std::size_t unanswered = 0;
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows)
        unanswered += static_cast<std::size_t>(std::count_if(flow->requests.begin(), flow->requests.end(), [](Request const& request) { return !request.answered; }));
    return unanswered;
}

} // namespace

// Guards against segments of an open flow that reach only targets which do not hold it: a late copy of the opening
// segment was admitted elsewhere, and the entry kept falling back to agents that relay to the wrong owner.
BOOST_AUTO_TEST_CASE(LateOpeningsDoNotKeepSegmentsFromTheirOwner)
{
    Scene scene(2, 4);
    constexpr std::size_t flowCount = 60;
    for (std::size_t index = 0; index < flowCount; ++index)
        scene.open(1);
    scene.runFor(1s);
    BOOST_TEST(unansweredRequests(scene) == 0U);
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows) {
        scene.repeatOpening(*flow, 0, 0);
        scene.repeatOpening(*flow, 0, 1);
    }
    scene.runFor(9s);
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows) {
        flow->entry = 0;
        scene.request(*flow);
    }
    // The platform's callers retransmit after 200 ms, and then with doubled intervals.
    for (Duration const wait : { 200ms, 400ms, 800ms }) {
        scene.runFor(wait);
        for (std::unique_ptr<CallerFlow> const& flow : scene.flows) {
            if (!flow->requests.back().answered)
                scene.repeatRequest(*flow);
        }
    }
    scene.runFor(500ms);
    BOOST_TEST(unansweredRequests(scene) == 0U);
}

// Guards against a second owner of an open flow: an opening segment waited while its entry stood still, and was offered to
// a target although a retransmission had opened the flow through another entry.
BOOST_AUTO_TEST_CASE(AnOpeningThatWaitedInAStalledEntryIsNotOffered)
{
    Scene scene(2, 4);
    scene.pause(scene.entries[0]->pause);
    CallerFlow& flow = scene.open(0);
    scene.runFor(100ms);
    flow.entry = 1;
    scene.runFor(1s);
    BOOST_TEST(flow.requests.back().answered.has_value());
    scene.runFor(2s);
    scene.resume(scene.entries[0]->pause);
    scene.runFor(1s);
    BOOST_TEST(openingsAtTargets(scene) == 1U);
    BOOST_TEST(scene.decisions.count("dropped_stale") == 1U);
}

// Guards against a second owner, and against a reset of an open flow: the original opening segment waited while an agent
// stood still, and was admitted or refused there although a retransmission had opened the flow at another target.
BOOST_AUTO_TEST_CASE(AnOpeningThatWaitedInAStalledAgentIsNeitherAdmittedNorRefused)
{
    for (bool const isAccepting : { true, false }) {
        Scene scene(1, 6);
        Agent& stalled = *scene.agents[0];
        scene.pause(stalled.pause);
        constexpr std::size_t flowCount = 60;
        for (std::size_t index = 0; index < flowCount; ++index)
            scene.open(0);
        scene.runFor(3s);
        BOOST_TEST(unansweredRequests(scene) == 0U);
        for (std::unique_ptr<Agent> const& agent : scene.agents) {
            agent->state.isAccepting = isAccepting;
            agent->relay->setTargetState(agent->state, scene.now());
        }
        scene.resume(stalled.pause);
        scene.runFor(1s);
        BOOST_TEST(stalled.target.openings == 0U);
        BOOST_TEST(resetRequests(scene) == 0U);
    }
}

// A short stall does not cost the callers whose openings are still answered in time.
BOOST_AUTO_TEST_CASE(AnOpeningThatWaitedLessThanItsLifetimeIsOffered)
{
    Scene scene(1, 2);
    scene.pause(scene.entries[0]->pause);
    CallerFlow& flow = scene.open(0);
    scene.runFor(150ms);
    scene.resume(scene.entries[0]->pause);
    scene.runFor(100ms);
    BOOST_TEST(flow.requests.back().answered.has_value());
}

// Guards against a second owner: a target returned an opening segment that had waited while its machine stood still, and
// the agent offered it to another target although a retransmission had opened the flow elsewhere.
BOOST_AUTO_TEST_CASE(AnOpeningThatATargetReturnsLateIsNotOffered)
{
    for (Duration const wait : { Duration(100ms), Duration(4s) }) {
        Scene scene(1, 2);
        for (std::unique_ptr<Agent> const& agent : scene.agents)
            agent->target.up = false;
        CallerFlow& flow = scene.open(0);
        scene.runFor(50ms);
        // The caller sends no retransmissions.
        flow.requests.front().refused = true;
        std::size_t const first = scene.agents[0]->relay->load().openFlows > 0 ? 0 : 1;
        scene.runFor(wait);
        Bytes const returned = makePacket({ 100, 0, 1, flow.caller, serviceAddress, openingFlag | returnedFlag, 0 });
        PacketVerdict const verdict = scene.agents[first]->relay->processTargetDatagram(returned, scene.now(), wallClockSeconds);
        bool const isOffered = verdict.to == scene.agents[1 - first]->data;
        BOOST_TEST(isOffered == (wait < 400ms));
    }
}
