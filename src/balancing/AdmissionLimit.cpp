#include "balancing/AdmissionLimit.h"

#include "balancing/TargetCost.h"

#include <algorithm>
#include <cmath>

namespace plantaindrift {

namespace {

    // The rest of the latency objective covers the network, a retry after a refusal and requests on flows that are
    // already open.
    constexpr double serviceObjectiveShare = 0.8;

    // Factor by which the limit of each less urgent priority is lower.
    constexpr double rankFactor = 0.75;

    constexpr double tenthsPerMillisecond = 10;

} // namespace

std::uint16_t admissionLimit(std::chrono::milliseconds objective, std::size_t rank) noexcept
{
    double const tenths = static_cast<double>(objective.count()) * tenthsPerMillisecond;
    return toCostTenthMs(tenths * serviceObjectiveShare * std::pow(rankFactor, static_cast<double>(rank)));
}

std::uint16_t orderedLimit(std::uint16_t own, std::span<std::uint16_t const> moreUrgent) noexcept
{
    double limit = own;
    for (std::size_t rank = 0; rank < moreUrgent.size(); ++rank) {
        double const bound = moreUrgent[rank] * std::pow(rankFactor, static_cast<double>(moreUrgent.size() - rank));
        if (bound > 0)
            limit = limit > 0 ? std::min(limit, bound) : bound;
    }
    return toCostTenthMs(limit);
}

bool isWithinLimit(TargetLoad const& load, std::uint16_t limit, std::uint32_t copy) noexcept
{
    // A target with a free slot admits everything: no other one would be faster.
    if (limit == 0 || load.activeRequests < load.slots)
        return true;
    return expectedTime(load) <= limit / (copy + 1.0);
}

} // namespace plantaindrift
