#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/relay/RelayMessage.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace plantaindrift {

/// \brief A decision that touches a flow, with the inputs that decided it.
struct RelayDecision {
    std::string_view outcome;
    RelayFlow flow;
    std::uint32_t openAttempt { 0 }; ///< number of the opening segment; 0 for the first and for later segments
    Endpoint destination; ///< where the segment goes; unset if it was dropped
    std::uint8_t hops { 0 };
    double costTenthMs { 0 }; ///< expected time at the chosen target, in 0.1 ms; 0 if not known
    TargetLoad load; ///< of the chosen target (entry) or the own one (agent)
    std::chrono::milliseconds loadAge { 0 };
};

/// \brief Is told of decisions, for the log. Must not block.
class RelayObserver {
public:
    virtual ~RelayObserver() = default;
    virtual void onDecision(RelayDecision const& decision) noexcept = 0;
};

} // namespace plantaindrift
