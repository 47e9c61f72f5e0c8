#include "balancing/AdmissionLimit.h"

#include "balancing/TargetCost.h"

#include <cmath>

namespace plantaindrift {

namespace {

    // The rest of the latency objective covers the network, a retry after a refusal and requests on flows that are
    // already open.
    constexpr double serviceObjectiveShare = 0.8;

    // Factor by which the limit of each less urgent priority is lower.
    constexpr double rankFactor = 0.75;

    constexpr double tenthsPerMillisecond = 10;

    // Averages about ten new flows, which arrive within 0.2 s while targets restart.
    constexpr double sampleWeight = 0.1;

    // At this share, three attempts in a row fail in one of eight cases.
    constexpr double maximumRetryShare = 0.5;

} // namespace

std::uint16_t admissionLimit(std::chrono::milliseconds objective, std::size_t rank) noexcept
{
    double const tenths = static_cast<double>(objective.count()) * tenthsPerMillisecond;
    return toCostTenthMs(tenths * serviceObjectiveShare * std::pow(rankFactor, static_cast<double>(rank)));
}

bool isWithinLimit(TargetLoad const& load, std::uint16_t limit, std::uint32_t copy) noexcept
{
    // A target with a free slot admits everything: no other one would be faster.
    if (limit == 0 || load.activeRequests < load.slots)
        return true;
    return expectedTime(load) <= limit / (copy + 1.0);
}

void LateShare::record(bool isOverLimit) noexcept
{
    share_ += sampleWeight * ((isOverLimit ? 1 : 0) - share_);
}

bool LateShare::isRetryUseful() const noexcept
{
    return share_ <= maximumRetryShare;
}

} // namespace plantaindrift
