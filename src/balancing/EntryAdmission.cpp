#include "balancing/EntryAdmission.h"

#include "base/EndpointKey.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace plantaindrift {

namespace {

    constexpr std::array<std::string_view, entryRefusalCount> refusalNames { "none", "link", "processor" };

    constexpr double maximumBulkUtilisation = 0.8;
    constexpr double maximumUtilisation = 0.95;

    // Flows of at least this many bytes fill a narrow link with few of them; that is five full segments.
    constexpr double minimumBulkFlowBytes = 6000;
    constexpr double minimumBulkShare = 0.5;

    // Time after which a flow's weight in the means has fallen to 1/e.
    constexpr double decaySeconds = 10;

    // An address whose sum of flows is smaller carries nothing any more.
    constexpr double forgottenFlows = 0.001;

    // Bytes of admitted bulk flows that may wait, as time at the admitted rate. They wait in front of small segments
    // where the link enters the entry.
    constexpr double maximumBacklogSeconds = 0.1;

} // namespace

std::string_view entryRefusalName(EntryRefusal refusal) noexcept
{
    return refusalNames[static_cast<std::size_t>(refusal)];
}

double EntryAdmission::AddressUse::bytesPerFlow() const noexcept
{
    return flows > 0 ? bytes / std::max(flows, 1.0) : bytes;
}

bool EntryAdmission::AddressUse::isBulk() const noexcept
{
    return bytesPerFlow() >= minimumBulkFlowBytes && bulkBytes >= minimumBulkShare * bytes;
}

void EntryAdmission::recordSegment(Endpoint address, std::size_t dataBytes, std::size_t linkBytes) noexcept
{
    AddressUse& use = addresses_[endpointKey(address)];
    use.tickBytes += linkBytes;
    use.bytes += static_cast<double>(linkBytes);
    use.bulkBytes += dataBytes >= minimumBulkSegmentBytes ? static_cast<double>(linkBytes) : 0;
}

double EntryAdmission::otherBytesPerSecond() const noexcept
{
    double bulk = 0;
    for (Rates const& rates : rates_)
        bulk += rates.bulk / static_cast<double>(rates_.size());
    return std::max(0.0, use_.offeredBytesPerSecond - bulk);
}

double EntryAdmission::refusedBytesPerSecond() const noexcept
{
    double refused = 0;
    for (Rates const& rates : rates_)
        refused += rates.refused / static_cast<double>(rates_.size());
    return refused;
}

EntryRefusal EntryAdmission::checkRoom(AddressUse const& use) const noexcept
{
    bool const isBulk = use.isBulk();
    bool const isBulkFull = use_.linkUtilisation > maximumBulkUtilisation || backlog_ > bulkRate_ * maximumBacklogSeconds;
    bool const isLinkFull = isBulk ? isBulkFull : otherBytesPerSecond() > maximumUtilisation * use_.linkBytesPerSecond;
    if (use_.linkBytesPerSecond > 0 && isLinkFull)
        return EntryRefusal::Link;
    bool const isProcessorFull = use_.processorUtilisation > (isBulk ? maximumBulkUtilisation : maximumUtilisation);
    return isProcessorFull ? EntryRefusal::Processor : EntryRefusal::None;
}

EntryRefusal EntryAdmission::decide(Endpoint address) noexcept
{
    AddressUse& use = addresses_[endpointKey(address)];
    EntryRefusal const refusal = checkRoom(use);
    if (refusal != EntryRefusal::None) {
        refusedBytes_ += use.bytesPerFlow();
        return refusal;
    }
    backlog_ += use.isBulk() ? use.bytesPerFlow() : 0;
    use.flows += 1;
    return EntryRefusal::None;
}

void EntryAdmission::tick(EntryUse const& use, TimePoint now) noexcept
{
    double const seconds = lastTick_ == TimePoint {} ? 0 : std::chrono::duration<double>(now - lastTick_).count();
    lastTick_ = now;
    use_ = use;
    double const decay = std::exp(-seconds / decaySeconds);
    double bulkBytes = 0;
    for (absl::flat_hash_map<std::uint64_t, AddressUse>::iterator address = addresses_.begin(); address != addresses_.end();) {
        AddressUse& addressUse = address->second;
        bulkBytes += addressUse.isBulk() ? static_cast<double>(addressUse.tickBytes) : 0;
        addressUse.tickBytes = 0;
        addressUse.flows *= decay;
        addressUse.bytes *= decay;
        addressUse.bulkBytes *= decay;
        if (addressUse.flows < forgottenFlows && addressUse.bytes < 1)
            addresses_.erase(address++);
        else
            ++address;
    }
    rates_[nextRate_] = seconds > 0 ? Rates { bulkBytes / seconds, refusedBytes_ / seconds } : Rates {};
    nextRate_ = (nextRate_ + 1) % rates_.size();
    refusedBytes_ = 0;
    bulkRate_ = std::max(0.0, maximumBulkUtilisation * use.linkBytesPerSecond - otherBytesPerSecond());
    backlog_ = std::max(0.0, backlog_ - bulkRate_ * seconds);
}

double EntryAdmission::bytesPerFlow(Endpoint address) const noexcept
{
    absl::flat_hash_map<std::uint64_t, AddressUse>::const_iterator const use = addresses_.find(endpointKey(address));
    return use != addresses_.end() ? use->second.bytesPerFlow() : 0;
}

bool EntryAdmission::isBulk(Endpoint address) const noexcept
{
    absl::flat_hash_map<std::uint64_t, AddressUse>::const_iterator const use = addresses_.find(endpointKey(address));
    return use != addresses_.end() && use->second.isBulk();
}

} // namespace plantaindrift
