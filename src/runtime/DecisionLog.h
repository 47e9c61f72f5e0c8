#pragma once

#include "plantaindrift/relay/RelayObserver.h"

#include <cstdint>

namespace plantaindrift {

/// \brief Logs the decisions of a relay, rate-limited; logs how many lines were suppressed.
class DecisionLog final : public RelayObserver {
public:
    /// \brief Maximum log lines per second: ten times the current rate of new flows of an entry.
    static constexpr std::uint32_t linesPerSecond = 500;

    void onDecision(RelayDecision const& decision) noexcept override;

private:
    TimePoint windowStart_;
    std::uint32_t linesInWindow_ { 0 };
    std::uint64_t suppressedLines_ { 0 };

    [[nodiscard]] bool consumeLineQuota();
};

} // namespace plantaindrift
