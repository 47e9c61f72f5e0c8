#include "plantaindrift/relay/EntryRelay.h"

#include "balancing/RequestSizes.h"
#include "balancing/TargetCost.h"
#include "plantaindrift/base/Hash.h"
#include "relay/AddressRoutes.h"
#include "relay/CountingSender.h"
#include "relay/EntryResourceControl.h"
#include "relay/FlowOwnerBatches.h"
#include "relay/FlowRecord.h"
#include "relay/HashTable.h"
#include "relay/OwnerSearches.h"
#include "relay/RelayTimes.h"
#include "relay/TargetDirectory.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace plantaindrift {

namespace {

    constexpr std::array<std::string_view, entryRelayOutcomeCount> outcomeNames {
        "first_forwarded", "copy_forwarded", "owner_forwarded", "search_forwarded", "refused_no_route",
        "refused_no_target", "reset_lost", "dropped_malformed", "dropped_no_route", "dropped_no_target", "dropped_stale",
        "refused_evacuated", "dropped_evacuated", "offered_again", "refused_no_room", "dropped_returned", "refused_link", "refused_processor"
    };

    // Half of a service's targets may stop accepting at once; a second return finds the others by what the agents have reported
    // meanwhile.
    constexpr std::uint8_t maximumReturns = 2;

    // A caller keeps a flow open for at most 60 s without a packet.
    constexpr std::chrono::seconds flowIdleTimeout { 60 };

    // Separates the query numbers from other uses of the random seed.
    constexpr std::uint64_t querySeed = 0x71756572;

    // An owner that the view lacks confirms each segment; after this time without an answer it is taken for gone.
    constexpr std::chrono::milliseconds unlistedOwnerTimeout { 500 };

    // Number of ticks in which all flows are checked once.
    constexpr std::size_t ownerShareTicks = 5;

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
        , resources(given.resources, entryNameHash(given.name), given.randomSeed, sender)
        , observer(decisionObserver)
        , directory(given.dataCentre, given.randomSeed, given.remote)
        , searches(given.ownEndpoint, static_cast<std::uint32_t>(mixHash(given.randomSeed, querySeed)), directory, sender, decisionObserver)
        , flows(given.maximumFlows)
    {
        sender.setLink(resources.link());
    }

    /// A segment being processed.
    struct SegmentContext {
        std::span<std::byte const> datagram;
        Segment segment;
        std::uint64_t hash { 0 };
        TimePoint now;
        std::uint32_t nowSeconds { 0 };
        Duration waited { 0 }; ///< longest time that the segment may have waited in this process
        std::string_view reason; ///< why an agent returned it; empty if none did
    };

    EntryRelayOptions options;
    SegmentCodec const& codec;
    CountingSender sender;
    EntryResourceControl resources;
    RelayObserver& observer;
    TargetDirectory directory;
    OwnerSearches searches;
    HashTable<FlowRecord> flows;
    AddressRoutes routes;
    TimePoint evacuationChanged; ///< when the evacuated data centres last changed
    std::uint64_t evacuatedFlows { 0 }; ///< new flows that reached an evacuated data centre
    RequestSizes requestSizes;
    std::array<std::uint64_t, entryRelayOutcomeCount> outcomes {};
    std::map<EntryRelayOutcome, std::array<std::uint64_t, openingReasonCount>> returnCounts; ///< of openings that agents returned
    std::array<std::byte, maximumRelayHeaderBytes> header {};
    std::array<std::byte, 64> resetBuffer {};
    TimePoint lastSweep;

    /// Each call from outside starts with this.
    void beginTurn(TimePoint now) noexcept { sender.setTime(now); }

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
        decision.reason = reason.empty() ? context.reason : reason;
        decision.destination = to;
        decision.costTenthMs = cost;
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
        if (resources.isActive())
            resources.admission().recordSegment(context.segment.destination, context.segment.dataBytes, bytes + context.datagram.size() + datagramHeaderBytes);
        return { to, std::span<std::byte const>(header).first(bytes), context.datagram, resources.isBulk(context.segment.dataBytes), context.hash };
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
        EntryRefusal const refusal = resources.isActive() && record == nullptr && context.segment.acknowledgement == 0 ? resources.admission().decide(context.segment.destination) : EntryRefusal::None;
        if (refusal != EntryRefusal::None)
            return refuse(context, refusal == EntryRefusal::Link ? EntryRelayOutcome::RefusedLink : EntryRelayOutcome::RefusedProcessor, EntryRelayOutcome::DroppedNoRoute);
        RelayRoute route;
        route.serviceHash = service->hash;
        route.latencyLimitTenthMs = routes.latencyLimit(context.segment.destination, context.now);
        route.mayBeOpen = context.segment.acknowledgement != 0 || record != nullptr || context.waited >= originalLifetime;
        std::array<Endpoint, 2> const asked { record != nullptr ? record->owner : Endpoint {}, record != nullptr ? record->previousOwner : Endpoint {} };
        RemoteReason const reason = directory.chooseTargets(*service, asked, context.now, route, requestSizes.meanBytes(context.segment.destination));
        if (route.candidateCount == 0 && TargetDirectory::isWhollyEvacuated(*service))
            return refuse(context, EntryRelayOutcome::RefusedEvacuated, EntryRelayOutcome::DroppedEvacuated);
        if (route.candidateCount == 0)
            return service->targets.empty() ? drop(context, EntryRelayOutcome::DroppedNoTarget) : refuse(context, EntryRelayOutcome::RefusedNoTarget, EntryRelayOutcome::DroppedNoTarget);
        bool const isCopy = record != nullptr;
        Endpoint const chosen = route.candidates.front().agent;
        if (!isCopy)
            requestSizes.recordFlow(context.segment.destination);
        if (!isCopy)
            record = insertFlow(context.hash, { context.segment.source, context.segment.destination }, context.now);
        if (record != nullptr) {
            record->isTimed = !isCopy && context.segment.acknowledgement == 0;
            if (isCopy && record->owner != chosen)
                record->previousOwner = record->owner;
            record->owner = chosen;
            record->isConfirmed = false;
            record->isInUse = false;
            record->isReturnable = !route.mayBeOpen;
            record->returns = 0;
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
        record->isReturnable = false;
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
            resetLostFlow({ {}, lost.segment, lost.hash, now, nowSeconds, {}, {} });
    }

    /// A reset is sent even for a closing segment: without an answer, the caller retransmits it many times. A caller
    /// that reset the flow itself needs none.
    void resetLostFlow(SegmentContext const& context) noexcept
    {
        if (context.segment.isReset)
            return;
        sendReset(context, EntryRelayOutcome::ResetLostFlow);
    }

    void sendReset(SegmentContext const& context, EntryRelayOutcome outcome) noexcept
    {
        notifyObserver(context, outcome, {}, 0);
        ++outcomes[static_cast<std::size_t>(outcome)];
        codec.writeReset(context.segment, resetBuffer);
        sender.send({ context.segment.source.address, options.callerPort }, std::span<std::byte const>(resetBuffer).first(codec.headerBytes()));
    }

    PacketVerdict processCallerDatagram(std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds, Duration maximumWait) noexcept
    {
        std::optional<Segment> const segment = codec.decode(datagram);
        if (!segment || segment->isReturned)
            return countOutcome(EntryRelayOutcome::DroppedMalformed);
        SegmentContext const context { datagram, *segment, hashRelayFlow({ segment->source, segment->destination }), now, nowSeconds, maximumWait, {} };
        if (!segment->isOpenRequest())
            return processLater(context);
        if (maximumWait >= openingLifetime(segment->acknowledgement))
            return drop(context, EntryRelayOutcome::DroppedStaleOpening);
        return processOpening(context);
    }

    // ---- messages of agents ----

    void recordOwner(Endpoint from, RelayFlow const& flow, TimePoint now)
    {
        std::uint64_t const hash = hashRelayFlow(flow);
        searches.recordFound(hash, now);
        FlowRecord* const record = insertFlow(hash, flow, now);
        if (record == nullptr)
            return;
        countEvacuated(*record, from);
        if (std::exchange(record->isTimed, false))
            resources.link().recordRoundTrip(now - record->opened);
        // An agent before it passed the opening on.
        if (record->isReturnable && record->owner != from)
            directory.recordColdDecline(record->owner, now);
        if (record->isReturnable)
            directory.recordColdAdmission(from);
        record->isReturnable = false;
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

    /// Offers an opening that an agent returned to the target with most room, or refuses the caller.
    void processDeclined(Endpoint from, DecodedRelayMessage const& decoded, TimePoint now, std::uint32_t nowSeconds)
    {
        directory.recordLoad(from, decoded.load, now);
        if (decoded.declineReason == OpeningReason::Cold)
            directory.recordColdDecline(from, now);
        std::optional<Segment> const segment = codec.decode(decoded.segment);
        if (!segment || !segment->isOpenRequest())
            return;
        SegmentContext const context { decoded.segment, *segment, hashRelayFlow({ segment->source, segment->destination }), now, nowSeconds, {}, openingReasonName(decoded.declineReason) };
        EntryRelayOutcome outcome = offerAgain(context, from, decoded.route);
        // A target that is still starting may admit a retransmission.
        bool const isStarting = decoded.load.isAssumed && decoded.declineReason != OpeningReason::Evacuated;
        if (outcome == EntryRelayOutcome::RefusedNoRoom && isStarting)
            outcome = EntryRelayOutcome::DroppedReturned;
        ++returnCounts[outcome][static_cast<std::size_t>(decoded.declineReason)];
        if (outcome == EntryRelayOutcome::RefusedNoRoom)
            sendReset(context, outcome);
        else if (outcome == EntryRelayOutcome::DroppedReturned)
            drop(context, outcome);
    }

    EntryRelayOutcome offerAgain(SegmentContext const& context, Endpoint from, RelayRoute const& declined)
    {
        FlowRecord* const record = flows.find(context.hash);
        TargetGroup* const service = serviceOf(context);
        // A later copy, or another one of the original, may have opened the flow meanwhile.
        bool const isCurrent = record != nullptr && record->isReturnable && context.now - record->opened < originalLifetime;
        if (!isCurrent || service == nullptr || context.segment.acknowledgement != 0)
            return EntryRelayOutcome::DroppedReturned;
        record->isReturnable = ++record->returns < maximumReturns;
        std::vector<Endpoint> offered { from, record->owner };
        for (RelayCandidate const& agent : declined.offeredAgents())
            offered.push_back(agent.agent);
        RelayRoute route;
        route.serviceHash = service->hash;
        route.latencyLimitTenthMs = declined.latencyLimitTenthMs;
        route.isLastOffer = true;
        directory.chooseLastOffers(*service, offered, context.now, route);
        if (route.candidateCount == 0)
            return EntryRelayOutcome::RefusedNoRoom;
        record->owner = route.candidates.front().agent;
        PacketVerdict const verdict = forward(context, route, EntryRelayOutcome::OfferedAgain);
        std::vector<std::byte> message(verdict.header.begin(), verdict.header.end());
        message.insert(message.end(), verdict.payload.begin(), verdict.payload.end());
        sender.send(verdict.to, message);
        return EntryRelayOutcome::OfferedAgain;
    }

    /// Counts a flow that opened after the evacuation of its target's data centre.
    void countEvacuated(FlowRecord const& record, Endpoint agent) noexcept
    {
        DirectoryTarget const* const target = directory.findTarget(agent);
        bool const isNew = !record.isInUse && record.opened > evacuationChanged;
        evacuatedFlows += target != nullptr && target->isEvacuated && isNew ? 1 : 0;
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
        case RelayMessageKind::OpeningDeclined:
            processDeclined(from, decoded, now, nowSeconds);
            return true;
        case RelayMessageKind::LoadReport:
            directory.recordLoad(from, decoded.load, now, decoded.serviceHash);
            return true;
        case RelayMessageKind::EntryStatus:
            resources.recordStatuses(decoded, now);
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
        // The flows of an entry that leaves the rotation move to other entries within a second, also the newest ones.
        FlowOwnerBatches batches(directory, resources.shouldLeaveRotation());
        flows.visitNextPart(ownerShareTicks, [&](FlowRecord& record) { batches.add(record, now); });
        batches.send(sender, { options.keys, nowSeconds });
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
    state_->resources.setConfiguration(configuration);
}

void EntryRelay::setView(ServiceView const& view, TimePoint now)
{
    std::vector<std::uint32_t> const newIndices = state_->directory.setView(view, now);
    state_->searches.renumberTargets(state_->directory.findOrAddService(view.service), newIndices);
}

void EntryRelay::setEvacuations(EvacuationSet const& evacuations, TimePoint now)
{
    if (state_->directory.setEvacuations(evacuations))
        state_->evacuationChanged = now;
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
    state_->beginTurn(now);
    LinkBudget& link = state_->resources.link();
    link.recordReceived(datagram.size());
    PacketVerdict const verdict = state_->processCallerDatagram(datagram, now, nowSeconds, maximumWait);
    if (verdict.to.isSet() && !verdict.isBulk)
        link.recordSent(verdict.header.size() + verdict.payload.size(), now);
    return verdict;
}

bool EntryRelay::processAgentMessage(Endpoint from, std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds) noexcept
{
    state_->beginTurn(now);
    state_->resources.link().recordReceived(datagram.size());
    DecodedRelayMessage const decoded = decodeRelayMessage(datagram, state_->options.keys, nowSeconds);
    if (decoded.error != DatagramError::None)
        return false;
    bool const isExpected = state_->processDecodedMessage(from, decoded, now, nowSeconds);
    for (Endpoint const agent : state_->directory.takeFirstReports())
        state_->searches.recordFirstReport(agent);
    state_->searches.sendQueries(now, { state_->options.keys, nowSeconds });
    state_->resetLostFlows(now, nowSeconds);
    return isExpected;
}

void EntryRelay::tick(TimePoint now, std::uint32_t nowSeconds)
{
    state_->beginTurn(now);
    state_->resources.tick(canServe(), now, { state_->options.keys, nowSeconds });
    state_->directory.tick(now);
    state_->subscribe(now, nowSeconds);
    state_->searches.tick(now, { state_->options.keys, nowSeconds });
    state_->resetLostFlows(now, nowSeconds);
    state_->sendFlowOwners(now, nowSeconds);
    state_->sweep(now);
}

void EntryRelay::setEntryPeers(std::vector<EntryPeer> peers)
{
    state_->resources.setPeers(std::move(peers));
}

void EntryRelay::recordProcess(Duration used, Duration lateness, TimePoint now) noexcept
{
    state_->resources.recordProcess(used, lateness, now);
}

bool EntryRelay::shouldLeaveRotation() const noexcept
{
    return state_->resources.shouldLeaveRotation();
}

BulkAction EntryRelay::decideBulk(std::size_t bytes, TimePoint now) noexcept
{
    return state_->resources.decideBulk(bytes, now);
}

BulkAction EntryRelay::releaseBulk(std::size_t bytes, Duration waited, TimePoint now) noexcept
{
    return state_->resources.releaseBulk(bytes, waited, now);
}

EntryResourceReport EntryRelay::resourceReport(TimePoint now) const noexcept
{
    return state_->resources.report(now);
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

void EntryRelay::visitReturnCounts(ReturnCountVisitor const& visit) const
{
    for (std::pair<EntryRelayOutcome const, std::array<std::uint64_t, openingReasonCount>> const& counts : state_->returnCounts) {
        for (std::size_t reason = 0; reason < openingReasonCount; ++reason)
            visit(counts.first, openingReasonName(static_cast<OpeningReason>(reason)), counts.second[reason]);
    }
}

std::uint64_t EntryRelay::evacuatedFlowCount() const noexcept
{
    return state_->evacuatedFlows;
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
