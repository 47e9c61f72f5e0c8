#pragma once

#include "plantaindrift/base/Types.h"

#include <chrono>
#include <cstdint>
#include <random>

namespace plantaindrift {

/// \brief Exponential backoff with full jitter: a uniform wait from 0 to the current bound.
///
/// Full jitter spreads the calls of a fleet that lost the platform at the same moment.
class Backoff {
public:
    Backoff(std::chrono::milliseconds first, std::chrono::milliseconds longest, std::uint64_t seed);

    /// \brief Wait before a retry.
    ///
    /// \param retry  0 for the first retry
    [[nodiscard]] std::chrono::milliseconds wait(int retry);

    /// \brief Upper bound of the wait before a retry.
    [[nodiscard]] std::chrono::milliseconds bound(int retry) const noexcept;

private:
    std::chrono::milliseconds first_;
    std::chrono::milliseconds longest_;
    std::mt19937_64 random_;
};

/// \brief Stops calls to a platform that keeps failing, and lets one call through from time to time.
///
/// After `threshold` failures in a row, calls are refused for a time that doubles with every failed trial call up to
/// the longest backoff, so that a fleet does not load a platform that is just coming back.
class CircuitBreaker {
public:
    static constexpr int threshold = 8;

    explicit CircuitBreaker(std::chrono::milliseconds firstBackoff, std::chrono::milliseconds longestBackoff, std::uint64_t seed);

    /// \brief True if a call may be made now.
    [[nodiscard]] bool allows(TimePoint now) const noexcept;

    /// \brief True while failures in a row are at or above the threshold; a call is then a single trial.
    [[nodiscard]] bool isOpen() const noexcept { return failures_ >= threshold; }

    void recordSuccess() noexcept;
    void recordFailure(TimePoint now);

private:
    Backoff backoff_;
    int failures_ { 0 };
    TimePoint openUntil_;
};

} // namespace plantaindrift
