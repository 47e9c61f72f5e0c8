#pragma once

#include "plantaindrift/base/Types.h"

#include <cstdint>

namespace plantaindrift {

/// \brief An entry's share of the new flows that a cold target takes.
///
/// Answers the return of cold targets, each of which every entry would take for idle. No entry knows how many others send to a
/// target: the share grows with each admitted opening and falls with each one that the agent declined.
class ColdShare {
public:
    /// \brief True if the share admits one more opening now.
    [[nodiscard]] bool hasRoom(TimePoint now) const noexcept { return now >= next_; }

    /// \brief Records an opening that is sent to the target.
    ///
    /// \param allowance  new flows a second that the target takes, above 0
    void recordOffer(std::uint16_t allowance, TimePoint now) noexcept;

    /// \brief Records that the agent admitted an opening.
    void recordAdmission() noexcept;

    /// \brief Records that the agent passed on or returned an opening because of its limit.
    void recordDecline(TimePoint now) noexcept;

private:
    double share_ { 0.25 };
    TimePoint next_; ///< when the share admits the next opening
    TimePoint lastDecline_;
};

} // namespace plantaindrift
