#include "relay/OwnerSearch.h"

namespace plantaindrift {

void OwnerSearch::begin(std::span<std::byte const> datagram, TimePoint now)
{
    forwarded = now;
    kept_.clear();
    if (datagram.size() <= maximumKeptSegmentBytes)
        kept_.assign(datagram.begin(), datagram.end());
}

void OwnerSearch::markNotFound(std::size_t target)
{
    notFound_.insert(target);
    possible_.erase(target);
}

bool OwnerSearch::markPossible(std::size_t target)
{
    if (hasReplied(target))
        return false;
    possible_.insert(target);
    return true;
}

void OwnerSearch::renumber(std::span<std::uint32_t const> newIndices)
{
    notFound_.renumber(newIndices);
    possible_.renumber(newIndices);
}

std::vector<Endpoint> OwnerSearch::possibleOwners() const
{
    std::vector<Endpoint> agents;
    for (std::size_t index = 0; index < group->targets.size(); ++index) {
        if (possible_.contains(index))
            agents.push_back(group->targets[index].agent);
    }
    return agents;
}

bool OwnerSearch::hasSilentTarget() const noexcept
{
    for (std::size_t index = 0; index < group->targets.size(); ++index) {
        if (!notFound_.contains(index) && !group->targets[index].load.hasEnded)
            return true;
    }
    return false;
}

DirectoryTarget const* OwnerSearch::findPossibleOwner(TargetDirectory const& directory, TimePoint now) const noexcept
{
    for (std::size_t index = 0; index < group->targets.size(); ++index) {
        DirectoryTarget const& target = group->targets[index];
        if (!notFound_.contains(index) && directory.mayHoldFlows(*group, target, now))
            return &target;
    }
    return nullptr;
}

} // namespace plantaindrift
