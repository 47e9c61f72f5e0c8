#pragma once

#include "plantaindrift/configuration/Configuration.h"

#include <string>

namespace plantaindrift {

/// \brief Version of the file format, the value of the key `format`.
inline constexpr int configurationFormat = 1;

/// \brief The same declaration with services, addresses, targets and data centres sorted.
[[nodiscard]] Configuration canonicalConfiguration(Configuration configuration);

/// \brief Canonical TOML of a valid configuration: every key in a fixed order, so that the same declaration
/// gives the same bytes.
[[nodiscard]] std::string printConfiguration(Configuration const& configuration);

} // namespace plantaindrift
