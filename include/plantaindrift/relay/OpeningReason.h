#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace plantaindrift {

/// \brief Why an agent decided so about an opening segment.
enum class OpeningReason : std::uint8_t {
    KnownFlow, ///< the target has been offered the flow before
    HasRoom, ///< the expected time is within the latency limit
    CheaperCandidate, ///< another target is expected to answer sooner by a margin
    NotAccepting, ///< the local target takes no new flows
    OverLimit, ///< the expected time exceeds the latency limit
    Evacuated, ///< the data centre of the local target is evacuated
    TargetFull, ///< the local target returned the segment
    Cold ///< the local target is cold and has received what it takes in a second
};

inline constexpr std::size_t openingReasonCount = 8;

/// \brief Lower-case name of a reason, as in logs and metrics.
[[nodiscard]] std::string_view openingReasonName(OpeningReason reason) noexcept;

} // namespace plantaindrift
