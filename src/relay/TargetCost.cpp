#include "relay/TargetCost.h"

#include "plantaindrift/base/Hash.h"

#include <algorithm>

namespace plantaindrift {

namespace {

    // Until a target's first answer is measured; a request that a small server answers at once takes tens of milliseconds.
    constexpr double assumedServiceTenths = 300;

    // Part of a service time that a fully busy target costs more than an idle one.
    constexpr double busyShare = 0.5;

    // An open flow without a request in progress sends a request of 55 ms about once a second.
    constexpr double idleFlowShare = 0.05;

    // A failed request is repeated after it is noticed, or lost; 500 ms is more than most routes' objective.
    constexpr double failureTenths = 5000;

    constexpr double percentScale = 100;

    constexpr double mostTenths = 65535;

    /// Service time and wait of a new request behind others.
    ///
    /// \param spread  further work at the target, in requests
    double timeBehind(TargetLoad const& load, double requests, double spread) noexcept
    {
        double const service = load.serviceTimeTenthMs > 0 ? load.serviceTimeTenthMs : assumedServiceTenths;
        double const slots = std::max<std::uint16_t>(load.slots, 1);
        double const waiting = std::max(0.0, requests + 1 - slots);
        return service * (1 + (waiting + spread) / slots);
    }

} // namespace

double targetCost(TargetLoad const& load, std::uint32_t extra) noexcept
{
    double const requests = static_cast<double>(load.activeRequests) + extra;
    double const served = std::min<double>(requests, std::max<std::uint16_t>(load.slots, 1));
    double const spread = busyShare * served + idleFlowShare * load.openFlows;
    double const failure = failureTenths * load.failedPercent / percentScale;
    return timeBehind(load, requests, spread) + failure;
}

double expectedTime(TargetLoad const& load) noexcept
{
    return timeBehind(load, load.activeRequests, 0);
}

std::uint16_t toCostTenths(double cost) noexcept
{
    return static_cast<std::uint16_t>(std::clamp(cost, 0.0, mostTenths));
}

std::uint64_t searchScore(std::uint64_t nameHash, std::uint64_t flowHash) noexcept
{
    return mixHash(nameHash, flowHash);
}

} // namespace plantaindrift
