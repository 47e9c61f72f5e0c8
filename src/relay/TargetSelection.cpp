// The choice of targets for new flows: the part of TargetDirectory that applies the decisions of src/balancing.
#include "balancing/AdmissionLimit.h"
#include "balancing/TargetChoice.h"
#include "balancing/TargetCost.h"
#include "relay/TargetDirectory.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>
#include <vector>

namespace plantaindrift {

namespace {

    // Number of targets compared for a new flow. Entries that compare all targets by load reports of the same age
    // would choose the same ones.
    constexpr std::size_t sampleSize = 5;

    // Ranks warm targets first, and cold ones with an unused share before the others; exceeds the time-outs of requests.
    constexpr double coldCostTenthMs = 25000;

    // Resolution of the share of flows that may leave the data centre.
    constexpr std::uint64_t shareSteps = 1000;

} // namespace

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

} // namespace plantaindrift
