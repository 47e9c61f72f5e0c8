#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/relay/RelayMessage.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace plantaindrift {

/// \brief A relay's decision about a segment, with its inputs.
struct RelayDecision {
    std::string_view outcome;
    std::string_view reason; ///< why the data centre or the action was chosen; empty if the outcome says it
    RelayFlow flow;
    std::uint32_t openAttempt { 0 }; ///< number of the caller's attempt to open the flow; 0 for the first attempt and for later segments
    Endpoint destination; ///< receiver of the segment; unset if the segment was dropped
    std::uint8_t hops { 0 };
    double costTenthMs { 0 }; ///< expected time at the chosen target, in 0.1 ms; 0 if not known
    TargetLoad load; ///< of the chosen target (entry) or the agent's own target (agent)
    std::chrono::milliseconds loadAge { 0 };
};

/// \brief What led an entry to the conclusion that no target holds a flow.
struct LostFlowEvidence {
    RelayFlow flow;
    std::chrono::milliseconds searchTime { 0 }; ///< since the first segment of the flow
    std::size_t repliedTargets { 0 }; ///< their agents replied that they do not hold the flow
    std::size_t endedTargets { 0 }; ///< announced their end, and did not reply
    std::size_t silentTargets { 0 }; ///< silent for so long that they are considered gone
    std::chrono::milliseconds shortestSilence { 0 }; ///< of the silent targets
    std::size_t searchedServices { 0 }; ///< services to which the targets belong
    std::chrono::milliseconds viewAge { 0 }; ///< since a target was last added to the view of one of these services
    std::optional<std::chrono::milliseconds> memberListAge; ///< since the last read of the member list started; unset without one
    std::chrono::milliseconds entryUptime { 0 }; ///< since the start of the entry
    bool isAfterPowerLoss { false }; ///< the entry takes its start for that after a power loss
};

/// \brief Receives relay decisions, for logging. Must not block.
class RelayObserver {
public:
    virtual ~RelayObserver() = default;
    virtual void onDecision(RelayDecision const& decision) noexcept = 0;
    virtual void onFlowLost(LostFlowEvidence const& /*evidence*/) noexcept { }
};

} // namespace plantaindrift
