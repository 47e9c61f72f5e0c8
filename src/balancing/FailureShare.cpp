#include "balancing/FailureShare.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace plantaindrift {

namespace {

    // Averages about ten requests, which a busy target completes within 0.3 s.
    constexpr double sampleWeight = 0.1;

    // A target with a high failure share receives a few requests within this time, which show whether it still fails.
    constexpr std::chrono::duration<double> decayHalfLife { 3 };

    constexpr double percentScale = 100;

} // namespace

void FailureShare::record(bool failed) noexcept
{
    share_ += sampleWeight * ((failed ? 1 : 0) - share_);
}

void FailureShare::tick(TimePoint now) noexcept
{
    if (lastTick_ != TimePoint {})
        share_ *= std::exp2(-std::chrono::duration<double>(now - lastTick_) / decayHalfLife);
    lastTick_ = now;
}

std::uint8_t FailureShare::percent() const noexcept
{
    return static_cast<std::uint8_t>(std::lround(std::clamp(share_, 0.0, 1.0) * percentScale));
}

} // namespace plantaindrift
