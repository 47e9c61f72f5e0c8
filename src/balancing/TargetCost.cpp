#include "balancing/TargetCost.h"

#include "plantaindrift/base/Hash.h"

#include <algorithm>

namespace plantaindrift {

namespace {

    // Used until a target's first answer is measured; a small server takes tens of milliseconds for a request.
    constexpr double assumedServiceTimeTenthMs = 300;

    // Part of the service time by which a fully busy target costs more than an idle one.
    constexpr double busyShare = 0.5;

    // A flow that sends a request of 55 ms about once a second. Flows with fewer requests count as much, so that those that open
    // while all targets are idle are spread evenly.
    constexpr double minimumFlowLoadMilli = 50;
    constexpr double flowLoadScale = 1000;

    // A failed request is retried once the failure is noticed, or lost; 500 ms exceeds the latency objective of most
    // routes.
    constexpr double failureCostTenthMs = 5000;

    constexpr double percentScale = 100;

    constexpr double maximumCostTenthMs = 65535;

    /// Service time and wait of a new request behind others, in 0.1 ms.
    ///
    /// \param spread  additional work at the target, in requests
    double expectedTimeBehind(TargetLoad const& load, double requests, double additionalWork) noexcept
    {
        double const service = load.serviceTimeTenthMs > 0 ? load.serviceTimeTenthMs : assumedServiceTimeTenthMs;
        double const slots = std::max<std::uint16_t>(load.slots, 1);
        double const waiting = std::max(0.0, requests + 1 - slots);
        return service * (1 + (waiting + additionalWork) / slots);
    }

} // namespace

double targetCost(TargetLoad const& load, double extra) noexcept
{
    double const requests = std::max(0.0, load.activeRequests + extra);
    double const served = std::min<double>(requests, std::max<std::uint16_t>(load.slots, 1));
    double const flowLoad = std::max<double>(load.flowLoadMilli, minimumFlowLoadMilli) / flowLoadScale;
    double const additionalWork = busyShare * served + flowLoad * load.openFlows;
    double const failure = failureCostTenthMs * load.failedPercent / percentScale;
    return expectedTimeBehind(load, requests, additionalWork) + failure;
}

double expectedTime(TargetLoad const& load) noexcept
{
    return expectedTimeBehind(load, load.activeRequests, 0);
}

std::uint16_t toCostTenthMs(double cost) noexcept
{
    return static_cast<std::uint16_t>(std::clamp(cost, 0.0, maximumCostTenthMs));
}

std::uint64_t rankScore(std::uint64_t nameHash, std::uint64_t flowHash) noexcept
{
    return mixHash(nameHash, flowHash);
}

} // namespace plantaindrift
