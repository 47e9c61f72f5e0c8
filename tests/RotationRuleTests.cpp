// Guards against narrow entries that stay in rotation while wider ones have room, entries that leave although nobody can
// carry their share, and entries that leave and return again and again.
#include "EntryFleet.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

namespace {

using namespace entry_fleet;

std::function<double(double)> constantly(double megabits)
{
    return [megabits](double /*seconds*/) { return megabits; };
}

// Demand of skip hire: plus and minus 55 percent of the mean, with a period of 17 s.
std::function<double(double)> waving(double mean)
{
    return [mean](double seconds) { return mean * (1 + 0.55 * std::sin(seconds * 2 * 3.14159265358979 / 17)); };
}

} // namespace

BOOST_AUTO_TEST_CASE(TheNumberOfEntriesOutIsLimited)
{
    std::vector<std::size_t> const expected { 0, 0, 0, 1, 1, 1, 2, 2, 3, 3 };
    for (std::size_t running = 0; running < expected.size(); ++running)
        BOOST_TEST(maximumEntriesOut(running) == expected[running], running);
    BOOST_TEST(maximumEntriesOut(17) == 7U);
}

// Load: 3 of 17 entries have 10 Mbit/s; a surge of 6 s gives each entry 11 Mbit/s. The surge before this rule filled the
// narrow links for seconds.
BOOST_AUTO_TEST_CASE(NarrowEntriesLeaveEarlyInASurge)
{
    std::vector<double> links(17, 200);
    links[2] = links[7] = links[11] = 10;
    Fleet fleet(links);
    fleet.demandMbps = [](double seconds) { return seconds >= 10 && seconds < 16 ? 17 * 11.0 : 17 * 4.0; };
    fleet.runFor(10s);
    BOOST_TEST(fleet.outCount() == 0U);
    fleet.runFor(1s);
    BOOST_TEST(!fleet.isReady(2));
    BOOST_TEST(!fleet.isReady(7));
    BOOST_TEST(!fleet.isReady(11));
    fleet.runFor(5s);
    BOOST_TEST(fleet.mostOutAtOnce() == 3U);
    // Until the fabric has missed two probes.
    BOOST_TEST(fleet.overloadedTime().count() <= 3 * 2000);
    fleet.runFor(14s);
    BOOST_TEST(fleet.outCount() == 0U);
}

// Load: 80 Mbit/s for links of 10, 16, 200 and 200 Mbit/s. One of four may be out.
BOOST_AUTO_TEST_CASE(OfTwoSaturatedEntriesOnlyTheNarrowestLeaves)
{
    Fleet fleet({ 200, 16, 10, 200 });
    fleet.demandMbps = [](double seconds) { return seconds < 5 ? 10.0 : 80.0; };
    fleet.runFor(60s);
    BOOST_TEST(fleet.mostOutAtOnce() == 1U);
    BOOST_TEST(!fleet.isReady(2));
    BOOST_TEST(fleet.departures(1) == 0U);
    BOOST_TEST((fleet.reason(1) == RotationReason::LimitReached));
}

// Load: 8 entries, 4 of them saturated at once. Three of eight may be out.
BOOST_AUTO_TEST_CASE(OnlyAsManyLeaveAsAllowed)
{
    Fleet fleet({ 10, 10, 16, 200, 16, 200, 200, 200 });
    fleet.demandMbps = [](double seconds) { return seconds < 5 ? 16.0 : 8 * 18.0; };
    fleet.runFor(30s);
    BOOST_TEST(fleet.mostOutAtOnce() == 3U);
    BOOST_TEST(!fleet.isReady(0));
    BOOST_TEST(!fleet.isReady(1));
    BOOST_TEST(fleet.departures(2) + fleet.departures(4) == 1U);
}

// Load: two of four saturated, with half of the statuses lost. Entries may then decide without knowing of each other, so
// that the wider one of two leaves in some cases, and so that both leave until they learn of it.
BOOST_AUTO_TEST_CASE(LostStatusesDoNotLeaveTooManyOut)
{
    std::size_t narrowestOut = 0;
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        Fleet fleet({ 10, 16, 200, 200 });
        fleet.losesMessage = [&random](std::size_t /*from*/, std::size_t /*to*/) { return random() % 2 == 0; };
        fleet.demandMbps = [](double seconds) { return seconds < 5 ? 10.0 : 80.0; };
        fleet.runFor(12s);
        BOOST_TEST(fleet.outCount() == 1U, seed);
        narrowestOut += fleet.isReady(0) ? 0 : 1;
    }
    BOOST_TEST(narrowestOut >= 15U);
}

// Load: 36 Mbit/s for four links of 10 Mbit/s. A departure would overload the others further.
BOOST_AUTO_TEST_CASE(NoneLeavesIfAllAreNarrow)
{
    Fleet fleet({ 10, 10, 10, 10 });
    fleet.demandMbps = constantly(36);
    fleet.runFor(60s);
    BOOST_TEST(fleet.mostOutAtOnce() == 0U);
    for (std::size_t index = 0; index < fleet.size(); ++index)
        BOOST_TEST((fleet.reason(index) == RotationReason::OthersFull || fleet.reason(index) == RotationReason::NarrowerFirst), index);
}

// Load: one wide link among narrow ones. The fabric does not weigh by links, so that a departure moves a third of the
// traffic from one overloaded link to the other.
BOOST_AUTO_TEST_CASE(ADepartureMustNotOverloadOthersMoreThanItRelieves)
{
    Fleet fleet({ 10, 11, 11, 1000 });
    fleet.demandMbps = constantly(34);
    fleet.runFor(30s);
    BOOST_TEST(fleet.mostOutAtOnce() == 0U);
}

// Load: constant, at every level up to twice the narrow links.
BOOST_AUTO_TEST_CASE(ConstantDemandCausesNoOscillation)
{
    for (double share = 1; share <= 20; share += 0.5) {
        Fleet fleet({ 10, 10, 16, 200, 200, 200, 200, 1000 });
        fleet.demandMbps = constantly(8 * share);
        fleet.runFor(120s);
        for (std::size_t index = 0; index < fleet.size(); ++index)
            BOOST_TEST(fleet.departures(index) <= 1U, "share " << share << " entry " << index);
    }
}

// Load: each crest fills the narrow links. An entry that returned in each trough would leave seven times in 120 s.
BOOST_AUTO_TEST_CASE(WavingDemandCausesNoOscillation)
{
    for (double mean = 3; mean <= 14; mean += 0.5) {
        Fleet fleet({ 10, 10, 16, 200, 200, 200, 200, 1000 });
        fleet.demandMbps = waving(8 * mean);
        fleet.runFor(120s);
        for (std::size_t index = 0; index < fleet.size(); ++index)
            BOOST_TEST(fleet.departures(index) <= 3U, "mean " << mean << " entry " << index);
    }
}

BOOST_AUTO_TEST_CASE(AnEntryThatIsCutOffDoesNotLeave)
{
    Fleet fleet({ 10, 200, 200, 200 });
    fleet.losesMessage = [](std::size_t /*from*/, std::size_t to) { return to == 0; };
    fleet.demandMbps = constantly(60);
    fleet.runFor(30s);
    BOOST_TEST(fleet.departures(0) == 0U);
    BOOST_TEST((fleet.reason(0) == RotationReason::NoStatuses));
}

// Old statuses must not count: the others may be full, or out, meanwhile.
BOOST_AUTO_TEST_CASE(AnEntryThatIsCutOffWhileOutReturns)
{
    Fleet fleet({ 10, 200, 200, 200 });
    fleet.demandMbps = constantly(60);
    fleet.runFor(10s);
    BOOST_TEST(!fleet.isReady(0));
    fleet.losesMessage = [](std::size_t /*from*/, std::size_t to) { return to == 0; };
    fleet.runFor(3s);
    BOOST_TEST(!fleet.isReady(0));
    fleet.runFor(8s);
    BOOST_TEST(fleet.isReady(0));
}

// With two of four entries left, none may be out.
BOOST_AUTO_TEST_CASE(AnEntryReturnsWhenOthersEnd)
{
    Fleet fleet({ 10, 200, 200, 200 });
    fleet.demandMbps = constantly(60);
    fleet.runFor(10s);
    BOOST_TEST(!fleet.isReady(0));
    fleet.end(1);
    fleet.end(2);
    fleet.runFor(200ms);
    BOOST_TEST(fleet.isReady(0));
    BOOST_TEST((fleet.reason(0) == RotationReason::LimitReached || fleet.reason(0) == RotationReason::TooManyOut || fleet.reason(0) == RotationReason::HasRoom));
}

// Without declared limits, an entry must behave as before.
BOOST_AUTO_TEST_CASE(WithoutLimitsNothingIsSentAndNobodyLeaves)
{
    Fleet fleet({ 0, 0, 0, 0 });
    fleet.demandMbps = constantly(4000);
    fleet.runFor(30s);
    BOOST_TEST(fleet.mostOutAtOnce() == 0U);
    for (std::size_t index = 0; index < fleet.size(); ++index)
        BOOST_TEST(fleet.messageBytes(index) == 0U);
}

// Load: fluctuates around the limit of several entries of a large data centre, which is when most statuses are sent.
BOOST_AUTO_TEST_CASE(StatusesStayWithinTheControlBudget)
{
    std::vector<double> links(17, 200);
    links[0] = links[1] = links[2] = 10;
    Fleet fleet(links);
    fleet.demandMbps = [](double seconds) { return 17 * (std::fmod(seconds, 1) < 0.5 ? 7.0 : 10.0); };
    fleet.runFor(60s);
    for (std::size_t index = 0; index < fleet.size(); ++index)
        BOOST_TEST(fleet.messageBytes(index) <= 60U * 3000U, index);
}

// One entry that fails to send statuses must not hold back a departure forever when enough others are known.
BOOST_AUTO_TEST_CASE(AnUnknownEntryCountsAsOut)
{
    Fleet fleet({ 10, 200, 200, 200, 200, 0 });
    fleet.demandMbps = constantly(6 * 9);
    fleet.runFor(20s);
    BOOST_TEST(!fleet.isReady(0));
    Fleet small({ 10, 200, 200, 0 });
    small.demandMbps = constantly(4 * 9);
    small.runFor(20s);
    BOOST_TEST(small.isReady(0));
    BOOST_TEST((small.reason(0) == RotationReason::LimitReached));
}
