#include "cli/Commands.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>
#include <iomanip>

namespace plantaindrift::cli {

namespace {

    constexpr std::string_view generalFlags = "--platform --platform_ca --timeout_ms --output";

    constexpr std::array<Command, 12> commandTable { {
        { "validate", "FILE", 1, false, "", "check a configuration file",
            "Lists every problem with file, line, column, key and remedy. Reads only the file.", runValidate },
        { "diff", "FILE", 1, true, "", "show what applying a file would change",
            "Compares the file with the newest configuration and prints its position, which apply expects.", runDiff },
        { "apply", "FILE", 1, true, "expected_position author reason operation_id", "apply a configuration file",
            "Appends one change after --expected_position, the position that diff printed. If another operator's change was\n"
            "accepted first, the command names the operator and exits with 3. Repeating the same command with the same --operation_id is safe.",
            runApply },
        { "rollback", "", 0, true, "position expected_position author reason operation_id", "restore the configuration of an earlier position",
            "Appends a new change that restores the services as they were at --position.", runRollback },
        { "status", "", 0, true, "stale_s", "list services, targets, entries and evacuated data centres",
            "Entries that are behind the newest position are marked. An entry whose last report is older than --stale_s is stale.", runStatus },
        { "wait", "", 0, true, "position deadline_s poll_ms stale_s", "wait until a position is in force at all entries",
            "Without --position, waits for the newest one. Exits with 4 when --deadline_s passes. Entries whose last report is older\n"
            "than --stale_s are not waited for and are named.",
            runWait },
        { "drain", "SERVICE NAME", 2, true, "author reason", "stop new flows to a target and let its open flows end",
            "Records a request that the target's agent follows. Safe to repeat.", runDrain },
        { "undrain", "SERVICE NAME", 2, true, "", "withdraw a drain request",
            "Safe to repeat.", runUndrain },
        { "evacuate", "DATA_CENTRE", 1, true, "author reason", "send no new flows to the targets of a data centre",
            "Records a request; open flows stay. Safe to repeat.", runEvacuate },
        { "restore", "DATA_CENTRE", 1, true, "", "withdraw the evacuation of a data centre",
            "Safe to repeat.", runRestore },
        { "audit", "", 0, true, "service author since until", "list the accepted changes",
            "Filters by --service, --author, --since and --until; times are dates, 2026-12-04T05:09:58Z or milliseconds since 1970.", runAudit },
        { "keygen", "", 0, false, "directory epoch", "generate the keys of a deployment",
            "Prints a new [[key]] table, or writes it to keys.toml in --directory with mode 0600. An existing file is never\n"
            "overwritten. For a rotation, append the table of a new --epoch to the file in use.",
            runKeygen },
    } };

    std::string flagList(std::string_view flags)
    {
        std::string list;
        while (!flags.empty()) {
            std::size_t const space = std::min(flags.find(' '), flags.size());
            list += " --" + std::string(flags.substr(0, space));
            flags.remove_prefix(std::min(space + 1, flags.size()));
        }
        return list;
    }

    std::optional<std::int64_t> parseTimeFormat(std::string_view text, char const* format)
    {
        constexpr std::int64_t millisecondsPerSecond = 1000;
        std::string const copy(text);
        std::tm parts {};
        char const* const end = strptime(copy.c_str(), format, &parts);
        if (end == nullptr || *end != '\0')
            return std::nullopt;
        return static_cast<std::int64_t>(timegm(&parts)) * millisecondsPerSecond;
    }

} // namespace

std::span<Command const> commands()
{
    return commandTable;
}

Command const* findCommand(std::string_view name)
{
    for (Command const& command : commandTable) {
        if (command.name == name)
            return &command;
    }
    return nullptr;
}

std::string helpText()
{
    std::string text = "usage: plantaindrift COMMAND [ARGUMENTS] [--FLAG=VALUE ...]\n\n";
    for (Command const& command : commandTable) {
        constexpr std::size_t width = 10;
        std::string name(command.name);
        name.resize(width, ' ');
        text += "  " + name + std::string(command.summary) + '\n';
    }
    text += "\nplantaindrift help COMMAND describes one command.\n";
    text += "exit codes: 0 ok, 1 failed, 2 usage or bad settings, 3 lost race, 4 deadline passed, 5 platform unreachable\n";
    return text;
}

std::string helpText(Command const& command)
{
    std::string text = "usage: plantaindrift " + std::string(command.name);
    text += (command.arguments.empty() ? "" : " ") + std::string(command.arguments) + flagList(command.flags) + "\n\n";
    text += std::string(command.summary) + "\n\n" + std::string(command.details) + "\n\n";
    text += command.needsPlatform ? "general flags: " + std::string(generalFlags) + '\n' : std::string("general flags: --output\n");
    return text;
}

std::optional<std::int64_t> parseTime(std::string_view text)
{
    std::int64_t milliseconds = 0;
    std::from_chars_result const result = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (result.ec == std::errc() && result.ptr == text.data() + text.size())
        return milliseconds;
    std::optional<std::int64_t> const time = parseTimeFormat(text, "%Y-%m-%dT%H:%M:%SZ");
    return time ? time : parseTimeFormat(text, "%Y-%m-%d");
}

void printTable(std::ostream& output, std::vector<std::string> const& headers, std::vector<std::vector<std::string>> const& rows)
{
    std::vector<std::size_t> widths;
    widths.reserve(headers.size());
    for (std::string const& header : headers)
        widths.push_back(header.size());
    for (std::vector<std::string> const& row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    constexpr int gap = 2;
    std::vector<std::vector<std::string>> lines { headers };
    lines.insert(lines.end(), rows.begin(), rows.end());
    for (std::vector<std::string> const& line : lines) {
        for (std::size_t column = 0; column + 1 < line.size(); ++column)
            output << std::left << std::setw(static_cast<int>(widths[column]) + gap) << line[column];
        output << line.back() << '\n';
    }
}

} // namespace plantaindrift::cli
