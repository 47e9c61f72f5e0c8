#include "membership/MonitorContacts.h"

#include "membership/ViewHash.h"

#include <algorithm>
#include <utility>

namespace plantaindrift {

namespace {

    // Heartbeats without a reply after which an entry is no longer relied on.
    constexpr int silentHeartbeats = 3;

    // Entries answer within milliseconds, also those that want rare heartbeats. Other entries are tried after this number of
    // shortest intervals without any reply, and all known ones are taken for gone after one more.
    constexpr int fallBackIntervals = 2;
    constexpr int unansweredIntervals = 3;

    bool contains(std::span<Endpoint const> endpoints, Endpoint endpoint)
    {
        return std::find(endpoints.begin(), endpoints.end(), endpoint) != endpoints.end();
    }

} // namespace

MonitorContacts::MonitorContacts(std::vector<Endpoint> seeds, std::chrono::milliseconds interval, std::uint64_t randomSeed)
    : seeds_(std::move(seeds))
    , interval_(interval)
    , random_(randomSeed)
{
}

std::vector<MonitorContacts::Due> MonitorContacts::takeDue(TimePoint now)
{
    markLost(now);
    dropUnnamed(now);
    fallBack(now);
    probe(now);
    std::vector<Due> due;
    for (auto& [entry, contact] : contacts_) {
        if (!contact.lastSent || now - *contact.lastSent >= contact.interval)
            due.push_back(send(entry, contact, now));
    }
    return due;
}

std::vector<MonitorContacts::Due> MonitorContacts::takeAll(TimePoint now)
{
    std::vector<Due> all;
    for (auto& [entry, contact] : contacts_) {
        contact.needsRecord = true;
        all.push_back(send(entry, contact, now));
    }
    return all;
}

void MonitorContacts::setSeeds(std::span<Endpoint const> seeds, TimePoint now)
{
    std::vector<Endpoint> const known = std::exchange(seeds_, { seeds.begin(), seeds.end() });
    for (Endpoint const seed : seeds_) {
        if (!contains(known, seed))
            add(seed, now);
    }
}

void MonitorContacts::setListed(std::span<Endpoint const> listed, TimePoint now)
{
    std::vector<Endpoint> const known = std::exchange(listed_, { listed.begin(), listed.end() });
    std::vector<Endpoint> added;
    std::vector<Endpoint> others;
    for (Endpoint const entry : listed_) {
        if (!contacts_.contains(entry))
            (contains(known, entry) ? others : added).push_back(entry);
    }
    tryRandom(added, maximumNamed, now);
    if (isUnanswered(now))
        tryRandom(others, maximumNamed - std::min(maximumNamed, added.size()), now);
}

bool MonitorContacts::isUnanswered(TimePoint now) const
{
    return isUnansweredFor(unansweredIntervals, now);
}

bool MonitorContacts::isUnansweredFor(int intervals, TimePoint now) const
{
    return firstUnanswered_ && now - *firstUnanswered_ > intervals * interval_;
}

void MonitorContacts::markLost(TimePoint now)
{
    for (auto& [entry, contact] : contacts_) {
        bool const isSilent = contact.lastReply && now - *contact.lastReply > silentHeartbeats * contact.interval;
        hasLostContact_ = hasLostContact_ || (isSilent && !contact.isLost);
        contact.isLost = isSilent;
    }
}

MonitorContacts::Due MonitorContacts::addRequester(Endpoint entry, TimePoint now)
{
    return send(entry, add(entry, now), now);
}

void MonitorContacts::tryRandom(std::vector<Endpoint>& entries, std::size_t most, TimePoint now)
{
    std::size_t const count = std::min(most, entries.size());
    for (std::size_t index = 0; index < count; ++index) {
        std::swap(entries[index], entries[index + random_.below(entries.size() - index)]);
        add(entries[index], now);
    }
}

void MonitorContacts::noteReply(Endpoint from, std::chrono::milliseconds interval, std::span<Endpoint const> monitors, bool needsRecord, TimePoint now)
{
    firstUnanswered_.reset();
    rememberAnswer(from);
    auto const found = contacts_.find(from);
    if (found == contacts_.end())
        return;
    Contact& contact = found->second;
    contact.lastReply = now;
    contact.interval = interval;
    contact.needsRecord = needsRecord;
    if (!monitors.empty())
        contact.named.assign(monitors.begin(), monitors.end());
    for (Endpoint const monitor : std::vector<Endpoint>(contact.named))
        add(monitor, now).onTrial = false;
    // An entry of the settings that is no monitor has done its part with the names.
    if (contact.onTrial && !contact.named.empty() && !needsRecord)
        contacts_.erase(found);
}

void MonitorContacts::rememberAnswer(Endpoint entry)
{
    std::erase(answered_, entry);
    answered_.insert(answered_.begin(), entry);
    if (answered_.size() > fallbackEntries)
        answered_.pop_back();
}

MonitorContacts::Contact& MonitorContacts::add(Endpoint entry, TimePoint now)
{
    auto const [position, added] = contacts_.try_emplace(entry);
    if (added)
        position->second.interval = interval_;
    position->second.lastNamed = now;
    return position->second;
}

void MonitorContacts::dropUnnamed(TimePoint now)
{
    std::chrono::milliseconds longest = interval_;
    for (auto const& [entry, contact] : contacts_)
        longest = std::max(longest, contact.interval);
    std::erase_if(contacts_, [now, longest](std::pair<Endpoint const, Contact> const& contact) { return now - contact.second.lastNamed > silentHeartbeats * longest; });
}

void MonitorContacts::fallBack(TimePoint now)
{
    bool const isDue = contacts_.empty() || isUnansweredFor(fallBackIntervals, now);
    bool const isRecent = lastFallBack_ && now - *lastFallBack_ < silentHeartbeats * interval_;
    if (!isDue || isRecent)
        return;
    lastFallBack_ = now;
    tryRandom(seeds_, fallbackEntries, now);
    tryRandom(listed_, fallbackEntries, now);
    // The entries of the settings and the list may all be gone by now.
    for (Endpoint const entry : answered_)
        add(entry, now);
}

void MonitorContacts::probe(TimePoint now)
{
    if (!lastProbe_)
        lastProbe_ = now;
    std::size_t const known = seeds_.size() + listed_.size();
    if (now - *lastProbe_ < probePeriod || known == 0)
        return;
    lastProbe_ = now;
    std::size_t const drawn = random_.below(known);
    add(drawn < seeds_.size() ? seeds_[drawn] : listed_[drawn - seeds_.size()], now);
}

MonitorContacts::Due MonitorContacts::send(Endpoint to, Contact& contact, TimePoint now)
{
    contact.lastSent = now;
    firstUnanswered_ = firstUnanswered_.value_or(now);
    return { to, contact.needsRecord, contact.named.empty() ? 0 : monitorsHash(contact.named) };
}

} // namespace plantaindrift
