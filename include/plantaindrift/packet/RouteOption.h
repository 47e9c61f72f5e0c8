#pragma once

#include "plantaindrift/base/Types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace plantaindrift {

/// \brief Most candidates that one route option carries.
inline constexpr std::size_t maximumCandidates = 8;

/// \brief Most times a packet is sent on between agents before it is dropped.
inline constexpr std::uint8_t maximumHops = 16;

/// \brief Route of one packet from an entry along the agents of a service.
struct RouteOption {
    ServiceHash service {};
    std::uint32_t viewFingerprint { 0 }; ///< of the membership the candidates were ranked with
    Endpoint entry; ///< entry that takes owner notices for this packet
    Endpoint claimant; ///< agent that admits the flow if no candidate knows it; unset if none
    bool returning { false }; ///< first packet: the probe found no owner and goes back to the claimant
    bool alongList { false }; ///< later packet: notes led nowhere, and the search goes along the candidates
    std::uint8_t hops { 0 }; ///< times the packet was sent on between agents
    std::uint8_t position { 0 }; ///< index of the candidate the packet was sent to
    std::uint8_t candidateCount { 0 };
    std::array<Endpoint, maximumCandidates> candidates {};
    std::uint32_t sentSeconds { 0 }; ///< wall clock of the sender, seconds since 1970, for replay protection

    /// \brief The candidates that are set.
    [[nodiscard]] std::span<Endpoint const> candidateSpan() const noexcept { return { candidates.data(), candidateCount }; }
};

} // namespace plantaindrift
