#pragma once

#include "membership/RandomSource.h"
#include "plantaindrift/membership/MemberTable.h"

#include <span>
#include <vector>

namespace plantaindrift {

/// \brief Whom an entry contacts to end a separation that the other side may not notice.
struct ReconnectTargets {
    std::vector<Endpoint> entries; ///< at most one entry that is taken for dead and one of the settings
    Member const* agent { nullptr }; ///< an agent that is taken for dead; null if there is none
};

/// \brief Draws the targets of one attempt.
///
/// The seeds have a draw of their own: after a loss of many entries, most of those that are taken for dead are gone.
/// \param live  entries that this one is in touch with; they are left out
/// \param seeds  entries that the settings name
[[nodiscard]] ReconnectTargets chooseReconnectTargets(MemberTable const& table, std::span<Endpoint const> live, std::span<Endpoint const> seeds, RandomSource& random);

} // namespace plantaindrift
