#pragma once

#include "plantaindrift/membership/Member.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace plantaindrift {

/// \brief A target as the packet path sees it.
struct ViewTarget {
    std::string name;
    std::string dataCentre;
    Endpoint data; ///< its agent's UDP endpoint
    std::uint16_t weight { 100 };
    bool draining { false };
    bool dead { false }; ///< kept at the tail for packets of flows that may still live there

    friend bool operator==(ViewTarget const&, ViewTarget const&) = default;
};

/// \brief The targets of one service in one node's view, sorted by name.
struct ServiceView {
    std::string service;
    std::vector<ViewTarget> targets;
    std::uint32_t fingerprint { 0 }; ///< over (name, weight) of targets that are not dead

    friend bool operator==(ServiceView const&, ServiceView const&) = default;
};

/// \brief Fingerprint of a view: equal values mean equal candidate order in every process.
///
/// Draining does not enter, because a draining target keeps its rank.
[[nodiscard]] std::uint32_t viewFingerprint(std::span<ViewTarget const> sortedTargets) noexcept;

/// \brief Builds the view of a service from its member records; left members are omitted.
[[nodiscard]] ServiceView makeServiceView(std::string_view service, std::span<Member const> members);

} // namespace plantaindrift
