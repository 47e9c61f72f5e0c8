#include "relay/TargetDirectory.h"

#include "plantaindrift/base/Hash.h"
#include "relay/TargetCost.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <utility>

namespace plantaindrift {

namespace {

    // An agent answers a first segment within a few milliseconds; a machine that lives and is short of processor needs more.
    constexpr std::chrono::milliseconds noticeTime { 60 };

    // Agents send load for three times this long after a subscription.
    constexpr std::chrono::milliseconds subscriptionPeriod { 1000 };

    // Two lost loads and one late one.
    constexpr int silentLoads = 3;

    constexpr std::chrono::milliseconds shortestInterval { 100 };
    constexpr std::chrono::milliseconds longestInterval { 2000 };

    // Received load may take this part of the 3 KB/s that control may use.
    constexpr double loadBytesPerSecond = 1500;
    constexpr double loadMessageBytes = 42;

    // Time of a packet between data centres and back, in 0.1 ms; keeps bytes inside while that costs no wait.
    constexpr double remoteCostTenths = 20;

    // Spreads the choices of entries that have heard the same load.
    constexpr std::uint64_t jitterTenths = 20;

    constexpr double unheardCostTenths = 2000;
    constexpr double askedCostTenths = 20000;

    // Targets compared for a new flow. Entries that compare all of them by load of the same age choose the same ones.
    constexpr std::size_t sampleSize = 5;

    // Targets that take turns in a search.
    constexpr std::size_t searchRanks = 3;

} // namespace

TargetDirectory::TargetDirectory(std::string dataCentre, std::uint64_t randomSeed)
    : dataCentre_(std::move(dataCentre))
    , random_(randomSeed)
{
}

TargetGroup& TargetDirectory::declare(std::string_view service)
{
    TargetGroup& group = groups_[std::string(service)];
    group.hash = hashService(service);
    return group;
}

void TargetDirectory::setView(ServiceView const& view, TimePoint now)
{
    TargetGroup& group = declare(view.service);
    for (DirectoryTarget const& target : group.targets)
        agentGroups_.erase(endpointKey(target.agent));
    std::vector<DirectoryTarget> targets;
    for (ViewTarget const& seen : view.targets) {
        DirectoryTarget target;
        target.added = now;
        for (DirectoryTarget const& known : group.targets) {
            if (known.name == seen.name && known.agent == seen.data)
                target = known;
        }
        target.name = seen.name;
        target.nameHash = hashText(seen.name);
        target.agent = seen.data;
        target.local = seen.dataCentre == dataCentre_;
        target.draining = seen.draining;
        target.deadSince = seen.dead && !target.dead ? now : target.deadSince;
        target.dead = seen.dead;
        agentGroups_[endpointKey(seen.data)] = &group;
        targets.push_back(std::move(target));
    }
    group.targets = std::move(targets);
    group.order.resize(group.targets.size());
    std::iota(group.order.begin(), group.order.end(), 0U);
    group.viewChanged = now;
}

TargetGroup* TargetDirectory::findServiceOf(Endpoint agent) noexcept
{
    absl::flat_hash_map<std::uint64_t, TargetGroup*>::iterator const group = agentGroups_.find(endpointKey(agent));
    return group != agentGroups_.end() ? group->second : nullptr;
}

DirectoryTarget* TargetDirectory::findTarget(Endpoint agent) noexcept
{
    TargetGroup* const group = findServiceOf(agent);
    if (group == nullptr)
        return nullptr;
    std::vector<DirectoryTarget>::iterator const found = std::find_if(group->targets.begin(), group->targets.end(), [agent](DirectoryTarget const& target) { return target.agent == agent; });
    return found != group->targets.end() ? &*found : nullptr;
}

void TargetDirectory::noteLoad(Endpoint agent, TargetLoad const& load, TimePoint now) noexcept
{
    DirectoryTarget* const target = findTarget(agent);
    if (target == nullptr)
        return;
    target->load = load;
    target->heard = now;
    target->isHeard = true;
    target->sent = 0;
    target->unanswered = {};
}

std::chrono::milliseconds TargetDirectory::loadInterval() const noexcept
{
    double const seconds = static_cast<double>(agentGroups_.size()) * loadMessageBytes / loadBytesPerSecond;
    return std::clamp(std::chrono::milliseconds { static_cast<std::int64_t>(1000 * seconds) }, shortestInterval, longestInterval);
}

// With 58 targets load comes every 1.6 s, and one lost datagram makes a gap of 3.2 s.
Duration TargetDirectory::goneTime() const noexcept
{
    return silentLoads * loadInterval() + subscriptionPeriod;
}

bool TargetDirectory::isSilent(DirectoryTarget const& target, TimePoint now) const noexcept
{
    if (target.unanswered != TimePoint {} && now - target.unanswered > noticeTime)
        return true;
    return now - target.heard > silentLoads * loadInterval() + noticeTime;
}

double TargetDirectory::costOf(DirectoryTarget const& target, TimePoint now) noexcept
{
    double cost = targetCost(target.load, target.sent);
    cost += target.local ? 0 : remoteCostTenths;
    cost += static_cast<double>(random_.below(jitterTenths));
    if (!target.isHeard || isSilent(target, now))
        cost += unheardCostTenths;
    return cost;
}

// Moves random targets that take new flows to the front of the order; the rest is left out.
std::size_t TargetDirectory::drawSample(TargetGroup& group) noexcept
{
    std::size_t sampled = 0;
    std::size_t const all = group.order.size();
    for (std::size_t index = 0; index < all && sampled < sampleSize; ++index) {
        std::swap(group.order[index], group.order[index + random_.below(all - index)]);
        DirectoryTarget const& target = group.targets[group.order[index]];
        bool const isOpen = !target.draining && !target.dead && (!target.isHeard || target.load.isAccepting);
        if (isOpen)
            std::swap(group.order[sampled++], group.order[index]);
    }
    return sampled;
}

void TargetDirectory::chooseTargets(TargetGroup& group, std::span<Endpoint const> asked, TimePoint now, RelayRoute& route) noexcept
{
    struct Choice {
        double cost { 0 };
        DirectoryTarget* target { nullptr };
    };
    std::array<Choice, maximumRelayCandidates> best;
    std::size_t count = 0;
    std::size_t const sampled = drawSample(group);
    for (std::size_t index = 0; index < sampled; ++index) {
        DirectoryTarget& target = group.targets[group.order[index]];
        bool const wasAsked = std::find(asked.begin(), asked.end(), target.agent) != asked.end();
        Choice choice { costOf(target, now) + (wasAsked ? askedCostTenths : 0), &target };
        for (std::size_t rank = 0; rank < count; ++rank) {
            if (choice.cost < best[rank].cost)
                std::swap(choice, best[rank]);
        }
        if (count < best.size())
            best[count++] = choice;
    }
    route.candidateCount = static_cast<std::uint8_t>(count);
    for (std::size_t index = 0; index < count; ++index)
        route.candidates[index] = { best[index].target->agent, toCostTenths(best[index].cost) };
    if (count == 0)
        return;
    DirectoryTarget& chosen = *best[0].target;
    ++chosen.sent;
    if (chosen.unanswered == TimePoint {})
        chosen.unanswered = now;
}

DirectoryTarget const* TargetDirectory::findRanked(TargetGroup const& group, std::uint64_t flowHash, std::size_t rank, TimePoint now) const noexcept
{
    std::array<std::pair<std::uint64_t, DirectoryTarget const*>, searchRanks> best {};
    std::size_t count = 0;
    for (DirectoryTarget const& target : group.targets) {
        if (target.dead)
            continue;
        bool const isLively = target.isHeard && target.load.isAccepting && !isSilent(target, now);
        constexpr std::uint64_t livelyBit = std::uint64_t { 1 } << 63U;
        std::pair<std::uint64_t, DirectoryTarget const*> ranked((searchScore(target.nameHash, flowHash) >> 1U) | (isLively ? livelyBit : 0), &target);
        for (std::size_t index = 0; index < count; ++index) {
            if (ranked.first > best[index].first)
                std::swap(ranked, best[index]);
        }
        if (count < best.size())
            best[count++] = ranked;
    }
    return count > 0 ? best[rank % count].second : nullptr;
}

std::vector<Endpoint> TargetDirectory::takeSubscriptionsDue(TimePoint now)
{
    std::vector<Endpoint> due;
    for (std::pair<std::string const, TargetGroup>& group : groups_) {
        for (DirectoryTarget& target : group.second.targets) {
            // An agent that just starts is asked at every tick.
            bool const isDue = !target.isHeard || now - target.subscribed >= subscriptionPeriod;
            if (target.dead || !isDue)
                continue;
            target.subscribed = now;
            due.push_back(target.agent);
        }
    }
    return due;
}

bool TargetDirectory::hasLiveTarget() const noexcept
{
    for (std::pair<std::string const, TargetGroup> const& group : groups_) {
        for (DirectoryTarget const& target : group.second.targets) {
            if (target.isHeard && !target.dead)
                return true;
        }
    }
    return false;
}

} // namespace plantaindrift
