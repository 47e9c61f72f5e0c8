#include "balancing/ColdLimit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace plantaindrift {

namespace {

    constexpr std::chrono::seconds window { 1 };

    // The largest rate that a configuration declares.
    constexpr double maximumAllowance = 10000;

    std::size_t allowanceOf(double requestsPerSecond) noexcept
    {
        if (requestsPerSecond <= 0)
            return 0;
        return static_cast<std::size_t>(std::clamp(std::floor(requestsPerSecond), 1.0, maximumAllowance));
    }

} // namespace

void ColdLimit::setRate(double requestsPerSecond)
{
    std::size_t const allowance = allowanceOf(requestsPerSecond);
    if (allowance == deliveries_.size())
        return;
    std::rotate(deliveries_.begin(), deliveries_.begin() + static_cast<std::ptrdiff_t>(oldest_), deliveries_.end());
    oldest_ = 0;
    if (allowance < deliveries_.size())
        deliveries_.erase(deliveries_.begin(), deliveries_.end() - static_cast<std::ptrdiff_t>(allowance));
    else
        deliveries_.insert(deliveries_.begin(), allowance - deliveries_.size(), TimePoint {});
}

void ColdLimit::recordDelivery(TimePoint now) noexcept
{
    if (deliveries_.empty())
        return;
    deliveries_[oldest_] = now;
    oldest_ = (oldest_ + 1) % deliveries_.size();
}

bool ColdLimit::hasRoom(TimePoint now) const noexcept
{
    return deliveries_.empty() || deliveries_[oldest_] == TimePoint {} || now - deliveries_[oldest_] > window;
}

} // namespace plantaindrift
