#pragma once

#include "plantaindrift/base/Types.h"

#include <chrono>
#include <vector>

namespace plantaindrift {

/// \brief Entries that subscribed to the load reports of an agent's target.
class LoadSubscribers {
public:
    /// \brief Adds or renews a subscription. \returns true if it is new
    bool renew(Endpoint entry, std::chrono::milliseconds interval, TimePoint now);

    /// \brief Returns the entries whose next report is due and marks it as sent. Removes subscriptions that were not
    /// renewed.
    [[nodiscard]] std::vector<Endpoint> collectDue(TimePoint now);

    /// \brief Returns all entries and marks their reports as sent.
    [[nodiscard]] std::vector<Endpoint> collectAll(TimePoint now);

private:
    struct Subscriber {
        Endpoint entry;
        std::chrono::milliseconds interval { 0 };
        TimePoint renewed;
        TimePoint sent;
    };

    std::vector<Subscriber> subscribers_;
};

} // namespace plantaindrift
