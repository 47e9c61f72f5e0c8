#pragma once

#include "plantaindrift/membership/Member.h"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>

namespace plantaindrift {

/// \brief Key prefix of all announcement objects.
inline constexpr std::string_view announcementPrefix = "targets/";

/// \brief Key of an agent's announcement object, "targets/<service>/<name>".
[[nodiscard]] std::string announcementKey(Member const& member);

/// \brief JSON text of an agent's record, as kept in the platform.
[[nodiscard]] std::string encodeAnnouncement(Member const& member);

/// \brief Reads an announcement; errors are InvalidMessage and name the field.
[[nodiscard]] absl::StatusOr<Member> decodeAnnouncement(std::string_view text);

} // namespace plantaindrift
