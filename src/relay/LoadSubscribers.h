#pragma once

#include "plantaindrift/base/Types.h"

#include <chrono>
#include <vector>

namespace plantaindrift {

/// \brief Entries that asked an agent for the load of its target.
class LoadSubscribers {
public:
    /// \brief Adds or renews a subscription. \returns true if it is new
    bool renew(Endpoint entry, std::chrono::milliseconds interval, TimePoint now);

    /// \brief Entries that are due; they count as told. Forgets those that did not renew.
    [[nodiscard]] std::vector<Endpoint> takeDue(TimePoint now);

    /// \brief All entries; they count as told.
    [[nodiscard]] std::vector<Endpoint> takeAll(TimePoint now);

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
