#include "balancing/TargetCost.h"
#include "relay/AgentRelayState.h"
#include "relay/RelayTimes.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace plantaindrift {

namespace {

    // A caller acknowledges the answer to its opening segment within this time, or gives up.
    constexpr std::chrono::seconds openingOwnerLifetime { 3 };

    std::span<RelayCandidate const> offeredAndCandidates(RelayRoute const& route) noexcept
    {
        return std::span(route.candidates).first(std::size_t { route.candidateCount } + route.offeredCount);
    }

} // namespace

OpeningDecision AgentRelay::State::decideOpening(SegmentContext& context) noexcept
{
    TargetFlow const* const known = flows.find(context.hash);
    bool const isHeld = known != nullptr && !known->isOver();
    removeEvacuatedCandidates(context.route);
    OpeningInputs inputs;
    inputs.load = load();
    inputs.isEvacuated = isEvacuated;
    inputs.isColdLimitReached = isColdLimitReached();
    inputs.isLastOffer = context.route.isLastOffer;
    inputs.hasEntry = context.route.entry.isSet();
    // What the target was only offered may open elsewhere.
    bool const mayLeave = isEvacuated || inputs.isColdLimitReached;
    inputs.isKnownFlow = isHeld && (!mayLeave || known->isEstablished);
    inputs.latencyLimitTenthMs = context.route.latencyLimitTenthMs;
    inputs.copy = context.segment.acknowledgement;
    // The network may duplicate an original that the target was offered, or that this agent forwarded. While this process stood
    // still, the caller may have retransmitted it.
    std::optional<Endpoint> const forwardedTo = ownerRecords.find(context.hash, context.now);
    bool const isDuplicate = isHeld || (forwardedTo && *forwardedTo != options.ownEndpoint);
    context.mayBeOpen = inputs.copy != 0 || isDuplicate || context.route.mayBeOpen || context.waited >= originalLifetime;
    inputs.mayBeOpen = context.mayBeOpen;
    inputs.hops = context.route.hops;
    inputs.candidates = context.route.usedCandidates();
    OpeningDecision const decision = plantaindrift::decideOpening(inputs);
    countOpening(context, decision);
    return decision;
}

void AgentRelay::State::countOpening(SegmentContext& context, OpeningDecision const& decision) noexcept
{
    context.openingReason = decision.reason;
    ++openingCounts[static_cast<std::size_t>(decision.action)][static_cast<std::size_t>(decision.reason)];
}

PacketVerdict AgentRelay::State::processOpening(SegmentContext& context) noexcept
{
    OpeningDecision const decision = decideOpening(context);
    // Without a reply, the entry takes the agent for silent until its next load report.
    if (decision.action != OpeningAction::Admit && decision.action != OpeningAction::ReturnToEntry && context.route.entry.isSet())
        sendLoadReport(context.route.entry, context.nowSeconds);
    switch (decision.action) {
    case OpeningAction::Admit:
        return admit(context);
    case OpeningAction::ForwardToCandidate:
        return forwardOpening(context, context.route.candidates[decision.candidate]);
    case OpeningAction::ForwardToPeer:
        return forwardToAnyPeer(context);
    case OpeningAction::Refuse:
        return decision.reason == OpeningReason::OverLimit ? resetCaller(context, AgentRelayOutcome::RefusedOverLimit) : refuse(context);
    case OpeningAction::ReturnToEntry:
        return returnToEntry(context);
    case OpeningAction::Drop:
        break;
    }
    return drop(context, decision.reason == OpeningReason::OverLimit ? AgentRelayOutcome::DroppedOverLimit : AgentRelayOutcome::DroppedUnknownFlow);
}

bool AgentRelay::State::isCold() const noexcept
{
    if (coldLimit.allowance() == 0)
        return false;
    bool const isAwaited = !target.isAnnounced || (evacuationEnd != TimePoint {} && target.lastAnnouncement <= evacuationEnd);
    return isAwaited || currentTime < warmUpEnd;
}

bool AgentRelay::State::isColdLimitReached() const noexcept
{
    return isCold() && !coldLimit.hasRoom(currentTime);
}

PacketVerdict AgentRelay::State::declineReturned(SegmentContext& context) noexcept
{
    RelayRoute const& route = context.route;
    OpeningAction action = OpeningAction::ForwardToPeer;
    if (route.candidateCount > 0 && route.hops < maximumOpeningForwards)
        action = OpeningAction::ForwardToCandidate;
    else if (!context.mayBeOpen && route.entry.isSet())
        action = route.isLastOffer ? OpeningAction::Refuse : OpeningAction::ReturnToEntry;
    countOpening(context, { action, OpeningReason::TargetFull });
    if (action == OpeningAction::ForwardToCandidate)
        return forwardOpening(context, context.route.candidates.front());
    if (action == OpeningAction::Refuse)
        return refuse(context);
    return action == OpeningAction::ReturnToEntry ? returnToEntry(context) : forwardToAnyPeer(context);
}

PacketVerdict AgentRelay::State::returnToEntry(SegmentContext const& context) noexcept
{
    ++outcomes[static_cast<std::size_t>(AgentRelayOutcome::ReturnedToEntry)];
    notifyObserver(context, AgentRelayOutcome::ReturnedToEntry, context.route.entry);
    // Clears the flag of a segment that the target returned.
    std::array<std::byte, 64> segmentHeader;
    codec.copyHeader(context.datagram, 0, segmentHeader);
    std::span<std::byte const> const head = std::span<std::byte const>(segmentHeader).first(codec.headerBytes());
    std::span<std::byte const> const data = context.datagram.subspan(head.size());
    std::size_t const bytes = writeRelayOpeningDeclined(context.route, context.openingReason, load(), head, data, { options.keys, context.nowSeconds }, header);
    return { context.route.entry, headerSpan(bytes), data };
}

void AgentRelay::State::markEvacuatedPeers() noexcept
{
    for (Peer& peer : peers)
        peer.isEvacuated = evacuations.contains(peer.dataCentre);
}

void AgentRelay::State::removeEvacuatedCandidates(RelayRoute& route) const noexcept
{
    if (evacuations.dataCentres.empty())
        return;
    auto const isExcluded = [this](RelayCandidate const& candidate) {
        return std::any_of(peers.begin(), peers.end(), [&candidate](Peer const& peer) { return peer.agent == candidate.agent && peer.isEvacuated && !peer.dead; });
    };
    auto const end = std::remove_if(route.candidates.begin(), route.candidates.begin() + route.candidateCount, isExcluded);
    std::copy_n(route.candidates.begin() + route.candidateCount, route.offeredCount, end);
    route.candidateCount = static_cast<std::uint8_t>(end - route.candidates.begin());
}

PacketVerdict AgentRelay::State::forwardOpening(SegmentContext& context, RelayCandidate& candidate) noexcept
{
    Endpoint const to = candidate.agent;
    RelayRoute& route = context.route;
    // The place of the last candidate becomes the first one of those that were offered the segment.
    std::swap(candidate, route.candidates[route.candidateCount - 1]);
    --route.candidateCount;
    route.candidates[route.candidateCount] = { options.ownEndpoint, 0 };
    ++route.offeredCount;
    ownerRecords.record(context.hash, to, context.now + openingOwnerLifetime);
    return forward(context, to, AgentRelayOutcome::ForwardedOpening);
}

PacketVerdict AgentRelay::State::forwardToAnyPeer(SegmentContext& context) noexcept
{
    if (context.route.hops >= maximumOpeningForwards)
        return refuse(context);
    Peer const* chosen = nullptr;
    std::uint64_t best = 0;
    std::span<RelayCandidate const> const offered = context.route.offeredAgents();
    for (Peer const& peer : peers) {
        std::uint64_t const score = rankScore(peer.nameHash, context.hash + context.route.hops);
        bool const wasOffered = std::any_of(offered.begin(), offered.end(), [&peer](RelayCandidate const& agent) { return agent.agent == peer.agent; });
        if (!peer.draining && !peer.dead && !peer.isEvacuated && !wasOffered && (chosen == nullptr || score > best)) {
            chosen = &peer;
            best = score;
        }
    }
    if (chosen == nullptr)
        return refuse(context);
    if (std::size_t const named = offeredAndCandidates(context.route).size(); named < maximumRelayCandidates) {
        context.route.candidates[named] = { options.ownEndpoint, 0 };
        ++context.route.offeredCount;
    }
    ownerRecords.record(context.hash, chosen->agent, context.now + openingOwnerLifetime);
    return forward(context, chosen->agent, AgentRelayOutcome::ForwardedOpening);
}

PacketVerdict AgentRelay::State::refuse(SegmentContext const& context) noexcept
{
    // An earlier copy may have opened the flow at another target, and a reset would break it. A target that is
    // still starting may admit a retransmission.
    bool const mayAdmitLater = !target.isAnnounced && !isEvacuated;
    if (context.mayBeOpen || mayAdmitLater)
        return drop(context, AgentRelayOutcome::DroppedUnknownFlow);
    return resetCaller(context, AgentRelayOutcome::Refused);
}

PacketVerdict AgentRelay::State::admit(SegmentContext const& context) noexcept
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
    if (!record->isEstablished)
        record->opened = context.now;
    record->entry = context.route.entry;
    coldLimit.recordDelivery(context.now);
    flows.trackOffer(*record, context.now);
    notifyEntry(context);
    return deliver(context, AgentRelayOutcome::Admitted, true);
}

} // namespace plantaindrift
