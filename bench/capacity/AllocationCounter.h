#pragma once

#include <cstddef>

namespace plantaindrift::bench {

/// \brief Bytes requested from operator new and not yet freed, over the whole program.
[[nodiscard]] std::size_t allocatedBytes() noexcept;

} // namespace plantaindrift::bench
