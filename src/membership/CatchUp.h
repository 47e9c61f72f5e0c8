#pragma once

#include "membership/RandomSource.h"
#include "membership/SnapshotParts.h"
#include "plantaindrift/configuration/Configuration.h"
#include "plantaindrift/membership/MemberTable.h"

#include "control.pb.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace plantaindrift {

/// \brief Fetches full state: different shards from many peers at once.
class CatchUp {
public:
    /// \brief Time after which a shard is asked for at another peer.
    static constexpr std::chrono::milliseconds answerTime { 1000 };

    /// \brief Time without an answer after which this node goes on with what it has.
    static constexpr std::chrono::seconds patience { 10 };

    /// \brief Time after which this node goes on if every peer that it knows is catching up itself.
    ///
    /// After a total loss nobody has full state.
    static constexpr std::chrono::seconds coldPatience { 3 };

    /// \brief Time without any answer after which no peer is expected to have full state.
    ///
    /// Callers of flows that a loss of power ended are reset within 1 s of its return.
    static constexpr std::chrono::milliseconds silencePatience { 500 };

    /// \brief Most shards in one request.
    ///
    /// While only the seeds are known, the first answers name the peers for the other shards.
    static constexpr std::size_t shardsPerRequest = 2;

    /// \brief Most requests that wait for an answer at once.
    static constexpr std::size_t maximumRequests = 64;

    /// \brief Starts to fetch all shards.
    void start(TimePoint now);

    [[nodiscard]] bool isActive() const noexcept { return active_; }

    /// \brief True once a peer with full state gave every shard.
    [[nodiscard]] bool isComplete() const noexcept { return complete_; }

    /// \brief True while a peer may still give full state: one did in part, or one that was asked has not answered yet.
    [[nodiscard]] bool expectsFullState(TimePoint now, std::span<Endpoint const> peers) const;

    /// \brief Requests to send now; also ends the fetch when nobody answers.
    [[nodiscard]] std::vector<std::pair<Endpoint, control::ShardRequest>> tick(TimePoint now, std::span<Endpoint const> peers, RandomSource& random);

    /// \brief Takes the shards of an answer.
    void take(Endpoint from, control::ShardReply const& reply, TimePoint now);

    /// \brief True while the shards are expected to bring the configuration soon: they arrive, and not for long yet.
    [[nodiscard]] bool awaitsConfiguration(TimePoint now) const noexcept;

    /// \brief The configuration once all shards are there, if they are of one position; else ConfigurationExchange obtains it.
    [[nodiscard]] std::optional<Snapshot> takeConfiguration();

private:
    struct Shard {
        bool done { false };
        std::optional<TimePoint> askedAt;
        std::optional<std::uint64_t> position; ///< of the services below; empty if some of them did not fit into the answer
        std::vector<Service> services;
    };

    [[nodiscard]] bool areAllPartial(std::span<Endpoint const> peers) const;
    [[nodiscard]] bool isHopeless(TimePoint now, std::span<Endpoint const> peers) const;
    void finishIfDone();
    [[nodiscard]] std::vector<std::uint32_t> openShards(TimePoint now) const;
    [[nodiscard]] std::vector<Endpoint> idlePeers(TimePoint now, std::span<Endpoint const> peers, RandomSource& random);

    bool active_ { false };
    bool complete_ { false };
    bool assembled_ { false };
    bool hasFullPeer_ { false }; ///< a peer with full state answered
    TimePoint started_;
    TimePoint lastProgress_;
    std::set<Endpoint> partial_; ///< peers that catch up themselves
    std::array<Shard, shardCount> shards_;
    std::map<Endpoint, TimePoint> busy_; ///< peers not to be asked before this time
};

} // namespace plantaindrift
