#include "cli/Commands.h"

#include "configuration/FieldRules.h"
#include "configuration/JsonObject.h"
#include "plantaindrift/base/Error.h"
#include "plantaindrift/store/ChangeStore.h"
#include "plantaindrift/store/StatusObjects.h"

#include <algorithm>
#include <limits>

namespace plantaindrift::cli {

namespace {

    constexpr std::int64_t millisecondsPerSecond = 1000;

    struct Fleet {
        ChangeLog log;
        std::vector<Member> targets;
        std::vector<DrainRequest> drains;
        std::vector<EntryStatus> entries;
        std::vector<EvacuationRequest> evacuations;
    };

    absl::StatusOr<Fleet> readFleet(ObjectStore& store)
    {
        Fleet fleet;
        absl::Status status = ChangeStore(store).catchUp(fleet.log);
        if (!status.ok())
            return status;
        absl::StatusOr<std::vector<Member>> targets = listAnnouncements(store, "");
        if (!targets.ok())
            return targets.status();
        fleet.targets = *std::move(targets);
        absl::StatusOr<std::vector<DrainRequest>> drains = listDrainRequests(store);
        if (!drains.ok())
            return drains.status();
        fleet.drains = *std::move(drains);
        absl::StatusOr<std::vector<EntryStatus>> entries = listEntryStatus(store);
        if (!entries.ok())
            return entries.status();
        fleet.entries = *std::move(entries);
        absl::StatusOr<std::vector<EvacuationRequest>> evacuations = listEvacuationRequests(store);
        if (!evacuations.ok())
            return evacuations.status();
        fleet.evacuations = *std::move(evacuations);
        return fleet;
    }

    std::int64_t reportAge(EntryStatus const& entry, std::int64_t now)
    {
        return std::max<std::int64_t>(0, now - entry.timeMilliseconds);
    }

    // Milliseconds since the platform last confirmed its position to the entry.
    std::int64_t confirmationAge(EntryStatus const& entry, std::int64_t now)
    {
        return reportAge(entry, now) + static_cast<std::int64_t>(std::min<std::uint64_t>(entry.ageMilliseconds, std::numeric_limits<std::int32_t>::max()));
    }

    std::string_view entryState(EntryStatus const& entry, std::uint64_t position, CommandOptions const& options, std::int64_t now)
    {
        if (reportAge(entry, now) > options.staleAge.count())
            return "stale";
        return entry.position < position ? "behind" : "ok";
    }

    std::string requestedState(Fleet const& fleet, Member const& target)
    {
        bool const isRequested = std::any_of(fleet.drains.begin(), fleet.drains.end(), [&target](DrainRequest const& request) { return request.service == target.service && request.name == target.name; });
        return isRequested ? "drain" : "-";
    }

    nlohmann::json fleetToJson(Fleet const& fleet, CommandOptions const& options, std::int64_t now)
    {
        nlohmann::json value = nlohmann::json::object({ { "position", fleet.log.position() } });
        value["services"] = nlohmann::json::array();
        for (Service const& service : fleet.log.configuration().services)
            value["services"].push_back(nlohmann::json::object({ { "name", service.name }, { "addresses", service.addresses.size() }, { "slots", service.limits.slots }, { "connections", service.limits.connections } }));
        value["targets"] = nlohmann::json::array();
        for (Member const& target : fleet.targets)
            value["targets"].push_back(nlohmann::json::object({ { "service", target.service }, { "name", target.name }, { "data_centre", target.dataCentre }, { "state", memberStateName(target.state) }, { "requested", requestedState(fleet, target) } }));
        value["entries"] = nlohmann::json::array();
        for (EntryStatus const& entry : fleet.entries)
            value["entries"].push_back(nlohmann::json::object({ { "name", entry.name }, { "data_centre", entry.dataCentre }, { "position", entry.position }, { "age_ms", confirmationAge(entry, now) }, { "state", entryState(entry, fleet.log.position(), options, now) } }));
        value["evacuations"] = nlohmann::json::array();
        for (EvacuationRequest const& request : fleet.evacuations)
            value["evacuations"].push_back(nlohmann::json::object({ { "data_centre", request.dataCentre }, { "since_ms", request.timeMilliseconds }, { "author", request.author }, { "reason", request.reason } }));
        return value;
    }

    void printFleet(Fleet const& fleet, CommandOptions const& options, CommandContext& context)
    {
        std::int64_t const now = context.now();
        std::vector<std::vector<std::string>> services;
        for (Service const& service : fleet.log.configuration().services) {
            std::ptrdiff_t const targets = std::count_if(fleet.targets.begin(), fleet.targets.end(), [&service](Member const& target) { return target.service == service.name; });
            services.push_back({ service.name, std::to_string(service.addresses.size()), std::to_string(targets), std::to_string(service.limits.slots), std::to_string(service.limits.connections) });
        }
        std::vector<std::vector<std::string>> targets;
        targets.reserve(fleet.targets.size());
        for (Member const& target : fleet.targets)
            targets.push_back({ target.service, target.name, target.dataCentre, std::string(memberStateName(target.state)), requestedState(fleet, target) });
        std::vector<std::vector<std::string>> entries;
        entries.reserve(fleet.entries.size());
        for (EntryStatus const& entry : fleet.entries)
            entries.push_back({ entry.name, entry.dataCentre, std::to_string(entry.position), std::to_string(confirmationAge(entry, now) / millisecondsPerSecond) + " s", std::string(entryState(entry, fleet.log.position(), options, now)) });
        context.output << "position " << fleet.log.position() << "\n\n";
        printTable(context.output, { "service", "addresses", "targets", "slots", "connections" }, services);
        context.output << '\n';
        printTable(context.output, { "service", "target", "data_centre", "state", "requested" }, targets);
        context.output << '\n';
        printTable(context.output, { "entry", "data_centre", "position", "age", "state" }, entries);
        if (fleet.evacuations.empty())
            return;
        std::vector<std::vector<std::string>> evacuations;
        evacuations.reserve(fleet.evacuations.size());
        for (EvacuationRequest const& request : fleet.evacuations)
            evacuations.push_back({ request.dataCentre, formatTime(request.timeMilliseconds), request.author, request.reason });
        context.output << '\n';
        printTable(context.output, { "evacuated", "since", "author", "reason" }, evacuations);
    }

    struct Progress {
        std::size_t done { 0 };
        std::vector<std::string> behind;
        std::vector<std::string> stale;
    };

    Progress summarizeProgress(std::vector<EntryStatus> const& entries, std::uint64_t position, CommandOptions const& options, std::int64_t now)
    {
        Progress progress;
        for (EntryStatus const& entry : entries) {
            std::string_view const state = entryState(entry, position, options, now);
            if (state == "stale")
                progress.stale.push_back(entry.name);
            else if (state == "behind")
                progress.behind.push_back(entry.name);
            else
                ++progress.done;
        }
        return progress;
    }

    std::string joinNames(std::vector<std::string> const& names)
    {
        constexpr std::size_t maximumShown = 10;
        std::string text;
        for (std::size_t index = 0; index < names.size() && index < maximumShown; ++index)
            text += (index == 0 ? "" : ", ") + names[index];
        return names.size() > maximumShown ? text + " and " + std::to_string(names.size() - maximumShown) + " more" : text;
    }

    absl::Status printWaitResult(Progress const& progress, std::uint64_t position, CommandOptions const& options, CommandContext& context)
    {
        if (options.json)
            context.output << printJson({ { "position", position }, { "entries", progress.done }, { "stale", progress.stale } }) << '\n';
        else
            context.output << "position " << position << " is in force at " << progress.done << (progress.done == 1 ? " entry" : " entries") << (progress.stale.empty() ? "" : "; not waited for, as their reports are stale: " + joinNames(progress.stale)) << '\n';
        return absl::OkStatus();
    }

    absl::StatusOr<std::uint64_t> positionToWaitFor(CommandOptions const& options, ObjectStore& store)
    {
        ChangeLog log;
        absl::Status status = ChangeStore(store).catchUp(log);
        if (!status.ok())
            return status;
        if (options.position < 0)
            return log.position();
        std::uint64_t const position = static_cast<std::uint64_t>(options.position);
        if (position > log.position())
            return makeError(ErrorKind::NotFound, "position " + std::to_string(position) + " is not in the log, which ends at position " + std::to_string(log.position()) + "; name a position up to that one");
        return position;
    }

    absl::Status checkTarget(Arguments arguments)
    {
        if (!isName(arguments[0]))
            return makeError(ErrorKind::InvalidSettings, "SERVICE is not a name; " + std::string(nameRemedy));
        if (!isName(arguments[1]))
            return makeError(ErrorKind::InvalidSettings, "NAME is not a name; " + std::string(nameRemedy));
        return absl::OkStatus();
    }

    // A target that never announced itself is most likely a misspelt name.
    absl::Status checkAnnounced(ObjectStore& store, std::string const& service, std::string const& name)
    {
        absl::Status status = store.get(announcementKey(service, name)).status();
        if (!status.ok() && errorKind(status) == ErrorKind::NotFound)
            return makeError(ErrorKind::NotFound, "service " + service + " has no target " + name + "; run status to see the targets");
        return status;
    }

} // namespace

absl::Status runStatus(Arguments, CommandOptions const& options, CommandContext& context)
{
    absl::StatusOr<Fleet> const fleet = readFleet(*context.store);
    if (!fleet.ok())
        return fleet.status();
    if (options.json)
        context.output << printJson(fleetToJson(*fleet, options, context.now())) << '\n';
    else
        printFleet(*fleet, options, context);
    return absl::OkStatus();
}

absl::Status runWait(Arguments, CommandOptions const& options, CommandContext& context)
{
    absl::StatusOr<std::uint64_t> const position = positionToWaitFor(options, *context.store);
    if (!position.ok())
        return position.status();
    std::int64_t const end = context.now() + options.deadline.count();
    std::string printedLine;
    while (true) {
        absl::StatusOr<std::vector<EntryStatus>> const entries = listEntryStatus(*context.store);
        bool const isOutage = !entries.ok() && errorKind(entries.status()) == ErrorKind::PlatformUnreachable;
        if (!entries.ok() && !isOutage)
            return entries.status();
        std::string line = "the platform does not answer";
        if (entries.ok()) {
            Progress const progress = summarizeProgress(*entries, *position, options, context.now());
            if (progress.behind.empty() && progress.done > 0)
                return printWaitResult(progress, *position, options, context);
            line = progress.behind.empty() ? "no entry has reported yet" : std::to_string(progress.done) + " of " + std::to_string(progress.done + progress.behind.size()) + " entries; behind: " + joinNames(progress.behind);
        }
        if (line != printedLine)
            context.progress << "position " << *position << ": " << line << '\n';
        printedLine = line;
        if (context.now() >= end && isOutage)
            return entries.status();
        if (context.now() >= end)
            return makeError(ErrorKind::DeadlinePassed, "position " + std::to_string(*position) + " is not in force everywhere: " + line + "; run status, or wait again with a later --deadline_s");
        context.sleep(options.pollInterval);
    }
}

absl::Status runDrain(Arguments arguments, CommandOptions const& options, CommandContext& context)
{
    absl::Status status = checkTarget(arguments);
    if (!status.ok())
        return status;
    if (options.author.empty() || options.reason.empty())
        return makeError(ErrorKind::InvalidSettings, "--author or --reason is missing; say who drains the target and why");
    status = checkAnnounced(*context.store, arguments[0], arguments[1]);
    if (!status.ok())
        return status;
    absl::StatusOr<DrainRequest> const request = requestDrain(*context.store, { arguments[0], arguments[1], options.author, options.reason, context.now() });
    if (!request.ok())
        return request.status();
    if (options.json)
        context.output << encodeDrainRequest(*request) << '\n';
    else
        context.output << "drain of " << request->service << '/' << request->name << " requested by " << request->author << " at " << formatTime(request->timeMilliseconds) << ": " << request->reason << '\n';
    return absl::OkStatus();
}

absl::Status runUndrain(Arguments arguments, CommandOptions const& options, CommandContext& context)
{
    absl::Status status = checkTarget(arguments);
    if (!status.ok())
        return status;
    absl::StatusOr<bool> const existed = withdrawDrain(*context.store, arguments[0], arguments[1]);
    if (!existed.ok())
        return existed.status();
    if (options.json)
        context.output << printJson({ { "service", arguments[0] }, { "name", arguments[1] }, { "existed", *existed } }) << '\n';
    else
        context.output << (*existed ? "drain withdrawn: " : "no drain was requested: ") << arguments[0] << '/' << arguments[1] << '\n';
    return absl::OkStatus();
}

absl::Status runEvacuate(Arguments arguments, CommandOptions const& options, CommandContext& context)
{
    if (!isName(arguments[0]))
        return makeError(ErrorKind::InvalidSettings, "DATA_CENTRE is not a name; " + std::string(nameRemedy));
    if (options.author.empty() || options.reason.empty())
        return makeError(ErrorKind::InvalidSettings, "--author or --reason is missing; say who evacuates the data centre and why");
    absl::StatusOr<EvacuationRequest> const request = requestEvacuation(*context.store, { arguments[0], options.author, options.reason, context.now() });
    if (!request.ok())
        return request.status();
    if (options.json)
        context.output << encodeEvacuationRequest(*request) << '\n';
    else
        context.output << "evacuation of " << request->dataCentre << " requested by " << request->author << " at " << formatTime(request->timeMilliseconds) << ": " << request->reason << '\n';
    // Targets may announce themselves later, so an unknown name is no error.
    absl::StatusOr<std::vector<Member>> const targets = listAnnouncements(*context.store, "");
    bool const isKnown = targets.ok() && std::any_of(targets->begin(), targets->end(), [&arguments](Member const& target) { return target.dataCentre == arguments[0]; });
    if (targets.ok() && !isKnown)
        context.progress << "no target has announced itself in data centre " << arguments[0] << "; run status to check the name\n";
    return absl::OkStatus();
}

absl::Status runRestore(Arguments arguments, CommandOptions const& options, CommandContext& context)
{
    if (!isName(arguments[0]))
        return makeError(ErrorKind::InvalidSettings, "DATA_CENTRE is not a name; " + std::string(nameRemedy));
    absl::StatusOr<bool> const existed = withdrawEvacuation(*context.store, arguments[0]);
    if (!existed.ok())
        return existed.status();
    if (options.json)
        context.output << printJson({ { "data_centre", arguments[0] }, { "existed", *existed } }) << '\n';
    else
        context.output << (*existed ? "evacuation withdrawn: " : "the data centre was not evacuated: ") << arguments[0] << '\n';
    return absl::OkStatus();
}

} // namespace plantaindrift::cli
