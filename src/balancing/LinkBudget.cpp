#include "balancing/LinkBudget.h"

#include <algorithm>

namespace plantaindrift {

namespace {

    constexpr double bytesPerMegabit = 125'000;

    // With fewer round trips, one slow target could pass for a full link.
    constexpr std::uint32_t minimumRoundTrips = 5;

    // Half of the time after which callers retransmit. A longer delay leads to copies that fill the link further.
    constexpr std::chrono::milliseconds fullLinkDelay { 100 };

    // A link that carries less than this share of its declared rate is not taken for full: slow agents delay their notices
    // too.
    constexpr double minimumUseOfFullLink = 0.1;

    constexpr std::chrono::milliseconds heldBackLateness { 50 };
    constexpr double heldBackUse = 0.5;

    // Several times the usual lateness of a timer.
    constexpr std::chrono::milliseconds noticeableLateness { 10 };

    double toSeconds(Duration time) noexcept
    {
        return std::chrono::duration<double>(time).count();
    }

    Duration toDuration(double seconds) noexcept
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

} // namespace

LinkBudget::LinkBudget(double megabitsPerSecond) noexcept
    : bytesPerSecond_(megabitsPerSecond * bytesPerMegabit)
{
}

void LinkBudget::recordSent(std::size_t bytes, TimePoint now) noexcept
{
    std::size_t const linkBytes = bytes + datagramHeaderBytes;
    current_.sent += linkBytes;
    if (bytesPerSecond_ <= 0)
        return;
    queuedBytes_ = toSeconds(modelledQueue(now)) * bytesPerSecond_ + static_cast<double>(linkBytes);
    lastSent_ = std::max(lastSent_, now);
}

void LinkBudget::recordRoundTrip(Duration time) noexcept
{
    smallestRoundTrip_ = std::min(smallestRoundTrip_, time);
    current_.smallestRoundTrip = std::min(current_.smallestRoundTrip, time);
    ++current_.roundTrips;
}

void LinkBudget::tick(TimePoint now) noexcept
{
    // The length of the first period is not known.
    if (lastTick_ != TimePoint {})
        current_.length = now - lastTick_;
    lastTick_ = now;
    receivedBytes_ += current_.received;
    sentBytes_ += current_.sent;
    periods_[nextPeriod_] = current_;
    nextPeriod_ = (nextPeriod_ + 1) % periods_.size();
    current_ = {};
}

double LinkBudget::offeredBytesPerSecond() const noexcept
{
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
    Duration length {};
    for (Period const& period : periods_) {
        if (period.length <= Duration::zero())
            continue;
        received += period.received;
        sent += period.sent;
        length += period.length;
    }
    return length > Duration::zero() ? static_cast<double>(std::max(received, sent)) / toSeconds(length) : 0;
}

double LinkBudget::utilisation() const noexcept
{
    if (bytesPerSecond_ <= 0)
        return 0;
    double const share = std::min(1.0, offeredBytesPerSecond() / bytesPerSecond_);
    bool const isDelayed = measuredDelay() >= fullLinkDelay && share >= minimumUseOfFullLink;
    return isDelayed ? 1 : share;
}

Duration LinkBudget::timeOnLink(std::size_t bytes) const noexcept
{
    return bytesPerSecond_ > 0 ? toDuration(static_cast<double>(bytes + datagramHeaderBytes) / bytesPerSecond_) : Duration::zero();
}

Duration LinkBudget::modelledQueue(TimePoint now) const noexcept
{
    if (bytesPerSecond_ <= 0)
        return {};
    double const drained = toSeconds(std::max(Duration::zero(), now - lastSent_)) * bytesPerSecond_;
    return toDuration(std::max(0.0, queuedBytes_ - drained) / bytesPerSecond_);
}

Duration LinkBudget::measuredDelay() const noexcept
{
    Duration smallest = Duration::max();
    std::uint32_t roundTrips = 0;
    for (Period const& period : periods_) {
        smallest = std::min(smallest, period.smallestRoundTrip);
        roundTrips += period.roundTrips;
    }
    return roundTrips >= minimumRoundTrips ? smallest - smallestRoundTrip_ : Duration::zero();
}

ProcessorBudget::ProcessorBudget(double share) noexcept
    : share_(share)
{
}

void ProcessorBudget::tick(Duration used, Duration lateness, TimePoint now) noexcept
{
    if (share_ <= 0)
        return;
    if (count_ == samples_.size())
        std::rotate(samples_.begin(), samples_.begin() + 1, samples_.end());
    else
        ++count_;
    samples_[count_ - 1] = { used, lateness, now };
    std::size_t const recent = std::min(count_ - 1, loadWindowTicks);
    if (recent == 0)
        return;
    utilisation_ = std::min(meanOver(recent), meanOver(count_ - 1));
    Duration totalLateness {};
    for (std::size_t index = count_ - recent; index < count_; ++index)
        totalLateness += samples_[index].lateness;
    Duration const meanLateness = totalLateness / static_cast<int>(recent);
    isLate_ = meanLateness >= noticeableLateness;
    if (meanLateness >= heldBackLateness && utilisation_ > heldBackUse)
        utilisation_ = std::max(utilisation_, 1.0);
}

double ProcessorBudget::meanOver(std::size_t ticks) const noexcept
{
    Sample const& newest = samples_[count_ - 1];
    Sample const& oldest = samples_[count_ - 1 - ticks];
    double const seconds = toSeconds(newest.time - oldest.time);
    return seconds > 0 ? toSeconds(newest.used - oldest.used) / (seconds * share_) : 0;
}

} // namespace plantaindrift
