// Figures that do not depend on the machine: encoded sizes and memory per item.

#include "AllocationCounter.h"
#include "Fleet.h"

#include <map>
#include <memory>

namespace plantaindrift::bench {

namespace {

    using namespace std::chrono_literals;

    // First byte of an encoded envelope: number of the body's field.
    constexpr std::array<char const*, 8> kindNames { "", "heartbeat", "heartbeat_reply", "gossip", "digest_request", "shard_request", "shard_reply", "load_share" };

    struct Sizes {
        std::size_t least { ~std::size_t { 0 } };
        std::size_t most { 0 };
    };

    EntryControlOptions plannedOptions()
    {
        EntryControlOptions options;
        options.self = ProportionalFleet::member(MemberRole::Entry, 0);
        return options;
    }

    // Bytes of control logic per record, with a second tick so that all derived state exists.
    double bytesPerMember(MemberRole role, int count)
    {
        EntryControl control(plannedOptions());
        TimePoint const now { std::chrono::hours { 1 } };
        control.tick(now);
        std::vector<Member> members;
        for (int index = 1; index <= count; ++index)
            members.push_back(ProportionalFleet::member(role, index));
        std::size_t const before = allocatedBytes();
        control.addMembers(members, now);
        static_cast<void>(control.takeChangedViews());
        control.tick(now + 100ms);
        static_cast<void>(control.takeMessages());
        return static_cast<double>(allocatedBytes() - before) / count;
    }

    double bytesPerService(int count)
    {
        EntryControl control(plannedOptions());
        TimePoint const now { std::chrono::hours { 1 } };
        control.tick(now);
        Configuration configuration;
        for (int index = 0; index < count; ++index)
            configuration.services.push_back(testing::makeChange(1, ProportionalFleet::serviceName(index)).services.front().after.value());
        std::size_t const before = allocatedBytes();
        control.addSnapshot(1, configuration, now);
        return static_cast<double>(allocatedBytes() - before) / count;
    }

    double bytesPerChange(int count)
    {
        EntryControl control(plannedOptions());
        TimePoint now { std::chrono::hours { 1 } };
        control.tick(now);
        std::size_t before = 0;
        for (int position = 1; position <= count + 1; ++position) {
            std::vector<ConfigurationChange> const changes { testing::makeChange(static_cast<std::uint64_t>(position), ProportionalFleet::serviceName(0)) };
            control.addChanges(changes, now);
            if (position == 1)
                before = allocatedBytes();
        }
        return static_cast<double>(allocatedBytes() - before) / count;
    }

    double bytesPerPeerAtAgent(int count)
    {
        testing::ControlFleet fleet;
        fleet.seeds.push_back(testing::ControlFleet::endpointOf(1));
        fleet.addEntry("entry-1000", "data-centre-0", 1'700'000'000'000);
        std::vector<Member> members;
        for (int index = 1; index <= count; ++index) {
            members.push_back(ProportionalFleet::member(MemberRole::Agent, index));
            members.back().service = ProportionalFleet::serviceName(0);
        }
        fleet.addAgent("agent", "data-centre-0", ProportionalFleet::serviceName(0), 1'700'000'000'000);
        fleet.run(2s);
        std::size_t const before = allocatedBytes();
        fleet.entry("entry-1000").addMembers(members, fleet.now());
        static_cast<void>(fleet.entry("entry-1000").takeChangedViews());
        std::size_t const atEntry = allocatedBytes();
        fleet.run(2s);
        static_cast<void>(fleet.agent("agent").takeChangedView());
        static_cast<void>(before);
        return static_cast<double>(allocatedBytes() - atEntry) / count;
    }

} // namespace

void measureSizes()
{
    ProportionalFleet fleet(10, { 3, 0, 0, 1ms, 5ms });
    std::map<std::string, Sizes> sizes;
    fleet.settle();
    fleet.declareServices();
    fleet.control().observe = [&sizes](Member const& from, Member const&, std::string const& bytes) {
        std::size_t const kind = static_cast<unsigned char>(bytes.front()) >> 3U;
        std::string const role = from.role == MemberRole::Entry ? "entry" : "agent";
        Sizes& seen = sizes[role + '_' + kindNames[kind]];
        seen.least = std::min(seen.least, bytes.size());
        seen.most = std::max(seen.most, bytes.size());
    };
    fleet.control().run(30s);
    fleet.control().agent(ProportionalFleet::targetName(1)).setDraining(true, fleet.control().now());
    fleet.control().run(2s);
    std::vector<ConfigurationChange> const changes { testing::makeChange(static_cast<std::uint64_t>(fleet.services()) + 1, ProportionalFleet::serviceName(3)) };
    fleet.control().entry(ProportionalFleet::entryName(0)).addChanges(changes, fleet.control().now());
    sizes["entry_gossip_record"] = sizes["entry_gossip"];
    sizes.erase("entry_gossip");
    fleet.control().run(2s);
    sizes["entry_gossip_change"] = sizes["entry_gossip"];
    sizes.erase("entry_gossip");
    for (auto const& [kind, size] : sizes) {
        print("bytes_" + kind + "_least", static_cast<double>(size.least));
        print("bytes_" + kind + "_most", static_cast<double>(size.most));
    }
}

void measureMemory()
{
    print("memory_entry_per_target", bytesPerMember(MemberRole::Agent, plannedTargets));
    print("memory_entry_per_entry", bytesPerMember(MemberRole::Entry, plannedEntries));
    print("memory_entry_per_service", bytesPerService(plannedServices));
    print("memory_entry_per_change", bytesPerChange(ChangeLog::keptChanges / 2));
    print("memory_agent_per_peer", bytesPerPeerAtAgent(300));
    std::size_t const before = allocatedBytes();
    std::unique_ptr<EntryControl> const control = std::make_unique<EntryControl>(plannedOptions());
    print("memory_entry_base", static_cast<double>(allocatedBytes() - before));
}

} // namespace plantaindrift::bench
