#pragma once

#include <cstdint>
#include <string>

namespace plantaindrift {

/// \brief Text of a new [[key]] table for a key file, with fresh random keys.
///
/// \param epoch  number that packets name the key by; keys in use together need different numbers
[[nodiscard]] std::string generateKeyText(std::uint8_t epoch);

} // namespace plantaindrift
