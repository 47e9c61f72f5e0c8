// Figures of whole fleets in virtual time: traffic, processor time, delays, joins.

#include "Fleet.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>

namespace plantaindrift::bench {

namespace {

    using namespace std::chrono_literals;
    using testing::ControlFleet;

    std::string suffix(std::string const& key, int entries)
    {
        return key + '_' + std::to_string(entries);
    }

    double secondsOf(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    void printRates(std::string const& name, int entries, ProportionalFleet::Bytes const& bytes)
    {
        print(suffix(name + "_sent_per_s", entries), bytes.sent);
        print(suffix(name + "_received_per_s", entries), bytes.received);
        print(suffix(name + "_sent_per_s_most", entries), bytes.mostSent);
        print(suffix(name + "_received_per_s_most", entries), bytes.mostReceived);
    }

    // Time until every entry has applied a position; -1 if not within a minute.
    double spreadTime(ControlFleet& fleet, std::uint64_t position)
    {
        Duration const passed = fleet.runUntil([&fleet, position] { return fleet.everyEntryApplied(position); }, 60s);
        return passed <= 60s ? secondsOf(passed) : -1;
    }

    struct SpreadTimes {
        double mean { 0 };
        double most { 0 };
    };

    SpreadTimes spreadChanges(ProportionalFleet& fleet, std::uint64_t& position, int rounds)
    {
        SpreadTimes times;
        for (int round = 0; round < rounds; ++round) {
            ++position;
            std::vector<ConfigurationChange> const changes { testing::makeChange(position, ProportionalFleet::serviceName(round)) };
            // Two watchers read the change at the same moment.
            fleet.control().entry(ProportionalFleet::entryName(round % fleet.entries())).addChanges(changes, fleet.control().now());
            fleet.control().entry(ProportionalFleet::entryName((round + 1) % fleet.entries())).addChanges(changes, fleet.control().now());
            double const passed = spreadTime(fleet.control(), position);
            times.mean += passed / rounds;
            times.most = std::max(times.most, passed);
            fleet.control().run(5s);
        }
        return times;
    }

    void measureDeltas(ProportionalFleet& fleet, double idleRate)
    {
        // Each drain is followed by its end: two deltas.
        constexpr int drains = 10;
        double bytes = 0;
        for (int drain = 0; drain < drains; ++drain) {
            AgentControl& agent = fleet.control().agent(ProportionalFleet::targetName(drain % fleet.targets()));
            agent.setDraining(true, fleet.control().now());
            ProportionalFleet::Rates const first = fleet.runAndCount(5s);
            agent.setDraining(false, fleet.control().now());
            ProportionalFleet::Rates const second = fleet.runAndCount(5s);
            bytes += (first.entry.sent + second.entry.sent) * 5;
        }
        print(suffix("delta_bytes_sent_per_entry", fleet.entries()), (bytes - idleRate * drains * 10) / (2 * drains));
    }

} // namespace

void measureTraffic(std::span<int const> sizes)
{
    std::vector<double> sent;
    std::vector<double> received;
    std::vector<double> processor;
    std::vector<double> agentProcessor;
    for (int const entries : sizes) {
        ProportionalFleet fleet(entries, { 5, 0, 0, 1ms, 5ms });
        fleet.settle();
        fleet.declareServices();
        fleet.control().measuresTime = true;
        constexpr std::chrono::seconds stretch { 120 };
        ProportionalFleet::Rates const rates = fleet.runAndCount(stretch);
        printRates("idle_entry", entries, rates.entry);
        printRates("idle_agent", entries, rates.agent);
        double const seconds = static_cast<double>(stretch.count());
        ControlFleet::ProcessorTime const& time = fleet.control().processorTime;
        processor.push_back(secondsOf(time.entries) / seconds / entries);
        agentProcessor.push_back(secondsOf(time.agents) / seconds / fleet.targets());
        print(suffix("cpu_entry_share", entries), processor.back());
        print(suffix("cpu_agent_share", entries), agentProcessor.back());
        sent.push_back(rates.entry.sent);
        received.push_back(rates.entry.received);
        fleet.control().measuresTime = false;
        measureDeltas(fleet, rates.entry.sent);
    }
    extrapolate("idle_entry_sent_per_s", sizes, sent);
    extrapolate("idle_entry_received_per_s", sizes, received);
    extrapolate("cpu_entry_share", sizes, processor);
    extrapolate("cpu_agent_share", sizes, agentProcessor);
}

void measureChanges(std::span<int const> sizes)
{
    struct Case {
        char const* name;
        double loss;
        bool cut;
    };
    for (Case const& one : { Case { "clean", 0, false }, Case { "loss5", 0.05, false }, Case { "loss5_cut", 0.05, true } }) {
        std::vector<double> most;
        for (int const entries : sizes) {
            ProportionalFleet fleet(entries, { 6, one.loss, 0, 1ms, 20ms });
            fleet.settle();
            fleet.declareServices();
            std::uint64_t position = static_cast<std::uint64_t>(fleet.services());
            std::string const name = std::string("change_") + one.name + "_s";
            if (one.cut) {
                // The first data centre is cut off for 30 s while the others apply a change; the time runs from the healing.
                fleet.control().cut([](Member const& member) { return member.dataCentre == "data-centre-0"; });
                ++position;
                std::vector<ConfigurationChange> const changes { testing::makeChange(position, ProportionalFleet::serviceName(1)) };
                fleet.control().entry(ProportionalFleet::entryName(1)).addChanges(changes, fleet.control().now());
                fleet.control().run(30s);
                fleet.control().cut({});
                most.push_back(spreadTime(fleet.control(), position));
            } else {
                SpreadTimes const times = spreadChanges(fleet, position, 10);
                print(suffix(name + "_mean", entries), times.mean);
                most.push_back(times.most);
            }
            print(suffix(name + "_most", entries), most.back());
        }
        extrapolate(std::string("change_") + one.name + "_s_most", sizes, most);
    }
}

void measureJoining(std::span<int const> sizes)
{
    std::vector<double> times;
    for (int const entries : sizes) {
        ProportionalFleet fleet(entries, { 7, 0, 0, 1ms, 20ms });
        fleet.settle();
        fleet.declareServices();
        fleet.control().addEntry("joiner", "data-centre-1", 1'700'000'000'000);
        ProportionalFleet::Rates const idle = fleet.runAndCount(0s + 1s);
        static_cast<void>(idle);
        Duration const passed = fleet.control().runUntil([&fleet] { return fleet.control().entry("joiner").isCaughtUp(fleet.control().now()); }, 60s);
        times.push_back(secondsOf(passed) + 1);
        print(suffix("joining_s", entries), times.back());
        print(suffix("joining_received_bytes", entries), static_cast<double>(fleet.control().entry("joiner").counts().receivedBytes));
        print(suffix("joining_members", entries), static_cast<double>(fleet.control().entry("joiner").members().size()));
    }
    extrapolate("joining_s", sizes, times);
}

namespace {

    // First byte of an encoded envelope: number of the body's field.
    constexpr std::array<char const*, 8> kindNames { "none", "heartbeat", "heartbeat_reply", "gossip", "digest_request", "shard_request", "shard_reply", "load_share" };

    using KindBytes = std::map<std::string, double>;

    void countKinds(ControlFleet& fleet, KindBytes& bytes)
    {
        fleet.observe = [&bytes](Member const& from, Member const& to, std::string const& message) {
            std::string const kind = kindNames[static_cast<unsigned char>(message.front()) >> 3U];
            if (from.role == MemberRole::Entry)
                bytes["sent_" + kind] += static_cast<double>(message.size());
            if (to.role == MemberRole::Entry)
                bytes["received_" + kind] += static_cast<double>(message.size());
        };
    }

    void addStormTargets(ProportionalFleet& fleet, int joins)
    {
        // The joining targets bring services of their own, in the planned proportion.
        int const services = joins * plannedServices / plannedTargets;
        for (int index = 0; index < joins; ++index) {
            std::string const service = "storm-" + std::to_string(1000 + index % services);
            fleet.control().addAgent("storm-target-" + std::to_string(10000 + index), ProportionalFleet::placeOf(index), service, 1'700'000'000'000);
        }
    }

} // namespace

void measureStorm(std::span<int const> sizes)
{
    for (int const entries : sizes) {
        ProportionalFleet fleet(entries, { 8, 0, 0, 1ms, 20ms });
        fleet.settle();
        fleet.declareServices();
        KindBytes bytes;
        countKinds(fleet.control(), bytes);
        constexpr int joins = 1100;
        addStormTargets(fleet, joins);
        ProportionalFleet::Rates const first = fleet.runAndCount(60s);
        printRates("storm_first_minute_entry", entries, first.entry);
        for (auto const& [kind, sum] : bytes)
            print(suffix("storm_first_minute_" + kind + "_per_s", entries), sum / entries / 60);
        int seconds = 60;
        double mostSent = first.entry.mostSent;
        double mostReceived = first.entry.mostReceived;
        while (!fleet.control().isConverged() && seconds < 1800) {
            ProportionalFleet::Rates const rates = fleet.runAndCount(60s);
            mostSent = std::max(mostSent, rates.entry.mostSent);
            mostReceived = std::max(mostReceived, rates.entry.mostReceived);
            seconds += 60;
        }
        print(suffix("storm_converged_s", entries), seconds);
        print(suffix("storm_minute_sent_per_s_most", entries), mostSent);
        print(suffix("storm_minute_received_per_s_most", entries), mostReceived);
    }
}

namespace {

    /// \brief Time to agreement, and the highest rates of an entry in a minute.
    struct Recovery {
        int seconds { 0 };
        double mostSent { 0 };
        double mostReceived { 0 };
    };

    template <typename Predicate>
    Recovery recover(ProportionalFleet& fleet, Predicate isDone)
    {
        constexpr std::chrono::seconds stretch { 20 };
        Recovery recovery;
        while (!isDone() && recovery.seconds < 1800) {
            ProportionalFleet::Rates const rates = fleet.runAndCount(stretch);
            recovery.mostSent = std::max(recovery.mostSent, rates.entry.mostSent);
            recovery.mostReceived = std::max(recovery.mostReceived, rates.entry.mostReceived);
            recovery.seconds += static_cast<int>(stretch.count());
        }
        return recovery;
    }

    void printRecovery(std::string const& name, int entries, Recovery const& recovery)
    {
        print(suffix(name + "_converged_s", entries), recovery.seconds);
        print(suffix(name + "_sent_per_s_most", entries), recovery.mostSent);
        print(suffix(name + "_received_per_s_most", entries), recovery.mostReceived);
    }

    bool isOnFirstSide(Member const& member)
    {
        return member.dataCentre <= "data-centre-3";
    }

    // True if every entry of the first side has no live record of the second.
    bool isSeparated(ControlFleet& fleet)
    {
        for (std::string const& name : fleet.entryNames()) {
            bool const first = isOnFirstSide(fleet.self(name));
            for (Member const& member : fleet.live(name)) {
                if (isOnFirstSide(member) != first)
                    return false;
            }
        }
        return true;
    }

} // namespace

void measureOutages(std::span<int const> sizes)
{
    for (int const entries : sizes) {
        ProportionalFleet fleet(entries, { 9, 0, 0, 1ms, 20ms });
        fleet.settle();
        fleet.declareServices();
        ControlFleet& control = fleet.control();
        auto const agree = [&control] { return control.isConverged(); };
        std::vector<Member> lost;
        for (int index = 0; index < fleet.targets(); ++index) {
            if (control.self(ProportionalFleet::targetName(index)).dataCentre == "data-centre-1")
                lost.push_back(control.self(ProportionalFleet::targetName(index)));
        }
        for (Member const& member : lost)
            control.kill(member.name);
        printRecovery("place_lost", entries, recover(fleet, agree));
        for (Member const& member : lost)
            control.addAgent(member.name, member.dataCentre, member.service, 1);
        printRecovery("place_back", entries, recover(fleet, agree));
        control.cut(isOnFirstSide);
        printRecovery("regions_cut", entries, recover(fleet, [&control] { return isSeparated(control); }));
        control.cut({});
        printRecovery("regions_rejoined", entries, recover(fleet, agree));
        print(suffix("outage_targets", entries), static_cast<double>(lost.size()));
    }
}

} // namespace plantaindrift::bench
