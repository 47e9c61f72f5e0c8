#include "plantaindrift/relay/AgentRelay.h"

#include "plantaindrift/base/Hash.h"
#include "relay/AdmissionLimit.h"
#include "relay/HashTable.h"
#include "relay/LoadSubscribers.h"
#include "relay/RelayTimes.h"
#include "relay/TargetCost.h"
#include "relay/TargetFlows.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <optional>
#include <vector>

namespace plantaindrift {

namespace {

    constexpr std::array<std::string_view, agentRelayOutcomeCount> outcomeNames {
        "admitted", "delivered", "tried", "passed_first", "passed_known", "searched",
        "answered", "refused", "refused_late", "reset", "dropped_service", "dropped_unknown", "dropped_late", "dropped_malformed"
    };

    // Entries renew redirects every 20 s.
    constexpr std::chrono::seconds redirectLifetime { 50 };

    // Notes of agents with different views can form a loop.
    constexpr std::uint8_t mostPasses = 8;
    constexpr std::uint8_t mostFirstPasses = 3;

    // Gain that is worth a pass: both loads may have changed since they were sent.
    constexpr double passGainShare = 0.5;
    constexpr double passGainTenths = 30;

    // A target that returns an opening segment is left alone for about the time of one request.
    constexpr std::chrono::milliseconds returnPause { 50 };

    // A caller acknowledges the answer to its opening segment within this time, or gives up.
    constexpr std::chrono::seconds passNoteLifetime { 3 };

    // Announcements may be late at a target that still serves; segments of its flows come more often.
    constexpr std::chrono::seconds targetSilence { 3 };

    constexpr std::size_t trials = 1024;
    constexpr std::size_t redirectNotes = 1U << 15U;

    struct RedirectNote {
        std::uint64_t hash { 0 };
        bool used { false };
        Endpoint owner;
        TimePoint expires;
    };

    /// Route of a segment given to the target, in case the target returns it.
    struct Trial {
        std::uint32_t token { 0 };
        std::uint64_t hash { 0 };
        RelayRoute route;
    };

    struct Peer {
        std::uint64_t nameHash { 0 };
        Endpoint agent;
        bool draining { false };
        bool dead { false };
    };

    // One segment on its way through the filters.
    struct Work {
        std::span<std::byte const> datagram;
        Segment segment;
        RelayFlow flow;
        std::uint64_t hash { 0 };
        RelayRoute route;
        TimePoint now;
        std::uint32_t nowSeconds { 0 };
    };

} // namespace

std::string_view agentRelayOutcomeName(AgentRelayOutcome outcome) noexcept
{
    return outcomeNames[static_cast<std::size_t>(outcome)];
}

struct AgentRelay::State {
    State(AgentRelayOptions const& given, SegmentCodec const& segmentCodec, RelaySender& messageSender, RelayObserver& decisionObserver, TimePoint now)
        : options(given)
        , codec(segmentCodec)
        , sender(messageSender)
        , observer(decisionObserver)
        , service(hashService(given.serviceName))
        , started(now)
        , flows(given.maximumFlows)
        , notes(redirectNotes)
        , trialRing(trials)
    {
    }

    AgentRelayOptions options;
    SegmentCodec const& codec;
    RelaySender& sender;
    RelayObserver& observer;
    ServiceHash service {};
    TimePoint started;
    TargetState target;
    bool stopping { false };
    TimePoint targetHeard; ///< last segment that the target sent or returned
    bool hasReturned { false }; ///< the target returned an opening segment before it announced itself
    TimePoint refusingUntil; ///< the target returned an opening segment: it is full or still starts
    TimePoint clock; ///< of the last call
    LateShare late;
    TargetFlows flows;
    HashTable<RedirectNote> notes;
    std::vector<Trial> trialRing;
    std::uint32_t lastToken { 0 };
    LoadSubscribers subscribers;
    std::vector<Peer> peers; ///< all targets of the service but the own one
    TimePoint lastSweep;
    std::array<std::uint64_t, agentRelayOutcomeCount> outcomes {};
    std::array<std::byte, maximumRelayHeaderBytes + 64> header {};
    std::array<std::byte, 2048> probe {};

    [[nodiscard]] bool isAccepting() const noexcept
    {
        bool const isRefusing = clock < refusingUntil || (!target.isAnnounced && hasReturned);
        return target.isAccepting && !stopping && !isRefusing && flows.size() < target.maximumConnections;
    }

    [[nodiscard]] TargetLoad load() const noexcept
    {
        TargetLoad load;
        load.isAccepting = isAccepting();
        load.slots = std::max<std::uint16_t>(target.slots, 1);
        load.activeRequests = static_cast<std::uint16_t>(std::min<std::size_t>(flows.requests().busy(), std::numeric_limits<std::uint16_t>::max()));
        load.openFlows = static_cast<std::uint16_t>(std::min<std::size_t>(flows.openCount(), std::numeric_limits<std::uint16_t>::max()));
        load.serviceTimeTenthMs = flows.requests().serviceTenths();
        load.failedPercent = flows.requests().failedPercent();
        return load;
    }

    PacketVerdict count(AgentRelayOutcome outcome) noexcept
    {
        ++outcomes[static_cast<std::size_t>(outcome)];
        return {};
    }

    /// That this target does not hold a flow is left out for searches of other agents: there are as many such answers as
    /// targets, and the search has its own line.
    void tell(Work const& work, AgentRelayOutcome outcome, Endpoint to) noexcept
    {
        bool const isCommon = outcome == AgentRelayOutcome::ForwardedUnverified || outcome == AgentRelayOutcome::DroppedUnknownFlow;
        if (work.route.searchMode == RelaySearch::ReportOnly && isCommon)
            return;
        RelayDecision decision;
        decision.outcome = agentRelayOutcomeName(outcome);
        decision.flow = work.flow;
        decision.openAttempt = work.segment.isOpenRequest() ? work.segment.acknowledgement : 0;
        decision.destination = to;
        decision.hops = work.route.hops;
        decision.load = load();
        decision.costTenthMs = targetCost(decision.load, 0);
        observer.onDecision(decision);
    }

    PacketVerdict drop(Work const& work, AgentRelayOutcome outcome) noexcept
    {
        tell(work, outcome, {});
        return count(outcome);
    }

    [[nodiscard]] std::span<std::byte const> headerSpan(std::size_t bytes) const noexcept { return std::span<std::byte const>(header).first(bytes); }

    // ---- verdicts ----

    /// Gives the segment to the target; the target returns what it does not hold with the token.
    PacketVerdict deliver(Work const& work, AgentRelayOutcome outcome, bool mayReturn) noexcept
    {
        ++outcomes[static_cast<std::size_t>(outcome)];
        if (outcome != AgentRelayOutcome::Delivered)
            tell(work, outcome, options.targetEndpoint);
        std::uint32_t token = 0;
        if (mayReturn) {
            token = ++lastToken;
            trialRing[token % trials] = { token, work.hash, work.route };
        }
        codec.copyHeader(work.datagram, token, header);
        return { options.targetEndpoint, headerSpan(codec.headerBytes()), work.datagram.subspan(codec.headerBytes()) };
    }

    PacketVerdict pass(Work& work, Endpoint to, AgentRelayOutcome outcome) noexcept
    {
        if (work.route.hops >= mostPasses)
            return drop(work, AgentRelayOutcome::DroppedUnknownFlow);
        ++outcomes[static_cast<std::size_t>(outcome)];
        tell(work, outcome, to);
        ++work.route.hops;
        // A returned segment travels on without the mark.
        std::array<std::byte, 64> segmentHeader;
        codec.copyHeader(work.datagram, 0, segmentHeader);
        std::span<std::byte const> const head = std::span<std::byte const>(segmentHeader).first(codec.headerBytes());
        std::span<std::byte const> const data = work.datagram.subspan(head.size());
        std::size_t const bytes = writeRelayPacket(work.route, head, data, { options.keys, work.nowSeconds }, header);
        return { to, headerSpan(bytes), data };
    }

    PacketVerdict reset(Work const& work, AgentRelayOutcome outcome) noexcept
    {
        ++outcomes[static_cast<std::size_t>(outcome)];
        tell(work, outcome, work.flow.caller);
        codec.writeReset(work.segment, header);
        return { { work.flow.caller.address, options.callerPort }, headerSpan(codec.headerBytes()), {} };
    }

    void notifyEntry(Work const& work) noexcept
    {
        if (!work.route.entry.isSet())
            return;
        std::array<std::byte, maximumRelayHeaderBytes> message;
        std::size_t const bytes = writeRelayOwnerNotice(work.flow, load(), { options.keys, work.nowSeconds }, message);
        sender.send(work.route.entry, std::span<std::byte const>(message).first(bytes));
    }

    // ---- first segments ----

    PacketVerdict decideFirst(Work& work) noexcept
    {
        TargetFlow* const known = flows.find(work.hash);
        if (known != nullptr && !known->isOver())
            return admit(work);
        RelayCandidate* const better = findBetter(work);
        if (better != nullptr)
            return passFirst(work, *better);
        bool const isLate = !isWithinLimit(load(), work.route.latencyLimitTenthMs, work.segment.acknowledgement);
        if (work.segment.acknowledgement == 0)
            late.note(isLate);
        if (isLate)
            return refuseLate(work);
        if (isAccepting())
            return admit(work);
        return passToAnyPeer(work);
    }

    /// No target is expected to answer in time. A later copy is not refused, because an earlier one may be open. A first one
    /// that is dropped has later copies.
    PacketVerdict refuseLate(Work const& work) noexcept
    {
        if (work.segment.acknowledgement != 0 || !late.isRetryUseful())
            return drop(work, AgentRelayOutcome::DroppedOverLimit);
        return reset(work, AgentRelayOutcome::RefusedOverLimit);
    }

    RelayCandidate* findBetter(Work& work) const noexcept
    {
        if (work.route.candidateCount == 0 || work.route.hops >= mostFirstPasses)
            return nullptr;
        std::array<RelayCandidate, maximumRelayCandidates>::iterator const begin = work.route.candidates.begin();
        std::array<RelayCandidate, maximumRelayCandidates>::iterator const cheapest = std::min_element(begin, begin + work.route.candidateCount, [](RelayCandidate const& left, RelayCandidate const& right) { return left.costTenthMs < right.costTenthMs; });
        if (!isAccepting())
            return &*cheapest;
        double const own = targetCost(load(), 0);
        double const service = std::max<double>(flows.requests().serviceTenths(), passGainTenths);
        bool const isWorth = own > cheapest->costTenthMs + passGainTenths + passGainShare * service;
        return isWorth ? &*cheapest : nullptr;
    }

    PacketVerdict passFirst(Work& work, RelayCandidate& candidate) noexcept
    {
        Endpoint const to = candidate.agent;
        std::swap(candidate, work.route.candidates[work.route.candidateCount - 1]);
        --work.route.candidateCount;
        noteOwner(work.hash, to, work.now + passNoteLifetime);
        return pass(work, to, AgentRelayOutcome::ForwardedOpening);
    }

    PacketVerdict passToAnyPeer(Work& work) noexcept
    {
        if (work.route.hops >= mostFirstPasses)
            return refuse(work);
        Peer const* chosen = nullptr;
        std::uint64_t best = 0;
        for (Peer const& peer : peers) {
            std::uint64_t const score = searchScore(peer.nameHash, work.hash + work.route.hops);
            if (!peer.draining && !peer.dead && (chosen == nullptr || score > best)) {
                chosen = &peer;
                best = score;
            }
        }
        if (chosen == nullptr)
            return refuse(work);
        noteOwner(work.hash, chosen->agent, work.now + passNoteLifetime);
        return pass(work, chosen->agent, AgentRelayOutcome::ForwardedOpening);
    }

    void noteOwner(std::uint64_t hash, Endpoint owner, TimePoint expires) noexcept
    {
        RedirectNote* const note = notes.insert(hash);
        if (note == nullptr)
            return;
        note->owner = owner;
        note->expires = expires;
    }

    PacketVerdict refuse(Work const& work) noexcept
    {
        // An earlier copy may have opened the flow elsewhere, which a reset would break. A target that is still starting
        // may take a later copy.
        if (work.segment.acknowledgement != 0 || !target.isAnnounced)
            return drop(work, AgentRelayOutcome::DroppedUnknownFlow);
        return reset(work, AgentRelayOutcome::Refused);
    }

    PacketVerdict admit(Work const& work) noexcept
    {
        TargetFlow* record = flows.find(work.hash);
        if (record != nullptr && record->isOver()) {
            flows.erase(*record);
            record = nullptr;
        }
        if (record == nullptr) {
            record = flows.insert(work.hash);
            if (record == nullptr)
                return drop(work, AgentRelayOutcome::DroppedUnknownFlow);
        }
        record->last = work.now;
        record->entry = work.route.entry;
        notifyEntry(work);
        return deliver(work, AgentRelayOutcome::Admitted, true);
    }

    // ---- later segments ----

    PacketVerdict decideLater(Work& work) noexcept
    {
        TargetFlow* const record = flows.find(work.hash);
        if (record == nullptr)
            return decideUnknown(work);
        if (record->lost)
            return work.segment.isReset ? drop(work, AgentRelayOutcome::DroppedUnknownFlow) : reset(work, AgentRelayOutcome::ResetLostFlow);
        if (!record->established && !record->isAcknowledgedBy(work.segment))
            return decideForeign(work);
        record->established = true;
        flows.trackRequest(*record, work.segment, work.now);
        // An entry that started anew searches under the address that it had.
        bool const isToldOwner = work.route.searchMode == RelaySearch::OwnerKnown && work.route.hops == 0 && record->entry == work.route.entry;
        if (!isToldOwner)
            notifyEntry(work);
        record->entry = work.route.entry;
        return deliver(work, AgentRelayOutcome::Delivered, false);
    }

    PacketVerdict decideForeign(Work& work) noexcept
    {
        if (work.route.candidateCount == 0)
            return decideUnknown(work);
        Endpoint const other = work.route.candidates.front().agent;
        work.route.candidateCount = 0;
        return pass(work, other, AgentRelayOutcome::ForwardedToOwner);
    }

    PacketVerdict decideUnknown(Work& work) noexcept
    {
        RedirectNote* const note = notes.find(work.hash);
        bool const isNoted = note != nullptr && note->expires > work.now && note->owner != options.ownEndpoint;
        if (isNoted && work.route.searchMode != RelaySearch::ReportOnly) {
            work.route.candidateCount = 0;
            return pass(work, note->owner, AgentRelayOutcome::ForwardedToOwner);
        }
        bool const isTried = mayHold(work);
        if (work.route.searchMode == RelaySearch::Start || work.route.searchMode == RelaySearch::OwnerKnown)
            ask(work, peerAgents());
        return isTried ? deliver(work, AgentRelayOutcome::ForwardedUnverified, true) : reportAbsent(work);
    }

    /// After a restart of this process only the target knows its older flows. After a loss of power both are new, and each
    /// lost flow is asked for at all agents.
    [[nodiscard]] bool mayHold(Work const& work) const noexcept
    {
        bool const isYoung = work.now - started < flowLifetime;
        bool const isComplete = target.isStartObserved && work.route.searchMode == RelaySearch::ReportOnly;
        // A target that is not there returns nothing, and the search would wait for it.
        bool const isGone = target.isGone && work.now - targetHeard >= targetSilence;
        return isYoung && !isComplete && !isGone;
    }

    /// Any agent may own the flow, and some may not answer. Agents have wider links than entries.
    void ask(Work& work, std::span<Endpoint const> agents) noexcept
    {
        ++outcomes[static_cast<std::size_t>(AgentRelayOutcome::SearchStarted)];
        tell(work, AgentRelayOutcome::SearchStarted, {});
        work.route.candidateCount = 0;
        work.route.searchMode = RelaySearch::ReportOnly;
        std::size_t const header = writeRelayPacket(work.route, work.datagram, { options.keys, work.nowSeconds }, probe);
        std::size_t const data = std::min(work.datagram.size(), probe.size() - header);
        std::copy_n(work.datagram.begin(), data, probe.begin() + static_cast<std::ptrdiff_t>(header));
        for (Endpoint const agent : agents) {
            if (agent != options.ownEndpoint)
                sender.send(agent, std::span<std::byte const>(probe).first(header + data));
        }
    }

    [[nodiscard]] std::vector<Endpoint> peerAgents() const
    {
        std::vector<Endpoint> agents;
        agents.reserve(peers.size());
        for (Peer const& peer : peers)
            agents.push_back(peer.agent);
        return agents;
    }

    /// The entry tells the caller if no target holds the flow.
    PacketVerdict reportAbsent(Work const& work) noexcept
    {
        bool const isWanted = work.route.searchMode != RelaySearch::FollowOnly && work.route.entry.isSet();
        if (isWanted) {
            std::array<std::byte, maximumRelayHeaderBytes> message;
            std::size_t const bytes = writeRelayFlowNotFound(service, work.flow, { options.keys, work.nowSeconds }, message);
            sender.send(work.route.entry, std::span<std::byte const>(message).first(bytes));
        }
        return drop(work, AgentRelayOutcome::DroppedUnknownFlow);
    }

    // ---- segments of the target ----

    PacketVerdict decideAnswer(Work const& work) noexcept
    {
        TargetFlow* record = flows.find(work.hash);
        // A target answers data of a flow that it does not hold with a reset at times; the flow may be open elsewhere.
        if (work.segment.isReset && (record == nullptr || !record->established))
            return count(AgentRelayOutcome::DroppedUnknownFlow);
        if (record == nullptr) {
            // The target holds flows from before this process started.
            record = flows.insert(work.hash);
            if (record != nullptr)
                record->established = !work.segment.isOpening;
        }
        if (record != nullptr)
            flows.trackAnswer(*record, work.segment, work.now, target.slots);
        ++outcomes[static_cast<std::size_t>(AgentRelayOutcome::ForwardedAnswer)];
        return { { work.flow.caller.address, options.callerPort }, {}, work.datagram };
    }

    PacketVerdict decideReturned(Work& work) noexcept
    {
        TargetFlow* const record = flows.find(work.hash);
        Trial const& trial = trialRing[work.segment.returnToken % trials];
        bool const isTrial = work.segment.returnToken != 0 && trial.token == work.segment.returnToken && trial.hash == work.hash;
        if (isTrial)
            work.route = trial.route;
        else
            work.route.serviceHash = service;
        if (work.segment.isOpenRequest()) {
            if (record != nullptr && !record->established)
                flows.erase(*record);
            noteReturnedFirst(work);
            if (work.route.candidateCount > 0 && work.route.hops < mostFirstPasses)
                return passFirst(work, work.route.candidates.front());
            return passToAnyPeer(work);
        }
        if (record != nullptr && record->established)
            return loseFlow(*record, work);
        if (record != nullptr)
            flows.erase(*record);
        return reportAbsent(work);
    }

    void noteReturnedFirst(Work const& work) noexcept
    {
        bool const wasAccepting = isAccepting();
        hasReturned = !target.isAnnounced;
        refusingUntil = work.now + returnPause;
        if (wasAccepting)
            sendLoadToAll(work.now, work.nowSeconds);
    }

    /// The target does not hold a flow that was open there: it restarted, or discarded the flow.
    PacketVerdict loseFlow(TargetFlow& record, Work const& work) noexcept
    {
        if (record.closing || work.segment.isClosing || work.segment.isReset) {
            flows.erase(record);
            return drop(work, AgentRelayOutcome::DroppedUnknownFlow);
        }
        flows.lose(record);
        return reset(work, AgentRelayOutcome::ResetLostFlow);
    }

    // ---- messages ----

    void noteSubscription(Endpoint from, std::chrono::milliseconds interval, TimePoint now, std::uint32_t nowSeconds)
    {
        if (subscribers.renew(from, interval, now))
            sendLoad(from, nowSeconds);
    }

    void sendLoad(Endpoint to, std::uint32_t nowSeconds) noexcept
    {
        std::array<std::byte, maximumRelayHeaderBytes> message;
        std::size_t const bytes = writeRelayLoadReport(service, load(), { options.keys, nowSeconds }, message);
        sender.send(to, std::span<std::byte const>(message).first(bytes));
    }

    void sendLoadToAll(TimePoint now, std::uint32_t nowSeconds) noexcept
    {
        for (Endpoint const entry : subscribers.takeAll(now))
            sendLoad(entry, nowSeconds);
    }

    void noteRedirects(DecodedRelayMessage const& decoded, TimePoint now)
    {
        if (decoded.serviceHash != service)
            return;
        for (std::size_t index = 0; index < decoded.flowOwnerCount(); ++index) {
            OwnedFlow const owned = decoded.flowOwnerAt(index);
            noteOwner(hashRelayFlow(owned.flow), owned.owner, now + redirectLifetime);
        }
    }

    // ---- periodic steps ----

    void sendDueLoads(TimePoint now, std::uint32_t nowSeconds)
    {
        for (Endpoint const entry : subscribers.takeDue(now))
            sendLoad(entry, nowSeconds);
    }

    void sweep(TimePoint now)
    {
        constexpr std::chrono::seconds sweepPeriod { 1 };
        if (now - lastSweep < sweepPeriod)
            return;
        lastSweep = now;
        flows.sweep(now);
        notes.eraseIf([now](RedirectNote const& note) { return note.expires <= now; });
    }
};

AgentRelay::AgentRelay(AgentRelayOptions const& options, SegmentCodec const& codec, RelaySender& sender, RelayObserver& observer, TimePoint now)
    : state_(std::make_unique<State>(options, codec, sender, observer, now))
{
}

AgentRelay::~AgentRelay() = default;

void AgentRelay::setKeys(KeyRing const& keys)
{
    state_->options.keys = keys;
}

void AgentRelay::setView(ServiceView const& view)
{
    std::vector<Peer> peers;
    for (ViewTarget const& target : view.targets) {
        if (target.name != state_->options.targetName)
            peers.push_back({ hashText(target.name), target.data, target.draining, target.dead });
    }
    state_->peers = std::move(peers);
}

void AgentRelay::setTargetState(TargetState const& target, TimePoint now)
{
    if (target.isAnnounced)
        state_->hasReturned = false;
    state_->target = target;
    state_->flows.requests().setCold(now + target.remainingWarmUp);
}

void AgentRelay::handleTargetReplacement()
{
    state_->flows.loseAll();
}

void AgentRelay::stopAccepting(TimePoint now, std::uint32_t nowSeconds)
{
    state_->stopping = true;
    state_->sendLoadToAll(now, nowSeconds);
}

PacketVerdict AgentRelay::processRelayDatagram(std::span<std::byte const> datagram, Endpoint from, TimePoint now, std::uint32_t nowSeconds) noexcept
{
    state_->clock = now;
    DecodedRelayMessage const decoded = decodeRelayMessage(datagram, state_->options.keys, nowSeconds);
    if (decoded.error != DatagramError::None)
        return state_->count(AgentRelayOutcome::DroppedMalformed);
    if (decoded.kind == RelayKind::LoadSubscription) {
        state_->noteSubscription(from, decoded.loadInterval, now, nowSeconds);
        return {};
    }
    if (decoded.kind == RelayKind::FlowOwners) {
        state_->noteRedirects(decoded, now);
        return {};
    }
    bool const isAsk = decoded.kind == RelayKind::SearchRequest;
    std::optional<Segment> const segment = isAsk || decoded.kind == RelayKind::Packet ? state_->codec.decode(decoded.segment) : std::nullopt;
    if (!segment || segment->isReturned)
        return state_->count(AgentRelayOutcome::DroppedMalformed);
    if (decoded.route.serviceHash != state_->service)
        return state_->count(AgentRelayOutcome::DroppedWrongService);
    RelayFlow const flow { segment->source, segment->destination };
    Work work { decoded.segment, *segment, flow, hashRelayFlow(flow), decoded.route, now, nowSeconds };
    if (isAsk && state_->flows.find(work.hash) == nullptr)
        state_->ask(work, decoded.searchedAgents());
    return segment->isOpenRequest() ? state_->decideFirst(work) : state_->decideLater(work);
}

PacketVerdict AgentRelay::processTargetDatagram(std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds) noexcept
{
    state_->clock = now;
    std::optional<Segment> const segment = state_->codec.decode(datagram);
    if (!segment)
        return state_->count(AgentRelayOutcome::DroppedMalformed);
    state_->targetHeard = now;
    RelayFlow const flow = segment->isReturned ? RelayFlow { segment->source, segment->destination } : RelayFlow { segment->destination, segment->source };
    Work work { datagram, *segment, flow, hashRelayFlow(flow), {}, now, nowSeconds };
    return segment->isReturned ? state_->decideReturned(work) : state_->decideAnswer(work);
}

void AgentRelay::tick(TimePoint now, std::uint32_t nowSeconds)
{
    state_->clock = now;
    state_->flows.requests().tick(now);
    state_->sendDueLoads(now, nowSeconds);
    state_->sweep(now);
}

TargetLoad AgentRelay::load() const noexcept
{
    return state_->load();
}

std::array<std::uint64_t, agentRelayOutcomeCount> const& AgentRelay::outcomeCounts() const noexcept
{
    return state_->outcomes;
}

LatencyHistogram const& AgentRelay::requestTimes() const noexcept
{
    return state_->flows.requests().times();
}

} // namespace plantaindrift
