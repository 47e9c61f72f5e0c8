#include "plantaindrift/relay/EntryRelay.h"

#include "plantaindrift/base/Hash.h"
#include "relay/EntryRelayState.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace plantaindrift {

namespace {

    constexpr std::array<std::string_view, entryRelayOutcomeCount> outcomeNames {
        "first_forwarded", "copy_forwarded", "owner_forwarded", "search_forwarded", "refused_no_route",
        "refused_no_target", "reset_lost", "dropped_malformed", "dropped_no_route", "dropped_no_target", "dropped_stale",
        "refused_evacuated", "dropped_evacuated", "offered_again", "refused_no_room", "dropped_returned", "refused_link", "refused_processor"
    };

    // Separates the query numbers from other uses of the random seed.
    constexpr std::uint64_t querySeed = 0x71756572;

} // namespace

std::string_view entryRelayOutcomeName(EntryRelayOutcome outcome) noexcept
{
    return outcomeNames[static_cast<std::size_t>(outcome)];
}

EntryRelay::State::State(EntryRelayOptions const& given, SegmentCodec const& segmentCodec, RelaySender& messageSender, RelayObserver& decisionObserver)
    : options(given)
    , codec(segmentCodec)
    , sender(messageSender)
    , resources(given.resources, entryNameHash(given.name), given.randomSeed, sender)
    , observer(decisionObserver)
    , directory(given.dataCentre, given.randomSeed, given.remote)
    , searches(given.ownEndpoint, static_cast<std::uint32_t>(mixHash(given.randomSeed, querySeed)), directory, sender, decisionObserver)
    , flows(given.maximumFlows)
{
    sender.setLink(resources.link());
}

PacketVerdict EntryRelay::State::countOutcome(EntryRelayOutcome outcome) noexcept
{
    ++outcomes[static_cast<std::size_t>(outcome)];
    return {};
}

PacketVerdict EntryRelay::State::drop(SegmentContext const& context, EntryRelayOutcome outcome) noexcept
{
    notifyObserver(context, outcome, {}, 0);
    return countOutcome(outcome);
}

void EntryRelay::State::notifyObserver(SegmentContext const& context, EntryRelayOutcome outcome, Endpoint to, double cost, std::string_view reason) noexcept
{
    RelayDecision decision;
    decision.outcome = entryRelayOutcomeName(outcome);
    decision.flow = { context.segment.source, context.segment.destination };
    decision.openAttempt = context.segment.isOpenRequest() ? context.segment.acknowledgement : 0;
    decision.reason = reason.empty() ? context.reason : reason;
    decision.destination = to;
    decision.costTenthMs = cost;
    if (DirectoryTarget const* const target = directory.findTarget(to)) {
        decision.load = target->load;
        decision.loadAge = std::chrono::duration_cast<std::chrono::milliseconds>(context.now - target->lastReport);
    }
    observer.onDecision(decision);
}

void EntryRelay::State::notifyOwnerReport(std::string_view outcome, RelayFlow const& flow, Endpoint agent) noexcept
{
    RelayDecision decision;
    decision.outcome = outcome;
    decision.flow = flow;
    decision.destination = agent;
    if (DirectoryTarget const* const target = directory.findTarget(agent))
        decision.load = target->load;
    observer.onDecision(decision);
}

EntryRelay::EntryRelay(EntryRelayOptions const& options, SegmentCodec const& codec, RelaySender& sender, RelayObserver& observer)
    : state_(std::make_unique<State>(options, codec, sender, observer))
{
}

EntryRelay::~EntryRelay() = default;

void EntryRelay::setConfiguration(Configuration const& configuration, TimePoint now)
{
    state_->routes.set(configuration, state_->directory, now);
    state_->resources.setConfiguration(configuration);
}

void EntryRelay::setView(ServiceView const& view, TimePoint now)
{
    std::vector<std::uint32_t> const newIndices = state_->directory.setView(view, now);
    state_->searches.renumberTargets(state_->directory.findOrAddService(view.service), newIndices);
}

void EntryRelay::setEvacuations(EvacuationSet const& evacuations, TimePoint now)
{
    if (state_->directory.setEvacuations(evacuations))
        state_->evacuationChanged = now;
}

void EntryRelay::setViewsComplete(bool complete) noexcept
{
    state_->searches.verdict().setViewsComplete(complete);
}

void EntryRelay::requireMemberRead() noexcept
{
    state_->searches.verdict().requireMemberRead();
}

bool EntryRelay::needsMemberRead() const noexcept
{
    return state_->searches.verdict().needsMemberRead();
}

void EntryRelay::recordMemberRead(TimePoint started) noexcept
{
    state_->searches.verdict().recordMemberRead(started);
}

void EntryRelay::setKeys(KeyRing const& keys)
{
    state_->options.keys = keys;
}

PacketVerdict EntryRelay::processCallerDatagram(std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds, Duration maximumWait) noexcept
{
    state_->beginTurn(now);
    LinkBudget& link = state_->resources.link();
    link.recordReceived(datagram.size());
    PacketVerdict const verdict = state_->processCallerDatagram(datagram, now, nowSeconds, maximumWait);
    if (verdict.to.isSet() && !verdict.isBulk)
        link.recordSent(verdict.header.size() + verdict.payload.size(), now);
    return verdict;
}

bool EntryRelay::processAgentMessage(Endpoint from, std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds) noexcept
{
    state_->beginTurn(now);
    state_->resources.link().recordReceived(datagram.size());
    DecodedRelayMessage const decoded = decodeRelayMessage(datagram, state_->options.keys, nowSeconds);
    if (decoded.error != DatagramError::None)
        return false;
    bool const isExpected = state_->processDecodedMessage(from, decoded, now, nowSeconds);
    for (Endpoint const agent : state_->directory.takeFirstReports())
        state_->searches.recordFirstReport(agent);
    state_->searches.sendQueries(now, { state_->options.keys, nowSeconds });
    state_->resetLostFlows(now, nowSeconds);
    return isExpected;
}

void EntryRelay::tick(TimePoint now, std::uint32_t nowSeconds)
{
    state_->beginTurn(now);
    state_->resources.tick(canServe(), now, { state_->options.keys, nowSeconds });
    state_->directory.tick(now);
    state_->subscribe(now, nowSeconds);
    state_->searches.tick(now, { state_->options.keys, nowSeconds });
    state_->resetLostFlows(now, nowSeconds);
    state_->sendFlowOwners(now, nowSeconds);
    state_->sweep(now);
}

void EntryRelay::setEntryPeers(std::vector<EntryPeer> peers)
{
    state_->resources.setPeers(std::move(peers));
}

void EntryRelay::recordProcess(Duration used, Duration lateness, TimePoint now) noexcept
{
    state_->resources.recordProcess(used, lateness, now);
}

bool EntryRelay::shouldLeaveRotation() const noexcept
{
    return state_->resources.shouldLeaveRotation();
}

BulkAction EntryRelay::decideBulk(std::size_t bytes, TimePoint now) noexcept
{
    return state_->resources.decideBulk(bytes, now);
}

BulkAction EntryRelay::releaseBulk(std::size_t bytes, Duration waited, TimePoint now) noexcept
{
    return state_->resources.releaseBulk(bytes, waited, now);
}

EntryResourceReport EntryRelay::resourceReport(TimePoint now) const noexcept
{
    return state_->resources.report(now);
}

bool EntryRelay::canServe() const noexcept
{
    return !state_->routes.empty() && state_->directory.hasLiveTarget();
}

std::array<std::uint64_t, entryRelayOutcomeCount> const& EntryRelay::outcomeCounts() const noexcept
{
    return state_->outcomes;
}

std::size_t EntryRelay::flowCount() const noexcept
{
    return state_->flows.size();
}

void EntryRelay::visitReturnCounts(ReturnCountVisitor const& visit) const
{
    for (std::pair<EntryRelayOutcome const, std::array<std::uint64_t, openingReasonCount>> const& counts : state_->returnCounts) {
        for (std::size_t reason = 0; reason < openingReasonCount; ++reason)
            visit(counts.first, openingReasonName(static_cast<OpeningReason>(reason)), counts.second[reason]);
    }
}

std::uint64_t EntryRelay::evacuatedFlowCount() const noexcept
{
    return state_->evacuatedFlows;
}

std::vector<SiteCounts> EntryRelay::siteCounts(TimePoint now) const
{
    return state_->directory.siteCounts(now);
}

std::uint64_t EntryRelay::searchMessageCount() const noexcept
{
    return state_->searches.messageCount();
}

std::uint64_t EntryRelay::widenedSearchCount() const noexcept
{
    return state_->searches.widenedCount();
}

LatencyHistogram const& EntryRelay::successfulSearchTimes() const noexcept
{
    return state_->searches.successfulTimes();
}

LatencyHistogram const& EntryRelay::failedSearchTimes() const noexcept
{
    return state_->searches.failedTimes();
}

} // namespace plantaindrift
