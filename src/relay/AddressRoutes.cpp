#include "relay/AddressRoutes.h"

#include "balancing/AdmissionLimit.h"
#include "relay/RelayTimes.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <set>
#include <span>
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

    std::size_t rankOf(std::set<std::uint16_t> const& priorities, std::uint16_t priority)
    {
        return static_cast<std::size_t>(std::distance(priorities.begin(), priorities.find(priority)));
    }

    bool contains(std::span<TargetGroup const* const> services, TargetGroup const* service)
    {
        return std::find(services.begin(), services.end(), service) != services.end();
    }

    // The tightest limit of each priority of a service, the most urgent first; 0 for none.
    std::vector<std::uint16_t> tightestLimits(Service const& service, std::set<std::uint16_t> const& priorities)
    {
        std::vector<std::uint16_t> tightest(priorities.size(), 0);
        for (ServiceAddress const& address : service.addresses) {
            std::size_t const rank = rankOf(priorities, address.priority);
            std::uint16_t const limit = admissionLimit(address.targetLatency, rank);
            if (limit > 0)
                tightest[rank] = tightest[rank] > 0 ? std::min(tightest[rank], limit) : limit;
        }
        return tightest;
    }

} // namespace

void AddressRoutes::set(Configuration const& configuration, TargetDirectory& directory, TimePoint now)
{
    Routes const known = std::exchange(routes_, {});
    for (Service const& service : configuration.services) {
        TargetGroup& group = directory.findOrAddService(service.name);
        std::set<std::uint16_t> const priorities = prioritiesOf(service);
        std::vector<std::uint16_t> const tightest = tightestLimits(service, priorities);
        for (ServiceAddress const& address : service.addresses) {
            std::uint64_t const key = endpointKey(address.endpoint);
            AddressRoute& route = routes_[key];
            route.shares.push_back({ &group, address.share });
            route.services.push_back(&group);
            route.totalShare += address.share;
            std::size_t const rank = rankOf(priorities, address.priority);
            route.limitTenthMs = orderedLimit(admissionLimit(address.targetLatency, rank), std::span<std::uint16_t const>(tightest).first(rank));
            Routes::const_iterator const before = known.find(key);
            if (before != known.end())
                route.limitedFrom = before->second.limitedFrom;
            else if (isConfigured_)
                route.limitedFrom = now + newAddressPeriod;
        }
    }
    isConfigured_ = true;
    recordFormer(known, now);
    addFormer();
}

void AddressRoutes::recordFormer(Routes const& replaced, TimePoint now)
{
    for (std::pair<std::uint64_t const, AddressRoute> const& route : replaced) {
        Routes::const_iterator const current = routes_.find(route.first);
        for (RouteShare const& share : route.second.shares) {
            if (current != routes_.end() && contains(current->second.services, share.group))
                continue;
            std::vector<FormerService>& former = former_[route.first];
            std::erase_if(former, [&share](FormerService const& known) { return known.group == share.group; });
            former.push_back({ share.group, now });
        }
    }
    for (std::pair<std::uint64_t const, std::vector<FormerService>>& former : former_)
        std::erase_if(former.second, [now](FormerService const& service) { return now - service.last > platformFlowTimeout; });
    absl::erase_if(former_, [](std::pair<std::uint64_t const, std::vector<FormerService>> const& former) { return former.second.empty(); });
}

void AddressRoutes::addFormer()
{
    for (std::pair<std::uint64_t const, AddressRoute>& route : routes_) {
        auto const former = former_.find(route.first);
        if (former == former_.end())
            continue;
        std::vector<TargetGroup const*>& services = route.second.services;
        for (FormerService const& service : former->second) {
            if (!contains(services, service.group))
                services.push_back(service.group);
        }
    }
}

TargetGroup* AddressRoutes::findService(Endpoint address, std::uint64_t flowHash) const noexcept
{
    Routes::const_iterator const route = routes_.find(endpointKey(address));
    if (route == routes_.end() || route->second.totalShare == 0)
        return nullptr;
    std::uint32_t point = static_cast<std::uint32_t>((flowHash >> 20U) % route->second.totalShare);
    for (RouteShare const& share : route->second.shares) {
        if (point < share.share)
            return share.group;
        point -= share.share;
    }
    return nullptr;
}

std::span<TargetGroup const* const> AddressRoutes::findServices(Endpoint address) const noexcept
{
    Routes::const_iterator const route = routes_.find(endpointKey(address));
    return route != routes_.end() ? route->second.services : std::span<TargetGroup const* const> {};
}

std::uint16_t AddressRoutes::latencyLimit(Endpoint address, TimePoint now) const noexcept
{
    Routes::const_iterator const route = routes_.find(endpointKey(address));
    bool const isLimited = route != routes_.end() && now >= route->second.limitedFrom;
    return isLimited ? route->second.limitTenthMs : std::uint16_t { 0 };
}

} // namespace plantaindrift
