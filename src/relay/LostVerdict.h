#pragma once

#include "plantaindrift/relay/RelayObserver.h"
#include "relay/OwnerSearch.h"
#include "relay/TargetDirectory.h"

#include <optional>

namespace plantaindrift {

/// \brief Decides when a search that found no owner has lasted long enough and covered all targets, so that the flow is lost.
///
/// A caller that is told so by mistake loses an open flow. The lists of an entry may be short, and agents that started a short time
/// ago may not know the flows of their targets yet, so that a verdict waits for a complete and current view and for a minimum time.
class LostVerdict {
public:
    explicit LostVerdict(TargetDirectory const& directory)
        : directory_(directory)
    {
    }

    /// \brief Records a tick of the entry; the first is taken for its start.
    void recordTick(TimePoint now) noexcept;

    /// \brief Makes verdicts wait for a member list that was read after the search began, or in the first seconds at most
    /// recordedJoinTime earlier. Without a store there is no such list.
    void requireMemberRead() noexcept { isMemberReadRequired_ = true; }

    /// \brief True if a search can only be ended by a new member list.
    [[nodiscard]] bool needsMemberRead() const noexcept { return needsMemberRead_; }

    /// \brief Records that the view includes all members that were registered when a read of the member list started.
    void recordMemberRead(TimePoint started) noexcept;

    /// \brief Sets whether the views contain every target that the store or a peer knows of.
    void setViewsComplete(bool complete) noexcept { viewsComplete_ = complete; }

    /// \brief True in the first seconds of this entry.
    [[nodiscard]] bool isStarting(TimePoint now) const noexcept;

    /// \brief True in the first seconds if machines restarted with this entry and none is known to have kept its power.
    [[nodiscard]] bool isStartingAfterPowerLoss(TimePoint now) const noexcept;

    /// \brief True if an agent that does not know whether its target holds a flow has restarted with its machine, so that the target
    /// has lost its flows.
    [[nodiscard]] bool haveMachinesRestarted(TimePoint now) const noexcept { return isStartingAfterPowerLoss(now) && !directory_.hasReplacedAgent(); }

    /// \brief True if the member list is recent enough for a search; otherwise it is to be read again.
    [[nodiscard]] bool isViewCurrent(OwnerSearch const& search, TimePoint now) noexcept;

    /// \brief True if a search in which all agents replied that their targets do not hold the flow may end.
    [[nodiscard]] bool mayEnd(OwnerSearch const& search, TimePoint now) noexcept;

    /// \brief What a verdict is based on.
    [[nodiscard]] LostFlowEvidence describe(OwnerSearch const& search, TimePoint now) const noexcept;

private:
    TargetDirectory const& directory_;
    std::optional<TimePoint> started_; ///< first tick
    std::optional<TimePoint> membersRead_; ///< start of the last read of the member list
    bool viewsComplete_ { false };
    bool isMemberReadRequired_ { false };
    bool needsMemberRead_ { false };

    [[nodiscard]] bool areViewsSettled(OwnerSearch const& search, TimePoint now) const noexcept;
    [[nodiscard]] bool isLongEnough(OwnerSearch const& search, TimePoint now) const noexcept;
};

} // namespace plantaindrift
