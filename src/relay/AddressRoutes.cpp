#include "relay/AddressRoutes.h"

#include "balancing/AdmissionLimit.h"

#include <chrono>
#include <iterator>
#include <set>
#include <utility>

namespace plantaindrift {

namespace {

    // For this long after it was added, an address counts as new.
    constexpr std::chrono::seconds newAddressPeriod { 30 };

    std::set<std::uint16_t> prioritiesOf(Service const& service)
    {
        std::set<std::uint16_t> priorities;
        for (ServiceAddress const& address : service.addresses)
            priorities.insert(address.priority);
        return priorities;
    }

} // namespace

void AddressRoutes::set(Configuration const& configuration, TargetDirectory& directory, TimePoint now)
{
    Routes const known = std::exchange(routes_, {});
    for (Service const& service : configuration.services) {
        TargetGroup& group = directory.findOrAddService(service.name);
        std::set<std::uint16_t> const priorities = prioritiesOf(service);
        for (ServiceAddress const& address : service.addresses) {
            std::uint64_t const key = endpointKey(address.endpoint);
            AddressRoute& route = routes_[key];
            route.services.push_back({ &group, address.share });
            route.totalShare += address.share;
            std::size_t const rank = static_cast<std::size_t>(std::distance(priorities.begin(), priorities.find(address.priority)));
            route.limitTenthMs = admissionLimit(address.targetLatency, rank);
            Routes::const_iterator const before = known.find(key);
            if (before != known.end())
                route.limitedFrom = before->second.limitedFrom;
            else if (isConfigured_)
                route.limitedFrom = now + newAddressPeriod;
        }
    }
    isConfigured_ = true;
}

TargetGroup* AddressRoutes::findService(Endpoint address, std::uint64_t flowHash) const noexcept
{
    Routes::const_iterator const route = routes_.find(endpointKey(address));
    if (route == routes_.end() || route->second.totalShare == 0)
        return nullptr;
    std::uint32_t point = static_cast<std::uint32_t>((flowHash >> 20U) % route->second.totalShare);
    for (RouteShare const& share : route->second.services) {
        if (point < share.share)
            return share.group;
        point -= share.share;
    }
    return nullptr;
}

std::uint16_t AddressRoutes::latencyLimit(Endpoint address, TimePoint now) const noexcept
{
    Routes::const_iterator const route = routes_.find(endpointKey(address));
    bool const isLimited = route != routes_.end() && now >= route->second.limitedFrom;
    return isLimited ? route->second.limitTenthMs : std::uint16_t { 0 };
}

} // namespace plantaindrift
