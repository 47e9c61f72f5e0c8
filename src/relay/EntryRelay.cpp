#include "plantaindrift/relay/EntryRelay.h"

#include "balancing/RequestSizes.h"
#include "balancing/TargetCost.h"
#include "plantaindrift/base/Hash.h"
#include "relay/AddressRoutes.h"
#include "relay/HashTable.h"
#include "relay/OwnerSearches.h"
#include "relay/RelayTimes.h"
#include "relay/TargetDirectory.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>
#include <vector>

namespace plantaindrift {

namespace {

    constexpr std::array<std::string_view, entryRelayOutcomeCount> outcomeNames {
        "first_forwarded", "copy_forwarded", "owner_forwarded", "search_forwarded", "refused_no_route",
        "refused_no_target", "reset_lost", "dropped_malformed", "dropped_no_route", "dropped_no_target", "dropped_stale"
    };

    // A caller keeps a flow open for at most 60 s without a packet.
    constexpr std::chrono::seconds flowIdleTimeout { 60 };

    // Separates the query numbers from other uses of the random seed.
    constexpr std::uint64_t querySeed = 0x71756572;

    // For flows that end sooner, sending the owner to agents would cost more than a search.
    constexpr std::chrono::milliseconds minimumSharedFlowAge { 300 };
    constexpr std::chrono::seconds ownerShareInterval { 20 };

    // Number of highest-ranked agents for a flow that receive its owner.
    constexpr std::size_t ownerHolderCount = 2;

    // An owner that the view lacks confirms each segment; after this time without an answer it is taken for gone.
    constexpr std::chrono::milliseconds unlistedOwnerTimeout { 500 };

    // Number of ticks in which all flows are checked once.
    constexpr std::size_t ownerShareTicks = 5;

    struct FlowRecord {
        std::uint64_t hash { 0 };
        bool used { false };
        bool isConfirmed { false }; ///< the owner sent a notice, and no other target may have answered the opening segment
        bool isUnlisted { false }; ///< the owner sent its last notice while the view of the service lacked it
        bool isInUse { false }; ///< the caller has sent later segments, so that one of the answers is acknowledged
        Endpoint owner;
        Endpoint previousOwner; ///< previous target, which was offered an earlier copy of the opening segment
        RelayFlow flow;
        TimePoint opened;
        TimePoint last;
        TimePoint ownerSent; ///< time when the owner was last sent to agents
        TimePoint unanswered; ///< time of the first segment since the last notice of an unlisted owner; unset if there was none
        std::uint32_t holders { 0 }; ///< hash of the agents that received the owner, and of the owner
    };

} // namespace

std::string_view entryRelayOutcomeName(EntryRelayOutcome outcome) noexcept
{
    return outcomeNames[static_cast<std::size_t>(outcome)];
}

struct EntryRelay::State {
    State(EntryRelayOptions const& given, SegmentCodec const& segmentCodec, RelaySender& messageSender, RelayObserver& decisionObserver)
        : options(given)
        , codec(segmentCodec)
        , sender(messageSender)
        , observer(decisionObserver)
        , directory(given.dataCentre, given.randomSeed, given.remote)
        , searches(given.ownEndpoint, static_cast<std::uint32_t>(mixHash(given.randomSeed, querySeed)), directory, messageSender, decisionObserver)
        , flows(given.maximumFlows)
    {
    }

    /// A segment being processed.
    struct SegmentContext {
        std::span<std::byte const> datagram;
        Segment segment;
        std::uint64_t hash { 0 };
        TimePoint now;
        std::uint32_t nowSeconds { 0 };
    };

    EntryRelayOptions options;
    SegmentCodec const& codec;
    RelaySender& sender;
    RelayObserver& observer;
    TargetDirectory directory;
    OwnerSearches searches;
    HashTable<FlowRecord> flows;
    AddressRoutes routes;
    RequestSizes requestSizes;
    EvacuationSet evacuations;
    std::array<std::uint64_t, entryRelayOutcomeCount> outcomes {};
    std::array<std::byte, maximumRelayHeaderBytes> header {};
    std::array<std::byte, 64> resetBuffer {};
    TimePoint lastSweep;

    PacketVerdict countOutcome(EntryRelayOutcome outcome) noexcept
    {
        ++outcomes[static_cast<std::size_t>(outcome)];
        return {};
    }

    PacketVerdict drop(SegmentContext const& context, EntryRelayOutcome outcome) noexcept
    {
        notifyObserver(context, outcome, {}, 0);
        return countOutcome(outcome);
    }

    void notifyObserver(SegmentContext const& context, EntryRelayOutcome outcome, Endpoint to, double cost, std::string_view reason = {}) noexcept
    {
        RelayDecision decision;
        decision.outcome = entryRelayOutcomeName(outcome);
        decision.flow = { context.segment.source, context.segment.destination };
        decision.openAttempt = context.segment.isOpenRequest() ? context.segment.acknowledgement : 0;
        decision.destination = to;
        decision.costTenthMs = cost;
        decision.reason = reason;
        if (DirectoryTarget const* const target = directory.findTarget(to)) {
            decision.load = target->load;
            decision.loadAge = std::chrono::duration_cast<std::chrono::milliseconds>(context.now - target->lastReport);
        }
        observer.onDecision(decision);
    }

    /// Notifies the observer of what an agent reported about a flow that the entry remembers.
    void notifyOwnerReport(std::string_view outcome, RelayFlow const& flow, Endpoint agent) noexcept
    {
        RelayDecision decision;
        decision.outcome = outcome;
        decision.flow = flow;
        decision.destination = agent;
        if (DirectoryTarget const* const target = directory.findTarget(agent))
            decision.load = target->load;
        observer.onDecision(decision);
    }

    // ---- choice ----

    [[nodiscard]] TargetGroup* serviceOf(SegmentContext const& context) const noexcept
    {
        return routes.findService(context.segment.destination, context.hash);
    }

    // ---- segments ----

    PacketVerdict forward(SegmentContext const& context, RelayRoute& route, EntryRelayOutcome outcome, std::string_view reason = {}) noexcept
    {
        ++outcomes[static_cast<std::size_t>(outcome)];
        Endpoint const to = route.candidates.front().agent;
        if (outcome != EntryRelayOutcome::ForwardedToOwner)
            notifyObserver(context, outcome, to, route.candidates.front().costTenthMs, reason);
        std::copy(route.candidates.begin() + 1, route.candidates.begin() + route.candidateCount, route.candidates.begin());
        --route.candidateCount;
        route.entry = options.ownEndpoint;
        std::size_t const bytes = writeRelayPacket(route, context.datagram, { options.keys, context.nowSeconds }, header);
        return { to, std::span<std::byte const>(header).first(bytes), context.datagram };
    }

    PacketVerdict refuse(SegmentContext const& context, EntryRelayOutcome refused, EntryRelayOutcome dropped) noexcept
    {
        // An earlier copy may have opened the flow, and a reset would break it.
        bool const mayBeOpen = context.segment.acknowledgement != 0 || flows.find(context.hash) != nullptr;
        if (!routes.isConfigured() || mayBeOpen)
            return drop(context, dropped);
        notifyObserver(context, refused, {}, 0);
        codec.writeReset(context.segment, resetBuffer);
        ++outcomes[static_cast<std::size_t>(refused)];
        return { { context.segment.source.address, options.callerPort }, std::span<std::byte const>(resetBuffer).first(codec.headerBytes()), {} };
    }

    PacketVerdict processOpening(SegmentContext const& context) noexcept
    {
        TargetGroup* const service = serviceOf(context);
        if (service == nullptr)
            return refuse(context, EntryRelayOutcome::RefusedNoRoute, EntryRelayOutcome::DroppedNoRoute);
        searches.forget(context.hash);
        FlowRecord* record = flows.find(context.hash);
        RelayRoute route;
        route.serviceHash = service->hash;
        route.latencyLimitTenthMs = routes.latencyLimit(context.segment.destination, context.now);
        std::array<Endpoint, 2> const asked { record != nullptr ? record->owner : Endpoint {}, record != nullptr ? record->previousOwner : Endpoint {} };
        RemoteReason const reason = directory.chooseTargets(*service, asked, context.now, route, requestSizes.meanBytes(context.segment.destination));
        if (route.candidateCount == 0)
            return service->targets.empty() ? drop(context, EntryRelayOutcome::DroppedNoTarget) : refuse(context, EntryRelayOutcome::RefusedNoTarget, EntryRelayOutcome::DroppedNoTarget);
        bool const isCopy = record != nullptr;
        Endpoint const chosen = route.candidates.front().agent;
        if (!isCopy)
            requestSizes.recordFlow(context.segment.destination);
        if (!isCopy)
            record = insertFlow(context.hash, { context.segment.source, context.segment.destination }, context.now);
        if (record != nullptr) {
            if (isCopy && record->owner != chosen)
                record->previousOwner = record->owner;
            record->owner = chosen;
            record->isConfirmed = false;
            record->isInUse = false;
            record->last = context.now;
        }
        return forward(context, route, isCopy ? EntryRelayOutcome::ForwardedRetransmission : EntryRelayOutcome::ForwardedOpening, remoteReasonName(reason));
    }

    /// Finds or adds a flow. \returns null if the table is full
    FlowRecord* insertFlow(std::uint64_t hash, RelayFlow const& flow, TimePoint now)
    {
        FlowRecord* const record = flows.insert(hash);
        if (record == nullptr || record->flow.caller.isSet())
            return record;
        record->flow = flow;
        record->opened = now;
        return record;
    }

    PacketVerdict processLater(SegmentContext const& context) noexcept
    {
        FlowRecord* const record = flows.find(context.hash);
        if (record == nullptr)
            return search(context);
        record->last = context.now;
        record->isInUse = true;
        requestSizes.recordSegment(context.segment.destination, context.datagram.size());
        RelayRoute route;
        TargetGroup const* service = directory.findServiceOf(record->owner);
        bool const isListed = service != nullptr;
        if (!isListed && mayUseUnlistedOwner(*record, context.now))
            service = serviceOf(context);
        if (service == nullptr) {
            flows.erase(*record);
            return search(context);
        }
        route.serviceHash = service->hash;
        // In the mode of a search, the owner sends a notice for each segment.
        route.searchMode = isListed ? RelaySearchMode::OwnerKnown : RelaySearchMode::Start;
        route.candidates[route.candidateCount++] = { record->owner, 0 };
        if (!record->isConfirmed && record->previousOwner.isSet())
            route.candidates[route.candidateCount++] = { record->previousOwner, 0 };
        return forward(context, route, EntryRelayOutcome::ForwardedToOwner);
    }

    /// A view may lack a target that has joined, so that the notice of an agent counts for more than the view.
    [[nodiscard]] static bool mayUseUnlistedOwner(FlowRecord& record, TimePoint now) noexcept
    {
        if (!record.isUnlisted)
            return false;
        if (record.unanswered == TimePoint {})
            record.unanswered = now;
        return now - record.unanswered <= unlistedOwnerTimeout;
    }

    /// Sends the segment to an agent that ranks high for the flow: entries send the owners of flows to these agents.
    PacketVerdict search(SegmentContext const& context)
    {
        TargetGroup* const service = serviceOf(context);
        if (service == nullptr)
            return drop(context, EntryRelayOutcome::DroppedNoRoute);
        SearchStep const step = searches.advance(*service, context.segment, context.datagram, context.hash, context.now);
        if (step.isLost) {
            resetLostFlow(context);
            return {};
        }
        if (!step.agent.isSet())
            return drop(context, EntryRelayOutcome::DroppedNoTarget);
        RelayRoute route;
        route.serviceHash = service->hash;
        route.searchMode = step.isStart ? RelaySearchMode::Start : RelaySearchMode::FollowOnly;
        route.candidates[route.candidateCount++] = { step.agent, 0 };
        return forward(context, route, EntryRelayOutcome::ForwardedForSearch);
    }

    void processNotFound(Endpoint from, RelayFlow const& flow, TimePoint now)
    {
        std::uint64_t const hash = hashRelayFlow(flow);
        searches.processNotFound(from, hash, now);
        FlowRecord* const record = flows.find(hash);
        if (record == nullptr)
            return;
        if (record->owner != from) {
            notifyOwnerReport("report_ignored", flow, from);
            return;
        }
        notifyOwnerReport("owner_refuted", flow, from);
        // The flow may be open at the target that was offered an earlier copy of the opening segment; otherwise the
        // caller's next segment starts a search.
        bool const mayBeAtPrevious = record->previousOwner.isSet() && record->previousOwner != from;
        if (mayBeAtPrevious)
            record->owner = std::exchange(record->previousOwner, {});
        else
            flows.erase(*record);
    }

    /// Resets the callers of flows that no target holds.
    void resetLostFlows(TimePoint now, std::uint32_t nowSeconds)
    {
        for (LostFlow const& lost : searches.takeLostFlows())
            resetLostFlow({ {}, lost.segment, lost.hash, now, nowSeconds });
    }

    /// A reset is sent even for a closing segment: without an answer, the caller retransmits it many times. A caller
    /// that reset the flow itself needs none.
    void resetLostFlow(SegmentContext const& context) noexcept
    {
        if (context.segment.isReset)
            return;
        notifyObserver(context, EntryRelayOutcome::ResetLostFlow, {}, 0);
        ++outcomes[static_cast<std::size_t>(EntryRelayOutcome::ResetLostFlow)];
        codec.writeReset(context.segment, resetBuffer);
        sender.send({ context.segment.source.address, options.callerPort }, std::span<std::byte const>(resetBuffer).first(codec.headerBytes()));
    }

    // ---- messages of agents ----

    void recordOwner(Endpoint from, RelayFlow const& flow, TimePoint now)
    {
        std::uint64_t const hash = hashRelayFlow(flow);
        searches.recordFound(hash, now);
        FlowRecord* const record = insertFlow(hash, flow, now);
        if (record == nullptr)
            return;
        if (record->owner.isSet() && record->owner != from) {
            record->previousOwner = record->owner;
            notifyOwnerReport("owner_changed", flow, from);
        }
        // The time since a retransmitted opening would be too short if the notice answers an earlier copy.
        if (record->owner == from && !record->isConfirmed && record->opened == record->last)
            directory.recordRoundTrip(from, now - record->opened, now);
        record->owner = from;
        record->isUnlisted = directory.findServiceOf(from) == nullptr;
        record->unanswered = {};
        record->last = now;
        // Until a later segment has found its owner, a notice says only that the target was offered the flow.
        record->isConfirmed = record->isInUse || !record->previousOwner.isSet();
    }

    /// \returns false if the message is not meant for an entry
    bool processDecodedMessage(Endpoint from, DecodedRelayMessage const& decoded, TimePoint now, std::uint32_t nowSeconds)
    {
        switch (decoded.kind) {
        case RelayMessageKind::FlowNotFound:
            processNotFound(from, decoded.flow, now);
            return true;
        case RelayMessageKind::FlowQueryReply:
            return searches.processQueryReply(from, decoded, now, { options.keys, nowSeconds });
        case RelayMessageKind::OwnerNotice:
            directory.recordLoad(from, decoded.load, now);
            recordOwner(from, decoded.flow, now);
            return true;
        case RelayMessageKind::LoadReport:
            directory.recordLoad(from, decoded.load, now, decoded.serviceHash);
            return true;
        default:
            return false;
        }
    }

    // ---- periodic steps ----

    void subscribe(TimePoint now, std::uint32_t nowSeconds)
    {
        std::array<std::byte, maximumRelayHeaderBytes> message;
        std::size_t const bytes = writeRelayLoadSubscription(directory.loadInterval(), { options.keys, nowSeconds }, message);
        for (Endpoint const agent : directory.collectDueSubscriptions(now))
            sender.send(agent, std::span<std::byte const>(message).first(bytes));
    }

    /// Sends owners of flows to agents, so that another entry finds an owner at once.
    void sendFlowOwners(TimePoint now, std::uint32_t nowSeconds)
    {
        Batches batches;
        flows.visitNextPart(ownerShareTicks, [&](FlowRecord& record) {
            bool const isShared = record.isConfirmed && now - record.opened >= minimumSharedFlowAge && now - record.last < ownerShareInterval;
            if (isShared)
                addFlowOwners(record, now, batches);
        });
        for (Batches::value_type const& batch : batches)
            sendBatch(batch.first, batch.second, nowSeconds);
    }

    /// An agent, and the service for which it holds owner records. The directory may know its address by another service.
    using OwnerHolder = std::pair<Endpoint, ServiceHash>;
    using Batches = std::map<OwnerHolder, std::vector<OwnedFlow>>; ///< by receiving agent

    void addFlowOwners(FlowRecord& record, TimePoint now, Batches& batches)
    {
        TargetGroup const* const group = directory.findServiceOf(record.owner);
        if (group == nullptr)
            return;
        std::array<std::pair<std::uint64_t, Endpoint>, ownerHolderCount> holders {};
        for (DirectoryTarget const& target : group->targets) {
            std::pair<std::uint64_t, Endpoint> holder { rankScore(target.nameHash, record.hash), target.agent };
            // An entry that does not know the owner yet queries the next one.
            if (target.isGone() || target.agent == record.owner)
                continue;
            for (std::pair<std::uint64_t, Endpoint>& best : holders) {
                if (holder.first > best.first)
                    std::swap(holder, best);
            }
        }
        std::uint32_t const hash = static_cast<std::uint32_t>(mixHash(endpointKey(holders[0].second), mixHash(endpointKey(holders[1].second), endpointKey(record.owner))));
        if (hash == record.holders && now - record.ownerSent < ownerShareInterval)
            return;
        record.holders = hash;
        record.ownerSent = now;
        for (std::pair<std::uint64_t, Endpoint> const& holder : holders) {
            if (holder.second.isSet())
                batches[{ holder.second, group->hash }].push_back({ record.flow, record.owner });
        }
    }

    void sendBatch(OwnerHolder const& to, std::span<OwnedFlow const> owned, std::uint32_t nowSeconds)
    {
        std::array<std::byte, maximumRelayMessageBytes> message;
        while (!owned.empty()) {
            std::size_t const named = std::min(owned.size(), maximumFlowOwners);
            std::size_t const bytes = writeRelayFlowOwners(to.second, owned.first(named), { options.keys, nowSeconds }, message);
            sender.send(to.first, std::span<std::byte const>(message).first(bytes));
            owned = owned.subspan(named);
        }
    }

    void sweep(TimePoint now)
    {
        constexpr std::chrono::seconds sweepInterval { 5 };
        if (now - lastSweep < sweepInterval)
            return;
        lastSweep = now;
        flows.eraseIf([now](FlowRecord const& record) { return now - record.last > flowIdleTimeout; });
    }
};

EntryRelay::EntryRelay(EntryRelayOptions const& options, SegmentCodec const& codec, RelaySender& sender, RelayObserver& observer)
    : state_(std::make_unique<State>(options, codec, sender, observer))
{
}

EntryRelay::~EntryRelay() = default;

void EntryRelay::setConfiguration(Configuration const& configuration, TimePoint now)
{
    state_->routes.set(configuration, state_->directory, now);
}

void EntryRelay::setView(ServiceView const& view, TimePoint now)
{
    std::vector<std::uint32_t> const newIndices = state_->directory.setView(view, now);
    state_->searches.renumberTargets(state_->directory.findOrAddService(view.service), newIndices);
}

void EntryRelay::setEvacuations(EvacuationSet const& evacuations, TimePoint /*now*/)
{
    state_->evacuations = evacuations;
}

void EntryRelay::setViewsComplete(bool complete) noexcept
{
    state_->searches.setViewsComplete(complete);
}

void EntryRelay::requireMemberRead() noexcept
{
    state_->searches.requireMemberRead();
}

bool EntryRelay::needsMemberRead() const noexcept
{
    return state_->searches.needsMemberRead();
}

void EntryRelay::recordMemberRead(TimePoint started) noexcept
{
    state_->searches.recordMemberRead(started);
}

void EntryRelay::setKeys(KeyRing const& keys)
{
    state_->options.keys = keys;
}

PacketVerdict EntryRelay::processCallerDatagram(std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds, Duration maximumWait) noexcept
{
    std::optional<Segment> const segment = state_->codec.decode(datagram);
    if (!segment || segment->isReturned)
        return state_->countOutcome(EntryRelayOutcome::DroppedMalformed);
    State::SegmentContext const context { datagram, *segment, hashRelayFlow({ segment->source, segment->destination }), now, nowSeconds };
    if (!segment->isOpenRequest())
        return state_->processLater(context);
    if (maximumWait >= openingLifetime(segment->acknowledgement))
        return state_->drop(context, EntryRelayOutcome::DroppedStaleOpening);
    return state_->processOpening(context);
}

bool EntryRelay::processAgentMessage(Endpoint from, std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds) noexcept
{
    DecodedRelayMessage const decoded = decodeRelayMessage(datagram, state_->options.keys, nowSeconds);
    if (decoded.error != DatagramError::None)
        return false;
    bool const isExpected = state_->processDecodedMessage(from, decoded, now, nowSeconds);
    state_->searches.sendQueries(now, { state_->options.keys, nowSeconds });
    state_->resetLostFlows(now, nowSeconds);
    return isExpected;
}

void EntryRelay::tick(TimePoint now, std::uint32_t nowSeconds)
{
    state_->directory.tick(now);
    state_->subscribe(now, nowSeconds);
    state_->searches.tick(now, { state_->options.keys, nowSeconds });
    state_->resetLostFlows(now, nowSeconds);
    state_->sendFlowOwners(now, nowSeconds);
    state_->sweep(now);
}

bool EntryRelay::canServe() const noexcept
{
    return !state_->routes.empty() && state_->directory.hasLiveTarget();
}

std::array<std::uint64_t, entryRelayOutcomeCount> const& EntryRelay::outcomeCounts() const noexcept
{
    return state_->outcomes;
}

std::size_t EntryRelay::flowCount() const noexcept
{
    return state_->flows.size();
}

std::vector<SiteCounts> EntryRelay::siteCounts(TimePoint now) const
{
    return state_->directory.siteCounts(now);
}

std::uint64_t EntryRelay::searchMessageCount() const noexcept
{
    return state_->searches.messageCount();
}

LatencyHistogram const& EntryRelay::successfulSearchTimes() const noexcept
{
    return state_->searches.successfulTimes();
}

LatencyHistogram const& EntryRelay::failedSearchTimes() const noexcept
{
    return state_->searches.failedTimes();
}

} // namespace plantaindrift
