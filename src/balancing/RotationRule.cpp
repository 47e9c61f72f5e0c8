#include "balancing/RotationRule.h"

#include "plantaindrift/base/Hash.h"

#include <algorithm>
#include <array>

namespace plantaindrift {

namespace {

    constexpr std::array<std::string_view, rotationReasonCount> reasonNames {
        "has_room", "no_statuses", "limit_reached", "others_full", "narrower_first", "overloaded", "waiting", "returned", "too_many_out"
    };

    constexpr double overloadUtilisation = 0.8;
    constexpr std::chrono::milliseconds overloadTime { 500 };

    // Share of the others' links that the traffic of the data centre may take after a departure.
    constexpr double maximumUseOfOthers = 0.6;

    // Below the limit for departures, so that a return does not cause the next departure.
    constexpr double maximumShareAfterReturn = 0.5;

    constexpr std::chrono::seconds minimumWait { 5 };
    constexpr std::chrono::seconds maximumWait { 60 };
    constexpr std::chrono::seconds repeatedDepartureTime { 30 };

    // Jitter adds at most a quarter to a wait.
    constexpr std::uint64_t maximumJitterPercent = 25;

    // Below this utilisation, the idle load of the processor distorts the ratio of bytes to utilisation.
    constexpr double minimumUtilisationForEstimate = 0.4;

    // An entry whose processor or link is used up by fewer bytes than its link is declared for can carry no more.
    double capacityOf(EntryLoad const& status) noexcept
    {
        if (status.utilisation < minimumUtilisationForEstimate)
            return status.linkBytesPerSecond;
        double const carried = status.offeredBytesPerSecond / status.utilisation;
        return status.linkBytesPerSecond > 0 ? std::min(status.linkBytesPerSecond, carried) : carried;
    }

    bool isNarrower(EntryLoad const& left, EntryLoad const& right) noexcept
    {
        return left.linkBytesPerSecond != right.linkBytesPerSecond ? left.linkBytesPerSecond < right.linkBytesPerSecond : left.nameHash < right.nameHash;
    }

    // An entry that is in rotation and overloaded, and that leaves before this one.
    bool leavesFirst(EntryLoad const& other, EntryLoad const& self) noexcept
    {
        return other.isInRotation && other.utilisation > overloadUtilisation && isNarrower(other, self);
    }

} // namespace

std::string_view rotationReasonName(RotationReason reason) noexcept
{
    return reasonNames[static_cast<std::size_t>(reason)];
}

std::uint32_t entryNameHash(std::string_view name) noexcept
{
    return static_cast<std::uint32_t>(hashText(name));
}

std::size_t maximumEntriesOut(std::size_t running) noexcept
{
    constexpr std::size_t minimumRunning = 3;
    return running < minimumRunning ? 0 : std::max<std::size_t>(1, running / 2 - 1);
}

RotationRule::RotationRule(std::uint64_t randomSeed) noexcept
    : randomSeed_(randomSeed)
{
}

RotationDecision const& RotationRule::tick(RotationInputs const& inputs, TimePoint now) noexcept
{
    if (inputs.self.utilisation <= overloadUtilisation)
        overloadedSince_ = {};
    else if (overloadedSince_ == TimePoint {})
        overloadedSince_ = now;
    estimate(inputs);
    if (!decision_.isInRotation) {
        decideReturn(inputs, now);
        return decision_;
    }
    decision_.reason = reasonToStay(inputs, now);
    if (decision_.reason == RotationReason::Overloaded)
        leave(inputs, now);
    return decision_;
}

// The fabric gives all entries in rotation the same share. Therefore, a saturated link, which receives less than was sent
// to it, counts with at least the mean of the others. A status may be older than the beginning of a surge, so that others
// count with at least what this entry receives itself.
void RotationRule::estimate(RotationInputs const& inputs) noexcept
{
    std::size_t out = 0;
    std::size_t measuredEntries = 0;
    double measuredBytes = 0;
    decision_.roomBytesPerSecond = 0;
    for (EntryLoad const& other : inputs.others) {
        out += other.isInRotation ? 0 : 1;
        if (!other.isInRotation)
            continue;
        decision_.roomBytesPerSecond += capacityOf(other);
        if (other.utilisation > overloadUtilisation)
            continue;
        ++measuredEntries;
        measuredBytes += other.offeredBytesPerSecond;
    }
    double const mean = measuredEntries > 0 ? measuredBytes / static_cast<double>(measuredEntries) : 0;
    double const own = decision_.isInRotation ? inputs.self.offeredBytesPerSecond : 0;
    double total = decision_.isInRotation && isOverloaded() ? std::max(own, mean) : inputs.self.offeredBytesPerSecond;
    for (EntryLoad const& other : inputs.others) {
        bool const isSaturated = other.isInRotation && other.utilisation > overloadUtilisation;
        double const least = other.isInRotation ? std::max(own, isSaturated ? mean : 0) : 0;
        total += std::max(other.offeredBytesPerSecond, least);
    }
    std::size_t const unknown = inputs.running > inputs.others.size() + 1 ? inputs.running - inputs.others.size() - 1 : 0;
    decision_.running = inputs.running;
    decision_.knownOthers = inputs.others.size();
    decision_.out = out + unknown;
    decision_.totalBytesPerSecond = total + std::max(mean, own) * static_cast<double>(unknown);
    decision_.shareBytesPerSecond = decision_.totalBytesPerSecond / static_cast<double>(inputs.others.size() - out + 1);
}

// Returns RotationReason::Overloaded if nothing holds the entry in rotation.
RotationReason RotationRule::reasonToStay(RotationInputs const& inputs, TimePoint now) const noexcept
{
    if (!isOverloaded() || now - overloadedSince_ < overloadTime)
        return RotationReason::HasRoom;
    if (inputs.others.empty())
        return RotationReason::NoStatuses;
    std::size_t const allowed = maximumEntriesOut(inputs.running);
    if (decision_.out >= allowed)
        return RotationReason::LimitReached;
    double room = decision_.roomBytesPerSecond;
    std::size_t leavingFirst = 0;
    std::size_t staying = 0;
    for (EntryLoad const& other : inputs.others) {
        bool const isFirst = leavesFirst(other, inputs.self);
        leavingFirst += isFirst ? 1 : 0;
        staying += other.isInRotation && !isFirst ? 1 : 0;
        room -= isFirst ? capacityOf(other) : 0;
    }
    if (decision_.out + leavingFirst >= allowed)
        return RotationReason::NarrowerFirst;
    if (staying == 0 || decision_.totalBytesPerSecond > maximumUseOfOthers * room)
        return RotationReason::OthersFull;
    // The fabric does not weigh by links. A departure must not move more traffic to overloaded links than it relieves.
    double const shareAfter = decision_.totalBytesPerSecond / static_cast<double>(staying);
    double overloadedBefore = decision_.shareBytesPerSecond;
    double overloadedAfter = 0;
    for (EntryLoad const& other : inputs.others) {
        if (!other.isInRotation)
            continue;
        double const limit = overloadUtilisation * capacityOf(other);
        overloadedBefore += decision_.shareBytesPerSecond > limit ? decision_.shareBytesPerSecond : 0;
        overloadedAfter += !leavesFirst(other, inputs.self) && shareAfter > limit ? shareAfter : 0;
    }
    return overloadedAfter > overloadedBefore ? RotationReason::OthersFull : RotationReason::Overloaded;
}

void RotationRule::leave(RotationInputs const& inputs, TimePoint now) noexcept
{
    bool const isRepeated = returned_ != TimePoint {} && now - returned_ < repeatedDepartureTime;
    wait_ = isRepeated ? std::min<Duration>(2 * wait_, maximumWait) : Duration(minimumWait);
    ++departures_;
    jitteredWait_ = wait_ + wait_ * static_cast<std::int64_t>(mixHash(randomSeed_, departures_) % (maximumJitterPercent + 1)) / 100;
    capacity_ = capacityOf(inputs.self);
    calmSince_ = {};
    decision_.isInRotation = false;
}

void RotationRule::decideReturn(RotationInputs const& inputs, TimePoint now) noexcept
{
    bool const isForOthers = mustReturnForOthers(inputs);
    // Without statuses, nothing shows that the others carry its share.
    bool const fits = inputs.others.empty() || decision_.shareBytesPerSecond < maximumShareAfterReturn * capacity_;
    if (!fits)
        calmSince_ = {};
    else if (calmSince_ == TimePoint {})
        calmSince_ = now;
    bool const isCalm = calmSince_ != TimePoint {} && now - calmSince_ >= jitteredWait_;
    if (!isForOthers && !isCalm) {
        decision_.reason = fits ? RotationReason::Waiting : RotationReason::Overloaded;
        return;
    }
    decision_.isInRotation = true;
    decision_.reason = isForOthers ? RotationReason::TooManyOut : RotationReason::Returned;
    returned_ = now;
    overloadedSince_ = {};
}

// Entries may leave at the same time without knowing of each other, and others may end while this one is out. Those
// with the widest links return.
bool RotationRule::mustReturnForOthers(RotationInputs const& inputs) const noexcept
{
    std::size_t narrowerOut = 0;
    for (EntryLoad const& other : inputs.others)
        narrowerOut += !other.isInRotation && isNarrower(other, inputs.self) ? 1 : 0;
    return narrowerOut >= maximumEntriesOut(inputs.running);
}

} // namespace plantaindrift
