#pragma once

#include "plantaindrift/configuration/Configuration.h"
#include "relay/TargetDirectory.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <vector>

namespace plantaindrift {

/// \brief Which service takes a new flow of an address, and how long a request there may take.
class AddressRoutes {
public:
    /// \brief Replaces the routes; services that are new are declared in the directory.
    void set(Configuration const& configuration, TargetDirectory& directory, TimePoint now);

    /// \brief The service of a flow; null if none has the address. Every entry and every copy of a segment gives the same one.
    [[nodiscard]] TargetGroup* findService(Endpoint address, std::uint64_t flowHash) const noexcept;

    /// \brief Expected time above which no target is to take a new flow, in 0.1 ms; 0 for none, and for new addresses.
    [[nodiscard]] std::uint16_t limitOf(Endpoint address, TimePoint now) const noexcept;

    [[nodiscard]] bool isConfigured() const noexcept { return configured_; }
    [[nodiscard]] bool empty() const noexcept { return routes_.empty(); }

private:
    struct RouteShare {
        TargetGroup* group { nullptr };
        std::uint32_t share { 0 };
    };

    struct AddressRoute {
        std::vector<RouteShare> services;
        std::uint32_t totalShare { 0 };
        std::uint16_t limitTenths { 0 };
        TimePoint limitedFrom; ///< when the address counts as known to callers
    };

    using Routes = absl::flat_hash_map<std::uint64_t, AddressRoute>; ///< by address

    Routes routes_;
    bool configured_ { false };
};

} // namespace plantaindrift
