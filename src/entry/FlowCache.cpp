#include "entry/FlowCache.h"

#include <algorithm>
#include <bit>

namespace plantaindrift {

namespace {

    constexpr unsigned portBits = 16;

    std::uint64_t storedHash(FlowHash flow) noexcept
    {
        return static_cast<std::uint64_t>(flow) << portBits;
    }

    std::uint64_t hashPart(std::uint64_t flowAndPort) noexcept
    {
        return flowAndPort >> portBits << portBits;
    }

    std::uint32_t toSeconds(TimePoint time) noexcept
    {
        return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count());
    }

} // namespace

FlowCache::FlowCache(std::size_t entries)
    : sets_(std::bit_floor(std::max(entries, ways)) / ways)
    , setShift_(64U - static_cast<unsigned>(std::countr_zero(sets_.size())))
{
}

std::size_t FlowCache::setIndex(FlowHash flow) const noexcept
{
    // A shift by the full width is undefined, and a cache of one set has no index bits.
    return sets_.size() == 1 ? 0 : static_cast<std::uint64_t>(flow) >> setShift_;
}

void FlowCache::prefetch(FlowHash flow) const noexcept
{
    __builtin_prefetch(&sets_[setIndex(flow)]);
}

void FlowCache::learn(FlowHash flow, Endpoint owner, TimePoint now) noexcept
{
    if (!owner.isSet())
        return;
    std::array<Entry, ways>& entries = sets_[setIndex(flow)].entries;
    std::uint64_t const hash = storedHash(flow);
    auto const isReplaced = [hash](Entry const& entry) { return entry.address == 0 || hashPart(entry.flowAndPort) == hash; };
    auto const replaced = std::find_if(entries.begin(), entries.end() - 1, isReplaced);
    std::move_backward(entries.begin(), replaced, replaced + 1);
    entries.front() = { hash | owner.port, owner.address, toSeconds(now) };
}

std::optional<CachedOwner> FlowCache::find(FlowHash flow, TimePoint now) noexcept
{
    std::array<Entry, ways>& entries = sets_[setIndex(flow)].entries;
    std::uint64_t const hash = storedHash(flow);
    auto const isFlow = [hash](Entry const& entry) { return entry.address != 0 && hashPart(entry.flowAndPort) == hash; };
    auto const found = std::find_if(entries.begin(), entries.end(), isFlow);
    if (found == entries.end())
        return std::nullopt;
    std::rotate(entries.begin(), found, found + 1);
    Entry const& entry = entries.front();
    Endpoint const owner { entry.address, static_cast<std::uint16_t>(entry.flowAndPort) };
    return CachedOwner { owner, std::chrono::seconds { toSeconds(now) - entry.learnedSeconds } };
}

} // namespace plantaindrift
