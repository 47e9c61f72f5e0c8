#pragma once

#include "membership/RandomSource.h"
#include "plantaindrift/membership/MemberTable.h"

#include "control.pb.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>

namespace plantaindrift {

/// \brief Schedule of the comparisons with random peers, and the requests that follow a difference.
class AntiEntropy {
public:
    static constexpr std::chrono::seconds period { 10 };

    /// \brief Period after an exchange that could not carry all differences.
    static constexpr std::chrono::seconds shortPeriod { 1 };

    /// \brief Period of the attempts to reach entries that are believed dead; a cut heals within one of them.
    static constexpr std::chrono::seconds reconnectPeriod { 5 };

    explicit AntiEntropy(std::uint64_t seed);

    /// \brief True if a comparison with a live peer is due; the next one is scheduled.
    [[nodiscard]] bool takeDue(TimePoint now);

    /// \brief True if an attempt to reach a lost entry is due; the next one is scheduled.
    [[nodiscard]] bool takeReconnectDue(TimePoint now);

    /// \brief Brings the next comparison forward.
    void hurry(TimePoint now);

    /// \brief The request for some of the shards that differ from a peer's digests.
    ///
    /// The shards are drawn at random, so that peers that differ in all of them fetch different ones.
    [[nodiscard]] control::ShardRequest makeRequest(MemberTable const& table, std::span<std::uint32_t> differing);

private:
    RandomSource random_;
    std::optional<TimePoint> next_;
    std::optional<TimePoint> nextReconnect_;
};

} // namespace plantaindrift
