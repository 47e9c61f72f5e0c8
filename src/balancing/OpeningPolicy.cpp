#include "balancing/OpeningPolicy.h"

#include "balancing/TargetCost.h"

#include <algorithm>
#include <array>
#include <optional>

namespace plantaindrift {

namespace {

    constexpr std::array<std::string_view, openingActionCount> actionNames { "admit", "forward_to_candidate", "forward_to_peer", "refuse", "drop" };
    constexpr std::array<std::string_view, openingReasonCount> reasonNames { "known_flow", "has_room", "cheaper_candidate", "not_accepting", "over_limit" };

    // Minimum gain for which a segment is forwarded: both loads may have changed since they were sent.
    constexpr double minimumForwardGainShare = 0.5;
    constexpr double minimumForwardGainTenthMs = 30;

    // The candidate to which the segment is to be forwarded; empty if the local target is not worse by a margin.
    std::optional<std::size_t> findCheaperCandidate(OpeningInputs const& inputs) noexcept
    {
        if (inputs.candidates.empty() || inputs.hops >= maximumOpeningForwards)
            return std::nullopt;
        auto const cheapest = std::min_element(inputs.candidates.begin(), inputs.candidates.end(), [](RelayCandidate const& left, RelayCandidate const& right) { return left.costTenthMs < right.costTenthMs; });
        std::size_t const index = static_cast<std::size_t>(cheapest - inputs.candidates.begin());
        if (!inputs.load.isAccepting)
            return index;
        double const own = targetCost(inputs.load, 0);
        double const service = std::max<double>(inputs.load.serviceTimeTenthMs, minimumForwardGainTenthMs);
        bool const isWorthForwarding = own > cheapest->costTenthMs + minimumForwardGainTenthMs + minimumForwardGainShare * service;
        return isWorthForwarding ? std::optional(index) : std::nullopt;
    }

} // namespace

std::string_view openingActionName(OpeningAction action) noexcept
{
    return actionNames[static_cast<std::size_t>(action)];
}

std::string_view openingReasonName(OpeningReason reason) noexcept
{
    return reasonNames[static_cast<std::size_t>(reason)];
}

OpeningDecision OpeningPolicy::decide(OpeningInputs const& inputs) noexcept
{
    if (inputs.isKnownFlow)
        return { OpeningAction::Admit, OpeningReason::KnownFlow };
    if (std::optional<std::size_t> const cheaper = findCheaperCandidate(inputs))
        return { OpeningAction::ForwardToCandidate, inputs.load.isAccepting ? OpeningReason::CheaperCandidate : OpeningReason::NotAccepting, *cheaper };
    bool const isOverLimit = !isWithinLimit(inputs.load, inputs.latencyLimitTenthMs, inputs.copy);
    // A retransmission is not refused, because an earlier copy may have opened the flow. An original is refused at once: its
    // caller reaches two other entries within 200 ms, while retransmissions have less and less time left.
    if (isOverLimit && inputs.copy != 0)
        return { OpeningAction::Drop, OpeningReason::OverLimit };
    if (isOverLimit)
        return { OpeningAction::Refuse, OpeningReason::OverLimit };
    if (inputs.load.isAccepting)
        return { OpeningAction::Admit, OpeningReason::HasRoom };
    return { OpeningAction::ForwardToPeer, OpeningReason::NotAccepting };
}

} // namespace plantaindrift
