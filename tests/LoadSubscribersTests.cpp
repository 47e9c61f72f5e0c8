// Guards against entries that know the state of running targets only seconds after their own restart: their earlier process had
// subscribed, so that the agent sent the next report when it was due.
#include "relay/LoadSubscribers.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace plantaindrift;
using namespace std::chrono_literals;

TimePoint const start { 1000s };
Endpoint const entry { 0x0A010001U, 7735 };
constexpr std::chrono::milliseconds interval { 1700 };

} // namespace

BOOST_AUTO_TEST_CASE(AnEntryThatRestartedGetsAReportSoon)
{
    LoadSubscribers subscribers;
    BOOST_TEST(subscribers.renew(entry, interval, start));
    BOOST_TEST(!subscribers.renew(entry, interval, start + 1s));
    // The new process subscribes every 100 ms until a report arrives.
    BOOST_TEST(!subscribers.renew(entry, interval, start + 1600ms));
    BOOST_TEST(subscribers.renew(entry, interval, start + 1700ms));
    BOOST_TEST(subscribers.collectDue(start + 1800ms).empty());
}

// Reports to an entry whose link is overloaded arrive late; further ones must not add to its load.
BOOST_AUTO_TEST_CASE(RepeatedSubscriptionsCauseFewReports)
{
    LoadSubscribers subscribers;
    int reports = 0;
    for (TimePoint now = start; now < start + 4s; now += 100ms)
        reports += subscribers.renew(entry, interval, now) ? 1 : 0;
    BOOST_TEST(reports == 10);
}

BOOST_AUTO_TEST_CASE(RegularRenewalsCauseNoReport)
{
    LoadSubscribers subscribers;
    BOOST_TEST(subscribers.renew(entry, interval, start));
    for (TimePoint now = start + 1s; now < start + 10s; now += 1s)
        BOOST_TEST(!subscribers.renew(entry, interval, now));
}
