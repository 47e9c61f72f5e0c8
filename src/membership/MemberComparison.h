#pragma once

#include "plantaindrift/membership/Member.h"

#include <optional>

namespace plantaindrift {

/// \brief True if a record is neither dead nor left.
[[nodiscard]] inline bool isLive(Member const& member) noexcept
{
    return member.state < MemberState::Dead;
}

/// \brief True if a member is an entry that may monitor others.
[[nodiscard]] inline bool canMonitor(Member const& member) noexcept
{
    bool const stays = member.state == MemberState::Active || member.state == MemberState::Suspect;
    return member.role == MemberRole::Entry && stays && !member.draining;
}

/// \brief True if a service's view shows the same of both records; a suspicion does not show.
[[nodiscard]] inline bool viewsAlike(Member const& first, Member const& second)
{
    bool const gone = isLive(first) == isLive(second) && (isLive(first) || first.state == second.state);
    bool const flags = first.draining == second.draining && first.weight == second.weight;
    return gone && flags && first.service == second.service && first.data == second.data && first.dataCentre == second.dataCentre;
}

/// \brief True if the records differ in incarnation and state alone.
[[nodiscard]] inline bool isSameMember(std::optional<Member> const& before, Member const& after)
{
    if (!before)
        return false;
    Member same = *before;
    same.incarnation = after.incarnation;
    same.state = after.state;
    same.draining = after.draining;
    return same == after;
}

} // namespace plantaindrift
