#pragma once

#include "absl/status/status.h"

#include <span>
#include <string>
#include <string_view>

namespace plantaindrift {

/// \brief Runs an entry until SIGTERM or SIGINT.
///
/// \param settingsFile  TOML file
/// \param checkOnly     returns after the settings and key files are read and checked
/// \returns             InvalidSettings if a file is invalid or an address cannot be bound
[[nodiscard]] absl::Status runEntry(std::string const& settingsFile, bool checkOnly);

/// \brief Runs an agent until SIGTERM or SIGINT, then drains its flows or hands them over, as its settings say.
///
/// \returns  as runEntry; DeadlinePassed if flows were still open at the drain deadline
[[nodiscard]] absl::Status runAgent(std::string const& settingsFile, bool checkOnly);

/// \brief Signature of runEntry and runAgent.
using DaemonFunction = absl::Status (*)(std::string const& settingsFile, bool checkOnly);

/// \brief Main function of a daemon: parses --settings=FILE and --check, runs the daemon and prints its error.
///
/// \param program    program name in error messages
/// \param arguments  command-line arguments without the program name
/// \returns          exit code; 2 for an unknown flag, a value of the wrong type or a missing settings file
[[nodiscard]] int runDaemonProgram(std::string_view program, std::span<char const* const> arguments, DaemonFunction daemon);

} // namespace plantaindrift
