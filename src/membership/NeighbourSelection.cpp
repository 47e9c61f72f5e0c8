#include "membership/NeighbourSelection.h"

#include "plantaindrift/base/Hash.h"

#include <algorithm>

namespace plantaindrift {

namespace {

    void addOnce(Endpoint endpoint, std::vector<Endpoint>& chosen)
    {
        if (std::find(chosen.begin(), chosen.end(), endpoint) == chosen.end())
            chosen.push_back(endpoint);
    }

    [[nodiscard]] bool isReachable(Member const& member) noexcept
    {
        return member.state < MemberState::Dead && member.control.isSet();
    }

} // namespace

NeighbourSelection::NeighbourSelection(Member const& self)
    : name_(self.name)
    , dataCentre_(self.dataCentre)
    , hash_(hashText(self.name))
{
}

void NeighbourSelection::update(MemberTable const& table)
{
    here_.clear();
    elsewhere_.clear();
    for (auto const& [name, record] : table.entries()) {
        if (name == name_ || !isReachable(record->member))
            continue;
        Ring& ring = record->member.dataCentre == dataCentre_ ? here_ : elsewhere_;
        ring.emplace_back(hashText(name), record->member.control);
    }
    std::sort(here_.begin(), here_.end());
    std::sort(elsewhere_.begin(), elsewhere_.end());
}

std::vector<Endpoint> NeighbourSelection::choose(RandomSource& random) const
{
    std::vector<Endpoint> chosen;
    chooseFrom(here_, random, chosen);
    chooseFrom(elsewhere_, random, chosen);
    return chosen;
}

void NeighbourSelection::chooseFrom(Ring const& ring, RandomSource& random, std::vector<Endpoint>& chosen) const
{
    if (ring.empty())
        return;
    Ring::const_iterator successor = std::upper_bound(ring.begin(), ring.end(), std::pair(hash_, Endpoint { ~0U, 0xFFFF }));
    if (successor == ring.end())
        successor = ring.begin();
    addOnce(ring[random.below(ring.size())].second, chosen);
    addOnce(successor->second, chosen);
}

Endpoint NeighbourSelection::randomPeer(RandomSource& random) const
{
    if (size() == 0)
        return {};
    std::size_t const index = random.below(size());
    return index < here_.size() ? here_[index].second : elsewhere_[index - here_.size()].second;
}

std::vector<Endpoint> NeighbourSelection::peers() const
{
    std::vector<Endpoint> endpoints;
    for (Ring const* const ring : { &here_, &elsewhere_ }) {
        for (std::pair<std::uint64_t, Endpoint> const& entry : *ring)
            endpoints.push_back(entry.second);
    }
    return endpoints;
}

} // namespace plantaindrift
