#include "plantaindrift/base/LatencyHistogram.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <numeric>

namespace plantaindrift {

void LatencyHistogram::observe(Duration time) noexcept
{
    double const seconds = std::max(std::chrono::duration<double>(time).count(), 0.0);
    auto const bound = std::lower_bound(upperBounds.begin(), upperBounds.end(), seconds);
    ++counts_[static_cast<std::size_t>(std::distance(upperBounds.begin(), bound))];
    sumSeconds_ += seconds;
}

std::uint64_t LatencyHistogram::total() const noexcept
{
    return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t { 0 });
}

} // namespace plantaindrift
