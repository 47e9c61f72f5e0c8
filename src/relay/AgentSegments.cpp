#include "balancing/TargetCost.h"
#include "relay/AgentRelayState.h"
#include "relay/RelayTimes.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <vector>

namespace plantaindrift {

namespace {

    // Owner records of agents with different views can form a loop.
    constexpr std::uint8_t maximumForwards = 8;

    // After a target returns an opening segment, its agent admits no flows for about the time of one request.
    constexpr std::chrono::milliseconds admissionPause { 50 };

    // Announcements of a target that still serves may be late; segments of its flows are more frequent.
    constexpr std::chrono::seconds targetSilenceTimeout { 3 };

    // A target that this process has not heard yet may be frozen or cut off, for up to 6 s.
    constexpr std::chrono::seconds unheardTargetTimeout { 7 };

} // namespace

// ---- verdicts ----

PacketVerdict AgentRelay::State::deliver(SegmentContext const& context, AgentRelayOutcome outcome, bool isReturnable) noexcept
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

PacketVerdict AgentRelay::State::forward(SegmentContext& context, Endpoint to, AgentRelayOutcome outcome) noexcept
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

PacketVerdict AgentRelay::State::resetCaller(SegmentContext const& context, AgentRelayOutcome outcome) noexcept
{
    ++outcomes[static_cast<std::size_t>(outcome)];
    notifyObserver(context, outcome, context.flow.caller);
    codec.writeReset(context.segment, header);
    return { { context.flow.caller.address, options.callerPort }, headerSpan(codec.headerBytes()), {} };
}

void AgentRelay::State::notifyEntry(SegmentContext const& context) noexcept
{
    if (!context.route.entry.isSet())
        return;
    std::array<std::byte, maximumRelayHeaderBytes> message;
    std::size_t const bytes = writeRelayOwnerNotice(context.flow, load(), { options.keys, context.nowSeconds }, message);
    sender.send(context.route.entry, std::span<std::byte const>(message).first(bytes));
}

// ---- later segments ----

PacketVerdict AgentRelay::State::processLater(SegmentContext& context) noexcept
{
    TargetFlow* const record = flows.find(context.hash);
    if (record == nullptr)
        return processUnknownFlow(context);
    if (record->isLost)
        return context.segment.isReset ? drop(context, AgentRelayOutcome::DroppedUnknownFlow) : resetCaller(context, AgentRelayOutcome::ResetLostFlow);
    if (!record->isEstablished && !record->isAcknowledgedBy(context.segment))
        return processOtherOwner(context);
    record->isEstablished = true;
    bool const isLaterRequest = record->hasRequest && !record->hasPendingRequest;
    flows.trackRequest(*record, context.segment, context.now);
    // The opening stands for the first request of its flow.
    if (isLaterRequest && record->hasPendingRequest)
        coldLimit.recordDelivery(context.now);
    // An entry that names another candidate is not certain of the owner; one that restarted has no record of it.
    bool const isEntryCertain = context.route.searchMode == RelaySearchMode::OwnerKnown && context.route.hops == 0 && context.route.candidateCount == 0;
    bool const isOwnerKnownToEntry = isEntryCertain && record->entry == context.route.entry;
    if (!isOwnerKnownToEntry)
        notifyEntry(context);
    record->entry = context.route.entry;
    return deliver(context, AgentRelayOutcome::Delivered, false);
}

PacketVerdict AgentRelay::State::processOtherOwner(SegmentContext& context) noexcept
{
    if (context.route.candidateCount == 0)
        return processUnknownFlow(context);
    Endpoint const other = context.route.candidates.front().agent;
    correctEntry(context);
    context.route.candidateCount = 0;
    return forward(context, other, AgentRelayOutcome::ForwardedToOwner);
}

PacketVerdict AgentRelay::State::processUnknownFlow(SegmentContext& context) noexcept
{
    std::optional<Endpoint> const recordedOwner = ownerRecords.find(context.hash, context.now);
    bool const isElsewhere = recordedOwner && *recordedOwner != options.ownEndpoint;
    if (isElsewhere && context.route.searchMode != RelaySearchMode::ReportOnly) {
        correctEntry(context);
        context.route.candidateCount = 0;
        return forward(context, *recordedOwner, AgentRelayOutcome::ForwardedToOwner);
    }
    if (context.route.searchMode == RelaySearchMode::RecordedOwner && context.route.hops == 0)
        return drop(context, AgentRelayOutcome::DroppedUnknownFlow);
    bool const isFlowSetKnown = target.isStartObserved && context.route.searchMode == RelaySearchMode::ReportOnly;
    bool const mayHoldFlow = mayTargetHoldOldFlows(context.now) && !isFlowSetKnown;
    return mayHoldFlow ? deliver(context, AgentRelayOutcome::ForwardedUnverified, true) : reportNotFound(context);
}

bool AgentRelay::State::mayTargetHoldOldFlows(TimePoint now) const noexcept
{
    bool const isRecentlyStarted = now - started < platformFlowTimeout;
    // A target that is gone returns nothing, and the search would wait for it.
    Duration const silence = isTargetHeard() ? now - lastTargetSegment : now - started;
    bool const isGone = target.isGone && silence >= (isTargetHeard() ? targetSilenceTimeout : unheardTargetTimeout);
    return isRecentlyStarted && !isGone && !isTargetUnresponsive(now);
}

std::uint8_t AgentRelay::State::doubtFlag() const noexcept
{
    if (target.isGone && !isTargetHeard())
        return unheardTargetFlag;
    return target.hasStartedWithAgent ? improbableFlowFlag : std::uint8_t { 0 };
}

void AgentRelay::State::replyToQuery(DecodedRelayMessage const& decoded, Endpoint entry, TimePoint now, std::uint32_t nowSeconds)
{
    std::vector<std::uint64_t> const queried = decoded.queriedFlows();
    bool const isAnyPossible = mayTargetHoldOldFlows(now) && !target.isStartObserved;
    std::vector<std::uint8_t> possible;
    for (std::size_t index = 0; index < queried.size(); ++index) {
        TargetFlow const* const record = flows.find(queried[index]);
        std::uint8_t const listed = static_cast<std::uint8_t>(index);
        if (record != nullptr && !record->isLost)
            possible.push_back(listed | heldFlowFlag);
        else if (record == nullptr && isAnyPossible)
            possible.push_back(listed | doubtFlag());
    }
    std::array<std::byte, maximumRelayMessageBytes> message;
    std::size_t const bytes = writeRelayFlowQueryReply(service, decoded.queryNumber, possible, { options.keys, nowSeconds }, message);
    sender.send(entry, std::span<std::byte const>(message).first(bytes));
}

void AgentRelay::State::forwardToAgents(SegmentContext& context, std::span<Endpoint const> agents) noexcept
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

PacketVerdict AgentRelay::State::reportNotFound(SegmentContext const& context) noexcept
{
    if (context.route.searchMode != RelaySearchMode::FollowOnly)
        sendNotFound(context);
    return drop(context, AgentRelayOutcome::DroppedUnknownFlow);
}

void AgentRelay::State::correctEntry(SegmentContext const& context) noexcept
{
    if (context.route.searchMode == RelaySearchMode::OwnerKnown && context.route.hops == 0)
        sendNotFound(context);
}

void AgentRelay::State::sendNotFound(SegmentContext const& context) noexcept
{
    if (!context.route.entry.isSet())
        return;
    std::array<std::byte, maximumRelayHeaderBytes> message;
    std::size_t const bytes = writeRelayFlowNotFound(service, context.flow, { options.keys, context.nowSeconds }, message);
    sender.send(context.route.entry, std::span<std::byte const>(message).first(bytes));
}

// ---- segments of the target ----

PacketVerdict AgentRelay::State::processAnswer(SegmentContext const& context) noexcept
{
    TargetFlow* record = flows.find(context.hash);
    // A target may answer data of a flow that it does not hold with a reset; the flow may be open at another
    // target.
    if (context.segment.isReset && (record == nullptr || !record->isEstablished))
        return countOutcome(AgentRelayOutcome::DroppedUnknownFlow);
    if (record == nullptr) {
        // The flow is older than this process.
        record = flows.insert(context.hash);
        if (record != nullptr) {
            record->isEstablished = !context.segment.isOpening;
            record->opened = context.now;
        }
    }
    if (record != nullptr)
        flows.trackAnswer(*record, context.segment, context.now, target.slots);
    ++outcomes[static_cast<std::size_t>(AgentRelayOutcome::ForwardedAnswer)];
    return { { context.flow.caller.address, options.callerPort }, {}, context.datagram };
}

PacketVerdict AgentRelay::State::processReturned(SegmentContext& context) noexcept
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
        removeEvacuatedCandidates(context.route);
        bool const isLate = delivery == nullptr || context.now - delivery->delivered >= originalLifetime;
        context.mayBeOpen = context.segment.acknowledgement != 0 || context.route.mayBeOpen || isLate;
        if (delivery != nullptr && context.now - delivery->delivered >= openingLifetime(context.segment.acknowledgement))
            return drop(context, AgentRelayOutcome::DroppedStaleOpening);
        return declineReturned(context);
    }
    if (record != nullptr && record->isEstablished)
        return handleLostFlow(*record, context);
    if (record != nullptr)
        flows.erase(*record);
    return reportNotFound(context);
}

void AgentRelay::State::pauseAdmission(SegmentContext const& context) noexcept
{
    bool const wasAccepting = isAccepting();
    hasReturnedOpening = !target.isAnnounced;
    admissionPausedUntil = context.now + admissionPause;
    if (wasAccepting)
        sendLoadReportToAll(context.now, context.nowSeconds);
}

PacketVerdict AgentRelay::State::handleLostFlow(TargetFlow& record, SegmentContext const& context) noexcept
{
    if (record.isClosing || context.segment.isClosing || context.segment.isReset) {
        flows.erase(record);
        return drop(context, AgentRelayOutcome::DroppedUnknownFlow);
    }
    flows.markLost(record);
    return resetCaller(context, AgentRelayOutcome::ResetLostFlow);
}

} // namespace plantaindrift
