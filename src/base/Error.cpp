#include "plantaindrift/base/Error.h"

#include "absl/strings/cord.h"

#include <array>
#include <optional>
#include <string>

namespace plantaindrift {

namespace {

    constexpr std::string_view payloadType = "plantaindrift/error-kind";

    struct KindRow {
        ErrorKind kind;
        std::string_view name;
        absl::StatusCode code;
        int exit;
    };

    constexpr std::array<KindRow, 10> kindTable { {
        { ErrorKind::InvalidSettings, "invalid_settings", absl::StatusCode::kInvalidArgument, 2 },
        { ErrorKind::InvalidMessage, "invalid_message", absl::StatusCode::kInvalidArgument, 1 },
        { ErrorKind::Unauthenticated, "unauthenticated", absl::StatusCode::kUnauthenticated, 1 },
        { ErrorKind::LostRace, "lost_race", absl::StatusCode::kAborted, 3 },
        { ErrorKind::DeadlinePassed, "deadline_passed", absl::StatusCode::kDeadlineExceeded, 4 },
        { ErrorKind::PlatformUnreachable, "platform_unreachable", absl::StatusCode::kUnavailable, 5 },
        { ErrorKind::OutcomeUnknown, "outcome_unknown", absl::StatusCode::kUnknown, 5 },
        { ErrorKind::NotFound, "not_found", absl::StatusCode::kNotFound, 1 },
        { ErrorKind::Refused, "refused", absl::StatusCode::kFailedPrecondition, 1 },
        { ErrorKind::Internal, "internal", absl::StatusCode::kInternal, 1 },
    } };

    // Debian builds Abseil for C++14, where absl::string_view is a type of its own.
    absl::string_view toAbseil(std::string_view text) noexcept
    {
        return { text.data(), text.size() };
    }

    KindRow const& rowOf(ErrorKind kind) noexcept
    {
        return kindTable[static_cast<std::size_t>(kind)];
    }

} // namespace

absl::Status makeError(ErrorKind kind, std::string_view message)
{
    KindRow const& row = rowOf(kind);
    absl::Status status(row.code, toAbseil(message));
    status.SetPayload(toAbseil(payloadType), absl::Cord(toAbseil(row.name)));
    return status;
}

ErrorKind errorKind(absl::Status const& status)
{
    absl::optional<absl::Cord> const payload = status.GetPayload(toAbseil(payloadType));
    if (!payload)
        return ErrorKind::Internal;
    std::string const name(*payload);
    for (KindRow const& row : kindTable) {
        if (row.name == name)
            return row.kind;
    }
    return ErrorKind::Internal;
}

int exitCode(absl::Status const& status)
{
    return status.ok() ? 0 : rowOf(errorKind(status)).exit;
}

std::string_view errorKindName(ErrorKind kind) noexcept
{
    return rowOf(kind).name;
}

} // namespace plantaindrift
