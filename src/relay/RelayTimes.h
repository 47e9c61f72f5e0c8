#pragma once

#include <chrono>

namespace plantaindrift {

/// \brief Idle time after which the platform may discard a flow.
inline constexpr std::chrono::seconds platformFlowTimeout { 60 };

} // namespace plantaindrift
