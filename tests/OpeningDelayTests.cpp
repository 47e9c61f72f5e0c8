#include "RelayScene.h"

#include <boost/test/unit_test.hpp>

using namespace relay_scene;

namespace {

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
