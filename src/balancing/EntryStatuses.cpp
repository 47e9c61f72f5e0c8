#include "balancing/EntryStatuses.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace plantaindrift {

void EntryStatuses::setPeers(std::vector<EntryPeer> peers)
{
    peers_ = std::move(peers);
    std::erase_if(known_, [this](Known const& known) {
        return std::none_of(peers_.begin(), peers_.end(), [&known](EntryPeer const& peer) { return peer.nameHash == known.status.nameHash; });
    });
}

bool EntryStatuses::record(EntryLoad const& status, TimePoint now)
{
    bool const isPeer = std::any_of(peers_.begin(), peers_.end(), [&status](EntryPeer const& peer) { return peer.nameHash == status.nameHash; });
    if (!isPeer || status.age > maximumEntryStatusAge)
        return false;
    TimePoint const measured = now - status.age;
    std::vector<Known>::iterator const known = std::find_if(known_.begin(), known_.end(), [&status](Known const& other) { return other.status.nameHash == status.nameHash; });
    if (known == known_.end()) {
        known_.push_back({ status, measured });
        return true;
    }
    if (measured <= known->measured)
        return false;
    *known = { status, measured };
    return true;
}

std::vector<EntryLoad> EntryStatuses::recent(TimePoint now) const
{
    std::vector<EntryLoad> statuses;
    for (Known const& known : known_) {
        EntryLoad status = known.status;
        status.age = std::chrono::duration_cast<std::chrono::milliseconds>(now - known.measured);
        if (status.age <= maximumEntryStatusAge)
            statuses.push_back(status);
    }
    std::sort(statuses.begin(), statuses.end(), [](EntryLoad const& left, EntryLoad const& right) { return left.age < right.age; });
    return statuses;
}

} // namespace plantaindrift
