#pragma once

#include <string_view>

namespace plantaindrift {

/// \brief First digits of a digest of the sources that this program was built from.
[[nodiscard]] std::string_view sourceDigest() noexcept;

} // namespace plantaindrift
