#pragma once

#include "plantaindrift/membership/MemberTable.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace plantaindrift {

/// \brief Which entries the membership has.
struct EntryCensus {
    std::size_t running { 0 }; ///< neither dead nor left
    std::vector<Member> gone; ///< dead or left for a long time

    /// \brief True if the record in the store is that of an entry that is gone; one of a later process of the name is not.
    [[nodiscard]] bool isGone(Member const& record) const;
};

/// \brief Counts the entries of a member table.
///
/// \param minimumAge  time for which an entry has been dead or left before it counts as gone
[[nodiscard]] EntryCensus takeEntryCensus(MemberTable const& table, TimePoint now, std::chrono::seconds minimumAge);

} // namespace plantaindrift
