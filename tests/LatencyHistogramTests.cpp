// Guards against latencies in the wrong class: a page that shows deadlines as met which were missed.
#include "plantaindrift/base/LatencyHistogram.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace plantaindrift;
using namespace std::chrono_literals;

} // namespace

BOOST_AUTO_TEST_CASE(ATimeAtABoundBelongsToThatClass)
{
    LatencyHistogram histogram;
    histogram.observe(1ms);
    histogram.observe(1ms + 1us);
    BOOST_TEST(histogram.counts()[0] == 1U);
    BOOST_TEST(histogram.counts()[1] == 1U);
}

BOOST_AUTO_TEST_CASE(LongTimesHaveAClassWithoutABound)
{
    LatencyHistogram histogram;
    histogram.observe(10s);
    histogram.observe(1h);
    BOOST_TEST(histogram.counts()[LatencyHistogram::upperBounds.size() - 1] == 1U);
    BOOST_TEST(histogram.counts().back() == 1U);
}

BOOST_AUTO_TEST_CASE(TheSumAndTheTotalCoverAllClasses)
{
    LatencyHistogram histogram;
    BOOST_TEST(histogram.total() == 0U);
    histogram.observe(30ms);
    histogram.observe(20s);
    histogram.observe(-5ms);
    BOOST_TEST(histogram.total() == 3U);
    BOOST_TEST(histogram.sumSeconds() == 20.03, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(histogram.counts()[0] == 1U);
}
