#pragma once

#include "plantaindrift/relay/RelayMessage.h"
#include "plantaindrift/relay/RelaySender.h"

#include <map>
#include <utility>
#include <vector>

namespace plantaindrift {

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
