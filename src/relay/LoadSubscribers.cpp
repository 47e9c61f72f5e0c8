#include "relay/LoadSubscribers.h"

#include <algorithm>

namespace plantaindrift {

namespace {

    // An entry that has not renewed its subscription for this time receives no more load reports.
    constexpr std::chrono::seconds subscriptionLifetime { 3 };

    // Entries renew every second, and every 100 ms while they have no report: one that restarted, or whose report was lost.
    constexpr std::chrono::milliseconds shortestRegularRenewal { 500 };

    // Reports may take longer than 100 ms to an entry whose link is overloaded.
    constexpr std::chrono::milliseconds minimumRepeatedReportInterval { 400 };

} // namespace

bool LoadSubscribers::renew(Endpoint entry, std::chrono::milliseconds interval, TimePoint now)
{
    std::vector<Subscriber>::iterator const known = std::find_if(subscribers_.begin(), subscribers_.end(), [entry](Subscriber const& subscriber) { return subscriber.entry == entry; });
    if (known != subscribers_.end()) {
        bool const lacksReport = now - known->renewed < shortestRegularRenewal && now - known->sent >= minimumRepeatedReportInterval;
        known->interval = interval;
        known->renewed = now;
        if (lacksReport)
            known->sent = now;
        return lacksReport;
    }
    subscribers_.push_back({ entry, interval, now, now });
    return true;
}

std::vector<Endpoint> LoadSubscribers::collectDue(TimePoint now)
{
    std::erase_if(subscribers_, [now](Subscriber const& subscriber) { return now - subscriber.renewed > subscriptionLifetime; });
    std::vector<Endpoint> due;
    for (Subscriber& subscriber : subscribers_) {
        if (now - subscriber.sent < subscriber.interval)
            continue;
        subscriber.sent = now;
        due.push_back(subscriber.entry);
    }
    return due;
}

std::vector<Endpoint> LoadSubscribers::collectAll(TimePoint now)
{
    std::vector<Endpoint> all;
    for (Subscriber& subscriber : subscribers_) {
        subscriber.sent = now;
        all.push_back(subscriber.entry);
    }
    return all;
}

} // namespace plantaindrift
