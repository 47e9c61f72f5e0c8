#pragma once

#include "plantaindrift/configuration/Configuration.h"

#include "control.pb.h"

#include <cstddef>
#include <cstdint>

namespace plantaindrift {

/// \brief What an agent's copy of its service's declaration holds.
struct DeclarationVersion {
    std::uint32_t hash { 0 }; ///< of the whole declaration, also if the agent has only a part of it
    bool isWhole { true }; ///< false if addresses, targets and data centres are missing
};

/// \brief Adds the declaration of a service to a heartbeat reply that has to fit into one message.
///
/// If it is larger than the largest message permits, only the fields that do not grow are added, with the hash of the whole one. If it
/// fits, but not together with what the reply holds already, nothing is added; a later reply holds it.
///
/// \param hash          hash of the service
/// \param maximumBytes  size of the largest message
void addDeclaration(Service const& service, std::uint32_t hash, std::size_t maximumBytes, control::HeartbeatReply& reply);

/// \brief The version of the declaration in a heartbeat reply.
[[nodiscard]] DeclarationVersion declarationVersion(control::HeartbeatReply const& reply, Service const& declared);

} // namespace plantaindrift
