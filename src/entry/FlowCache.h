#pragma once

#include "plantaindrift/base/Types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace plantaindrift {

/// \brief Owner of a flow as an owner notice told it.
struct CachedOwner {
    Endpoint owner;
    std::chrono::seconds age { 0 }; ///< since the notice
};

/// \brief Flow hash -> owner in a fixed number of entries; losing an entry costs one hop.
///
/// Set-associative: 4 entries of 16 bytes fill one 64-byte cache line, ordered from the most to the least recently
/// used. A new flow takes the place of the least recently used one of its set. 48 bits of the hash are stored and the
/// highest bits select the set, so that two flows are confused with a probability below 2^-48 per lookup.
class FlowCache {
public:
    static constexpr std::size_t bytesPerFlow = 16;
    static constexpr std::size_t ways = 4;

    /// \param entries  hard bound; rounded down to a power of two, at least 4
    explicit FlowCache(std::size_t entries);

    /// \brief Stores or replaces the owner of a flow.
    void learn(FlowHash flow, Endpoint owner, TimePoint now) noexcept;

    /// \brief The owner of a flow; marks the entry as used.
    [[nodiscard]] std::optional<CachedOwner> find(FlowHash flow, TimePoint now) noexcept;

    /// \brief Starts to load a flow's set into the processor's cache, for a find() that follows soon.
    void prefetch(FlowHash flow) const noexcept;

    /// \brief Number of entries, used or not.
    [[nodiscard]] std::size_t capacity() const noexcept { return sets_.size() * ways; }

private:
    struct Entry {
        std::uint64_t flowAndPort { 0 }; ///< low 48 bits of the flow hash, then the owner's port
        std::uint32_t address { 0 }; ///< 0: not used
        std::uint32_t learnedSeconds { 0 };
    };
    static_assert(sizeof(Entry) == bytesPerFlow);

    struct alignas(64) Set {
        std::array<Entry, ways> entries {};
    };

    [[nodiscard]] std::size_t setIndex(FlowHash flow) const noexcept;

    std::vector<Set> sets_;
    unsigned setShift_;
};

} // namespace plantaindrift
