#pragma once

#include "plantaindrift/base/Types.h"

#include <cstdint>

namespace plantaindrift {

/// \brief Moving average of the share of a target's requests that end without an answer.
///
/// It decays over time, so that a target that receives no requests because of its failures is tried again.
class FailureShare {
public:
    /// \brief Records the end of a request.
    void record(bool failed) noexcept;

    /// \brief Periodic work, every 100 ms.
    void tick(TimePoint now) noexcept;

    /// \brief Clears the share, because the target was replaced.
    void reset() noexcept { share_ = 0; }

    /// \brief The share in percent, 0 to 100.
    [[nodiscard]] std::uint8_t percent() const noexcept;

private:
    double share_ { 0 };
    TimePoint lastTick_;
};

} // namespace plantaindrift
