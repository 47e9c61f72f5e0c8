#include "plantaindrift/relay/AgentRelay.h"

#include "plantaindrift/base/Hash.h"
#include "relay/AdmissionLimit.h"
#include "relay/LoadSubscribers.h"
#include "relay/OwnerRecords.h"
#include "relay/RelayTimes.h"
#include "relay/ReturnableDeliveries.h"
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
        "answered", "refused", "refused_late", "reset", "dropped_service", "dropped_unknown", "dropped_late", "dropped_malformed", "dropped_stale"
    };

    // Entries renew owner records every 20 s.
    constexpr std::chrono::seconds ownerRecordLifetime { 50 };

    // Owner records of agents with different views can form a loop.
    constexpr std::uint8_t maximumForwards = 8;
    constexpr std::uint8_t maximumOpeningForwards = 3;

    // Minimum gain for which a segment is forwarded: both loads may have changed since they were sent.
    constexpr double minimumForwardGainShare = 0.5;
    constexpr double minimumForwardGainTenthMs = 30;

    // After a target returns an opening segment, its agent admits no flows for about the time of one request.
    constexpr std::chrono::milliseconds admissionPause { 50 };

    // A caller acknowledges the answer to its opening segment within this time, or gives up.
    constexpr std::chrono::seconds openingOwnerLifetime { 3 };

    // Announcements of a target that still serves may be late; segments of its flows are more frequent.
    constexpr std::chrono::seconds targetSilenceTimeout { 3 };

    // For this long after a start, entries take the restart of most machines of a service for a power loss.
    constexpr std::chrono::seconds restartPeriod { 10 };

    // A target returns a segment within milliseconds.
    constexpr std::uint32_t unresponsiveDeliveries = 3;
    constexpr std::chrono::milliseconds unresponsiveTimeout { 500 };

    struct Peer {
        std::uint64_t nameHash { 0 };
        Endpoint agent;
        bool draining { false };
        bool dead { false };
    };

    // A segment being processed.
    struct SegmentContext {
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
    {
    }

    AgentRelayOptions options;
    SegmentCodec const& codec;
    RelaySender& sender;
    RelayObserver& observer;
    ServiceHash service {};
    TimePoint started;
    TargetState target;
    bool isStopping { false };
    TimePoint lastTargetSegment; ///< time of the last segment that the target sent or returned
    std::uint32_t unansweredDeliveries { 0 }; ///< deliveries since the target's last segment
    TimePoint firstUnanswered; ///< time of the first of them
    bool hasReturnedOpening { false }; ///< the target returned an opening segment before its first announcement
    TimePoint admissionPausedUntil; ///< the target returned an opening segment: it is full or still starting
    TimePoint currentTime; ///< time of the last call
    LateShare lateShare;
    TargetFlows flows;
    OwnerRecords ownerRecords;
    ReturnableDeliveries returnableDeliveries;
    LoadSubscribers subscribers;
    std::vector<Peer> peers; ///< all other targets of the service
    TimePoint lastSweep;
    std::array<std::uint64_t, agentRelayOutcomeCount> outcomes {};
    std::array<std::byte, maximumRelayHeaderBytes + 64> header {};
    std::array<std::byte, 2048> queryBuffer {};

    [[nodiscard]] bool isAccepting() const noexcept
    {
        bool const isAdmissionPaused = currentTime < admissionPausedUntil || (!target.isAnnounced && hasReturnedOpening);
        return target.isAccepting && !isStopping && !isAdmissionPaused && flows.size() < target.maximumConnections;
    }

    /// True if the target has not announced itself since this process started and does not react to segments. A
    /// running target answers or returns each of them.
    [[nodiscard]] bool isTargetUnresponsive(TimePoint now) const noexcept
    {
        return !target.isAnnounced && unansweredDeliveries >= unresponsiveDeliveries && now - firstUnanswered >= unresponsiveTimeout;
    }

    [[nodiscard]] TargetLoad load() const noexcept
    {
        TargetLoad load;
        load.isAccepting = isAccepting();
        load.slots = std::max<std::uint16_t>(target.slots, 1);
        load.activeRequests = static_cast<std::uint16_t>(std::min<std::size_t>(flows.requests().busy(), std::numeric_limits<std::uint16_t>::max()));
        load.openFlows = static_cast<std::uint16_t>(std::min<std::size_t>(flows.openCount(), std::numeric_limits<std::uint16_t>::max()));
        load.serviceTimeTenthMs = flows.requests().serviceTimeTenthMs();
        load.failedPercent = flows.requests().failedPercent();
        // Queries reach a running agent, so that only its last report has to say this.
        load.hasEnded = isStopping && (target.hasLeft || isTargetUnresponsive(currentTime));
        load.isMachineRestarted = target.isStartObserved && currentTime - started < restartPeriod;
        load.isWithdrawn = target.isAnnounced && !target.isAccepting;
        load.isAssumed = !target.isAnnounced;
        return load;
    }

    PacketVerdict countOutcome(AgentRelayOutcome outcome) noexcept
    {
        ++outcomes[static_cast<std::size_t>(outcome)];
        return {};
    }

    /// Notifies the observer of a decision. For searches by other agents, the report that this target does not hold
    /// the flow is left out: there are as many such reports as targets, and the search is reported itself.
    void notifyObserver(SegmentContext const& context, AgentRelayOutcome outcome, Endpoint to) noexcept
    {
        bool const isFrequent = outcome == AgentRelayOutcome::ForwardedUnverified || outcome == AgentRelayOutcome::DroppedUnknownFlow;
        if (context.route.searchMode == RelaySearchMode::ReportOnly && isFrequent)
            return;
        RelayDecision decision;
        decision.outcome = agentRelayOutcomeName(outcome);
        decision.flow = context.flow;
        decision.openAttempt = context.segment.isOpenRequest() ? context.segment.acknowledgement : 0;
        decision.destination = to;
        decision.hops = context.route.hops;
        decision.load = load();
        decision.costTenthMs = targetCost(decision.load, 0);
        observer.onDecision(decision);
    }

    PacketVerdict drop(SegmentContext const& context, AgentRelayOutcome outcome) noexcept
    {
        notifyObserver(context, outcome, {});
        return countOutcome(outcome);
    }

    [[nodiscard]] std::span<std::byte const> headerSpan(std::size_t bytes) const noexcept { return std::span<std::byte const>(header).first(bytes); }

    // ---- verdicts ----

    /// Delivers the segment to the target. With a token, the target's return of the segment can be matched to its
    /// route.
    PacketVerdict deliver(SegmentContext const& context, AgentRelayOutcome outcome, bool isReturnable) noexcept
    {
        ++outcomes[static_cast<std::size_t>(outcome)];
        if (unansweredDeliveries++ == 0)
            firstUnanswered = context.now;
        if (outcome != AgentRelayOutcome::Delivered)
            notifyObserver(context, outcome, options.targetEndpoint);
        std::uint32_t const token = isReturnable ? returnableDeliveries.add(context.hash, context.route, context.now) : 0;
        codec.copyHeader(context.datagram, token, header);
        return { options.targetEndpoint, headerSpan(codec.headerBytes()), context.datagram.subspan(codec.headerBytes()) };
    }

    PacketVerdict forward(SegmentContext& context, Endpoint to, AgentRelayOutcome outcome) noexcept
    {
        if (context.route.hops >= maximumForwards)
            return drop(context, AgentRelayOutcome::DroppedUnknownFlow);
        ++outcomes[static_cast<std::size_t>(outcome)];
        notifyObserver(context, outcome, to);
        ++context.route.hops;
        // Clears the flag of a segment that the target returned.
        std::array<std::byte, 64> segmentHeader;
        codec.copyHeader(context.datagram, 0, segmentHeader);
        std::span<std::byte const> const head = std::span<std::byte const>(segmentHeader).first(codec.headerBytes());
        std::span<std::byte const> const data = context.datagram.subspan(head.size());
        std::size_t const bytes = writeRelayPacket(context.route, head, data, { options.keys, context.nowSeconds }, header);
        return { to, headerSpan(bytes), data };
    }

    PacketVerdict resetCaller(SegmentContext const& context, AgentRelayOutcome outcome) noexcept
    {
        ++outcomes[static_cast<std::size_t>(outcome)];
        notifyObserver(context, outcome, context.flow.caller);
        codec.writeReset(context.segment, header);
        return { { context.flow.caller.address, options.callerPort }, headerSpan(codec.headerBytes()), {} };
    }

    void notifyEntry(SegmentContext const& context) noexcept
    {
        if (!context.route.entry.isSet())
            return;
        std::array<std::byte, maximumRelayHeaderBytes> message;
        std::size_t const bytes = writeRelayOwnerNotice(context.flow, load(), { options.keys, context.nowSeconds }, message);
        sender.send(context.route.entry, std::span<std::byte const>(message).first(bytes));
    }

    // ---- first segments ----

    PacketVerdict processOpening(SegmentContext& context) noexcept
    {
        TargetFlow* const known = flows.find(context.hash);
        if (known != nullptr && !known->isOver())
            return admit(context);
        RelayCandidate* const cheaper = findCheaperCandidate(context);
        if (cheaper != nullptr)
            return forwardOpening(context, *cheaper);
        bool const isOverLimit = !isWithinLimit(load(), context.route.latencyLimitTenthMs, context.segment.acknowledgement);
        if (context.segment.acknowledgement == 0)
            lateShare.record(isOverLimit);
        if (isOverLimit)
            return refuseOverLimit(context);
        if (isAccepting())
            return admit(context);
        return forwardToAnyPeer(context);
    }

    /// No target is expected to answer in time. A retransmission is not refused, because an earlier copy may have
    /// opened the flow. A dropped original is followed by retransmissions.
    PacketVerdict refuseOverLimit(SegmentContext const& context) noexcept
    {
        if (context.segment.acknowledgement != 0 || !lateShare.isRetryUseful())
            return drop(context, AgentRelayOutcome::DroppedOverLimit);
        return resetCaller(context, AgentRelayOutcome::RefusedOverLimit);
    }

    RelayCandidate* findCheaperCandidate(SegmentContext& context) const noexcept
    {
        if (context.route.candidateCount == 0 || context.route.hops >= maximumOpeningForwards)
            return nullptr;
        std::array<RelayCandidate, maximumRelayCandidates>::iterator const begin = context.route.candidates.begin();
        std::array<RelayCandidate, maximumRelayCandidates>::iterator const cheapest = std::min_element(begin, begin + context.route.candidateCount, [](RelayCandidate const& left, RelayCandidate const& right) { return left.costTenthMs < right.costTenthMs; });
        if (!isAccepting())
            return &*cheapest;
        double const own = targetCost(load(), 0);
        double const service = std::max<double>(flows.requests().serviceTimeTenthMs(), minimumForwardGainTenthMs);
        bool const isWorthForwarding = own > cheapest->costTenthMs + minimumForwardGainTenthMs + minimumForwardGainShare * service;
        return isWorthForwarding ? &*cheapest : nullptr;
    }

    PacketVerdict forwardOpening(SegmentContext& context, RelayCandidate& candidate) noexcept
    {
        Endpoint const to = candidate.agent;
        std::swap(candidate, context.route.candidates[context.route.candidateCount - 1]);
        --context.route.candidateCount;
        ownerRecords.record(context.hash, to, context.now + openingOwnerLifetime);
        return forward(context, to, AgentRelayOutcome::ForwardedOpening);
    }

    PacketVerdict forwardToAnyPeer(SegmentContext& context) noexcept
    {
        if (context.route.hops >= maximumOpeningForwards)
            return refuse(context);
        Peer const* chosen = nullptr;
        std::uint64_t best = 0;
        for (Peer const& peer : peers) {
            std::uint64_t const score = rankScore(peer.nameHash, context.hash + context.route.hops);
            if (!peer.draining && !peer.dead && (chosen == nullptr || score > best)) {
                chosen = &peer;
                best = score;
            }
        }
        if (chosen == nullptr)
            return refuse(context);
        ownerRecords.record(context.hash, chosen->agent, context.now + openingOwnerLifetime);
        return forward(context, chosen->agent, AgentRelayOutcome::ForwardedOpening);
    }

    PacketVerdict refuse(SegmentContext const& context) noexcept
    {
        // An earlier copy may have opened the flow at another target, and a reset would break it. A target that is
        // still starting may admit a retransmission.
        if (context.segment.acknowledgement != 0 || !target.isAnnounced)
            return drop(context, AgentRelayOutcome::DroppedUnknownFlow);
        return resetCaller(context, AgentRelayOutcome::Refused);
    }

    PacketVerdict admit(SegmentContext const& context) noexcept
    {
        TargetFlow* record = flows.find(context.hash);
        if (record != nullptr && record->isOver()) {
            flows.erase(*record);
            record = nullptr;
        }
        if (record == nullptr) {
            record = flows.insert(context.hash);
            if (record == nullptr)
                return drop(context, AgentRelayOutcome::DroppedUnknownFlow);
        }
        record->lastSegment = context.now;
        record->entry = context.route.entry;
        notifyEntry(context);
        return deliver(context, AgentRelayOutcome::Admitted, true);
    }

    // ---- later segments ----

    PacketVerdict processLater(SegmentContext& context) noexcept
    {
        TargetFlow* const record = flows.find(context.hash);
        if (record == nullptr)
            return processUnknownFlow(context);
        if (record->isLost)
            return context.segment.isReset ? drop(context, AgentRelayOutcome::DroppedUnknownFlow) : resetCaller(context, AgentRelayOutcome::ResetLostFlow);
        if (!record->isEstablished && !record->isAcknowledgedBy(context.segment))
            return processOtherOwner(context);
        record->isEstablished = true;
        flows.trackRequest(*record, context.segment, context.now);
        // An entry that names another candidate is not certain of the owner; one that restarted has no record of it.
        bool const isEntryCertain = context.route.searchMode == RelaySearchMode::OwnerKnown && context.route.hops == 0 && context.route.candidateCount == 0;
        bool const isOwnerKnownToEntry = isEntryCertain && record->entry == context.route.entry;
        if (!isOwnerKnownToEntry)
            notifyEntry(context);
        record->entry = context.route.entry;
        return deliver(context, AgentRelayOutcome::Delivered, false);
    }

    PacketVerdict processOtherOwner(SegmentContext& context) noexcept
    {
        if (context.route.candidateCount == 0)
            return processUnknownFlow(context);
        Endpoint const other = context.route.candidates.front().agent;
        correctEntry(context);
        context.route.candidateCount = 0;
        return forward(context, other, AgentRelayOutcome::ForwardedToOwner);
    }

    PacketVerdict processUnknownFlow(SegmentContext& context) noexcept
    {
        std::optional<Endpoint> const recordedOwner = ownerRecords.find(context.hash, context.now);
        bool const isElsewhere = recordedOwner && *recordedOwner != options.ownEndpoint;
        if (isElsewhere && context.route.searchMode != RelaySearchMode::ReportOnly) {
            correctEntry(context);
            context.route.candidateCount = 0;
            return forward(context, *recordedOwner, AgentRelayOutcome::ForwardedToOwner);
        }
        bool const isFlowSetKnown = target.isStartObserved && context.route.searchMode == RelaySearchMode::ReportOnly;
        bool const mayHoldFlow = mayTargetHoldOldFlows(context.now) && !isFlowSetKnown;
        return mayHoldFlow ? deliver(context, AgentRelayOutcome::ForwardedUnverified, true) : reportNotFound(context);
    }

    /// After a restart of this process, only the target knows its older flows. After a power loss both are new, and
    /// every lost flow is searched for at all agents.
    [[nodiscard]] bool mayTargetHoldOldFlows(TimePoint now) const noexcept
    {
        bool const isRecentlyStarted = now - started < platformFlowTimeout;
        // A target that is gone returns nothing, and the search would wait for it.
        bool const isGone = target.isGone && now - lastTargetSegment >= targetSilenceTimeout;
        return isRecentlyStarted && !isGone && !isTargetUnresponsive(now);
    }

    /// Replies which of the flows the target may hold; their segments are to be sent here.
    void replyToQuery(DecodedRelayMessage const& decoded, Endpoint entry, TimePoint now, std::uint32_t nowSeconds)
    {
        std::vector<std::uint64_t> const queried = decoded.queriedFlows();
        bool const isAnyPossible = mayTargetHoldOldFlows(now) && !target.isStartObserved;
        std::vector<std::uint8_t> possible;
        for (std::size_t index = 0; index < queried.size(); ++index) {
            TargetFlow const* const record = flows.find(queried[index]);
            if (record != nullptr ? !record->isLost : isAnyPossible)
                possible.push_back(static_cast<std::uint8_t>(index));
        }
        std::array<std::byte, maximumRelayMessageBytes> message;
        std::size_t const bytes = writeRelayFlowQueryReply(service, decoded.queryNumber, possible, { options.keys, nowSeconds }, message);
        sender.send(entry, std::span<std::byte const>(message).first(bytes));
    }

    /// Forwards the segment to agents whose targets may hold the flow. Agents do this for entries because they have
    /// faster links.
    void forwardToAgents(SegmentContext& context, std::span<Endpoint const> agents) noexcept
    {
        ++outcomes[static_cast<std::size_t>(AgentRelayOutcome::SearchStarted)];
        notifyObserver(context, AgentRelayOutcome::SearchStarted, {});
        context.route.candidateCount = 0;
        context.route.searchMode = RelaySearchMode::ReportOnly;
        std::size_t const header = writeRelayPacket(context.route, context.datagram, { options.keys, context.nowSeconds }, queryBuffer);
        std::size_t const data = std::min(context.datagram.size(), queryBuffer.size() - header);
        std::copy_n(context.datagram.begin(), data, queryBuffer.begin() + static_cast<std::ptrdiff_t>(header));
        for (Endpoint const agent : agents) {
            if (agent != options.ownEndpoint)
                sender.send(agent, std::span<std::byte const>(queryBuffer).first(header + data));
        }
    }

    /// Reports to the entry that the flow is not found here; the entry resets the flow if no target holds it.
    PacketVerdict reportNotFound(SegmentContext const& context) noexcept
    {
        if (context.route.searchMode != RelaySearchMode::FollowOnly)
            sendNotFound(context);
        return drop(context, AgentRelayOutcome::DroppedUnknownFlow);
    }

    /// Reports to an entry that takes this agent for the owner that it is not. A report of the agent to which the segment
    /// is forwarded would not correct the entry, because it takes no notice of agents that it did not choose.
    void correctEntry(SegmentContext const& context) noexcept
    {
        if (context.route.searchMode == RelaySearchMode::OwnerKnown && context.route.hops == 0)
            sendNotFound(context);
    }

    void sendNotFound(SegmentContext const& context) noexcept
    {
        if (!context.route.entry.isSet())
            return;
        std::array<std::byte, maximumRelayHeaderBytes> message;
        std::size_t const bytes = writeRelayFlowNotFound(service, context.flow, { options.keys, context.nowSeconds }, message);
        sender.send(context.route.entry, std::span<std::byte const>(message).first(bytes));
    }

    // ---- segments of the target ----

    PacketVerdict processAnswer(SegmentContext const& context) noexcept
    {
        TargetFlow* record = flows.find(context.hash);
        // A target may answer data of a flow that it does not hold with a reset; the flow may be open at another
        // target.
        if (context.segment.isReset && (record == nullptr || !record->isEstablished))
            return countOutcome(AgentRelayOutcome::DroppedUnknownFlow);
        if (record == nullptr) {
            // The flow is older than this process.
            record = flows.insert(context.hash);
            if (record != nullptr)
                record->isEstablished = !context.segment.isOpening;
        }
        if (record != nullptr)
            flows.trackAnswer(*record, context.segment, context.now, target.slots);
        ++outcomes[static_cast<std::size_t>(AgentRelayOutcome::ForwardedAnswer)];
        return { { context.flow.caller.address, options.callerPort }, {}, context.datagram };
    }

    PacketVerdict processReturned(SegmentContext& context) noexcept
    {
        TargetFlow* const record = flows.find(context.hash);
        ReturnableDelivery const* const delivery = returnableDeliveries.find(context.segment.returnToken, context.hash);
        if (delivery != nullptr)
            context.route = delivery->route;
        else
            context.route.serviceHash = service;
        if (context.segment.isOpenRequest()) {
            if (record != nullptr && !record->isEstablished)
                flows.erase(*record);
            pauseAdmission(context);
            if (delivery != nullptr && context.now - delivery->delivered >= openingLifetime(context.segment.acknowledgement))
                return drop(context, AgentRelayOutcome::DroppedStaleOpening);
            if (context.route.candidateCount > 0 && context.route.hops < maximumOpeningForwards)
                return forwardOpening(context, context.route.candidates.front());
            return forwardToAnyPeer(context);
        }
        if (record != nullptr && record->isEstablished)
            return handleLostFlow(*record, context);
        if (record != nullptr)
            flows.erase(*record);
        return reportNotFound(context);
    }

    void pauseAdmission(SegmentContext const& context) noexcept
    {
        bool const wasAccepting = isAccepting();
        hasReturnedOpening = !target.isAnnounced;
        admissionPausedUntil = context.now + admissionPause;
        if (wasAccepting)
            sendLoadReportToAll(context.now, context.nowSeconds);
    }

    /// The target no longer holds an open flow: it restarted, or discarded the flow.
    PacketVerdict handleLostFlow(TargetFlow& record, SegmentContext const& context) noexcept
    {
        if (record.isClosing || context.segment.isClosing || context.segment.isReset) {
            flows.erase(record);
            return drop(context, AgentRelayOutcome::DroppedUnknownFlow);
        }
        flows.markLost(record);
        return resetCaller(context, AgentRelayOutcome::ResetLostFlow);
    }

    // ---- messages ----

    void renewSubscription(Endpoint from, std::chrono::milliseconds interval, TimePoint now, std::uint32_t nowSeconds)
    {
        if (subscribers.renew(from, interval, now))
            sendLoadReport(from, nowSeconds);
    }

    void sendLoadReport(Endpoint to, std::uint32_t nowSeconds) noexcept
    {
        std::array<std::byte, maximumRelayHeaderBytes> message;
        std::size_t const bytes = writeRelayLoadReport(service, load(), { options.keys, nowSeconds }, message);
        sender.send(to, std::span<std::byte const>(message).first(bytes));
    }

    void sendLoadReportToAll(TimePoint now, std::uint32_t nowSeconds) noexcept
    {
        for (Endpoint const entry : subscribers.collectAll(now))
            sendLoadReport(entry, nowSeconds);
    }

    void recordOwners(DecodedRelayMessage const& decoded, TimePoint now)
    {
        if (decoded.serviceHash != service)
            return;
        for (std::size_t index = 0; index < decoded.flowOwnerCount(); ++index) {
            OwnedFlow const owned = decoded.flowOwnerAt(index);
            ownerRecords.record(hashRelayFlow(owned.flow), owned.owner, now + ownerRecordLifetime);
        }
    }

    // ---- periodic steps ----

    void sendDueLoadReports(TimePoint now, std::uint32_t nowSeconds)
    {
        for (Endpoint const entry : subscribers.collectDue(now))
            sendLoadReport(entry, nowSeconds);
    }

    void sweep(TimePoint now)
    {
        constexpr std::chrono::seconds sweepInterval { 1 };
        if (now - lastSweep < sweepInterval)
            return;
        lastSweep = now;
        flows.sweep(now);
        ownerRecords.sweep(now);
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
        state_->hasReturnedOpening = false;
    state_->target = target;
    state_->flows.requests().setWarmUpEnd(now + target.remainingWarmUp);
}

void AgentRelay::handleTargetReplacement()
{
    state_->flows.markAllLost();
}

void AgentRelay::stopAccepting(TimePoint now, std::uint32_t nowSeconds)
{
    state_->currentTime = now;
    state_->isStopping = true;
    state_->sendLoadReportToAll(now, nowSeconds);
}

PacketVerdict AgentRelay::processRelayDatagram(std::span<std::byte const> datagram, Endpoint from, TimePoint now, std::uint32_t nowSeconds, Duration maximumWait) noexcept
{
    state_->currentTime = now;
    DecodedRelayMessage const decoded = decodeRelayMessage(datagram, state_->options.keys, nowSeconds);
    if (decoded.error != DatagramError::None)
        return state_->countOutcome(AgentRelayOutcome::DroppedMalformed);
    if (decoded.kind == RelayMessageKind::LoadSubscription) {
        state_->renewSubscription(from, decoded.loadInterval, now, nowSeconds);
        return {};
    }
    if (decoded.kind == RelayMessageKind::FlowQuery) {
        if (decoded.serviceHash != state_->service)
            return state_->countOutcome(AgentRelayOutcome::DroppedWrongService);
        state_->replyToQuery(decoded, from, now, nowSeconds);
        return {};
    }
    if (decoded.kind == RelayMessageKind::FlowOwners) {
        state_->recordOwners(decoded, now);
        return {};
    }
    bool const isSearchRequest = decoded.kind == RelayMessageKind::SearchRequest;
    std::optional<Segment> const segment = isSearchRequest || decoded.kind == RelayMessageKind::Packet ? state_->codec.decode(decoded.segment) : std::nullopt;
    if (!segment || segment->isReturned)
        return state_->countOutcome(AgentRelayOutcome::DroppedMalformed);
    if (decoded.route.serviceHash != state_->service)
        return state_->countOutcome(AgentRelayOutcome::DroppedWrongService);
    RelayFlow const flow { segment->source, segment->destination };
    SegmentContext context { decoded.segment, *segment, flow, hashRelayFlow(flow), decoded.route, now, nowSeconds };
    if (isSearchRequest && state_->flows.find(context.hash) == nullptr)
        state_->forwardToAgents(context, decoded.searchedAgents());
    if (!segment->isOpenRequest())
        return state_->processLater(context);
    if (maximumWait >= openingLifetime(segment->acknowledgement))
        return state_->drop(context, AgentRelayOutcome::DroppedStaleOpening);
    return state_->processOpening(context);
}

PacketVerdict AgentRelay::processTargetDatagram(std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds) noexcept
{
    state_->currentTime = now;
    std::optional<Segment> const segment = state_->codec.decode(datagram);
    if (!segment)
        return state_->countOutcome(AgentRelayOutcome::DroppedMalformed);
    state_->lastTargetSegment = now;
    state_->unansweredDeliveries = 0;
    RelayFlow const flow = segment->isReturned ? RelayFlow { segment->source, segment->destination } : RelayFlow { segment->destination, segment->source };
    SegmentContext context { datagram, *segment, flow, hashRelayFlow(flow), {}, now, nowSeconds };
    return segment->isReturned ? state_->processReturned(context) : state_->processAnswer(context);
}

void AgentRelay::tick(TimePoint now, std::uint32_t nowSeconds)
{
    state_->currentTime = now;
    state_->flows.requests().tick(now);
    state_->sendDueLoadReports(now, nowSeconds);
    state_->sweep(now);
}

AgentRelay::TargetActivity AgentRelay::targetActivity(TimePoint now) const noexcept
{
    if (state_->isTargetUnresponsive(now))
        return TargetActivity::Unresponsive;
    bool const isRunning = state_->target.isAnnounced || state_->lastTargetSegment != TimePoint {};
    return isRunning ? TargetActivity::Running : TargetActivity::Unknown;
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
