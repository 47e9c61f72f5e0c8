#include "balancing/TargetChoice.h"

#include "balancing/TargetCost.h"

#include <utility>

namespace plantaindrift {

namespace {

    // Round trip between data centres, in 0.1 ms; keeps traffic within a data centre while that costs no wait.
    constexpr double remoteCostTenthMs = 20;

    constexpr double silentCostTenthMs = 2000;
    constexpr double repeatedOfferCostTenthMs = 20000;

} // namespace

double offerCost(TargetOffer const& offer, std::uint64_t jitterTenthMs) noexcept
{
    double cost = targetCost(offer.load, offer.pendingOpenings);
    cost += offer.isLocal ? 0 : remoteCostTenthMs;
    cost += static_cast<double>(jitterTenthMs);
    cost += offer.isResponsive ? 0 : silentCostTenthMs;
    cost += offer.wasOffered ? repeatedOfferCostTenthMs : 0;
    return cost;
}

void CheapestOffers::add(double costTenthMs, std::size_t target) noexcept
{
    Ranked offer { costTenthMs, target };
    for (std::size_t rank = 0; rank < count_; ++rank) {
        if (offer.costTenthMs < ranked_[rank].costTenthMs)
            std::swap(offer, ranked_[rank]);
    }
    if (count_ < ranked_.size())
        ranked_[count_++] = offer;
}

} // namespace plantaindrift
