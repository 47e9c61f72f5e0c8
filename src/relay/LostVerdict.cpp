#include "relay/LostVerdict.h"

#include "plantaindrift/membership/JoinDelay.h"

#include <algorithm>
#include <chrono>

namespace plantaindrift {

namespace {

    using std::chrono::duration_cast;
    using std::chrono::milliseconds;

    // Gossip propagates a join to all entries within this time.
    constexpr milliseconds viewSettleDelay { 300 };

    // A running entry may lack a target whose record is delayed by the control budget, so it declares a flow lost only
    // after the search has lasted this long. A newly started entry has read the members from the store, and after a
    // power loss most searches are for lost flows.
    constexpr std::chrono::seconds startupPeriod { 10 };
    constexpr std::chrono::seconds minimumLostSearchTime { 3 };

    // If other machines kept running, the store may have lost records of some of them, and a newly started entry has no other
    // list. Agents that lost all entries notice it within 3 s and write their records again.
    constexpr std::chrono::seconds minimumStartingSearchTime { 5 };

    // A machine that starts after the others may open a flow before its first load report arrives here. Its agent replies to a
    // query within this time.
    constexpr milliseconds minimumReplyTime { 80 };

} // namespace

void LostVerdict::recordTick(TimePoint now) noexcept
{
    started_ = started_.value_or(now);
}

void LostVerdict::recordMemberRead(TimePoint started) noexcept
{
    membersRead_ = std::max(membersRead_.value_or(started), started);
    // Searches that began later ask again.
    needsMemberRead_ = false;
}

bool LostVerdict::isStarting(TimePoint now) const noexcept
{
    return !started_ || now - *started_ < startupPeriod;
}

// An entry that has heard no agent, or only such as do not know when their targets started, does not know of a power loss.
bool LostVerdict::isStartingAfterPowerLoss(TimePoint now) const noexcept
{
    return isStarting(now) && directory_.hasRestartedMachine() && !directory_.hasSurvivor();
}

// The records of targets that joined may be delayed by the control budget or by a cut for longer than any fixed time. A
// flow may also have been opened at such a target after a power loss. As targets that join admit flows only some time after
// their records were written, a list that is a little older than the search has all that may hold its flow; it counts while
// most searches are for lost flows.
bool LostVerdict::isViewCurrent(OwnerSearch const& search, TimePoint now) noexcept
{
    Duration const permittedAge = isStartingAfterPowerLoss(now) ? recordedJoinTime : milliseconds::zero();
    bool const isCurrent = !isMemberReadRequired_ || (membersRead_ && *membersRead_ + permittedAge >= search.started);
    needsMemberRead_ = needsMemberRead_ || !isCurrent;
    return isCurrent;
}

bool LostVerdict::mayEnd(OwnerSearch const& search, TimePoint now) noexcept
{
    return areViewsSettled(search, now) && isViewCurrent(search, now) && isLongEnough(search, now);
}

bool LostVerdict::areViewsSettled(OwnerSearch const& search, TimePoint now) const noexcept
{
    return viewsComplete_ && std::all_of(search.services.begin(), search.services.end(), [now](ServiceReplies const& replies) {
        return now - replies.group().viewChanged >= viewSettleDelay;
    });
}

bool LostVerdict::isLongEnough(OwnerSearch const& search, TimePoint now) const noexcept
{
    if (!isStartingAfterPowerLoss(now))
        return now - search.started >= (isStarting(now) ? minimumStartingSearchTime : minimumLostSearchTime);
    return std::all_of(search.services.begin(), search.services.end(), [now](ServiceReplies const& replies) {
        bool const wasQueriedLongAgo = replies.firstQueried() != TimePoint {} && now - replies.firstQueried() >= minimumReplyTime;
        return !replies.hasSilentTarget() || wasQueriedLongAgo;
    });
}

LostFlowEvidence LostVerdict::describe(OwnerSearch const& search, TimePoint now) const noexcept
{
    LostFlowEvidence evidence;
    evidence.flow = { search.segment.source, search.segment.destination };
    evidence.searchTime = duration_cast<milliseconds>(now - search.started);
    evidence.searchedServices = search.services.size();
    evidence.isAfterPowerLoss = isStartingAfterPowerLoss(now);
    evidence.entryUptime = duration_cast<milliseconds>(now - started_.value_or(now));
    if (membersRead_)
        evidence.memberListAge = duration_cast<milliseconds>(now - *membersRead_);
    Duration shortest = Duration::max();
    Duration newestView = Duration::max();
    for (ServiceReplies const& replies : search.services) {
        newestView = std::min<Duration>(newestView, now - replies.group().viewChanged);
        std::vector<DirectoryTarget> const& targets = replies.group().targets;
        for (std::size_t index = 0; index < targets.size(); ++index) {
            if (replies.hasReportedNotFound(index)) {
                ++evidence.repliedTargets;
            } else if (targets[index].load.hasEnded) {
                ++evidence.endedTargets;
            } else {
                ++evidence.silentTargets;
                shortest = std::min<Duration>(shortest, now - (targets[index].hasReported ? targets[index].lastReport : targets[index].added));
            }
        }
    }
    if (!search.services.empty())
        evidence.viewAge = duration_cast<milliseconds>(newestView);
    if (evidence.silentTargets > 0)
        evidence.shortestSilence = duration_cast<milliseconds>(shortest);
    return evidence;
}

} // namespace plantaindrift
