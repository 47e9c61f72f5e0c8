#include "relay/FailureShare.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace plantaindrift {

namespace {

    // A mean over about ten requests, which a busy target ends within a third of a second.
    constexpr double newShare = 0.1;

    // A target that is avoided gets a few requests within this time, which show whether it still fails.
    constexpr std::chrono::duration<double> halfLife { 3 };

    constexpr double percentScale = 100;

} // namespace

void FailureShare::note(bool failed) noexcept
{
    share_ += newShare * ((failed ? 1 : 0) - share_);
}

void FailureShare::tick(TimePoint now) noexcept
{
    if (lastTick_ != TimePoint {})
        share_ *= std::exp2(-std::chrono::duration<double>(now - lastTick_) / halfLife);
    lastTick_ = now;
}

std::uint8_t FailureShare::percent() const noexcept
{
    return static_cast<std::uint8_t>(std::lround(std::clamp(share_, 0.0, 1.0) * percentScale));
}

} // namespace plantaindrift
