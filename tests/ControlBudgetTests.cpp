// Guards against control traffic above the budget in a storm of joins, and against fleets that stay busy after it.

#include "ControlFleet.h"

#include <boost/test/unit_test.hpp>

using namespace plantaindrift;
using namespace plantaindrift::testing;
using namespace std::chrono_literals;

namespace {

constexpr int entries = 30;
constexpr int joins = 1100;
constexpr double budget = 3000;

struct Rates {
    double mostSent { 0 };
    double mostReceived { 0 };
    double meanReceived { 0 };
};

Rates runMinute(ControlFleet& fleet)
{
    std::map<std::string, EntryControl::Counts> before;
    for (std::string const& name : fleet.entryNames())
        before[name] = fleet.entry(name).counts();
    fleet.run(60s);
    Rates rates;
    for (std::string const& name : fleet.entryNames()) {
        EntryControl::Counts const after = fleet.entry(name).counts();
        double const received = static_cast<double>(after.receivedBytes - before[name].receivedBytes) / 60;
        rates.mostSent = std::max(rates.mostSent, static_cast<double>(after.sentBytes - before[name].sentBytes) / 60);
        rates.mostReceived = std::max(rates.mostReceived, received);
        rates.meanReceived += received / entries;
    }
    return rates;
}

} // namespace

// A data centre returns: 1,100 targets announce themselves at once.
BOOST_AUTO_TEST_CASE(AStormOfJoinsStaysWithinTheBudget)
{
    ControlFleet fleet({ 61, 0, 0, 1ms, 20ms });
    for (std::uint32_t index = 1; index <= entries; ++index)
        fleet.seeds.push_back(ControlFleet::endpointOf(index));
    for (int index = 0; index < entries; ++index)
        fleet.addEntry("entry-" + std::to_string(100 + index), "data-centre-" + std::to_string(index % 4));
    fleet.run(30s);
    for (int index = 0; index < joins; ++index)
        fleet.addAgent("target-" + std::to_string(10000 + index), "data-centre-" + std::to_string(index % 4), "service-" + std::to_string(index % 330));
    Rates quiet;
    for (int minute = 0; minute < 4; ++minute) {
        Rates const rates = runMinute(fleet);
        BOOST_TEST(rates.mostSent <= budget, "minute " << minute << " sent " << rates.mostSent);
        BOOST_TEST(rates.mostReceived <= budget, "minute " << minute << " received " << rates.mostReceived);
        quiet = rates;
    }
    BOOST_TEST(fleet.isConverged());
    BOOST_TEST(quiet.mostSent <= budget / 2);
    std::uint64_t deferred = 0;
    for (std::string const& name : fleet.entryNames())
        deferred += fleet.entry(name).counts().deferred;
    // Without deltas that waited, the storm was too small to test the budget.
    BOOST_TEST(deferred > 0U);
}

// With more targets per entry the monitors must ask for longer intervals instead of exceeding the budget.
BOOST_AUTO_TEST_CASE(HeartbeatIntervalsGrowWithTheNumberOfTargets)
{
    ControlFleet fleet({ 62, 0, 0, 1ms, 20ms });
    fleet.seeds.push_back(ControlFleet::endpointOf(1));
    for (int index = 0; index < 3; ++index)
        fleet.addEntry("entry-" + std::to_string(index), "kegalle");
    for (int index = 0; index < 200; ++index)
        fleet.addAgent("target-" + std::to_string(index), "kegalle", "service-" + std::to_string(index % 60));
    fleet.run(240s);
    BOOST_TEST(fleet.isConverged());
    int heartbeats = 0;
    fleet.observe = [&heartbeats](Member const& from, Member const& to, std::string const&) {
        heartbeats += from.role == MemberRole::Agent && to.role == MemberRole::Entry ? 1 : 0;
    };
    fleet.run(160s);
    // 202 monitored members at 80 bytes and 1,000 bytes a second: 17 s.
    double const interval = 160.0 * 3 * 200 / heartbeats;
    BOOST_TEST(interval > 15);
    BOOST_TEST(interval < 19);
    std::uint64_t dead = 0;
    for (Member const& member : fleet.entry("entry-0").members())
        dead += member.state == MemberState::Active ? 0 : 1;
    BOOST_TEST(dead == 0U);
}
