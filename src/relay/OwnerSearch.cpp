#include "relay/OwnerSearch.h"

#include <algorithm>
#include <chrono>

namespace plantaindrift {

namespace {

    // A target that lives refutes a false suspicion within this time.
    constexpr std::chrono::seconds surelyDeadTime { 10 };

    // An agent that was never heard is asked for its load every 100 ms and answers at once. One that does not is not there
    // any more; its flows wait for nothing.
    constexpr std::chrono::milliseconds neverHeardTime { 2500 };

} // namespace

void OwnerSearch::begin(std::span<std::byte const> datagram, TimePoint now) noexcept
{
    asked = now;
    continued = false;
    absent_ = {};
    keptBytes_ = 0;
    if (datagram.size() > kept_.size())
        return;
    std::copy(datagram.begin(), datagram.end(), kept_.begin());
    keptBytes_ = static_cast<std::uint16_t>(datagram.size());
}

void OwnerSearch::markAbsent(TargetGroup const& service, Endpoint agent) noexcept
{
    for (std::size_t index = 0; index < std::min(service.targets.size(), mostSearchedTargets); ++index) {
        if (service.targets[index].agent == agent)
            absent_[index / 64] |= std::uint64_t { 1 } << (index % 64);
    }
}

std::vector<Endpoint> OwnerSearch::missing(TargetGroup const& service) const
{
    std::vector<Endpoint> agents;
    for (std::size_t index = 0; index < std::min(service.targets.size(), mostSearchedTargets); ++index) {
        if (!isAbsent(index))
            agents.push_back(service.targets[index].agent);
    }
    return agents;
}

bool OwnerSearch::isAbsentEverywhere(TargetGroup const& service, Duration goneTime, TimePoint now) const noexcept
{
    if (service.targets.size() > mostSearchedTargets)
        return false;
    for (std::size_t index = 0; index < service.targets.size(); ++index) {
        DirectoryTarget const& target = service.targets[index];
        bool const isSurelyDead = target.dead && now - target.deadSince > surelyDeadTime;
        bool const isGone = target.isHeard ? now - target.heard > goneTime : now - target.added > neverHeardTime;
        if (!isSurelyDead && !isGone && !isAbsent(index))
            return false;
    }
    return true;
}

} // namespace plantaindrift
