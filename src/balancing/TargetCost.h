#pragma once

#include "plantaindrift/relay/RelayMessage.h"

#include <cstdint>

namespace plantaindrift {

/// \brief Cost of sending a new request to a target, in 0.1 ms.
///
/// The sum of the service time, the wait behind queued requests, a small share for work that does not queue yet, and
/// the expected cost of retrying failed requests. The small share spreads new flows evenly while every target has free
/// slots.
/// \param extra  requests by which the load is estimated to differ from the reported one
[[nodiscard]] double targetCost(TargetLoad const& load, double extra) noexcept;

/// \brief Expected time of a request at a target including its wait, in 0.1 ms, by its reported load.
[[nodiscard]] double expectedTime(TargetLoad const& load) noexcept;

/// \brief Converts a cost to the field of a relayed packet; limits it to 0 to 65535.
[[nodiscard]] std::uint16_t toCostTenthMs(double cost) noexcept;

/// \brief Rank score of a target for a flow; the highest ranks first, the same in every process.
[[nodiscard]] std::uint64_t rankScore(std::uint64_t nameHash, std::uint64_t flowHash) noexcept;

} // namespace plantaindrift
