// Guards against overloads in which every request is answered, but all of them too late: in the seconds after all
// targets restarted, while they are slow, and in bursts above a service's capacity.
#include "balancing/AdmissionLimit.h"
#include "balancing/OpeningPolicy.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

namespace {

using namespace plantaindrift;
using namespace std::chrono_literals;

constexpr std::uint16_t slots = 3;
constexpr std::uint16_t serviceTimeTenthMs = 950;
constexpr Duration service = 95ms;
constexpr std::chrono::milliseconds objective = 400ms;

TargetLoad loadOf(std::size_t busy)
{
    TargetLoad load;
    load.isAccepting = true;
    load.slots = slots;
    load.activeRequests = static_cast<std::uint16_t>(busy);
    load.serviceTimeTenthMs = serviceTimeTenthMs;
    return load;
}

struct Outcome {
    int inTime { 0 };
    int late { 0 };
    int refused { 0 };
};

// Simulates one target with a backlog that receives requests at a fixed interval.
Outcome play(std::uint16_t limit, std::size_t backlog, Duration interval, int requests)
{
    std::vector<TimePoint> ends;
    std::vector<TimePoint> freeAt(slots, TimePoint { 1000s });
    TimePoint now { 1000s };
    Outcome outcome;
    auto const take = [&] {
        std::vector<TimePoint>::iterator const slot = std::min_element(freeAt.begin(), freeAt.end());
        *slot = std::max(*slot, now) + service;
        ends.push_back(*slot);
        return *slot;
    };
    for (std::size_t index = 0; index < backlog; ++index)
        take();
    for (int index = 0; index < requests; ++index) {
        std::size_t const busy = static_cast<std::size_t>(std::count_if(ends.begin(), ends.end(), [now](TimePoint end) { return end > now; }));
        if (!isWithinLimit(loadOf(busy), limit, 0))
            ++outcome.refused;
        else if (take() - now <= objective)
            ++outcome.inTime;
        else
            ++outcome.late;
        now += interval;
    }
    return outcome;
}

} // namespace

// All targets of the service started at the same time and are slow: the service receives 1.3 times the work that it
// can do, plus the requests that waited for the start.
BOOST_AUTO_TEST_CASE(AfterAColdStartWhatIsTakenIsAnsweredInTime)
{
    constexpr Duration interval = 24ms;
    Outcome const unlimited = play(0, 20, interval, 100);
    Outcome const limited = play(admissionLimit(objective, 0), 20, interval, 100);
    BOOST_TEST(unlimited.late == 100);
    BOOST_TEST(limited.late == 0);
    BOOST_TEST(limited.inTime >= 50);
}

BOOST_AUTO_TEST_CASE(LessUrgentRoutesGiveWayFirst)
{
    constexpr std::size_t busy = 8;
    BOOST_TEST(isWithinLimit(loadOf(busy), admissionLimit(objective, 0), 0));
    BOOST_TEST(!isWithinLimit(loadOf(busy), admissionLimit(objective, 1), 0));
}

BOOST_AUTO_TEST_CASE(NothingIsRefusedWhileASlotIsFree)
{
    // A latency objective below the service time would refuse everything.
    BOOST_TEST(isWithinLimit(loadOf(slots - 1), admissionLimit(10ms, 3), 2));
    BOOST_TEST(!isWithinLimit(loadOf(slots), admissionLimit(10ms, 3), 0));
}

BOOST_AUTO_TEST_CASE(ARouteWithoutObjectiveRefusesNothing)
{
    BOOST_TEST(admissionLimit(0ms, 0) == 0U);
    BOOST_TEST(isWithinLimit(loadOf(500), 0, 0));
}

BOOST_AUTO_TEST_CASE(ALaterCopyHasLessTimeLeft)
{
    constexpr std::size_t busy = 6;
    std::uint16_t const limit = admissionLimit(objective, 0);
    BOOST_TEST(isWithinLimit(loadOf(busy), limit, 0));
    BOOST_TEST(!isWithinLimit(loadOf(busy), limit, 1));
}

// Guards against callers who wait for retransmissions that are not served either: while most new flows exceeded the limit,
// originals were dropped, and with 1.2 times the capacity 9 percent of the requests of the second priority failed instead of 2.
BOOST_AUTO_TEST_CASE(AnOriginalOverTheLimitIsRefusedAtAnyShareOfSuch)
{
    OpeningInputs inputs;
    inputs.load = loadOf(50);
    inputs.latencyLimitTenthMs = admissionLimit(objective, 0);
    for (int index = 0; index < 100; ++index) {
        inputs.copy = 0;
        BOOST_TEST((decideOpening(inputs).action == OpeningAction::Refuse));
        // An earlier copy may have opened the flow.
        inputs.copy = 1;
        BOOST_TEST((decideOpening(inputs).action == OpeningAction::Drop));
    }
    inputs.copy = 0;
    inputs.load = loadOf(slots - 1);
    BOOST_TEST((decideOpening(inputs).action == OpeningAction::Admit));
}

// Guards against a less urgent route with a longer objective, or with none, whose requests fill the queues beyond the limit of
// an urgent one.
BOOST_AUTO_TEST_CASE(LimitsFollowThePriorities)
{
    std::vector<std::uint16_t> moreUrgent { admissionLimit(200ms, 0) };
    BOOST_TEST(orderedLimit(admissionLimit(200ms, 0), {}) == 1600U);
    BOOST_TEST(orderedLimit(0, {}) == 0U);
    BOOST_TEST(orderedLimit(admissionLimit(2000ms, 1), moreUrgent) == 1200U);
    BOOST_TEST(orderedLimit(0, moreUrgent) == 1200U);
    BOOST_TEST(orderedLimit(admissionLimit(100ms, 1), moreUrgent) == 600U);
    moreUrgent.push_back(0);
    BOOST_TEST(orderedLimit(0, moreUrgent) == 900U);
}
