#include "balancing/TargetChoice.h"

#include "balancing/TargetCost.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace plantaindrift {

namespace {

    // With the margin at which agents pass flows on, a flow leaves shortly before its latency limit.
    constexpr double lastResortShareOfLimit = 0.75;
    constexpr double defaultLastResortTenthMs = 1000;

    // The queue of a target that receives nothing drains within a few service times. With 100 ms and 400 ms, waits differ by
    // less than a tenth.
    constexpr std::chrono::duration<double, std::milli> reportDecayTime { 200 };

    constexpr double silentCostTenthMs = 2000;
    constexpr double repeatedOfferCostTenthMs = 20000;

} // namespace

double reportWeight(Duration age) noexcept
{
    return std::exp(-std::max(Duration::zero(), age) / reportDecayTime);
}

double agedRequests(TargetLoad const& load, Duration age, double meanPerSlot) noexcept
{
    double const expected = std::min(meanPerSlot, 1.0) * std::max<std::uint16_t>(load.slots, 1);
    return expected + reportWeight(age) * (load.activeRequests - expected);
}

double offerCost(TargetOffer const& offer, std::uint64_t jitterTenthMs) noexcept
{
    double cost = targetCost(offer.load, offer.pendingOpenings + offer.agedRequests - offer.load.activeRequests);
    cost += offer.remoteCostTenthMs;
    cost += static_cast<double>(jitterTenthMs);
    cost += offer.isResponsive ? 0 : silentCostTenthMs;
    cost += offer.wasOffered ? repeatedOfferCostTenthMs : 0;
    return cost;
}

double lastResortCost(std::uint16_t limitTenthMs) noexcept
{
    return limitTenthMs > 0 ? lastResortShareOfLimit * limitTenthMs : defaultLastResortTenthMs;
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
