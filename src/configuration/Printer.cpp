#include "plantaindrift/configuration/Printer.h"

#include "configuration/ServiceJson.h"

#include <algorithm>

namespace plantaindrift {

namespace {

    // Names and addresses of valid configurations need no escapes.
    std::string printList(std::vector<std::string> const& texts)
    {
        std::string list = "[";
        for (std::string const& text : texts)
            list += (list.size() == 1 ? "\"" : ", \"") + text + '"';
        return list + ']';
    }

    std::string printAddresses(std::vector<ServiceAddress> const& addresses)
    {
        std::vector<std::string> texts;
        texts.reserve(addresses.size());
        for (ServiceAddress const& address : addresses)
            texts.push_back(formatEndpoint(address.endpoint) + '/' + std::string(protocolName(address.protocol)));
        return printList(texts);
    }

    // Prints thousandths as a decimal fraction.
    std::string printThousandths(std::uint32_t number)
    {
        constexpr std::uint32_t scale = 1000;
        std::string const fraction = std::to_string(scale + number % scale).substr(1);
        return std::to_string(number / scale) + '.' + fraction;
    }

    void printService(Service const& service, std::string& text)
    {
        text += "\n[[service]]\n";
        text += "name = \"" + service.name + "\"\n";
        text += "addresses = " + printAddresses(service.addresses) + '\n';
        text += "targets = " + printList(service.targets) + '\n';
        text += "data_centres = " + printList(service.dataCentres) + '\n';
        text += std::string("idempotent = ") + (service.idempotent ? "true" : "false") + '\n';
        text += "connections = " + std::to_string(service.limits.connections) + '\n';
        text += "slots = " + std::to_string(service.limits.slots) + '\n';
        text += "queue_per_slot = " + std::to_string(service.limits.queuePerSlot) + '\n';
        text += "hunt_limit = " + std::to_string(service.limits.huntLimit) + '\n';
        text += "slow_start_s = " + std::to_string(service.slowStart.count()) + '\n';
        text += "drain_deadline_s = " + std::to_string(service.drain.deadline.count()) + '\n';
        if (service.coldRate > 0)
            text += "cold_requests_per_second = " + printThousandths(service.coldRate) + '\n';
    }

} // namespace

Configuration canonicalConfiguration(Configuration configuration)
{
    for (Service& service : configuration.services) {
        sortAddresses(service.addresses);
        std::sort(service.targets.begin(), service.targets.end());
        std::sort(service.dataCentres.begin(), service.dataCentres.end());
    }
    std::sort(configuration.services.begin(), configuration.services.end(), [](Service const& left, Service const& right) { return left.name < right.name; });
    return configuration;
}

std::string printConfiguration(Configuration const& configuration)
{
    std::string text = "format = " + std::to_string(configurationFormat) + '\n';
    for (Service const& service : canonicalConfiguration(configuration).services)
        printService(service, text);
    return text;
}

} // namespace plantaindrift
