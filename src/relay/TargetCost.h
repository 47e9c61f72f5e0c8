#pragma once

#include "plantaindrift/relay/RelayMessage.h"

#include <cstdint>

namespace plantaindrift {

/// \brief Time that a new request is expected to take at a target, in 0.1 ms.
///
/// The service time, the wait behind queued requests, and a small share for work that does not queue yet: it spreads
/// new flows evenly while every target has free slots. A target that fails requests costs their repetition as well.
/// \param extra  requests that are on their way there and not in the load yet
[[nodiscard]] double targetCost(TargetLoad const& load, std::uint32_t extra) noexcept;

/// \brief Time that a request takes at a target with its wait, in 0.1 ms, as far as its load tells.
[[nodiscard]] double expectedTime(TargetLoad const& load) noexcept;

/// \brief A cost as carried by a relayed packet.
[[nodiscard]] std::uint16_t toCostTenths(double cost) noexcept;

/// \brief Score of a target for a flow; the highest ranks first in every process.
[[nodiscard]] std::uint64_t searchScore(std::uint64_t nameHash, std::uint64_t flowHash) noexcept;

} // namespace plantaindrift
