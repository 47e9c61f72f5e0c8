#pragma once

#include "plantaindrift/configuration/ChangeLog.h"
#include "plantaindrift/membership/Member.h"

#include "control.pb.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace plantaindrift {

/// \brief Writes an endpoint; an unset one becomes address 0.
void toProtobuf(Endpoint endpoint, control::Endpoint& message);

/// \brief Reads an endpoint, or nothing if the port is out of range.
[[nodiscard]] std::optional<Endpoint> fromProtobuf(control::Endpoint const& message);

/// \brief Writes a member record.
///
/// \param tombstoneAge  time since the record became dead or left; 0 for others
void toProtobuf(Member const& member, std::chrono::seconds tombstoneAge, control::Member& message);

/// \brief Reads a member record, or nothing if a field is missing or out of range.
[[nodiscard]] std::optional<Member> fromProtobuf(control::Member const& message);

/// \brief Writes the declaration of a service.
void toProtobuf(Service const& service, control::Service& message);

/// \brief Reads the declaration of a service, or nothing if a field is missing or out of range.
[[nodiscard]] std::optional<Service> fromProtobuf(control::Service const& message);

/// \brief Writes a record of the change log.
void toProtobuf(ConfigurationChange const& change, control::ConfigurationChange& message);

/// \brief Reads a record of the change log, or nothing if a field is missing or out of range.
[[nodiscard]] std::optional<ConfigurationChange> fromProtobuf(control::ConfigurationChange const& message);

} // namespace plantaindrift
