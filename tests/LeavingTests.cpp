// Guards against callers who wait at the full targets of their data centre while those of another one are idle, and against
// traffic between data centres that saves nobody any time.
#include "BalancingScene.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <numbers>

namespace {

using namespace balancing_scene;

Settings distantSites(Duration oneWay)
{
    Settings settings;
    settings.dataCentres = 3;
    settings.remoteDelay = oneWay;
    settings.entriesPerDataCentre = 4;
    return settings;
}

struct Outcome {
    Times times;
    double megabytes { 0 };
};

void print(std::string_view name, Outcome const& outcome)
{
    Times const& times = outcome.times;
    BOOST_TEST_MESSAGE(name << ": requests " << times.all << ", failed " << times.failed << ", in time " << times.inTimeShare() << ", mean " << times.meanMs << " ms, p50 " << times.p50Ms << " ms, p99 " << times.p99Ms << " ms, left " << times.leftShare() << ", MB between data centres " << outcome.megabytes);
}

/// The demand of each data centre varies by 55 percent of its mean, with a period of 17 s and its own phase.
Outcome playWaves(Settings const& settings, double utilisation)
{
    Scene scene(settings);
    double const mean = utilisation * scene.capacityPerDataCentre();
    for (std::size_t site = 0; site < settings.dataCentres; ++site) {
        double const phase = static_cast<double>(site) / static_cast<double>(settings.dataCentres);
        scene.offer(site, 34s, [mean, phase](double second) { return mean * (1 + 0.55 * std::sin(2 * std::numbers::pi * (second / 17 + phase))); });
    }
    scene.runFor(38s);
    return { summarize(scene, [](Result const&) { return true; }), scene.remoteBytes / 1e6 };
}

/// After 5 s, 70 percent of the callers of data centre 0 move to data centre 1.
Outcome playMove(Settings const& settings, double utilisation)
{
    Scene scene(settings);
    double const mean = utilisation * scene.capacityPerDataCentre();
    scene.offer(0, 20s, [mean](double second) { return second < 5 ? mean : 0.3 * mean; });
    scene.offer(1, 20s, [mean](double second) { return second < 5 ? mean : 1.7 * mean; });
    scene.offer(2, 20s, [mean](double) { return mean; });
    scene.runFor(24s);
    return { summarize(scene, [](Result const&) { return true; }), scene.remoteBytes / 1e6 };
}

struct Comparison {
    Outcome fixed;
    Outcome measured;
    Outcome local;
};

template <typename Play>
Comparison compare(std::string const& name, Settings settings, Play const& play)
{
    Comparison comparison;
    settings.isDistanceMeasured = false;
    comparison.fixed = play(settings);
    print(name + ", fixed 2 ms", comparison.fixed);
    settings.isDistanceMeasured = true;
    comparison.measured = play(settings);
    print(name + ", measured", comparison.measured);
    settings.remote.mode = RemoteMode::Never;
    comparison.local = play(settings);
    print(name + ", never", comparison.local);
    return comparison;
}

} // namespace

BOOST_AUTO_TEST_CASE(DemandWithOtherPhasesIsServedByOtherDataCentresOnlyWhereThatSavesTime)
{
    Comparison const far = compare("waves, 15 ms one way", distantSites(15ms), [](Settings const& settings) { return playWaves(settings, 0.75); });
    BOOST_TEST(far.measured.times.failed == 0U);
    BOOST_TEST(far.measured.times.meanMs < far.fixed.times.meanMs);
    BOOST_TEST(far.measured.times.meanMs < far.local.times.meanMs);
    BOOST_TEST(far.measured.megabytes < 0.6 * far.fixed.megabytes);
    BOOST_TEST(far.measured.times.inTimeShare() >= far.fixed.times.inTimeShare());
}

BOOST_AUTO_TEST_CASE(CallersWhoMoveToAnotherDataCentreAreServedByBoth)
{
    Comparison const far = compare("move, 15 ms one way", distantSites(15ms), [](Settings const& settings) { return playMove(settings, 0.7); });
    BOOST_TEST(far.measured.times.failed == 0U);
    BOOST_TEST(far.measured.times.meanMs < far.fixed.times.meanMs);
    BOOST_TEST(far.measured.megabytes < 0.6 * far.fixed.megabytes);
    BOOST_TEST(far.measured.times.inTimeShare() >= far.local.times.inTimeShare());
}

// Between data centres with 0.5 ms one way, targets are shared as before the distance was measured.
BOOST_AUTO_TEST_CASE(NearDataCentresAreServedAsBefore)
{
    Comparison const near = compare("waves, 0.5 ms one way", distantSites(500us), [](Settings const& settings) { return playWaves(settings, 0.75); });
    BOOST_TEST(near.measured.times.meanMs == near.fixed.times.meanMs);
    BOOST_TEST(near.measured.megabytes == near.fixed.megabytes);
}

// A surge in one data centre overloads its own targets; the wait is to be back near that of the others after a second.
BOOST_AUTO_TEST_CASE(OverloadedLocalTargetsAreRelievedWithinASecond)
{
    for (Duration const interval : { Duration(100ms), Duration(1600ms) }) {
        Settings settings = distantSites(15ms);
        settings.reportInterval = interval;
        // Reports of 57 targets arrive every 1.6 s.
        if (interval > 1s)
            settings.speeds.assign(19, 1.0);
        Scene scene(settings);
        double const capacity = scene.capacityPerDataCentre();
        scene.offer(0, 10s, [capacity](double second) { return second < 3 ? 0.6 * capacity : 1.6 * capacity; });
        scene.offer(1, 10s, [capacity](double) { return 0.4 * capacity; });
        scene.offer(2, 10s, [capacity](double) { return 0.4 * capacity; });
        TimePoint const surge = scene.now() + 3s;
        scene.runFor(13s);
        Times const first = summarize(scene, [surge](Result const& result) { return result.dataCentre == 0 && result.asked >= surge && result.asked < surge + 1s; });
        Times const later = summarize(scene, [surge](Result const& result) { return result.dataCentre == 0 && result.asked >= surge + 1s; });
        print("surge, first second", { first, 0 });
        print("surge, later", { later, 0 });
        BOOST_TEST(later.p50Ms < 130);
        BOOST_TEST(later.inTimeShare() > 0.95);
        BOOST_TEST(later.failed == 0U);
        BOOST_TEST(later.leftShare() > 0.3);
    }
}

// Guards against entries that all leave and all return together: with equal information, the share of flows that leave is to
// stay near its mean.
BOOST_AUTO_TEST_CASE(EntriesWithTheSameReportsDoNotOscillate)
{
    Settings settings = distantSites(15ms);
    settings.reportInterval = 1600ms;
    settings.entriesPerDataCentre = 8;
    Scene scene(settings);
    double const capacity = scene.capacityPerDataCentre();
    scene.offer(0, 20s, [capacity](double) { return 1.4 * capacity; });
    scene.offer(1, 20s, [capacity](double) { return 0.4 * capacity; });
    scene.offer(2, 20s, [capacity](double) { return 0.4 * capacity; });
    TimePoint const start = scene.now();
    scene.runFor(24s);
    double least = 1;
    double most = 0;
    for (Duration from = 4s; from < 20s; from += 1s) {
        Times const second = summarize(scene, [&](Result const& result) { return result.dataCentre == 0 && result.asked >= start + from && result.asked < start + from + 1s; });
        least = std::min(least, second.leftShare());
        most = std::max(most, second.leftShare());
    }
    BOOST_TEST_MESSAGE("share that leaves, per second: " << least << " to " << most);
    BOOST_TEST(least > 0.15);
    BOOST_TEST(most < 0.75);
}

BOOST_AUTO_TEST_CASE(BulkLeavesForALongerWaitThanSmallRequests)
{
    RemoteOptions const options;
    RemoteCost const small = remoteCost(300, { 2000, 2000 }, options);
    RemoteCost const bulk = remoteCost(300, { 200000, 0 }, options);
    BOOST_TEST(small.delayTenthMs == 600);
    BOOST_TEST(small.priceTenthMs == 2, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(bulk.delayTenthMs == 600 + 10 * 300);
    BOOST_TEST(bulk.priceTenthMs == 100, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(remoteCost(300, { 200000, 0 }, { RemoteMode::Auto, 0.0 }).priceTenthMs == 0);
    BOOST_TEST(remoteCost(300, { 200000, 0 }, { RemoteMode::Always, 50.0 }).priceTenthMs == 0);
}

// Guards against a changed cost where the distance is small or not known.
BOOST_AUTO_TEST_CASE(SmallAndUnknownDistancesCostTwoMilliseconds)
{
    for (std::optional<double> const extra : { std::optional<double>(), std::optional<double>(0.0), std::optional<double>(10.0) }) {
        RemoteCost const cost = remoteCost(extra, { 200000, 50000 }, {});
        BOOST_TEST(cost.total() == 20);
        BOOST_TEST(!cost.isFar);
    }
}

BOOST_AUTO_TEST_CASE(TheShareChangesInBoundedStepsAndWithHysteresis)
{
    RemotePolicy policy;
    RemoteInputs inputs { true, true, 1000, 600, 1600 };
    policy.update(inputs);
    BOOST_TEST(policy.share() == 0.1, boost::test_tools::tolerance(1e-9));
    inputs.localTenthMs = 680;
    policy.update(inputs);
    BOOST_TEST(policy.share() == 0.1, boost::test_tools::tolerance(1e-9));
    inputs.localTenthMs = 640;
    policy.update(inputs);
    BOOST_TEST(policy.share() == 0.05, boost::test_tools::tolerance(1e-9));
    inputs.localTenthMs = 680;
    policy.update(inputs);
    BOOST_TEST(policy.share() == 0.05, boost::test_tools::tolerance(1e-9));
}

// Operators who forbid to leave must still see their callers served.
BOOST_AUTO_TEST_CASE(NeverMeansOnlyWithoutALocalTarget)
{
    Settings settings = distantSites(15ms);
    settings.remote.mode = RemoteMode::Never;
    Scene scene(settings);
    for (Entry const* const entry : { scene.entries[0].get() }) {
        RelayRoute route;
        BOOST_TEST((entry->directory->chooseTargets(*entry->group, {}, scene.now(), route) == RemoteReason::Local));
        for (DirectoryTarget& target : entry->group->targets)
            target.draining = target.local;
        BOOST_TEST((entry->directory->chooseTargets(*entry->group, {}, scene.now(), route) == RemoteReason::NoLocalTarget));
        BOOST_TEST(route.candidateCount > 0);
    }
}

// The smallest value counts, so that a busy link does not make a data centre look farther than it is.
BOOST_AUTO_TEST_CASE(TheDistanceIsTheSmallestRoundTripOfTheLastMinute)
{
    TimePoint const now { 1000s };
    SiteDelays delays("north");
    std::size_t const south = delays.indexOf("south");
    BOOST_TEST(!delays.extraTenthMs(south, now).has_value());
    delays.record(0, 1ms, now);
    delays.record(south, 90ms, now);
    delays.record(south, 31ms, now);
    BOOST_TEST(delays.extraTenthMs(south, now).value() == 300, boost::test_tools::tolerance(1e-9));
    delays.record(south, 61ms, now + 35s);
    BOOST_TEST(delays.extraTenthMs(south, now + 35s).value() == 300, boost::test_tools::tolerance(1e-9));
    delays.record(south, 61ms, now + 70s);
    BOOST_TEST(delays.extraTenthMs(south, now + 70s).value() == 600, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(!delays.extraTenthMs(south, now + 20min).has_value());
}
