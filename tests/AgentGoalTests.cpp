// Guards against decisions that miss the goals of section 1.3 of the design page. The bounds come from that page; the
// runs are short cases of bench/measure with fixed seeds in virtual time.

#include "../bench/measure/Simulation.h"

#include <boost/test/unit_test.hpp>

using namespace plantaindrift::measure;

namespace {

constexpr std::int64_t second = 1000000;

constexpr double imbalanceBound = 1.05;
constexpr double hopBound = 0.1; // beyond the first hop
constexpr double completedBound = 0.95;

Result runCase(std::size_t deployment, Policy policy, Incident incident, std::uint32_t load, std::int64_t seconds)
{
    Run run { todaysDeployments()[deployment], policy, incident, load };
    run.length = seconds * second;
    return Simulation(run).run();
}

void checkZeros(Result const& result)
{
    BOOST_TEST(result.flows > 100U);
    BOOST_TEST(result.runTwice == 0U);
    BOOST_TEST(result.falselyNotRun == 0U);
    BOOST_TEST(result.misrouted == 0U);
    BOOST_TEST(result.brokenElsewhere == 0U);
}

} // namespace

BOOST_AUTO_TEST_CASE(ImbalanceAndHopsInSteadyState)
{
    for (std::size_t const deployment : { std::size_t { 0 }, std::size_t { 2 } }) {
        for (std::uint32_t const load : { 70U, 90U }) {
            Result const product = runCase(deployment, Policy::Product, Incident::None, load, 120);
            Result const omniscient = runCase(deployment, Policy::Omniscient, Incident::None, load, 120);
            BOOST_TEST(product.imbalance <= imbalanceBound * omniscient.imbalance);
            BOOST_TEST(product.extraHops < hopBound);
            BOOST_TEST(product.broken == 0U);
            checkZeros(product);
        }
    }
}

BOOST_AUTO_TEST_CASE(CompletedWorkInOverload)
{
    for (std::size_t deployment = 0; deployment < todaysDeployments().size(); ++deployment) {
        Result const result = runCase(deployment, Policy::Product, Incident::None, 130, 60);
        BOOST_TEST(result.completedShare > completedBound);
        checkZeros(result);
    }
}

BOOST_AUTO_TEST_CASE(PlannedChangesBreakNothing)
{
    for (Incident const incident : { Incident::Drain, Incident::Rolling, Incident::EntryReplacement, Incident::AgentRestart, Incident::StaleEntry, Incident::Duplicates }) {
        Result const result = runCase(0, Policy::Product, incident, 70, 45);
        BOOST_TEST(result.broken == 0U);
        checkZeros(result);
    }
}

BOOST_AUTO_TEST_CASE(CrashesBreakOnlyTheirOwnFlows)
{
    for (Incident const incident : { Incident::TargetCrash, Incident::EntryCrash })
        checkZeros(runCase(2, Policy::Product, incident, 70, 40));
}

// The check must be able to fail: hashing without flow state breaks flows in a drain.
BOOST_AUTO_TEST_CASE(ModuloBreaksFlowsInADrain)
{
    BOOST_TEST(runCase(0, Policy::Modulo, Incident::Drain, 70, 45).brokenElsewhere > 0U);
}
