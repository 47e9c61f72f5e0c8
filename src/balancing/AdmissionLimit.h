#pragma once

#include "plantaindrift/relay/RelayMessage.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

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

/// \brief True if a target can admit a new flow within a limit.
///
/// \param limit  result of admissionLimit(), in 0.1 ms; 0 for no limit
/// \param copy  number of the opening segment's retransmission; a retransmission has used up part of its time
[[nodiscard]] bool isWithinLimit(TargetLoad const& load, std::uint16_t limit, std::uint32_t copy) noexcept;

/// \brief Moving average of the share of new flows that exceed the latency limit; decides whether refusals are useful.
class LateShare {
public:
    /// \brief Records an original opening segment; retransmissions are not counted.
    void record(bool isOverLimit) noexcept;

    /// \brief True if a refused caller is likely to be admitted at one of its next attempts.
    ///
    /// Callers try again within 100 ms and give up after a few attempts. While most new flows exceed the limit, all
    /// attempts would fail within that short time; a caller whose segment is dropped retransmits it later than that.
    [[nodiscard]] bool isRetryUseful() const noexcept;

private:
    double share_ { 0 };
};

} // namespace plantaindrift
