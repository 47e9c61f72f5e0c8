#pragma once

#include <chrono>
#include <cstdint>

namespace plantaindrift {

/// \brief Idle time after which the platform may discard a flow.
inline constexpr std::chrono::seconds platformFlowTimeout { 60 };

/// \brief Time after which a caller has retransmitted its opening segment or given up.
///
/// A segment that waited this long in a process that stood still is not to be answered, because a later copy may have
/// opened the flow at another target.
///
/// \param copy  number of the retransmission, 0 for the original
[[nodiscard]] constexpr std::chrono::milliseconds openingLifetime(std::uint32_t copy) noexcept
{
    constexpr std::uint32_t lastCopy = 2;
    return std::chrono::milliseconds { copy < lastCopy ? 400 : 800 };
}

/// \brief Time after which a caller may have retransmitted its original opening segment.
///
/// Callers do so after 200 ms; the rest is the way of the segment and of a reset. A later reset could meet a flow that the
/// retransmission opened.
inline constexpr std::chrono::milliseconds originalLifetime { 150 };

} // namespace plantaindrift
