#pragma once

#include "configuration/JsonObject.h"
#include "plantaindrift/configuration/Configuration.h"

namespace plantaindrift {

/// \brief JSON form of a service, used by change records and snapshots.
[[nodiscard]] nlohmann::json serviceToJson(Service const& service);

/// \brief Reads a service; sorted fields are sorted, and the first error goes to `error`.
[[nodiscard]] Service serviceFromJson(nlohmann::json const& value, std::string const& path, absl::Status& error);

/// \brief Sorts addresses by address, port and protocol.
void sortAddresses(std::vector<ServiceAddress>& addresses);

/// \brief Name of a protocol in JSON and TOML, "tcp" or "udp".
[[nodiscard]] std::string_view protocolName(Protocol protocol) noexcept;

/// \brief Protocol of a name, or nothing.
[[nodiscard]] std::optional<Protocol> parseProtocol(std::string_view name) noexcept;

} // namespace plantaindrift
