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
    std::int64_t startedMilliseconds { 0 }; ///< start of the target's process, since 1970; tells a later one apart
    std::uint64_t sequence { 0 }; ///< grows with each announcement of one process
    std::uint16_t slots { 1 };
    std::chrono::milliseconds coldFor { 0 };
    bool draining { false };
    bool leaving { false }; ///< the target ends
};

/// \brief What became of an announcement.
enum class AnnouncementOutcome : std::uint8_t {
    Taken,
    NewTarget, ///< taken; another process than before, which holds no flows
    Outdated, ///< from before one that was taken
    WrongService, ///< of a service that this agent does not serve
    WrongAddress ///< of a target on another instance
};

/// \brief Lower-case name of an outcome, for logs and metrics.
[[nodiscard]] std::string_view announcementOutcomeName(AnnouncementOutcome outcome) noexcept;

/// \brief Keeps the newest announcement of the target beside an agent.
class TargetAnnouncements {
public:
    /// \param address   where the target takes segments
    /// \param interval  between announcements; a target that misses some is taken as gone
    TargetAnnouncements(std::string service, Endpoint address, std::chrono::milliseconds interval, TimePoint now);

    /// \brief Takes an announcement unless it is outdated or of another target.
    AnnouncementOutcome take(TargetAnnouncement const& announcement, TimePoint now);

    /// \brief The target's state now.
    ///
    /// Before the first announcement the target is assumed to live for some intervals: after a restart of the agent
    /// alone it does.
    [[nodiscard]] TargetState state(TimePoint now) const noexcept;

    [[nodiscard]] std::optional<TargetAnnouncement> const& newest() const noexcept { return newest_; }

private:
    std::string service_;
    Endpoint address_;
    std::chrono::milliseconds interval_;
    TimePoint started_;
    TimePoint heard_;
    std::optional<TargetAnnouncement> newest_;
    bool isSeenFromStart_ { false };

    AnnouncementOutcome takeEnd(TargetAnnouncement const& announcement, TimePoint now);
};

} // namespace plantaindrift
