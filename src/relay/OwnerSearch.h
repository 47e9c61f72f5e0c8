#pragma once

#include "plantaindrift/relay/Segment.h"
#include "relay/TargetDirectory.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace plantaindrift {

/// \brief Services with more targets get no reset for lost flows.
inline constexpr std::size_t mostSearchedTargets = 256;

/// \brief A flow whose owner an entry looks for, and the agents that said that they do not have it.
struct OwnerSearch {
    std::uint64_t hash { 0 };
    bool used { false };
    bool continued { false }; ///< further agents were asked because the first answer was late
    std::uint8_t rank { 0 }; ///< of the agent that is asked
    TimePoint started; ///< at the caller's first segment
    TimePoint asked;
    Segment segment; ///< the caller's last one

    /// \brief Starts to ask, with a copy of the segment unless it is too long.
    void begin(std::span<std::byte const> datagram, TimePoint now) noexcept;

    /// \brief The copy of the segment; empty if there is none.
    [[nodiscard]] std::span<std::byte const> keptSegment() const noexcept { return std::span<std::byte const>(kept_).first(keptBytes_); }

    /// \brief An agent said that its target does not have the flow.
    void markAbsent(TargetGroup const& service, Endpoint agent) noexcept;

    /// \brief Forgets the answers, because targets are counted anew.
    void forgetAnswers() noexcept { absent_ = {}; }

    /// \brief Agents that have not answered.
    [[nodiscard]] std::vector<Endpoint> missing(TargetGroup const& service) const;

    /// \brief True if every target that may live has answered.
    ///
    /// \param goneTime  silence after which a target that was heard before is taken as gone
    [[nodiscard]] bool isAbsentEverywhere(TargetGroup const& service, Duration goneTime, TimePoint now) const noexcept;

    /// \brief Longest segment that is kept: the largest of the platforms' formats.
    static constexpr std::size_t keptSegmentBytes = 1280;

private:
    std::array<std::uint64_t, mostSearchedTargets / 64> absent_ {}; ///< by target index
    std::uint16_t keptBytes_ { 0 };
    std::array<std::byte, keptSegmentBytes> kept_ {}; ///< segment that started the search

    [[nodiscard]] bool isAbsent(std::size_t index) const noexcept { return (absent_[index / 64] >> (index % 64) & 1U) != 0; }
};

} // namespace plantaindrift
