#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/membership/ServiceView.h"
#include "plantaindrift/packet/RouteOption.h"

#include "absl/container/flat_hash_map.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace plantaindrift {

/// \brief How a candidate list treats targets that are dead in the view.
enum class DeadTargets : std::uint8_t {
    Excluded,
    OnlyWithoutLive, ///< listed only if no target is live
    AtTail ///< listed after the live ones; the list always has room for the best-ranked one
};

/// \brief What a view says about an endpoint.
enum class TargetStatus : std::uint8_t {
    Unknown,
    Live,
    Dead
};

/// \brief Precomputed candidate order of one service: bucket -> targets by weighted rendezvous hashing.
///
/// The number of buckets is a constant and not a function of the view, because a flow has the same bucket in two
/// views, and so the same order of their common targets, only if both have the same number of buckets. A row has one
/// target index, of 1 byte up to 256 targets and of 2 bytes above, for each listed rank.
class CandidateTable {
public:
    /// \brief Buckets of a service; a power of two.
    ///
    /// With n targets the share of one deviates by about sqrt(n / buckets): 2% with 7 targets. Four times as many
    /// buckets halve that and take four times the memory, which at 2,700 services does not fit a node's 256 MB.
    static constexpr std::size_t defaultBuckets = 16384;

    /// \param buckets  a power of two
    explicit CandidateTable(std::size_t buckets = defaultBuckets);

    /// \brief Ranks the targets of a view anew. Targets without an endpoint are left out.
    ///
    /// \param sortedTargets  sorted by name; equal scores rank in this order
    void rebuild(std::span<ViewTarget const> sortedTargets);

    /// \brief Writes the candidates of a flow into a route; allocates nothing.
    void list(FlowHash flow, DeadTargets dead, RouteOption& route) const noexcept;

    /// \brief Status of an agent's endpoint in the view that the table was built from.
    [[nodiscard]] TargetStatus status(Endpoint endpoint) const noexcept;

    /// \brief Bytes of the rows.
    [[nodiscard]] std::size_t rowBytes() const noexcept { return rows_.size(); }

private:
    struct Scored {
        double score { 0 };
        std::uint16_t index { 0 };
    };

    [[nodiscard]] std::size_t stride() const noexcept { return liveRanks_ + deadRanks_; }
    void addTargets(std::span<ViewTarget const> targets, TargetStatus status);
    void rankBucket(std::size_t bucket);
    void rankGroup(std::size_t bucket, std::size_t first, std::size_t last, std::size_t row, std::size_t ranks);
    [[nodiscard]] double score(std::size_t index, std::size_t bucket) const noexcept;
    void setIndex(std::size_t position, std::uint16_t index) noexcept;
    [[nodiscard]] std::uint16_t indexAt(std::size_t position) const noexcept;

    std::size_t buckets_;
    std::size_t liveTargets_ { 0 }; ///< live targets have the first indexes
    std::size_t liveRanks_ { 0 }; ///< entries of a row for live targets
    std::size_t deadRanks_ { 0 }; ///< entries of a row for dead targets, after the live ones
    std::vector<Endpoint> endpoints_; ///< by target index
    std::vector<std::uint64_t> nameHashes_; ///< by target index
    std::vector<double> weights_; ///< by target index
    bool ranksByHash_ { true }; ///< all weights are equal, so that the order of hashes is the order of scores
    std::size_t indexBytes_ { 1 };
    std::vector<std::uint8_t> rows_; ///< target indexes of indexBytes_ each, one row for each bucket
    absl::flat_hash_map<std::uint64_t, TargetStatus> statuses_;
};

} // namespace plantaindrift
