#pragma once

#include "plantaindrift/configuration/Configuration.h"

#include "absl/status/status.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift {

/// \brief One reason why a configuration cannot be accepted.
struct ConfigurationProblem {
    std::size_t service { 0 }; ///< index in Configuration::services
    std::string key; ///< key of the file format, such as "addresses"
    std::optional<std::size_t> element; ///< index in a list
    std::string problem;
    std::string remedy;
};

/// \brief Checks names, addresses, targets, data centres, limits and hashes of all services.
///
/// \param configuration  in any order
/// \param hash           hash of service names; replaced only by tests of collisions
/// \returns              every problem found; empty if the configuration is valid
[[nodiscard]] std::vector<ConfigurationProblem> validateConfiguration(Configuration const& configuration, ServiceHash (*hash)(std::string_view) noexcept);
[[nodiscard]] std::vector<ConfigurationProblem> validateConfiguration(Configuration const& configuration);

/// \brief Ok, or InvalidSettings with one problem a line.
[[nodiscard]] absl::Status checkConfiguration(Configuration const& configuration);

} // namespace plantaindrift
