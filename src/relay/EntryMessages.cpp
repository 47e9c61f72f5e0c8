#include "relay/EntryRelayState.h"
#include "relay/FlowOwnerBatches.h"
#include "relay/RelayTimes.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

namespace plantaindrift {

namespace {

    // Half of a service's targets may stop accepting at once; a second return finds the others by what the agents have reported
    // meanwhile.
    constexpr std::uint8_t maximumReturns = 2;

    // A caller keeps a flow open for at most 60 s without a packet.
    constexpr std::chrono::seconds flowIdleTimeout { 60 };

    // Number of ticks in which all flows are checked once.
    constexpr std::size_t ownerShareTicks = 5;

} // namespace

// ---- messages of agents ----

void EntryRelay::State::recordOwner(Endpoint from, RelayFlow const& flow, TimePoint now)
{
    std::uint64_t const hash = hashRelayFlow(flow);
    std::optional<ServiceHash> const searched = searches.recordFound(hash, now);
    FlowRecord* const record = insertFlow(hash, flow, now);
    if (record == nullptr)
        return;
    if (searched)
        record->service = *searched;
    countEvacuated(*record, from);
    if (std::exchange(record->isTimed, false))
        resources.link().recordRoundTrip(now - record->opened);
    // An agent before it passed the opening on.
    if (record->isReturnable && record->owner != from)
        directory.recordColdDecline(record->owner, now);
    if (record->isReturnable)
        directory.recordColdAdmission(from);
    record->isReturnable = false;
    if (record->owner.isSet() && record->owner != from) {
        record->previousOwner = record->owner;
        notifyOwnerReport("owner_changed", flow, from);
    }
    // The time since a retransmitted opening would be too short if the notice answers an earlier copy.
    if (record->owner == from && !record->isConfirmed && record->opened == record->last)
        directory.recordRoundTrip(from, now - record->opened, now);
    record->owner = from;
    record->isUnlisted = directory.findServiceOf(from) == nullptr;
    record->unanswered = {};
    record->last = now;
    // Until a later segment has found its owner, a notice says only that the target was offered the flow.
    record->isConfirmed = record->isInUse || !record->previousOwner.isSet();
}

void EntryRelay::State::processDeclined(Endpoint from, DecodedRelayMessage const& decoded, TimePoint now, std::uint32_t nowSeconds)
{
    directory.recordLoad(from, decoded.load, now);
    if (decoded.declineReason == OpeningReason::Cold)
        directory.recordColdDecline(from, now);
    std::optional<Segment> const segment = codec.decode(decoded.segment);
    if (!segment || !segment->isOpenRequest())
        return;
    SegmentContext const context { decoded.segment, *segment, hashRelayFlow({ segment->source, segment->destination }), now, nowSeconds, {}, openingReasonName(decoded.declineReason) };
    EntryRelayOutcome outcome = offerAgain(context, from, decoded.route);
    // A target that is still starting may admit a retransmission.
    bool const isStarting = decoded.load.isAssumed && decoded.declineReason != OpeningReason::Evacuated;
    if (outcome == EntryRelayOutcome::RefusedNoRoom && isStarting)
        outcome = EntryRelayOutcome::DroppedReturned;
    ++returnCounts[outcome][static_cast<std::size_t>(decoded.declineReason)];
    if (outcome == EntryRelayOutcome::RefusedNoRoom)
        sendReset(context, outcome);
    else if (outcome == EntryRelayOutcome::DroppedReturned)
        drop(context, outcome);
}

EntryRelayOutcome EntryRelay::State::offerAgain(SegmentContext const& context, Endpoint from, RelayRoute const& declined)
{
    FlowRecord* const record = flows.find(context.hash);
    TargetGroup* const service = serviceOf(context);
    // A later copy, or another one of the original, may have opened the flow meanwhile.
    bool const isCurrent = record != nullptr && record->isReturnable && context.now - record->opened < originalLifetime;
    if (!isCurrent || service == nullptr || context.segment.acknowledgement != 0)
        return EntryRelayOutcome::DroppedReturned;
    record->isReturnable = ++record->returns < maximumReturns;
    std::vector<Endpoint> offered { from, record->owner };
    for (RelayCandidate const& agent : declined.offeredAgents())
        offered.push_back(agent.agent);
    RelayRoute route;
    route.serviceHash = service->hash;
    route.latencyLimitTenthMs = declined.latencyLimitTenthMs;
    route.isLastOffer = true;
    directory.chooseLastOffers(*service, offered, context.now, route);
    if (route.candidateCount == 0)
        return EntryRelayOutcome::RefusedNoRoom;
    record->owner = route.candidates.front().agent;
    PacketVerdict const verdict = forward(context, route, EntryRelayOutcome::OfferedAgain);
    std::vector<std::byte> message(verdict.header.begin(), verdict.header.end());
    message.insert(message.end(), verdict.payload.begin(), verdict.payload.end());
    sender.send(verdict.to, message);
    return EntryRelayOutcome::OfferedAgain;
}

void EntryRelay::State::countEvacuated(FlowRecord const& record, Endpoint agent) noexcept
{
    DirectoryTarget const* const target = directory.findTarget(agent);
    bool const isNew = !record.isInUse && record.opened > evacuationChanged;
    evacuatedFlows += target != nullptr && target->isEvacuated && isNew ? 1 : 0;
}

bool EntryRelay::State::processDecodedMessage(Endpoint from, DecodedRelayMessage const& decoded, TimePoint now, std::uint32_t nowSeconds)
{
    switch (decoded.kind) {
    case RelayMessageKind::FlowNotFound:
        processNotFound(from, decoded.serviceHash, decoded.flow, now);
        return true;
    case RelayMessageKind::FlowQueryReply:
        return searches.processQueryReply(from, decoded, now, { options.keys, nowSeconds });
    case RelayMessageKind::OwnerNotice:
        directory.recordLoad(from, decoded.load, now);
        recordOwner(from, decoded.flow, now);
        return true;
    case RelayMessageKind::OpeningDeclined:
        processDeclined(from, decoded, now, nowSeconds);
        return true;
    case RelayMessageKind::LoadReport:
        directory.recordLoad(from, decoded.load, now, decoded.serviceHash);
        return true;
    case RelayMessageKind::EntryStatus:
        resources.recordStatuses(decoded, now);
        return true;
    default:
        return false;
    }
}

// ---- periodic steps ----

void EntryRelay::State::subscribe(TimePoint now, std::uint32_t nowSeconds)
{
    std::array<std::byte, maximumRelayHeaderBytes> message;
    std::size_t const bytes = writeRelayLoadSubscription(directory.loadInterval(), { options.keys, nowSeconds }, message);
    for (Endpoint const agent : directory.collectDueSubscriptions(now))
        sender.send(agent, std::span<std::byte const>(message).first(bytes));
}

void EntryRelay::State::sendFlowOwners(TimePoint now, std::uint32_t nowSeconds)
{
    // The flows of an entry that leaves the rotation move to other entries within a second, also the newest ones.
    FlowOwnerBatches batches(directory, resources.shouldLeaveRotation());
    flows.visitNextPart(ownerShareTicks, [&](FlowRecord& record) { batches.add(record, now); });
    batches.send(sender, { options.keys, nowSeconds });
}

void EntryRelay::State::sweep(TimePoint now)
{
    constexpr std::chrono::seconds sweepInterval { 5 };
    if (now - lastSweep < sweepInterval)
        return;
    lastSweep = now;
    flows.eraseIf([now](FlowRecord const& record) { return now - record.last > flowIdleTimeout; });
}

} // namespace plantaindrift
