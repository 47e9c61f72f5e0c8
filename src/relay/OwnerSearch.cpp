#include "relay/OwnerSearch.h"

#include <algorithm>
#include <utility>

namespace plantaindrift {

void ServiceReplies::markNotFound(std::size_t target)
{
    notFound_.insert(target);
    possible_.erase(target);
    held_.erase(target);
}

void ServiceReplies::recordNotFoundReport(std::size_t target)
{
    if (!held_.contains(target) || contradicted_.contains(target)) {
        markNotFound(target);
        return;
    }
    contradicted_.insert(target);
    held_.erase(target);
    possible_.erase(target);
}

bool ServiceReplies::markPossible(std::size_t target, bool isHeld)
{
    if (hasReplied(target))
        return false;
    possible_.insert(target);
    if (isHeld)
        held_.insert(target);
    return true;
}

void ServiceReplies::forgetReplies() noexcept
{
    notFound_ = {};
    possible_ = {};
    held_ = {};
    contradicted_ = {};
}

void ServiceReplies::renumber(std::span<std::uint32_t const> newIndices)
{
    notFound_.renumber(newIndices);
    possible_.renumber(newIndices);
    held_.renumber(newIndices);
    contradicted_.renumber(newIndices);
}

std::vector<Endpoint> ServiceReplies::possibleOwners() const
{
    std::vector<Endpoint> agents;
    for (std::size_t index = 0; index < group_->targets.size(); ++index) {
        if (possible_.contains(index))
            agents.push_back(group_->targets[index].agent);
    }
    return agents;
}

DirectoryTarget const* ServiceReplies::findPossibleOwner(TargetDirectory const& directory, TimePoint now) const noexcept
{
    for (std::size_t index = 0; index < group_->targets.size(); ++index) {
        DirectoryTarget const& target = group_->targets[index];
        if (!notFound_.contains(index) && directory.mayHoldFlows(*group_, target, now))
            return &target;
    }
    return nullptr;
}

bool ServiceReplies::hasSilentTarget() const noexcept
{
    for (std::size_t index = 0; index < group_->targets.size(); ++index) {
        if (!notFound_.contains(index) && !group_->targets[index].load.hasEnded)
            return true;
    }
    return false;
}

bool ServiceReplies::isReplyMissing() const noexcept
{
    for (std::size_t index = 0; index < group_->targets.size(); ++index) {
        if (!hasReplied(index))
            return true;
    }
    return false;
}

void ServiceReplies::recordQuery(TimePoint now) noexcept
{
    isInDoubt_ = false;
    if (firstQueried_ == TimePoint {})
        firstQueried_ = now;
}

void OwnerSearch::begin(std::span<std::byte const> datagram, TimePoint now)
{
    forwarded = now;
    kept_.clear();
    if (datagram.size() <= maximumKeptSegmentBytes)
        kept_.assign(datagram.begin(), datagram.end());
}

void OwnerSearch::addAllowed(std::span<TargetGroup const* const> added)
{
    for (TargetGroup const* const service : added)
        findOrAdd(*service).setAllowed();
}

void OwnerSearch::addOthers(std::span<TargetGroup const* const> added)
{
    for (TargetGroup const* const service : added)
        (void)findOrAdd(*service);
}

ServiceReplies& OwnerSearch::findOrAdd(TargetGroup const& service)
{
    ServiceReplies* const known = findReplies(service.hash);
    return known != nullptr ? *known : services.emplace_back(service);
}

ServiceReplies* OwnerSearch::findReplies(ServiceHash service) noexcept
{
    std::vector<ServiceReplies>::iterator const found = std::find_if(services.begin(), services.end(), [service](ServiceReplies const& replies) { return replies.group().hash == service; });
    return found != services.end() ? &*found : nullptr;
}

std::size_t OwnerSearch::countPossibleOwners() const
{
    std::size_t count = 0;
    for (ServiceReplies const& replies : services)
        count += replies.possibleOwners().size();
    return count;
}

bool OwnerSearch::beginConfirmation() noexcept
{
    if (std::exchange(isConfirming, true))
        return false;
    for (ServiceReplies& replies : services)
        replies.forgetReplies();
    directlySent = 0;
    needsForwarder = false;
    return true;
}

DirectoryTarget const* OwnerSearch::findPossibleOwner(TargetDirectory const& directory, TimePoint now) const noexcept
{
    for (ServiceReplies const& replies : services) {
        if (DirectoryTarget const* const target = replies.findPossibleOwner(directory, now))
            return target;
    }
    return nullptr;
}

} // namespace plantaindrift
