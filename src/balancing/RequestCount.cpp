#include "balancing/RequestCount.h"

#include "plantaindrift/relay/RelayMessage.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace plantaindrift {

namespace {

    // Averages about twenty requests; follows a target that becomes slow within a second.
    constexpr double sampleWeight = 0.05;

    // A newly started target takes about this many times as long for a request as later.
    constexpr double warmUpFactor = 1.6;

    // Averages the sizes of about a hundred answers.
    constexpr double remainingAnswerShare = 0.99;

} // namespace

void RequestCount::expect(TimePoint now) noexcept
{
    now_ = std::max(now_, now);
    ++expected_[0];
}

void RequestCount::removeExpected(TimePoint offered) noexcept
{
    if (offered >= currentTick_)
        expected_[0] -= expected_[0] > 0 ? 1 : 0;
    else if (offered >= formerTick_)
        expected_[1] -= expected_[1] > 0 ? 1 : 0;
}

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
    // Requests that are expected for longer than one to two ticks of 100 ms may never arrive.
    expected_ = { 0, expected_[0] };
    formerTick_ = currentTick_;
    currentTick_ = now;
    now_ = now;
    failures_.tick(now);
}

// While all slots are taken, a target with n slots completes a request in every n-th part of the service time, whereas
// the time since a request's arrival includes its wait.
void RequestCount::finish(TimePoint requested, TimePoint now, std::size_t slots) noexcept
{
    cancel();
    failures_.record(false);
    answers_ = answers_ * remainingAnswerShare + 1;
    answerBytes_ *= remainingAnswerShare;
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
    expected_ = {};
    meanServiceTenthMs_ = 0;
    wereSlotsFull_ = false;
    failures_.reset();
}

std::uint16_t RequestCount::answerUnits() const noexcept
{
    if (answers_ == 0)
        return 0;
    double const units = std::ceil(answerBytes_ / answers_ / answerUnitBytes);
    return static_cast<std::uint16_t>(std::min<double>(units, std::numeric_limits<std::uint16_t>::max()));
}

std::uint16_t RequestCount::serviceTimeTenthMs() const noexcept
{
    double const factor = now_ < warmUpEnd_ ? warmUpFactor : 1;
    return static_cast<std::uint16_t>(std::clamp(meanServiceTenthMs_ * factor, 0.0, static_cast<double>(std::numeric_limits<std::uint16_t>::max())));
}

} // namespace plantaindrift
