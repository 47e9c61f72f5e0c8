// Guards against configuration changes that arrive late, out of order, or not at all, and against positions that
// go back at any node.

#include "ControlFleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace plantaindrift;
using namespace plantaindrift::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::array<char const*, 4> dataCentres { "ratnapura", "kegalle", "balangoda", "embilipitiya" };

/// \brief The change log of the platform, read by the watchers after each step.
struct PlatformLog {
    std::vector<ConfigurationChange> changes;
    bool available { true };

    void append(std::string const& service) { changes.push_back(makeChange(changes.size() + 1, service)); }

    void serve(ControlFleet& fleet) const
    {
        for (std::string const& name : fleet.entryNames()) {
            EntryControl& entry = fleet.entry(name);
            std::uint64_t const position = entry.changeLog().position();
            if (available && entry.isWatcher() && position < changes.size())
                entry.addChanges(std::span(changes).subspan(position), fleet.now());
        }
    }
};

/// \brief Checks after each step that no position goes back and that each position means one configuration.
struct RevertCheck {
    std::map<std::string, std::uint64_t> positions;
    std::map<std::uint64_t, Configuration> configurations;
    int reverts { 0 };

    void look(ControlFleet& fleet)
    {
        for (std::string const& name : fleet.entryNames()) {
            ChangeLog const& log = fleet.entry(name).changeLog();
            reverts += log.position() < positions[name] ? 1 : 0;
            positions[name] = log.position();
            auto const [known, added] = configurations.try_emplace(log.position(), log.configuration());
            reverts += known->second == log.configuration() ? 0 : 1;
        }
    }
};

void startFleet(ControlFleet& fleet, int entries)
{
    for (std::uint32_t index = 1; index <= 3; ++index)
        fleet.seeds.push_back(ControlFleet::endpointOf(index));
    for (int index = 0; index < entries; ++index)
        fleet.addEntry("entry-" + std::to_string(index), dataCentres[static_cast<std::size_t>(index) % dataCentres.size()]);
}

struct Scene {
    explicit Scene(NetworkOptions const& options, int entries)
        : fleet(options)
    {
        startFleet(fleet, entries);
        fleet.afterStep = [this] {
            platform.serve(fleet);
            check.look(fleet);
        };
        BOOST_REQUIRE((fleet.runUntil([this] { return fleet.isConverged(); }, 60s) <= 60s));
        fleet.run(12s);
    }

    Duration spread(Duration limit)
    {
        return fleet.runUntil([this] { return fleet.everyEntryApplied(platform.changes.size()); }, limit);
    }

    ControlFleet fleet;
    PlatformLog platform;
    RevertCheck check;
};

} // namespace

// R8: in force everywhere within 4 s.
BOOST_AUTO_TEST_CASE(AChangeReachesAllWithinFourSecondsWithLosses)
{
    Scene scene({ 31, 0.05, 0.05, 1ms, 20ms }, 24);
    for (int change = 0; change < 40; ++change) {
        scene.platform.append("service-" + std::to_string(change % 7));
        Duration const passed = scene.spread(4s);
        BOOST_TEST((passed <= 4s), "change " << change);
        scene.fleet.run(1s);
    }
    BOOST_TEST(scene.check.reverts == 0);
}

BOOST_AUTO_TEST_CASE(ABurstOfChangesArrivesInOrder)
{
    Scene scene({ 32, 0.1, 0.1, 1ms, 300ms }, 12);
    for (int change = 0; change < 60; ++change)
        scene.platform.append("service-" + std::to_string(change % 5));
    BOOST_TEST((scene.spread(10s) <= 10s));
    BOOST_TEST(scene.check.reverts == 0);
    for (std::string const& name : scene.fleet.entryNames())
        BOOST_TEST((scene.fleet.entry(name).changeLog().configuration() == scene.fleet.entry("entry-0").changeLog().configuration()));
}

BOOST_AUTO_TEST_CASE(AChangeReachesAllWithinFourSecondsWithDeadWatchers)
{
    Scene scene({ 33, 0.05, 0, 1ms, 20ms }, 24);
    std::vector<std::string> watchers;
    for (std::string const& name : scene.fleet.entryNames()) {
        bool const kegalle = scene.fleet.self(name).dataCentre == "kegalle" || scene.fleet.self(name).dataCentre == "balangoda";
        if (kegalle && scene.fleet.entry(name).isWatcher())
            watchers.push_back(name);
    }
    BOOST_TEST(watchers.size() == 4U);
    for (std::string const& name : watchers)
        scene.fleet.kill(name);
    scene.platform.append("rota-desk");
    BOOST_TEST((scene.spread(4s) <= 4s));
    scene.fleet.run(20s);
    int substitutes = 0;
    for (std::string const& name : scene.fleet.entryNames())
        substitutes += scene.fleet.entry(name).isWatcher() ? 1 : 0;
    BOOST_TEST(substitutes == 8);
    BOOST_TEST(scene.check.reverts == 0);
}

BOOST_AUTO_TEST_CASE(ChangesArriveAcrossAHealedCut)
{
    Scene scene({ 34, 0.05, 0, 1ms, 20ms }, 16);
    scene.fleet.cut([](Member const& member) { return member.dataCentre == "kegalle"; });
    // The watchers of the cut data centre lose the platform as well.
    scene.fleet.afterStep = [&scene] {
        for (std::string const& name : scene.fleet.entryNames()) {
            EntryControl& entry = scene.fleet.entry(name);
            std::uint64_t const position = entry.changeLog().position();
            bool const reaches = scene.fleet.self(name).dataCentre != "kegalle" && entry.isWatcher();
            if (reaches && position < scene.platform.changes.size())
                entry.addChanges(std::span(scene.platform.changes).subspan(position), scene.fleet.now());
        }
        scene.check.look(scene.fleet);
    };
    for (int change = 0; change < 30; ++change) {
        scene.platform.append("service-" + std::to_string(change % 3));
        scene.fleet.run(2s);
    }
    BOOST_TEST(scene.fleet.entry("entry-1").changeLog().position() == 0U);
    scene.fleet.cut({});
    BOOST_TEST((scene.spread(20s) <= 20s));
    BOOST_TEST(scene.check.reverts == 0);
}

// An entry that was away for longer than the kept changes needs a snapshot from its peers.
BOOST_AUTO_TEST_CASE(AnEntryFarBehindCatchesUpFromPeers)
{
    Scene scene({ 35, 0.02, 0, 1ms, 20ms }, 8);
    scene.platform.append("first");
    scene.fleet.run(5s);
    scene.fleet.pause("entry-7", true);
    for (std::size_t change = 0; change < ChangeLog::keptChanges + 50; ++change) {
        scene.platform.append("service-" + std::to_string(change % 90));
        scene.fleet.run(300ms);
    }
    scene.fleet.run(20s);
    scene.platform.available = false;
    scene.fleet.pause("entry-7", false);
    BOOST_TEST((scene.spread(20s) <= 20s));
    BOOST_TEST((scene.fleet.entry("entry-7").changeLog().configuration() == scene.fleet.entry("entry-0").changeLog().configuration()));
    BOOST_TEST(scene.check.reverts == 0);
}

BOOST_AUTO_TEST_CASE(OldChangesAndSnapshotsAreIgnored)
{
    Scene scene({ 36, 0, 0, 1ms, 20ms }, 4);
    for (int change = 0; change < 10; ++change)
        scene.platform.append("service");
    scene.spread(4s);
    Configuration old;
    scene.fleet.entry("entry-0").addSnapshot(5, old, scene.fleet.now());
    ConfigurationChange const stale = makeChange(3, "stale");
    scene.fleet.entry("entry-0").addChanges(std::span(&stale, 1), scene.fleet.now());
    scene.fleet.run(5s);
    BOOST_TEST(scene.check.reverts == 0);
    BOOST_TEST(scene.fleet.entry("entry-0").changeLog().position() == 10U);
}

BOOST_AUTO_TEST_CASE(AgentsGetTheirDeclarationAndNeverAnOlderOne)
{
    ControlFleet fleet({ 37, 0.1, 0.1, 1ms, 200ms });
    startFleet(fleet, 8);
    for (int index = 0; index < 6; ++index)
        fleet.addAgent("agent-" + std::to_string(index), dataCentres[0], "rota-desk");
    PlatformLog platform;
    std::map<std::string, std::uint32_t> slots;
    int reverts = 0;
    fleet.afterStep = [&] {
        platform.serve(fleet);
        for (std::string const& name : fleet.agentNames()) {
            std::optional<Service> const service = fleet.agent(name).takeChangedService();
            if (!service)
                continue;
            reverts += service->limits.slots < slots[name] ? 1 : 0;
            slots[name] = service->limits.slots;
        }
    };
    fleet.run(10s);
    for (int change = 0; change < 40; ++change) {
        platform.append(change % 2 == 0 ? "rota-desk" : "ledger-store");
        fleet.run(700ms);
    }
    fleet.run(10s);
    BOOST_TEST(reverts == 0);
    BOOST_TEST(slots.size() == 6U);
    for (auto const& [name, number] : slots)
        BOOST_TEST(number == 39U, name);
}

// All entries are replaced while the platform is away: the agents' copies are the only ones left.
BOOST_AUTO_TEST_CASE(AgentsCopiesServeWhenAllEntriesAreReplacedWithoutThePlatform)
{
    ControlFleet fleet({ 38, 0.05, 0, 1ms, 20ms });
    startFleet(fleet, 6);
    constexpr int services = 5;
    for (int index = 0; index < 3 * services; ++index)
        fleet.addAgent("agent-" + std::to_string(index), dataCentres[0], "service-" + std::to_string(index % services));
    PlatformLog platform;
    fleet.afterStep = [&] { platform.serve(fleet); };
    fleet.run(10s);
    for (int change = 0; change < 12; ++change)
        platform.append("service-" + std::to_string(change % services));
    fleet.run(15s);
    Configuration const declared = fleet.entry("entry-0").changeLog().configuration();
    platform.available = false;
    std::vector<Member> old;
    for (std::string const& name : fleet.entryNames())
        old.push_back(fleet.self(name));
    for (Member const& member : old)
        fleet.kill(member.name);
    fleet.run(5s);
    fleet.restartAt(old);
    auto const allHaveIt = [&] {
        std::vector<std::string> const names = fleet.entryNames();
        return std::all_of(names.begin(), names.end(), [&](std::string const& name) { return fleet.entry(name).changeLog().configuration() == declared; });
    };
    BOOST_TEST((fleet.runUntil(allHaveIt, 30s) <= 30s));
    BOOST_TEST(fleet.entry("entry-0-next").completePosition() == 0U);
    BOOST_TEST(fleet.entry("entry-0-next").changeLog().position() == 12U);

    // An entry that joins now gets the copies from its peers.
    fleet.addEntry("joiner", dataCentres[1]);
    BOOST_TEST((fleet.runUntil(allHaveIt, 20s) <= 20s));

    // The platform returns and is read from the start: nothing may revert while the log is shorter than the copies.
    int reverts = 0;
    fleet.afterStep = [&] {
        for (std::string const& name : fleet.entryNames())
            reverts += fleet.entry(name).changeLog().configuration() == declared ? 0 : 1;
    };
    for (std::size_t position = 0; position < platform.changes.size(); ++position) {
        fleet.entry("entry-1-next").addChanges(std::span(platform.changes).subspan(position, 1), fleet.now());
        fleet.run(500ms);
    }
    fleet.run(15s);
    BOOST_TEST(reverts == 0);
    for (std::string const& name : fleet.entryNames())
        BOOST_TEST(fleet.entry(name).completePosition() == 12U, name);
}
