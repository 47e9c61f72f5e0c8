#include "balancing/RequestCount.h"

#include "plantaindrift/relay/RelayMessage.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace plantaindrift {

namespace {

    // Averages about twenty requests. If requests complete slowly, each has a weight by the time since the one before, so that
    // the mean follows a target that becomes slow within a second.
    constexpr double minimumSampleWeight = 0.05;
    constexpr double maximumSampleWeight = 0.3;
    constexpr std::chrono::duration<double> sampleWindow { 0.6 };

    // A request that takes seven times the mean is one of 33; without a bound, a single one would raise the mean by a third.
    constexpr double maximumSampleFactor = 3;

    // Averages about five hundred requests.
    constexpr double usualSampleWeight = 0.002;

    // An idle target is taken for as fast as usual after a few of these times, so that one that recovered is tried again.
    constexpr std::chrono::duration<double> slownessHalfLife { 0.2 };

    // Requests in progress that are on average this many times as old as a request takes show that the target became slow.
    // For equal service times, the mean age is half of the service time.
    constexpr double suspiciousAgeFactor = 1.5;
    constexpr std::size_t minimumAgedRequests = 2;

    constexpr double flowRateWeight = 0.05; // per tick of 100 ms: averages 2 s
    constexpr double flowLoadScale = 1000;
    constexpr double tenthsPerSecond = 10000;

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

void RequestCount::begin(TimePoint now, bool isFirst) noexcept
{
    ++busy_;
    begunSum_ += now.time_since_epoch();
    furtherRequests_ += isFirst ? 0 : 1;
}

void RequestCount::cancel(TimePoint begun) noexcept
{
    if (busy_ == 0)
        return;
    --busy_;
    begunSum_ -= begun.time_since_epoch();
}

void RequestCount::fail(TimePoint begun) noexcept
{
    cancel(begun);
    failures_.record(true);
}

// A target that became much slower completes nothing for a while, so that the age of its requests shows it first. While all
// slots are taken, the age includes waits, and only the time since the last completion counts.
void RequestCount::updatePending(TimePoint now, std::size_t slots) noexcept
{
    pendingServiceTenthMs_ = 0;
    if (busy_ < minimumAgedRequests || meanServiceTenthMs_ == 0)
        return;
    Duration const meanAge = now.time_since_epoch() - begunSum_ / static_cast<std::int64_t>(busy_);
    Duration const paced = (now - lastFinish_) * static_cast<std::int64_t>(slots);
    Duration const age = busy_ > slots ? std::min(meanAge, paced) : meanAge;
    double const tenths = std::chrono::duration<double, std::milli>(age).count() * 10;
    if (tenths > suspiciousAgeFactor * meanServiceTenthMs_)
        pendingServiceTenthMs_ = tenths;
}

void RequestCount::tick(TimePoint now, std::size_t openFlows, std::size_t slots) noexcept
{
    if (busy_ == 0 && now_ != TimePoint {} && meanServiceTenthMs_ > usualServiceTenthMs_) {
        double const remaining = std::exp2(-std::chrono::duration<double>(now - now_) / slownessHalfLife);
        meanServiceTenthMs_ = usualServiceTenthMs_ + remaining * (meanServiceTenthMs_ - usualServiceTenthMs_);
    }
    updatePending(now, slots);
    if (now_ != TimePoint {} && now > now_)
        furtherPerSecond_ += flowRateWeight * (static_cast<double>(furtherRequests_) / std::chrono::duration<double>(now - now_).count() - furtherPerSecond_);
    furtherRequests_ = 0;
    openFlows_ = openFlows;
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
    cancel(requested);
    failures_.record(false);
    answers_ = answers_ * remainingAnswerShare + 1;
    answerBytes_ *= remainingAnswerShare;
    Duration const totalTime = now - requested;
    times_.observe(totalTime);
    Duration const pacedTime = (now - lastFinish_) * static_cast<std::int64_t>(slots);
    Duration const serviceTime = wereSlotsFull_ ? std::min(totalTime, pacedTime) : totalTime;
    bool const includesWait = !wereSlotsFull_ && busy_ >= slots;
    Duration const sinceLastFinish = now - lastFinish_;
    lastFinish_ = now;
    pendingServiceTenthMs_ = 0;
    wereSlotsFull_ = busy_ >= slots;
    // The first request that completes after the slots filled up may have waited for an unknown time.
    if (includesWait && meanServiceTenthMs_ > 0)
        return;
    double const tenths = std::chrono::duration<double, std::milli>(serviceTime).count() * 10;
    if (meanServiceTenthMs_ == 0) {
        meanServiceTenthMs_ = tenths;
        usualServiceTenthMs_ = tenths;
        return;
    }
    double const weight = std::clamp(sinceLastFinish / sampleWindow, minimumSampleWeight, maximumSampleWeight);
    double const sample = std::min(tenths, maximumSampleFactor * meanServiceTenthMs_);
    meanServiceTenthMs_ += weight * (sample - meanServiceTenthMs_);
    usualServiceTenthMs_ += usualSampleWeight * (meanServiceTenthMs_ - usualServiceTenthMs_);
}

void RequestCount::reset() noexcept
{
    busy_ = 0;
    begunSum_ = Duration::zero();
    pendingServiceTenthMs_ = 0;
    usualServiceTenthMs_ = 0;
    expected_ = {};
    meanServiceTenthMs_ = 0;
    wereSlotsFull_ = false;
    failures_.reset();
}

std::uint16_t RequestCount::flowLoadMilli() const noexcept
{
    if (openFlows_ == 0 || meanServiceTenthMs_ == 0)
        return 0;
    double const requests = furtherPerSecond_ * meanServiceTenthMs_ / tenthsPerSecond;
    return static_cast<std::uint16_t>(std::clamp(flowLoadScale * requests / static_cast<double>(openFlows_), 1.0, flowLoadScale));
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
    return static_cast<std::uint16_t>(std::clamp(std::max(meanServiceTenthMs_, pendingServiceTenthMs_) * factor, 0.0, static_cast<double>(std::numeric_limits<std::uint16_t>::max())));
}

} // namespace plantaindrift
