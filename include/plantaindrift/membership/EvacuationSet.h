#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift {

/// \brief Version of an evacuation set; a later one wins.
struct EvacuationVersion {
    std::uint64_t generation { 0 }; ///< of the store; rises when the store comes back from an older copy
    std::uint64_t revision { 0 }; ///< of the store within the generation

    // clang-tidy takes the zero of a rewritten comparison for a null pointer.
    friend auto operator<=>(EvacuationVersion const&, EvacuationVersion const&) = default; // NOLINT(modernize-use-nullptr)
};

/// \brief The data centres whose targets are to take no new flows, as operators requested.
struct EvacuationSet {
    std::vector<std::string> dataCentres; ///< sorted, without duplicates
    EvacuationVersion version;

    [[nodiscard]] bool contains(std::string_view dataCentre) const { return std::binary_search(dataCentres.begin(), dataCentres.end(), dataCentre); }

    friend bool operator==(EvacuationSet const&, EvacuationSet const&) = default;
};

/// \brief How a process learned of evacuations.
enum class EvacuationSource : std::uint8_t {
    Store, ///< its own read or watch
    Peer, ///< a message of an entry or an agent
    Absence ///< a restored store did not list a data centre again in time
};

/// \brief The evacuations in force after a change, and where the change came from.
struct EvacuationChange {
    EvacuationSet set;
    EvacuationSource source { EvacuationSource::Store };
};

} // namespace plantaindrift
