#pragma once

#include "plantaindrift/store/ObjectStore.h"

#include "absl/status/status.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift::cli {

/// \brief Values of the command-line flags.
struct CommandOptions {
    bool json { false };
    std::int64_t expectedPosition { -1 }; ///< -1 if not given
    std::int64_t position { -1 }; ///< -1 if not given
    std::string author;
    std::string reason;
    std::string operationId;
    std::string service;
    std::string since;
    std::string until;
    std::string directory;
    std::uint32_t epoch { 1 };
    std::chrono::milliseconds deadline { 30'000 };
    std::chrono::milliseconds pollInterval { 1'000 };
    std::chrono::milliseconds staleAge { 180'000 };
};

/// \brief Everything that a command uses besides its flags.
struct CommandContext {
    ObjectStore* store { nullptr }; ///< null for commands that need no platform
    std::ostream& output;
    std::ostream& progress;
    std::function<std::int64_t()> now; ///< milliseconds since 1970
    std::function<void(std::chrono::milliseconds)> sleep;
};

/// \brief Description and function of one subcommand.
struct Command {
    std::string_view name;
    std::string_view arguments; ///< names of the positional arguments, such as "SERVICE NAME"
    std::size_t argumentCount;
    bool needsPlatform;
    std::string_view flags; ///< accepted flags besides the general ones, separated by spaces
    std::string_view summary;
    std::string_view details;
    absl::Status (*run)(std::span<std::string const> arguments, CommandOptions const& options, CommandContext& context);
};

/// \brief All subcommands.
[[nodiscard]] std::span<Command const> commands();

/// \brief Returns the subcommand of this name, or null.
[[nodiscard]] Command const* findCommand(std::string_view name);

/// \brief Help text of the program, or of one subcommand.
[[nodiscard]] std::string helpText();
[[nodiscard]] std::string helpText(Command const& command);

/// \brief Parses "2026-12-04", "2026-12-04T05:09:58Z" or milliseconds since 1970; returns milliseconds since 1970.
[[nodiscard]] std::optional<std::int64_t> parseTime(std::string_view text);

/// \brief Prints rows in columns that are as wide as their longest value.
void printTable(std::ostream& output, std::vector<std::string> const& headers, std::vector<std::vector<std::string>> const& rows);

/// \name The subcommands
/// \{
using Arguments = std::span<std::string const>;
[[nodiscard]] absl::Status runValidate(Arguments arguments, CommandOptions const& options, CommandContext& context);
[[nodiscard]] absl::Status runDiff(Arguments arguments, CommandOptions const& options, CommandContext& context);
[[nodiscard]] absl::Status runApply(Arguments arguments, CommandOptions const& options, CommandContext& context);
[[nodiscard]] absl::Status runRollback(Arguments arguments, CommandOptions const& options, CommandContext& context);
[[nodiscard]] absl::Status runAudit(Arguments arguments, CommandOptions const& options, CommandContext& context);
[[nodiscard]] absl::Status runStatus(Arguments arguments, CommandOptions const& options, CommandContext& context);
[[nodiscard]] absl::Status runWait(Arguments arguments, CommandOptions const& options, CommandContext& context);
[[nodiscard]] absl::Status runDrain(Arguments arguments, CommandOptions const& options, CommandContext& context);
[[nodiscard]] absl::Status runUndrain(Arguments arguments, CommandOptions const& options, CommandContext& context);
[[nodiscard]] absl::Status runEvacuate(Arguments arguments, CommandOptions const& options, CommandContext& context);
[[nodiscard]] absl::Status runRestore(Arguments arguments, CommandOptions const& options, CommandContext& context);
[[nodiscard]] absl::Status runKeygen(Arguments arguments, CommandOptions const& options, CommandContext& context);
/// \}

} // namespace plantaindrift::cli
