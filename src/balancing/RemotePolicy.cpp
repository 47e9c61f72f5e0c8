#include "balancing/RemotePolicy.h"

#include <algorithm>
#include <cmath>

namespace plantaindrift {

namespace {

    constexpr std::array<std::string_view, remoteReasonCount> reasonNames { "local", "near", "shorter_wait", "no_local_target", "always" };

    // Two round trips of 1 ms: half a millisecond one way, as between neighbouring data centres.
    constexpr double assumedCostTenthMs = 20;

    // Up to this delay, a twentieth of an objective of 200 ms, a data centre is near. Its delay then counts as the assumed cost:
    // a flow that stays open binds all of its requests to the targets of one data centre, whose demand may rise by half, so
    // that open flows are better spread over all of them. Only bytes keep a flow local.
    constexpr double maximumNearTenthMs = 100;

    // The opening segment and the request; both go through the entry to the agent, whose answers go to the caller.
    constexpr double baseRoundTrips = 2;

    // A caller has at most 16 segments of 1,200 bytes in flight, so that further data waits for another round trip.
    constexpr double windowBytes = 16 * 1200;

    constexpr double bytesPerMegabyte = 1e6;
    constexpr double tenthsPerMillisecond = 10;
    constexpr double defaultMsPerMegabyte = 50;

    // Flows begin to leave for a gain of a sixteenth of the latency limit: 10 ms for an objective of 200 ms.
    constexpr double thresholdShareOfLimit = 1.0 / 16;
    constexpr double defaultThresholdTenthMs = 100;
    constexpr double minimumThresholdTenthMs = 20;

    // A share of 0.35, which relieves targets from 1.55 times their capacity, is reached within 0.4 s.
    constexpr double increasePerTick = 0.1;

    // Smaller than the increase, so that entries do not withdraw together on the first reports of the relief.
    constexpr double decreasePerTick = 0.05;

} // namespace

std::string_view remoteReasonName(RemoteReason reason) noexcept
{
    return reasonNames[static_cast<std::size_t>(reason)];
}

RemoteCost remoteCost(std::optional<double> extraTenthMs, RequestBytes const& bytes, RemoteOptions const& options) noexcept
{
    RemoteCost cost;
    double const baseTenthMs = baseRoundTrips * extraTenthMs.value_or(0);
    cost.isFar = baseTenthMs > maximumNearTenthMs;
    double const furtherRoundTrips = std::floor(bytes.fromCaller / windowBytes) + std::floor(bytes.toCaller / windowBytes);
    bool const isBeyondAssumed = baseTenthMs > assumedCostTenthMs;
    cost.delayTenthMs = cost.isFar ? baseTenthMs : assumedCostTenthMs;
    cost.delayTenthMs += isBeyondAssumed ? furtherRoundTrips * *extraTenthMs : 0;
    double const msPerMegabyte = options.msPerMegabyte.value_or(isBeyondAssumed ? defaultMsPerMegabyte : 0);
    if (options.mode != RemoteMode::Always)
        cost.priceTenthMs = (bytes.fromCaller + bytes.toCaller) / bytesPerMegabyte * msPerMegabyte * tenthsPerMillisecond;
    return cost;
}

void RemotePolicy::update(RemoteInputs const& inputs) noexcept
{
    double const threshold = inputs.limitTenthMs > 0 ? std::max(minimumThresholdTenthMs, inputs.limitTenthMs * thresholdShareOfLimit) : defaultThresholdTenthMs;
    double const gain = inputs.hasLocal ? inputs.localTenthMs - inputs.farTenthMs : threshold + 1;
    if (inputs.hasFar && gain > threshold)
        share_ = std::min(1.0, share_ + increasePerTick);
    else if (!inputs.hasFar || gain < threshold / 2)
        share_ = std::max(0.0, share_ - decreasePerTick);
}

} // namespace plantaindrift
