#include "balancing/TargetCost.h"
#include "relay/AgentRelayState.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace plantaindrift {

namespace {

    // A caller acknowledges the answer to its opening segment within this time, or gives up.
    constexpr std::chrono::seconds openingOwnerLifetime { 3 };

} // namespace

PacketVerdict AgentRelay::State::processOpening(SegmentContext& context) noexcept
{
    TargetFlow const* const known = flows.find(context.hash);
    OpeningInputs inputs;
    inputs.load = load();
    inputs.isKnownFlow = known != nullptr && !known->isOver();
    inputs.latencyLimitTenthMs = context.route.latencyLimitTenthMs;
    inputs.copy = context.segment.acknowledgement;
    inputs.hops = context.route.hops;
    inputs.candidates = context.route.usedCandidates();
    OpeningDecision const decision = openingPolicy.decide(inputs);
    context.reason = openingReasonName(decision.reason);
    ++openings[static_cast<std::size_t>(decision.action)][static_cast<std::size_t>(decision.reason)];
    // Without a reply, the entry takes the agent for silent until its next load report.
    if (decision.action != OpeningAction::Admit && context.route.entry.isSet())
        sendLoadReport(context.route.entry, context.nowSeconds);
    switch (decision.action) {
    case OpeningAction::Admit:
        return admit(context);
    case OpeningAction::ForwardToCandidate:
        return forwardOpening(context, context.route.candidates[decision.candidate]);
    case OpeningAction::ForwardToPeer:
        return forwardToAnyPeer(context);
    case OpeningAction::Refuse:
        return resetCaller(context, AgentRelayOutcome::RefusedOverLimit);
    case OpeningAction::Drop:
        break;
    }
    return drop(context, AgentRelayOutcome::DroppedOverLimit);
}

PacketVerdict AgentRelay::State::forwardOpening(SegmentContext& context, RelayCandidate& candidate) noexcept
{
    Endpoint const to = candidate.agent;
    std::swap(candidate, context.route.candidates[context.route.candidateCount - 1]);
    --context.route.candidateCount;
    ownerRecords.record(context.hash, to, context.now + openingOwnerLifetime);
    return forward(context, to, AgentRelayOutcome::ForwardedOpening);
}

PacketVerdict AgentRelay::State::forwardToAnyPeer(SegmentContext& context) noexcept
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

PacketVerdict AgentRelay::State::refuse(SegmentContext const& context) noexcept
{
    // An earlier copy may have opened the flow at another target, and a reset would break it. A target that is
    // still starting may admit a retransmission.
    if (context.segment.acknowledgement != 0 || !target.isAnnounced)
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
    record->entry = context.route.entry;
    flows.trackOffer(*record, context.now);
    notifyEntry(context);
    return deliver(context, AgentRelayOutcome::Admitted, true);
}

} // namespace plantaindrift
