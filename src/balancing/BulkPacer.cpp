#include "balancing/BulkPacer.h"

#include <algorithm>

namespace plantaindrift {

namespace {

    constexpr std::chrono::milliseconds defaultMaximumQueue { 20 };

    // A queue shorter than a few segments leaves a narrow link idle between two runs of the timer.
    constexpr std::chrono::milliseconds minimumMaximumQueue { 5 };
    constexpr int objectiveDivisor = 10;

    // The caller retransmits after 200 ms; a segment that waits longer than half of this would only add a copy.
    constexpr std::chrono::milliseconds maximumWait { 100 };

} // namespace

void BulkPacer::setTightestObjective(std::chrono::milliseconds objective) noexcept
{
    maximumQueue_ = objective.count() > 0 ? std::clamp<Duration>(objective / objectiveDivisor, minimumMaximumQueue, defaultMaximumQueue) : Duration(defaultMaximumQueue);
}

BulkAction BulkPacer::decide(Duration modelledQueue, Duration segmentTime) noexcept
{
    if (queued_ == 0 && modelledQueue <= maximumQueue_)
        return BulkAction::Send;
    if (modelledQueue + waiting_ + segmentTime > maximumWait)
        return drop();
    ++queued_;
    ++counts_.paced;
    waiting_ += segmentTime;
    return BulkAction::Queue;
}

BulkAction BulkPacer::release(Duration modelledQueue, Duration segmentTime, Duration waited) noexcept
{
    bool const isLate = waited > maximumWait;
    if (!isLate && modelledQueue > maximumQueue_)
        return BulkAction::Queue;
    --queued_;
    waiting_ = queued_ > 0 ? waiting_ - segmentTime : Duration::zero();
    return isLate ? drop() : BulkAction::Send;
}

BulkAction BulkPacer::drop() noexcept
{
    ++counts_.dropped;
    return BulkAction::Drop;
}

} // namespace plantaindrift
