#pragma once

#include "plantaindrift/configuration/Configuration.h"
#include "plantaindrift/membership/ServiceView.h"

#include <cstdint>
#include <span>

namespace plantaindrift {

/// \brief Hash of all that a view says, draining and dead targets included; never 0.
///
/// An agent reports it in its heartbeats, and gets the member list if the monitor has another one.
[[nodiscard]] std::uint32_t viewHash(ServiceView const& view) noexcept;

/// \brief Hash of a declaration; never 0.
[[nodiscard]] std::uint32_t serviceHash(Service const& service);

/// \brief Hash of a list of monitors; never 0.
[[nodiscard]] std::uint32_t monitorsHash(std::span<Endpoint const> monitors) noexcept;

} // namespace plantaindrift
