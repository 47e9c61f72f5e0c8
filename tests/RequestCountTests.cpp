// Guards against waits that are counted as service time: an overloaded target then looks many times slower than it is,
// and decisions by expected time are wrong for seconds after the overload.
#include "balancing/RequestCount.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <vector>

namespace {

using namespace plantaindrift;
using namespace std::chrono_literals;

// A target with a fixed service time and a number of slots that serves requests in order of arrival.
class FakeTarget {
public:
    FakeTarget(std::size_t slots, Duration service)
        : free_(slots, TimePoint { 1000s })
        , service_(service)
    {
    }

    Duration finishAfter(TimePoint arrival)
    {
        std::vector<TimePoint>::iterator const slot = std::min_element(free_.begin(), free_.end());
        *slot = std::max(*slot, arrival) + service_;
        return *slot - arrival;
    }

private:
    std::vector<TimePoint> free_;
    Duration service_;
};

// Simulates requests at a fixed interval. \returns the measured service time in ms
double measure(std::size_t slots, Duration service, Duration interval, int requests)
{
    struct Running {
        TimePoint arrival;
        TimePoint end;
    };
    RequestCount count;
    FakeTarget target(slots, service);
    std::deque<Running> running;
    TimePoint now { 1000s };
    for (int index = 0; index < requests; ++index) {
        while (!running.empty() && running.front().end <= now) {
            count.finish(running.front().arrival, running.front().end, slots);
            running.pop_front();
        }
        count.begin(now);
        running.push_back({ now, now + target.finishAfter(now) });
        now += interval;
    }
    return count.serviceTimeTenthMs() / 10.0;
}

} // namespace

BOOST_AUTO_TEST_CASE(AnIdleTargetIsMeasuredDirectly)
{
    BOOST_TEST(measure(3, 50ms, 100ms, 100) == 50.0, boost::test_tools::tolerance(0.02));
}

BOOST_AUTO_TEST_CASE(WaitsOfAnOverloadedTargetAreNotServiceTime)
{
    // 1.5 times what three slots can serve: the last of 300 requests waits 1.7 s.
    BOOST_TEST(measure(3, 50ms, 11ms, 300) == 50.0, boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(ATargetThatTurnsSlowUnderLoadIsNoticed)
{
    RequestCount count;
    TimePoint now { 1000s };
    for (int index = 0; index < 40; ++index) {
        count.begin(now);
        count.finish(now, now + 50ms, 3);
        now += 100ms;
    }
    BOOST_TEST(count.serviceTimeTenthMs() == 500U);
    TimePoint const arrival = now;
    for (int index = 0; index < 9; ++index)
        count.begin(arrival);
    // Three slots complete a request every 80 ms, which is 240 ms for each.
    for (int index = 0; index < 60; ++index) {
        now += 80ms;
        count.begin(arrival);
        count.finish(arrival, now, 3);
    }
    BOOST_TEST(count.serviceTimeTenthMs() > 2000U);
}

BOOST_AUTO_TEST_CASE(ARequestThatIsCancelledLeavesNoLoad)
{
    RequestCount count;
    count.begin(TimePoint { 1000s });
    count.cancel(TimePoint { 1000s });
    count.cancel(TimePoint { 1000s });
    BOOST_TEST(count.busy() == 0U);
    BOOST_TEST(count.serviceTimeTenthMs() == 0U);
}
