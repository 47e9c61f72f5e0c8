#include "relay/RequestCount.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace plantaindrift {

namespace {

    // A mean over about twenty requests follows a target that turns slow within a second.
    constexpr double newShare = 0.05;

    // A target that has just started works at about this part of its later speed.
    constexpr double coldFactor = 1.6;

} // namespace

void RequestCount::cancel() noexcept
{
    busy_ -= busy_ > 0 ? 1 : 0;
}

void RequestCount::fail() noexcept
{
    cancel();
    failures_.note(true);
}

void RequestCount::tick(TimePoint now) noexcept
{
    now_ = now;
    failures_.tick(now);
}

// A target whose slots are all taken ends one request in each part of the service time that its slots make; the time since
// the request came holds its wait.
void RequestCount::finish(TimePoint requested, TimePoint now, std::size_t slots) noexcept
{
    cancel();
    failures_.note(false);
    Duration const whole = now - requested;
    times_.observe(whole);
    Duration const paced = (now - finished_) * static_cast<std::int64_t>(slots);
    Duration const took = wasFull_ ? std::min(whole, paced) : whole;
    bool const holdsWait = !wasFull_ && busy_ >= slots;
    finished_ = now;
    wasFull_ = busy_ >= slots;
    // The first one that ends after the slots filled up may have waited, and nothing tells how long.
    if (holdsWait && meanTenths_ > 0)
        return;
    double const tenths = std::chrono::duration<double, std::milli>(took).count() * 10;
    meanTenths_ = meanTenths_ == 0 ? tenths : meanTenths_ + newShare * (tenths - meanTenths_);
}

void RequestCount::reset() noexcept
{
    busy_ = 0;
    meanTenths_ = 0;
    wasFull_ = false;
    failures_.reset();
}

std::uint16_t RequestCount::serviceTenths() const noexcept
{
    double const factor = now_ < coldUntil_ ? coldFactor : 1;
    return static_cast<std::uint16_t>(std::clamp(meanTenths_ * factor, 0.0, static_cast<double>(std::numeric_limits<std::uint16_t>::max())));
}

} // namespace plantaindrift
