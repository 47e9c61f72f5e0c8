#pragma once

#include "plantaindrift/membership/EntryControl.h"
#include "runtime/MetricsPage.h"

#include <cstddef>
#include <span>

namespace plantaindrift {

/// \brief Maximum number of lines for one call of logVerdicts(); the loss of a data centre exceeds it.
inline constexpr std::size_t maximumVerdictLines = 32;

/// \brief Logs members that this entry takes for suspect or dead: one line each, with what the verdict follows from.
void logVerdicts(std::span<Detector::Verdict const> verdicts);

/// \brief Adds the numbers of verdicts and of requests for heartbeats.
void addDetectorMetrics(MetricsPage& page, EntryControl::Counts const& counts);

} // namespace plantaindrift
