#include "entry/CandidateTable.h"

#include "plantaindrift/base/Hash.h"

#include <algorithm>
#include <limits>

namespace plantaindrift {

namespace {

    /// Dead ranks that a list keeps room for when live targets alone would fill it.
    constexpr std::size_t reservedDeadRanks = 1;

    std::uint64_t endpointKey(Endpoint endpoint) noexcept
    {
        return (static_cast<std::uint64_t>(endpoint.address) << 16U) | endpoint.port;
    }

} // namespace

CandidateTable::CandidateTable(std::size_t buckets)
    : buckets_(buckets)
{
}

void CandidateTable::rebuild(std::span<ViewTarget const> sortedTargets)
{
    endpoints_.clear();
    nameHashes_.clear();
    weights_.clear();
    statuses_.clear();
    addTargets(sortedTargets, TargetStatus::Live);
    liveTargets_ = endpoints_.size();
    addTargets(sortedTargets, TargetStatus::Dead);
    std::size_t const deadTargets = endpoints_.size() - liveTargets_;

    liveRanks_ = std::min(liveTargets_, maximumCandidates);
    std::size_t const deadRoom = std::max(maximumCandidates - liveRanks_, reservedDeadRanks);
    deadRanks_ = std::min(deadTargets, deadRoom);
    rows_.resize(buckets_ * stride());
    for (std::size_t bucket = 0; bucket < buckets_; ++bucket)
        rankBucket(bucket);
}

void CandidateTable::addTargets(std::span<ViewTarget const> targets, TargetStatus status)
{
    constexpr std::size_t maximumTargets = std::numeric_limits<std::uint16_t>::max();
    for (ViewTarget const& target : targets) {
        bool const matches = target.dead == (status == TargetStatus::Dead);
        if (!matches || !target.data.isSet() || endpoints_.size() == maximumTargets)
            continue;
        endpoints_.push_back(target.data);
        nameHashes_.push_back(hashText(target.name));
        weights_.push_back(target.weight);
        statuses_.try_emplace(endpointKey(target.data), status);
    }
}

void CandidateTable::rankBucket(std::size_t bucket)
{
    std::span<std::uint16_t> const row = std::span<std::uint16_t> { rows_ }.subspan(bucket * stride(), stride());
    rankGroup(bucket, 0, liveTargets_, row.first(liveRanks_));
    rankGroup(bucket, liveTargets_, endpoints_.size(), row.subspan(liveRanks_));
}

void CandidateTable::rankGroup(std::size_t bucket, std::size_t first, std::size_t last, std::span<std::uint16_t> output)
{
    scratch_.clear();
    for (std::size_t index = first; index < last; ++index) {
        double const score = rendezvousScore(nameHashes_[index], bucket, weights_[index]);
        scratch_.push_back({ score, static_cast<std::uint16_t>(index) });
    }
    auto const ranksBefore = [](Scored const& left, Scored const& right) {
        return left.score != right.score ? left.score > right.score : left.index < right.index;
    };
    auto const middle = scratch_.begin() + static_cast<std::ptrdiff_t>(output.size());
    std::partial_sort(scratch_.begin(), middle, scratch_.end(), ranksBefore);
    std::transform(scratch_.begin(), middle, output.begin(), [](Scored const& scored) { return scored.index; });
}

void CandidateTable::list(FlowHash flow, DeadTargets dead, RouteOption& route) const noexcept
{
    route.candidateCount = 0;
    if (rows_.empty())
        return;
    std::size_t const bucket = static_cast<std::uint64_t>(flow) & (buckets_ - 1);
    std::uint16_t const* const row = rows_.data() + bucket * stride();
    bool const withDead = dead == DeadTargets::AtTail || (dead == DeadTargets::OnlyWithoutLive && liveRanks_ == 0);
    std::size_t const deadCount = withDead ? deadRanks_ : 0;
    std::size_t const liveCount = std::min(liveRanks_, maximumCandidates - deadCount);
    for (std::size_t rank = 0; rank < liveCount; ++rank)
        route.candidates[rank] = endpoints_[row[rank]];
    for (std::size_t rank = 0; rank < deadCount; ++rank)
        route.candidates[liveCount + rank] = endpoints_[row[liveRanks_ + rank]];
    route.candidateCount = static_cast<std::uint8_t>(liveCount + deadCount);
}

TargetStatus CandidateTable::status(Endpoint endpoint) const noexcept
{
    auto const found = statuses_.find(endpointKey(endpoint));
    return found == statuses_.end() ? TargetStatus::Unknown : found->second;
}

} // namespace plantaindrift
