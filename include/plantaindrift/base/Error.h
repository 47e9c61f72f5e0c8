#pragma once

#include "absl/status/status.h"

#include <string_view>

namespace plantaindrift {

/// \brief Typed kinds of error; each maps to an absl::StatusCode and an exit code.
enum class ErrorKind {
    InvalidSettings, ///< a settings or configuration file is wrong; exit code 2
    InvalidMessage, ///< a datagram or message cannot be decoded; dropped and counted
    Unauthenticated, ///< tag or key does not match
    LostRace, ///< another operator's change took the position; exit code 3
    DeadlinePassed, ///< the operation did not end in time; exit code 4
    PlatformUnreachable, ///< the platform does not answer; exit code 5
    OutcomeUnknown, ///< the answer was lost after the write may have taken effect
    NotFound, ///< the named object does not exist
    Refused, ///< refused before any effect
    Internal ///< a broken invariant
};

/// \brief Makes an absl::Status that carries its ErrorKind as a payload.
///
/// \param kind     what went wrong
/// \param message  what happened, ended by what the reader can do about it
[[nodiscard]] absl::Status makeError(ErrorKind kind, std::string_view message);

/// \brief The kind of a status made by makeError; Internal for any other failure.
///
/// \param status  a status that is not ok
[[nodiscard]] ErrorKind errorKind(absl::Status const& status);

/// \brief Exit code of a program that ends with this status: 0 ok, 1 failed, 2 bad settings or usage,
/// 3 lost race, 4 deadline passed, 5 platform unreachable.
[[nodiscard]] int exitCode(absl::Status const& status);

/// \brief Lower-case name of a kind for logs, such as "lost_race".
[[nodiscard]] std::string_view errorKindName(ErrorKind kind) noexcept;

} // namespace plantaindrift
