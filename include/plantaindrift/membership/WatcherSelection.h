#pragma once

#include "plantaindrift/membership/MemberTable.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift {

/// \brief Entries of each dataCentre that hold a watch at the platform.
inline constexpr std::size_t watchersPerDataCentre = 2;

/// \brief The watchers of a dataCentre: its active entries with the highest rendezvous scores.
///
/// A suspect entry does not count, so a substitute starts before the death is certain; one watch too many
/// costs the platform one waiting call.
[[nodiscard]] std::vector<std::string> watchersOf(std::string_view dataCentre, MemberTable const& table);

} // namespace plantaindrift
