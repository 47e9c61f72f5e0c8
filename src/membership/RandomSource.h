#pragma once

#include "plantaindrift/base/Hash.h"

#include <cstdint>

namespace plantaindrift {

/// \brief Random numbers from a seed, the same on every machine.
class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed) noexcept
        : seed_(seed)
    {
    }

    [[nodiscard]] std::uint64_t next() noexcept { return mixHash(seed_, ++counter_); }

    /// \brief A number below the bound, which must be above 0.
    [[nodiscard]] std::size_t below(std::size_t bound) noexcept { return static_cast<std::size_t>(next() % bound); }

private:
    std::uint64_t seed_;
    std::uint64_t counter_ { 0 };
};

} // namespace plantaindrift
