#include "relay/OwnerBatches.h"

#include "balancing/TargetCost.h"

#include <algorithm>
#include <span>

namespace plantaindrift {

OwnerHolders chooseOwnerHolders(TargetGroup const& group, std::uint64_t flowHash, Endpoint owner) noexcept
{
    std::array<std::pair<std::uint64_t, Endpoint>, ownerHolderCount> best {};
    for (DirectoryTarget const& target : group.targets) {
        // An entry that does not know the owner yet queries the next one.
        if (target.isGone() || target.agent == owner)
            continue;
        std::pair<std::uint64_t, Endpoint> holder { rankScore(target.nameHash, flowHash), target.agent };
        for (std::pair<std::uint64_t, Endpoint>& other : best) {
            if (holder.first > other.first)
                std::swap(holder, other);
        }
    }
    return { best[0].second, best[1].second };
}

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
