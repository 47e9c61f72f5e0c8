#include "balancing/OpeningPolicy.h"

#include "balancing/TargetCost.h"

#include <algorithm>
#include <array>
#include <optional>

namespace plantaindrift {

namespace {

    // Minimum gain for which a segment is forwarded: both loads may have changed since they were sent.
    constexpr double minimumForwardGainShare = 0.5;
    constexpr double minimumForwardGainTenthMs = 30;

    constexpr std::array<std::string_view, openingReasonCount> reasonNames { "known_flow", "has_room", "cheaper_candidate", "not_accepting", "over_limit", "evacuated", "target_full", "cold" };

    constexpr std::array<std::string_view, openingActionCount> actionNames { "admit", "forward_candidate", "forward_peer", "refuse", "drop", "return" };

    // Why the target takes no new flow now, apart from its load; empty if it does.
    std::optional<OpeningReason> closedReason(OpeningInputs const& inputs) noexcept
    {
        if (inputs.isEvacuated)
            return OpeningReason::Evacuated;
        if (!inputs.load.isAccepting)
            return OpeningReason::NotAccepting;
        return inputs.isColdLimitReached ? std::optional(OpeningReason::Cold) : std::nullopt;
    }

    // The candidate to which the segment is to be forwarded; empty if the local target is not worse by a margin.
    std::optional<std::size_t> findCheaperCandidate(OpeningInputs const& inputs) noexcept
    {
        if (inputs.candidates.empty() || inputs.hops >= maximumOpeningForwards)
            return std::nullopt;
        auto const cheapest = std::min_element(inputs.candidates.begin(), inputs.candidates.end(), [](RelayCandidate const& left, RelayCandidate const& right) { return left.costTenthMs < right.costTenthMs; });
        std::size_t const index = static_cast<std::size_t>(cheapest - inputs.candidates.begin());
        if (closedReason(inputs))
            return index;
        double const own = targetCost(inputs.load, 0);
        double const service = std::max<double>(inputs.load.serviceTimeTenthMs, minimumForwardGainTenthMs);
        bool const isWorthForwarding = own > cheapest->costTenthMs + minimumForwardGainTenthMs + minimumForwardGainShare * service;
        return isWorthForwarding ? std::optional(index) : std::nullopt;
    }

    OpeningDecision decline(OpeningInputs const& inputs, OpeningReason reason) noexcept
    {
        bool const isOriginal = inputs.copy == 0 && !inputs.mayBeOpen;
        // Targets that take no flows may still look idle to the entry, so that it may have offered the flow only to such ones.
        bool const mayReturn = !inputs.isLastOffer || reason == OpeningReason::NotAccepting;
        if (isOriginal && inputs.hasEntry)
            return { mayReturn ? OpeningAction::ReturnToEntry : OpeningAction::Refuse, reason };
        // Another target may take what this one must not.
        if (reason != OpeningReason::OverLimit)
            return { OpeningAction::ForwardToPeer, reason };
        // A retransmission is not refused, because an earlier copy may have opened the flow. An original is refused at once: its
        // caller reaches two other entries within 200 ms, while retransmissions have less and less time left.
        return { isOriginal ? OpeningAction::Refuse : OpeningAction::Drop, reason };
    }

} // namespace

std::string_view openingReasonName(OpeningReason reason) noexcept
{
    return reasonNames[static_cast<std::size_t>(reason)];
}

std::string_view openingActionName(OpeningAction action) noexcept
{
    return actionNames[static_cast<std::size_t>(action)];
}

OpeningDecision decideOpening(OpeningInputs const& inputs) noexcept
{
    if (inputs.isKnownFlow && inputs.isColdLimitReached)
        return { OpeningAction::Drop, OpeningReason::Cold };
    if (inputs.isKnownFlow)
        return { OpeningAction::Admit, OpeningReason::KnownFlow };
    std::optional<OpeningReason> const closed = closedReason(inputs);
    if (std::optional<std::size_t> const cheaper = findCheaperCandidate(inputs))
        return { OpeningAction::ForwardToCandidate, closed.value_or(OpeningReason::CheaperCandidate), *cheaper };
    // The load of a target that is idle because of the evacuation says nothing about the others.
    if (inputs.isEvacuated)
        return decline(inputs, OpeningReason::Evacuated);
    bool const isOverLimit = !isWithinLimit(inputs.load, inputs.latencyLimitTenthMs, inputs.copy);
    if (isOverLimit)
        return decline(inputs, OpeningReason::OverLimit);
    if (closed)
        return decline(inputs, *closed);
    return { OpeningAction::Admit, OpeningReason::HasRoom };
}

} // namespace plantaindrift
