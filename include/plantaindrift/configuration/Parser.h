#pragma once

#include "plantaindrift/configuration/Configuration.h"

#include "absl/status/statusor.h"

#include <string_view>

namespace plantaindrift {

/// \brief Reads a configuration file in TOML; docs/configuration.md describes every key.
///
/// \param text  content of the file
/// \param file  name for messages
/// \returns     the canonical configuration, validated; or InvalidSettings with one problem a line, each as
///              "FILE:LINE:COLUMN: KEY PROBLEM; REMEDY"
[[nodiscard]] absl::StatusOr<Configuration> parseConfiguration(std::string_view text, std::string_view file);

/// \brief Reads and parses a file; InvalidSettings names it if it cannot be read.
[[nodiscard]] absl::StatusOr<Configuration> readConfigurationFile(std::string_view file);

} // namespace plantaindrift
