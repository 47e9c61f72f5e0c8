#include "relay/OwnerBatches.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <span>

namespace plantaindrift {

void OwnerBatches::send(RelaySender& sender, RelaySigningContext const& signing) const
{
    std::array<std::byte, maximumRelayMessageBytes> message;
    for (auto const& [holder, flows] : batches_) {
        std::span<OwnedFlow const> owned = flows;
        while (!owned.empty()) {
            std::size_t const named = std::min(owned.size(), maximumFlowOwners);
            std::size_t const bytes = writeRelayFlowOwners(holder.second, owned.first(named), signing, message);
            sender.send(holder.first, std::span<std::byte const>(message).first(bytes));
            owned = owned.subspan(named);
        }
    }
}

} // namespace plantaindrift
