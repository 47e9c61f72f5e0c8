#pragma once

#include "plantaindrift/relay/RelayMessage.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace plantaindrift {

/// \brief What an entry knows of a target to which a new flow may be sent.
struct TargetOffer {
    TargetLoad load; ///< as reported last
    std::uint32_t pendingOpenings { 0 }; ///< opening segments sent since that report
    bool isLocal { false }; ///< in the entry's data centre
    bool isResponsive { false }; ///< has reported, and neither reports nor answers are overdue
    bool wasOffered { false }; ///< an earlier copy of the opening segment was sent there
};

/// \brief Upper bound of the random part of a cost, in 0.1 ms. It spreads the choices of entries that have received the
/// same load reports.
inline constexpr std::uint64_t maximumJitterTenthMs = 20;

/// \brief Cost of sending a new flow to a target, in 0.1 ms.
///
/// \param jitterTenthMs  random number below maximumJitterTenthMs
[[nodiscard]] double offerCost(TargetOffer const& offer, std::uint64_t jitterTenthMs) noexcept;

/// \brief The cheapest of the offers that were added, in order of cost.
class CheapestOffers {
public:
    struct Ranked {
        double costTenthMs { 0 };
        std::size_t target { 0 }; ///< index that the caller gave
    };

    void add(double costTenthMs, std::size_t target) noexcept;

    [[nodiscard]] std::span<Ranked const> ranked() const noexcept { return { ranked_.data(), count_ }; }

private:
    std::array<Ranked, maximumRelayCandidates> ranked_ {};
    std::size_t count_ { 0 };
};

} // namespace plantaindrift
