#pragma once

#include "plantaindrift/relay/RelayMessage.h"
#include "plantaindrift/relay/RelaySender.h"
#include "relay/TargetDirectory.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace plantaindrift {

/// \brief Number of highest-ranked agents for a flow that receive its owner.
inline constexpr std::size_t ownerHolderCount = 2;

/// \brief Agents that receive the owner of a flow; some may be unset.
using OwnerHolders = std::array<Endpoint, ownerHolderCount>;

/// \brief The highest-ranked agents for a flow, except its owner. An entry that does not know the owner queries them.
[[nodiscard]] OwnerHolders chooseOwnerHolders(TargetGroup const& group, std::uint64_t flowHash, Endpoint owner) noexcept;

/// \brief Owners of flows, collected by the agent that receives them.
class OwnerBatches {
public:
    /// \param service  service for which the agent holds the record; the directory may know the agent by another one
    void add(Endpoint agent, ServiceHash service, OwnedFlow const& owned) { batches_[{ agent, service }].push_back(owned); }

    /// \brief Sends all as FlowOwners messages.
    void send(RelaySender& sender, RelaySigningContext const& signing) const;

private:
    std::map<std::pair<Endpoint, ServiceHash>, std::vector<OwnedFlow>> batches_;
};

} // namespace plantaindrift
