#pragma once

#include "plantaindrift/base/Types.h"

#include <cstdint>

namespace plantaindrift {

/// \brief Part of a target's latest requests that ended without an answer.
///
/// It falls while no request comes, so that a target that is avoided is tried again.
class FailureShare {
public:
    /// \brief A request ended.
    void note(bool failed) noexcept;

    /// \brief Periodic work, every 100 ms.
    void tick(TimePoint now) noexcept;

    /// \brief Forgets everything, because the target was replaced.
    void reset() noexcept { share_ = 0; }

    /// \brief The share in percent, 0 to 100.
    [[nodiscard]] std::uint8_t percent() const noexcept;

private:
    double share_ { 0 };
    TimePoint lastTick_;
};

} // namespace plantaindrift
