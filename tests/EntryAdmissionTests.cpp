// Guards against bulk transfers that fill a narrow link, so that small requests wait behind them, and against refusals at
// entries that have room.
#include "LinkScene.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <iostream>

namespace {

using namespace link_scene;

// 40 segments of 1,200 bytes.
constexpr std::size_t bulkSegments = 40;
constexpr std::size_t bulkSegmentBytes = 1200;

// Transfers a second that offer a rate of data.
double bulkPerSecond(double megabits)
{
    return megabits * 1e6 / (8.0 * bulkSegments * bulkSegmentBytes);
}

// Small requests all the time; bulk at a low rate for 5 s, then a surge until 15 s.
void offerSurge(LinkScene& scene, double bulkMbps)
{
    scene.offer(smallAddress, 100, 0s, 20s, 1, 300);
    scene.offer(bulkAddress, bulkPerSecond(1), 0s, 5s, bulkSegments, bulkSegmentBytes);
    scene.offer(bulkAddress, bulkPerSecond(bulkMbps), 5s, 15s, bulkSegments, bulkSegmentBytes);
    scene.runFor(25s);
}

void report(LinkScene const& scene, char const* what)
{
    std::cout << what << ": small in 50 ms " << scene.shareInTime(smallAddress, 5s, 15s, 50ms) << ", in 200 ms " << scene.shareInTime(smallAddress, 5s, 15s, 200ms) << ", bulk delivered " << scene.deliveredMbps(bulkAddress, 6s, 15s) << " Mbit/s, bulk refused " << scene.refusedCount(bulkAddress) << ", small refused " << scene.refusedCount(smallAddress) << ", paced " << scene.bulkCounts().paced << ", dropped " << scene.bulkCounts().dropped << ", longest outbound wait of small ones " << std::chrono::duration_cast<std::chrono::milliseconds>(scene.longestSmallWait()).count() << " ms\n";
}

} // namespace

// Load: 30 Mbit/s of bulk at a link of 10 Mbit/s beside 100 small requests a second. Without admission, the small ones
// fail for the whole surge.
BOOST_AUTO_TEST_CASE(SmallRequestsKeepTheirTimeBesideABulkSurge)
{
    LinkScene open({ 10, 0, 0, false, false });
    offerSurge(open, 30);
    report(open, "without admission and pacing");
    LinkScene admitted({ 10, 0, 0, true, false });
    offerSurge(admitted, 30);
    report(admitted, "admission");
    LinkScene scene({ 10, 0, 0, true, true });
    offerSurge(scene, 30);
    report(scene, "admission and pacing");
    BOOST_TEST(open.shareInTime(smallAddress, 5s, 15s, 200ms) < 0.5);
    BOOST_TEST(scene.shareInTime(smallAddress, 5s, 15s, 200ms) > 0.97);
    BOOST_TEST(scene.refusedCount(smallAddress) == 0U);
    BOOST_TEST(scene.refusedCount(bulkAddress) > 100U);
    // What is left of 0.8 of the link beside 0.7 Mbit/s of small requests and headers.
    BOOST_TEST(scene.deliveredMbps(bulkAddress, 6s, 15s) > 5);
}

// Load: as before, and every refused caller tries twice more at an entry that is as busy, as when all are narrow.
BOOST_AUTO_TEST_CASE(SmallRequestsAreServedWhenAllEntriesAreNarrow)
{
    LinkScene scene({ 10, 0, 2, true, true });
    offerSurge(scene, 30);
    report(scene, "all entries narrow");
    BOOST_TEST(scene.shareInTime(smallAddress, 5s, 15s, 200ms) > 0.97);
    BOOST_TEST(scene.refusedCount(smallAddress) == 0U);
    BOOST_TEST(scene.deliveredMbps(bulkAddress, 6s, 15s) > 5);
}

// Load: bulk arrives three times faster than the link carries it away, so that bursts wait where the link leaves the
// entry. Without pacing, small segments wait behind them.
BOOST_AUTO_TEST_CASE(SmallSegmentsDoNotWaitBehindBursts)
{
    LinkScene unpaced({ 10, 100, 0, true, false });
    offerSurge(unpaced, 30);
    report(unpaced, "bursts without pacing");
    LinkScene scene({ 10, 100, 0, true, true });
    offerSurge(scene, 30);
    report(scene, "bursts with pacing");
    BOOST_TEST((unpaced.longestSmallWait() > 40ms));
    BOOST_TEST((scene.longestSmallWait() <= 25ms));
    BOOST_TEST(scene.shareInTime(smallAddress, 5s, 15s, 50ms) > 0.97);
    BOOST_TEST(scene.deliveredMbps(bulkAddress, 6s, 15s) > 5);
}

// Load: the surge at a link that is far from its limit. The entry must behave as without any of this.
BOOST_AUTO_TEST_CASE(AWideLinkRefusesAndDelaysNothing)
{
    for (double const link : { 200.0, 1000.0 }) {
        LinkScene open({ link, 0, 0, false, false });
        offerSurge(open, 30);
        LinkScene scene({ link, 0, 0, true, true });
        offerSurge(scene, 30);
        BOOST_TEST(scene.refusedCount(bulkAddress) + scene.refusedCount(smallAddress) == 0U);
        BOOST_TEST(scene.bulkCounts().paced + scene.bulkCounts().dropped == 0U);
        BOOST_TEST((scene.longestSmallWait() == open.longestSmallWait()));
        BOOST_TEST(scene.deliveredMbps(bulkAddress, 0s, 20s) == open.deliveredMbps(bulkAddress, 0s, 20s));
    }
}

// Load: small requests alone need 1.6 times the link. What is admitted is served, and the others know at once.
BOOST_AUTO_TEST_CASE(SmallFlowsAreRefusedWhenTheLinkCannotCarryEvenThese)
{
    LinkScene open({ 2, 0, 0, false, false });
    LinkScene scene({ 2, 0, 0, true, true });
    for (LinkScene* const each : { &open, &scene }) {
        each->offer(smallAddress, 650, 0s, 10s, 1, 300);
        each->runFor(15s);
        report(*each, "small requests only");
    }
    BOOST_TEST(scene.refusedCount(smallAddress) > 500U);
    BOOST_TEST(scene.deliveredMbps(smallAddress, 2s, 10s) > open.deliveredMbps(smallAddress, 2s, 10s));
}

// Nothing is known of an address at first. Its flows must not be refused as bulk.
BOOST_AUTO_TEST_CASE(AFlowOfAnUnknownAddressIsAdmitted)
{
    EntryAdmission admission;
    TimePoint now { 1000s };
    admission.tick({ 1'250'000, 1'100'000, 0.88, 0 }, now);
    BOOST_TEST((admission.decide(bulkAddress) == EntryRefusal::None));
}

// A flow may need more than the link carries in the time that the backlog allows; it must be admitted nevertheless.
BOOST_AUTO_TEST_CASE(LongTransfersAreAdmittedOneAfterAnother)
{
    EntryAdmission admission;
    TimePoint now { 1000s };
    admission.tick({ 1'250'000, 0, 0, 0 }, now);
    BOOST_TEST((admission.decide(bulkAddress) == EntryRefusal::None));
    for (int segment = 0; segment < 2000; ++segment)
        admission.recordSegment(bulkAddress, 1200, 1300);
    BOOST_TEST(admission.isBulk(bulkAddress));
    std::size_t admitted = 0;
    for (int tick = 0; tick < 100; ++tick) {
        now += 100ms;
        admission.tick({ 1'250'000, 0, 0, 0 }, now);
        for (int opening = 0; opening < 10; ++opening)
            admitted += admission.decide(bulkAddress) == EntryRefusal::None ? 1 : 0;
    }
    // Ten seconds at 1 MB a second, for flows whose mean falls with the flows that bring nothing.
    BOOST_TEST(admitted >= 3U);
    BOOST_TEST(admitted < 500U);
}

// Load: the processor is used up although the link is not. Bulk is refused first.
BOOST_AUTO_TEST_CASE(AUsedProcessorRefusesBulkFirst)
{
    EntryAdmission admission;
    TimePoint now { 1000s };
    admission.tick({ 0, 100'000, 0, 0.5 }, now);
    for (int flow = 0; flow < 10; ++flow) {
        BOOST_TEST((admission.decide(bulkAddress) == EntryRefusal::None));
        BOOST_TEST((admission.decide(smallAddress) == EntryRefusal::None));
        admission.recordSegment(smallAddress, 300, 400);
        for (int segment = 0; segment < 40; ++segment)
            admission.recordSegment(bulkAddress, 1200, 1300);
    }
    BOOST_TEST(admission.isBulk(bulkAddress));
    BOOST_TEST(!admission.isBulk(smallAddress));
    BOOST_TEST(admission.bytesPerFlow(bulkAddress) == 52'000, boost::test_tools::tolerance(0.001));
    admission.tick({ 0, 100'000, 0, 0.85 }, now + 100ms);
    BOOST_TEST((admission.decide(bulkAddress) == EntryRefusal::Processor));
    BOOST_TEST((admission.decide(smallAddress) == EntryRefusal::None));
    admission.tick({ 0, 100'000, 0, 0.96 }, now + 200ms);
    BOOST_TEST((admission.decide(smallAddress) == EntryRefusal::Processor));
}

// An address that carries small requests again must not be refused as bulk for long.
BOOST_AUTO_TEST_CASE(TheKindOfAnAddressFollowsItsFlows)
{
    EntryAdmission admission;
    TimePoint now { 1000s };
    admission.tick({ 1'250'000, 0, 0, 0 }, now);
    for (int flow = 0; flow < 20; ++flow) {
        (void)admission.decide(bulkAddress);
        for (int segment = 0; segment < 10; ++segment)
            admission.recordSegment(bulkAddress, 1200, 1300);
    }
    BOOST_TEST(admission.isBulk(bulkAddress));
    for (int tick = 0; tick < 200; ++tick) {
        now += 100ms;
        admission.tick({ 1'250'000, 0, 0, 0 }, now);
        for (int flow = 0; flow < 2; ++flow) {
            (void)admission.decide(bulkAddress);
            admission.recordSegment(bulkAddress, 300, 400);
        }
    }
    BOOST_TEST(!admission.isBulk(bulkAddress));
}
