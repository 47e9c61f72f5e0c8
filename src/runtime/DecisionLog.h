#pragma once

#include "plantaindrift/relay/RelayObserver.h"

#include <cstdint>

namespace plantaindrift {

/// \brief Writes one line for each decision of a relay, up to a bound a second; tells how many were left out.
class DecisionLog final : public RelayObserver {
public:
    /// \brief Lines a second; ten times the new flows of an entry today.
    static constexpr std::uint32_t linesPerSecond = 500;

    void onDecision(RelayDecision const& decision) noexcept override;

private:
    TimePoint second_;
    std::uint32_t written_ { 0 };
    std::uint64_t leftOut_ { 0 };

    [[nodiscard]] bool takeLine();
};

} // namespace plantaindrift
