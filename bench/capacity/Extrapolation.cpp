#include "Measurements.h"

#include <cmath>
#include <cstdio>

namespace plantaindrift::bench {

void print(std::string const& key, double value)
{
    std::printf("%s=%.6g\n", key.c_str(), value);
    std::fflush(stdout);
}

void extrapolate(std::string const& key, std::span<int const> sizes, std::span<double const> values)
{
    if (sizes.size() < 2)
        return;
    double const count = static_cast<double>(sizes.size());
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    for (std::size_t index = 0; index < sizes.size(); ++index) {
        double const x = std::log(static_cast<double>(sizes[index]));
        sumX += x;
        sumY += values[index];
        sumXX += x * x;
        sumXY += x * values[index];
    }
    double const slope = (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
    double const base = (sumY - slope * sumX) / count;
    for (std::size_t index = 0; index < sizes.size(); ++index)
        print(key + "_residual_" + std::to_string(sizes[index]), values[index] - base - slope * std::log(static_cast<double>(sizes[index])));
    print(key + "_at_" + std::to_string(plannedEntries), base + slope * std::log(static_cast<double>(plannedEntries)));
}

} // namespace plantaindrift::bench
