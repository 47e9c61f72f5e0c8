#include "plantaindrift/base/Error.h"
#include "plantaindrift/runtime/Daemon.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "settings file (TOML)");
DEFINE_bool(check, false, "only check the settings and key files");

namespace plantaindrift {

namespace {

    absl::Status usageError(std::string_view program, std::string const& problem)
    {
        std::string const usage = "; usage: " + std::string(program) + " --settings=FILE [--check]";
        return makeError(ErrorKind::InvalidSettings, problem + usage);
    }

    // gflags exits with code 1 at an unknown flag; the documented exit code is 2.
    absl::Status setFlag(std::string_view program, std::string_view argument)
    {
        if (!argument.starts_with("--"))
            return usageError(program, "unexpected argument " + std::string(argument));
        std::size_t const equals = argument.find('=');
        std::string const name(argument.substr(2, equals == std::string_view::npos ? equals : equals - 2));
        if (name != "settings" && name != "check")
            return usageError(program, "unknown flag --" + name);
        if (equals == std::string_view::npos && name == "settings")
            return usageError(program, "flag --settings has no value");
        std::string const value = equals == std::string_view::npos ? "true" : std::string(argument.substr(equals + 1));
        if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
            return usageError(program, "flag --" + name + " has a value of the wrong type");
        return absl::OkStatus();
    }

    absl::Status setFlags(std::string_view program, std::span<char const* const> arguments)
    {
        for (char const* const argument : arguments) {
            absl::Status status = setFlag(program, argument);
            if (!status.ok())
                return status;
        }
        return FLAGS_settings.empty() ? usageError(program, "no settings file is named") : absl::OkStatus();
    }

} // namespace

int runDaemonProgram(std::string_view program, std::span<char const* const> arguments, DaemonFunction daemon)
{
    absl::Status status = setFlags(program, arguments);
    if (status.ok())
        status = daemon(FLAGS_settings, FLAGS_check);
    if (!status.ok())
        std::cerr << status.message() << '\n';
    return exitCode(status);
}

} // namespace plantaindrift
