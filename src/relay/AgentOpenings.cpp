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

OpeningDecision AgentRelay::State::decideOpening(SegmentContext& context) noexcept
{
    TargetFlow const* const known = flows.find(context.hash);
    bool const isHeld = known != nullptr && !known->isOver();
    removeEvacuatedCandidates(context.route);
    OpeningInputs inputs;
    inputs.load = load();
    inputs.isEvacuated = isEvacuated;
    // What the target was only offered before its data centre was evacuated opens elsewhere.
    inputs.isKnownFlow = isHeld && (!isEvacuated || known->isEstablished);
    inputs.latencyLimitTenthMs = context.route.latencyLimitTenthMs;
    inputs.copy = context.segment.acknowledgement;
    // The network may duplicate the original that the target was offered.
    context.mayBeOpen = inputs.copy != 0 || isHeld || context.route.mayBeOpen;
    inputs.mayBeOpen = context.mayBeOpen;
    inputs.hops = context.route.hops;
    inputs.candidates = context.route.usedCandidates();
    OpeningDecision const decision = openingPolicy.decide(inputs);
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
    route.candidateCount = static_cast<std::uint8_t>(end - route.candidates.begin());
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
        if (!peer.draining && !peer.dead && !peer.isEvacuated && (chosen == nullptr || score > best)) {
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
    record->entry = context.route.entry;
    notifyEntry(context);
    return deliver(context, AgentRelayOutcome::Admitted, true);
}

} // namespace plantaindrift
