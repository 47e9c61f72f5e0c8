#include "plantaindrift/membership/WatcherSelection.h"

#include "plantaindrift/base/Hash.h"

#include <algorithm>
#include <utility>

namespace plantaindrift {

std::vector<std::string> watchersOf(std::string_view dataCentre, MemberTable const& table)
{
    std::uint64_t const key = hashText(dataCentre);
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (auto const& [name, record] : table.entries()) {
        if (record->member.state == MemberState::Active && record->member.dataCentre == dataCentre)
            ranked.emplace_back(mixHash(hashText(name), key), name);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    if (ranked.size() > watchersPerDataCentre)
        ranked.resize(watchersPerDataCentre);
    std::vector<std::string> names;
    names.reserve(ranked.size());
    for (std::pair<std::uint64_t, std::string> const& candidate : ranked)
        names.push_back(candidate.second);
    return names;
}

} // namespace plantaindrift
