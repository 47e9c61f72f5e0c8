#include "plantaindrift/membership/EntryControl.h"

#include "configuration/ProtobufConversion.h"
#include "membership/AntiEntropy.h"
#include "membership/BoundedDeclaration.h"
#include "membership/BudgetGovernor.h"
#include "membership/CatchUp.h"
#include "membership/ConfigurationExchange.h"
#include "membership/ConfigurationSpread.h"
#include "membership/EvacuationSpread.h"
#include "membership/Gossip.h"
#include "membership/MemberComparison.h"
#include "membership/Message.h"
#include "membership/NeighbourSelection.h"
#include "membership/Reconnection.h"
#include "membership/ShardExchange.h"
#include "membership/TokenBucket.h"
#include "membership/ViewHash.h"
#include "plantaindrift/base/Hash.h"
#include "plantaindrift/membership/MemberTable.h"
#include "plantaindrift/membership/MonitorSelection.h"
#include "plantaindrift/membership/WatcherSelection.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace plantaindrift {

namespace {

    // Shares of the node's budget. Gossip may use half; heartbeats and their replies, sent and received, a third.
    constexpr double gossipShare = 0.5;
    constexpr double heartbeatShare = 1.0 / 3;
    constexpr double answerShare = 1.0 / 3;

    // A heartbeat and its reply; docs/CAPACITY.md gives the measured size.
    constexpr double exchangeBytes = 80;

    // Answers to joining entries may use this much of the saved allowance at once.
    constexpr std::chrono::seconds answerBurst { 60 };

    // An answer with more records than this comes from a long separation. Comparisons carry the rest without
    // duplicates, so its records are not spread by gossip as well.
    constexpr int largestSpreadAnswer = 32;

    constexpr std::chrono::seconds expiryPeriod { 1 };

    [[nodiscard]] Service const* findService(Configuration const& configuration, std::string_view name)
    {
        std::vector<Service> const& services = configuration.services;
        auto const found = std::lower_bound(services.begin(), services.end(), name, [](Service const& service, std::string_view wanted) { return service.name < wanted; });
        return found != services.end() && found->name == name ? &*found : nullptr;
    }

    void addUnique(std::vector<Endpoint>& endpoints, Endpoint endpoint)
    {
        if (std::find(endpoints.begin(), endpoints.end(), endpoint) == endpoints.end())
            endpoints.push_back(endpoint);
    }

} // namespace

struct EntryControl::State {
    explicit State(EntryControlOptions const& given);

    // Messages from peers; false if a field is missing or out of range.
    using Handler = bool (State::*)(Endpoint, control::Envelope const&, TimePoint);
    bool onHeartbeat(Endpoint from, control::Envelope const& envelope, TimePoint now);
    bool onHeartbeatReply(Endpoint from, control::Envelope const& envelope, TimePoint now);
    bool onHeartbeatRequest(Endpoint from, control::Envelope const& envelope, TimePoint now);
    bool onGossip(Endpoint from, control::Envelope const& envelope, TimePoint now);
    bool onDigestRequest(Endpoint from, control::Envelope const& envelope, TimePoint now);
    bool onShardRequest(Endpoint from, control::Envelope const& envelope, TimePoint now);
    bool onShardReply(Endpoint from, control::Envelope const& envelope, TimePoint now);
    bool onSnapshotRequest(Endpoint from, control::Envelope const& envelope, TimePoint now);
    bool onSnapshotPart(Endpoint from, control::Envelope const& envelope, TimePoint now);
    bool onForeign(Endpoint from, control::Envelope const& envelope, TimePoint now);
    void addServices(control::ShardRequest const& request, control::ShardReply& reply) const;
    bool takeAnsweredMembers(Endpoint from, control::ShardReply const& reply, TimePoint now);
    bool takeAnsweredChanges(Endpoint from, control::ShardReply const& reply);
    void takeCatchUp(Endpoint from, control::ShardReply const& reply, TimePoint now);
    [[nodiscard]] std::vector<MemberTable::Record const*> wantedRecords(control::ShardReply const& reply) const;
    [[nodiscard]] static Handler handlerOf(control::Envelope const& envelope) noexcept;

    // Records.
    enum class Spread : std::uint8_t { Yes,
        No };
    std::optional<MemberTable::Outcome> acceptMessage(control::Member const& message, Spread spread, TimePoint now);
    MemberTable::Outcome accept(Member const& member, std::chrono::seconds age, Spread spread, TimePoint now);
    void refuteIfNeeded(Member const& record, TimePoint now);
    void raiseIncarnation(std::uint64_t known, TimePoint now);
    void announceSelf(TimePoint now);
    void noteChange(std::optional<Member> const& before, Member const& after);
    void noteView(std::optional<Member> const& before, Member const& after);
    void spreadRecord(std::string_view name, bool compact, TimePoint now);
    bool acceptState(control::StateDelta const& delta, TimePoint now);
    void pushRecords(Endpoint to, std::span<MemberTable::Record const* const> records, TimePoint now);

    // Heartbeats of others.
    bool acceptHeartbeatRecord(control::Heartbeat const& heartbeat, TimePoint now);
    void acceptHeartbeatState(control::Heartbeat const& heartbeat, TimePoint now);
    [[nodiscard]] control::HeartbeatReply makeReply(control::Heartbeat const& heartbeat, TimePoint now);
    void addRefutation(Member const& record, control::Heartbeat const& heartbeat, control::HeartbeatReply& reply) const;
    void addMonitors(control::Heartbeat const& heartbeat, control::HeartbeatReply& reply) const;
    void addView(Member const& record, control::Heartbeat const& heartbeat, TimePoint now, control::HeartbeatReply& reply);
    [[nodiscard]] bool needsList(std::string_view agent, std::uint32_t reported, std::uint32_t own);
    void addService(Member const& record, control::Heartbeat const& heartbeat, control::HeartbeatReply& reply) const;
    [[nodiscard]] std::chrono::milliseconds heartbeatInterval() const;
    [[nodiscard]] std::chrono::milliseconds nextInterval(std::string_view member) const;

    // Periodic steps.
    void start(TimePoint now);
    void noticePause(TimePoint now);
    void detect(TimePoint now);
    void requestHeartbeat(Member const& member);
    void updateWatches(TimePoint now);
    void expire(TimePoint now);
    void sendHeartbeats(TimePoint now);
    void sendHeartbeat(Endpoint to, bool withRecord);
    void sendGossip(TimePoint now);
    void spreadEvacuations(TimePoint now);
    void announceConfiguration();
    void compare(TimePoint now);
    void reconnect();
    void setSeeds(std::span<Endpoint const> seeds);
    void sendDigests(Endpoint to);
    void fetch(TimePoint now);

    // Configuration.
    void spreadChanges(std::span<ConfigurationChange const> applied);
    void takeChange(ConfigurationChange const& change);
    bool takeCopy(std::uint64_t position, control::Service const& message);
    void pushChangesTo(Endpoint to, std::uint64_t after);

    void refreshNeighbours();
    [[nodiscard]] std::vector<Endpoint> contacts();
    [[nodiscard]] std::vector<Endpoint> monitorEndpoints(std::string_view member) const;

    struct Contact {
        TimePoint lastSent;
        std::chrono::milliseconds interval { 0 };
        bool needsRecord { true };
    };

    EntryControlOptions options;
    Member self;
    Counts counts;
    Outbox outbox;
    RandomSource random;
    MemberTable table;
    MonitorSelection monitors;
    NeighbourSelection neighbours;
    Detector detector;
    Gossip gossip;
    TokenBucket answers;
    BudgetGovernor governor;
    AntiEntropy antiEntropy;
    CatchUp catchUp;
    ConfigurationSpread spread;
    ConfigurationExchange exchange;
    EvacuationSpread evacuations;
    std::map<Endpoint, Contact> heartbeats;
    std::map<std::string, std::uint32_t, std::less<>> reportedViews; ///< of agents whose view differed
    std::set<std::string> changedServices;
    std::vector<Detector::Verdict> verdicts; ///< not taken yet
    bool neighboursOutdated { true };
    std::uint64_t storeGeneration { 0 };
    std::optional<TimePoint> lastTick;
    std::optional<TimePoint> lastExpiry;
};

EntryControl::State::State(EntryControlOptions const& given)
    : options(given)
    , self(given.self)
    , outbox(counts)
    , random(mixHash(given.randomSeed, hashText(given.self.name)))
    , monitors(given.self.name)
    , neighbours(given.self)
    , gossip(given.bytesPerSecond * gossipShare)
    , answers(given.bytesPerSecond * answerShare, given.bytesPerSecond * answerShare * std::chrono::duration<double>(answerBurst).count())
    , governor(given.bytesPerSecond)
    , antiEntropy(random.next())
    , exchange(spread, outbox, counts)
    , evacuations(given.handlesEvacuations)
{
    self.role = MemberRole::Entry;
    self.service.clear();
    std::erase(options.seeds, self.control);
}

// ---- messages ----

EntryControl::State::Handler EntryControl::State::handlerOf(control::Envelope const& envelope) noexcept
{
    switch (envelope.body_case()) {
    case control::Envelope::kHeartbeat:
        return &State::onHeartbeat;
    case control::Envelope::kHeartbeatReply:
        return &State::onHeartbeatReply;
    case control::Envelope::kHeartbeatRequest:
        return &State::onHeartbeatRequest;
    case control::Envelope::kGossip:
        return &State::onGossip;
    case control::Envelope::kDigestRequest:
        return &State::onDigestRequest;
    case control::Envelope::kShardRequest:
        return &State::onShardRequest;
    case control::Envelope::kShardReply:
        return &State::onShardReply;
    case control::Envelope::kSnapshotRequest:
        return &State::onSnapshotRequest;
    case control::Envelope::kSnapshotPart:
        return &State::onSnapshotPart;
    default:
        return &State::onForeign;
    }
}

bool EntryControl::State::onForeign(Endpoint /*from*/, control::Envelope const& /*envelope*/, TimePoint /*now*/)
{
    // Load shares go from agent to agent only.
    return false;
}

bool EntryControl::State::onHeartbeat(Endpoint from, control::Envelope const& envelope, TimePoint now)
{
    control::Heartbeat const& heartbeat = envelope.heartbeat();
    bool const inRange = heartbeat.incarnation() <= maximumIncarnation && control::State_IsValid(heartbeat.state());
    if (heartbeat.name().empty() || heartbeat.name() == self.name || !inRange)
        return false;
    if (heartbeat.has_record() && !acceptHeartbeatRecord(heartbeat, now))
        return false;
    acceptHeartbeatState(heartbeat, now);
    if (heartbeat.has_service() && !takeCopy(heartbeat.position(), heartbeat.service()))
        return false;
    control::Envelope answer;
    *answer.mutable_heartbeat_reply() = makeReply(heartbeat, now);
    outbox.send(from, answer);
    return true;
}

bool EntryControl::State::acceptHeartbeatRecord(control::Heartbeat const& heartbeat, TimePoint now)
{
    bool const own = heartbeat.record().name() == heartbeat.name() && heartbeat.record().incarnation() == heartbeat.incarnation();
    return own && acceptMessage(heartbeat.record(), Spread::Yes, now).has_value();
}

void EntryControl::State::acceptHeartbeatState(control::Heartbeat const& heartbeat, TimePoint now)
{
    MemberTable::Record const* const record = table.find(heartbeat.name());
    if (record == nullptr || record->member.incarnation != heartbeat.incarnation())
        return;
    if (heartbeat.state() != control::STATE_DRAINING && heartbeat.state() != control::STATE_LEFT)
        return;
    Member member = record->member;
    member.state = static_cast<MemberState>(heartbeat.state());
    accept(member, std::chrono::seconds { 0 }, Spread::Yes, now);
}

control::HeartbeatReply EntryControl::State::makeReply(control::Heartbeat const& heartbeat, TimePoint now)
{
    control::HeartbeatReply reply;
    std::chrono::milliseconds const interval = nextInterval(heartbeat.name());
    detector.heard(heartbeat.name(), now, interval);
    reply.set_interval_ms(static_cast<std::uint32_t>(interval.count()));
    reply.set_position(spread.log().position());
    reply.set_store_generation(storeGeneration);
    evacuations.answer(heartbeat, reply, now);
    addMonitors(heartbeat, reply);
    MemberTable::Record const* const record = table.find(heartbeat.name());
    if (record == nullptr || record->member.incarnation < heartbeat.incarnation()) {
        reply.set_need_record(true);
        return reply;
    }
    addRefutation(record->member, heartbeat, reply);
    if (record->member.role == MemberRole::Agent) {
        addView(record->member, heartbeat, now, reply);
        addService(record->member, heartbeat, reply);
        reply.set_need_service(heartbeat.service_hash() != 0 && spread.wantsCopy(heartbeat.position(), record->member.service));
        if (heartbeat.position() > spread.log().position())
            antiEntropy.hurry(now);
    }
    return reply;
}

void EntryControl::State::addRefutation(Member const& record, control::Heartbeat const& heartbeat, control::HeartbeatReply& reply) const
{
    bool const left = record.state == MemberState::Left && heartbeat.state() != control::STATE_LEFT;
    bool const doubted = record.state == MemberState::Suspect || record.state == MemberState::Dead || left;
    if (record.incarnation > heartbeat.incarnation() || doubted)
        reply.set_refute_incarnation(std::max<std::uint64_t>(record.incarnation, 1));
}

void EntryControl::State::addMonitors(control::Heartbeat const& heartbeat, control::HeartbeatReply& reply) const
{
    std::vector<Endpoint> const endpoints = monitorEndpoints(heartbeat.name());
    if (heartbeat.monitors_hash() == monitorsHash(endpoints))
        return;
    for (Endpoint const endpoint : endpoints)
        toProtobuf(endpoint, *reply.add_monitors());
}

void EntryControl::State::addView(Member const& record, control::Heartbeat const& heartbeat, TimePoint now, control::HeartbeatReply& reply)
{
    ServiceView const view = table.view(record.service);
    reply.set_fingerprint(view.fingerprint);
    answers.refill(now);
    if (!needsList(record.name, heartbeat.fingerprint(), viewHash(view)) || !answers.canTake(0))
        return;
    for (MemberTable::Record const* const peer : table.ofService(record.service))
        toProtobuf(peer->member, MemberTable::tombstoneAge(*peer, now), *reply.add_members());
    // Without the list the agent learns all else.
    if (reply.ByteSizeLong() + answerBytes > options.maximumMessageBytes)
        reply.clear_members();
    answers.take(static_cast<double>(reply.ByteSizeLong()));
}

bool EntryControl::State::needsList(std::string_view agent, std::uint32_t reported, std::uint32_t own)
{
    auto const last = reportedViews.find(agent);
    // No list is wanted now.
    if (reported == 0)
        return false;
    bool const repeated = last != reportedViews.end() && last->second == reported;
    if (reported == own) {
        if (last != reportedViews.end())
            reportedViews.erase(last);
        return false;
    }
    std::vector<std::string> const names = monitors.monitorsOf(agent);
    if (std::find(names.begin(), names.end(), self.name) == names.end())
        return false;
    reportedViews.insert_or_assign(std::string(agent), reported);
    // The first monitor sends the list; another one only if the agent still lacks it at its next heartbeat.
    return repeated || names.front() == self.name;
}

void EntryControl::State::addService(Member const& record, control::Heartbeat const& heartbeat, control::HeartbeatReply& reply) const
{
    Service const* const service = findService(spread.inForce().configuration(), record.service);
    if (service == nullptr || heartbeat.position() > spread.log().position())
        return;
    std::uint32_t const hash = serviceHash(*service);
    if (heartbeat.service_hash() != hash)
        addDeclaration(*service, hash, options.maximumMessageBytes, reply);
}

std::chrono::milliseconds EntryControl::State::heartbeatInterval() const
{
    double const share = options.bytesPerSecond * heartbeatShare;
    double const seconds = static_cast<double>(detector.watched()) * exchangeBytes / share;
    std::chrono::milliseconds const needed { static_cast<std::int64_t>(std::ceil(seconds)) * 1000 };
    return std::max(options.heartbeat, needed);
}

std::chrono::milliseconds EntryControl::State::nextInterval(std::string_view member) const
{
    // The member may miss the reply that shortens its interval, so one reply shortens it by half at most.
    std::chrono::milliseconds const told = detector.interval(member).value_or(options.heartbeat);
    return std::max(heartbeatInterval(), told / 2);
}

bool EntryControl::State::onHeartbeatReply(Endpoint from, control::Envelope const& envelope, TimePoint now)
{
    control::HeartbeatReply const& reply = envelope.heartbeat_reply();
    if (reply.refute_incarnation() > maximumIncarnation || !evacuations.takeReply(reply, from, outbox, now))
        return false;
    exchange.notePosition(reply.position(), from);
    if (reply.refute_incarnation() >= std::max<std::uint64_t>(self.incarnation, 1))
        raiseIncarnation(reply.refute_incarnation(), now);
    auto const contact = heartbeats.find(from);
    if (contact == heartbeats.end())
        return true;
    constexpr std::chrono::milliseconds longest { 60'000 };
    std::chrono::milliseconds const told { reply.interval_ms() };
    contact->second.interval = std::clamp(told, options.heartbeat, std::max(longest, options.heartbeat));
    contact->second.needsRecord = reply.need_record();
    if (reply.need_record())
        sendHeartbeat(from, true);
    return true;
}

bool EntryControl::State::onHeartbeatRequest(Endpoint from, control::Envelope const& envelope, TimePoint /*now*/)
{
    if (envelope.heartbeat_request().name().empty())
        return false;
    sendHeartbeat(from, true);
    return true;
}

bool EntryControl::State::onGossip(Endpoint from, control::Envelope const& envelope, TimePoint now)
{
    bool valid = !envelope.gossip().has_evacuations() || evacuations.take(envelope.gossip().evacuations(), now);
    for (control::Member const& message : envelope.gossip().members()) {
        std::optional<MemberTable::Outcome> const outcome = acceptMessage(message, Spread::Yes, now);
        valid = valid && outcome.has_value();
        if (outcome == MemberTable::Outcome::Same)
            gossip.noteDuplicate(message.name());
    }
    for (control::StateDelta const& delta : envelope.gossip().states())
        valid = acceptState(delta, now) && valid;
    for (control::ConfigurationChange const& message : envelope.gossip().changes()) {
        std::optional<ConfigurationChange> const change = fromProtobuf(message);
        valid = valid && change.has_value();
        if (!change)
            continue;
        if (spread.knows(change->position))
            gossip.noteDuplicate(change->position);
        takeChange(*change);
        exchange.notePosition(change->position, from);
    }
    if (envelope.gossip().position() > 0)
        exchange.notePosition(envelope.gossip().position(), from);
    for (control::ServiceCopy const& copy : envelope.gossip().copies())
        valid = takeCopy(copy.position(), copy.service()) && valid;
    return valid;
}

bool EntryControl::State::onDigestRequest(Endpoint from, control::Envelope const& envelope, TimePoint now)
{
    control::DigestRequest const& request = envelope.digest_request();
    if (static_cast<std::size_t>(request.digests_size()) != shardCount)
        return false;
    std::vector<std::uint32_t> shards = differingShards(table, request);
    // While it catches up, this entry fetches all shards from many peers already.
    if (!shards.empty() && governor.allows() && !catchUp.isActive()) {
        control::Envelope answer;
        *answer.mutable_shard_request() = antiEntropy.makeRequest(table, shards);
        if (static_cast<std::size_t>(answer.shard_request().shards_size()) < shards.size())
            antiEntropy.hurry(now);
        outbox.send(from, answer);
    }
    exchange.notePosition(request.position(), from);
    if (request.position() < spread.log().position())
        pushChangesTo(from, request.position());
    return true;
}

bool EntryControl::State::onShardRequest(Endpoint from, control::Envelope const& envelope, TimePoint now)
{
    control::ShardRequest const& request = envelope.shard_request();
    if (!isValid(request))
        return false;
    answers.refill(now);
    // Without an answer the peer asks somebody else; changes are answered at any time because they are due in 4 s.
    if (!request.changes() && !answers.canTake(0)) {
        ++counts.answersWithheld;
        exchange.recordStep(ConfigurationStep::AnswerWithheld, from, 0);
        return true;
    }
    control::Envelope answer;
    control::ShardReply& reply = *answer.mutable_shard_reply();
    // Before its first tick this node has fetched nothing yet.
    reply.set_partial(!lastTick || catchUp.isActive());
    reply.set_position(spread.log().position());
    if (request.everything() || request.versions_size() > 0 || !request.services())
        answerMembers(table, request, now, reply);
    else
        reply.mutable_shards()->CopyFrom(request.shards());
    if (request.services())
        addServices(request, reply);
    if (request.changes())
        answerChanges(spread.log(), request, options.maximumMessageBytes, reply);
    answers.take(static_cast<double>(reply.ByteSizeLong()));
    outbox.send(from, answer);
    return true;
}

// The receiver ignores services of a node that catches up itself, but for the copies that agents kept.
void EntryControl::State::addServices(control::ShardRequest const& request, control::ShardReply& reply) const
{
    reply.set_with_services(true);
    bool const hasLog = spread.log().position() > 0;
    if (!hasLog)
        reply.set_copies_position(spread.copiesPosition());
    if (!hasLog || !reply.partial())
        answerServices(hasLog ? spread.log() : spread.inForce(), request, options.maximumMessageBytes, reply);
}

bool EntryControl::State::onShardReply(Endpoint from, control::Envelope const& envelope, TimePoint now)
{
    control::ShardReply const& reply = envelope.shard_reply();
    bool const shardsExist = std::all_of(reply.shards().begin(), reply.shards().end(), [](std::uint32_t shard) { return shard < shardCount; });
    if (!shardsExist)
        return false;
    bool const members = takeAnsweredMembers(from, reply, now);
    bool const changes = takeAnsweredChanges(from, reply);
    takeCatchUp(from, reply, now);
    return members && changes;
}

bool EntryControl::State::onSnapshotRequest(Endpoint from, control::Envelope const& envelope, TimePoint /*now*/)
{
    exchange.answer(from, envelope.snapshot_request());
    return true;
}

bool EntryControl::State::onSnapshotPart(Endpoint from, control::Envelope const& envelope, TimePoint now)
{
    return exchange.takePart(from, envelope.snapshot_part(), now);
}

bool EntryControl::State::takeAnsweredMembers(Endpoint from, control::ShardReply const& reply, TimePoint now)
{
    bool const few = reply.members_size() <= largestSpreadAnswer;
    bool const compared = !reply.with_services();
    bool valid = true;
    std::vector<MemberTable::Record const*> newer = wantedRecords(reply);
    for (control::Member const& message : reply.members()) {
        std::optional<MemberTable::Outcome> const outcome = acceptMessage(message, few && compared ? Spread::Yes : Spread::No, now);
        valid = valid && outcome.has_value();
        MemberTable::Record const* const record = outcome == MemberTable::Outcome::Older ? table.find(message.name()) : nullptr;
        if (record != nullptr)
            newer.push_back(record);
    }
    if (compared)
        pushRecords(from, newer, now);
    if (compared && !few)
        antiEntropy.hurry(now);
    return valid;
}

std::vector<MemberTable::Record const*> EntryControl::State::wantedRecords(control::ShardReply const& reply) const
{
    std::set<std::uint32_t> const wanted(reply.wanted().begin(), reply.wanted().end());
    std::vector<MemberTable::Record const*> records;
    for (std::uint32_t const shard : reply.shards()) {
        for (auto const& [name, record] : table.shard(shard)) {
            if (wanted.contains(nameKey(name)))
                records.push_back(&record);
        }
    }
    return records;
}

bool EntryControl::State::takeAnsweredChanges(Endpoint from, control::ShardReply const& reply)
{
    bool valid = true;
    for (control::ConfigurationChange const& message : reply.changes()) {
        std::optional<ConfigurationChange> const change = fromProtobuf(message);
        valid = valid && change.has_value();
        if (change)
            takeChange(*change);
    }
    exchange.notePosition(reply.position(), from);
    return valid;
}

void EntryControl::State::takeCatchUp(Endpoint from, control::ShardReply const& reply, TimePoint now)
{
    if (reply.copies_position() > 0) {
        for (control::Service const& copy : reply.services())
            takeCopy(reply.copies_position(), copy);
    }
    catchUp.take(from, reply, now);
    std::optional<Snapshot> const assembled = catchUp.takeConfiguration();
    if (assembled)
        exchange.takeSnapshot(assembled->position, assembled->configuration);
    bool const lacksChanges = reply.shards().empty() && reply.changes().empty() && reply.position() > spread.log().position();
    if (lacksChanges && !catchUp.awaitsConfiguration(now))
        exchange.requestSnapshot(from, reply.position(), now);
}

// ---- records ----

std::optional<MemberTable::Outcome> EntryControl::State::acceptMessage(control::Member const& message, Spread spreadRecord, TimePoint now)
{
    std::optional<Member> const member = fromProtobuf(message);
    if (!member)
        return std::nullopt;
    return accept(*member, std::chrono::seconds { message.tombstone_age_s() }, spreadRecord, now);
}

MemberTable::Outcome EntryControl::State::accept(Member const& member, std::chrono::seconds age, Spread spreadRecordToo, TimePoint now)
{
    if (member.name == self.name) {
        refuteIfNeeded(member, now);
        return MemberTable::Outcome::Same;
    }
    MemberTable::Merge const merge = table.merge(member, now, age);
    if (merge.outcome != MemberTable::Outcome::Changed)
        return merge.outcome;
    MemberTable::Record const& record = *table.find(member.name);
    noteChange(merge.before, record.member);
    if (spreadRecordToo == Spread::Yes)
        spreadRecord(member.name, isSameMember(merge.before, record.member), now);
    return merge.outcome;
}

void EntryControl::State::refuteIfNeeded(Member const& record, TimePoint now)
{
    Member normal = record;
    normal.draining = normal.draining || normal.state == MemberState::Draining;
    bool const newer = record.incarnation > self.incarnation;
    bool const disputed = record.incarnation == self.incarnation && normal != self && record.state >= self.state;
    if (newer || disputed)
        raiseIncarnation(record.incarnation, now);
}

void EntryControl::State::raiseIncarnation(std::uint64_t known, TimePoint now)
{
    // An entry that leaves lets its record rest.
    if (self.state == MemberState::Left || known >= maximumIncarnation)
        return;
    self.incarnation = known + 1;
    announceSelf(now);
}

void EntryControl::State::announceSelf(TimePoint now)
{
    MemberTable::Merge const merge = table.merge(self, now);
    if (merge.outcome == MemberTable::Outcome::Changed)
        noteChange(merge.before, self);
    spreadRecord(self.name, isSameMember(merge.before, self), now);
    for (Endpoint const monitor : monitorEndpoints(self.name))
        sendHeartbeat(monitor, true);
}

void EntryControl::State::noteChange(std::optional<Member> const& before, Member const& after)
{
    if (after.role == MemberRole::Entry) {
        neighboursOutdated = true;
        if (canMonitor(after))
            monitors.addEntry(after.name);
        else
            monitors.removeEntry(after.name);
    }
    if (isLive(after))
        monitors.addMember(after.name);
    else
        monitors.removeMember(after.name);
    noteView(before, after);
}

void EntryControl::State::noteView(std::optional<Member> const& before, Member const& after)
{
    if (before && viewsAlike(*before, after))
        return;
    for (Member const* const member : { before ? &*before : &after, &after }) {
        if (member->role == MemberRole::Agent)
            changedServices.insert(member->service);
    }
}

void EntryControl::State::spreadRecord(std::string_view name, bool compact, TimePoint now)
{
    MemberTable::Record const& record = *table.find(name);
    control::Member whole;
    toProtobuf(record.member, MemberTable::tombstoneAge(record, now), whole);
    // A delta carries no age, so an older tombstone goes as a whole record.
    if (!compact || whole.tombstone_age_s() > 0) {
        gossip.push(whole, table.entries().size());
        return;
    }
    control::StateDelta delta;
    delta.set_key(nameKey(name));
    delta.set_base(record.base);
    delta.set_state(whole.state());
    delta.set_draining(whole.draining());
    delta.set_incarnation(whole.incarnation());
    gossip.push(name, delta, whole, table.entries().size());
}

bool EntryControl::State::acceptState(control::StateDelta const& delta, TimePoint now)
{
    if (!control::State_IsValid(delta.state()) || delta.incarnation() > maximumIncarnation)
        return false;
    MemberTable::Record const* const record = table.findBase(delta.key(), delta.base());
    if (record == nullptr)
        return true;
    Member member = record->member;
    member.state = static_cast<MemberState>(delta.state());
    member.draining = delta.draining();
    member.incarnation = delta.incarnation();
    if (accept(member, std::chrono::seconds { 0 }, Spread::Yes, now) == MemberTable::Outcome::Same)
        gossip.noteDuplicate(member.name);
    return true;
}

void EntryControl::State::pushRecords(Endpoint to, std::span<MemberTable::Record const* const> records, TimePoint now)
{
    if (records.empty())
        return;
    control::Envelope envelope;
    std::size_t bytes = 0;
    for (MemberTable::Record const* const record : records) {
        if (bytes >= answerBytes)
            break;
        control::Member& message = *envelope.mutable_gossip()->add_members();
        toProtobuf(record->member, MemberTable::tombstoneAge(*record, now), message);
        bytes += message.ByteSizeLong();
    }
    answers.take(static_cast<double>(bytes));
    outbox.send(to, envelope);
}

// ---- periodic steps ----

void EntryControl::State::start(TimePoint now)
{
    announceSelf(now);
    for (Endpoint const seed : options.seeds)
        sendHeartbeat(seed, true);
    catchUp.start(now);
}

void EntryControl::State::noticePause(TimePoint now)
{
    // After a pause of its own the node may have missed any number of deltas.
    if (lastTick && now - *lastTick > Detector::longestTick)
        antiEntropy.hurry(now);
    lastTick = now;
}

void EntryControl::State::detect(TimePoint now)
{
    for (Detector::Verdict const& verdict : detector.tick(now, table)) {
        Member member = table.find(verdict.name)->member;
        member.state = verdict.state;
        accept(member, std::chrono::seconds { 0 }, Spread::Yes, now);
        ++(verdict.state == MemberState::Dead ? counts.deaths : counts.suspicions);
        verdicts.push_back(verdict);
    }
    // A member that does not know this monitor, for example because all entries it knew are gone, would seem silent.
    for (std::string const& name : detector.takeDueRequests(now)) {
        MemberTable::Record const* const record = table.find(name);
        if (record != nullptr)
            requestHeartbeat(record->member);
    }
}

void EntryControl::State::requestHeartbeat(Member const& member)
{
    ++counts.heartbeatRequests;
    control::Envelope envelope;
    envelope.mutable_heartbeat_request()->set_name(member.name);
    outbox.send(member.control, envelope);
}

void EntryControl::State::updateWatches(TimePoint now)
{
    MonitorSelection::Changes const changes = monitors.takeChanges();
    for (std::string const& name : changes.lost) {
        detector.unwatch(name);
        reportedViews.erase(name);
    }
    for (std::string const& name : changes.gained)
        detector.watch(name, now, std::max(options.heartbeat, heartbeatInterval()));
}

void EntryControl::State::expire(TimePoint now)
{
    if (lastExpiry && now - *lastExpiry < expiryPeriod)
        return;
    lastExpiry = now;
    for (Member const& member : table.expire(now)) {
        neighboursOutdated = neighboursOutdated || member.role == MemberRole::Entry;
        if (member.role == MemberRole::Agent)
            changedServices.insert(member.service);
    }
}

void EntryControl::State::sendHeartbeats(TimePoint now)
{
    std::vector<Endpoint> targets = monitorEndpoints(self.name);
    if (targets.empty())
        targets = options.seeds;
    std::erase_if(heartbeats, [&targets](std::pair<Endpoint const, Contact> const& contact) { return std::find(targets.begin(), targets.end(), contact.first) == targets.end(); });
    for (Endpoint const target : targets) {
        auto const [contact, added] = heartbeats.try_emplace(target, Contact { now, options.heartbeat, true });
        if (!added && now - contact->second.lastSent < contact->second.interval)
            continue;
        contact->second.lastSent = now;
        sendHeartbeat(target, contact->second.needsRecord);
    }
}

void EntryControl::State::sendHeartbeat(Endpoint to, bool withRecord)
{
    control::Envelope envelope;
    control::Heartbeat& heartbeat = *envelope.mutable_heartbeat();
    heartbeat.set_name(self.name);
    heartbeat.set_incarnation(self.incarnation);
    heartbeat.set_position(spread.log().position());
    heartbeat.set_state(static_cast<control::State>(self.state));
    heartbeat.set_monitors_hash(monitorsHash(monitorEndpoints(self.name)));
    heartbeat.set_evacuations_hash(evacuations.fingerprint());
    if (withRecord)
        toProtobuf(self, std::chrono::seconds { 0 }, *heartbeat.mutable_record());
    outbox.send(to, envelope);
}

void EntryControl::State::sendGossip(TimePoint now)
{
    if (!gossip.isDue(now))
        return;
    refreshNeighbours();
    std::vector<Endpoint> const chosen = neighbours.choose(random);
    std::vector<ControlMessage> batches;
    gossip.round(now, governor.allows() ? Urgency::Suspicion : Urgency::Arrival, chosen, batches);
    outbox.send(std::move(batches));
    counts.deferred = gossip.deferred();
}

void EntryControl::State::spreadEvacuations(TimePoint now)
{
    if (!evacuations.takePendingSpread())
        return;
    refreshNeighbours();
    evacuations.send(neighbours.choose(random), outbox, now);
}

void EntryControl::State::announceConfiguration()
{
    if (!exchange.isAnnouncementDue())
        return;
    refreshNeighbours();
    exchange.announce(neighbours.choose(random));
}

void EntryControl::State::compare(TimePoint now)
{
    refreshNeighbours();
    if (governor.allows() && antiEntropy.takeDue(now))
        sendDigests(neighbours.randomPeer(random));
    if (antiEntropy.takeReconnectDue(now))
        reconnect();
}

void EntryControl::State::reconnect()
{
    ReconnectTargets const targets = chooseReconnectTargets(table, neighbours.peers(), options.seeds, random);
    for (Endpoint const entry : targets.entries)
        sendDigests(entry);
    if (targets.agent != nullptr)
        requestHeartbeat(*targets.agent);
}

void EntryControl::State::setSeeds(std::span<Endpoint const> seeds)
{
    std::vector<Endpoint> const known = std::exchange(options.seeds, { seeds.begin(), seeds.end() });
    std::erase(options.seeds, self.control);
    for (Endpoint const seed : options.seeds) {
        if (std::find(known.begin(), known.end(), seed) == known.end())
            sendHeartbeat(seed, true);
    }
}

void EntryControl::State::sendDigests(Endpoint to)
{
    control::Envelope envelope;
    control::DigestRequest& request = *envelope.mutable_digest_request();
    writeDigests(table, request);
    request.set_position(spread.log().position());
    outbox.send(to, envelope);
}

void EntryControl::State::fetch(TimePoint now)
{
    if (!catchUp.isActive())
        return;
    std::vector<Endpoint> const peers = contacts();
    for (auto const& [peer, request] : catchUp.tick(now, peers, random)) {
        control::Envelope envelope;
        *envelope.mutable_shard_request() = request;
        outbox.send(peer, envelope);
    }
}

// ---- configuration ----

void EntryControl::State::takeChange(ConfigurationChange const& change)
{
    spreadChanges(spread.take(change));
}

bool EntryControl::State::takeCopy(std::uint64_t position, control::Service const& message)
{
    std::optional<Service> const service = fromProtobuf(message);
    if (!service)
        return false;
    if (!spread.takeCopy(position, *service)) {
        gossip.noteDuplicateCopy(service->name);
        return true;
    }
    control::ServiceCopy copy;
    copy.set_position(position);
    *copy.mutable_service() = message;
    gossip.push(copy, table.entries().size());
    return true;
}

void EntryControl::State::spreadChanges(std::span<ConfigurationChange const> applied)
{
    if (applied.empty())
        return;
    // Peers learn of older changes from positions and fetch them in one message.
    constexpr std::size_t newest = 4;
    std::size_t const first = applied.size() > newest ? applied.size() - newest : 0;
    for (ConfigurationChange const& change : applied.subspan(first)) {
        control::ConfigurationChange message;
        toProtobuf(change, message);
        if (message.ByteSizeLong() + Gossip::batchBytes <= options.maximumMessageBytes)
            gossip.push(message, table.entries().size());
    }
}

void EntryControl::State::pushChangesTo(Endpoint to, std::uint64_t after)
{
    control::ShardRequest request;
    request.set_after_position(after);
    control::Envelope envelope;
    control::ShardReply& reply = *envelope.mutable_shard_reply();
    answerChanges(spread.log(), request, options.maximumMessageBytes, reply);
    reply.set_position(spread.log().position());
    answers.take(static_cast<double>(reply.ByteSizeLong()));
    outbox.send(to, envelope);
}

// ---- peers ----

void EntryControl::State::refreshNeighbours()
{
    if (neighboursOutdated)
        neighbours.update(table);
    neighboursOutdated = false;
}

std::vector<Endpoint> EntryControl::State::contacts()
{
    refreshNeighbours();
    std::vector<Endpoint> endpoints = neighbours.peers();
    for (Endpoint const seed : options.seeds)
        addUnique(endpoints, seed);
    return endpoints;
}

std::vector<Endpoint> EntryControl::State::monitorEndpoints(std::string_view member) const
{
    std::vector<Endpoint> endpoints;
    for (std::string const& name : monitors.monitorsOf(member)) {
        MemberTable::Record const* const record = table.find(name);
        if (record != nullptr)
            endpoints.push_back(record->member.control);
    }
    return endpoints;
}

// ---- interface ----

EntryControl::EntryControl(EntryControlOptions const& options)
    : state_(std::make_unique<State>(options))
{
}

EntryControl::~EntryControl() = default;

void EntryControl::receive(Endpoint from, std::span<std::byte const> bytes, TimePoint now)
{
    state_->counts.receivedBytes += bytes.size();
    std::optional<control::Envelope> const envelope = decodeEnvelope(bytes);
    if (!envelope) {
        ++state_->counts.malformed;
        return;
    }
    State::Handler const handler = State::handlerOf(*envelope);
    if (!((*state_).*handler)(from, *envelope, now))
        ++state_->counts.malformed;
    state_->spreadEvacuations(now);
}

void EntryControl::tick(TimePoint now)
{
    if (!state_->lastTick)
        state_->start(now);
    state_->noticePause(now);
    state_->governor.update(state_->counts.sentBytes, state_->counts.receivedBytes, !state_->catchUp.isActive(), now);
    state_->spread.refreshCopies();
    state_->updateWatches(now);
    state_->detect(now);
    state_->expire(now);
    state_->sendHeartbeats(now);
    state_->fetch(now);
    if (!state_->catchUp.awaitsConfiguration(now))
        state_->exchange.requestChanges(now, state_->random);
    state_->compare(now);
    state_->sendGossip(now);
    state_->announceConfiguration();
    state_->evacuations.tick(now);
    state_->spreadEvacuations(now);
}

std::vector<ControlMessage> EntryControl::takeMessages()
{
    return state_->outbox.take();
}

std::vector<ServiceView> EntryControl::takeChangedViews()
{
    std::vector<ServiceView> views;
    for (std::string const& service : std::exchange(state_->changedServices, {}))
        views.push_back(state_->table.view(service));
    return views;
}

std::vector<Detector::Verdict> EntryControl::takeVerdicts()
{
    return std::exchange(state_->verdicts, {});
}

std::vector<ConfigurationEvent> EntryControl::takeConfigurationEvents()
{
    return state_->exchange.takeEvents();
}

void EntryControl::addChanges(std::span<ConfigurationChange const> changes, TimePoint /*now*/)
{
    std::vector<ConfigurationChange> applied;
    for (ConfigurationChange const& change : changes) {
        for (ConfigurationChange& one : state_->spread.take(change))
            applied.push_back(std::move(one));
    }
    state_->spreadChanges(applied);
}

void EntryControl::addSnapshot(std::uint64_t position, Configuration const& configuration, TimePoint /*now*/)
{
    state_->exchange.takeSnapshot(position, configuration);
}

ChangeLog const& EntryControl::changeLog() const noexcept
{
    return state_->spread.inForce();
}

std::uint64_t EntryControl::completePosition() const noexcept
{
    return state_->spread.log().position();
}

std::uint64_t EntryControl::configurationVersion() const noexcept
{
    return state_->spread.version();
}

bool EntryControl::isWatcher() const
{
    std::vector<std::string> const watchers = watchersOf(state_->self.dataCentre, state_->table);
    return std::find(watchers.begin(), watchers.end(), state_->self.name) != watchers.end();
}

bool EntryControl::isCaughtUp(TimePoint /*now*/) const noexcept
{
    return state_->lastTick && (state_->catchUp.isComplete() || !state_->catchUp.isActive());
}

bool EntryControl::expectsFullState(TimePoint now) const
{
    return !state_->lastTick || state_->catchUp.expectsFullState(now, state_->contacts());
}

void EntryControl::addMembers(std::span<Member const> members, TimePoint now)
{
    for (Member const& member : members)
        state_->accept(member, std::chrono::seconds { 0 }, State::Spread::No, now);
}

void EntryControl::setSeeds(std::span<Endpoint const> seeds)
{
    state_->setSeeds(seeds);
}

void EntryControl::setStoreGeneration(std::uint64_t generation) noexcept
{
    state_->storeGeneration = std::max(state_->storeGeneration, generation);
}

void EntryControl::addEvacuations(StoredEvacuations const& stored, TimePoint now)
{
    state_->evacuations.takeStored(stored, now);
    state_->spreadEvacuations(now);
}

std::optional<EvacuationChange> EntryControl::takeChangedEvacuations()
{
    return state_->evacuations.takeChange();
}

void EntryControl::leave(TimePoint now)
{
    state_->self.state = MemberState::Left;
    state_->announceSelf(now);
    state_->sendGossip(now);
}

std::vector<Member> EntryControl::members() const
{
    std::vector<Member> members;
    for (std::size_t shard = 0; shard < shardCount; ++shard) {
        for (auto const& [name, record] : state_->table.shard(shard))
            members.push_back(record.member);
    }
    std::sort(members.begin(), members.end(), [](Member const& left, Member const& right) { return left.name < right.name; });
    return members;
}

EntryCensus EntryControl::entryCensus(TimePoint now, std::chrono::seconds minimumAge) const
{
    return takeEntryCensus(state_->table, now, minimumAge);
}

EntryControl::Counts EntryControl::counts() const noexcept
{
    return state_->counts;
}

} // namespace plantaindrift
