#include "plantaindrift/membership/MonitorSelection.h"

#include "plantaindrift/base/Hash.h"

#include <algorithm>

namespace plantaindrift {

namespace {

    template <typename Ranking, typename Candidate>
    void insertCandidate(Ranking& ranking, Candidate candidate)
    {
        for (Candidate& place : ranking) {
            // Equal scores are ordered by entry, so that every node ranks alike.
            bool const better = candidate.score > place.score || (candidate.score == place.score && candidate.entry > place.entry);
            if (better)
                std::swap(place, candidate);
        }
    }

} // namespace

MonitorSelection::MonitorSelection(std::string_view self)
    : self_(hashText(self))
{
}

void MonitorSelection::addEntry(std::string_view name)
{
    std::uint64_t const entry = hashText(name);
    if (!entries_.emplace(entry, name).second)
        return;
    for (auto& [key, placement] : members_) {
        if (key == entry)
            continue;
        Candidate const candidate { mixHash(entry, key), entry };
        if (candidate.score < placement.ranking.back().score)
            continue;
        Ranking ranking = placement.ranking;
        insertCandidate(ranking, candidate);
        update(placement, ranking);
    }
}

void MonitorSelection::removeEntry(std::string_view name)
{
    std::uint64_t const entry = hashText(name);
    if (entries_.erase(entry) == 0)
        return;
    for (auto& [key, placement] : members_) {
        Ranking const& ranking = placement.ranking;
        bool const monitors = std::any_of(ranking.begin(), ranking.end(), [entry](Candidate const& candidate) { return candidate.entry == entry; });
        if (monitors)
            update(placement, rank(key));
    }
}

void MonitorSelection::addMember(std::string_view name)
{
    std::uint64_t const key = hashText(name);
    auto const [position, added] = members_.try_emplace(key);
    if (!added)
        return;
    position->second.name = name;
    update(position->second, rank(key));
}

void MonitorSelection::removeMember(std::string_view name)
{
    auto const found = members_.find(hashText(name));
    if (found == members_.end())
        return;
    update(found->second, Ranking {});
    members_.erase(found);
}

std::vector<std::string> MonitorSelection::monitorsOf(std::string_view member) const
{
    std::uint64_t const key = hashText(member);
    auto const found = members_.find(key);
    Ranking const ranking = found == members_.end() ? rank(key) : found->second.ranking;
    std::vector<std::string> names;
    for (Candidate const& candidate : ranking) {
        if (candidate.entry != 0)
            names.push_back(entries_.at(candidate.entry));
    }
    return names;
}

MonitorSelection::Changes MonitorSelection::takeChanges()
{
    Changes changes;
    for (auto const& [name, gained] : changes_)
        (gained ? changes.gained : changes.lost).push_back(name);
    changes_.clear();
    return changes;
}

MonitorSelection::Ranking MonitorSelection::rank(std::uint64_t member) const
{
    Ranking ranking {};
    for (auto const& [entry, name] : entries_) {
        if (entry != member)
            insertCandidate(ranking, Candidate { mixHash(entry, member), entry });
    }
    return ranking;
}

void MonitorSelection::update(Placement& placement, Ranking const& ranking)
{
    bool const before = includesSelf(placement.ranking);
    bool const after = includesSelf(ranking);
    placement.ranking = ranking;
    if (before == after)
        return;
    // A change that is undone before anyone took it is no change.
    auto const [position, added] = changes_.try_emplace(placement.name, after);
    if (!added && position->second != after)
        changes_.erase(position);
}

bool MonitorSelection::includesSelf(Ranking const& ranking) const noexcept
{
    return std::any_of(ranking.begin(), ranking.end(), [this](Candidate const& candidate) { return candidate.entry == self_; });
}

} // namespace plantaindrift
