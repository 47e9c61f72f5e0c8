#pragma once

#include "plantaindrift/relay/RemoteOptions.h"

#include <optional>

namespace plantaindrift {

/// \brief Bytes that a request moves between its caller and its target.
struct RequestBytes {
    double fromCaller { 0 };
    double toCaller { 0 };
};

/// \brief Cost of the distance to a target, in 0.1 ms.
struct RemoteCost {
    double delayTenthMs { 0 }; ///< time by which the request takes longer
    double priceTenthMs { 0 }; ///< time that the request must save besides, because its bytes cost money
    bool isFar { false }; ///< a flow may leave only within the permitted share

    [[nodiscard]] double total() const noexcept { return delayTenthMs + priceTenthMs; }
};

/// \brief Cost of sending a new flow to a target of another data centre.
///
/// The cost is at least the fixed 2 ms that entries assumed before they measured the distance. Up to this cost, a price applies
/// only if the settings state one.
/// \param extraTenthMs  time by which a round trip is longer, in 0.1 ms; empty if it was not measured
[[nodiscard]] RemoteCost remoteCost(std::optional<double> extraTenthMs, RequestBytes const& bytes, RemoteOptions const& options) noexcept;

/// \brief What the permitted share depends on; times in 0.1 ms.
struct RemoteInputs {
    bool hasLocal { false }; ///< some target within reach accepts new flows
    bool hasFar { false }; ///< some target beyond it accepts new flows
    double localTenthMs { 0 }; ///< mean expected time of a request within reach
    double farTenthMs { 0 }; ///< the same in the best other data centre, with the delay of the distance
    double limitTenthMs { 0 }; ///< tightest latency limit of the service's routes; 0 if none has one
};

/// \brief Gain beyond the cost of the distance for which a flow leaves, in 0.1 ms.
///
/// The cheapest of several far targets looks cheaper than it is, because the reports of their loads are old.
inline constexpr double leavingMarginTenthMs = 50;

/// \brief Decides which share of a service's new flows may leave the entry's data centre.
///
/// Answers demand in one data centre that exceeds its targets. A flow that may leave still leaves only if a target elsewhere
/// is cheaper by remoteCost(). The share changes in bounded steps and with hysteresis, because all entries of a data centre
/// act on the same reports, which are up to 2 s old.
class RemotePolicy {
public:
    /// \brief Periodic work, every 100 ms.
    void update(RemoteInputs const& inputs) noexcept;

    /// \brief Share of new flows that may leave, 0 to 1.
    [[nodiscard]] double share() const noexcept { return share_; }

private:
    double share_ { 0 };
};

} // namespace plantaindrift
