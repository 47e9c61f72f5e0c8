#pragma once

#include "plantaindrift/relay/RelaySender.h"
#include "relay/FlowRecord.h"
#include "relay/TargetDirectory.h"

#include <map>
#include <span>
#include <utility>
#include <vector>

namespace plantaindrift {

/// \brief Owners of flows that an entry sends to agents, grouped by the agent that receives them.
class FlowOwnerBatches {
public:
    /// \param directory  outlives the batches
    /// \param withNewFlows  also adds flows that have just opened
    FlowOwnerBatches(TargetDirectory& directory, bool withNewFlows);

    /// \brief Adds a flow whose owner is confirmed, if its owner was not sent a short time ago.
    void add(FlowRecord& record, TimePoint now);

    void send(RelaySender& sender, RelaySigningContext const& seal) const;

private:
    /// An agent, and the service for which it holds owner records. The directory may know its address by another service.
    using OwnerHolder = std::pair<Endpoint, ServiceHash>;

    TargetDirectory& directory_;
    bool withNewFlows_;
    std::map<OwnerHolder, std::vector<OwnedFlow>> batches_;
};

} // namespace plantaindrift
