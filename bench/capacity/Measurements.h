#pragma once

#include <span>
#include <string>
#include <vector>

namespace plantaindrift::bench {

/// \brief Sizes of the two-year fleet (docs/design.md, section 1.5).
inline constexpr int plannedEntries = 790;
inline constexpr int plannedTargets = 9000;
inline constexpr int plannedServices = 2700;
inline constexpr int plannedDataCentres = 8;

/// \brief Encoded sizes of the control messages.
void measureSizes();

/// \brief Memory of the control logic per target, entry, service and kept change.
void measureMemory();

/// \brief Processor time of single operations at one entry, up to the planned size.
void measureOperations();

/// \brief Bytes and processor time per node in a fleet without events.
void measureTraffic(std::span<int const> sizes);

/// \brief Cost of a delta, and time from an accepted change to the last entry, with losses and with a cut.
void measureChanges(std::span<int const> sizes);

/// \brief Time and bytes of an entry that joins while the platform is down.
void measureJoining(std::span<int const> sizes);

/// \brief A storm of 1,100 joins.
void measureStorm(std::span<int const> sizes);

/// \brief A data centre is lost and returns at once; half of the data centres are cut off for two minutes and return.
void measureOutages(std::span<int const> sizes);

/// \brief Prints one key=value line.
void print(std::string const& key, double value);

/// \brief Fits value = a + b ln(entries), prints the residuals and the value at the planned size.
void extrapolate(std::string const& key, std::span<int const> sizes, std::span<double const> values);

} // namespace plantaindrift::bench
