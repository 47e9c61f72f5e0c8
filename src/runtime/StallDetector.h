#pragma once

#include "plantaindrift/base/Types.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace plantaindrift {

/// \brief Detects that a process stood still, for example because its machine was suspended.
///
/// The event loop of a running process turns at least at every tick. Not thread-safe.
class StallDetector {
public:
    /// \brief Minimum time between two turns that counts as a stall: several ticks of the event loop.
    static constexpr std::chrono::milliseconds minimumStall { 400 };

    /// \brief Records a turn of the event loop.
    ///
    /// \param uptime  time since the machine's start, including the time while it was suspended; must not decrease
    /// \returns length of the stall that ends with this turn; zero if there was none
    Duration recordTurn(Duration uptime) noexcept;

    /// \brief Number of stalls since the start.
    [[nodiscard]] std::uint64_t count() const noexcept { return count_; }

private:
    std::optional<Duration> lastTurn_;
    std::uint64_t count_ { 0 };
};

/// \brief Time since the machine's start, including the time while it was suspended. The steady clock may omit that time.
[[nodiscard]] Duration readUptime() noexcept;

} // namespace plantaindrift
