#include "plantaindrift/relay/TargetAnnouncements.h"

#include <array>
#include <utility>

namespace plantaindrift {

namespace {

    constexpr std::array<std::string_view, 5> outcomeNames { "taken", "new_target", "outdated", "wrong_service", "wrong_address" };

    // One lost announcement and a late one.
    constexpr double missedIntervals = 2.5;

    // Until the first announcement.
    constexpr std::uint16_t assumedSlots = 4;

    // Number of the first announcement of a process.
    constexpr std::uint64_t firstSequence = 1;

} // namespace

std::string_view announcementOutcomeName(AnnouncementOutcome outcome) noexcept
{
    return outcomeNames[static_cast<std::size_t>(outcome)];
}

TargetAnnouncements::TargetAnnouncements(std::string service, Endpoint address, std::chrono::milliseconds interval, TimePoint now)
    : service_(std::move(service))
    , address_(address)
    , interval_(interval)
    , started_(now)
    , heard_(now)
{
}

AnnouncementOutcome TargetAnnouncements::take(TargetAnnouncement const& announcement, TimePoint now)
{
    if (announcement.leaving)
        return takeEnd(announcement, now);
    if (announcement.service != service_)
        return AnnouncementOutcome::WrongService;
    if (announcement.address != address_)
        return AnnouncementOutcome::WrongAddress;
    std::pair<std::int64_t, std::uint64_t> const given(announcement.startedMilliseconds, announcement.sequence);
    if (newest_ && given <= std::pair(newest_->startedMilliseconds, newest_->sequence))
        return AnnouncementOutcome::Outdated;
    bool const isNew = newest_ && announcement.startedMilliseconds != newest_->startedMilliseconds;
    if (!newest_ || isNew)
        isSeenFromStart_ = announcement.sequence <= firstSequence;
    newest_ = announcement;
    heard_ = now;
    return isNew ? AnnouncementOutcome::NewTarget : AnnouncementOutcome::Taken;
}

// The note of an end names the target's id alone.
AnnouncementOutcome TargetAnnouncements::takeEnd(TargetAnnouncement const& announcement, TimePoint now)
{
    if (!newest_ || newest_->id != announcement.id)
        return AnnouncementOutcome::Outdated;
    newest_->leaving = true;
    heard_ = now;
    return AnnouncementOutcome::Taken;
}

TargetState TargetAnnouncements::state(TimePoint now) const noexcept
{
    TargetState state;
    std::chrono::milliseconds const lease { static_cast<std::int64_t>(missedIntervals * static_cast<double>(interval_.count())) };
    bool const isRecent = now - heard_ <= lease;
    state.announced = newest_.has_value();
    state.seenFromStart = isSeenFromStart_;
    state.gone = !isRecent || (newest_ && newest_->leaving);
    state.slots = newest_ ? newest_->slots : assumedSlots;
    state.accepting = !state.gone && (!newest_ || !newest_->draining);
    if (newest_ && newest_->coldFor > now - heard_)
        state.coldFor = std::chrono::duration_cast<std::chrono::milliseconds>(newest_->coldFor - (now - heard_));
    return state;
}

} // namespace plantaindrift
