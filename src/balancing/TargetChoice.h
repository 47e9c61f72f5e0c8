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
    double agedRequests { 0 }; ///< requests in progress, as estimated by agedRequests()
    double remoteCostTenthMs { 0 }; ///< cost of the distance; see remoteCost()
    bool isResponsive { false }; ///< has reported, and neither reports nor answers are overdue
    bool wasOffered { false }; ///< an earlier copy of the opening segment was sent there
};

/// \brief Requests in progress at a target, estimated from a report of some age.
///
/// A target that was reported as full receives little and drains, and one that was reported as idle receives what all entries
/// send there. The estimate approaches the mean of the targets of its data centre as the report gets older, but no queue:
/// otherwise targets that have drained would look as full as those that are in use, and would not be tried.
/// \param meanPerSlot  requests in progress for each slot, by the newest reports of the data centre
[[nodiscard]] double agedRequests(TargetLoad const& load, Duration age, double meanPerSlot) noexcept;

/// \brief Weight of a report of some age in a mean, 0 to 1.
[[nodiscard]] double reportWeight(Duration age) noexcept;

/// \brief Upper bound of the random part of a cost, in 0.1 ms. It spreads the choices of entries that have received the
/// same load reports.
inline constexpr std::uint64_t maximumJitterTenthMs = 20;

/// \brief Cost of sending a new flow to a target, in 0.1 ms.
///
/// \param jitterTenthMs  random number below maximumJitterTenthMs
[[nodiscard]] double offerCost(TargetOffer const& offer, std::uint64_t jitterTenthMs) noexcept;

/// \brief Lower bound of the cost of a far target that an agent may choose although the entry would not, in 0.1 ms.
///
/// \param limitTenthMs  latency limit of the new flow, 0 for none
[[nodiscard]] double lastResortCost(std::uint16_t limitTenthMs) noexcept;

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
