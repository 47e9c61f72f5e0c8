#include "balancing/RequestCount.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace plantaindrift {

namespace {

    // Averages about twenty requests; follows a target that becomes slow within a second.
    constexpr double sampleWeight = 0.05;

    // A newly started target takes about this many times as long for a request as later.
    constexpr double warmUpFactor = 1.6;

} // namespace

void RequestCount::cancel() noexcept
{
    busy_ -= busy_ > 0 ? 1 : 0;
}

void RequestCount::fail() noexcept
{
    cancel();
    failures_.record(true);
}

void RequestCount::tick(TimePoint now) noexcept
{
    now_ = now;
    failures_.tick(now);
}

// While all slots are taken, a target with n slots completes a request in every n-th part of the service time, whereas
// the time since a request's arrival includes its wait.
void RequestCount::finish(TimePoint requested, TimePoint now, std::size_t slots) noexcept
{
    cancel();
    failures_.record(false);
    Duration const totalTime = now - requested;
    times_.observe(totalTime);
    Duration const pacedTime = (now - lastFinish_) * static_cast<std::int64_t>(slots);
    Duration const serviceTime = wereSlotsFull_ ? std::min(totalTime, pacedTime) : totalTime;
    bool const includesWait = !wereSlotsFull_ && busy_ >= slots;
    lastFinish_ = now;
    wereSlotsFull_ = busy_ >= slots;
    // The first request that completes after the slots filled up may have waited for an unknown time.
    if (includesWait && meanServiceTenthMs_ > 0)
        return;
    double const tenths = std::chrono::duration<double, std::milli>(serviceTime).count() * 10;
    meanServiceTenthMs_ = meanServiceTenthMs_ == 0 ? tenths : meanServiceTenthMs_ + sampleWeight * (tenths - meanServiceTenthMs_);
}

void RequestCount::reset() noexcept
{
    busy_ = 0;
    meanServiceTenthMs_ = 0;
    wereSlotsFull_ = false;
    failures_.reset();
}

std::uint16_t RequestCount::serviceTimeTenthMs() const noexcept
{
    double const factor = now_ < warmUpEnd_ ? warmUpFactor : 1;
    return static_cast<std::uint16_t>(std::clamp(meanServiceTenthMs_ * factor, 0.0, static_cast<double>(std::numeric_limits<std::uint16_t>::max())));
}

} // namespace plantaindrift
