// Guards against entries and agents that do not learn of an evacuation, or learn of it too late, when messages are lost, the
// store answers one entry only, processes restart or a link is cut.
#include "ControlFleet.h"

#include "membership/Message.h"
#include "plantaindrift/store/FleetStore.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>

using namespace plantaindrift;
using namespace plantaindrift::testing;
using namespace std::chrono_literals;

namespace {

using Names = std::vector<std::string>;

constexpr std::array<char const*, 3> dataCentres { "bohinj", "kranj", "radovljica" };

// The goal after the confirmation of the write; the bound is 5 s.
constexpr Duration goal = 2s;
constexpr Duration bound = 5s;

StoredEvacuations stored(std::uint64_t generation, std::uint64_t revision, Names names, Names removed = {})
{
    return { { std::move(names), { generation, revision } }, std::move(removed) };
}

// A fleet with the sets that its processes applied.
class Scene {
public:
    ControlFleet fleet;

    explicit Scene(NetworkOptions const& options, std::uint32_t entries = 12, int agents = 40)
        : fleet(options)
    {
        fleet.handlesEvacuations = true;
        fleet.afterStep = [this] { collect(); };
        for (std::uint32_t index = 1; index <= 3; ++index)
            fleet.seeds.push_back(ControlFleet::endpointOf(index));
        for (std::uint32_t index = 0; index < entries; ++index)
            fleet.addEntry("entry-" + std::to_string(10 + index), dataCentres[index % 3]);
        for (int index = 0; index < agents; ++index)
            fleet.addAgent("agent-" + std::to_string(100 + index), dataCentres[static_cast<std::size_t>(index) % 3], "desk");
        fleet.run(20s);
    }

    void read(std::string const& entry, StoredEvacuations const& found) { fleet.entry(entry).addEvacuations(found, fleet.now()); }

    [[nodiscard]] bool allApplied(Names const& expected)
    {
        Names names = fleet.entryNames();
        Names const agents = fleet.agentNames();
        names.insert(names.end(), agents.begin(), agents.end());
        return std::all_of(names.begin(), names.end(), [&](std::string const& name) { return applied_[name] == expected; });
    }

    void forget(std::string const& name) { applied_.erase(name); }

private:
    std::map<std::string, Names> applied_;

    void collect()
    {
        for (std::string const& name : fleet.entryNames())
            note(name, fleet.entry(name).takeChangedEvacuations());
        for (std::string const& name : fleet.agentNames())
            note(name, fleet.agent(name).takeChangedEvacuations());
    }

    void note(std::string const& name, std::optional<EvacuationChange> const& change)
    {
        if (change)
            applied_[name] = change->set.dataCentres;
    }
};

} // namespace

// Guards against watches that hang at all entries but one: it must reach the others and the agents by itself.
BOOST_AUTO_TEST_CASE(WhatOneEntryReadsReachesAllEntriesAndAgents)
{
    Scene scene({ 11, 0, 0, 1ms, 20ms });
    scene.read("entry-15", stored(1, 510, { "kranj" }));
    BOOST_TEST((scene.fleet.runUntil([&] { return scene.allApplied({ "kranj" }); }, bound) <= goal));
    scene.read("entry-12", stored(1, 520, {}, { "kranj" }));
    BOOST_TEST((scene.fleet.runUntil([&] { return scene.allApplied({}); }, bound) <= goal));
}

// Guards against a set that a lost message keeps from a process until the next change.
BOOST_AUTO_TEST_CASE(LostMessagesDelayAnEvacuationByLessThanTheBound)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Scene scene({ seed, 0.1, 0.05, 1ms, 50ms });
        scene.read("entry-10", stored(1, 510, { "bohinj" }));
        BOOST_TEST((scene.fleet.runUntil([&] { return scene.allApplied({ "bohinj" }); }, bound) <= bound), "seed " << seed);
    }
}

// Guards against operators' quick changes that arrive in another order, by different entries.
BOOST_AUTO_TEST_CASE(QuickChangesEndInTheLastOne)
{
    Scene scene({ 12, 0.05, 0.05, 1ms, 80ms });
    scene.read("entry-11", stored(1, 530, { "kranj" }));
    scene.read("entry-12", stored(1, 510, { "bohinj" }));
    scene.fleet.advance();
    scene.read("entry-13", stored(1, 520, { "bohinj", "kranj" }));
    BOOST_TEST((scene.fleet.runUntil([&] { return scene.allApplied({ "kranj" }); }, bound) <= bound));
    scene.fleet.run(10s);
    BOOST_TEST(scene.allApplied({ "kranj" }));
}

// Guards against an evacuation that ends when all entries restart while the store is unavailable: agents remember it.
BOOST_AUTO_TEST_CASE(AgentsGiveTheSetToEntriesThatRestarted)
{
    Scene scene({ 13, 0.02, 0, 1ms, 20ms });
    scene.read("entry-10", stored(1, 510, { "kranj" }));
    BOOST_TEST_REQUIRE((scene.fleet.runUntil([&] { return scene.allApplied({ "kranj" }); }, bound) <= bound));
    std::vector<Member> entries;
    for (std::string const& name : scene.fleet.entryNames()) {
        entries.push_back(scene.fleet.self(name));
        scene.fleet.kill(name);
        scene.forget(name);
    }
    scene.fleet.restartAt(entries);
    BOOST_TEST((scene.fleet.runUntil([&] { return scene.allApplied({ "kranj" }); }, bound) <= bound));
}

// Guards against an agent that takes new flows because it started after the evacuation.
BOOST_AUTO_TEST_CASE(AnAgentThatStartsReceivesTheSet)
{
    Scene scene({ 14, 0, 0, 1ms, 20ms });
    scene.read("entry-10", stored(1, 510, { "kranj" }));
    BOOST_TEST_REQUIRE((scene.fleet.runUntil([&] { return scene.allApplied({ "kranj" }); }, bound) <= bound));
    scene.fleet.addAgent("agent-999", "kranj", "desk");
    BOOST_TEST((scene.fleet.runUntil([&] { return scene.allApplied({ "kranj" }); }, bound) <= goal));
}

// Guards against a data centre that was cut off and keeps, or spreads, the set from before.
BOOST_AUTO_TEST_CASE(ACutDataCentreReceivesTheSetWhenItReturns)
{
    Scene scene({ 15, 0, 0, 1ms, 20ms });
    scene.fleet.cut([](Member const& member) { return member.dataCentre == "bohinj"; });
    scene.read("entry-10", stored(1, 510, { "radovljica" })); // In bohinj, which does not reach the others.
    scene.fleet.run(20s);
    scene.read("entry-11", stored(1, 520, { "kranj" }));
    scene.fleet.run(20s);
    scene.fleet.cut({});
    BOOST_TEST((scene.fleet.runUntil([&] { return scene.allApplied({ "kranj" }); }, 30s) <= 30s));
}

// Guards against an evacuation that pauses, or never ends, at some processes after the store came back from an older copy.
BOOST_AUTO_TEST_CASE(AllProcessesEndTheRetentionAfterARestoreTogether)
{
    Scene scene({ 16, 0.05, 0, 1ms, 20ms });
    scene.read("entry-10", stored(1, 510, { "kranj" }));
    BOOST_TEST_REQUIRE((scene.fleet.runUntil([&] { return scene.allApplied({ "kranj" }); }, bound) <= bound));
    scene.read("entry-11", stored(2, 400, {}));
    for (TimePoint const end = scene.fleet.now() + 9s; scene.fleet.now() < end;) {
        scene.fleet.advance();
        BOOST_TEST_REQUIRE(scene.allApplied({ "kranj" }));
    }
    BOOST_TEST((scene.fleet.runUntil([&] { return scene.allApplied({}); }, 5s) <= 3s));
    scene.fleet.run(5s);
    BOOST_TEST(scene.allApplied({}));
}

// Guards against traffic that goes on after all know the same.
BOOST_AUTO_TEST_CASE(NoSetIsSentWhileNothingChanges)
{
    Scene scene({ 17, 0, 0, 1ms, 20ms });
    scene.read("entry-10", stored(1, 510, { "kranj" }));
    // The list that the other entries read at their own revisions.
    for (std::string const& name : scene.fleet.entryNames())
        scene.read(name, stored(1, 510 + scene.fleet.entryNames().size(), { "kranj" }));
    scene.fleet.run(30s);
    int sets = 0;
    scene.fleet.observe = [&sets](Member const&, Member const&, std::string const& bytes) {
        std::optional<control::Envelope> const envelope = decodeEnvelope(std::as_bytes(std::span(bytes)));
        sets += envelope->heartbeat_reply().has_evacuations() || envelope->gossip().has_evacuations() ? 1 : 0;
    };
    scene.fleet.run(30s);
    BOOST_TEST(sets == 0);
}

// Guards against fields in the messages of deployments that did not ask for evacuations.
BOOST_AUTO_TEST_CASE(NoFieldIsSentWhileOff)
{
    ControlFleet fleet({ 18, 0, 0, 1ms, 20ms });
    fleet.seeds.push_back(ControlFleet::endpointOf(1));
    for (int index = 0; index < 4; ++index)
        fleet.addEntry("entry-" + std::to_string(index), "kranj");
    fleet.addAgent("agent-1", "kranj", "desk");
    int fields = 0;
    fleet.observe = [&fields](Member const&, Member const&, std::string const& bytes) {
        std::optional<control::Envelope> const envelope = decodeEnvelope(std::as_bytes(std::span(bytes)));
        fields += envelope->heartbeat().evacuations_hash() != 0 || envelope->heartbeat_reply().has_evacuations() || envelope->gossip().has_evacuations() ? 1 : 0;
    };
    fleet.run(5s);
    fleet.entry("entry-0").addEvacuations(stored(1, 510, { "kranj" }), fleet.now());
    fleet.run(20s);
    BOOST_TEST(fields == 0);
    BOOST_TEST(!fleet.entry("entry-0").takeChangedEvacuations().has_value());
    BOOST_TEST(!fleet.agent("agent-1").takeChangedEvacuations().has_value());
}
