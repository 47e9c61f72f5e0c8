// Guards against a configuration that the operator confirmed and that entries which cannot read the store get from their
// peers too late, or not at all: the store refuses or hides from some entries while it serves the others.

#include "ControlFleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>

using namespace plantaindrift;
using namespace plantaindrift::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::array<char const*, 4> dataCentres { "lhr-a", "lhr-b", "fsd-a", "mul-a" };
constexpr std::array<char const*, 2> serviceNames { "receipt-store", "session-core" };

// An accepted configuration has to be in force everywhere within this time.
constexpr std::chrono::seconds timeInForce { 4 };

// The largest datagram between processes; what is larger is lost.
constexpr std::size_t largestDatagram = 60'000;

Configuration makeConfiguration(std::size_t addresses)
{
    Configuration configuration;
    for (char const* const name : serviceNames)
        configuration.services.emplace_back().name = name;
    for (std::uint32_t index = 0; index < addresses; ++index) {
        ServiceAddress address;
        address.endpoint = { 0xC6120000U + index, 8443 };
        address.targetLatency = 200ms;
        configuration.services[index % serviceNames.size()].addresses.push_back(address);
    }
    return configuration;
}

/// \brief Entries of which the last ones cannot read the store; versions of the configuration rise irregularly.
struct StoreScene {
    StoreScene(NetworkOptions const& options, std::size_t entries, std::size_t unreached)
        : fleet(options)
        , reached(entries - unreached)
    {
        for (std::uint32_t index = 1; index <= 3; ++index)
            fleet.seeds.push_back(ControlFleet::endpointOf(index));
        for (std::size_t index = 0; index < entries; ++index) {
            names.push_back("entry-" + std::to_string(index));
            fleet.addEntry(names.back(), dataCentres[index % dataCentres.size()]);
        }
        fleet.observe = [this](Member const& from, Member const& to, std::string const& bytes) {
            if (from.role == MemberRole::Entry && to.role == MemberRole::Entry)
                largestMessage = std::max(largestMessage, bytes.size());
        };
        fleet.afterStep = [this] { look(); };
    }

    void addAgents(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
            fleet.addAgent("agent-" + std::to_string(index), dataCentres[index % dataCentres.size()], serviceNames[index % serviceNames.size()]);
    }

    /// \brief Confirms a version; the first `readers` entries read it at once.
    void confirm(std::size_t addresses, std::size_t readers)
    {
        version += 1 + version % 3;
        confirmed[version] = fleet.now();
        latest = makeConfiguration(addresses);
        for (std::size_t index = 0; index < readers; ++index)
            fleet.entry(names[index]).addSnapshot(version, latest, fleet.now());
    }

    void confirm(std::size_t addresses) { confirm(addresses, reached); }

    // Longest time for which an entry lacked a confirmed version.
    void look()
    {
        for (std::string const& name : names) {
            std::uint64_t const applied = fleet.entry(name).changeLog().position();
            auto const missing = confirmed.upper_bound(applied);
            if (missing != confirmed.end())
                longestLag = std::max(longestLag, fleet.now() - missing->second);
        }
    }

    [[nodiscard]] bool allHaveLatest()
    {
        return std::all_of(names.begin(), names.end(), [this](std::string const& name) { return fleet.entry(name).changeLog().configuration() == latest; });
    }

    ControlFleet fleet;
    std::size_t reached;
    std::vector<std::string> names;
    std::map<std::uint64_t, TimePoint> confirmed;
    std::uint64_t version { 0 };
    Configuration latest;
    Duration longestLag {};
    std::size_t largestMessage { 0 }; ///< between entries
};

// The size of a deployment: 25 entries, 63 agents; the store refuses 8 entries.
void startDeployment(StoreScene& scene, std::size_t addresses)
{
    scene.addAgents(63);
    scene.fleet.run(3s);
    scene.confirm(addresses, scene.names.size());
    scene.fleet.run(15s);
    BOOST_REQUIRE(scene.allHaveLatest());
    scene.longestLag = {};
}

[[nodiscard]] std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

// Answers to joining entries and lists for agents use up the allowance for answers, which configurations shared: peers
// then dropped every request for one until the allowance had returned.
BOOST_AUTO_TEST_CASE(AChangeArrivesAlthoughEarlierAnswersUsedUpTheBudget)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        StoreScene scene({ seed, 0.005, 0, 1ms, 5ms }, 25, 8);
        startDeployment(scene, 1640);
        for (std::size_t change = 0; change < 12; ++change) {
            scene.confirm(1641 + change);
            scene.fleet.run(5s);
        }
        BOOST_TEST(scene.allHaveLatest(), "seed " << seed);
        BOOST_TEST((scene.longestLag <= timeInForce), "seed " << seed << ": " << milliseconds(scene.longestLag) << " ms");
    }
}

// Parts of the configuration came from many peers and had to be of one version, which never happened while versions
// followed each other.
BOOST_AUTO_TEST_CASE(EachVersionOfALongStormArrivesInTime)
{
    for (std::uint64_t seed = 11; seed <= 15; ++seed) {
        StoreScene scene({ seed, 0.005, 0, 1ms, 5ms }, 25, 8);
        startDeployment(scene, 245);
        for (std::size_t change = 0; change < 60; ++change) {
            scene.confirm(246 + change);
            scene.fleet.run(300ms);
        }
        scene.fleet.run(5s);
        BOOST_TEST(scene.allHaveLatest(), "seed " << seed);
        BOOST_TEST((scene.longestLag <= timeInForce), "seed " << seed << ": " << milliseconds(scene.longestLag) << " ms");
    }
}

// A single service may be longer than the largest datagram.
BOOST_AUTO_TEST_CASE(AConfigurationLargerThanADatagramArrives)
{
    StoreScene scene({ 21, 0.01, 0, 1ms, 5ms }, 12, 4);
    startDeployment(scene, 245);
    scene.confirm(7000);
    scene.fleet.run(5s);
    BOOST_TEST(scene.allHaveLatest());
    BOOST_TEST(scene.largestMessage <= largestDatagram);
    BOOST_TEST((scene.longestLag <= timeInForce), milliseconds(scene.longestLag) << " ms");
}

// All monitors of an entry may be among those that cannot read the store.
BOOST_AUTO_TEST_CASE(OneEntryThatReadsTheStoreIsEnough)
{
    for (std::uint64_t seed = 31; seed <= 35; ++seed) {
        StoreScene scene({ seed, 0.005, 0, 1ms, 5ms }, 25, 24);
        startDeployment(scene, 245);
        scene.confirm(246);
        scene.fleet.run(5s);
        BOOST_TEST(scene.allHaveLatest(), "seed " << seed);
        BOOST_TEST((scene.longestLag <= timeInForce), "seed " << seed << ": " << milliseconds(scene.longestLag) << " ms");
    }
}

// An entry that starts while the store refuses it.
BOOST_AUTO_TEST_CASE(AnEntryThatStartsWithoutTheStoreGetsTheConfigurationDuringAStorm)
{
    for (std::uint64_t seed = 41; seed <= 45; ++seed) {
        StoreScene scene({ seed, 0.005, 0, 1ms, 5ms }, 25, 0);
        startDeployment(scene, 1640);
        EntryControl& joiner = scene.fleet.addEntry("joiner", dataCentres[0]);
        TimePoint const started = scene.fleet.now();
        std::optional<Duration> configuredAfter;
        for (std::size_t change = 0; change < 20; ++change) {
            scene.confirm(1641 + change);
            scene.fleet.run(300ms);
            if (!configuredAfter && joiner.changeLog().position() > 0)
                configuredAfter = scene.fleet.now() - started;
        }
        BOOST_TEST(configuredAfter.has_value(), "seed " << seed);
        BOOST_TEST((configuredAfter && *configuredAfter <= timeInForce), "seed " << seed << ": " << milliseconds(configuredAfter.value_or(0ms)) << " ms");
    }
}
