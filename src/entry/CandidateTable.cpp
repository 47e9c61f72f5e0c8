#include "entry/CandidateTable.h"

#include "plantaindrift/base/Hash.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <functional>
#include <limits>

namespace plantaindrift {

namespace {

    /// Dead ranks that a list keeps room for when live targets alone would fill it.
    constexpr std::size_t reservedDeadRanks = 1;

    /// Targets whose indexes fit one byte.
    constexpr std::size_t narrowTargets = 256;

    /// Weight 0 is left out, because the scores of such targets are all equal whatever their hashes.
    bool haveEqualWeights(std::span<double const> weights) noexcept
    {
        bool const isUniform = std::adjacent_find(weights.begin(), weights.end(), std::not_equal_to<> {}) == weights.end();
        return isUniform && (weights.empty() || weights.front() > 0);
    }

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
    ranksByHash_ = haveEqualWeights(weights_);
    indexBytes_ = endpoints_.size() <= narrowTargets ? 1 : 2;
    rows_.assign(buckets_ * stride() * indexBytes_, 0);
    rows_.shrink_to_fit();
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
    std::size_t const row = bucket * stride();
    rankGroup(bucket, 0, liveTargets_, row, liveRanks_);
    rankGroup(bucket, liveTargets_, endpoints_.size(), row + liveRanks_, deadRanks_);
}

void CandidateTable::rankGroup(std::size_t bucket, std::size_t first, std::size_t last, std::size_t row, std::size_t ranks)
{
    // The best ones so far, in order. Most targets of a large service fail the first comparison.
    std::array<Scored, maximumCandidates> best;
    std::size_t count = 0;
    for (std::size_t index = first; index < last && ranks != 0; ++index) {
        Scored const scored { score(index, bucket), static_cast<std::uint16_t>(index) };
        if (count == ranks && scored.score <= best[count - 1].score)
            continue;
        std::size_t place = count < ranks ? count++ : ranks - 1;
        for (; place > 0 && best[place - 1].score < scored.score; --place)
            best[place] = best[place - 1];
        best[place] = scored;
    }
    for (std::size_t rank = 0; rank < count; ++rank)
        setIndex(row + rank, best[rank].index);
}

double CandidateTable::score(std::size_t index, std::size_t bucket) const noexcept
{
    // With equal weights the score grows with the hash, and the order is found without logarithms. The low bits are cut
    // off as in rendezvousScore, so that equal scores are the same pairs.
    if (ranksByHash_)
        return static_cast<double>(mixHash(nameHashes_[index], bucket) >> (64U - std::numeric_limits<double>::digits));
    return rendezvousScore(nameHashes_[index], bucket, weights_[index]);
}

void CandidateTable::setIndex(std::size_t position, std::uint16_t index) noexcept
{
    if (indexBytes_ == 1)
        rows_[position] = static_cast<std::uint8_t>(index);
    else
        std::memcpy(rows_.data() + position * sizeof(index), &index, sizeof(index));
}

std::uint16_t CandidateTable::indexAt(std::size_t position) const noexcept
{
    if (indexBytes_ == 1)
        return rows_[position];
    std::uint16_t index = 0;
    std::memcpy(&index, rows_.data() + position * sizeof(index), sizeof(index));
    return index;
}

void CandidateTable::list(FlowHash flow, DeadTargets dead, RouteOption& route) const noexcept
{
    route.candidateCount = 0;
    if (rows_.empty())
        return;
    std::size_t const bucket = static_cast<std::uint64_t>(flow) & (buckets_ - 1);
    std::size_t const row = bucket * stride();
    bool const withDead = dead == DeadTargets::AtTail || (dead == DeadTargets::OnlyWithoutLive && liveRanks_ == 0);
    std::size_t const deadCount = withDead ? deadRanks_ : 0;
    std::size_t const liveCount = std::min(liveRanks_, maximumCandidates - deadCount);
    for (std::size_t rank = 0; rank < liveCount; ++rank)
        route.candidates[rank] = endpoints_[indexAt(row + rank)];
    for (std::size_t rank = 0; rank < deadCount; ++rank)
        route.candidates[liveCount + rank] = endpoints_[indexAt(row + liveRanks_ + rank)];
    route.candidateCount = static_cast<std::uint8_t>(liveCount + deadCount);
}

TargetStatus CandidateTable::status(Endpoint endpoint) const noexcept
{
    auto const found = statuses_.find(endpointKey(endpoint));
    return found == statuses_.end() ? TargetStatus::Unknown : found->second;
}

} // namespace plantaindrift
