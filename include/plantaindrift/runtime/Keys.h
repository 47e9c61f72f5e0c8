#pragma once

#include <cstdint>
#include <string>

namespace plantaindrift {

/// \brief Returns the TOML text of a [[key]] table with newly generated random keys.
///
/// \param epoch  key number that packets carry; keys in use at the same time need different epochs
[[nodiscard]] std::string generateKeyText(std::uint8_t epoch);

} // namespace plantaindrift
