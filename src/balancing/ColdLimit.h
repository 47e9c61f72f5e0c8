#pragma once

#include "plantaindrift/base/Types.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace plantaindrift {

/// \brief Limits how many requests reach a cold target in any second.
///
/// Answers the start of a target, or its return after an evacuation, under a load that it can serve only once it is warm. It
/// counts what is delivered in a sliding window, because a limit per fixed second would let through twice the rate at its
/// boundary.
class ColdLimit {
public:
    /// \brief Sets the declared rate; the deliveries of the last second stay counted.
    ///
    /// \param requestsPerSecond  what the target sustains while it is cold; 0 for no limit
    void setRate(double requestsPerSecond);

    /// \brief Records a request that the target receives, also while it is warm.
    void recordDelivery(TimePoint now) noexcept;

    /// \brief True if one more request may be delivered to the target while it is cold.
    [[nodiscard]] bool hasRoom(TimePoint now) const noexcept;

    /// \brief Requests per second that a cold target takes: the declared rate without its fraction, at least 1; 0 for no limit.
    [[nodiscard]] std::uint16_t allowance() const noexcept { return static_cast<std::uint16_t>(deliveries_.size()); }

private:
    std::vector<TimePoint> deliveries_; ///< times of the latest deliveries, as many as the allowance; a ring
    std::size_t oldest_ { 0 };
};

} // namespace plantaindrift
