#include "store/CircuitBreaker.h"

#include <algorithm>

namespace plantaindrift {

namespace {

    // Shifting further would overflow; the longest backoff is reached long before.
    constexpr int mostDoublings = 20;

    // The breaker's first pause is 8 times the first backoff, which is where the retries of a call have arrived.
    constexpr int firstOpenDoublings = 3;

} // namespace

Backoff::Backoff(std::chrono::milliseconds first, std::chrono::milliseconds longest, std::uint64_t seed)
    : first_(first)
    , longest_(longest)
    , random_(seed)
{
}

std::chrono::milliseconds Backoff::bound(int retry) const noexcept
{
    std::chrono::milliseconds const doubled = first_ * (std::int64_t { 1 } << std::clamp(retry, 0, mostDoublings));
    return std::min(doubled, longest_);
}

std::chrono::milliseconds Backoff::wait(int retry)
{
    std::uniform_int_distribution<std::int64_t> distribution(0, std::max<std::int64_t>(0, bound(retry).count()));
    return std::chrono::milliseconds(distribution(random_));
}

CircuitBreaker::CircuitBreaker(std::chrono::milliseconds firstBackoff, std::chrono::milliseconds longestBackoff, std::uint64_t seed)
    : backoff_(firstBackoff, longestBackoff, seed)
{
}

bool CircuitBreaker::allows(TimePoint now) const noexcept
{
    return !isOpen() || now >= openUntil_;
}

void CircuitBreaker::recordSuccess() noexcept
{
    failures_ = 0;
}

void CircuitBreaker::recordFailure(TimePoint now)
{
    // Counting stops well above the doublings, so that a long outage cannot overflow the count.
    failures_ = std::min(failures_ + 1, threshold + mostDoublings);
    if (isOpen())
        openUntil_ = now + backoff_.wait(firstOpenDoublings + failures_ - threshold);
}

} // namespace plantaindrift
