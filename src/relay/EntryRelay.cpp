#include "plantaindrift/relay/EntryRelay.h"

#include "plantaindrift/base/Hash.h"
#include "relay/AddressRoutes.h"
#include "relay/HashTable.h"
#include "relay/OwnerSearch.h"
#include "relay/TargetCost.h"
#include "relay/TargetDirectory.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>
#include <vector>

namespace plantaindrift {

namespace {

    constexpr std::array<std::string_view, entryRelayOutcomeCount> outcomeNames {
        "first_forwarded", "copy_forwarded", "owner_forwarded", "search_forwarded", "refused_no_route",
        "refused_no_target", "reset_lost", "dropped_malformed", "dropped_no_route", "dropped_no_target"
    };

    // A caller keeps a flow open for at most 60 s without a packet.
    constexpr std::chrono::seconds flowIdleTimeout { 60 };

    // Agents reply to a search within milliseconds.
    constexpr std::chrono::milliseconds firstReplyTimeout { 30 };
    constexpr std::chrono::milliseconds searchRoundTimeout { 150 };

    // Maximum number of agents that an entry queries itself. Its link may be narrow: queries to all 43 agents of a
    // service for each of its flows fill 10 Mbit/s.
    constexpr std::size_t maximumDirectQueries = 4;

    constexpr std::size_t maximumSearches = 1024;

    // Gossip propagates a join to all entries within this time.
    constexpr std::chrono::milliseconds viewSettleDelay { 300 };

    // A running entry may lack a target whose record is delayed by the control budget, so it declares a flow lost only
    // after the search has lasted this long. A newly started entry has read the members from the store, and after a
    // power loss most searches are for lost flows.
    constexpr std::chrono::seconds startupPeriod { 10 };
    constexpr std::chrono::seconds minimumLostSearchTime { 3 };

    // For flows that end sooner, sending the owner to agents would cost more than a search.
    constexpr std::chrono::milliseconds minimumSharedFlowAge { 300 };
    constexpr std::chrono::seconds ownerShareInterval { 20 };

    // Number of highest-ranked agents for a flow that receive its owner.
    constexpr std::size_t ownerHolderCount = 2;

    // Number of ticks in which all flows are checked once.
    constexpr std::size_t ownerShareTicks = 5;

    struct FlowRecord {
        std::uint64_t hash { 0 };
        bool used { false };
        bool isConfirmed { false }; ///< the owner sent a notice
        Endpoint owner;
        Endpoint previousOwner; ///< previous target, which was offered an earlier copy of the opening segment
        RelayFlow flow;
        TimePoint opened;
        TimePoint last;
        TimePoint ownerSent; ///< time when the owner was last sent to agents
        std::uint32_t holders { 0 }; ///< hash of the agents that received the owner, and of the owner
    };

} // namespace

std::string_view entryRelayOutcomeName(EntryRelayOutcome outcome) noexcept
{
    return outcomeNames[static_cast<std::size_t>(outcome)];
}

struct EntryRelay::State {
    State(EntryRelayOptions const& given, SegmentCodec const& segmentCodec, RelaySender& messageSender, RelayObserver& decisionObserver)
        : options(given)
        , codec(segmentCodec)
        , sender(messageSender)
        , observer(decisionObserver)
        , directory(given.dataCentre, given.randomSeed)
        , flows(given.maximumFlows)
    {
    }

    /// A segment being processed.
    struct SegmentContext {
        std::span<std::byte const> datagram;
        Segment segment;
        std::uint64_t hash { 0 };
        TimePoint now;
        std::uint32_t nowSeconds { 0 };
    };

    EntryRelayOptions options;
    SegmentCodec const& codec;
    RelaySender& sender;
    RelayObserver& observer;
    TargetDirectory directory;
    HashTable<FlowRecord> flows;
    HashTable<OwnerSearch> searches { maximumSearches }; ///< searches in progress
    LatencyHistogram foundTimes;
    LatencyHistogram lostTimes;
    AddressRoutes routes;
    std::array<std::uint64_t, entryRelayOutcomeCount> outcomes {};
    std::array<std::byte, maximumRelayHeaderBytes> header {};
    std::array<std::byte, 64> resetBuffer {};
    std::array<std::byte, maximumRelayMessageBytes + OwnerSearch::maximumKeptSegmentBytes> queryBuffer {};
    TimePoint firstTick;
    TimePoint lastSweep;
    bool viewsComplete { false };

    PacketVerdict countOutcome(EntryRelayOutcome outcome) noexcept
    {
        ++outcomes[static_cast<std::size_t>(outcome)];
        return {};
    }

    PacketVerdict drop(SegmentContext const& context, EntryRelayOutcome outcome) noexcept
    {
        notifyObserver(context, outcome, {}, 0);
        return countOutcome(outcome);
    }

    void notifyObserver(SegmentContext const& context, EntryRelayOutcome outcome, Endpoint to, double cost) noexcept
    {
        RelayDecision decision;
        decision.outcome = entryRelayOutcomeName(outcome);
        decision.flow = { context.segment.source, context.segment.destination };
        decision.openAttempt = context.segment.isOpenRequest() ? context.segment.acknowledgement : 0;
        decision.destination = to;
        decision.costTenthMs = cost;
        if (DirectoryTarget const* const target = directory.findTarget(to)) {
            decision.load = target->load;
            decision.loadAge = std::chrono::duration_cast<std::chrono::milliseconds>(context.now - target->lastReport);
        }
        observer.onDecision(decision);
    }

    // ---- choice ----

    [[nodiscard]] TargetGroup* serviceOf(SegmentContext const& context) const noexcept
    {
        return routes.findService(context.segment.destination, context.hash);
    }

    // ---- segments ----

    PacketVerdict forward(SegmentContext const& context, RelayRoute& route, EntryRelayOutcome outcome) noexcept
    {
        ++outcomes[static_cast<std::size_t>(outcome)];
        Endpoint const to = route.candidates.front().agent;
        if (outcome != EntryRelayOutcome::ForwardedToOwner)
            notifyObserver(context, outcome, to, route.candidates.front().costTenthMs);
        std::copy(route.candidates.begin() + 1, route.candidates.begin() + route.candidateCount, route.candidates.begin());
        --route.candidateCount;
        route.entry = options.ownEndpoint;
        std::size_t const bytes = writeRelayPacket(route, context.datagram, { options.keys, context.nowSeconds }, header);
        return { to, std::span<std::byte const>(header).first(bytes), context.datagram };
    }

    PacketVerdict refuse(SegmentContext const& context, EntryRelayOutcome refused, EntryRelayOutcome dropped) noexcept
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

    PacketVerdict processOpening(SegmentContext const& context) noexcept
    {
        TargetGroup* const service = serviceOf(context);
        if (service == nullptr)
            return refuse(context, EntryRelayOutcome::RefusedNoRoute, EntryRelayOutcome::DroppedNoRoute);
        FlowRecord* record = flows.find(context.hash);
        RelayRoute route;
        route.serviceHash = service->hash;
        route.latencyLimitTenthMs = routes.latencyLimit(context.segment.destination, context.now);
        std::array<Endpoint, 2> const asked { record != nullptr ? record->owner : Endpoint {}, record != nullptr ? record->previousOwner : Endpoint {} };
        directory.chooseTargets(*service, asked, context.now, route);
        if (route.candidateCount == 0)
            return service->targets.empty() ? drop(context, EntryRelayOutcome::DroppedNoTarget) : refuse(context, EntryRelayOutcome::RefusedNoTarget, EntryRelayOutcome::DroppedNoTarget);
        bool const isCopy = record != nullptr;
        Endpoint const chosen = route.candidates.front().agent;
        if (!isCopy)
            record = insertFlow(context.hash, { context.segment.source, context.segment.destination }, context.now);
        if (record != nullptr) {
            if (isCopy && record->owner != chosen)
                record->previousOwner = record->owner;
            record->owner = chosen;
            record->isConfirmed = false;
            record->last = context.now;
        }
        return forward(context, route, isCopy ? EntryRelayOutcome::ForwardedRetransmission : EntryRelayOutcome::ForwardedOpening);
    }

    /// Finds or adds a flow. \returns null if the table is full
    FlowRecord* insertFlow(std::uint64_t hash, RelayFlow const& flow, TimePoint now)
    {
        FlowRecord* const record = flows.insert(hash);
        if (record == nullptr || record->flow.caller.isSet())
            return record;
        record->flow = flow;
        record->opened = now;
        return record;
    }

    PacketVerdict processLater(SegmentContext const& context) noexcept
    {
        FlowRecord* const record = flows.find(context.hash);
        if (record == nullptr)
            return search(context);
        record->last = context.now;
        RelayRoute route;
        TargetGroup const* const service = directory.findServiceOf(record->owner);
        if (service == nullptr) {
            flows.erase(*record);
            return search(context);
        }
        route.serviceHash = service->hash;
        route.searchMode = RelaySearchMode::OwnerKnown;
        route.candidates[route.candidateCount++] = { record->owner, 0 };
        if (!record->isConfirmed && record->previousOwner.isSet())
            route.candidates[route.candidateCount++] = { record->previousOwner, 0 };
        return forward(context, route, EntryRelayOutcome::ForwardedToOwner);
    }

    /// Sends the segment to an agent that ranks high for the flow. Entries send the owners of flows to these agents;
    /// an agent that does not know the owner queries the other agents.
    PacketVerdict search(SegmentContext const& context)
    {
        TargetGroup* const service = serviceOf(context);
        if (service == nullptr)
            return drop(context, EntryRelayOutcome::DroppedNoRoute);
        OwnerSearch* search = searches.find(context.hash);
        bool const isNew = search == nullptr;
        if (isNew)
            search = searches.insert(context.hash);
        if (search == nullptr)
            return drop(context, EntryRelayOutcome::DroppedNoTarget);
        search->segment = context.segment;
        if (isNew)
            search->started = context.now;
        bool const isStart = isNew || context.now - search->asked >= searchRoundTimeout;
        if (isStart && !isNew)
            ++search->rank;
        if (isStart)
            search->begin(context.datagram, context.now);
        DirectoryTarget const* const target = directory.findRanked(*service, context.hash, search->rank, context.now);
        if (target == nullptr)
            return drop(context, EntryRelayOutcome::DroppedNoTarget);
        RelayRoute route;
        route.serviceHash = service->hash;
        route.searchMode = isStart ? RelaySearchMode::Start : RelaySearchMode::FollowOnly;
        route.candidates[route.candidateCount++] = { target->agent, 0 };
        return forward(context, route, EntryRelayOutcome::ForwardedForSearch);
    }

    /// The agent queried first may be dead, or may not know all other agents.
    void continueSearch(TargetGroup const& service, OwnerSearch& search, SegmentContext const& context)
    {
        search.isContinued = true;
        std::vector<Endpoint> const missing = search.missing(service);
        bool const isFirstAgentSilent = missing.size() > maximumDirectQueries;
        if (isFirstAgentSilent) {
            if (DirectoryTarget const* const next = directory.findRanked(service, context.hash, ++search.rank, context.now))
                sendSearchRequest(service, next->agent, missing, search, context.nowSeconds);
            return;
        }
        for (Endpoint const agent : missing)
            sendQuery(service, agent, search, context.nowSeconds);
    }

    /// Agents learn of new targets later than entries, so the request names the agents to query.
    void sendSearchRequest(TargetGroup const& service, Endpoint agent, std::span<Endpoint const> missing, OwnerSearch const& search, std::uint32_t nowSeconds) noexcept
    {
        std::span<std::byte const> const segment = search.keptSegment();
        sendWithSegment(agent, segment, writeRelaySearchRequest(service.hash, options.ownEndpoint, missing, segment, { options.keys, nowSeconds }, queryBuffer));
    }

    void sendQuery(TargetGroup const& service, Endpoint agent, OwnerSearch const& search, std::uint32_t nowSeconds) noexcept
    {
        std::span<std::byte const> const segment = search.keptSegment();
        RelayRoute route;
        route.serviceHash = service.hash;
        route.entry = options.ownEndpoint;
        route.searchMode = RelaySearchMode::ReportOnly;
        sendWithSegment(agent, segment, writeRelayPacket(route, segment, { options.keys, nowSeconds }, queryBuffer));
    }

    /// \param header  length of the header at the start of the probe buffer, before the segment
    void sendWithSegment(Endpoint to, std::span<std::byte const> segment, std::size_t header) noexcept
    {
        std::copy(segment.begin(), segment.end(), queryBuffer.begin() + static_cast<std::ptrdiff_t>(header));
        sender.send(to, std::span<std::byte const>(queryBuffer).first(header + segment.size()));
    }

    void processNotFound(Endpoint from, RelayFlow const& flow, TimePoint now, std::uint32_t nowSeconds)
    {
        std::uint64_t const hash = hashRelayFlow(flow);
        OwnerSearch* const search = searches.find(hash);
        TargetGroup const* const group = directory.findServiceOf(from);
        if (search == nullptr || group == nullptr)
            return;
        TargetGroup const& service = *group;
        SegmentContext const context { {}, search->segment, hash, now, nowSeconds };
        search->markNotFound(service, from);
        if (!isLost(service, *search, now))
            return;
        bool const isReset = search->segment.isReset;
        lostTimes.observe(now - search->started);
        searches.erase(*search);
        // A reset is sent even for a closing segment: without an answer, the caller retransmits it many times, and
        // each one starts a search. A caller that reset the flow itself needs none.
        if (!isReset)
            resetLostFlow(context);
    }

    /// True if no target of a complete view holds the flow.
    [[nodiscard]] bool isLost(TargetGroup const& service, OwnerSearch const& search, TimePoint now) const noexcept
    {
        bool const isViewSettled = viewsComplete && now - service.viewChanged >= viewSettleDelay;
        bool const isSearchLongEnough = now - firstTick < startupPeriod || now - search.started >= minimumLostSearchTime;
        return isViewSettled && isSearchLongEnough && search.isNotFoundEverywhere(service, directory.goneTimeout(), now);
    }

    void resetLostFlow(SegmentContext const& context) noexcept
    {
        notifyObserver(context, EntryRelayOutcome::ResetLostFlow, {}, 0);
        ++outcomes[static_cast<std::size_t>(EntryRelayOutcome::ResetLostFlow)];
        codec.writeReset(context.segment, resetBuffer);
        sender.send({ context.segment.source.address, options.callerPort }, std::span<std::byte const>(resetBuffer).first(codec.headerBytes()));
    }

    // ---- messages of agents ----

    void recordOwner(Endpoint from, RelayFlow const& flow, TimePoint now)
    {
        std::uint64_t const hash = hashRelayFlow(flow);
        if (OwnerSearch* const search = searches.find(hash)) {
            foundTimes.observe(now - search->started);
            searches.erase(*search);
        }
        FlowRecord* const record = insertFlow(hash, flow, now);
        if (record == nullptr)
            return;
        if (record->owner.isSet() && record->owner != from)
            record->previousOwner = record->owner;
        record->owner = from;
        record->last = now;
        record->isConfirmed = true;
    }

    // ---- periodic steps ----

    void subscribe(TimePoint now, std::uint32_t nowSeconds)
    {
        std::array<std::byte, maximumRelayHeaderBytes> message;
        std::size_t const bytes = writeRelayLoadSubscription(directory.loadInterval(), { options.keys, nowSeconds }, message);
        for (Endpoint const agent : directory.collectDueSubscriptions(now))
            sender.send(agent, std::span<std::byte const>(message).first(bytes));
    }

    void continueSearches(TimePoint now, std::uint32_t nowSeconds)
    {
        searches.forEach([this, now, nowSeconds](OwnerSearch& search) {
            bool const isDue = !search.isContinued && !search.keptSegment().empty() && now - search.asked >= firstReplyTimeout;
            if (!isDue)
                return;
            SegmentContext const context { {}, search.segment, search.hash, now, nowSeconds };
            if (TargetGroup const* const service = serviceOf(context))
                continueSearch(*service, search, context);
        });
    }

    /// Sends owners of flows to agents, so that another entry finds an owner at once.
    void sendFlowOwners(TimePoint now, std::uint32_t nowSeconds)
    {
        Batches batches;
        flows.visitNextPart(ownerShareTicks, [&](FlowRecord& record) {
            bool const isShared = record.isConfirmed && now - record.opened >= minimumSharedFlowAge && now - record.last < ownerShareInterval;
            if (isShared)
                addFlowOwners(record, now, batches);
        });
        for (Batches::value_type const& batch : batches)
            sendBatch(batch.first, batch.second, nowSeconds);
    }

    using Batches = std::map<Endpoint, std::vector<OwnedFlow>>; ///< by receiving agent

    void addFlowOwners(FlowRecord& record, TimePoint now, Batches& batches)
    {
        TargetGroup const* const group = directory.findServiceOf(record.owner);
        if (group == nullptr)
            return;
        std::array<std::pair<std::uint64_t, Endpoint>, ownerHolderCount> holders {};
        for (DirectoryTarget const& target : group->targets) {
            std::pair<std::uint64_t, Endpoint> holder { rankScore(target.nameHash, record.hash), target.agent };
            // An entry that does not know the owner yet queries the next one.
            if (target.dead || target.agent == record.owner)
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
                batches[holder.second].push_back({ record.flow, record.owner });
        }
    }

    void sendBatch(Endpoint to, std::span<OwnedFlow const> owned, std::uint32_t nowSeconds)
    {
        ServiceHash const service = directory.findServiceOf(to)->hash;
        std::array<std::byte, maximumRelayMessageBytes> message;
        while (!owned.empty()) {
            std::size_t const named = std::min(owned.size(), maximumFlowOwners);
            std::size_t const bytes = writeRelayFlowOwners(service, owned.first(named), { options.keys, nowSeconds }, message);
            sender.send(to, std::span<std::byte const>(message).first(bytes));
            owned = owned.subspan(named);
        }
    }

    void sweep(TimePoint now)
    {
        constexpr std::chrono::seconds sweepInterval { 5 };
        if (now - lastSweep < sweepInterval)
            return;
        lastSweep = now;
        flows.eraseIf([now](FlowRecord const& record) { return now - record.last > flowIdleTimeout; });
        searches.eraseIf([now, sweepInterval](OwnerSearch const& search) { return now - search.asked > sweepInterval; });
    }
};

EntryRelay::EntryRelay(EntryRelayOptions const& options, SegmentCodec const& codec, RelaySender& sender, RelayObserver& observer)
    : state_(std::make_unique<State>(options, codec, sender, observer))
{
}

EntryRelay::~EntryRelay() = default;

void EntryRelay::setConfiguration(Configuration const& configuration, TimePoint now)
{
    state_->routes.set(configuration, state_->directory, now);
}

void EntryRelay::setView(ServiceView const& view, TimePoint now)
{
    state_->directory.setView(view, now);
    // Searches in progress refer to targets by their old indices.
    state_->searches.forEach([](OwnerSearch& search) { search.clearReplies(); });
}

void EntryRelay::setViewsComplete(bool complete) noexcept
{
    state_->viewsComplete = complete;
}

void EntryRelay::setKeys(KeyRing const& keys)
{
    state_->options.keys = keys;
}

PacketVerdict EntryRelay::processCallerDatagram(std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds) noexcept
{
    std::optional<Segment> const segment = state_->codec.decode(datagram);
    if (!segment || segment->isReturned)
        return state_->countOutcome(EntryRelayOutcome::DroppedMalformed);
    State::SegmentContext const context { datagram, *segment, hashRelayFlow({ segment->source, segment->destination }), now, nowSeconds };
    return segment->isOpenRequest() ? state_->processOpening(context) : state_->processLater(context);
}

bool EntryRelay::processAgentMessage(Endpoint from, std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds) noexcept
{
    DecodedRelayMessage const decoded = decodeRelayMessage(datagram, state_->options.keys, nowSeconds);
    if (decoded.error == DatagramError::None && decoded.kind == RelayMessageKind::FlowNotFound) {
        state_->processNotFound(from, decoded.flow, now, nowSeconds);
        return true;
    }
    bool const isKnown = decoded.kind == RelayMessageKind::OwnerNotice || decoded.kind == RelayMessageKind::LoadReport;
    if (decoded.error != DatagramError::None || !isKnown)
        return false;
    state_->directory.recordLoad(from, decoded.load, now);
    if (decoded.kind == RelayMessageKind::OwnerNotice)
        state_->recordOwner(from, decoded.flow, now);
    return true;
}

void EntryRelay::tick(TimePoint now, std::uint32_t nowSeconds)
{
    if (state_->firstTick == TimePoint {})
        state_->firstTick = now;
    state_->subscribe(now, nowSeconds);
    state_->continueSearches(now, nowSeconds);
    state_->sendFlowOwners(now, nowSeconds);
    state_->sweep(now);
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

LatencyHistogram const& EntryRelay::successfulSearchTimes() const noexcept
{
    return state_->foundTimes;
}

LatencyHistogram const& EntryRelay::failedSearchTimes() const noexcept
{
    return state_->lostTimes;
}

} // namespace plantaindrift
