#include "plantaindrift/membership/EntryCensus.h"

#include <algorithm>

namespace plantaindrift {

EntryCensus takeEntryCensus(MemberTable const& table, TimePoint now, std::chrono::seconds minimumAge)
{
    EntryCensus census;
    for (auto const& [name, record] : table.entries()) {
        if (record->member.state < MemberState::Dead)
            ++census.running;
        else if (MemberTable::tombstoneAge(*record, now) >= minimumAge)
            census.gone.push_back(record->member);
    }
    return census;
}

bool EntryCensus::isGone(Member const& record) const
{
    return record.role == MemberRole::Entry && std::any_of(gone.begin(), gone.end(), [&record](Member const& member) { return member.name == record.name && member.incarnation >= record.incarnation; });
}

} // namespace plantaindrift
