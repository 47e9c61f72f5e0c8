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

    // Targets report several times in this period, also those that start after a power loss.
    constexpr std::chrono::milliseconds minimumReceptionPeriod { 1000 };

    // If fewer targets report, the entry's own link is cut or overloaded; the loss of one of four data centres leaves as many.
    constexpr double minimumReportingShare = 0.75;

    constexpr std::chrono::milliseconds minimumLoadInterval { 100 };
    constexpr std::chrono::milliseconds maximumLoadInterval { 2000 };

    // Received load reports may use this part of the control budget of 3 KB/s.
    constexpr double loadBytesPerSecond = 1500;
    constexpr double loadMessageBytes = 48;

    // Number of targets compared for a new flow. Entries that compare all targets by load reports of the same age
    // would choose the same ones.
    constexpr std::size_t sampleSize = 5;

    // Ranks warm targets first, and cold ones with an unused share before the others; exceeds the time-outs of requests.
    constexpr double coldCostTenthMs = 25000;

    // Resolution of the share of flows that may leave the data centre.
    constexpr std::uint64_t shareSteps = 1000;

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
    TargetGroup& group = groups_[std::string(service)];
    group.hash = hashService(service);
    return group;
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
    hasSurvivor_ = hasSurvivor_ || load.isLongRunning;
    // An agent that restarted beside a draining target takes it for accepting until the target's next announcement.
    target->isWithdrawn = load.isWithdrawn || (load.isAssumed && target->isWithdrawn);
    target->load.isAccepting = load.isAccepting && !target->isWithdrawn;
    target->lastReport = now;
    target->discountedSilence = Duration::zero();
    target->hasReported = true;
    target->openingsSinceReport = 0;
    target->oldestUnanswered = {};
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

// Newer reports have a higher weight: a target that was reported as full gets no flows, and stays so until its next report.
void TargetDirectory::updateMeans(TargetGroup& group, TimePoint now) const noexcept
{
    group.hasFar = false;
    std::vector<double>& requests = group.requestsPerSlot;
    std::vector<double> slots(requests.size(), 0.0);
    std::fill(requests.begin(), requests.end(), 0.0);
    for (DirectoryTarget const& target : group.targets) {
        group.hasFar = group.hasFar || reachOf(target, now) == Reach::Far;
        if (!target.hasReported || !acceptsFlows(target))
            continue;
        double const weight = reportWeight(now - target.lastReport);
        requests[target.site] += weight * target.load.activeRequests;
        slots[target.site] += weight * target.load.slots;
    }
    for (std::size_t site = 0; site < requests.size(); ++site)
        requests[site] = slots[site] > 0 ? requests[site] / slots[site] : 0;
}

TargetOffer TargetDirectory::offerOf(TargetGroup const& group, DirectoryTarget const& target, std::span<Endpoint const> asked, TimePoint now) const noexcept
{
    TargetOffer offer;
    offer.load = target.load;
    offer.pendingOpenings = target.openingsSinceReport;
    offer.agedRequests = target.hasReported ? agedRequests(target.load, now - target.lastReport, group.requestsPerSlot[target.site]) : 0;
    offer.isResponsive = target.hasReported && !isSilent(target, now);
    offer.wasOffered = std::find(asked.begin(), asked.end(), target.agent) != asked.end();
    return offer;
}

bool TargetDirectory::isColdShareUsed(DirectoryTarget const& target, TimePoint now) const noexcept
{
    return target.hasReported && target.load.coldAllowance > 0 && !target.coldShare.hasRoom(now);
}

bool TargetDirectory::acceptsFlows(DirectoryTarget const& target) const noexcept
{
    return !target.isEvacuated && !target.draining && !target.isGone() && (!target.hasReported || target.load.isAccepting);
}

RemoteCost TargetDirectory::remoteCostOf(DirectoryTarget const& target, double bytesFromCaller, TimePoint now) const noexcept
{
    if (target.local)
        return {};
    double const bytesToCaller = static_cast<double>(target.load.answerUnits) * answerUnitBytes;
    return remoteCost(delays_.extraTenthMs(target.site, now), { bytesFromCaller, bytesToCaller }, remoteOptions_);
}

TargetDirectory::Reach TargetDirectory::reachOf(DirectoryTarget const& target, TimePoint now) const noexcept
{
    if (target.local)
        return Reach::Local;
    if (remoteOptions_.mode == RemoteMode::Always)
        return Reach::Near;
    bool const isNear = remoteOptions_.mode == RemoteMode::Auto && !remoteCostOf(target, 0, now).isFar;
    return isNear ? Reach::Near : Reach::Far;
}

// Moves random targets that accept new flows, far ones or others, to the front of the order, behind those already drawn.
// \returns the number of all drawn targets
std::size_t TargetDirectory::drawSample(TargetGroup& group, std::size_t drawn, bool isFar, TimePoint now, bool includeCold) noexcept
{
    std::size_t sampled = drawn;
    std::size_t const all = group.order.size();
    for (std::size_t index = drawn; index < all && sampled < drawn + sampleSize; ++index) {
        std::swap(group.order[index], group.order[index + random_.below(all - index)]);
        DirectoryTarget const& target = group.targets[group.order[index]];
        bool const isCandidate = acceptsFlows(target) && (reachOf(target, now) == Reach::Far) == isFar;
        if (isCandidate && (includeCold || !isColdShareUsed(target, now)))
            std::swap(group.order[sampled++], group.order[index]);
    }
    return sampled;
}

TargetDirectory::Sample TargetDirectory::drawSamples(TargetGroup& group, TimePoint now, bool includeCold) noexcept
{
    Sample sample;
    sample.withinReach = drawSample(group, 0, false, now, includeCold);
    sample.all = group.hasFar ? drawSample(group, sample.withinReach, true, now, includeCold) : sample.withinReach;
    return sample;
}

void TargetDirectory::recordOffer(DirectoryTarget& target, TimePoint now) noexcept
{
    ++target.openingsSinceReport;
    if (target.load.coldAllowance > 0)
        target.coldShare.recordOffer(target.load.coldAllowance, now);
    if (target.oldestUnanswered == TimePoint {})
        target.oldestUnanswered = now;
}

RemoteReason TargetDirectory::reasonOf(DirectoryTarget const& target, bool hasTargetWithinReach, TimePoint now) const noexcept
{
    if (target.local)
        return RemoteReason::Local;
    if (remoteOptions_.mode == RemoteMode::Always)
        return RemoteReason::AlwaysRemote;
    if (reachOf(target, now) == Reach::Near)
        return RemoteReason::Near;
    return hasTargetWithinReach ? RemoteReason::ShorterWait : RemoteReason::NoLocalTarget;
}

RemoteReason TargetDirectory::chooseTargets(TargetGroup& group, std::span<Endpoint const> asked, TimePoint now, RelayRoute& route, double bytesFromCaller) noexcept
{
    if (route.latencyLimitTenthMs > 0)
        group.limitTenthMs = group.limitTenthMs > 0 ? std::min<double>(group.limitTenthMs, route.latencyLimitTenthMs) : route.latencyLimitTenthMs;
    Sample sample = drawSamples(group, now, false);
    // Cold targets whose share is used are drawn only if no other target accepts new flows.
    if (sample.all == 0)
        sample = drawSamples(group, now, true);
    std::size_t const within = sample.withinReach;
    bool const mayLeave = remoteOptions_.mode == RemoteMode::Auto && static_cast<double>(random_.below(shareSteps)) < group.remote.share() * shareSteps;
    bool const isLeavingForbidden = remoteOptions_.mode == RemoteMode::Never && within > 0;
    std::size_t const sampled = isLeavingForbidden ? within : sample.all;
    std::size_t const offered = within == 0 || mayLeave ? sampled : within;
    CheapestOffers best;
    CheapestOffers lastResort;
    for (std::size_t index = 0; index < sampled; ++index) {
        std::size_t const target = group.order[index];
        TargetOffer offer = offerOf(group, group.targets[target], asked, now);
        offer.remoteCostTenthMs = remoteCostOf(group.targets[target], bytesFromCaller, now).total() + (index >= within && within > 0 ? leavingMarginTenthMs : 0);
        CheapestOffers& offers = index < offered ? best : lastResort;
        offers.add(offerCost(offer, random_.below(maximumJitterTenthMs)), target);
    }
    writeOffers(group, best, route);
    // An agent passes a flow on to a far target before it refuses it.
    if (!lastResort.ranked().empty()) {
        CheapestOffers::Ranked const& far = lastResort.ranked().front();
        route.candidateCount = static_cast<std::uint8_t>(std::min<std::size_t>(route.candidateCount, maximumRelayCandidates - 1));
        route.candidates[route.candidateCount++] = { group.targets[far.target].agent, toCostTenthMs(std::max(far.costTenthMs, lastResortCost(route.latencyLimitTenthMs))) };
    }
    if (best.ranked().empty())
        return RemoteReason::NoLocalTarget;
    DirectoryTarget& chosen = group.targets[best.ranked().front().target];
    recordOffer(chosen, now);
    RemoteReason const reason = reasonOf(chosen, within > 0, now);
    ++siteFlows_[chosen.site][static_cast<std::size_t>(reason)];
    return reason;
}

void TargetDirectory::chooseLastOffers(TargetGroup& group, std::span<Endpoint const> offered, TimePoint now, RelayRoute& route) noexcept
{
    CheapestOffers best;
    for (std::size_t index = 0; index < group.targets.size(); ++index) {
        DirectoryTarget const& target = group.targets[index];
        bool const isCandidate = acceptsFlows(target) && target.hasReported;
        if (!isCandidate || std::find(offered.begin(), offered.end(), target.agent) != offered.end())
            continue;
        TargetLoad expected = target.load;
        std::uint32_t const requests = expected.activeRequests + target.openingsSinceReport;
        expected.activeRequests = static_cast<std::uint16_t>(std::min<std::uint32_t>(requests, std::numeric_limits<std::uint16_t>::max()));
        if (!isWithinLimit(expected, route.latencyLimitTenthMs, 0))
            continue;
        // A cold target whose share this entry has used may still have room: other entries may have used less.
        TargetOffer offer = offerOf(group, target, {}, now);
        offer.remoteCostTenthMs = remoteCostOf(target, 0, now).total();
        double cost = offerCost(offer, random_.below(maximumJitterTenthMs));
        cost += target.load.coldAllowance > 0 ? coldCostTenthMs : 0;
        cost += isColdShareUsed(target, now) ? coldCostTenthMs : 0;
        best.add(cost, index);
    }
    writeOffers(group, best, route);
    if (!best.ranked().empty())
        recordOffer(group.targets[best.ranked().front().target], now);
}

void TargetDirectory::writeOffers(TargetGroup const& group, CheapestOffers const& offers, RelayRoute& route) noexcept
{
    route.candidateCount = 0;
    for (CheapestOffers::Ranked const& ranked : offers.ranked())
        route.candidates[route.candidateCount++] = { group.targets[ranked.target].agent, toCostTenthMs(ranked.costTenthMs) };
}

void TargetDirectory::recordColdDecline(Endpoint agent, TimePoint now) noexcept
{
    DirectoryTarget* const target = findTarget(agent);
    if (target != nullptr && target->load.coldAllowance > 0)
        target->coldShare.recordDecline(now);
}

void TargetDirectory::recordColdAdmission(Endpoint agent) noexcept
{
    DirectoryTarget* const target = findTarget(agent);
    if (target != nullptr && target->load.coldAllowance > 0)
        target->coldShare.recordAdmission();
}

// Means over targets that accept new flows, weighted by slots. A far data centre counts with the delay of the distance;
// the price of the bytes differs by kind of request and is part of each flow's own comparison.
RemoteInputs TargetDirectory::remoteInputsOf(TargetGroup const& group, TimePoint now) const noexcept
{
    struct Mean {
        double sum { 0 };
        double weight { 0 };
    };
    constexpr std::size_t maximumSites = 16;
    std::array<Mean, maximumSites> far {};
    Mean within;
    for (DirectoryTarget const& target : group.targets) {
        if (!acceptsFlows(target) || target.site >= maximumSites)
            continue;
        bool const isNear = reachOf(target, now) != Reach::Far;
        double const weight = std::max<std::uint16_t>(target.load.slots, 1);
        TargetOffer offer = offerOf(group, target, {}, now);
        offer.remoteCostTenthMs = remoteCostOf(target, 0, now).delayTenthMs;
        Mean& mean = isNear ? within : far[target.site];
        mean.sum += weight * offerCost(offer, 0);
        mean.weight += weight;
    }
    RemoteInputs inputs;
    inputs.hasLocal = within.weight > 0;
    inputs.localTenthMs = inputs.hasLocal ? within.sum / within.weight : 0;
    inputs.limitTenthMs = group.limitTenthMs;
    for (Mean const& mean : far) {
        if (mean.weight == 0)
            continue;
        double const cost = mean.sum / mean.weight;
        inputs.farTenthMs = inputs.hasFar ? std::min(inputs.farTenthMs, cost) : cost;
        inputs.hasFar = true;
    }
    return inputs;
}

void TargetDirectory::recordRoundTrip(Endpoint agent, Duration roundTrip, TimePoint now) noexcept
{
    if (DirectoryTarget const* const target = findTarget(agent))
        delays_.record(target->site, roundTrip, now);
}

std::vector<SiteCounts> TargetDirectory::siteCounts(TimePoint now) const
{
    std::vector<SiteCounts> counts;
    for (std::size_t site = 0; site < siteFlows_.size(); ++site)
        counts.push_back({ delays_.nameOf(site), siteFlows_[site], delays_.extraTenthMs(site, now) });
    return counts;
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
