#pragma once

#include "plantaindrift/relay/Segment.h"
#include "relay/TargetDirectory.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace plantaindrift {

/// \brief Maximum number of targets that a search tracks; in services with more, lost flows are not reset.
inline constexpr std::size_t maximumTrackedTargets = 256;

/// \brief Search of an entry for the owner of a flow, with the agents that reported that they do not hold it.
struct OwnerSearch {
    std::uint64_t hash { 0 };
    bool used { false };
    bool isContinued { false }; ///< further agents were queried because the first reply was late
    std::uint8_t rank { 0 }; ///< rank of the queried agent for the flow
    TimePoint started; ///< time of the caller's first segment
    TimePoint asked;
    Segment segment; ///< last segment of the caller

    /// \brief Starts a round of queries; keeps a copy of the segment unless it is too long.
    void begin(std::span<std::byte const> datagram, TimePoint now) noexcept;

    /// \brief The copy of the segment; empty if it was too long.
    [[nodiscard]] std::span<std::byte const> keptSegment() const noexcept { return std::span<std::byte const>(kept_).first(keptBytes_); }

    /// \brief Records that an agent's target does not hold the flow.
    void markNotFound(TargetGroup const& service, Endpoint agent) noexcept;

    /// \brief Discards the replies, because the indices of the targets change.
    void clearReplies() noexcept { notFound_ = {}; }

    /// \brief Agents that have not replied.
    [[nodiscard]] std::vector<Endpoint> missing(TargetGroup const& service) const;

    /// \brief True if every target that may be running has replied.
    ///
    /// \param goneTimeout  time without a load report after which a target that sent reports before is considered gone
    [[nodiscard]] bool isNotFoundEverywhere(TargetGroup const& service, Duration goneTimeout, TimePoint now) const noexcept;

    /// \brief Maximum length of a segment that is kept: the maximum of the platforms' formats.
    static constexpr std::size_t maximumKeptSegmentBytes = 1280;

private:
    std::array<std::uint64_t, maximumTrackedTargets / 64> notFound_ {}; ///< bit per target index
    std::uint16_t keptBytes_ { 0 };
    std::array<std::byte, maximumKeptSegmentBytes> kept_ {}; ///< the segment that started the round

    [[nodiscard]] bool isNotFound(std::size_t index) const noexcept { return (notFound_[index / 64] >> (index % 64) & 1U) != 0; }
};

} // namespace plantaindrift
