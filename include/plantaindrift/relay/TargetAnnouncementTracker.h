#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/relay/AgentRelay.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantaindrift {

/// \brief What a target announces about itself.
struct TargetAnnouncement {
    std::string id;
    std::string service;
    Endpoint address;
    std::int64_t startTimeMs { 0 }; ///< start of the target's process, in ms since 1970; distinguishes successive processes
    std::uint64_t sequence { 0 }; ///< increases with each announcement of a process
    std::uint16_t slots { 1 };
    std::chrono::milliseconds remainingWarmUp { 0 };
    bool isDraining { false };
    bool isLeaving { false }; ///< the target is shutting down
};

/// \brief Result of processing an announcement.
enum class AnnouncementOutcome : std::uint8_t {
    Accepted,
    AcceptedNewTarget, ///< accepted; from another process than the previous one, which holds no flows
    Outdated, ///< older than an accepted one
    WrongService, ///< from a target of another service
    WrongAddress ///< from a target on another instance
};

/// \brief Lower-case name of an outcome, as in logs and metrics.
[[nodiscard]] std::string_view announcementOutcomeName(AnnouncementOutcome outcome) noexcept;

/// \brief Keeps the latest announcement of the agent's target.
class TargetAnnouncementTracker {
public:
    /// \param address  endpoint at which the target receives segments
    /// \param interval  between announcements; a target that misses several is considered gone
    TargetAnnouncementTracker(std::string service, Endpoint address, std::chrono::milliseconds interval, TimePoint now);

    /// \brief Accepts an announcement unless it is outdated or of another target.
    AnnouncementOutcome processAnnouncement(TargetAnnouncement const& announcement, TimePoint now);

    /// \brief Current state of the target.
    ///
    /// Before the first announcement the target is assumed to be running for some intervals: it is if only the agent
    /// restarted.
    [[nodiscard]] TargetState targetState(TimePoint now) const noexcept;

    /// \brief True if the target announced that its process started when the agent's did, or later.
    ///
    /// After a power loss the target often announces itself before its agent listens, so that its start is not observed.
    ///
    /// \param agentStartMs  start of the agent's process, in ms since 1970 by the clock of the machine
    [[nodiscard]] bool hasStartedWith(std::int64_t agentStartMs) const noexcept;

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
