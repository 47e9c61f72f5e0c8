#pragma once

#include "balancing/AdmissionLimit.h"
#include "plantaindrift/relay/OpeningReason.h"
#include "plantaindrift/relay/RelayMessage.h"

#include <array>
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
    Drop, ///< the caller retransmits the segment
    ReturnToEntry ///< the entry, which knows the loads of all targets, offers it to another one or refuses it
};

inline constexpr std::size_t openingActionCount = 6;

/// \brief Lower-case name of an action, as in metrics.
[[nodiscard]] std::string_view openingActionName(OpeningAction action) noexcept;

/// \brief Number of decisions about opening segments, by action and reason.
using OpeningCounts = std::array<std::array<std::uint64_t, openingReasonCount>, openingActionCount>;

/// \brief What the decision about an opening segment depends on.
struct OpeningInputs {
    TargetLoad load; ///< of the local target
    bool isKnownFlow { false }; ///< the target was offered the flow before and has not ended it
    bool isEvacuated { false }; ///< the data centre of the target is evacuated
    bool isColdLimitReached { false }; ///< the target is cold and has received what it takes in a second
    bool isLastOffer { false }; ///< the entry found no target with more room
    bool hasEntry { false }; ///< an entry receives what is returned
    bool mayBeOpen { false }; ///< an earlier copy may have opened the flow, which a reset would break
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
/// Keeps new flows out of an evacuated data centre whose entries have not all received the evacuation, and beyond what a cold
/// target takes. What the target cannot take goes to the candidates that the entry named, then back to the entry, before it is
/// refused. Answers surges in which entries that know the same old load reports choose the same targets, and overload in which no
/// target can answer in time.
[[nodiscard]] OpeningDecision decideOpening(OpeningInputs const& inputs) noexcept;

} // namespace plantaindrift
