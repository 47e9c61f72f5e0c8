#pragma once

#include "plantaindrift/relay/RelayObserver.h"

#include <cstdint>

namespace plantaindrift {

/// \brief Logs the decisions of a relay, rate-limited; logs how many lines were suppressed.
class DecisionLog final : public RelayObserver {
public:
    /// \brief Maximum log lines per second: ten times the current rate of new flows of an entry.
    static constexpr std::uint32_t linesPerSecond = 500;

    /// \brief Maximum log lines per second about lost flows; they have a quota of their own because each leads to a reset.
    static constexpr std::uint32_t lostFlowLinesPerSecond = 50;

    void onDecision(RelayDecision const& decision) noexcept override;
    void onFlowLost(LostFlowEvidence const& evidence) noexcept override;

private:
    struct Quota {
        std::uint32_t linesPerSecond { 0 };
        TimePoint windowStart;
        std::uint32_t linesInWindow { 0 };
        std::uint64_t suppressedLines { 0 };
    };

    Quota decisions_ { linesPerSecond, {}, 0, 0 };
    Quota lostFlows_ { lostFlowLinesPerSecond, {}, 0, 0 };

    [[nodiscard]] static bool consume(Quota& quota);
};

} // namespace plantaindrift
