// Guards against joining entries that do not get full state from peers while the platform is down, or that take
// too much from one peer.

#include "ControlFleet.h"

#include "membership/CatchUp.h"

#include <boost/test/unit_test.hpp>

using namespace plantaindrift;
using namespace plantaindrift::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::array<char const*, 4> dataCentres { "ratnapura", "kegalle", "balangoda", "embilipitiya" };

void startFleet(ControlFleet& fleet, int entries, int agents, std::uint64_t changes)
{
    for (std::uint32_t index = 1; index <= 3; ++index)
        fleet.seeds.push_back(ControlFleet::endpointOf(index));
    for (int index = 0; index < entries; ++index)
        fleet.addEntry("entry-" + std::to_string(index), dataCentres[static_cast<std::size_t>(index) % dataCentres.size()]);
    for (int index = 0; index < agents; ++index)
        fleet.addAgent("agent-" + std::to_string(index), dataCentres[static_cast<std::size_t>(index) % dataCentres.size()], "service-" + std::to_string(index / 3));
    BOOST_REQUIRE((fleet.runUntil([&fleet] { return fleet.isConverged(); }, 120s) <= 120s));
    std::vector<ConfigurationChange> all;
    for (std::uint64_t position = 1; position <= changes; ++position)
        all.push_back(makeChange(position, "service-" + std::to_string(position)));
    for (std::string const& name : fleet.entryNames())
        fleet.entry(name).addChanges(all, fleet.now());
    fleet.run(30s);
}

// Joins an entry and compares the bytes that its peers send.
void joinAndCompareShares(std::uint64_t seed)
{
    ControlFleet fleet({ seed, 0, 0, 1ms, 20ms });
    startFleet(fleet, 20, 100, 200);
    std::map<std::string, std::size_t> bytesTo;
    fleet.observe = [&bytesTo](Member const& from, Member const& to, std::string const& bytes) {
        if (to.name == "joiner")
            bytesTo[from.name] += bytes.size();
    };
    fleet.addEntry("joiner", "kegalle");
    fleet.runUntil([&fleet] { return fleet.entry("joiner").isCaughtUp(fleet.now()); }, 10s);
    std::size_t all = 0;
    std::size_t most = 0;
    for (auto const& [name, bytes] : bytesTo) {
        all += bytes;
        most = std::max(most, bytes);
    }
    BOOST_TEST(bytesTo.size() >= 15U, "seed " << seed);
    BOOST_TEST(most * 5 < all, "seed " << seed << ": " << most << " of " << all << " bytes");
}

} // namespace

BOOST_AUTO_TEST_CASE(AJoiningEntryGetsFullStateFromPeersWithinTenSeconds)
{
    for (double const loss : { 0.0, 0.05 }) {
        ControlFleet fleet({ 41, loss, 0, 1ms, 20ms });
        startFleet(fleet, 12, 60, 400);
        fleet.addEntry("joiner", "kegalle");
        Duration const passed = fleet.runUntil([&fleet] { return fleet.entry("joiner").isCaughtUp(fleet.now()); }, 10s);
        BOOST_TEST((passed <= 10s), "loss " << loss);
        BOOST_TEST(fleet.entry("joiner").changeLog().position() == 400U);
        BOOST_TEST((fleet.entry("joiner").changeLog().configuration() == fleet.entry("entry-0").changeLog().configuration()));
        BOOST_TEST((fleet.runUntil([&fleet] { return fleet.isConverged(); }, 10s) <= 10s), "loss " << loss);
    }
}

// A peer whose periodic comparison met the joining entry sent all shards that the entry fetched from others anyway.
BOOST_AUTO_TEST_CASE(ShardsComeFromManyPeers)
{
    for (std::uint64_t seed = 42; seed < 62; ++seed)
        joinAndCompareShares(seed);
}

// A change that is accepted while an entry joins must not leave it with parts of two positions.
BOOST_AUTO_TEST_CASE(AChangeDuringCatchUpDoesNotMixPositions)
{
    ControlFleet fleet({ 43, 0.05, 0, 1ms, 150ms });
    startFleet(fleet, 10, 20, 300);
    fleet.addEntry("joiner", "kegalle");
    for (std::uint64_t position = 301; position <= 330; ++position) {
        std::vector<ConfigurationChange> const changes { makeChange(position, "service-" + std::to_string(position % 300)) };
        fleet.entry("entry-1").addChanges(changes, fleet.now());
        fleet.run(100ms);
    }
    BOOST_TEST((fleet.runUntil([&fleet] { return fleet.everyEntryApplied(330); }, 15s) <= 15s));
    BOOST_TEST((fleet.entry("joiner").changeLog().configuration() == fleet.entry("entry-1").changeLog().configuration()));
}

BOOST_AUTO_TEST_CASE(AnEntryWithoutPeersIsCaughtUpAtOnce)
{
    ControlFleet fleet({ 44, 0, 0, 1ms, 20ms });
    fleet.addEntry("alone", "kegalle");
    BOOST_TEST(!fleet.entry("alone").isCaughtUp(fleet.now()));
    fleet.run(200ms);
    BOOST_TEST(fleet.entry("alone").isCaughtUp(fleet.now()));
}

BOOST_AUTO_TEST_CASE(AnEntryWhosePeersAreSilentGoesOnAfterTenSeconds)
{
    ControlFleet fleet({ 45, 0, 0, 1ms, 20ms });
    fleet.seeds = { ControlFleet::endpointOf(200), ControlFleet::endpointOf(201) };
    fleet.addEntry("alone", "kegalle");
    fleet.run(9s);
    BOOST_TEST(!fleet.entry("alone").isCaughtUp(fleet.now()));
    fleet.run(2s);
    BOOST_TEST(fleet.entry("alone").isCaughtUp(fleet.now()));
}

// After a total loss nobody has full state; the entries must not wait for each other for ever.
BOOST_AUTO_TEST_CASE(AColdFleetStarts)
{
    ControlFleet fleet({ 46, 0.02, 0, 1ms, 20ms });
    for (std::uint32_t index = 1; index <= 3; ++index)
        fleet.seeds.push_back(ControlFleet::endpointOf(index));
    for (int index = 0; index < 6; ++index)
        fleet.addEntry("entry-" + std::to_string(index), "kegalle");
    fleet.run(11s);
    for (std::string const& name : fleet.entryNames())
        BOOST_TEST(fleet.entry(name).isCaughtUp(fleet.now()), name);
    BOOST_TEST(fleet.isConverged());
}

// Entries that start together sent each other the configuration with each answer, which nobody used, and then had no allowance
// left for the state that is used. Those that started first counted as having full state, and the others waited for them.
BOOST_AUTO_TEST_CASE(AColdFleetWithALargeConfigurationStarts)
{
    Configuration large;
    for (char const* const name : { "service-0", "service-1" }) {
        Service& service = large.services.emplace_back();
        service.name = name;
        for (std::uint32_t index = 0; index < 820; ++index)
            service.addresses.push_back({ { 0xC6120000U + index, 8443 }, Protocol::Tcp, 100, 0, 200ms });
    }
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        ControlFleet fleet({ seed, 0.003, 0, 1ms, 5ms });
        for (std::uint32_t index = 1; index <= 3; ++index)
            fleet.seeds.push_back(ControlFleet::endpointOf(index));
        for (std::size_t index = 0; index < 25; ++index) {
            fleet.addEntry("entry-" + std::to_string(index), dataCentres[index % dataCentres.size()]);
            if (index % 8 == 7)
                fleet.run(100ms);
        }
        for (std::size_t index = 0; index < 63; ++index)
            fleet.addAgent("agent-" + std::to_string(index), dataCentres[index % dataCentres.size()], large.services[index % 5 == 0 ? 1 : 0].name);
        fleet.run(500ms);
        for (std::string const& name : fleet.entryNames())
            fleet.entry(name).addSnapshot(5, large, fleet.now());
        auto const areCaughtUp = [&fleet] {
            std::vector<std::string> const names = fleet.entryNames();
            return std::all_of(names.begin(), names.end(), [&fleet](std::string const& name) { return fleet.entry(name).isCaughtUp(fleet.now()); });
        };
        BOOST_TEST((fleet.runUntil(areCaughtUp, 60s) <= CatchUp::patience), "seed " << seed);
    }
}

// The list of a restored store may be short of members, whose flows an entry that starts would take for lost.
BOOST_AUTO_TEST_CASE(AnEntryThatStartsWaitsForAPeerWithFullState)
{
    ControlFleet fleet({ 47, 0, 0, 1ms, 20ms });
    startFleet(fleet, 6, 40, 10);
    std::size_t const members = fleet.entry("entry-0").members().size();
    EntryControl& joiner = fleet.addEntry("joiner", "kegalle");
    BOOST_TEST(joiner.expectsFullState(fleet.now()));
    Duration const passed = fleet.runUntil([&] { return !joiner.expectsFullState(fleet.now()); }, 10s);
    BOOST_TEST((passed <= 10s));
    BOOST_TEST(joiner.members().size() == members + 1);
}

// After a loss of power of all, the list of the store is all there is, and callers of lost flows are reset within 1 s.
BOOST_AUTO_TEST_CASE(EntriesThatStartTogetherDoNotWaitForEachOther)
{
    ControlFleet fleet({ 48, 0, 0, 1ms, 20ms });
    for (std::uint32_t index = 1; index <= 6; ++index)
        fleet.seeds.push_back(ControlFleet::endpointOf(index));
    for (int index = 0; index < 6; ++index)
        fleet.addEntry("entry-" + std::to_string(index), "kegalle");
    Duration const passed = fleet.runUntil([&fleet] { return std::ranges::none_of(fleet.entryNames(), [&fleet](std::string const& name) { return fleet.entry(name).expectsFullState(fleet.now()); }); }, 5s);
    BOOST_TEST((passed <= 500ms));
}

// Peers that do not answer may be gone; an entry waits for them no longer than half a second.
BOOST_AUTO_TEST_CASE(AnEntryWhosePeersAreSilentExpectsNothingOfThem)
{
    ControlFleet fleet({ 49, 0, 0, 1ms, 20ms });
    fleet.seeds = { ControlFleet::endpointOf(200), ControlFleet::endpointOf(201) };
    EntryControl& alone = fleet.addEntry("alone", "kegalle");
    fleet.run(200ms);
    BOOST_TEST(alone.expectsFullState(fleet.now()));
    fleet.run(400ms);
    BOOST_TEST(!alone.expectsFullState(fleet.now()));
}

// Guards against entries that wait 3 s for each other after a loss of power: an entry that a request reached before its first tick
// claimed to have full state. Entries start within half a second of each other.
BOOST_AUTO_TEST_CASE(AnEntryThatHasJustStartedDoesNotClaimFullState)
{
    for (std::uint64_t seed = 50; seed < 60; ++seed) {
        ControlFleet fleet({ seed, 0, 0, 1ms, 20ms });
        for (std::uint32_t index = 1; index <= 12; ++index)
            fleet.seeds.push_back(ControlFleet::endpointOf(index));
        for (int index = 0; index < 12; ++index) {
            fleet.addEntry("entry-" + std::to_string(index), "kegalle");
            // Requests arrive at the sockets of an entry before it ticks for the first time.
            fleet.pause("entry-" + std::to_string(index), index % 2 == 0);
        }
        fleet.run(200ms);
        for (int index = 0; index < 12; ++index)
            fleet.pause("entry-" + std::to_string(index), false);
        Duration const passed = fleet.runUntil([&fleet] { return std::ranges::none_of(fleet.entryNames(), [&fleet](std::string const& name) { return fleet.entry(name).expectsFullState(fleet.now()); }); }, 5s);
        BOOST_TEST((passed <= 600ms), "seed " << seed << ": " << std::chrono::duration_cast<std::chrono::milliseconds>(passed).count() << " ms");
    }
}
