#include "relay/AdmissionLimit.h"

#include "relay/TargetCost.h"

#include <cmath>

namespace plantaindrift {

namespace {

    // The rest of the objective is for the way, a retry after a refusal and requests on flows that are open already.
    constexpr double usefulShare = 0.8;

    // Part of the limit that is left to each less urgent priority.
    constexpr double rankShare = 0.75;

    constexpr double tenthsPerMillisecond = 10;

    // A mean over about ten new flows, which come within a fifth of a second while targets start anew.
    constexpr double newShare = 0.1;

    // Three tries at this share all fail in one of eight cases.
    constexpr double mostLate = 0.5;

} // namespace

std::uint16_t admissionLimit(std::chrono::milliseconds objective, std::size_t rank) noexcept
{
    double const tenths = static_cast<double>(objective.count()) * tenthsPerMillisecond;
    return toCostTenths(tenths * usefulShare * std::pow(rankShare, static_cast<double>(rank)));
}

bool isWithinLimit(TargetLoad const& load, std::uint16_t limit, std::uint32_t copy) noexcept
{
    // A target with a free slot takes everything: no other one would be faster.
    if (limit == 0 || load.activeRequests < load.slots)
        return true;
    return expectedTime(load) <= limit / (copy + 1.0);
}

void LateShare::note(bool wasLate) noexcept
{
    share_ += newShare * ((wasLate ? 1 : 0) - share_);
}

bool LateShare::isRetryUseful() const noexcept
{
    return share_ <= mostLate;
}

} // namespace plantaindrift
