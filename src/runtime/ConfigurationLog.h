#pragma once

#include "plantaindrift/membership/EntryControl.h"
#include "runtime/MetricsPage.h"

#include <cstddef>
#include <span>

namespace plantaindrift {

/// \brief Maximum number of lines for one call of logConfigurationEvents().
inline constexpr std::size_t maximumConfigurationLines = 16;

/// \brief Logs how this entry obtains configurations from its peers: one line for each step.
void logConfigurationEvents(std::span<ConfigurationEvent const> events);

/// \brief Adds the numbers of requests and of answers that were withheld.
void addConfigurationMetrics(MetricsPage& page, EntryControl::Counts const& counts);

} // namespace plantaindrift
