#include "relay/TargetDirectory.h"

#include "balancing/AdmissionLimit.h"
#include "balancing/TargetChoice.h"
#include "balancing/TargetCost.h"
#include "plantaindrift/base/Hash.h"
#include "relay/TargetSet.h"

#include <algorithm>
#include <array>
#include <limits>
#include <numeric>
#include <utility>

namespace plantaindrift {

namespace {

    // An agent replies to an opening segment within a few milliseconds; a running machine that is short of CPU takes
    // longer.
    constexpr std::chrono::milliseconds noticeTimeout { 60 };

    // Agents send load reports for three times this long after a subscription.
    constexpr std::chrono::milliseconds subscriptionInterval { 1000 };

    // Two lost load reports and a delayed one.
    constexpr int silentReportIntervals = 3;

    // A running target refutes a false suspicion within this time.
    constexpr std::chrono::seconds deadConfirmationTime { 10 };

    // Machines are frozen or cut off for up to 6 s while their targets keep their flows. The entry subscribes to a
    // silent agent every second, and a running agent replies at once.
    constexpr std::chrono::milliseconds maximumOutage { 7000 };

    // Every 100 ms an entry subscribes to an agent from which it has no load report yet, and a running agent replies at
    // once. With the time until an entry knows all targets, callers are reset within a second of its start.
    constexpr std::chrono::milliseconds restartedReportTimeout { 700 };

    // Start of an agent before that of an entry that does not come from a power loss, which ends for all machines within 1.5 s.
    constexpr std::chrono::milliseconds maximumStartDifference { 2000 };

    // Targets report several times in this period, also those that start after a power loss.
    constexpr std::chrono::milliseconds minimumReceptionPeriod { 1000 };

    // If fewer targets report, the entry's own link is cut or overloaded; the loss of one of four data centres leaves as many.
    constexpr double minimumReportingShare = 0.75;

    constexpr std::chrono::milliseconds minimumLoadInterval { 100 };
    constexpr std::chrono::milliseconds maximumLoadInterval { 2000 };

    // Received load reports may use this part of the control budget of 3 KB/s.
    constexpr double loadBytesPerSecond = 1500;
    constexpr double loadMessageBytes = 48;

    // Number of top-ranked targets that a search queries in turn.
    constexpr std::size_t searchRanks = 3;

} // namespace

TargetDirectory::TargetDirectory(std::string dataCentre, std::uint64_t randomSeed, RemoteOptions const& remoteOptions)
    : dataCentre_(std::move(dataCentre))
    , remoteOptions_(remoteOptions)
    , delays_(dataCentre_)
    , siteFlows_(1)
    , random_(randomSeed)
{
}

TargetGroup& TargetDirectory::findOrAddService(std::string_view service)
{
    auto const [found, isAdded] = groups_.try_emplace(std::string(service));
    if (isAdded) {
        found->second.hash = hashService(service);
        services_.push_back(&found->second);
    }
    return found->second;
}

std::vector<std::uint32_t> TargetDirectory::setView(ServiceView const& view, TimePoint now)
{
    TargetGroup& group = findOrAddService(view.service);
    std::vector<std::uint32_t> newIndices(group.targets.size(), removedTarget);
    absl::flat_hash_map<std::string_view, std::uint32_t> oldIndices;
    for (std::uint32_t index = 0; index < group.targets.size(); ++index) {
        oldIndices[group.targets[index].name] = index;
    }
    std::vector<DirectoryTarget> targets;
    bool wasTargetAdded = false;
    for (ViewTarget const& seen : view.targets) {
        DirectoryTarget target;
        target.added = now;
        absl::flat_hash_map<std::string_view, std::uint32_t>::const_iterator const known = oldIndices.find(seen.name);
        bool const isKnown = known != oldIndices.end() && group.targets[known->second].agent == seen.data;
        if (isKnown) {
            target = group.targets[known->second];
            newIndices[known->second] = static_cast<std::uint32_t>(targets.size());
        }
        wasTargetAdded = wasTargetAdded || !isKnown;
        target.name = seen.name;
        target.nameHash = hashText(seen.name);
        target.agent = seen.data;
        target.dataCentre = seen.dataCentre;
        target.isEvacuated = evacuations_.contains(seen.dataCentre);
        target.local = seen.dataCentre == dataCentre_;
        target.site = delays_.indexOf(seen.dataCentre);
        siteFlows_.resize(delays_.size());
        target.draining = seen.draining;
        target.deadSince = seen.dead && !target.dead ? now : target.deadSince;
        target.dead = seen.dead;
        targets.push_back(std::move(target));
    }
    group.targets.swap(targets);
    assignAgents(group, targets);
    group.order.resize(group.targets.size());
    group.requestsPerSlot.resize(delays_.size());
    std::iota(group.order.begin(), group.order.end(), 0U);
    if (wasTargetAdded)
        group.viewChanged = now;
    return newIndices;
}

bool TargetDirectory::setEvacuations(EvacuationSet const& evacuations)
{
    bool const isChanged = evacuations.dataCentres != evacuations_.dataCentres;
    evacuations_ = evacuations;
    for (std::pair<std::string const, TargetGroup>& group : groups_) {
        for (DirectoryTarget& target : group.second.targets)
            target.isEvacuated = evacuations_.contains(target.dataCentre);
    }
    return isChanged;
}

bool TargetDirectory::isWhollyEvacuated(TargetGroup const& group) noexcept
{
    bool isAnyRunning = false;
    for (DirectoryTarget const& target : group.targets) {
        bool const isRunning = !target.draining && !target.isGone() && !(target.hasReported && target.load.hasEnded);
        if (isRunning && !target.isEvacuated)
            return false;
        isAnyRunning = isAnyRunning || isRunning;
    }
    return isAnyRunning;
}

void TargetDirectory::assignAgents(TargetGroup& group, std::span<DirectoryTarget const> former)
{
    for (DirectoryTarget const& target : former) {
        absl::flat_hash_map<std::uint64_t, TargetGroup*>::iterator const holder = agentGroups_.find(endpointKey(target.agent));
        if (holder != agentGroups_.end() && holder->second == &group)
            agentGroups_.erase(holder);
    }
    for (DirectoryTarget const& target : group.targets) {
        if (agentGroups_.try_emplace(endpointKey(target.agent), &group).first->second != &group)
            sharedAgents_.insert(endpointKey(target.agent));
    }
    for (DirectoryTarget const& target : former)
        assignSharedAgent(target.agent);
    for (DirectoryTarget const& target : group.targets)
        assignSharedAgent(target.agent);
}

// Addresses are used again by other services, whose views still list the former target for some time. The target that
// is not dead and joined last has the address.
void TargetDirectory::assignSharedAgent(Endpoint agent)
{
    if (!sharedAgents_.contains(endpointKey(agent)))
        return;
    DirectoryTarget const* latest = nullptr;
    for (std::pair<std::string const, TargetGroup>& group : groups_) {
        std::size_t const index = indexOf(group.second, agent);
        if (index == group.second.targets.size())
            continue;
        DirectoryTarget const& target = group.second.targets[index];
        if (latest != nullptr && std::pair(!target.dead, target.added) < std::pair(!latest->dead, latest->added))
            continue;
        latest = &target;
        agentGroups_[endpointKey(agent)] = &group.second;
    }
    if (latest == nullptr)
        sharedAgents_.erase(endpointKey(agent));
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
    std::size_t const index = indexOf(*group, agent);
    return index < group->targets.size() ? &group->targets[index] : nullptr;
}

std::size_t TargetDirectory::indexOf(TargetGroup const& group, Endpoint agent) noexcept
{
    // A dead target may still be listed with an address that is used again.
    std::size_t found = group.targets.size();
    for (std::size_t index = 0; index < group.targets.size(); ++index) {
        DirectoryTarget const& target = group.targets[index];
        if (target.agent != agent)
            continue;
        found = index;
        if (!target.dead)
            break;
    }
    return found;
}

void TargetDirectory::recordLoad(Endpoint agent, TargetLoad const& load, TimePoint now, std::optional<ServiceHash> service) noexcept
{
    DirectoryTarget* const target = findTarget(agent);
    if (target == nullptr)
        return;
    // A target of another service that uses the address of a dead one again does not show that the dead one runs.
    if (target->dead && service && findServiceOf(agent)->hash != *service)
        return;
    if (!target->hasReported)
        firstReports_.push_back(agent);
    target->load = load;
    hasSurvivor_ = hasSurvivor_ || load.isLongRunning || hasStartedBefore(load, now);
    hasRestartedMachine_ = hasRestartedMachine_ || load.isMachineRestarted;
    hasReplacedAgent_ = hasReplacedAgent_ || (!load.isAssumed && !load.isLongRunning && !load.isMachineRestarted);
    // An agent that restarted beside a draining target takes it for accepting until the target's next announcement.
    target->isWithdrawn = load.isWithdrawn || (load.isAssumed && target->isWithdrawn);
    target->load.isAccepting = load.isAccepting && !target->isWithdrawn;
    target->lastReport = now;
    target->discountedSilence = Duration::zero();
    target->hasReported = true;
    target->openingsSinceReport = 0;
    target->oldestUnanswered = {};
}

bool TargetDirectory::hasStartedBefore(TargetLoad const& load, TimePoint now) const noexcept
{
    Duration const ownUptime = now - firstTick_.value_or(now);
    return load.uptimeSteps * agentUptimeStep >= ownUptime + maximumStartDifference;
}

std::chrono::milliseconds TargetDirectory::loadInterval() const noexcept
{
    double const seconds = static_cast<double>(agentGroups_.size()) * loadMessageBytes / loadBytesPerSecond;
    return std::clamp(std::chrono::milliseconds { static_cast<std::int64_t>(1000 * seconds) }, minimumLoadInterval, maximumLoadInterval);
}

// With 58 targets load reports arrive every 1.6 s, and a lost datagram leaves a gap of 3.2 s.
Duration TargetDirectory::goneTimeout() const noexcept
{
    return std::max<Duration>(silentReportIntervals * loadInterval() + subscriptionInterval, maximumOutage);
}

bool TargetDirectory::receivesFromMostTargets(TimePoint now) const noexcept
{
    Duration const period = std::max<Duration>(silentReportIntervals * loadInterval(), minimumReceptionPeriod);
    std::size_t running = 0;
    std::size_t reporting = 0;
    for (std::pair<std::string const, TargetGroup> const& group : groups_) {
        for (DirectoryTarget const& target : group.second.targets) {
            bool const hasEnded = target.hasReported && target.load.hasEnded;
            running += hasEnded ? 0 : 1;
            reporting += !hasEnded && target.hasReported && now - target.lastReport <= period ? 1 : 0;
        }
    }
    return static_cast<double>(reporting) >= minimumReportingShare * static_cast<double>(running);
}

// What targets send to an entry whose link is cut or overloaded is lost or late, so that their silence shows nothing.
void TargetDirectory::tick(TimePoint now) noexcept
{
    Duration const passed = now - lastTick_.value_or(now);
    lastTick_ = now;
    firstTick_ = firstTick_.value_or(now);
    for (std::pair<std::string const, TargetGroup>& group : groups_) {
        updateMeans(group.second, now);
        group.second.remote.update(remoteInputsOf(group.second, now));
    }
    if (receivesFromMostTargets(now))
        return;
    for (std::pair<std::string const, TargetGroup>& group : groups_) {
        for (DirectoryTarget& target : group.second.targets)
            target.discountedSilence += passed;
    }
}

bool TargetDirectory::mayHoldFlows(TargetGroup const& group, DirectoryTarget const& target, TimePoint now) const noexcept
{
    if (target.isGone() && now - target.deadSince - target.discountedSilence > deadConfirmationTime)
        return false;
    if (!target.hasReported)
        return now - target.added - target.discountedSilence <= (wasPowerLost(group) ? restartedReportTimeout : maximumOutage);
    // An agent that restarted and has admitted nothing knows of no flow; older ones ended with the power.
    TargetLoad const& load = target.load;
    bool const hasAdmittedNothing = load.isAssumed && !load.isAccepting && load.openFlows == 0;
    Duration const timeout = hasAdmittedNothing && wasPowerLost(group) ? Duration(restartedReportTimeout) : goneTimeout();
    return !load.hasEnded && now - target.lastReport - target.discountedSilence <= timeout;
}

// A power loss restarts all machines, so that a silent machine has lost its flows too. If a machine of any service kept its
// power, a silent one may have kept it as well and be cut off.
bool TargetDirectory::wasPowerLost(TargetGroup const& group) const noexcept
{
    if (hasSurvivor_)
        return false;
    std::size_t reported = 0;
    std::size_t restarted = 0;
    for (DirectoryTarget const& target : group.targets) {
        bool const isKnown = target.hasReported && !target.load.isAssumed;
        reported += isKnown ? 1 : 0;
        restarted += isKnown && target.load.isMachineRestarted ? 1 : 0;
    }
    return reported > 1 && 2 * reported >= group.targets.size() && 4 * restarted >= 3 * reported;
}

bool TargetDirectory::isSilent(DirectoryTarget const& target, TimePoint now) const noexcept
{
    if (target.oldestUnanswered != TimePoint {} && now - target.oldestUnanswered > noticeTimeout)
        return true;
    return now - target.lastReport > silentReportIntervals * loadInterval() + noticeTimeout;
}

DirectoryTarget const* TargetDirectory::findRanked(TargetGroup const& group, std::uint64_t flowHash, std::size_t rank, TimePoint now) const noexcept
{
    std::array<std::pair<std::uint64_t, DirectoryTarget const*>, searchRanks> best {};
    std::size_t count = 0;
    for (DirectoryTarget const& target : group.targets) {
        if (target.isGone())
            continue;
        bool const isResponsive = target.hasReported && target.load.isAccepting && !isSilent(target, now);
        constexpr std::uint64_t responsiveBit = std::uint64_t { 1 } << 63U;
        std::pair<std::uint64_t, DirectoryTarget const*> ranked((rankScore(target.nameHash, flowHash) >> 1U) | (isResponsive ? responsiveBit : 0), &target);
        for (std::size_t index = 0; index < count; ++index) {
            if (ranked.first > best[index].first)
                std::swap(ranked, best[index]);
        }
        if (count < best.size())
            best[count++] = ranked;
    }
    return count > 0 ? best[rank % count].second : nullptr;
}

std::vector<Endpoint> TargetDirectory::collectDueSubscriptions(TimePoint now)
{
    std::vector<Endpoint> due;
    for (std::pair<std::string const, TargetGroup>& group : groups_) {
        for (DirectoryTarget& target : group.second.targets) {
            // An agent from which no load report has arrived yet is queried at every tick. One that is taken for dead may
            // reply all the same.
            bool const isDue = (!target.hasReported && !target.dead) || now - target.lastSubscription >= subscriptionInterval;
            if (!isDue || (target.dead && !mayHoldFlows(group.second, target, now)))
                continue;
            target.lastSubscription = now;
            due.push_back(target.agent);
        }
    }
    return due;
}

bool TargetDirectory::hasLiveTarget() const noexcept
{
    for (std::pair<std::string const, TargetGroup> const& group : groups_) {
        for (DirectoryTarget const& target : group.second.targets) {
            if (target.hasReported && !target.isGone())
                return true;
        }
    }
    return false;
}

} // namespace plantaindrift
