#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/relay/AgentRelay.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantaindrift {

/// \brief What a target says of itself.
struct TargetAnnouncement {
    std::string id;
    std::string service;
    Endpoint address;
    std::int64_t startTimeMs { 0 }; ///< start of the target's process, since 1970; tells a later one apart
    std::uint64_t sequence { 0 }; ///< grows with each announcement of one process
    std::uint16_t slots { 1 };
    std::chrono::milliseconds remainingWarmUp { 0 };
    bool isDraining { false };
    bool isLeaving { false }; ///< the target ends
};

/// \brief What became of an announcement.
enum class AnnouncementOutcome : std::uint8_t {
    Accepted,
    AcceptedNewTarget, ///< taken; another process than before, which holds no flows
    Outdated, ///< from before one that was taken
    WrongService, ///< of a service that this agent does not serve
    WrongAddress ///< of a target on another instance
};

/// \brief Lower-case name of an outcome, for logs and metrics.
[[nodiscard]] std::string_view announcementOutcomeName(AnnouncementOutcome outcome) noexcept;

/// \brief Keeps the newest announcement of the target beside an agent.
class TargetAnnouncementTracker {
public:
    /// \param address   where the target takes segments
    /// \param interval  between announcements; a target that misses some is taken as gone
    TargetAnnouncementTracker(std::string service, Endpoint address, std::chrono::milliseconds interval, TimePoint now);

    /// \brief Takes an announcement unless it is outdated or of another target.
    AnnouncementOutcome processAnnouncement(TargetAnnouncement const& announcement, TimePoint now);

    /// \brief The target's state now.
    ///
    /// Before the first announcement the target is assumed to live for some intervals: after a restart of the agent
    /// alone it does.
    [[nodiscard]] TargetState targetState(TimePoint now) const noexcept;

    [[nodiscard]] std::optional<TargetAnnouncement> const& newest() const noexcept { return newest_; }

private:
    std::string service_;
    Endpoint address_;
    std::chrono::milliseconds interval_;
    TimePoint started_;
    TimePoint lastReceived_;
    std::optional<TargetAnnouncement> newest_;
    bool isSeenFromStart_ { false };

    AnnouncementOutcome processLeave(TargetAnnouncement const& announcement, TimePoint now);
};

} // namespace plantaindrift
