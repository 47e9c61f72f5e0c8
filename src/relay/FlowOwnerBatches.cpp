#include "relay/FlowOwnerBatches.h"

#include "balancing/TargetCost.h"
#include "plantaindrift/base/Hash.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace plantaindrift {

namespace {

    // For flows that end sooner, sending the owner to agents would cost more than a search.
    constexpr std::chrono::milliseconds minimumSharedFlowAge { 300 };
    constexpr std::chrono::seconds ownerShareInterval { 20 };

    // Number of highest-ranked agents for a flow that receive its owner.
    constexpr std::size_t ownerHolderCount = 2;

} // namespace

FlowOwnerBatches::FlowOwnerBatches(TargetDirectory& directory, bool withNewFlows)
    : directory_(directory)
    , withNewFlows_(withNewFlows)
{
}

void FlowOwnerBatches::add(FlowRecord& record, TimePoint now)
{
    bool const isOldEnough = withNewFlows_ || now - record.opened >= minimumSharedFlowAge;
    bool const isShared = record.isConfirmed && isOldEnough && now - record.last < ownerShareInterval;
    if (!isShared)
        return;
    TargetGroup const* const group = directory_.findServiceOf(record.owner);
    if (group == nullptr)
        return;
    std::array<std::pair<std::uint64_t, Endpoint>, ownerHolderCount> holders {};
    for (DirectoryTarget const& target : group->targets) {
        std::pair<std::uint64_t, Endpoint> holder { rankScore(target.nameHash, record.hash), target.agent };
        // An entry that does not know the owner yet queries the next one.
        if (target.isGone() || target.agent == record.owner)
            continue;
        for (std::pair<std::uint64_t, Endpoint>& best : holders) {
            if (holder.first > best.first)
                std::swap(holder, best);
        }
    }
    std::uint32_t const hash = static_cast<std::uint32_t>(mixHash(endpointKey(holders[0].second), mixHash(endpointKey(holders[1].second), endpointKey(record.owner))));
    if (hash == record.holders && now - record.ownerSent < ownerShareInterval)
        return;
    record.holders = hash;
    record.ownerSent = now;
    for (std::pair<std::uint64_t, Endpoint> const& holder : holders) {
        if (holder.second.isSet())
            batches_[{ holder.second, group->hash }].push_back({ record.flow, record.owner });
    }
}

void FlowOwnerBatches::send(RelaySender& sender, RelaySigningContext const& seal) const
{
    std::array<std::byte, maximumRelayMessageBytes> message;
    for (std::pair<OwnerHolder const, std::vector<OwnedFlow>> const& batch : batches_) {
        std::span<OwnedFlow const> owned = batch.second;
        while (!owned.empty()) {
            std::size_t const named = std::min(owned.size(), maximumFlowOwners);
            std::size_t const bytes = writeRelayFlowOwners(batch.first.second, owned.first(named), seal, message);
            sender.send(batch.first.first, std::span<std::byte const>(message).first(bytes));
            owned = owned.subspan(named);
        }
    }
}

} // namespace plantaindrift
