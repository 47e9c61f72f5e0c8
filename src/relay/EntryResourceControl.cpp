#include "relay/EntryResourceControl.h"

#include "plantaindrift/base/Hash.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace plantaindrift {

namespace {

    constexpr std::chrono::milliseconds gossipInterval { 500 };
    constexpr std::size_t gossipReceivers = 2;

    // Minimum interval between messages to all entries about an overload that begins: the utilisation may fluctuate
    // around the limit.
    constexpr std::chrono::seconds overloadNoticeInterval { 1 };

    // A refused caller makes at most two further attempts, which may reach this entry again and are counted again.
    constexpr double maximumDemandFactor = 3;

} // namespace

EntryResourceControl::EntryResourceControl(EntryResources const& resources, std::uint32_t nameHash, std::uint64_t randomSeed, RelaySender& sender)
    : isActive_(resources.hasLimit())
    , nameHash_(nameHash)
    , randomSeed_(randomSeed)
    , sender_(sender)
    , link_(resources.linkMbps)
    , processor_(resources.processorShare)
    , rule_(mixHash(randomSeed, nameHash))
{
}

void EntryResourceControl::recordProcess(Duration used, Duration lateness, TimePoint now) noexcept
{
    processor_.tick(used, lateness, now);
}

void EntryResourceControl::setConfiguration(Configuration const& configuration) noexcept
{
    std::chrono::milliseconds tightest { 0 };
    for (Service const& service : configuration.services) {
        for (ServiceAddress const& address : service.addresses) {
            if (address.targetLatency.count() > 0)
                tightest = tightest.count() > 0 ? std::min<std::chrono::milliseconds>(tightest, address.targetLatency) : address.targetLatency;
        }
    }
    pacer_.setTightestObjective(tightest);
}

BulkAction EntryResourceControl::decideBulk(std::size_t bytes, TimePoint now) noexcept
{
    BulkAction const action = pacer_.decide(link_.modelledQueue(now), link_.timeOnLink(bytes));
    if (action == BulkAction::Send)
        link_.recordSent(bytes, now);
    return action;
}

BulkAction EntryResourceControl::releaseBulk(std::size_t bytes, Duration waited, TimePoint now) noexcept
{
    BulkAction const action = pacer_.release(link_.modelledQueue(now), link_.timeOnLink(bytes), waited);
    if (action == BulkAction::Send)
        link_.recordSent(bytes, now);
    return action;
}

void EntryResourceControl::recordStatuses(DecodedRelayMessage const& message, TimePoint now)
{
    for (EntryLoad const& status : message.entryStatuses())
        statuses_.record(status, now);
}

void EntryResourceControl::tick(bool canServe, TimePoint now, RelaySigningContext const& signing)
{
    link_.tick(now);
    if (!isActive_)
        return;
    canServe_ = canServe;
    double const processorUtilisation = processor_.isLate() ? processor_.utilisation() : 0;
    admission_.tick({ link_.bytesPerSecond(), link_.offeredBytesPerSecond(), link_.utilisation(), processorUtilisation }, now);
    bool const wasInRotation = rule_.decision().isInRotation;
    bool const wasOverloaded = rule_.isOverloaded();
    std::vector<EntryLoad> const others = statuses_.recent(now);
    rule_.tick({ ownStatus(), others, statuses_.peers().size() + 1 }, now);
    // Entries that become overloaded at the same time must know of each other before they may leave.
    bool const isOverloadNew = rule_.isOverloaded() && !wasOverloaded && now - sentToAll_ >= overloadNoticeInterval;
    if (rule_.decision().isInRotation != wasInRotation || isOverloadNew) {
        sentToAll_ = now;
        sendToAll(signing);
    }
    if (now - gossiped_ >= gossipInterval) {
        gossiped_ = now;
        sendStatuses(now, signing);
    }
}

double EntryResourceControl::demandFactor() const noexcept
{
    double const carried = link_.offeredBytesPerSecond();
    return carried > 0 ? std::min(maximumDemandFactor, 1 + admission_.refusedBytesPerSecond() / carried) : 1;
}

EntryLoad EntryResourceControl::ownStatus() const noexcept
{
    EntryLoad status;
    status.nameHash = nameHash_;
    status.linkBytesPerSecond = link_.bytesPerSecond();
    status.offeredBytesPerSecond = link_.offeredBytesPerSecond() * demandFactor();
    status.utilisation = std::max(link_.utilisation(), processor_.utilisation()) * demandFactor();
    status.isInRotation = canServe_ && rule_.decision().isInRotation;
    return status;
}

void EntryResourceControl::sendToAll(RelaySigningContext const& signing)
{
    std::array<std::byte, maximumRelayMessageBytes> message;
    std::array<EntryLoad, 1> const own { ownStatus() };
    std::size_t const bytes = writeRelayEntryStatus(own, signing, message);
    for (EntryPeer const& peer : statuses_.peers())
        sender_.send(peer.relay, std::span<std::byte const>(message).first(bytes));
}

void EntryResourceControl::sendStatuses(TimePoint now, RelaySigningContext const& signing)
{
    std::span<EntryPeer const> const peers = statuses_.peers();
    if (peers.empty())
        return;
    std::vector<EntryLoad> statuses { ownStatus() };
    for (EntryLoad const& status : statuses_.recent(now)) {
        if (statuses.size() < maximumEntryStatuses)
            statuses.push_back(status);
    }
    std::array<std::byte, maximumRelayMessageBytes> message;
    std::size_t const bytes = writeRelayEntryStatus(statuses, signing, message);
    std::size_t const first = mixHash(randomSeed_, ++gossipCount_) % peers.size();
    std::size_t const receivers = std::min(gossipReceivers, peers.size());
    // A random distance between the receivers, so that every pair of them occurs.
    std::size_t const distance = peers.size() > 1 ? 1 + mixHash(gossipCount_, randomSeed_) % (peers.size() - 1) : 1;
    for (std::size_t receiver = 0; receiver < receivers; ++receiver)
        sender_.send(peers[(first + receiver * distance) % peers.size()].relay, std::span<std::byte const>(message).first(bytes));
}

EntryResourceReport EntryResourceControl::report(TimePoint now) const noexcept
{
    EntryResourceReport report;
    report.receivedBytes = link_.receivedBytes();
    report.sentBytes = link_.sentBytes();
    report.linkUtilisation = link_.utilisation();
    report.processorUtilisation = processor_.utilisation();
    report.refusedBytesPerSecond = admission_.refusedBytesPerSecond();
    report.modelledQueue = link_.modelledQueue(now);
    report.measuredDelay = link_.measuredDelay();
    report.bulk = pacer_.counts();
    report.rotation = rule_.decision();
    return report;
}

} // namespace plantaindrift
