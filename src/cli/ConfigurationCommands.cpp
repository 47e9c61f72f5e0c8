#include "cli/Commands.h"

#include "configuration/FieldRules.h"
#include "configuration/ServiceJson.h"
#include "plantaindrift/base/Error.h"
#include "plantaindrift/configuration/Parser.h"
#include "plantaindrift/store/ChangeStore.h"

#include <algorithm>
#include <array>
#include <limits>
#include <sodium.h>

namespace plantaindrift::cli {

namespace {

    nlohmann::json changesToJson(std::vector<ServiceChange> const& changes)
    {
        nlohmann::json list = nlohmann::json::array();
        for (ServiceChange const& change : changes) {
            nlohmann::json value = nlohmann::json::object({ { "name", change.name } });
            if (change.before)
                value["before"] = serviceToJson(*change.before);
            if (change.after)
                value["after"] = serviceToJson(*change.after);
            list.push_back(std::move(value));
        }
        return list;
    }

    // Prints lines such as "~ rota-desk slots: 7 -> 8".
    void printChange(std::ostream& output, ServiceChange const& change)
    {
        if (!change.before || !change.after) {
            output << (change.after ? "+ " : "- ") << change.name << '\n';
            return;
        }
        nlohmann::json const before = serviceToJson(*change.before);
        nlohmann::json const after = serviceToJson(*change.after);
        for (nlohmann::json::const_iterator field = after.begin(); field != after.end(); ++field) {
            if (before[field.key()] != *field)
                output << "~ " << change.name << ' ' << field.key() << ": " << before[field.key()].dump() << " -> " << field->dump() << '\n';
        }
    }

    void printChanges(CommandContext& context, CommandOptions const& options, std::uint64_t position, std::vector<ServiceChange> const& changes)
    {
        if (options.json) {
            context.output << printJson({ { "position", position }, { "changes", changesToJson(changes) } }) << '\n';
            return;
        }
        for (ServiceChange const& change : changes)
            printChange(context.output, change);
        context.output << "position " << position << ", " << changes.size() << (changes.size() == 1 ? " service differs\n" : " services differ\n");
    }

    std::string newOperationId()
    {
        constexpr std::size_t idBytes = 16;
        std::array<unsigned char, idBytes> bytes {};
        std::array<char, (idBytes * 2) + 1> text {};
        randombytes_buf(bytes.data(), bytes.size());
        sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
        return { text.data() };
    }

    absl::Status checkWriteOptions(CommandOptions const& options)
    {
        if (options.expectedPosition < 0)
            return makeError(ErrorKind::InvalidSettings, "--expected_position is missing; run diff and use the position that it prints");
        if (options.author.empty() || options.author.size() > longestAuthor || !isPrintableText(options.author))
            return makeError(ErrorKind::InvalidSettings, "--author is missing or not valid; name the person who changes the configuration");
        if (options.reason.empty() || options.reason.size() > longestReason || !isPrintableText(options.reason))
            return makeError(ErrorKind::InvalidSettings, "--reason is missing or not valid; say in one line why the change is made");
        if (!options.operationId.empty() && !isName(options.operationId))
            return makeError(ErrorKind::InvalidSettings, "--operation_id is not valid; " + std::string(nameRemedy));
        return absl::OkStatus();
    }

    absl::Status printResult(CommandContext& context, CommandOptions const& options, std::uint64_t position, std::string const& operationId, std::string_view result)
    {
        if (options.json)
            context.output << printJson({ { "position", position }, { "operation_id", operationId }, { "result", result } }) << '\n';
        else
            context.output << result << ": position " << position << (operationId.empty() ? "" : ", operation ") << operationId << '\n';
        return absl::OkStatus();
    }

    // The configuration at the expected position; the newest one needs no replay.
    absl::StatusOr<Configuration> expectedConfiguration(ChangeStore& changes, ChangeLog const& log, std::uint64_t expected)
    {
        if (expected == log.position())
            return log.configuration();
        return changes.configurationAt(expected);
    }

    void writeSnapshot(ChangeStore& changes, ChangeLog& log, CommandContext& context)
    {
        absl::Status status = changes.catchUp(log);
        if (status.ok())
            status = changes.writeSnapshotIfDue(log).status();
        // The change is in force; a missing snapshot only slows down process starts until the next apply.
        if (!status.ok())
            context.progress << "warning: no snapshot was written: " << status.message() << '\n';
    }

    absl::Status appendDifference(ChangeStore& changes, ChangeLog& log, Configuration const& wanted, CommandOptions const& options, CommandContext& context)
    {
        std::uint64_t const expected = static_cast<std::uint64_t>(options.expectedPosition);
        absl::StatusOr<Configuration> const before = expectedConfiguration(changes, log, expected);
        if (!before.ok())
            return before.status();
        AppendRequest request;
        request.expectedPosition = expected;
        request.operationId = options.operationId.empty() ? newOperationId() : options.operationId;
        request.author = options.author;
        request.reason = options.reason;
        request.timeMilliseconds = context.now();
        request.services = diffConfigurations(*before, wanted);
        if (request.services.empty() && expected == log.position())
            return printResult(context, options, expected, "", "unchanged");
        if (request.services.empty())
            return makeError(ErrorKind::LostRace, "the file equals position " + std::to_string(expected) + ", but the log is at position " + std::to_string(log.position()) + "; run diff again");
        context.progress << "operation " << request.operationId << ": if this command is interrupted, repeat it with --operation_id=" << request.operationId << '\n';
        absl::StatusOr<AppendResult> const result = changes.append(request);
        if (!result.ok())
            return result.status();
        writeSnapshot(changes, log, context);
        return printResult(context, options, result->position, request.operationId, result->repeated ? "already applied" : "applied");
    }

    struct AuditFilter {
        std::string service;
        std::string author;
        std::int64_t since { 0 };
        std::int64_t until { 0 };
    };

    absl::StatusOr<AuditFilter> auditFilter(CommandOptions const& options)
    {
        constexpr std::string_view remedy = " is not a time; use a date, 2026-12-04T05:09:58Z or milliseconds since 1970";
        std::optional<std::int64_t> const since = options.since.empty() ? std::optional<std::int64_t>(0) : parseTime(options.since);
        std::optional<std::int64_t> const until = options.until.empty() ? std::optional<std::int64_t>(std::numeric_limits<std::int64_t>::max()) : parseTime(options.until);
        if (!since)
            return makeError(ErrorKind::InvalidSettings, "--since" + std::string(remedy));
        if (!until)
            return makeError(ErrorKind::InvalidSettings, "--until" + std::string(remedy));
        return AuditFilter { options.service, options.author, *since, *until };
    }

    bool matches(AuditFilter const& filter, ConfigurationChange const& change)
    {
        bool const isInTime = change.timeMilliseconds >= filter.since && change.timeMilliseconds <= filter.until;
        bool const isByAuthor = filter.author.empty() || change.author == filter.author;
        bool const isOfService = filter.service.empty() || std::any_of(change.services.begin(), change.services.end(), [&filter](ServiceChange const& service) { return service.name == filter.service; });
        return isInTime && isByAuthor && isOfService;
    }

    std::string serviceNames(ConfigurationChange const& change)
    {
        std::string names;
        for (ServiceChange const& service : change.services)
            names += (names.empty() ? "" : ",") + std::string(service.before ? (service.after ? "~" : "-") : "+") + service.name;
        return names;
    }

    void printAudit(std::vector<ConfigurationChange> const& found, CommandOptions const& options, CommandContext& context)
    {
        if (options.json) {
            nlohmann::json list = nlohmann::json::array();
            for (ConfigurationChange const& change : found)
                list.push_back(nlohmann::json::parse(encodeChange(change)));
            context.output << printJson(nlohmann::json::object({ { "changes", std::move(list) } })) << '\n';
            return;
        }
        std::vector<std::vector<std::string>> rows;
        rows.reserve(found.size());
        for (ConfigurationChange const& change : found)
            rows.push_back({ std::to_string(change.position), formatTime(change.timeMilliseconds), change.author, change.operationId, serviceNames(change), change.reason });
        printTable(context.output, { "position", "time", "author", "operation", "services", "reason" }, rows);
    }

} // namespace

absl::Status runValidate(Arguments arguments, CommandOptions const& options, CommandContext& context)
{
    absl::StatusOr<Configuration> const configuration = readConfigurationFile(arguments[0]);
    if (!configuration.ok())
        return configuration.status();
    if (options.json)
        context.output << printJson({ { "valid", true }, { "services", configuration->services.size() } }) << '\n';
    else
        context.output << arguments[0] << ": valid, " << configuration->services.size() << (configuration->services.size() == 1 ? " service\n" : " services\n");
    return absl::OkStatus();
}

absl::Status runDiff(Arguments arguments, CommandOptions const& options, CommandContext& context)
{
    absl::StatusOr<Configuration> const wanted = readConfigurationFile(arguments[0]);
    if (!wanted.ok())
        return wanted.status();
    ChangeLog log;
    absl::Status status = ChangeStore(*context.store).catchUp(log);
    if (!status.ok())
        return status;
    printChanges(context, options, log.position(), diffConfigurations(log.configuration(), *wanted));
    return absl::OkStatus();
}

absl::Status runApply(Arguments arguments, CommandOptions const& options, CommandContext& context)
{
    absl::StatusOr<Configuration> const wanted = readConfigurationFile(arguments[0]);
    if (!wanted.ok())
        return wanted.status();
    absl::Status status = checkWriteOptions(options);
    if (!status.ok())
        return status;
    ChangeStore changes(*context.store);
    ChangeLog log;
    status = changes.catchUp(log);
    if (!status.ok())
        return status;
    return appendDifference(changes, log, *wanted, options, context);
}

absl::Status runRollback(Arguments, CommandOptions const& options, CommandContext& context)
{
    if (options.position < 0)
        return makeError(ErrorKind::InvalidSettings, "--position is missing; name the position to restore, from audit");
    absl::Status status = checkWriteOptions(options);
    if (!status.ok())
        return status;
    ChangeStore changes(*context.store);
    ChangeLog log;
    status = changes.catchUp(log);
    if (!status.ok())
        return status;
    absl::StatusOr<Configuration> const wanted = changes.configurationAt(static_cast<std::uint64_t>(options.position));
    if (!wanted.ok())
        return wanted.status();
    return appendDifference(changes, log, *wanted, options, context);
}

absl::Status runAudit(Arguments, CommandOptions const& options, CommandContext& context)
{
    absl::StatusOr<AuditFilter> const filter = auditFilter(options);
    if (!filter.ok())
        return filter.status();
    ChangeStore changes(*context.store);
    std::vector<ConfigurationChange> found;
    std::uint64_t position = 0;
    while (true) {
        absl::StatusOr<std::vector<ConfigurationChange>> const page = changes.readPage(position);
        if (!page.ok())
            return page.status();
        if (page->empty())
            break;
        std::copy_if(page->begin(), page->end(), std::back_inserter(found), [&filter](ConfigurationChange const& change) { return matches(*filter, change); });
        position = page->back().position;
    }
    printAudit(found, options, context);
    return absl::OkStatus();
}

} // namespace plantaindrift::cli
