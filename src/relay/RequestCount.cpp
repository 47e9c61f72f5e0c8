#include "relay/RequestCount.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace plantaindrift {

namespace {

    // A mean over about twenty requests follows a target that turns slow within a second.
    constexpr double newShare = 0.05;

    // A target whose slots are all busy for this many requests in a row gives no other sample.
    constexpr std::uint32_t waitedBeforeSample = 20;

    // A target that has just started works at about this part of its later speed.
    constexpr double coldFactor = 1.6;

} // namespace

void RequestCount::cancel() noexcept
{
    busy_ -= busy_ > 0 ? 1 : 0;
}

void RequestCount::finish(Duration took, bool wasFree) noexcept
{
    cancel();
    waitedInRow_ = wasFree ? 0 : waitedInRow_ + 1;
    if (!wasFree && waitedInRow_ < waitedBeforeSample)
        return;
    double const tenths = std::chrono::duration<double, std::milli>(took).count() * 10;
    meanTenths_ = meanTenths_ == 0 ? tenths : meanTenths_ + newShare * (tenths - meanTenths_);
}

void RequestCount::reset() noexcept
{
    busy_ = 0;
    meanTenths_ = 0;
    waitedInRow_ = 0;
}

std::uint16_t RequestCount::serviceTenths() const noexcept
{
    double const factor = now_ < coldUntil_ ? coldFactor : 1;
    return static_cast<std::uint16_t>(std::clamp(meanTenths_ * factor, 0.0, static_cast<double>(std::numeric_limits<std::uint16_t>::max())));
}

} // namespace plantaindrift
