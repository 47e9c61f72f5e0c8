#pragma once

#include "absl/status/status.h"

#include <string>

namespace plantaindrift {

/// \brief Runs an entry until SIGTERM or SIGINT.
///
/// \param settingsFile  TOML file
/// \param checkOnly     only read and check the settings and key files
/// \returns             InvalidSettings if a file is wrong or an address cannot be bound
[[nodiscard]] absl::Status runEntry(std::string const& settingsFile, bool checkOnly);

/// \brief Runs an agent until SIGTERM or SIGINT, then drains or hands over as its settings say.
///
/// \returns  as runEntry; DeadlinePassed if flows were still open at the drain deadline
[[nodiscard]] absl::Status runAgent(std::string const& settingsFile, bool checkOnly);

} // namespace plantaindrift
