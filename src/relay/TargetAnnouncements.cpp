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
    if (announcement.service != service_)
        return AnnouncementOutcome::WrongService;
    if (announcement.address != address_)
        return AnnouncementOutcome::WrongAddress;
    bool isNew = false;
    if (newest_) {
        std::pair<std::int64_t, std::uint64_t> const known(newest_->startedMilliseconds, newest_->sequence);
        std::pair<std::int64_t, std::uint64_t> const given(announcement.startedMilliseconds, announcement.sequence);
        bool const endsKnown = announcement.leaving && announcement.id == newest_->id;
        if (given <= known && !endsKnown)
            return AnnouncementOutcome::Outdated;
        isNew = announcement.startedMilliseconds != newest_->startedMilliseconds;
    }
    newest_ = announcement;
    heard_ = now;
    return isNew ? AnnouncementOutcome::NewTarget : AnnouncementOutcome::Taken;
}

TargetState TargetAnnouncements::state(TimePoint now) const noexcept
{
    TargetState state;
    std::chrono::milliseconds const lease { static_cast<std::int64_t>(missedIntervals * static_cast<double>(interval_.count())) };
    bool const isRecent = now - heard_ <= lease;
    state.slots = newest_ ? newest_->slots : assumedSlots;
    state.accepting = isRecent && (!newest_ || (!newest_->draining && !newest_->leaving));
    if (newest_ && newest_->coldFor > now - heard_)
        state.coldFor = std::chrono::duration_cast<std::chrono::milliseconds>(newest_->coldFor - (now - heard_));
    return state;
}

} // namespace plantaindrift
