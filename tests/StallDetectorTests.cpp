#include "runtime/StallDetector.h"

#include <boost/test/unit_test.hpp>

using namespace plantaindrift;
using namespace std::chrono_literals;

// The steady clock may omit the time while a machine is suspended, so that only the uptime shows a stall.
BOOST_AUTO_TEST_CASE(AStallIsTheTimeWithoutATurn)
{
    StallDetector detector;
    BOOST_TEST(detector.recordTurn(100s).count() == 0);
    BOOST_TEST(detector.recordTurn(100s + 100ms).count() == 0);
    BOOST_TEST(detector.recordTurn(100s + 499ms).count() == 0);
    BOOST_TEST(detector.count() == 0U);
    BOOST_TEST((detector.recordTurn(104s) == 3501ms));
    BOOST_TEST(detector.recordTurn(104s + 1ms).count() == 0);
    BOOST_TEST(detector.count() == 1U);
}

BOOST_AUTO_TEST_CASE(UptimeDoesNotDecrease)
{
    Duration const first = readUptime();
    BOOST_TEST(first.count() > 0);
    BOOST_TEST((readUptime() >= first));
}
