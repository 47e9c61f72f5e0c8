#include "plantaindrift/configuration/ChangeLog.h"

#include "configuration/ServiceJson.h"
#include "plantaindrift/base/Error.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace plantaindrift {

namespace {

    constexpr std::uint64_t recordFormat = 1;
    constexpr int positionDigits = 12;
    constexpr NumberRange positionRange { 1, 999'999'999'999 };
    constexpr NumberRange timeRange { 0, std::numeric_limits<std::int64_t>::max() };

    void applyServiceChange(std::vector<Service>& services, ServiceChange const& change)
    {
        std::vector<Service>::iterator const place = std::lower_bound(services.begin(), services.end(), change.name, [](Service const& service, std::string const& name) { return service.name < name; });
        bool const exists = place != services.end() && place->name == change.name;
        if (!change.after) {
            if (exists)
                services.erase(place);
            return;
        }
        if (exists)
            *place = *change.after;
        else
            services.insert(place, *change.after);
    }

    std::map<std::string_view, Service const*> servicesByName(Configuration const& configuration)
    {
        std::map<std::string_view, Service const*> services;
        for (Service const& service : configuration.services)
            services.emplace(service.name, &service);
        return services;
    }

    std::optional<Service> findService(std::map<std::string_view, Service const*> const& services, std::string_view name)
    {
        std::map<std::string_view, Service const*>::const_iterator const found = services.find(name);
        return found == services.end() ? std::nullopt : std::optional<Service>(*found->second);
    }

    nlohmann::json serviceChangeToJson(ServiceChange const& change)
    {
        nlohmann::json value { { "name", change.name } };
        if (change.before)
            value["before"] = serviceToJson(*change.before);
        if (change.after)
            value["after"] = serviceToJson(*change.after);
        return value;
    }

    std::optional<Service> stateFromJson(JsonObject& object, std::string_view key, std::string const& name, absl::Status& error)
    {
        nlohmann::json const* const value = object.takeOptional(key);
        if (value == nullptr)
            return std::nullopt;
        Service service = serviceFromJson(*value, object.pathOf(key), error);
        if (service.name != name)
            object.fail(std::string(key) + ".name", "differs from the change's name", "use one name for a service and its change");
        return service;
    }

    ServiceChange serviceChangeFromJson(nlohmann::json const& value, std::string const& path, absl::Status& error)
    {
        JsonObject object(value, path, error);
        ServiceChange change;
        change.name = object.takeName("name");
        change.before = stateFromJson(object, "before", change.name, error);
        change.after = stateFromJson(object, "after", change.name, error);
        if (!change.before && !change.after)
            object.fail("after", "and before are both missing", "give at least one state of the service");
        object.finish();
        return change;
    }

    std::vector<ServiceChange> serviceChangesFromJson(JsonObject& object, absl::Status& error)
    {
        std::vector<ServiceChange> changes;
        std::set<std::string> names;
        std::vector<nlohmann::json> const& list = object.takeArray("services", mostServices);
        for (std::size_t index = 0; index < list.size() && error.ok(); ++index) {
            std::string const element = "services[" + std::to_string(index) + ']';
            changes.push_back(serviceChangeFromJson(list[index], element, error));
            if (!names.insert(changes.back().name).second)
                object.fail(element + ".name", "names a service twice", "merge the two changes");
        }
        return changes;
    }

} // namespace

absl::StatusOr<bool> ChangeLog::apply(ConfigurationChange const& change)
{
    if (change.position == 0)
        return makeError(ErrorKind::InvalidMessage, "field position is 0; the first position is 1");
    if (change.position <= position_)
        return false;
    if (change.position != position_ + 1)
        return makeError(ErrorKind::Refused, "position " + std::to_string(change.position) + " does not follow position " + std::to_string(position_) + "; fetch position " + std::to_string(position_ + 1) + " first");
    for (ServiceChange const& service : change.services)
        applyServiceChange(configuration_.services, service);
    position_ = change.position;
    recent_.push_back(change);
    if (recent_.size() > keptChanges)
        recent_.pop_front();
    return true;
}

bool ChangeLog::applySnapshot(std::uint64_t position, Configuration const& configuration)
{
    if (position <= position_)
        return false;
    position_ = position;
    configuration_ = configuration;
    std::sort(configuration_.services.begin(), configuration_.services.end(), [](Service const& left, Service const& right) { return left.name < right.name; });
    // The changes up to the snapshot are not known here, so peers that need them are served by others.
    recent_.clear();
    return true;
}

std::vector<ConfigurationChange> ChangeLog::changesAfter(std::uint64_t position) const
{
    if (position >= position_ || recent_.empty() || recent_.front().position > position + 1)
        return {};
    std::size_t const skipped = static_cast<std::size_t>(position + 1 - recent_.front().position);
    return { recent_.begin() + static_cast<std::ptrdiff_t>(skipped), recent_.end() };
}

std::vector<ServiceChange> diffConfigurations(Configuration const& before, Configuration const& after)
{
    std::map<std::string_view, Service const*> const oldServices = servicesByName(before);
    std::map<std::string_view, Service const*> const newServices = servicesByName(after);
    std::set<std::string_view> names;
    for (std::pair<std::string_view const, Service const*> const& service : oldServices)
        names.insert(service.first);
    for (std::pair<std::string_view const, Service const*> const& service : newServices)
        names.insert(service.first);
    std::vector<ServiceChange> changes;
    for (std::string_view const name : names) {
        ServiceChange change { std::string(name), findService(oldServices, name), findService(newServices, name) };
        if (change.before != change.after)
            changes.push_back(std::move(change));
    }
    return changes;
}

std::string encodeChange(ConfigurationChange const& change)
{
    nlohmann::json services = nlohmann::json::array();
    for (ServiceChange const& service : change.services)
        services.push_back(serviceChangeToJson(service));
    return printJson({
        { "format", recordFormat },
        { "position", change.position },
        { "operation_id", change.operationId },
        { "author", change.author },
        { "reason", change.reason },
        { "time_ms", change.timeMilliseconds },
        { "services", std::move(services) },
    });
}

absl::StatusOr<ConfigurationChange> decodeChange(std::string_view text)
{
    absl::StatusOr<nlohmann::json> const value = parseJson(text);
    if (!value.ok())
        return value.status();
    absl::Status error;
    JsonObject object(*value, {}, error);
    ConfigurationChange change;
    (void)object.takeNumber("format", { recordFormat, recordFormat });
    change.position = object.takeNumber("position", positionRange);
    change.operationId = object.takeText("operation_id", longestOperationId);
    change.author = object.takeText("author", longestAuthor);
    change.reason = object.takeText("reason", longestReason);
    change.timeMilliseconds = static_cast<std::int64_t>(object.takeNumber("time_ms", timeRange));
    change.services = serviceChangesFromJson(object, error);
    object.finish();
    if (!error.ok())
        return error;
    return change;
}

std::string changeKey(std::uint64_t position)
{
    std::string const digits = std::to_string(position);
    std::size_t const padding = digits.size() < positionDigits ? positionDigits - digits.size() : 0;
    return "log/" + std::string(padding, '0') + digits;
}

} // namespace plantaindrift
