// Guards against a wrong view of the load: bytes without headers, a link that is narrower than declared, and a processor
// share that is used up.
#include "balancing/EntryStatuses.h"
#include "balancing/LinkBudget.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace {

using namespace plantaindrift;
using namespace std::chrono_literals;

constexpr TimePoint start { 1000s };

// Sends datagrams of 1,222 bytes at a rate for a time, with ticks of 100 ms. Returns the time of the end.
TimePoint transfer(LinkBudget& link, TimePoint from, std::chrono::milliseconds time, double megabits)
{
    constexpr std::size_t payload = 1222;
    double owed = 0;
    for (std::chrono::milliseconds passed { 0 }; passed < time; passed += 1ms) {
        for (owed += megabits * 125; owed >= payload + datagramHeaderBytes; owed -= payload + datagramHeaderBytes)
            link.recordSent(payload, from + passed);
        if ((passed + 1ms) % 100ms == 0ms)
            link.tick(from + passed + 1ms);
    }
    return from + time;
}

} // namespace

BOOST_AUTO_TEST_CASE(TheLinkCountsHeadersAndTheBusierDirection)
{
    LinkBudget link(10);
    link.tick(start);
    for (int tick = 1; tick <= 3; ++tick) {
        for (int datagram = 0; datagram < 100; ++datagram)
            link.recordReceived(972);
        link.recordSent(72, start);
        link.tick(start + tick * 100ms);
    }
    BOOST_TEST(link.receivedBytes() == 300'000U);
    BOOST_TEST(link.sentBytes() == 300U);
    BOOST_TEST(link.offeredBytesPerSecond() == 1'000'000, boost::test_tools::tolerance(0.001));
    BOOST_TEST(link.utilisation() == 0.8, boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(TheUtilisationIsAMeanOf300Milliseconds)
{
    LinkBudget link(10);
    link.tick(start);
    TimePoint const busyEnd = transfer(link, start, 1s, 9);
    BOOST_TEST(link.utilisation() == 0.9, boost::test_tools::tolerance(0.02));
    transfer(link, busyEnd, 200ms, 0);
    BOOST_TEST(link.utilisation() == 0.3, boost::test_tools::tolerance(0.05));
    transfer(link, busyEnd + 200ms, 100ms, 0);
    BOOST_TEST(link.utilisation() == 0);
}

// Load: 15 Mbit/s for 200 ms through 10 Mbit/s leave 1 Mbit, which takes 100 ms.
BOOST_AUTO_TEST_CASE(TheModelledQueueGrowsAndDrains)
{
    LinkBudget link(10);
    TimePoint const end = transfer(link, start, 200ms, 15);
    BOOST_TEST((link.modelledQueue(end) > 95ms && link.modelledQueue(end) < 105ms));
    BOOST_TEST((link.modelledQueue(end + 50ms) > 45ms && link.modelledQueue(end + 50ms) < 55ms));
    BOOST_TEST((link.modelledQueue(end + 200ms) == Duration::zero()));
}

// Load: the settings state 20 Mbit/s, the link has 5, and every opening waits in it for 300 ms.
BOOST_AUTO_TEST_CASE(AMeasuredDelayShowsALinkThatIsNarrowerThanDeclared)
{
    LinkBudget link(20);
    link.tick(start);
    for (int sample = 0; sample < 20; ++sample)
        link.recordRoundTrip(4ms + sample * 1ms);
    TimePoint const calmEnd = transfer(link, start, 300ms, 5);
    BOOST_TEST((link.measuredDelay() == Duration::zero()));
    BOOST_TEST(link.utilisation() == 0.25, boost::test_tools::tolerance(0.05));
    for (int sample = 0; sample < 5; ++sample)
        link.recordRoundTrip(304ms + sample * 10ms);
    transfer(link, calmEnd, 300ms, 5);
    BOOST_TEST((link.measuredDelay() == 300ms));
    BOOST_TEST(link.utilisation() == 1);
}

// Load: agents without processor time delay the notices to an entry whose wide link is hardly used.
BOOST_AUTO_TEST_CASE(ADelayOnAnUnusedLinkDoesNotFillIt)
{
    LinkBudget link(200);
    link.tick(start);
    for (int sample = 0; sample < 20; ++sample)
        link.recordRoundTrip(4ms);
    TimePoint const calmEnd = transfer(link, start, 300ms, 5);
    for (int sample = 0; sample < 20; ++sample)
        link.recordRoundTrip(304ms);
    transfer(link, calmEnd, 300ms, 5);
    BOOST_TEST(link.utilisation() < 0.1);
}

// Load: one target of many answers late. The link is not the cause.
BOOST_AUTO_TEST_CASE(ASlowTargetDoesNotPassForAFullLink)
{
    LinkBudget link(200);
    link.tick(start);
    for (int tick = 1; tick <= 10; ++tick) {
        for (int sample = 0; sample < 9; ++sample)
            link.recordRoundTrip(400ms);
        link.recordRoundTrip(4ms);
        link.tick(start + tick * 100ms);
    }
    BOOST_TEST(link.utilisation() < 0.1);
}

BOOST_AUTO_TEST_CASE(ALinkWithoutARateIsNeverBusy)
{
    LinkBudget link(0);
    link.tick(start);
    TimePoint const end = transfer(link, start, 1s, 900);
    BOOST_TEST(link.utilisation() == 0);
    BOOST_TEST((link.modelledQueue(end) == Duration::zero()));
    BOOST_TEST(link.sentBytes() > 100'000'000U);
}

BOOST_AUTO_TEST_CASE(TheProcessorIsRelatedToItsShare)
{
    ProcessorBudget processor(0.09);
    for (int tick = 0; tick <= 10; ++tick)
        processor.tick(tick * 8100us, 0ms, start + tick * 100ms);
    BOOST_TEST(processor.utilisation() == 0.9, boost::test_tools::tolerance(0.001));
    ProcessorBudget unlimited(0);
    for (int tick = 0; tick <= 10; ++tick)
        unlimited.tick(tick * 100ms, 500ms, start + tick * 100ms);
    BOOST_TEST(unlimited.utilisation() == 0);
}

// A limit of processor time stops the process for the rest of each period, so that the mean may stay below it.
BOOST_AUTO_TEST_CASE(ALateTimerCountsOnlyWithAUsedProcessor)
{
    ProcessorBudget heldBack(0.1);
    for (int tick = 0; tick <= 10; ++tick)
        heldBack.tick(tick * 9ms, 60ms, start + tick * 160ms);
    BOOST_TEST(heldBack.utilisation() == 1);
    ProcessorBudget idle(0.1);
    for (int tick = 0; tick <= 10; ++tick)
        idle.tick(tick * 1ms, 60ms, start + tick * 160ms);
    BOOST_TEST(idle.utilisation() < 0.1);
}

// Load: a new configuration takes 60 ms of a share of 0.09 within 300 ms.
BOOST_AUTO_TEST_CASE(AShortBurstDoesNotUseUpTheProcessor)
{
    ProcessorBudget processor(0.09);
    Duration used {};
    double highest = 0;
    for (int tick = 0; tick <= 40; ++tick) {
        used += tick >= 20 && tick < 23 ? 20ms : 1ms;
        processor.tick(used, 2ms, start + tick * 100ms);
        highest = std::max(highest, processor.utilisation());
    }
    BOOST_TEST(highest > 0.5);
    BOOST_TEST(highest < 0.8);
    BOOST_TEST(!processor.isLate());
}

// A share may not be enforced while the machine is idle; then the process does not suffer from using more.
BOOST_AUTO_TEST_CASE(OnlyALateTimerShowsThatTheProcessIsHeldBack)
{
    ProcessorBudget inTime(0.09);
    ProcessorBudget late(0.09);
    for (int tick = 0; tick <= 20; ++tick) {
        inTime.tick(tick * 12ms, 1ms, start + tick * 100ms);
        late.tick(tick * 12ms, 15ms, start + tick * 100ms);
    }
    BOOST_TEST(inTime.utilisation() > 1);
    BOOST_TEST(!inTime.isLate());
    BOOST_TEST(late.utilisation() > 1);
    BOOST_TEST(late.isLate());
}

// An older status that arrives later, through another entry, must not replace a newer one.
BOOST_AUTO_TEST_CASE(TheNewestStatusCounts)
{
    EntryStatuses statuses;
    statuses.setPeers({ { 7, { 1, 1 } }, { 8, { 2, 1 } } });
    EntryLoad status;
    status.nameHash = 7;
    status.utilisation = 0.9;
    status.age = 100ms;
    BOOST_TEST(statuses.record(status, start));
    status.utilisation = 0.1;
    status.age = 600ms;
    BOOST_TEST(!statuses.record(status, start + 400ms));
    BOOST_TEST(statuses.recent(start + 400ms).size() == 1U);
    BOOST_TEST(statuses.recent(start + 400ms)[0].utilisation == 0.9);
    BOOST_TEST(statuses.recent(start + 400ms)[0].age.count() == 500);
    BOOST_TEST(statuses.recent(start + 3s).empty());
}

BOOST_AUTO_TEST_CASE(StatusesOfUnknownEntriesAndOldOnesAreIgnored)
{
    EntryStatuses statuses;
    statuses.setPeers({ { 7, { 1, 1 } } });
    EntryLoad status;
    status.nameHash = 9;
    BOOST_TEST(!statuses.record(status, start));
    status.nameHash = 7;
    status.age = 3020ms;
    BOOST_TEST(!statuses.record(status, start));
    status.age = 0ms;
    BOOST_TEST(statuses.record(status, start));
    statuses.setPeers({});
    BOOST_TEST(statuses.recent(start).empty());
}
