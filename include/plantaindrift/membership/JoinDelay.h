#pragma once

#include "plantaindrift/base/Types.h"

#include <chrono>
#include <optional>

namespace plantaindrift {

/// \brief Minimum time between the write of a joining target's record and the first flow that its agent admits.
///
/// A member list whose read started at most this long before a flow was opened has the record of the flow's target.
inline constexpr std::chrono::milliseconds recordedJoinTime { 800 };

/// \brief Decides when a target that joins may take flows.
///
/// Entries that do not know its agent yet could not find its flows: they read the store or learn of the agent by gossip.
class JoinDelay {
public:
    /// \param hasStore  the agent writes its record to a store
    JoinDelay(TimePoint started, bool hasStore) noexcept;

    /// \brief Records that the store already held the record when it was first read: entries know the agent.
    void recordKnown() noexcept { isKnown_ = true; }

    /// \brief Records that the record of this agent was written to the store; later calls change nothing.
    void recordWritten(TimePoint now) noexcept;

    [[nodiscard]] bool isOver(TimePoint now) const noexcept;

private:
    TimePoint started_;
    bool hasStore_ { false };
    bool isKnown_ { false };
    std::optional<TimePoint> written_;
};

} // namespace plantaindrift
