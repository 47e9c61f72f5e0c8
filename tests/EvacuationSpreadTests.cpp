// Guards against evacuations that are lost, kept or brought back wrongly: by old news, by a store that comes back from an
// older copy, by processes that restart, and by malformed messages.
#include "membership/EvacuationSpread.h"
#include "membership/RandomSource.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace plantaindrift;
using namespace std::chrono_literals;

namespace {

using Names = std::vector<std::string>;

constexpr TimePoint start { std::chrono::hours { 1000 } };
constexpr Endpoint peer { 0x0A000001U, 7000 };

StoredEvacuations stored(std::uint64_t generation, std::uint64_t revision, Names names, Names removed = {})
{
    return { { std::move(names), { generation, revision } }, std::move(removed) };
}

control::Evacuations message(std::uint64_t generation, std::uint64_t revision, Names const& names)
{
    control::Evacuations result;
    result.set_generation(generation);
    result.set_revision(revision);
    for (std::string const& name : names)
        result.add_data_centres(name);
    return result;
}

// One process with the messages that it sends.
struct Process {
    EvacuationSpread spread { true };
    EntryControl::Counts counts;
    Outbox outbox { counts };
    Names inForce;

    Names const& current()
    {
        if (std::optional<EvacuationChange> const change = spread.takeChange())
            inForce = change->set.dataCentres;
        return inForce;
    }

    // What the process sends to a peer without a set.
    control::Evacuations knowledge(TimePoint now)
    {
        control::Heartbeat heartbeat;
        heartbeat.set_evacuations_hash(EvacuationSpread(true).fingerprint());
        control::HeartbeatReply reply;
        spread.answer(heartbeat, reply, now);
        return reply.evacuations();
    }

    // A heartbeat of the other process and its consequences.
    void heartbeatFrom(Process& other, TimePoint now)
    {
        control::Heartbeat heartbeat;
        heartbeat.set_evacuations_hash(other.spread.fingerprint());
        control::HeartbeatReply reply;
        spread.answer(heartbeat, reply, now);
        BOOST_TEST(other.spread.takeReply(reply, peer, other.outbox, now));
        for (ControlMessage const& sent : other.outbox.take()) {
            control::Envelope envelope;
            BOOST_TEST_REQUIRE(envelope.ParseFromString(sent.bytes));
            BOOST_TEST(spread.take(envelope.gossip().evacuations(), now));
        }
    }
};

} // namespace

// Guards against old news that overrides newer: an operator evacuates, withdraws and evacuates again within a second.
BOOST_AUTO_TEST_CASE(TheHigherVersionWinsInAnyOrder)
{
    std::vector<control::Evacuations> const news { message(1, 10, { "north" }), message(1, 20, {}), message(1, 30, { "south" }) };
    std::vector<std::size_t> order { 0, 1, 2 };
    do {
        Process process;
        for (std::size_t const index : order)
            BOOST_TEST(process.spread.take(news[index], start));
        BOOST_TEST(process.current() == Names { "south" }, boost::test_tools::per_element());
    } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against a stale set that wins because equal contents kept an old version.
BOOST_AUTO_TEST_CASE(ARepeatedListRaisesTheVersion)
{
    Process process;
    process.spread.takeStored(stored(1, 10, { "north" }), start);
    process.spread.takeStored(stored(1, 30, { "north" }), start + 1s);
    BOOST_TEST(process.spread.take(message(1, 20, {}), start + 2s));
    BOOST_TEST(process.current() == Names { "north" }, boost::test_tools::per_element());
}

// Guards against a flood of gossip by entries that only read the same list again.
BOOST_AUTO_TEST_CASE(OnlyChangedDataCentresAreSpreadAtOnce)
{
    Process process;
    process.spread.takeStored(stored(1, 10, { "north" }), start);
    BOOST_TEST(process.spread.takePendingSpread());
    BOOST_TEST(!process.spread.takePendingSpread());
    process.spread.takeStored(stored(1, 30, { "north" }), start);
    BOOST_TEST(!process.spread.takePendingSpread());
}

// Guards against flows that open in an evacuated data centre because a restored store lost its object for some seconds.
BOOST_AUTO_TEST_CASE(AnObjectThatARestoredStoreLacksCountsForTenSeconds)
{
    Process process;
    process.spread.takeStored(stored(1, 500, { "north", "south" }), start);
    process.spread.takeStored(stored(2, 40, {}), start + 60s);
    BOOST_TEST(process.current() == (Names { "north", "south" }), boost::test_tools::per_element());
    process.spread.takeStored(stored(2, 45, { "south" }), start + 64s);
    process.spread.tick(start + 69s + 900ms);
    BOOST_TEST(process.current() == (Names { "north", "south" }), boost::test_tools::per_element());
    process.spread.tick(start + 70s);
    BOOST_TEST(process.current() == Names { "south" }, boost::test_tools::per_element());
}

// Guards against a withdrawal after a restore that takes effect 10 s late.
BOOST_AUTO_TEST_CASE(ARemovalThatARestoredStoreReportsCountsAtOnce)
{
    Process process;
    process.spread.takeStored(stored(1, 500, { "north", "south" }), start);
    process.spread.takeStored(stored(2, 40, {}), start + 60s);
    process.spread.takeStored(stored(2, 42, {}, { "north" }), start + 61s);
    BOOST_TEST(process.current() == Names { "south" }, boost::test_tools::per_element());
    // Listed in the new generation and removed while its watch was lost: absence from the next list is enough.
    process.spread.takeStored(stored(2, 44, { "south" }), start + 62s);
    process.spread.takeStored(stored(2, 46, {}), start + 63s);
    BOOST_TEST(process.current().empty());
}

// Guards against a peer that lacks the removal and brings the data centre back until its own 10 s have passed.
BOOST_AUTO_TEST_CASE(ARemovalAfterARestoreReachesPeersThatRetainTheDataCentre)
{
    Process first;
    Process second;
    for (Process* const process : { &first, &second }) {
        process->spread.takeStored(stored(1, 500, { "north" }), start);
        process->spread.takeStored(stored(2, 40, {}), start + 60s);
    }
    first.spread.takeStored(stored(2, 42, {}, { "north" }), start + 61s);
    BOOST_TEST(first.spread.take(second.knowledge(start + 61s), start + 61s));
    BOOST_TEST(first.current().empty());
    BOOST_TEST(second.spread.take(first.knowledge(start + 61s), start + 61s));
    BOOST_TEST(second.current().empty());
    BOOST_TEST(first.spread.fingerprint() == second.spread.fingerprint());
}

// Guards against an entry that restarts right after a restore, reads a list without the object and sends flows there; and
// against 10 s that begin again with each process that learns of the generation.
BOOST_AUTO_TEST_CASE(AProcessThatStartsAfterARestoreLearnsWhatPeersRetain)
{
    Process running;
    running.spread.takeStored(stored(1, 500, { "north" }), start);
    running.spread.takeStored(stored(2, 40, {}), start + 60s);
    Process started;
    started.spread.takeStored(stored(2, 41, {}), start + 66s);
    BOOST_TEST(started.current().empty());
    BOOST_TEST(started.spread.take(running.knowledge(start + 66s), start + 66s));
    BOOST_TEST(started.current() == Names { "north" }, boost::test_tools::per_element());
    started.spread.tick(start + 70s);
    BOOST_TEST(started.current().empty());
    // A peer whose 10 s are over does not take it again from one whose clock is slow.
    control::Evacuations late = message(2, 41, {});
    late.set_generation_age_ms(9'900);
    late.add_retained("north");
    BOOST_TEST(started.spread.take(late, start + 71s));
    BOOST_TEST(started.current().empty());
}

// Guards against answers of a store from before its restore, which may arrive after it.
BOOST_AUTO_TEST_CASE(AnEarlierGenerationChangesNothing)
{
    Process process;
    process.spread.takeStored(stored(2, 40, { "north" }), start);
    process.spread.takeStored(stored(1, 500, { "south" }), start);
    BOOST_TEST(process.current() == Names { "north" }, boost::test_tools::per_element());
}

// Guards against an entry that restarts while the store is unavailable: an agent is ahead of it and must send it the set.
BOOST_AUTO_TEST_CASE(KnowledgePassesInBothDirectionsOfAHeartbeat)
{
    Process entry;
    Process agent;
    agent.spread.takeStored(stored(1, 10, { "north" }), start);
    entry.heartbeatFrom(agent, start + 1s);
    BOOST_TEST(entry.current() == Names { "north" }, boost::test_tools::per_element());
    entry.spread.takeStored(stored(1, 20, {}), start + 2s);
    entry.heartbeatFrom(agent, start + 3s);
    BOOST_TEST(agent.current().empty());
    BOOST_TEST(entry.spread.fingerprint() == agent.spread.fingerprint());
    // Nothing more passes between processes that know the same.
    control::Heartbeat heartbeat;
    heartbeat.set_evacuations_hash(agent.spread.fingerprint());
    control::HeartbeatReply reply;
    entry.spread.answer(heartbeat, reply, start + 4s);
    BOOST_TEST(!reply.has_evacuations());
}

// Guards against a set that wins over a newer one because a process holds the same data centres with an old version.
BOOST_AUTO_TEST_CASE(HeartbeatsPassOnANewVersionOfTheSameDataCentres)
{
    Process entry;
    Process agent;
    entry.spread.takeStored(stored(1, 30, { "north" }), start);
    agent.spread.takeStored(stored(1, 10, { "north" }), start);
    entry.heartbeatFrom(agent, start + 1s);
    BOOST_TEST(agent.spread.take(message(1, 20, {}), start + 2s));
    BOOST_TEST(agent.current() == Names { "north" }, boost::test_tools::per_element());
}

// Guards against processes that exchange what they know at every heartbeat for ever because they never agree.
BOOST_AUTO_TEST_CASE(RandomHistoriesEndInEqualKnowledge)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        RandomSource random(seed);
        std::vector<Process> processes(4);
        Names const names { "east", "north", "south", "west" };
        Names listed;
        std::uint64_t generation = 1;
        std::uint64_t revision = 10'000;
        TimePoint now = start;
        for (int step = 0; step < 200; ++step) {
            now += 100ms;
            Names removed;
            if (random.below(40) == 0) {
                ++generation;
                revision -= random.below(30);
                listed.clear();
            } else if (random.below(4) == 0) {
                ++revision;
                std::string const& name = names[random.below(names.size())];
                auto const found = std::lower_bound(listed.begin(), listed.end(), name);
                if (found != listed.end() && *found == name) {
                    listed.erase(found);
                    removed.push_back(name);
                } else {
                    listed.insert(found, name);
                }
            }
            processes[random.below(processes.size())].spread.takeStored(stored(generation, revision, listed, removed), now);
            processes[random.below(processes.size())].heartbeatFrom(processes[random.below(processes.size())], now);
            for (Process& process : processes)
                process.spread.tick(now);
        }
        for (int round = 0; round < 2; ++round) {
            for (Process& one : processes) {
                for (Process& other : processes)
                    one.heartbeatFrom(other, now);
            }
        }
        std::uint32_t const fingerprint = processes.front().spread.fingerprint();
        for (Process& process : processes) {
            BOOST_TEST(process.spread.fingerprint() == fingerprint, "seed " << seed);
            process.spread.tick(now + EvacuationSpread::absenceGrace);
            BOOST_TEST(process.current() == listed, "seed " << seed);
        }
    }
}

// Guards against names that no peer accepts, and sets that fill messages.
BOOST_AUTO_TEST_CASE(MalformedKnowledgeIsRefused)
{
    std::vector<control::Evacuations> wrong { message(1, 1, { "" }), message(1, 1, { "a b" }), message(1, 1, { "b", "a" }), message(1, 1, { "a", "a" }), message(1, 1, { std::string(254, 'a') }) };
    Names many;
    for (int index = 0; index <= EvacuationSpread::maximumDataCentres; ++index)
        many.push_back("centre-" + std::to_string(1000 + index));
    wrong.push_back(message(1, 1, many));
    wrong.push_back(message(1, 1, {}));
    wrong.back().set_generation_age_ms(10'001);
    wrong.push_back(message(1, 1, {}));
    wrong.back().add_retained("\n");
    wrong.push_back(message(1, 1, {}));
    wrong.back().add_reported("");
    for (control::Evacuations const& one : wrong) {
        Process process;
        BOOST_TEST(!process.spread.take(one, start), one.SerializeAsString().size() << " bytes");
        BOOST_TEST(!process.spread.takeChange().has_value());
    }
    Process process;
    process.spread.takeStored(stored(1, 1, many), start);
    Process other;
    BOOST_TEST(other.spread.take(process.knowledge(start), start));
    BOOST_TEST(other.spread.fingerprint() == process.spread.fingerprint());
}

// Guards against bytes and behaviour in deployments that did not ask for evacuations.
BOOST_AUTO_TEST_CASE(NothingIsTakenOrSentWhileOff)
{
    EvacuationSpread spread(false);
    spread.takeStored(stored(1, 10, { "north" }), start);
    BOOST_TEST(spread.take(message(1, 20, { "north" }), start));
    spread.tick(start + 20s);
    BOOST_TEST(spread.fingerprint() == 0U);
    BOOST_TEST(!spread.takePendingSpread());
    BOOST_TEST(!spread.takeChange().has_value());
    control::Heartbeat heartbeat;
    heartbeat.set_evacuations_hash(7);
    control::HeartbeatReply reply;
    spread.answer(heartbeat, reply, start);
    BOOST_TEST(!reply.has_evacuations());
    // Nor is a peer answered that has it off.
    Process process;
    process.spread.takeStored(stored(1, 10, { "north" }), start);
    process.spread.answer(control::Heartbeat {}, reply, start);
    BOOST_TEST(!reply.has_evacuations());
}
