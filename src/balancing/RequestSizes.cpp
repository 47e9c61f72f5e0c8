#include "balancing/RequestSizes.h"

#include "base/EndpointKey.h"

namespace plantaindrift {

namespace {

    // Averages about a hundred flows: the sizes of one kind differ by several times.
    constexpr double remainingShare = 0.99;

} // namespace

void RequestSizes::recordFlow(Endpoint address)
{
    Sums& sums = sums_[endpointKey(address)];
    sums.flows = sums.flows * remainingShare + 1;
    sums.bytes *= remainingShare;
}

void RequestSizes::recordSegment(Endpoint address, std::size_t bytes) noexcept
{
    absl::flat_hash_map<std::uint64_t, Sums>::iterator const sums = sums_.find(endpointKey(address));
    if (sums != sums_.end())
        sums->second.bytes += static_cast<double>(bytes);
}

double RequestSizes::meanBytes(Endpoint address) const noexcept
{
    absl::flat_hash_map<std::uint64_t, Sums>::const_iterator const sums = sums_.find(endpointKey(address));
    return sums != sums_.end() ? sums->second.bytes / sums->second.flows : 0;
}

} // namespace plantaindrift
