#include "plantaindrift/membership/ServiceView.h"

#include "plantaindrift/base/Hash.h"

#include <algorithm>
#include <array>

namespace plantaindrift {

namespace {

    constexpr std::array<std::string_view, 5> stateNames { "active", "draining", "suspect", "dead", "left" };

    ViewTarget toViewTarget(Member const& member)
    {
        ViewTarget target;
        target.name = member.name;
        target.dataCentre = member.dataCentre;
        target.data = member.data;
        target.weight = member.weight;
        target.draining = member.draining || member.state == MemberState::Draining;
        target.dead = member.state == MemberState::Dead;
        return target;
    }

} // namespace

std::string_view memberStateName(MemberState state) noexcept
{
    return stateNames[static_cast<std::size_t>(state)];
}

std::uint32_t viewFingerprint(std::span<ViewTarget const> sortedTargets) noexcept
{
    // A service without live targets still has a fingerprint other than 0, which means "no view".
    std::uint64_t hash = 1;
    for (ViewTarget const& target : sortedTargets) {
        if (!target.dead)
            hash = mixHash(hash, hashText(target.name, target.weight));
    }
    std::uint32_t const folded = static_cast<std::uint32_t>(hash ^ (hash >> 32U));
    return folded == 0 ? 1 : folded;
}

ServiceView makeServiceView(std::string_view service, std::span<Member const> members)
{
    ServiceView view;
    view.service = service;
    for (Member const& member : members) {
        bool const belongs = member.role == MemberRole::Agent && member.service == service;
        if (belongs && member.state != MemberState::Left)
            view.targets.push_back(toViewTarget(member));
    }
    std::sort(view.targets.begin(), view.targets.end(), [](ViewTarget const& left, ViewTarget const& right) { return left.name < right.name; });
    view.fingerprint = viewFingerprint(view.targets);
    return view;
}

} // namespace plantaindrift
