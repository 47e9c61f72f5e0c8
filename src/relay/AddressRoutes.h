#pragma once

#include "plantaindrift/configuration/Configuration.h"
#include "relay/TargetDirectory.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <span>
#include <vector>

namespace plantaindrift {

/// \brief Maps a service address to the service of a new flow and to its latency limit.
class AddressRoutes {
public:
    /// \brief Replaces the routes; declares new services in the directory.
    void set(Configuration const& configuration, TargetDirectory& directory, TimePoint now);

    /// \brief The service of a flow; null if none has the address. Every entry returns the same service for a flow and
    /// its retransmissions.
    [[nodiscard]] TargetGroup* findService(Endpoint address, std::uint64_t flowHash) const noexcept;

    /// \brief All services that have an address, and those that had it a short time ago; none if no service has it now.
    [[nodiscard]] std::span<TargetGroup const* const> findServices(Endpoint address) const noexcept;

    /// \brief Expected time above which no target admits a new flow, in 0.1 ms; 0 for no limit and for new addresses.
    [[nodiscard]] std::uint16_t latencyLimit(Endpoint address, TimePoint now) const noexcept;

    [[nodiscard]] bool isConfigured() const noexcept { return isConfigured_; }
    [[nodiscard]] bool empty() const noexcept { return routes_.empty(); }

private:
    struct RouteShare {
        TargetGroup* group { nullptr };
        std::uint32_t share { 0 };
    };

    struct AddressRoute {
        std::vector<RouteShare> shares;
        std::vector<TargetGroup const*> services; ///< of the shares, then former ones
        std::uint32_t totalShare { 0 };
        std::uint16_t limitTenthMs { 0 };
        TimePoint limitedFrom; ///< end of the time in which the address counts as new
    };

    using Routes = absl::flat_hash_map<std::uint64_t, AddressRoute>; ///< by address

    /// A service that had an address in an earlier configuration.
    struct FormerService {
        TargetGroup const* group { nullptr };
        TimePoint last; ///< when a configuration took the address from it
    };

    Routes routes_;
    absl::flat_hash_map<std::uint64_t, std::vector<FormerService>> former_; ///< by address
    bool isConfigured_ { false };

    /// Keeps the services of the routes that are replaced for as long as their flows may be open.
    void recordFormer(Routes const& replaced, TimePoint now);
    void addFormer();
};

} // namespace plantaindrift
