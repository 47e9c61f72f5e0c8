#pragma once

#include "plantaindrift/base/Types.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace plantaindrift {

/// \brief Bytes of the IPv4 and UDP headers of a datagram.
inline constexpr std::size_t datagramHeaderBytes = 28;

/// \brief Number of ticks of 100 ms over which loads are averaged.
inline constexpr std::size_t loadWindowTicks = 3;

/// \brief Number of ticks of 100 ms over which processor time is averaged.
inline constexpr std::size_t processorWindowTicks = 10;

/// \brief Counts what an entry receives and sends, and relates it to the rate of its link.
///
/// Handles the load condition that a narrow link fills in one direction: every segment then waits behind all others, and
/// callers that retransmit after 200 ms multiply the load.
class LinkBudget {
public:
    /// \param megabitsPerSecond  rate of the link in each direction; 0 if it is not known
    explicit LinkBudget(double megabitsPerSecond) noexcept;

    /// \param bytes  UDP payload
    void recordReceived(std::size_t bytes) noexcept { current_.received += bytes + datagramHeaderBytes; }

    /// \param bytes  UDP payload
    void recordSent(std::size_t bytes, TimePoint now) noexcept;

    /// \brief Records the time from an opening to the owner notice that answers it.
    void recordRoundTrip(Duration time) noexcept;

    /// \brief Ends a period of about 100 ms.
    void tick(TimePoint now) noexcept;

    /// \brief Rate of the link in bytes a second; 0 if it is not known.
    [[nodiscard]] double bytesPerSecond() const noexcept { return bytesPerSecond_; }

    /// \brief Bytes a second of the direction that is used more; mean of the last three ticks.
    [[nodiscard]] double offeredBytesPerSecond() const noexcept;

    /// \brief Share of the link that the direction that is used more takes, 0 to 1. It is 1 as well if the measured
    /// delay shows that the link is full, because it may be narrower than declared (by up to ten times). It is 0 if the
    /// rate is not known.
    [[nodiscard]] double utilisation() const noexcept;

    /// \brief Time that a datagram takes on the link; 0 if the rate is not known.
    ///
    /// \param bytes  UDP payload
    [[nodiscard]] Duration timeOnLink(std::size_t bytes) const noexcept;

    /// \brief Time until the modelled outbound queue is empty.
    [[nodiscard]] Duration modelledQueue(TimePoint now) const noexcept;

    /// \brief Smallest round trip of the last three ticks in excess of the smallest one since start; 0 if there were too
    /// few. A single slow target does not raise it.
    [[nodiscard]] Duration measuredDelay() const noexcept;

    [[nodiscard]] std::uint64_t receivedBytes() const noexcept { return receivedBytes_ + current_.received; }
    [[nodiscard]] std::uint64_t sentBytes() const noexcept { return sentBytes_ + current_.sent; }

private:
    struct Period {
        std::uint64_t received { 0 };
        std::uint64_t sent { 0 };
        Duration length {};
        Duration smallestRoundTrip { Duration::max() };
        std::uint32_t roundTrips { 0 };
    };

    double bytesPerSecond_;
    Period current_;
    std::array<Period, loadWindowTicks> periods_ {};
    std::size_t nextPeriod_ { 0 };
    TimePoint lastTick_;
    std::uint64_t receivedBytes_ { 0 }; ///< until the last tick
    std::uint64_t sentBytes_ { 0 }; ///< until the last tick
    double queuedBytes_ { 0 }; ///< modelled queue at lastSent_
    TimePoint lastSent_;
    Duration smallestRoundTrip_ { Duration::max() };
};

/// \brief Relates the processor time of an entry to its share of a core.
///
/// Handles the load condition that a small share of a core is used up before the link is full.
class ProcessorBudget {
public:
    /// \param share  of one core; 0 if it is not known
    explicit ProcessorBudget(double share) noexcept;

    /// \brief Records the use of the processor, every 100 ms.
    ///
    /// \param used  processor time of the process since its start
    /// \param lateness  time by which the periodic timer was late
    void tick(Duration used, Duration lateness, TimePoint now) noexcept;

    /// \brief Share of the declared processor time that was used; 0 if it is not known.
    ///
    /// It is the smaller one of the means of 300 ms and of a second: a new configuration takes much of a small share for a
    /// short time. It is at least 1 if the timer is late by half a period while more than half of the share is used: the
    /// process is then held back by its limit, although the mean is below it.
    [[nodiscard]] double utilisation() const noexcept { return utilisation_; }

    /// \brief True if the timer is late. While it is not, the process gets the processor time that it needs, so that no
    /// flow has to be refused.
    [[nodiscard]] bool isLate() const noexcept { return isLate_; }

private:
    struct Sample {
        Duration used {};
        Duration lateness {};
        TimePoint time;
    };

    double share_;
    [[nodiscard]] double meanOver(std::size_t ticks) const noexcept;

    std::array<Sample, processorWindowTicks + 1> samples_ {};
    std::size_t count_ { 0 };
    double utilisation_ { 0 };
    bool isLate_ { false };
};

} // namespace plantaindrift
