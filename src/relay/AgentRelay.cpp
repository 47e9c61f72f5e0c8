#include "plantaindrift/relay/AgentRelay.h"

#include "balancing/TargetCost.h"
#include "plantaindrift/base/Hash.h"
#include "relay/AgentRelayState.h"
#include "relay/RelayTimes.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

namespace plantaindrift {

namespace {

    constexpr std::array<std::string_view, agentRelayOutcomeCount> outcomeNames {
        "admitted", "delivered", "tried", "passed_first", "passed_known", "searched",
        "answered", "refused", "refused_late", "reset", "dropped_service", "dropped_unknown", "dropped_late", "dropped_malformed", "dropped_stale", "returned"
    };

    // Entries renew owner records every 20 s.
    constexpr std::chrono::seconds ownerRecordLifetime { 50 };

    // For this long after a start, entries take the restart of most machines of a service for a power loss.
    constexpr std::chrono::seconds restartPeriod { 10 };

    // A target returns a segment within milliseconds.
    constexpr std::uint32_t unresponsiveDeliveries = 3;
    constexpr std::chrono::milliseconds unresponsiveTimeout { 500 };

} // namespace

std::string_view agentRelayOutcomeName(AgentRelayOutcome outcome) noexcept
{
    return outcomeNames[static_cast<std::size_t>(outcome)];
}

AgentRelay::State::State(AgentRelayOptions const& given, SegmentCodec const& segmentCodec, RelaySender& messageSender, RelayObserver& decisionObserver, TimePoint now)
    : options(given)
    , codec(segmentCodec)
    , sender(messageSender)
    , observer(decisionObserver)
    , service(hashService(given.serviceName))
    , started(now)
    , flows(given.maximumFlows)
{
}

bool AgentRelay::State::isAccepting() const noexcept
{
    bool const isAdmissionPaused = currentTime < admissionPausedUntil || (!target.isAnnounced && hasReturnedOpening);
    return target.isAccepting && !isEvacuated && !isStopping && !isAdmissionPaused && flows.size() < target.maximumConnections;
}

bool AgentRelay::State::isTargetUnresponsive(TimePoint now) const noexcept
{
    return !target.isAnnounced && unansweredDeliveries >= unresponsiveDeliveries && now - firstUnanswered >= unresponsiveTimeout;
}

TargetLoad AgentRelay::State::load() const noexcept
{
    TargetLoad load;
    load.isAccepting = isAccepting();
    load.slots = std::max<std::uint16_t>(target.slots, 1);
    load.activeRequests = static_cast<std::uint16_t>(std::min<std::size_t>(flows.requests().busy(), std::numeric_limits<std::uint16_t>::max()));
    load.openFlows = static_cast<std::uint16_t>(std::min<std::size_t>(flows.openCount(), std::numeric_limits<std::uint16_t>::max()));
    load.serviceTimeTenthMs = flows.requests().serviceTimeTenthMs();
    load.failedPercent = flows.requests().failedPercent();
    load.flowLoadMilli = flows.requests().flowLoadMilli();
    load.answerUnits = flows.requests().answerUnits();
    // Queries reach a running agent, so that only its last report has to say this.
    load.hasEnded = isStopping && (target.hasLeft || isTargetUnresponsive(currentTime));
    load.isLongRunning = currentTime - started >= restartPeriod;
    load.uptimeSteps = static_cast<std::uint8_t>(std::clamp<std::int64_t>((currentTime - started) / agentUptimeStep, 0, maximumUptimeSteps));
    load.isMachineRestarted = (target.isStartObserved || target.hasStartedWithAgent) && !load.isLongRunning;
    load.isWithdrawn = target.isAnnounced && !target.isAccepting;
    load.isAssumed = !target.isAnnounced;
    load.coldAllowance = isCold() ? coldLimit.allowance() : std::uint16_t { 0 };
    return load;
}

PacketVerdict AgentRelay::State::countOutcome(AgentRelayOutcome outcome) noexcept
{
    ++outcomes[static_cast<std::size_t>(outcome)];
    return {};
}

void AgentRelay::State::notifyObserver(SegmentContext const& context, AgentRelayOutcome outcome, Endpoint to) noexcept
{
    bool const isFrequent = outcome == AgentRelayOutcome::ForwardedUnverified || outcome == AgentRelayOutcome::DroppedUnknownFlow;
    bool const isForAllAgents = context.route.searchMode == RelaySearchMode::ReportOnly || context.route.searchMode == RelaySearchMode::RecordedOwner;
    if (isForAllAgents && isFrequent)
        return;
    RelayDecision decision;
    decision.outcome = agentRelayOutcomeName(outcome);
    decision.flow = context.flow;
    decision.openAttempt = context.segment.isOpenRequest() ? context.segment.acknowledgement : 0;
    decision.destination = to;
    decision.hops = context.route.hops;
    decision.load = load();
    decision.costTenthMs = targetCost(decision.load, 0);
    if (context.segment.isOpenRequest())
        decision.reason = openingReasonName(context.openingReason);
    observer.onDecision(decision);
}

PacketVerdict AgentRelay::State::drop(SegmentContext const& context, AgentRelayOutcome outcome) noexcept
{
    notifyObserver(context, outcome, {});
    return countOutcome(outcome);
}

// ---- messages ----

void AgentRelay::State::renewSubscription(Endpoint from, std::chrono::milliseconds interval, TimePoint now, std::uint32_t nowSeconds)
{
    if (subscribers.renew(from, interval, now))
        sendLoadReport(from, nowSeconds);
}

void AgentRelay::State::sendLoadReport(Endpoint to, std::uint32_t nowSeconds) noexcept
{
    std::array<std::byte, maximumRelayHeaderBytes> message;
    std::size_t const bytes = writeRelayLoadReport(service, load(), { options.keys, nowSeconds }, message);
    sender.send(to, std::span<std::byte const>(message).first(bytes));
}

void AgentRelay::State::sendLoadReportToAll(TimePoint now, std::uint32_t nowSeconds) noexcept
{
    for (Endpoint const entry : subscribers.collectAll(now))
        sendLoadReport(entry, nowSeconds);
}

void AgentRelay::State::recordOwners(DecodedRelayMessage const& decoded, TimePoint now)
{
    if (decoded.serviceHash != service)
        return;
    for (std::size_t index = 0; index < decoded.flowOwnerCount(); ++index) {
        OwnedFlow const owned = decoded.flowOwnerAt(index);
        ownerRecords.record(hashRelayFlow(owned.flow), owned.owner, now + ownerRecordLifetime);
    }
}

// ---- periodic steps ----

void AgentRelay::State::reportFirstAnnouncement(TimePoint now, std::uint32_t nowSeconds)
{
    if (!target.isAnnounced || std::exchange(wasAnnouncementReported, true))
        return;
    sendLoadReportToAll(now, nowSeconds);
}

void AgentRelay::State::sendDueLoadReports(TimePoint now, std::uint32_t nowSeconds)
{
    for (Endpoint const entry : subscribers.collectDue(now))
        sendLoadReport(entry, nowSeconds);
}

void AgentRelay::State::sweep(TimePoint now)
{
    constexpr std::chrono::seconds sweepInterval { 1 };
    if (now - lastSweep < sweepInterval)
        return;
    lastSweep = now;
    flows.sweep(now);
    ownerRecords.sweep(now);
}

AgentRelay::AgentRelay(AgentRelayOptions const& options, SegmentCodec const& codec, RelaySender& sender, RelayObserver& observer, TimePoint now)
    : state_(std::make_unique<State>(options, codec, sender, observer, now))
{
}

AgentRelay::~AgentRelay() = default;

void AgentRelay::setKeys(KeyRing const& keys)
{
    state_->options.keys = keys;
}

void AgentRelay::setView(ServiceView const& view)
{
    std::vector<State::Peer> peers;
    for (ViewTarget const& target : view.targets) {
        if (target.name != state_->options.targetName)
            peers.push_back({ hashText(target.name), target.data, target.dataCentre, target.draining, target.dead, false });
    }
    state_->peers = std::move(peers);
    state_->markEvacuatedPeers();
}

void AgentRelay::setEvacuations(EvacuationSet const& evacuations, TimePoint now)
{
    state_->currentTime = now;
    if (state_->isEvacuated && !evacuations.contains(state_->options.dataCentre))
        state_->evacuationEnd = now;
    state_->evacuations = evacuations;
    state_->isEvacuated = evacuations.contains(state_->options.dataCentre);
    state_->markEvacuatedPeers();
}

void AgentRelay::setColdRate(double requestsPerSecond)
{
    state_->coldLimit.setRate(requestsPerSecond);
}

void AgentRelay::setTargetState(TargetState const& target, TimePoint now)
{
    if (target.isAnnounced)
        state_->hasReturnedOpening = false;
    state_->target = target;
    state_->warmUpEnd = now + target.remainingWarmUp;
    state_->flows.requests().setWarmUpEnd(state_->warmUpEnd);
}

void AgentRelay::handleTargetReplacement(TimePoint started)
{
    state_->flows.markLostBefore(started);
}

void AgentRelay::stopAccepting(TimePoint now, std::uint32_t nowSeconds)
{
    state_->currentTime = now;
    state_->isStopping = true;
    state_->sendLoadReportToAll(now, nowSeconds);
}

PacketVerdict AgentRelay::processRelayDatagram(std::span<std::byte const> datagram, Endpoint from, TimePoint now, std::uint32_t nowSeconds, Duration maximumWait) noexcept
{
    state_->currentTime = now;
    DecodedRelayMessage const decoded = decodeRelayMessage(datagram, state_->options.keys, nowSeconds);
    if (decoded.error != DatagramError::None)
        return state_->countOutcome(AgentRelayOutcome::DroppedMalformed);
    if (decoded.kind == RelayMessageKind::LoadSubscription) {
        state_->renewSubscription(from, decoded.loadInterval, now, nowSeconds);
        return {};
    }
    if (decoded.kind == RelayMessageKind::FlowQuery) {
        if (decoded.serviceHash != state_->service)
            return state_->countOutcome(AgentRelayOutcome::DroppedWrongService);
        state_->replyToQuery(decoded, from, now, nowSeconds);
        return {};
    }
    if (decoded.kind == RelayMessageKind::FlowOwners) {
        state_->recordOwners(decoded, now);
        return {};
    }
    bool const isSearchRequest = decoded.kind == RelayMessageKind::SearchRequest;
    std::optional<Segment> const segment = isSearchRequest || decoded.kind == RelayMessageKind::Packet ? state_->codec.decode(decoded.segment) : std::nullopt;
    if (!segment || segment->isReturned)
        return state_->countOutcome(AgentRelayOutcome::DroppedMalformed);
    if (decoded.route.serviceHash != state_->service)
        return state_->countOutcome(AgentRelayOutcome::DroppedWrongService);
    RelayFlow const flow { segment->source, segment->destination };
    State::SegmentContext context { decoded.segment, *segment, flow, hashRelayFlow(flow), decoded.route, now, nowSeconds };
    if (isSearchRequest && state_->flows.find(context.hash) == nullptr)
        state_->forwardToAgents(context, decoded.searchedAgents());
    if (!segment->isOpenRequest())
        return state_->processLater(context);
    if (maximumWait >= openingLifetime(segment->acknowledgement))
        return state_->drop(context, AgentRelayOutcome::DroppedStaleOpening);
    context.waited = maximumWait;
    return state_->processOpening(context);
}

PacketVerdict AgentRelay::processTargetDatagram(std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds) noexcept
{
    state_->currentTime = now;
    std::optional<Segment> const segment = state_->codec.decode(datagram);
    if (!segment)
        return state_->countOutcome(AgentRelayOutcome::DroppedMalformed);
    state_->lastTargetSegment = now;
    state_->unansweredDeliveries = 0;
    RelayFlow const flow = segment->isReturned ? RelayFlow { segment->source, segment->destination } : RelayFlow { segment->destination, segment->source };
    State::SegmentContext context { datagram, *segment, flow, hashRelayFlow(flow), {}, now, nowSeconds };
    return segment->isReturned ? state_->processReturned(context) : state_->processAnswer(context);
}

void AgentRelay::tick(TimePoint now, std::uint32_t nowSeconds)
{
    state_->currentTime = now;
    state_->flows.requests().tick(now, state_->flows.openCount(), std::max<std::size_t>(state_->target.slots, 1));
    state_->reportFirstAnnouncement(now, nowSeconds);
    state_->sendDueLoadReports(now, nowSeconds);
    state_->sweep(now);
}

AgentRelay::TargetActivity AgentRelay::targetActivity(TimePoint now) const noexcept
{
    if (state_->isTargetUnresponsive(now))
        return TargetActivity::Unresponsive;
    bool const isRunning = state_->target.isAnnounced || state_->lastTargetSegment != TimePoint {};
    return isRunning ? TargetActivity::Running : TargetActivity::Unknown;
}

TargetLoad AgentRelay::load() const noexcept
{
    return state_->load();
}

std::array<std::uint64_t, agentRelayOutcomeCount> const& AgentRelay::outcomeCounts() const noexcept
{
    return state_->outcomes;
}

std::uint64_t AgentRelay::evacuatedOpeningCount() const noexcept
{
    std::uint64_t count = 0;
    for (std::array<std::uint64_t, openingReasonCount> const& counts : state_->openingCounts)
        count += counts[static_cast<std::size_t>(OpeningReason::Evacuated)];
    return count;
}

void AgentRelay::visitOpeningCounts(OpeningCountVisitor const& visit) const
{
    for (std::size_t action = 0; action < openingActionCount; ++action) {
        for (std::size_t reason = 0; reason < openingReasonCount; ++reason)
            visit(openingActionName(static_cast<OpeningAction>(action)), openingReasonName(static_cast<OpeningReason>(reason)), state_->openingCounts[action][reason]);
    }
}

LatencyHistogram const& AgentRelay::requestTimes() const noexcept
{
    return state_->flows.requests().times();
}

} // namespace plantaindrift
