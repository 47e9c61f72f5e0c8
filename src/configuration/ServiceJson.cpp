#include "configuration/ServiceJson.h"

#include <algorithm>
#include <tuple>

namespace plantaindrift {

namespace {

    constexpr std::string_view addressRemedy = R"(use {"endpoint": "A.B.C.D:PORT", "protocol": "tcp" or "udp"})";

    ServiceAddress addressFromJson(nlohmann::json const& value, std::string const& path, absl::Status& error)
    {
        JsonObject object(value, path, error);
        ServiceAddress address;
        constexpr std::size_t longestEndpoint = 21;
        std::optional<Endpoint> const endpoint = parseEndpoint(object.takeText("endpoint", longestEndpoint));
        std::optional<Protocol> const protocol = parseProtocol(object.takeName("protocol"));
        if (!endpoint || !endpoint->isSet())
            object.fail("endpoint", "is not an address and port", addressRemedy);
        if (!protocol)
            object.fail("protocol", "is unknown", addressRemedy);
        object.finish();
        address.endpoint = endpoint.value_or(Endpoint {});
        address.protocol = protocol.value_or(Protocol::Tcp);
        return address;
    }

    std::vector<ServiceAddress> addressesFromJson(JsonObject& object, absl::Status& error)
    {
        std::vector<ServiceAddress> addresses;
        std::vector<nlohmann::json> const& list = object.takeArray("addresses", mostAddresses);
        if (list.empty())
            object.fail("addresses", "is empty", "name at least one address");
        for (std::size_t index = 0; index < list.size(); ++index)
            addresses.push_back(addressFromJson(list[index], object.pathOf("addresses") + '[' + std::to_string(index) + ']', error));
        sortAddresses(addresses);
        if (std::adjacent_find(addresses.begin(), addresses.end()) != addresses.end())
            object.fail("addresses", "names an address twice", "remove one of the two");
        return addresses;
    }

    std::vector<std::string> textsFromJson(JsonObject& object, std::string_view key, std::size_t most, bool (*isValid)(std::string_view) noexcept, std::string_view remedy)
    {
        std::vector<std::string> texts;
        std::vector<nlohmann::json> const& list = object.takeArray(key, most);
        for (std::size_t index = 0; index < list.size(); ++index) {
            bool const valid = list[index].is_string() && isValid(list[index].get_ref<std::string const&>());
            if (valid)
                texts.push_back(list[index].get<std::string>());
            else
                object.fail(std::string(key) + '[' + std::to_string(index) + ']', "is not valid", remedy);
        }
        std::sort(texts.begin(), texts.end());
        if (std::adjacent_find(texts.begin(), texts.end()) != texts.end())
            object.fail(key, "has an element twice", "remove one of the two");
        return texts;
    }

} // namespace

void sortAddresses(std::vector<ServiceAddress>& addresses)
{
    std::sort(addresses.begin(), addresses.end(), [](ServiceAddress const& left, ServiceAddress const& right) {
        return std::tie(left.endpoint.address, left.endpoint.port, left.protocol) < std::tie(right.endpoint.address, right.endpoint.port, right.protocol);
    });
}

std::string_view protocolName(Protocol protocol) noexcept
{
    return protocol == Protocol::Udp ? "udp" : "tcp";
}

std::optional<Protocol> parseProtocol(std::string_view name) noexcept
{
    if (name == "tcp")
        return Protocol::Tcp;
    if (name == "udp")
        return Protocol::Udp;
    return std::nullopt;
}

nlohmann::json serviceToJson(Service const& service)
{
    nlohmann::json addresses = nlohmann::json::array();
    for (ServiceAddress const& address : service.addresses)
        addresses.push_back({ { "endpoint", formatEndpoint(address.endpoint) }, { "protocol", protocolName(address.protocol) } });
    nlohmann::json json {
        { "name", service.name },
        { "addresses", std::move(addresses) },
        { "targets", service.targets },
        { "data_centres", service.dataCentres },
        { "idempotent", service.idempotent },
        { "connections", service.limits.connections },
        { "slots", service.limits.slots },
        { "queue_per_slot", service.limits.queuePerSlot },
        { "hunt_limit", service.limits.huntLimit },
        { "slow_start_s", service.slowStart.count() },
        { "drain_deadline_s", service.drain.deadline.count() },
    };
    // Records of services without the field read as before.
    if (service.coldRate > 0)
        json["cold_rate_milli"] = service.coldRate;
    return json;
}

Service serviceFromJson(nlohmann::json const& value, std::string const& path, absl::Status& error)
{
    JsonObject object(value, path, error);
    Service service;
    service.name = object.takeName("name");
    service.addresses = addressesFromJson(object, error);
    service.targets = textsFromJson(object, "targets", mostTargets, isTargetPattern, targetPatternRemedy);
    if (service.targets.empty())
        object.fail("targets", "is empty", "name at least one target or pattern");
    service.dataCentres = textsFromJson(object, "data_centres", mostDataCentres, isName, nameRemedy);
    service.idempotent = object.takeFlag("idempotent");
    service.limits.connections = static_cast<std::uint32_t>(object.takeNumber("connections", connectionsRange));
    service.limits.slots = static_cast<std::uint32_t>(object.takeNumber("slots", slotsRange));
    service.limits.queuePerSlot = static_cast<std::uint32_t>(object.takeNumber("queue_per_slot", queuePerSlotRange));
    service.limits.huntLimit = static_cast<std::uint32_t>(object.takeNumber("hunt_limit", huntLimitRange));
    service.slowStart = std::chrono::seconds(object.takeNumber("slow_start_s", slowStartSecondsRange));
    service.drain.deadline = std::chrono::seconds(object.takeNumber("drain_deadline_s", drainDeadlineSecondsRange));
    if (object.takeOptional("cold_rate_milli") != nullptr)
        service.coldRate = static_cast<std::uint32_t>(object.takeNumber("cold_rate_milli", coldRateRange));
    object.finish();
    return service;
}

} // namespace plantaindrift
