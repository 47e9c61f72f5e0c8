#pragma once

#include "balancing/AdmissionLimit.h"
#include "plantaindrift/relay/RelayMessage.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace plantaindrift {

/// \brief Maximum number of times that agents forward one opening segment.
inline constexpr std::uint8_t maximumOpeningForwards = 3;

/// \brief What an agent does with an opening segment.
enum class OpeningAction : std::uint8_t {
    Admit, ///< deliver it to the local target
    ForwardToCandidate, ///< send it to an agent that the entry named
    ForwardToPeer, ///< send it to any agent of the service
    Refuse, ///< reset the caller: nothing ran, and the caller may try again at once
    Drop ///< the caller retransmits the segment
};

/// \brief Why an agent decided so.
enum class OpeningReason : std::uint8_t {
    KnownFlow, ///< the target has been offered the flow before
    HasRoom, ///< the expected time is within the latency limit
    CheaperCandidate, ///< another target is expected to answer sooner by a margin
    NotAccepting, ///< the local target takes no new flows
    OverLimit ///< the expected time exceeds the latency limit
};

inline constexpr std::size_t openingReasonCount = 5;
inline constexpr std::size_t openingActionCount = 5;

/// \brief Lower-case names, as in logs and metrics.
[[nodiscard]] std::string_view openingActionName(OpeningAction action) noexcept;
[[nodiscard]] std::string_view openingReasonName(OpeningReason reason) noexcept;

/// \brief What the decision about an opening segment depends on.
struct OpeningInputs {
    TargetLoad load; ///< of the local target
    bool isKnownFlow { false }; ///< the target was offered the flow before and has not ended it
    std::uint16_t latencyLimitTenthMs { 0 }; ///< in 0.1 ms; 0 for no limit
    std::uint32_t copy { 0 }; ///< number of the retransmission, 0 for the original
    std::uint8_t hops { 0 }; ///< number of times that agents forwarded the segment
    std::span<RelayCandidate const> candidates; ///< agents that the entry named and that have not received the segment
};

/// \brief A decision about an opening segment.
struct OpeningDecision {
    OpeningAction action { OpeningAction::Admit };
    OpeningReason reason { OpeningReason::HasRoom };
    std::size_t candidate { 0 }; ///< index into the candidates, for ForwardToCandidate
};

/// \brief Decides at an agent what becomes of opening segments.
///
/// Answers surges in which entries that know the same old load reports choose the same targets, and overload in which no
/// target can answer in time.
class OpeningPolicy {
public:
    [[nodiscard]] OpeningDecision decide(OpeningInputs const& inputs) noexcept;
};

} // namespace plantaindrift
