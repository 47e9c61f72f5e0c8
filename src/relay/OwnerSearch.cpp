#include "relay/OwnerSearch.h"

#include <algorithm>
#include <chrono>

namespace plantaindrift {

namespace {

    // A running target refutes a false suspicion within this time.
    constexpr std::chrono::seconds deadConfirmationTime { 10 };

    // Every 100 ms an entry subscribes to an agent from which it has no load report yet, and a running agent replies
    // at once. An agent that never replied within this time is gone, and searches do not wait for it.
    constexpr std::chrono::milliseconds firstReportTimeout { 2500 };

} // namespace

void OwnerSearch::begin(std::span<std::byte const> datagram, TimePoint now) noexcept
{
    asked = now;
    isContinued = false;
    notFound_ = {};
    keptBytes_ = 0;
    if (datagram.size() > kept_.size())
        return;
    std::copy(datagram.begin(), datagram.end(), kept_.begin());
    keptBytes_ = static_cast<std::uint16_t>(datagram.size());
}

void OwnerSearch::markNotFound(TargetGroup const& service, Endpoint agent) noexcept
{
    for (std::size_t index = 0; index < std::min(service.targets.size(), maximumTrackedTargets); ++index) {
        if (service.targets[index].agent == agent)
            notFound_[index / 64] |= std::uint64_t { 1 } << (index % 64);
    }
}

std::vector<Endpoint> OwnerSearch::missing(TargetGroup const& service) const
{
    std::vector<Endpoint> agents;
    for (std::size_t index = 0; index < std::min(service.targets.size(), maximumTrackedTargets); ++index) {
        if (!isNotFound(index))
            agents.push_back(service.targets[index].agent);
    }
    return agents;
}

bool OwnerSearch::isNotFoundEverywhere(TargetGroup const& service, Duration goneTimeout, TimePoint now) const noexcept
{
    if (service.targets.size() > maximumTrackedTargets)
        return false;
    for (std::size_t index = 0; index < service.targets.size(); ++index) {
        DirectoryTarget const& target = service.targets[index];
        bool const isConfirmedDead = target.dead && now - target.deadSince > deadConfirmationTime;
        bool const isGone = target.hasReported ? now - target.lastReport > goneTimeout : now - target.added > firstReportTimeout;
        if (!isConfirmedDead && !isGone && !isNotFound(index))
            return false;
    }
    return true;
}

} // namespace plantaindrift
