#pragma once

#include "plantaindrift/base/Types.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace plantaindrift {

/// \brief Counts measured times by class, as the metrics page serves them.
///
/// One thread writes and reads it. Nothing is allocated.
class LatencyHistogram {
public:
    /// \brief Upper bounds of the classes in seconds; longer times belong to a last class without a bound.
    ///
    /// From a segment's way through a data centre to a caller's deadline of seconds, in steps of 1, 2 and 5.
    static constexpr std::array<double, 13> upperBounds { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10 };

    /// \brief Times in each class, the one without a bound last.
    using Counts = std::array<std::uint64_t, upperBounds.size() + 1>;

    /// \brief Counts one time; a negative one counts as zero.
    void observe(Duration time) noexcept;

    [[nodiscard]] Counts const& counts() const noexcept { return counts_; }

    [[nodiscard]] std::uint64_t total() const noexcept;

    /// \brief Sum of all times, in seconds.
    [[nodiscard]] double sumSeconds() const noexcept { return sumSeconds_; }

private:
    Counts counts_ {};
    double sumSeconds_ { 0 };
};

} // namespace plantaindrift
