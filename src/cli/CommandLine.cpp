#include "plantaindrift/cli/CommandLine.h"

#include "cli/Commands.h"
#include "configuration/JsonObject.h"
#include "plantaindrift/base/Error.h"
#include "plantaindrift/store/HttpObjectStore.h"

#include <algorithm>
#include <gflags/gflags.h>
#include <iostream>
#include <random>
#include <sodium.h>
#include <thread>

DEFINE_string(platform, "http://127.0.0.1:8080", "platform url, http://A.B.C.D:PORT or https://A.B.C.D:PORT");
DEFINE_string(platform_ca, "", "PEM file of the platform's certificate authority");
DEFINE_uint32(timeout_ms, 2000, "timeout of one request to the platform");
DEFINE_string(output, "table", "table or json");
DEFINE_int64(expected_position, -1, "newest position when the change was prepared, as printed by diff");
DEFINE_int64(position, -1, "position to wait for or to restore");
DEFINE_string(author, "", "who makes the change; also a filter of audit");
DEFINE_string(reason, "", "why the change is made");
DEFINE_string(operation_id, "", "identifier of the operation; the same for every retry");
DEFINE_string(service, "", "only changes of this service");
DEFINE_string(since, "", "only changes from this time on");
DEFINE_string(until, "", "only changes up to this time");
DEFINE_string(directory, "", "existing directory for the key file");
DEFINE_uint32(epoch, 1, "number of the new key, 0 to 255; keys in use together need different numbers");
DEFINE_uint32(deadline_s, 30, "maximum wait for all entries");
DEFINE_uint32(poll_ms, 1000, "interval between reads of the entries' reports");
DEFINE_uint32(stale_s, 180, "age from which an entry's report is stale");

namespace plantaindrift::cli {

namespace {

    constexpr int usageExit = 2;
    constexpr std::string_view commonFlags = " output help ";
    constexpr std::string_view platformFlags = " platform platform_ca timeout_ms ";

    bool containsFlag(std::string_view list, std::string_view flag)
    {
        std::string const padded = ' ' + std::string(list) + ' ';
        return padded.find(' ' + std::string(flag) + ' ') != std::string::npos;
    }

    // Name of a flag as written, such as "author" of "--author=ana".
    std::string_view flagName(std::string_view argument)
    {
        argument.remove_prefix(std::min(argument.find_first_not_of('-'), argument.size()));
        return argument.substr(0, argument.find('='));
    }

    absl::Status usageError(std::string const& message)
    {
        return makeError(ErrorKind::InvalidSettings, message);
    }

    // Rejects unknown flags before gflags sees them, which would exit with code 1.
    absl::Status checkFlags(std::span<std::string const> arguments, Command const& command)
    {
        for (std::string const& argument : arguments) {
            if (!argument.starts_with('-') || argument == "-")
                continue;
            std::string_view const name = flagName(argument);
            bool const isAccepted = containsFlag(commonFlags, name) || containsFlag(command.flags, name) || (command.needsPlatform && containsFlag(platformFlags, name));
            if (!isAccepted)
                return usageError("flag --" + std::string(name) + " is not one of " + std::string(command.name) + "; see plantaindrift help " + std::string(command.name));
            if (name != "help" && argument.find('=') == std::string::npos)
                return usageError("flag --" + std::string(name) + " has no value; write --" + std::string(name) + "=VALUE");
        }
        return absl::OkStatus();
    }

    // Sets one flag through gflags, which checks the type of its value.
    absl::Status setFlag(std::string const& argument)
    {
        std::string const name(flagName(argument));
        std::string const value = argument.substr(argument.find('=') + 1);
        if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
            return usageError("flag --" + name + " has a value of the wrong type; see plantaindrift help");
        return absl::OkStatus();
    }

    CommandOptions readOptions()
    {
        CommandOptions options;
        options.json = FLAGS_output == "json";
        options.expectedPosition = FLAGS_expected_position;
        options.position = FLAGS_position;
        options.author = FLAGS_author;
        options.reason = FLAGS_reason;
        options.operationId = FLAGS_operation_id;
        options.service = FLAGS_service;
        options.since = FLAGS_since;
        options.until = FLAGS_until;
        options.directory = FLAGS_directory;
        options.epoch = FLAGS_epoch;
        options.deadline = std::chrono::seconds(FLAGS_deadline_s);
        options.pollInterval = std::chrono::milliseconds(FLAGS_poll_ms);
        options.staleAge = std::chrono::seconds(FLAGS_stale_s);
        return options;
    }

    std::unique_ptr<ObjectStore> makeStore()
    {
        HttpObjectStoreOptions options;
        options.url = FLAGS_platform;
        options.certificateAuthorityFile = FLAGS_platform_ca;
        options.timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
        options.randomSeed = std::random_device {}();
        return makeHttpObjectStore(options);
    }

    std::int64_t wallClockMilliseconds()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    int reportStatus(absl::Status const& status)
    {
        if (status.ok())
            return 0;
        std::string const message(status.message());
        std::string const kind(errorKindName(errorKind(status)));
        if (FLAGS_output == "json")
            std::cerr << printJson(nlohmann::json::object({ { "error", kind }, { "message", message } })) << '\n';
        else
            std::cerr << "error (" << kind << "): " << message << '\n';
        return exitCode(status);
    }

    absl::Status parseArguments(std::span<std::string const> arguments, Command const& command, std::vector<std::string>& positional)
    {
        absl::Status status = checkFlags(arguments, command);
        for (std::string const& argument : arguments) {
            bool const isFlag = argument.starts_with('-') && argument != "-";
            if (!isFlag)
                positional.push_back(argument);
            else if (status.ok())
                status = setFlag(argument);
        }
        if (status.ok() && FLAGS_output != "table" && FLAGS_output != "json")
            return usageError("--output is " + FLAGS_output + "; use table or json");
        if (status.ok() && positional.size() != command.argumentCount)
            return usageError(std::string(command.name) + " takes " + (command.arguments.empty() ? "no arguments" : std::string(command.arguments)) + "; see plantaindrift help " + std::string(command.name));
        return status;
    }

    int runCommand(Command const& command, std::span<std::string const> arguments)
    {
        std::vector<std::string> positional;
        absl::Status const status = parseArguments(arguments, command, positional);
        if (!status.ok())
            return reportStatus(status);
        std::unique_ptr<ObjectStore> const store = command.needsPlatform ? makeStore() : nullptr;
        CommandContext context { store.get(), std::cout, std::cerr, wallClockMilliseconds, [](std::chrono::milliseconds time) { std::this_thread::sleep_for(time); } };
        return reportStatus(command.run(positional, readOptions(), context));
    }

} // namespace

int runCommandLine(int argc, char** argv)
{
    std::vector<std::string> const arguments(argv + std::min(argc, 1), argv + argc);
    if (arguments.empty() || arguments[0] == "help" || arguments[0] == "--help" || arguments[0] == "-h") {
        Command const* const described = arguments.size() > 1 ? findCommand(arguments[1]) : nullptr;
        bool const isUnknown = arguments.size() > 1 && described == nullptr;
        (arguments.empty() || isUnknown ? std::cerr : std::cout) << (described == nullptr ? helpText() : helpText(*described));
        return arguments.empty() || isUnknown ? usageExit : 0;
    }
    Command const* const command = findCommand(arguments[0]);
    if (command == nullptr)
        return reportStatus(usageError("\"" + arguments[0] + "\" is not a command; see plantaindrift help"));
    std::span<std::string const> const rest = std::span<std::string const>(arguments).subspan(1);
    if (std::find(rest.begin(), rest.end(), "--help") != rest.end()) {
        std::cout << helpText(*command);
        return 0;
    }
    if (sodium_init() < 0)
        return reportStatus(makeError(ErrorKind::Internal, "libsodium cannot generate random numbers; check /dev/urandom"));
    return runCommand(*command, rest);
}

} // namespace plantaindrift::cli
