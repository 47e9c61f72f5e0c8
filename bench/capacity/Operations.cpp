// Processor time of the operations of one entry that knows a fleet of a given size.

#include "Fleet.h"

#include "configuration/ProtobufConversion.h"

#include "plantaindrift/membership/MemberTable.h"

#include "control.pb.h"

#include <ctime>

namespace plantaindrift::bench {

namespace {

    using namespace std::chrono_literals;

    double processorSeconds()
    {
        timespec time {};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
        constexpr double nanosecondsPerSecond = 1e9;
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / nanosecondsPerSecond;
    }

    // Mean processor time of one call, in microseconds.
    template <typename Call>
    double microseconds(int calls, Call call)
    {
        constexpr double microsecondsPerSecond = 1e6;
        double const begin = processorSeconds();
        for (int index = 0; index < calls; ++index)
            call(index);
        return (processorSeconds() - begin) * microsecondsPerSecond / calls;
    }

    /// \brief One entry that knows a fleet, without a network.
    class LoneEntry {
    public:
        LoneEntry(int entries, int targets)
            : entries_(entries)
            , targets_(targets)
            , control_(options())
        {
            control_.tick(now_);
            std::vector<Member> members;
            members.reserve(static_cast<std::size_t>(entries + targets));
            for (int index = 1; index < entries; ++index)
                members.push_back(ProportionalFleet::member(MemberRole::Entry, index));
            for (int index = 0; index < targets; ++index)
                members.push_back(ProportionalFleet::member(MemberRole::Agent, index));
            control_.addMembers(members, now_);
            Configuration configuration;
            for (int index = 0; index < plannedServices; ++index)
                configuration.services.push_back(testing::makeChange(1, ProportionalFleet::serviceName(index)).services.front().after.value());
            control_.addSnapshot(1, configuration, now_);
            tick();
        }

        void tick()
        {
            now_ += 100ms;
            control_.tick(now_);
            static_cast<void>(control_.takeMessages());
            static_cast<void>(control_.takeChangedViews());
        }

        void receive(control::Envelope const& envelope)
        {
            std::string const bytes = envelope.SerializeAsString();
            control_.receive({ 0x0A0000FF, 7000 }, std::as_bytes(std::span(bytes)), now_);
            static_cast<void>(control_.takeMessages());
        }

        // The heartbeat of a target whose view is up to date costs most: the view is built and compared.
        void heartbeat(int index)
        {
            control::Envelope envelope;
            control::Heartbeat& heartbeat = *envelope.mutable_heartbeat();
            Member const member = ProportionalFleet::member(MemberRole::Agent, index % targets_);
            heartbeat.set_name(member.name);
            heartbeat.set_incarnation(member.incarnation);
            heartbeat.set_fingerprint(1);
            heartbeat.set_service_hash(1);
            receive(envelope);
        }

        // A record with a new incarnation, the view that follows, and its share of the transmissions.
        void delta(MemberRole role, int index, MemberState state, std::uint64_t incarnation)
        {
            Member member = ProportionalFleet::member(role, index);
            member.incarnation += incarnation;
            member.state = state;
            control::Envelope envelope;
            toProtobuf(member, 0s, *envelope.mutable_gossip()->add_members());
            receive(envelope);
            static_cast<void>(control_.takeChangedViews());
        }

        void change(int index)
        {
            std::uint64_t const position = static_cast<std::uint64_t>(index) + 2;
            control::Envelope envelope;
            toProtobuf(testing::makeChange(position, ProportionalFleet::serviceName(index % plannedServices)), *envelope.mutable_gossip()->add_changes());
            receive(envelope);
        }

        void digests()
        {
            control::Envelope envelope;
            for (std::size_t shard = 0; shard < shardCount; ++shard)
                envelope.mutable_digest_request()->add_digests(static_cast<std::uint32_t>(shard));
            receive(envelope);
        }

        [[nodiscard]] int entries() const noexcept { return entries_; }
        [[nodiscard]] int targets() const noexcept { return targets_; }

    private:
        static EntryControlOptions options()
        {
            EntryControlOptions options;
            options.self = ProportionalFleet::member(MemberRole::Entry, 0);
            return options;
        }

        int entries_;
        int targets_;
        TimePoint now_ { std::chrono::hours { 1000 } };
        EntryControl control_;
    };

    void measureAt(int entries, int targets)
    {
        LoneEntry entry(entries, targets);
        std::string const end = "_us_" + std::to_string(targets);
        print("operation_tick" + end, microseconds(200, [&entry](int) { entry.tick(); }));
        print("operation_heartbeat" + end, microseconds(5000, [&entry](int index) { entry.heartbeat(index); }));
        print("operation_target_delta" + end, microseconds(2000, [&entry](int index) { entry.delta(MemberRole::Agent, index % entry.targets(), MemberState::Active, 1U + static_cast<unsigned>(index)); }));
        print("operation_change" + end, microseconds(1000, [&entry](int index) { entry.change(index); }));
        print("operation_digests" + end, microseconds(500, [&entry](int) { entry.digests(); }));
        print("operation_entry_leaves" + end, microseconds(20, [&entry](int index) { entry.delta(MemberRole::Entry, index + 1, MemberState::Left, 1); }));
        print("operation_entry_joins" + end, microseconds(20, [&entry](int index) { entry.delta(MemberRole::Entry, index + 1, MemberState::Active, 2); }));
    }

} // namespace

void measureOperations()
{
    measureAt(plannedEntries / 9, plannedTargets / 9);
    measureAt(plannedEntries / 3, plannedTargets / 3);
    measureAt(plannedEntries, plannedTargets);
}

} // namespace plantaindrift::bench
