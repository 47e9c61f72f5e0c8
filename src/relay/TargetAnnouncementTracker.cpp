#include "plantaindrift/relay/TargetAnnouncementTracker.h"

#include <array>
#include <utility>

namespace plantaindrift {

namespace {

    constexpr std::array<std::string_view, 5> outcomeNames { "taken", "new_target", "outdated", "wrong_service", "wrong_address" };

    // One lost announcement and a delayed one.
    constexpr double leaseIntervals = 2.5;

    // After a power loss, targets and agents of a machine start within a second.
    constexpr std::chrono::milliseconds maximumStartDifference { 2000 };

    // Number of slots assumed until the first announcement.
    constexpr std::uint16_t assumedSlots = 4;

    // Sequence number of the first announcement of a process.
    constexpr std::uint64_t firstSequence = 1;

} // namespace

std::string_view announcementOutcomeName(AnnouncementOutcome outcome) noexcept
{
    return outcomeNames[static_cast<std::size_t>(outcome)];
}

TargetAnnouncementTracker::TargetAnnouncementTracker(std::string service, Endpoint address, std::chrono::milliseconds interval, TimePoint now)
    : service_(std::move(service))
    , address_(address)
    , interval_(interval)
    , started_(now)
    , lastReceived_(now)
{
}

AnnouncementOutcome TargetAnnouncementTracker::processAnnouncement(TargetAnnouncement const& announcement, TimePoint now)
{
    if (announcement.isLeaving)
        return processLeave(announcement, now);
    if (announcement.service != service_)
        return AnnouncementOutcome::WrongService;
    if (announcement.address != address_)
        return AnnouncementOutcome::WrongAddress;
    std::pair<std::int64_t, std::uint64_t> const receivedVersion(announcement.startTimeMs, announcement.sequence);
    if (newest_ && receivedVersion <= std::pair(newest_->startTimeMs, newest_->sequence))
        return AnnouncementOutcome::Outdated;
    bool const isNewProcess = newest_ && announcement.startTimeMs != newest_->startTimeMs;
    if (!newest_ || isNewProcess)
        isSeenFromStart_ = announcement.sequence <= firstSequence;
    newest_ = announcement;
    lastReceived_ = now;
    return isNewProcess ? AnnouncementOutcome::AcceptedNewTarget : AnnouncementOutcome::Accepted;
}

// The announcement of a shutdown names only the target's id.
AnnouncementOutcome TargetAnnouncementTracker::processLeave(TargetAnnouncement const& announcement, TimePoint now)
{
    if (!newest_ || newest_->id != announcement.id)
        return AnnouncementOutcome::Outdated;
    newest_->isLeaving = true;
    lastReceived_ = now;
    return AnnouncementOutcome::Accepted;
}

bool TargetAnnouncementTracker::hasStartedWith(std::int64_t agentStartMs) const noexcept
{
    return newest_ && newest_->startTimeMs >= agentStartMs - maximumStartDifference.count();
}

TargetState TargetAnnouncementTracker::targetState(TimePoint now) const noexcept
{
    TargetState state;
    std::chrono::milliseconds const lease { static_cast<std::int64_t>(leaseIntervals * static_cast<double>(interval_.count())) };
    bool const isRecent = now - lastReceived_ <= lease;
    state.isAnnounced = newest_.has_value();
    state.lastAnnouncement = newest_ ? lastReceived_ : TimePoint {};
    state.isStartObserved = isSeenFromStart_;
    state.hasLeft = newest_ && newest_->isLeaving;
    state.isGone = !isRecent || state.hasLeft;
    state.slots = newest_ ? newest_->slots : assumedSlots;
    state.isAccepting = !state.isGone && (!newest_ || !newest_->isDraining);
    if (newest_ && newest_->remainingWarmUp > now - lastReceived_)
        state.remainingWarmUp = std::chrono::duration_cast<std::chrono::milliseconds>(newest_->remainingWarmUp - (now - lastReceived_));
    return state;
}

} // namespace plantaindrift
