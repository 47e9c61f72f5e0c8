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
    constexpr std::chrono::seconds flowIdle { 60 };

    // Agents answer a search within milliseconds.
    constexpr std::chrono::milliseconds firstAnswerTime { 30 };
    constexpr std::chrono::milliseconds searchTime { 150 };

    // Agents that an entry asks itself; its link may be narrow, and a search of all 43 agents of a service over it by each
    // of its flows fills 10 Mbit/s.
    constexpr std::size_t mostProbes = 4;

    constexpr std::size_t mostSearches = 1024;

    // Gossip carries a join to all entries within this time.
    constexpr std::chrono::milliseconds viewSettleTime { 300 };

    // An entry that has been up for a while may lack a target whose record still waits for the control budget, so that it
    // tells a caller of a lost flow only when the search has lasted for this long. One that has just started has read the
    // members from the store, and after a loss of power most searches are for lost flows.
    constexpr std::chrono::seconds freshTime { 10 };
    constexpr std::chrono::seconds longSearch { 3 };

    // Redirects of flows that end sooner would cost more than a search.
    constexpr std::chrono::milliseconds redirectAge { 300 };
    constexpr std::chrono::seconds redirectRenewal { 20 };

    // Agents that rank first for a flow and hold a redirect to its owner.
    constexpr std::size_t redirectHolders = 2;

    // Ticks in which all flows are looked at once.
    constexpr std::size_t redirectTicks = 5;

    struct FlowRecord {
        std::uint64_t hash { 0 };
        bool used { false };
        bool confirmed { false }; ///< the owner said so
        Endpoint owner;
        Endpoint alternate; ///< was offered an earlier copy
        RelayFlow flow;
        TimePoint opened;
        TimePoint last;
        TimePoint redirected; ///< agents were told of the owner
        std::uint32_t holders { 0 }; ///< hash of these agents
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

    /// One segment on its way through the filters.
    struct Work {
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
    HashTable<OwnerSearch> searches { mostSearches }; ///< under way
    LatencyHistogram foundTimes;
    LatencyHistogram lostTimes;
    AddressRoutes routes;
    std::array<std::uint64_t, entryRelayOutcomeCount> outcomes {};
    std::array<std::byte, maximumRelayHeaderBytes> header {};
    std::array<std::byte, 64> reset {};
    std::array<std::byte, maximumRelayMessageBytes + OwnerSearch::keptSegmentBytes> probe {};
    TimePoint firstTick;
    TimePoint lastSweep;
    bool viewsComplete { false };

    PacketVerdict count(EntryRelayOutcome outcome) noexcept
    {
        ++outcomes[static_cast<std::size_t>(outcome)];
        return {};
    }

    PacketVerdict drop(Work const& work, EntryRelayOutcome outcome) noexcept
    {
        tell(work, outcome, {}, 0);
        return count(outcome);
    }

    void tell(Work const& work, EntryRelayOutcome outcome, Endpoint to, double cost) noexcept
    {
        RelayDecision decision;
        decision.outcome = entryRelayOutcomeName(outcome);
        decision.flow = { work.segment.source, work.segment.destination };
        decision.openAttempt = work.segment.isOpenRequest() ? work.segment.acknowledgement : 0;
        decision.destination = to;
        decision.costTenthMs = cost;
        if (DirectoryTarget const* const target = directory.findTarget(to)) {
            decision.load = target->load;
            decision.loadAge = std::chrono::duration_cast<std::chrono::milliseconds>(work.now - target->heard);
        }
        observer.onDecision(decision);
    }

    // ---- choice ----

    [[nodiscard]] TargetGroup* serviceOf(Work const& work) const noexcept
    {
        return routes.findService(work.segment.destination, work.hash);
    }

    // ---- segments ----

    PacketVerdict forward(Work const& work, RelayRoute& route, EntryRelayOutcome outcome) noexcept
    {
        ++outcomes[static_cast<std::size_t>(outcome)];
        Endpoint const to = route.candidates.front().agent;
        if (outcome != EntryRelayOutcome::ForwardedToOwner)
            tell(work, outcome, to, route.candidates.front().costTenthMs);
        std::copy(route.candidates.begin() + 1, route.candidates.begin() + route.candidateCount, route.candidates.begin());
        --route.candidateCount;
        route.entry = options.ownEndpoint;
        std::size_t const bytes = writeRelayPacket(route, work.datagram, { options.keys, work.nowSeconds }, header);
        return { to, std::span<std::byte const>(header).first(bytes), work.datagram };
    }

    PacketVerdict refuse(Work const& work, EntryRelayOutcome refused, EntryRelayOutcome dropped) noexcept
    {
        // An earlier copy may have opened the flow, which a reset would break.
        bool const mayBeOpen = work.segment.acknowledgement != 0 || flows.find(work.hash) != nullptr;
        if (!routes.isConfigured() || mayBeOpen)
            return drop(work, dropped);
        tell(work, refused, {}, 0);
        codec.writeReset(work.segment, reset);
        ++outcomes[static_cast<std::size_t>(refused)];
        return { { work.segment.source.address, options.callerPort }, std::span<std::byte const>(reset).first(codec.headerBytes()), {} };
    }

    PacketVerdict decideFirst(Work const& work) noexcept
    {
        TargetGroup* const service = serviceOf(work);
        if (service == nullptr)
            return refuse(work, EntryRelayOutcome::RefusedNoRoute, EntryRelayOutcome::DroppedNoRoute);
        FlowRecord* record = flows.find(work.hash);
        RelayRoute route;
        route.serviceHash = service->hash;
        route.latencyLimitTenthMs = routes.limitOf(work.segment.destination, work.now);
        std::array<Endpoint, 2> const asked { record != nullptr ? record->owner : Endpoint {}, record != nullptr ? record->alternate : Endpoint {} };
        directory.chooseTargets(*service, asked, work.now, route);
        if (route.candidateCount == 0)
            return service->targets.empty() ? drop(work, EntryRelayOutcome::DroppedNoTarget) : refuse(work, EntryRelayOutcome::RefusedNoTarget, EntryRelayOutcome::DroppedNoTarget);
        bool const isCopy = record != nullptr;
        Endpoint const chosen = route.candidates.front().agent;
        if (!isCopy)
            record = insertFlow(work.hash, { work.segment.source, work.segment.destination }, work.now);
        if (record != nullptr) {
            if (isCopy && record->owner != chosen)
                record->alternate = record->owner;
            record->owner = chosen;
            record->confirmed = false;
            record->last = work.now;
        }
        return forward(work, route, isCopy ? EntryRelayOutcome::ForwardedRetransmission : EntryRelayOutcome::ForwardedOpening);
    }

    /// Finds or adds a flow. \returns null if no more can be remembered
    FlowRecord* insertFlow(std::uint64_t hash, RelayFlow const& flow, TimePoint now)
    {
        FlowRecord* const record = flows.insert(hash);
        if (record == nullptr || record->flow.caller.isSet())
            return record;
        record->flow = flow;
        record->opened = now;
        return record;
    }

    PacketVerdict decideLater(Work const& work) noexcept
    {
        FlowRecord* const record = flows.find(work.hash);
        if (record == nullptr)
            return search(work);
        record->last = work.now;
        RelayRoute route;
        TargetGroup const* const service = directory.findServiceOf(record->owner);
        if (service == nullptr) {
            flows.erase(*record);
            return search(work);
        }
        route.serviceHash = service->hash;
        route.searchMode = RelaySearch::OwnerKnown;
        route.candidates[route.candidateCount++] = { record->owner, 0 };
        if (!record->confirmed && record->alternate.isSet())
            route.candidates[route.candidateCount++] = { record->alternate, 0 };
        return forward(work, route, EntryRelayOutcome::ForwardedToOwner);
    }

    /// Entries tell the agents that rank first for a flow who owns it. The first one asks the others if it was not told.
    PacketVerdict search(Work const& work)
    {
        TargetGroup* const service = serviceOf(work);
        if (service == nullptr)
            return drop(work, EntryRelayOutcome::DroppedNoRoute);
        OwnerSearch* search = searches.find(work.hash);
        bool const isNew = search == nullptr;
        if (isNew)
            search = searches.insert(work.hash);
        if (search == nullptr)
            return drop(work, EntryRelayOutcome::DroppedNoTarget);
        search->segment = work.segment;
        if (isNew)
            search->started = work.now;
        bool const isStart = isNew || work.now - search->asked >= searchTime;
        if (isStart && !isNew)
            ++search->rank;
        if (isStart)
            search->begin(work.datagram, work.now);
        DirectoryTarget const* const target = directory.findRanked(*service, work.hash, search->rank, work.now);
        if (target == nullptr)
            return drop(work, EntryRelayOutcome::DroppedNoTarget);
        RelayRoute route;
        route.serviceHash = service->hash;
        route.searchMode = isStart ? RelaySearch::Start : RelaySearch::FollowOnly;
        route.candidates[route.candidateCount++] = { target->agent, 0 };
        return forward(work, route, EntryRelayOutcome::ForwardedForSearch);
    }

    /// The agent that was asked first may be dead, or may not know all others.
    void continueSearch(TargetGroup const& service, OwnerSearch& search, Work const& work)
    {
        search.continued = true;
        std::vector<Endpoint> const missing = search.missing(service);
        bool const isFirstSilent = missing.size() > mostProbes;
        if (isFirstSilent) {
            if (DirectoryTarget const* const next = directory.findRanked(service, work.hash, ++search.rank, work.now))
                sendAsk(service, next->agent, missing, search, work.nowSeconds);
            return;
        }
        for (Endpoint const agent : missing)
            sendProbe(service, agent, search, work.nowSeconds);
    }

    /// Agents learn of new targets later than entries, so the agent is told whom to ask.
    void sendAsk(TargetGroup const& service, Endpoint agent, std::span<Endpoint const> missing, OwnerSearch const& search, std::uint32_t nowSeconds) noexcept
    {
        std::span<std::byte const> const segment = search.keptSegment();
        sendWithSegment(agent, segment, writeRelaySearchRequest(service.hash, options.ownEndpoint, missing, segment, { options.keys, nowSeconds }, probe));
    }

    void sendProbe(TargetGroup const& service, Endpoint agent, OwnerSearch const& search, std::uint32_t nowSeconds) noexcept
    {
        std::span<std::byte const> const segment = search.keptSegment();
        RelayRoute route;
        route.serviceHash = service.hash;
        route.entry = options.ownEndpoint;
        route.searchMode = RelaySearch::ReportOnly;
        sendWithSegment(agent, segment, writeRelayPacket(route, segment, { options.keys, nowSeconds }, probe));
    }

    /// \param header  bytes at the front of the probe buffer that precede the segment
    void sendWithSegment(Endpoint to, std::span<std::byte const> segment, std::size_t header) noexcept
    {
        std::copy(segment.begin(), segment.end(), probe.begin() + static_cast<std::ptrdiff_t>(header));
        sender.send(to, std::span<std::byte const>(probe).first(header + segment.size()));
    }

    void noteAbsent(Endpoint from, RelayFlow const& flow, TimePoint now, std::uint32_t nowSeconds)
    {
        std::uint64_t const hash = hashRelayFlow(flow);
        OwnerSearch* const search = searches.find(hash);
        TargetGroup const* const group = directory.findServiceOf(from);
        if (search == nullptr || group == nullptr)
            return;
        TargetGroup const& service = *group;
        Work const work { {}, search->segment, hash, now, nowSeconds };
        search->markAbsent(service, from);
        if (!isLost(service, *search, now))
            return;
        bool const isReset = search->segment.isReset;
        lostTimes.observe(now - search->started);
        searches.erase(*search);
        // A caller that gets no answer to its end of a lost flow repeats it many times, and each one starts a search.
        if (!isReset)
            resetLost(work);
    }

    /// No target of a view that is complete by all that is known holds the flow.
    [[nodiscard]] bool isLost(TargetGroup const& service, OwnerSearch const& search, TimePoint now) const noexcept
    {
        bool const isViewSettled = viewsComplete && now - service.viewChanged >= viewSettleTime;
        bool const isLongEnough = now - firstTick < freshTime || now - search.started >= longSearch;
        return isViewSettled && isLongEnough && search.isAbsentEverywhere(service, directory.goneTime(), now);
    }

    void resetLost(Work const& work) noexcept
    {
        tell(work, EntryRelayOutcome::ResetLostFlow, {}, 0);
        ++outcomes[static_cast<std::size_t>(EntryRelayOutcome::ResetLostFlow)];
        codec.writeReset(work.segment, reset);
        sender.send({ work.segment.source.address, options.callerPort }, std::span<std::byte const>(reset).first(codec.headerBytes()));
    }

    // ---- messages of agents ----

    void noteOwner(Endpoint from, RelayFlow const& flow, TimePoint now)
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
            record->alternate = record->owner;
        record->owner = from;
        record->last = now;
        record->confirmed = true;
    }

    // ---- periodic steps ----

    void subscribe(TimePoint now, std::uint32_t nowSeconds)
    {
        std::array<std::byte, maximumRelayHeaderBytes> message;
        std::size_t const bytes = writeRelayLoadSubscription(directory.loadInterval(), { options.keys, nowSeconds }, message);
        for (Endpoint const agent : directory.takeSubscriptionsDue(now))
            sender.send(agent, std::span<std::byte const>(message).first(bytes));
    }

    void continueSearches(TimePoint now, std::uint32_t nowSeconds)
    {
        searches.forEach([this, now, nowSeconds](OwnerSearch& search) {
            bool const isDue = !search.continued && !search.keptSegment().empty() && now - search.asked >= firstAnswerTime;
            if (!isDue)
                return;
            Work const work { {}, search.segment, search.hash, now, nowSeconds };
            if (TargetGroup const* const service = serviceOf(work))
                continueSearch(*service, search, work);
        });
    }

    /// Tells agents of the owners of flows, so that another entry finds them at once.
    void sendRedirects(TimePoint now, std::uint32_t nowSeconds)
    {
        Batches batches;
        flows.visitNextPart(redirectTicks, [&](FlowRecord& record) {
            bool const isLong = record.confirmed && now - record.opened >= redirectAge && now - record.last < redirectRenewal;
            if (isLong)
                addRedirects(record, now, batches);
        });
        for (Batches::value_type const& batch : batches)
            sendBatch(batch.first, batch.second, nowSeconds);
    }

    using Batches = std::map<Endpoint, std::vector<OwnedFlow>>; ///< by the agent that is told

    void addRedirects(FlowRecord& record, TimePoint now, Batches& batches)
    {
        TargetGroup const* const group = directory.findServiceOf(record.owner);
        if (group == nullptr)
            return;
        std::array<std::pair<std::uint64_t, Endpoint>, redirectHolders> holders {};
        for (DirectoryTarget const& target : group->targets) {
            std::pair<std::uint64_t, Endpoint> holder { searchScore(target.nameHash, record.hash), target.agent };
            // An entry that does not know the owner yet asks the next one.
            if (target.dead || target.agent == record.owner)
                continue;
            for (std::pair<std::uint64_t, Endpoint>& best : holders) {
                if (holder.first > best.first)
                    std::swap(holder, best);
            }
        }
        std::uint32_t const hash = static_cast<std::uint32_t>(mixHash(endpointKey(holders[0].second), mixHash(endpointKey(holders[1].second), endpointKey(record.owner))));
        if (hash == record.holders && now - record.redirected < redirectRenewal)
            return;
        record.holders = hash;
        record.redirected = now;
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
        constexpr std::chrono::seconds sweepPeriod { 5 };
        if (now - lastSweep < sweepPeriod)
            return;
        lastSweep = now;
        flows.eraseIf([now](FlowRecord const& record) { return now - record.last > flowIdle; });
        searches.eraseIf([now, sweepPeriod](OwnerSearch const& search) { return now - search.asked > sweepPeriod; });
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
    // Searches under way count targets by their old indices.
    state_->searches.forEach([](OwnerSearch& search) { search.forgetAnswers(); });
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
        return state_->count(EntryRelayOutcome::DroppedMalformed);
    State::Work const work { datagram, *segment, hashRelayFlow({ segment->source, segment->destination }), now, nowSeconds };
    return segment->isOpenRequest() ? state_->decideFirst(work) : state_->decideLater(work);
}

bool EntryRelay::processAgentMessage(Endpoint from, std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds) noexcept
{
    DecodedRelayMessage const decoded = decodeRelayMessage(datagram, state_->options.keys, nowSeconds);
    if (decoded.error == DatagramError::None && decoded.kind == RelayKind::FlowNotFound) {
        state_->noteAbsent(from, decoded.flow, now, nowSeconds);
        return true;
    }
    bool const isKnown = decoded.kind == RelayKind::OwnerNotice || decoded.kind == RelayKind::LoadReport;
    if (decoded.error != DatagramError::None || !isKnown)
        return false;
    state_->directory.noteLoad(from, decoded.load, now);
    if (decoded.kind == RelayKind::OwnerNotice)
        state_->noteOwner(from, decoded.flow, now);
    return true;
}

void EntryRelay::tick(TimePoint now, std::uint32_t nowSeconds)
{
    if (state_->firstTick == TimePoint {})
        state_->firstTick = now;
    state_->subscribe(now, nowSeconds);
    state_->continueSearches(now, nowSeconds);
    state_->sendRedirects(now, nowSeconds);
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
