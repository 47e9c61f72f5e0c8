#include "plantaindrift/membership/Detector.h"

#include <algorithm>

namespace plantaindrift {

void Detector::watch(std::string_view name, TimePoint now, std::chrono::milliseconds interval)
{
    auto const [position, added] = watched_.try_emplace(std::string(name));
    if (!added)
        return;
    Watch& watch = position->second;
    watch.lastHeard = now + missedHeartbeats * interval;
    watch.silentSince = now;
    watch.lastRequest = now;
    watch.interval = interval;
}

void Detector::unwatch(std::string_view name)
{
    auto const found = watched_.find(name);
    if (found != watched_.end())
        watched_.erase(found);
}

void Detector::heard(std::string_view name, TimePoint now, std::chrono::milliseconds interval)
{
    auto const found = watched_.find(name);
    if (found == watched_.end())
        return;
    Watch& watch = found->second;
    watch.lastHeard = now;
    watch.silentSince = now;
    watch.lastRequest = now;
    watch.requests = 0;
    watch.wasHeard = true;
    watch.interval = interval;
    watch.suspectSince.reset();
    watch.suspected = 0;
    watch.refuted = 0;
}

std::optional<std::chrono::milliseconds> Detector::interval(std::string_view name) const
{
    auto const found = watched_.find(name);
    if (found == watched_.end())
        return std::nullopt;
    return found->second.interval;
}

std::vector<Detector::Verdict> Detector::tick(TimePoint now, MemberTable const& table)
{
    skipPause(now);
    std::vector<Verdict> verdicts;
    for (auto& [name, watch] : watched_) {
        // Nothing can be wrong with a member that was heard within its interval; most are skipped here.
        if (now - watch.lastHeard <= watch.interval)
            continue;
        MemberTable::Record const* const record = table.find(name);
        if (record == nullptr)
            continue;
        std::optional<MemberState> const state = judge(watch, record->member, now);
        if (state)
            verdicts.push_back({ name, record->member.incarnation, *state, now - watch.silentSince, watch.wasHeard, watch.requests });
    }
    return verdicts;
}

std::vector<std::string> Detector::takeDueRequests(TimePoint now)
{
    std::vector<std::string> due;
    for (auto& [name, watch] : watched_) {
        if (now - watch.lastRequest <= watch.interval + slack)
            continue;
        watch.lastRequest = now;
        ++watch.requests;
        due.push_back(name);
    }
    return due;
}

void Detector::skipPause(TimePoint now)
{
    // Heartbeats that arrived during an own pause wait in the receive queue and prove nothing yet.
    if (lastTick_ && now - *lastTick_ > longestTick) {
        Duration const pause = now - *lastTick_;
        for (auto& [name, watch] : watched_) {
            watch.lastHeard += pause;
            watch.silentSince += pause;
            watch.lastRequest += pause;
            if (watch.suspectSince)
                *watch.suspectSince += pause;
        }
    }
    lastTick_ = now;
}

std::optional<MemberState> Detector::judge(Watch& watch, Member const& member, TimePoint now)
{
    bool const usable = member.state == MemberState::Active || member.state == MemberState::Draining;
    if (usable) {
        watch.suspectSince.reset();
        if (watch.suspected != 0 && member.incarnation > watch.suspected) {
            // Others hear the member: wait twice as long, so that a one-sided cut costs few suspicions.
            ++watch.refuted;
            watch.suspected = 0;
            watch.lastHeard = now;
        }
        if (now - watch.lastHeard <= patience(watch))
            return std::nullopt;
        watch.suspected = std::max<std::uint64_t>(member.incarnation, 1);
        watch.suspectSince = now;
        return MemberState::Suspect;
    }
    if (member.state != MemberState::Suspect)
        return std::nullopt;
    if (!watch.suspectSince)
        watch.suspectSince = now;
    bool const silent = now - watch.lastHeard > missedHeartbeats * watch.interval;
    if (!silent || now - *watch.suspectSince <= missedHeartbeats * watch.interval)
        return std::nullopt;
    return MemberState::Dead;
}

Duration Detector::patience(Watch const& watch) noexcept
{
    constexpr int maximumDoublings = 16;
    Duration const basic = missedHeartbeats * watch.interval + slack;
    Duration const longer = basic * (1 << std::min(watch.refuted, maximumDoublings));
    return std::min<Duration>(longer, std::max<Duration>(basic, maximumPatience));
}

} // namespace plantaindrift
