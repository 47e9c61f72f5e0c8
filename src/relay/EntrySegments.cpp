#include "relay/EntryRelayState.h"
#include "relay/RelayTimes.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>

namespace plantaindrift {

namespace {

    // An owner that the view lacks confirms each segment; after this time without an answer it is taken for gone.
    constexpr std::chrono::milliseconds unlistedOwnerTimeout { 500 };

} // namespace

TargetGroup* EntryRelay::State::serviceOf(SegmentContext const& context) const noexcept
{
    return routes.findService(context.segment.destination, context.hash);
}

PacketVerdict EntryRelay::State::forward(SegmentContext const& context, RelayRoute& route, EntryRelayOutcome outcome, std::string_view reason) noexcept
{
    ++outcomes[static_cast<std::size_t>(outcome)];
    Endpoint const to = route.candidates.front().agent;
    if (outcome != EntryRelayOutcome::ForwardedToOwner)
        notifyObserver(context, outcome, to, route.candidates.front().costTenthMs, reason);
    std::copy(route.candidates.begin() + 1, route.candidates.begin() + route.candidateCount, route.candidates.begin());
    --route.candidateCount;
    route.entry = options.ownEndpoint;
    std::size_t const bytes = writeRelayPacket(route, context.datagram, { options.keys, context.nowSeconds }, header);
    if (resources.isActive())
        resources.admission().recordSegment(context.segment.destination, context.segment.dataBytes, bytes + context.datagram.size() + datagramHeaderBytes);
    return { to, std::span<std::byte const>(header).first(bytes), context.datagram, resources.isBulk(context.segment.dataBytes), context.hash };
}

PacketVerdict EntryRelay::State::refuse(SegmentContext const& context, EntryRelayOutcome refused, EntryRelayOutcome dropped) noexcept
{
    // An earlier copy may have opened the flow, and a reset would break it.
    bool const mayBeOpen = context.segment.acknowledgement != 0 || flows.find(context.hash) != nullptr;
    if (!routes.isConfigured() || mayBeOpen)
        return drop(context, dropped);
    notifyObserver(context, refused, {}, 0);
    codec.writeReset(context.segment, resetBuffer);
    ++outcomes[static_cast<std::size_t>(refused)];
    return { { context.segment.source.address, options.callerPort }, std::span<std::byte const>(resetBuffer).first(codec.headerBytes()), {} };
}

PacketVerdict EntryRelay::State::processOpening(SegmentContext const& context) noexcept
{
    TargetGroup* const service = serviceOf(context);
    if (service == nullptr)
        return refuse(context, EntryRelayOutcome::RefusedNoRoute, EntryRelayOutcome::DroppedNoRoute);
    searches.forget(context.hash);
    FlowRecord* record = flows.find(context.hash);
    EntryRefusal const refusal = resources.isActive() && record == nullptr && context.segment.acknowledgement == 0 ? resources.admission().decide(context.segment.destination) : EntryRefusal::None;
    if (refusal != EntryRefusal::None)
        return refuse(context, refusal == EntryRefusal::Link ? EntryRelayOutcome::RefusedLink : EntryRelayOutcome::RefusedProcessor, EntryRelayOutcome::DroppedNoRoute);
    RelayRoute route;
    route.serviceHash = service->hash;
    route.latencyLimitTenthMs = routes.latencyLimit(context.segment.destination, context.now);
    route.mayBeOpen = context.segment.acknowledgement != 0 || record != nullptr || context.waited >= originalLifetime;
    std::array<Endpoint, 2> const asked { record != nullptr ? record->owner : Endpoint {}, record != nullptr ? record->previousOwner : Endpoint {} };
    RemoteReason const reason = directory.chooseTargets(*service, asked, context.now, route, requestSizes.meanBytes(context.segment.destination));
    if (route.candidateCount == 0 && TargetDirectory::isWhollyEvacuated(*service))
        return refuse(context, EntryRelayOutcome::RefusedEvacuated, EntryRelayOutcome::DroppedEvacuated);
    if (route.candidateCount == 0)
        return service->targets.empty() ? drop(context, EntryRelayOutcome::DroppedNoTarget) : refuse(context, EntryRelayOutcome::RefusedNoTarget, EntryRelayOutcome::DroppedNoTarget);
    bool const isCopy = record != nullptr;
    Endpoint const chosen = route.candidates.front().agent;
    if (!isCopy)
        requestSizes.recordFlow(context.segment.destination);
    if (!isCopy)
        record = insertFlow(context.hash, { context.segment.source, context.segment.destination }, context.now);
    if (record != nullptr) {
        record->isTimed = !isCopy && context.segment.acknowledgement == 0;
        if (isCopy && record->owner != chosen)
            record->previousOwner = record->owner;
        record->owner = chosen;
        record->service = service->hash;
        record->isConfirmed = false;
        record->isInUse = false;
        record->isReturnable = !route.mayBeOpen;
        record->returns = 0;
        record->last = context.now;
    }
    return forward(context, route, isCopy ? EntryRelayOutcome::ForwardedRetransmission : EntryRelayOutcome::ForwardedOpening, remoteReasonName(reason));
}

FlowRecord* EntryRelay::State::insertFlow(std::uint64_t hash, RelayFlow const& flow, TimePoint now)
{
    FlowRecord* const record = flows.insert(hash);
    if (record == nullptr || record->flow.caller.isSet())
        return record;
    record->flow = flow;
    record->opened = now;
    return record;
}

PacketVerdict EntryRelay::State::processLater(SegmentContext const& context) noexcept
{
    FlowRecord* const record = flows.find(context.hash);
    if (record == nullptr)
        return search(context);
    record->last = context.now;
    record->isReturnable = false;
    record->isInUse = true;
    requestSizes.recordSegment(context.segment.destination, context.datagram.size());
    RelayRoute route;
    TargetGroup const* service = directory.findServiceOf(record->owner);
    bool const isListed = service != nullptr;
    bool const isUsable = isListed || (record->service != ServiceHash {} && mayUseUnlistedOwner(*record, context.now));
    if (!isUsable) {
        flows.erase(*record);
        return search(context);
    }
    route.serviceHash = isListed ? service->hash : record->service;
    // In the mode of a search, the owner sends a notice for each segment.
    route.searchMode = isListed ? RelaySearchMode::OwnerKnown : RelaySearchMode::Start;
    route.candidates[route.candidateCount++] = { record->owner, 0 };
    if (!record->isConfirmed && record->previousOwner.isSet())
        route.candidates[route.candidateCount++] = { record->previousOwner, 0 };
    return forward(context, route, EntryRelayOutcome::ForwardedToOwner);
}

bool EntryRelay::State::mayUseUnlistedOwner(FlowRecord& record, TimePoint now) noexcept
{
    if (!record.isUnlisted)
        return false;
    if (record.unanswered == TimePoint {})
        record.unanswered = now;
    return now - record.unanswered <= unlistedOwnerTimeout;
}

PacketVerdict EntryRelay::State::search(SegmentContext const& context)
{
    std::span<TargetGroup const* const> const services = routes.findServices(context.segment.destination);
    if (services.empty())
        return drop(context, EntryRelayOutcome::DroppedNoRoute);
    // An address whose shares are all 0 takes no new flows and keeps the open ones.
    TargetGroup const* const newest = serviceOf(context);
    TargetGroup const* const service = newest != nullptr ? newest : services.front();
    SearchStep const step = searches.advance({ service, services }, context.segment, context.datagram, context.hash, context.now);
    if (step.isLost) {
        resetLostFlow(context);
        return {};
    }
    if (!step.agent.isSet())
        return drop(context, EntryRelayOutcome::DroppedNoTarget);
    RelayRoute route;
    route.serviceHash = service->hash;
    route.searchMode = step.isStart ? RelaySearchMode::Start : RelaySearchMode::FollowOnly;
    route.candidates[route.candidateCount++] = { step.agent, 0 };
    return forward(context, route, EntryRelayOutcome::ForwardedForSearch);
}

void EntryRelay::State::processNotFound(Endpoint from, ServiceHash service, RelayFlow const& flow, TimePoint now)
{
    std::uint64_t const hash = hashRelayFlow(flow);
    searches.processNotFound(from, service, hash, now);
    FlowRecord* const record = flows.find(hash);
    if (record == nullptr)
        return;
    if (record->owner != from) {
        notifyOwnerReport("report_ignored", flow, from);
        return;
    }
    notifyOwnerReport("owner_refuted", flow, from);
    // The flow may be open at the target that was offered an earlier copy of the opening segment; otherwise the
    // caller's next segment starts a search.
    bool const mayBeAtPrevious = record->previousOwner.isSet() && record->previousOwner != from;
    if (mayBeAtPrevious)
        record->owner = std::exchange(record->previousOwner, {});
    else
        flows.erase(*record);
}

void EntryRelay::State::resetLostFlows(TimePoint now, std::uint32_t nowSeconds)
{
    for (LostFlow const& lost : searches.takeLostFlows())
        resetLostFlow({ {}, lost.segment, lost.hash, now, nowSeconds, {}, {} });
}

void EntryRelay::State::resetLostFlow(SegmentContext const& context) noexcept
{
    if (context.segment.isReset)
        return;
    sendReset(context, EntryRelayOutcome::ResetLostFlow);
}

void EntryRelay::State::sendReset(SegmentContext const& context, EntryRelayOutcome outcome) noexcept
{
    notifyObserver(context, outcome, {}, 0);
    ++outcomes[static_cast<std::size_t>(outcome)];
    codec.writeReset(context.segment, resetBuffer);
    sender.send({ context.segment.source.address, options.callerPort }, std::span<std::byte const>(resetBuffer).first(codec.headerBytes()));
}

PacketVerdict EntryRelay::State::processCallerDatagram(std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds, Duration maximumWait) noexcept
{
    std::optional<Segment> const segment = codec.decode(datagram);
    if (!segment || segment->isReturned)
        return countOutcome(EntryRelayOutcome::DroppedMalformed);
    SegmentContext const context { datagram, *segment, hashRelayFlow({ segment->source, segment->destination }), now, nowSeconds, maximumWait, {} };
    if (!segment->isOpenRequest())
        return processLater(context);
    if (maximumWait >= openingLifetime(segment->acknowledgement))
        return drop(context, EntryRelayOutcome::DroppedStaleOpening);
    return processOpening(context);
}

} // namespace plantaindrift
