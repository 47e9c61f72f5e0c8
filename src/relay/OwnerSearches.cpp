#include "relay/OwnerSearches.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <utility>

namespace plantaindrift {

namespace {

    // Agents reply within milliseconds.
    constexpr std::chrono::milliseconds firstReplyTimeout { 30 };
    constexpr std::chrono::milliseconds searchRoundTimeout { 150 };
    constexpr std::chrono::milliseconds minimumQueryInterval { 150 };
    constexpr std::chrono::milliseconds maximumQueryInterval { 400 };

    // Flows that become unknown in this time share a query.
    constexpr std::chrono::milliseconds queryCollectionTime { 10 };

    // Maximum number of agents that receive a segment from the entry itself. Its link may be narrow: segments to all
    // 43 agents of a service for each of its flows fill 10 Mbit/s.
    constexpr std::size_t maximumDirectAgents = 4;

    // The two agents that have the owner recorded are among these, whether the owner ranks before them or not.
    constexpr std::size_t recordingRanks = 3;

    constexpr std::size_t maximumSearches = 8192;

    // Most searches for open flows have ended after this time, so that they cause no read of the member list.
    constexpr std::chrono::milliseconds memberReadDelay { 100 };

    // Callers retransmit segments every 1.6 s at most.
    constexpr std::chrono::seconds searchIdleTimeout { 5 };

    // What an agent says of a flow.
    enum class FlowPossession : std::uint8_t {
        None,
        Improbable, ///< the agent does not know, and its target started with it
        Unheard, ///< the agent started a short time ago and has not heard its target
        Possible, ///< the agent started a short time ago and does not know
        Held
    };

    bool isListed(std::span<std::byte const> flows, std::size_t index, std::uint8_t flag) noexcept
    {
        return std::find(flows.begin(), flows.end(), std::byte { static_cast<std::uint8_t>(index | flag) }) != flows.end();
    }

    FlowPossession possessionOf(DecodedRelayMessage const& reply, std::size_t index) noexcept
    {
        if (isListed(reply.possibleFlowBytes, index, heldFlowFlag))
            return FlowPossession::Held;
        if (isListed(reply.possibleFlowBytes, index, improbableFlowFlag))
            return FlowPossession::Improbable;
        if (isListed(reply.possibleFlowBytes, index, unheardTargetFlag))
            return FlowPossession::Unheard;
        return isListed(reply.possibleFlowBytes, index, 0) ? FlowPossession::Possible : FlowPossession::None;
    }

} // namespace

OwnerSearches::OwnerSearches(Endpoint ownEndpoint, std::uint32_t firstQueryNumber, TargetDirectory const& directory, RelaySender& sender, RelayObserver& observer)
    : ownEndpoint_(ownEndpoint)
    , directory_(directory)
    , sender_(sender)
    , observer_(observer)
    , verdict_(directory)
    , searches_(maximumSearches)
    , queries_(rememberedQueries)
    , lastNumber_(firstQueryNumber)
{
}

SearchStep OwnerSearches::advance(SearchedServices const& services, Segment const& segment, std::span<std::byte const> datagram, std::uint64_t hash, TimePoint now)
{
    OwnerSearch* search = searches_.insert(hash);
    if (search == nullptr)
        return {};
    bool const isNew = search->group == nullptr;
    if (isNew)
        search->started = now;
    // A configuration may have moved the address to another service since the last segment.
    if (search->group != services.first) {
        search->group = services.first;
        search->addAllowed({ &services.first, 1 });
        search->addAllowed(services.all);
    }
    search->segment = segment;
    search->lastSegment = now;
    if (search->isLost)
        return { true, false, {} };
    bool const isStart = isNew || now - search->forwarded >= searchRoundTimeout;
    if (isStart && !isNew)
        ++search->rank;
    if (isStart)
        search->begin(datagram, now);
    DirectoryTarget const* const target = directory_.findRanked(*search->group, hash, search->rank, now);
    return { false, isStart, target != nullptr ? target->agent : Endpoint {} };
}

std::optional<ServiceHash> OwnerSearches::recordFound(std::uint64_t hash, TimePoint now)
{
    OwnerSearch* const search = searches_.find(hash);
    if (search == nullptr)
        return std::nullopt;
    ServiceHash const service = search->group->hash;
    foundTimes_.observe(now - search->started);
    searches_.erase(*search);
    return service;
}

void OwnerSearches::forget(std::uint64_t hash) noexcept
{
    if (OwnerSearch* const search = searches_.find(hash))
        searches_.erase(*search);
}

void OwnerSearches::processNotFound(Endpoint agent, ServiceHash service, std::uint64_t hash, TimePoint now)
{
    OwnerSearch* const search = searches_.find(hash);
    ServiceReplies* const replies = search != nullptr ? search->findReplies(service) : nullptr;
    if (replies == nullptr || search->isLost)
        return;
    std::size_t const target = TargetDirectory::indexOf(replies->group(), agent);
    if (target == replies->group().targets.size())
        return;
    replies->recordNotFoundReport(target);
    if (!search->wasQueried)
        queue(*search);
    endIfLost(*search, now);
}

bool OwnerSearches::processQueryReply(Endpoint agent, DecodedRelayMessage const& reply, TimePoint now, RelaySigningContext const& signing)
{
    Query const& query = queries_[reply.queryNumber % rememberedQueries];
    if (query.number != reply.queryNumber || query.group == nullptr || query.group->hash != reply.serviceHash)
        return false;
    std::size_t const target = directory_.indexOf(*query.group, agent);
    if (target == query.group->targets.size())
        return false;
    for (std::size_t index = 0; index < query.flows.size(); ++index) {
        OwnerSearch* const search = searches_.find(query.flows[index]);
        ServiceReplies* const replies = search != nullptr ? search->findReplies(query.group->hash) : nullptr;
        if (replies == nullptr || search->isLost)
            continue;
        FlowPossession const possession = possessionOf(reply, index);
        bool const isHeld = possession == FlowPossession::Held;
        bool const haveMachinesRestarted = verdict_.haveMachinesRestarted(now);
        // After a power loss, a target that is silent did not return.
        bool const isNone = possession == FlowPossession::None || (possession == FlowPossession::Unheard && haveMachinesRestarted);
        bool const isUnknown = !isHeld && !isNone;
        bool const isUnlikely = possession == FlowPossession::Improbable || haveMachinesRestarted;
        bool const isNotFound = isNone || (isUnknown && isUnlikely && !replies->isAllowed());
        // An agent of a service that never had the address receives no segment on suspicion; it is queried again until it knows.
        if (isHeld || (isUnknown && replies->isAllowed()))
            addPossibleOwner(*search, *replies, target, isHeld, signing);
        else if (!isNotFound)
            replies->setInDoubt();
        if (isNotFound) {
            replies->markNotFound(target);
            endIfLost(*search, now);
        }
        if (search->needsForwarder && hasEveryoneReplied(*search, now))
            sendToPossibleOwners(*search, now, signing);
    }
    return true;
}

void OwnerSearches::renumberTargets(TargetGroup const& group, std::span<std::uint32_t const> newIndices)
{
    searches_.forEach([&group, newIndices](OwnerSearch& search) {
        if (ServiceReplies* const replies = search.findReplies(group.hash))
            replies->renumber(newIndices);
    });
}

void OwnerSearches::queue(OwnerSearch& search)
{
    if (!std::exchange(search.isQueued, true))
        queued_.push_back(search.hash);
}

void OwnerSearches::sendQueries(TimePoint now, RelaySigningContext const& signing)
{
    bool const isIdle = queued_.empty() && startedAgents_.empty();
    if (isIdle || now - queriesSent_ < queryCollectionTime)
        return;
    queriesSent_ = now;
    queryStartedAgents(signing);
    std::map<TargetGroup const*, std::vector<std::uint64_t>> queriedFlows;
    for (std::uint64_t const hash : std::exchange(queued_, {})) {
        OwnerSearch* const search = searches_.find(hash);
        if (search == nullptr)
            continue;
        beginQuery(*search, now);
        for (ServiceReplies const& replies : search->services) {
            if (replies.isReplyMissing())
                queriedFlows[&replies.group()].push_back(hash);
        }
    }
    for (std::pair<TargetGroup const* const, std::vector<std::uint64_t>> const& service : queriedFlows) {
        std::vector<std::size_t> targets(service.first->targets.size());
        std::iota(targets.begin(), targets.end(), std::size_t { 0 });
        queryTargets(*service.first, targets, service.second, signing);
    }
}

// Agents that start after a power loss would otherwise be queried up to maximumQueryInterval later.
void OwnerSearches::queryStartedAgents(RelaySigningContext const& signing)
{
    if (startedAgents_.empty())
        return;
    std::map<TargetGroup const*, std::vector<std::uint64_t>> searched;
    searches_.forEach([&searched](OwnerSearch const& search) {
        if (!search.wasQueried || search.isLost)
            return;
        for (ServiceReplies const& replies : search.services)
            searched[&replies.group()].push_back(search.hash);
    });
    std::vector<Endpoint> const agents = std::exchange(startedAgents_, {});
    for (std::pair<TargetGroup const* const, std::vector<std::uint64_t>> const& service : searched) {
        std::vector<std::size_t> targets;
        for (Endpoint const agent : agents) {
            std::size_t const target = TargetDirectory::indexOf(*service.first, agent);
            if (target < service.first->targets.size())
                targets.push_back(target);
        }
        queryTargets(*service.first, targets, service.second, signing);
    }
}

// Queries those of the targets whose reply is missing. A query without receivers would push another out of the remembered ones.
void OwnerSearches::queryTargets(TargetGroup const& group, std::span<std::size_t const> targets, std::span<std::uint64_t const> flows, RelaySigningContext const& signing)
{
    std::span<std::uint64_t const> rest = flows;
    while (!rest.empty()) {
        std::span<std::uint64_t const> const part = rest.first(std::min(rest.size(), maximumQueriedFlows));
        rest = rest.subspan(part.size());
        std::vector<Endpoint> receivers;
        for (std::size_t const target : targets) {
            if (isReplyMissing(part, group, target))
                receivers.push_back(group.targets[target].agent);
        }
        std::size_t const bytes = receivers.empty() ? 0 : writeQuery(group, part, signing);
        for (Endpoint const agent : receivers)
            send(agent, bytes);
    }
}

// Writes a query into the buffer. Returns its length in bytes.
std::size_t OwnerSearches::writeQuery(TargetGroup const& group, std::span<std::uint64_t const> flows, RelaySigningContext const& signing)
{
    Query& query = queries_[++lastNumber_ % rememberedQueries];
    query.number = lastNumber_;
    query.group = &group;
    query.flows.assign(flows.begin(), flows.end());
    return writeRelayFlowQuery(group.hash, query.number, flows, signing, buffer_);
}

void OwnerSearches::beginQuery(OwnerSearch& search, TimePoint now)
{
    search.isQueued = false;
    search.queryInterval = search.wasQueried ? std::min<Duration>(2 * search.queryInterval, maximumQueryInterval) : Duration(minimumQueryInterval);
    search.wasQueried = true;
    search.queried = now;
    // The first configuration that names a service, and its first targets, may arrive while a search goes on.
    if (search.isWide)
        search.addOthers(directory_.services());
    for (ServiceReplies& replies : search.services)
        replies.recordQuery(now);
}

bool OwnerSearches::isReplyMissing(std::span<std::uint64_t const> flows, TargetGroup const& group, std::size_t target) noexcept
{
    return std::any_of(flows.begin(), flows.end(), [this, &group, target](std::uint64_t flow) {
        OwnerSearch* const search = searches_.find(flow);
        ServiceReplies const* const replies = search != nullptr && !search->isLost ? search->findReplies(group.hash) : nullptr;
        return replies != nullptr && !replies->hasReplied(target);
    });
}

void OwnerSearches::tick(TimePoint now, RelaySigningContext const& signing)
{
    verdict_.recordTick(now);
    searches_.forEach([this, now, &signing](OwnerSearch& search) { continueSearch(search, now, signing); });
    sendQueries(now, signing);
    constexpr std::chrono::seconds sweepInterval { 1 };
    if (now - lastSweep_ < sweepInterval)
        return;
    lastSweep_ = now;
    searches_.eraseIf([now](OwnerSearch const& search) { return now - search.lastSegment > searchIdleTimeout; });
}

// Agents may not reply, targets may join, and silent ones may be considered gone after some time.
void OwnerSearches::continueSearch(OwnerSearch& search, TimePoint now, RelaySigningContext const& signing)
{
    if (search.isLost)
        return;
    if (!search.wasQueried) {
        if (now - search.started >= firstReplyTimeout)
            queue(search);
        return;
    }
    endIfLost(search, now);
    // The list is read while agents reply, because reads are a second apart.
    bool const isReadDue = !search.isLost && verdict_.isStarting(now) && now - search.started >= memberReadDelay;
    if (isReadDue)
        (void)verdict_.isViewCurrent(search, now);
    if (search.isLost || now - search.queried < search.queryInterval)
        return;
    if (search.queryInterval == maximumQueryInterval)
        notifyObserver("search_waits", search, now);
    sendToPossibleOwners(search, now, signing);
    sendToRecordedOwners(search, now, signing);
    widen(search, now);
    queue(search);
}

// Goes on in all services. An earlier configuration may have given the address to any of them, and this entry may have
// started since.
void OwnerSearches::widen(OwnerSearch& search, TimePoint now)
{
    if (std::exchange(search.isWide, true))
        return;
    std::size_t const before = search.services.size();
    search.addOthers(directory_.services());
    if (search.services.size() == before)
        return;
    ++widenedCount_;
    notifyObserver("search_widened", search, now);
    queue(search);
}

// Names the agent that the search waits for.
void OwnerSearches::notifyObserver(std::string_view outcome, OwnerSearch const& search, TimePoint now) noexcept
{
    RelayDecision decision;
    decision.outcome = outcome;
    decision.flow = { search.segment.source, search.segment.destination };
    if (DirectoryTarget const* const target = search.findPossibleOwner(directory_, now)) {
        decision.destination = target->agent;
        decision.load = target->load;
        decision.loadAge = std::chrono::duration_cast<std::chrono::milliseconds>(now - target->lastReport);
    }
    observer_.onDecision(decision);
}

// The entry sends the segment to a few agents itself; an agent forwards it to more of them.
void OwnerSearches::addPossibleOwner(OwnerSearch& search, ServiceReplies& replies, std::size_t target, bool isHeld, RelaySigningContext const& signing)
{
    if (!replies.markPossible(target, isHeld))
        return;
    if (search.directlySent == maximumDirectAgents) {
        search.needsForwarder = true;
        return;
    }
    ++search.directlySent;
    sendSegment(search, replies.group().hash, replies.group().targets[target].agent, RelaySearchMode::ReportOnly, signing);
}

bool OwnerSearches::hasEveryoneReplied(OwnerSearch const& search, TimePoint now) const noexcept
{
    return std::all_of(search.services.begin(), search.services.end(), [this, now](ServiceReplies const& replies) {
        TargetGroup const& group = replies.group();
        for (std::size_t target = 0; target < group.targets.size(); ++target) {
            if (!replies.hasReplied(target) && directory_.mayHoldFlows(group, group.targets[target], now))
                return false;
        }
        return true;
    });
}

void OwnerSearches::sendToPossibleOwners(OwnerSearch& search, TimePoint now, RelaySigningContext const& signing)
{
    search.needsForwarder = false;
    bool const isDirect = search.countPossibleOwners() <= maximumDirectAgents;
    for (ServiceReplies const& replies : search.services) {
        std::vector<Endpoint> const agents = replies.possibleOwners();
        if (!isDirect) {
            sendThroughForwarder(search, replies.group(), agents, now, signing);
            continue;
        }
        for (Endpoint const agent : agents)
            sendSegment(search, replies.group().hash, agent, RelaySearchMode::ReportOnly, signing);
    }
}

// An agent that was replaced does not know what its target holds, but others of its service may have the owner recorded. Entries
// send owners to the agents that rank first for the flow.
void OwnerSearches::sendToRecordedOwners(OwnerSearch const& search, TimePoint now, RelaySigningContext const& signing)
{
    for (ServiceReplies const& replies : search.services) {
        if (replies.isAllowed() || !replies.isInDoubt())
            continue;
        TargetGroup const& group = replies.group();
        for (std::size_t rank = 0; rank < std::min(recordingRanks, group.targets.size()); ++rank) {
            if (DirectoryTarget const* const target = directory_.findRanked(group, search.hash, rank, now))
                sendSegment(search, group.hash, target->agent, RelaySearchMode::RecordedOwner, signing);
        }
    }
}

// The forwarder is an agent of the same service, as others refuse its segments.
void OwnerSearches::sendThroughForwarder(OwnerSearch const& search, TargetGroup const& service, std::span<Endpoint const> agents, TimePoint now, RelaySigningContext const& signing)
{
    DirectoryTarget const* const forwarder = agents.empty() ? nullptr : directory_.findRanked(service, search.hash, search.rank, now);
    if (forwarder == nullptr || search.keptSegment().empty())
        return;
    std::span<Endpoint const> rest = agents;
    while (!rest.empty()) {
        std::span<Endpoint const> const part = rest.first(std::min(rest.size(), maximumSearchedAgents));
        sendWithSegment(search, forwarder->agent, writeRelaySearchRequest(service.hash, ownEndpoint_, part, search.keptSegment(), signing, buffer_));
        rest = rest.subspan(part.size());
    }
}

void OwnerSearches::sendSegment(OwnerSearch const& search, ServiceHash service, Endpoint agent, RelaySearchMode mode, RelaySigningContext const& signing)
{
    if (search.keptSegment().empty())
        return;
    RelayRoute route;
    route.serviceHash = service;
    route.entry = ownEndpoint_;
    route.searchMode = mode;
    sendWithSegment(search, agent, writeRelayPacket(route, search.keptSegment(), signing, buffer_));
}

// Appends the segment to the header that was written into the buffer.
void OwnerSearches::sendWithSegment(OwnerSearch const& search, Endpoint to, std::size_t headerBytes) noexcept
{
    std::span<std::byte const> const segment = search.keptSegment();
    std::copy(segment.begin(), segment.end(), buffer_.begin() + static_cast<std::ptrdiff_t>(headerBytes));
    send(to, headerBytes + segment.size());
}

// Sends the first bytes of the buffer.
void OwnerSearches::send(Endpoint to, std::size_t bytes) noexcept
{
    ++messageCount_;
    sender_.send(to, std::span<std::byte const>(buffer_).first(bytes));
}

// A flow is lost if no target of a complete view of any service holds it. All agents are queried once more, because an agent that
// started a short time ago, or whose target was slow, may know more by now than when it replied. The search is kept, so that the
// caller's next segments are answered at once.
void OwnerSearches::endIfLost(OwnerSearch& search, TimePoint now)
{
    if (!search.isNotFoundEverywhere(directory_, now))
        return;
    widen(search, now);
    if (!search.isNotFoundEverywhere(directory_, now) || !verdict_.mayEnd(search, now))
        return;
    if (!verdict_.isStartingAfterPowerLoss(now) && search.beginConfirmation()) {
        queue(search);
        return;
    }
    search.isLost = true;
    lostTimes_.observe(now - search.started);
    observer_.onFlowLost(verdict_.describe(search, now));
    lost_.push_back({ search.hash, search.segment });
}

std::vector<LostFlow> OwnerSearches::takeLostFlows()
{
    return std::exchange(lost_, {});
}

} // namespace plantaindrift
