#pragma once

#include <chrono>

namespace plantaindrift {

/// \brief A flow without packets for this time, or older, may be discarded by the system that callers rely on.
inline constexpr std::chrono::seconds flowLifetime { 60 };

} // namespace plantaindrift
