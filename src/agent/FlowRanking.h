#pragma once

#include "agent/ViewState.h"
#include "plantaindrift/packet/RouteOption.h"

#include <array>
#include <cstddef>

namespace plantaindrift {

/// \brief The first candidates of a flow in the order of the entries.
struct RankedCandidates {
    std::array<Endpoint, maximumCandidates> endpoints {};
    std::size_t count { 0 };
    std::size_t evaluated { 0 }; ///< scores computed, as a measure of cost
};

/// \brief Ranks the live targets of the agent's own view for a flow; allocates nothing.
[[nodiscard]] RankedCandidates rankCandidates(ViewState const& view, FlowHash flow) noexcept;

} // namespace plantaindrift
