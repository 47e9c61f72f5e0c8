#include "plantaindrift/membership/AgentControl.h"

#include "configuration/ProtobufConversion.h"
#include "membership/BoundedDeclaration.h"
#include "membership/EvacuationSpread.h"
#include "membership/Message.h"
#include "membership/MonitorContacts.h"
#include "membership/RandomSource.h"
#include "membership/ViewHash.h"
#include "plantaindrift/base/Hash.h"
#include "plantaindrift/membership/MemberTable.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace plantaindrift {

namespace {

    constexpr std::chrono::seconds loadPeriod { 1 };
    constexpr std::size_t loadPeers = 3;

    // A record that no member list names for this long, while lists arrive, was forgotten by the entries.
    constexpr std::chrono::seconds unnamedLifetime { 30 };

    constexpr std::chrono::milliseconds longestInterval { 60'000 };

} // namespace

struct AgentControl::State {
    explicit State(AgentControlOptions const& given);

    bool onHeartbeatReply(Endpoint from, control::HeartbeatReply const& reply, TimePoint now);
    bool onHeartbeatRequest(Endpoint from, control::HeartbeatRequest const& request, TimePoint now);
    bool onLoadShare(control::LoadShare const& share);
    bool takeMembers(control::HeartbeatReply const& reply, TimePoint now);
    void acceptRecord(Member const& member, std::chrono::seconds age, TimePoint now);
    void forgetUnnamed(TimePoint now);
    bool takeService(control::HeartbeatReply const& reply);
    void raiseIncarnation(std::uint64_t known, TimePoint now);
    void storeSelf(TimePoint now);
    void sendHeartbeats(std::vector<MonitorContacts::Due> const& due, TimePoint now);
    [[nodiscard]] bool wantsList(TimePoint now) const;
    void shareLoad(TimePoint now, double busyFraction);
    void updateView();

    AgentControlOptions options;
    Member self;
    EntryControl::Counts counts;
    Outbox outbox;
    RandomSource random;
    MonitorContacts contacts;
    MemberTable table;
    EvacuationSpread evacuations;
    std::map<std::string, TimePoint, std::less<>> lastNamed;
    ServiceView view;
    std::uint32_t viewHashValue { 0 };
    std::optional<ServiceView> changedView;
    std::optional<Service> service;
    DeclarationVersion serviceVersion;
    bool serviceChanged { false };
    bool sendsService { false }; ///< a monitor lacks the declaration
    std::uint64_t position { 0 };
    std::uint64_t storeGeneration { 0 };
    std::map<std::string, double> peerLoads;
    std::optional<TimePoint> lastReply;
    std::optional<TimePoint> lastList;
    std::optional<TimePoint> lastLoadShare;
};

AgentControl::State::State(AgentControlOptions const& given)
    : options(given)
    , self(given.self)
    , outbox(counts)
    , random(mixHash(given.randomSeed, hashText(given.self.name)))
    , contacts(given.entries, given.heartbeat, random.next())
    , evacuations(given.handlesEvacuations)
{
    self.role = MemberRole::Agent;
    if (self.state == MemberState::Draining)
        self.draining = true;
}

// ---- messages ----

bool AgentControl::State::onHeartbeatReply(Endpoint from, control::HeartbeatReply const& reply, TimePoint now)
{
    std::vector<Endpoint> monitors;
    for (control::Endpoint const& message : reply.monitors()) {
        std::optional<Endpoint> const endpoint = fromProtobuf(message);
        if (!endpoint)
            return false;
        monitors.push_back(*endpoint);
    }
    if (reply.refute_incarnation() > maximumIncarnation || static_cast<std::size_t>(reply.monitors_size()) > MonitorContacts::maximumNamed)
        return false;
    lastReply = now;
    storeGeneration = std::max<std::uint64_t>(storeGeneration, reply.store_generation());
    std::chrono::milliseconds const told { reply.interval_ms() };
    contacts.noteReply(from, std::clamp(told, options.heartbeat, std::max(options.heartbeat, longestInterval)), monitors, reply.need_record(), now);
    sendsService = reply.need_service();
    bool const members = takeMembers(reply, now);
    bool const declaration = takeService(reply);
    bool const known = evacuations.takeReply(reply, from, outbox, now);
    if (reply.refute_incarnation() >= std::max<std::uint64_t>(self.incarnation, 1))
        raiseIncarnation(reply.refute_incarnation(), now);
    else if (reply.need_record())
        sendHeartbeats({ { from, true, 0 } }, now);
    return members && declaration && known;
}

// The name is that of another member if the address was used before; the sender learns of this one by the heartbeat.
bool AgentControl::State::onHeartbeatRequest(Endpoint from, control::HeartbeatRequest const& request, TimePoint now)
{
    if (request.name().empty())
        return false;
    sendHeartbeats({ contacts.addRequester(from, now) }, now);
    return true;
}

bool AgentControl::State::takeMembers(control::HeartbeatReply const& reply, TimePoint now)
{
    bool valid = true;
    for (control::Member const& message : reply.members()) {
        std::optional<Member> const member = fromProtobuf(message);
        valid = valid && member.has_value();
        if (member)
            acceptRecord(*member, std::chrono::seconds { message.tombstone_age_s() }, now);
    }
    if (reply.members_size() > 0) {
        lastList = now;
        forgetUnnamed(now);
        updateView();
    }
    return valid;
}

void AgentControl::State::acceptRecord(Member const& member, std::chrono::seconds age, TimePoint now)
{
    bool const sameService = member.role == MemberRole::Agent && member.service == self.service;
    if (member.name != self.name && sameService) {
        lastNamed[member.name] = now;
        table.merge(member, now, age);
        return;
    }
    bool const doubted = member.state > self.state || (sameService && member.data != self.data);
    if (member.name == self.name && (member.incarnation > self.incarnation || (member.incarnation == self.incarnation && doubted)))
        raiseIncarnation(member.incarnation, now);
}

void AgentControl::State::forgetUnnamed(TimePoint now)
{
    for (auto named = lastNamed.begin(); named != lastNamed.end();) {
        if (now - named->second <= unnamedLifetime) {
            ++named;
            continue;
        }
        table.erase(named->first);
        named = lastNamed.erase(named);
    }
}

bool AgentControl::State::takeService(control::HeartbeatReply const& reply)
{
    if (reply.position() < position)
        return true;
    if (!reply.has_service()) {
        position = reply.position();
        return true;
    }
    std::optional<Service> const declared = fromProtobuf(reply.service());
    if (!declared || declared->name != self.service)
        return false;
    position = reply.position();
    serviceChanged = serviceChanged || service != declared;
    service = declared;
    serviceVersion = declarationVersion(reply, *declared);
    return true;
}

bool AgentControl::State::onLoadShare(control::LoadShare const& share)
{
    constexpr float largestFraction = 1000;
    bool const inRange = share.busy_fraction() >= 0 && share.busy_fraction() <= largestFraction;
    if (!inRange || table.find(share.name()) == nullptr || share.name() == self.name)
        return false;
    peerLoads[share.name()] = static_cast<double>(share.busy_fraction());
    return true;
}

// ---- own record ----

void AgentControl::State::raiseIncarnation(std::uint64_t known, TimePoint now)
{
    if (self.state == MemberState::Left || known >= maximumIncarnation)
        return;
    self.incarnation = known + 1;
    storeSelf(now);
    sendHeartbeats(contacts.takeAll(now), now);
}

void AgentControl::State::storeSelf(TimePoint now)
{
    table.merge(self, now);
    updateView();
}

void AgentControl::State::updateView()
{
    ServiceView current = table.view(self.service);
    if (current == view)
        return;
    view = std::move(current);
    viewHashValue = viewHash(view);
    changedView = view;
}

// ---- periodic steps ----

bool AgentControl::State::wantsList(TimePoint now) const
{
    return !lastList || now - *lastList >= options.listPeriod;
}

void AgentControl::State::sendHeartbeats(std::vector<MonitorContacts::Due> const& due, TimePoint now)
{
    for (MonitorContacts::Due const& one : due) {
        control::Envelope envelope;
        control::Heartbeat& heartbeat = *envelope.mutable_heartbeat();
        heartbeat.set_name(self.name);
        heartbeat.set_incarnation(self.incarnation);
        heartbeat.set_fingerprint(wantsList(now) ? viewHashValue : 0);
        heartbeat.set_position(position);
        heartbeat.set_state(static_cast<control::State>(self.state));
        heartbeat.set_monitors_hash(one.monitorsHash);
        heartbeat.set_service_hash(serviceVersion.hash);
        heartbeat.set_evacuations_hash(evacuations.fingerprint());
        if (sendsService && service && serviceVersion.isWhole)
            toProtobuf(*service, *heartbeat.mutable_service());
        if (one.withRecord)
            toProtobuf(self, std::chrono::seconds { 0 }, *heartbeat.mutable_record());
        outbox.send(one.to, envelope);
    }
}

void AgentControl::State::shareLoad(TimePoint now, double busyFraction)
{
    if (lastLoadShare && now - *lastLoadShare < loadPeriod)
        return;
    lastLoadShare = now;
    std::vector<Endpoint> peers;
    for (MemberTable::Record const* const record : table.ofService(self.service)) {
        if (record->member.name != self.name && record->member.state < MemberState::Dead)
            peers.push_back(record->member.control);
    }
    control::Envelope envelope;
    envelope.mutable_load_share()->set_name(self.name);
    envelope.mutable_load_share()->set_busy_fraction(static_cast<float>(busyFraction));
    for (std::size_t count = 0; count < loadPeers && count < peers.size(); ++count) {
        std::swap(peers[count], peers[count + random.below(peers.size() - count)]);
        outbox.send(peers[count], envelope);
    }
}

// ---- interface ----

AgentControl::AgentControl(AgentControlOptions const& options)
    : state_(std::make_unique<State>(options))
{
}

AgentControl::~AgentControl() = default;

void AgentControl::receive(Endpoint from, std::span<std::byte const> bytes, TimePoint now)
{
    state_->counts.receivedBytes += bytes.size();
    std::optional<control::Envelope> const envelope = decodeEnvelope(bytes);
    bool valid = false;
    if (envelope && envelope->has_heartbeat_reply())
        valid = state_->onHeartbeatReply(from, envelope->heartbeat_reply(), now);
    else if (envelope && envelope->has_heartbeat_request())
        valid = state_->onHeartbeatRequest(from, envelope->heartbeat_request(), now);
    else if (envelope && envelope->has_load_share())
        valid = state_->onLoadShare(envelope->load_share());
    if (!valid)
        ++state_->counts.malformed;
}

void AgentControl::tick(TimePoint now, double busyFraction)
{
    if (state_->table.find(state_->self.name) == nullptr)
        state_->storeSelf(now);
    if (!state_->table.expire(now).empty())
        state_->updateView();
    state_->evacuations.tick(now);
    state_->sendHeartbeats(state_->contacts.takeDue(now), now);
    if (state_->options.sharesLoad)
        state_->shareLoad(now, busyFraction);
}

std::vector<ControlMessage> AgentControl::takeMessages()
{
    return state_->outbox.take();
}

std::optional<ServiceView> AgentControl::takeChangedView()
{
    return std::exchange(state_->changedView, std::nullopt);
}

std::optional<Service> AgentControl::takeChangedService()
{
    if (!std::exchange(state_->serviceChanged, false))
        return std::nullopt;
    return state_->service;
}

bool AgentControl::knowsAddresses() const noexcept
{
    return state_->service.has_value() && state_->serviceVersion.isWhole;
}

std::optional<EvacuationChange> AgentControl::takeChangedEvacuations()
{
    return state_->evacuations.takeChange();
}

std::vector<AgentControl::PeerLoad> AgentControl::takePeerLoads()
{
    std::vector<PeerLoad> loads;
    for (auto const& [peer, busyFraction] : std::exchange(state_->peerLoads, {}))
        loads.push_back({ peer, busyFraction });
    return loads;
}

std::optional<TimePoint> AgentControl::lastReply() const noexcept
{
    return state_->lastReply;
}

void AgentControl::setSeeds(std::span<Endpoint const> seeds, TimePoint now)
{
    state_->contacts.setSeeds(seeds, now);
    state_->sendHeartbeats(state_->contacts.takeDue(now), now);
}

void AgentControl::setListedEntries(std::span<Endpoint const> listed, TimePoint now)
{
    state_->contacts.setListed(listed, now);
    state_->sendHeartbeats(state_->contacts.takeDue(now), now);
}

bool AgentControl::isUnanswered(TimePoint now) const
{
    return state_->contacts.isUnanswered(now);
}

bool AgentControl::takeLostEntry() noexcept
{
    return state_->contacts.takeLostContact();
}

void AgentControl::setDraining(bool draining, TimePoint now)
{
    Member& self = state_->self;
    if (self.draining == draining || self.state == MemberState::Left)
        return;
    self.draining = draining;
    self.state = draining ? MemberState::Draining : MemberState::Active;
    // Draining wins within an incarnation, so its end needs a new one.
    if (!draining)
        ++self.incarnation;
    state_->storeSelf(now);
    state_->sendHeartbeats(state_->contacts.takeAll(now), now);
}

void AgentControl::leave(TimePoint now)
{
    state_->self.state = MemberState::Left;
    state_->storeSelf(now);
    state_->sendHeartbeats(state_->contacts.takeAll(now), now);
}

std::uint64_t AgentControl::storeGeneration() const noexcept
{
    return state_->storeGeneration;
}

EntryControl::Counts AgentControl::counts() const noexcept
{
    return state_->counts;
}

} // namespace plantaindrift
