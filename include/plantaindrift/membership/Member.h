#pragma once

#include "plantaindrift/base/Types.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace plantaindrift {

/// \brief What a member record describes.
enum class MemberRole : std::uint8_t {
    Entry,
    Agent
};

/// \brief State of a member within one incarnation; a later enumerator wins over an earlier one at equal incarnation.
enum class MemberState : std::uint8_t {
    Active,
    Draining, ///< finishes its flows, takes no new ones
    Suspect, ///< missed heartbeats; still in use
    Dead, ///< suspicion was not refuted in time
    Left ///< stopped on purpose; final for this incarnation
};

/// \brief Lower-case name of a state.
[[nodiscard]] std::string_view memberStateName(MemberState state) noexcept;

/// \brief One entry or agent as its peers know it. Only the member itself makes new incarnations.
struct Member {
    MemberRole role { MemberRole::Agent };
    std::string name; ///< unique over the system
    std::string dataCentre;
    std::string service; ///< empty for entries
    std::uint64_t incarnation { 0 };
    MemberState state { MemberState::Active };
    bool draining { false }; ///< kept while Suspect, so that a refutation restores it
    Endpoint data; ///< UDP endpoint of the packet path
    Endpoint control; ///< TCP endpoint of control messages
    std::uint16_t weight { 100 }; ///< relative share; 100 is one full instance
    std::uint16_t slots { 0 };
    std::uint32_t connections { 0 };

    friend bool operator==(Member const&, Member const&) = default;
};

/// \brief Highest incarnation that is accepted; a member that must exceed it could not refute any more.
inline constexpr std::uint64_t maximumIncarnation = 1ULL << 62U;

/// \brief Longest name of a member, data centre, service or target in a message.
inline constexpr std::size_t maximumNameLength = 253;

/// \brief True if a text can be the name of a member, data centre, service or target: printable ASCII without spaces.
[[nodiscard]] bool isValidName(std::string_view text) noexcept;

/// \brief True if peers take the record: names, incarnation and weight are in range, and only agents have a service.
[[nodiscard]] bool isValidMember(Member const& member) noexcept;

} // namespace plantaindrift
