#pragma once

#include "plantaindrift/relay/RelayMessage.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>

namespace plantaindrift {

/// \brief Maximum expected time at a target at which a request is still offered to it, in 0.1 ms.
///
/// While a service receives more work than its targets can do, a FIFO queue makes every request late. Requests that
/// would be late are refused instead, so that admitted ones meet the latency objective. Less urgent routes have lower
/// limits and are refused first.
/// \param objective  latency objective of the route; 0 if it has none
/// \param rank  number of more urgent priorities among the routes of the service
/// \returns          0 if the route has no objective: nothing is refused
[[nodiscard]] std::uint16_t admissionLimit(std::chrono::milliseconds objective, std::size_t rank) noexcept;

/// \brief Latency limit of a route beside the limits of more urgent ones of the same service, in 0.1 ms.
///
/// At any load, a less urgent request is refused before a more urgent one. Without this bound, routes with a longer objective
/// or with none would fill the queues of targets beyond the limit of urgent routes with a short one.
/// \param own  result of admissionLimit() for the route
/// \param moreUrgent  tightest limit of each more urgent priority, the most urgent first; 0 for none
[[nodiscard]] std::uint16_t orderedLimit(std::uint16_t own, std::span<std::uint16_t const> moreUrgent) noexcept;

/// \brief True if a target can admit a new flow within a limit.
///
/// \param limit  result of admissionLimit(), in 0.1 ms; 0 for no limit
/// \param copy  number of the opening segment's retransmission; a retransmission has used up part of its time
[[nodiscard]] bool isWithinLimit(TargetLoad const& load, std::uint16_t limit, std::uint32_t copy) noexcept;

} // namespace plantaindrift
