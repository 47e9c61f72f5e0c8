#pragma once

#include "plantaindrift/relay/RelayMessage.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace plantaindrift {

/// \brief Longest expected time at a target with which a request is still offered to it, in 0.1 ms.
///
/// While a service has more work than its targets can do, a queue that is served in order makes every request late.
/// Requests that would be late are refused instead, so that those that are taken keep the objective; less urgent routes
/// give way first.
/// \param objective  latency objective of the route; 0 if it has none
/// \param rank       number of more urgent priorities among the routes of the service
/// \returns          0 if the route has no objective: nothing is refused
[[nodiscard]] std::uint16_t admissionLimit(std::chrono::milliseconds objective, std::size_t rank) noexcept;

/// \brief True if a target can take a new flow within a limit.
///
/// \param limit  of admissionLimit
/// \param copy   number of the opening segment's copy; a later one has used up part of its time
[[nodiscard]] bool isWithinLimit(TargetLoad const& load, std::uint16_t limit, std::uint32_t copy) noexcept;

/// \brief Share of new flows that came too late lately, and what that says about a refusal.
class LateShare {
public:
    /// \brief A first copy came; later copies are not counted.
    void note(bool wasLate) noexcept;

    /// \brief True if a caller that is refused is likely to be taken at one of its next tries.
    ///
    /// Callers try again within 100 ms, and give up after a few tries. While most new flows come too late, all tries would
    /// fail within a moment; the caller's next copies come later than that.
    [[nodiscard]] bool isRetryUseful() const noexcept;

private:
    double share_ { 0 };
};

} // namespace plantaindrift
