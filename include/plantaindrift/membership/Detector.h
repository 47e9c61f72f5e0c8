#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/membership/MemberTable.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift {

/// \brief Decides which of the monitored members are suspect or dead.
///
/// 3 missed heartbeats make a member suspect; if it does not refute that within 3 further intervals, it is dead. Before
/// that, the member is asked for a heartbeat: it sends none to a monitor that it does not know.
class Detector {
public:
    static constexpr int missedHeartbeats = 3;

    /// \brief Allowance for the period of the tick and the travel of a message.
    static constexpr std::chrono::milliseconds slack { 300 };

    /// \brief Longest patience with a member that others hear and this monitor does not.
    static constexpr std::chrono::seconds maximumPatience { 600 };

    /// \brief Local pause after which nothing is concluded from missing heartbeats.
    static constexpr std::chrono::seconds longestTick { 2 };

    struct Verdict {
        std::string name;
        std::uint64_t incarnation { 0 };
        MemberState state { MemberState::Suspect };
        Duration silence { 0 }; ///< since the last heartbeat, or since the start of the watch if there was none
        bool wasHeard { false }; ///< this monitor has received a heartbeat of the member
        int requests { 0 }; ///< requests for a heartbeat since then
    };

    /// \brief Starts to expect heartbeats.
    ///
    /// A new monitor grants one round more, in which the member learns of it.
    void watch(std::string_view name, TimePoint now, std::chrono::milliseconds interval);
    void unwatch(std::string_view name);

    /// \brief Notes a heartbeat, and the interval that the reply tells.
    void heard(std::string_view name, TimePoint now, std::chrono::milliseconds interval);

    /// \brief The interval that the member was told last, if it is watched.
    [[nodiscard]] std::optional<std::chrono::milliseconds> interval(std::string_view name) const;

    /// \brief New verdicts; call at every tick.
    [[nodiscard]] std::vector<Verdict> tick(TimePoint now, MemberTable const& table);

    /// \brief Members whose heartbeat is overdue by one interval or more and is to be requested; each once an interval.
    [[nodiscard]] std::vector<std::string> takeDueRequests(TimePoint now);

    [[nodiscard]] std::size_t watched() const noexcept { return watched_.size(); }

private:
    struct Watch {
        TimePoint lastHeard; ///< in the future while a new monitor grants a round
        TimePoint silentSince; ///< last heartbeat, or start of the watch
        TimePoint lastRequest; ///< last request for a heartbeat, or silentSince
        int requests { 0 }; ///< since silentSince
        bool wasHeard { false };
        std::chrono::milliseconds interval { 0 };
        std::optional<TimePoint> suspectSince;
        std::uint64_t suspected { 0 }; ///< incarnation that this monitor suspected last
        int refuted { 0 }; ///< suspicions refuted since this monitor last heard the member
    };

    void skipPause(TimePoint now);
    [[nodiscard]] static std::optional<MemberState> judge(Watch& watch, Member const& member, TimePoint now);
    [[nodiscard]] static Duration patience(Watch const& watch) noexcept;

    std::map<std::string, Watch, std::less<>> watched_;
    std::optional<TimePoint> lastTick_;
};

} // namespace plantaindrift
