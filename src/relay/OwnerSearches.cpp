#include "relay/OwnerSearches.h"

#include "plantaindrift/membership/JoinDelay.h"

#include <algorithm>
#include <chrono>
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

    constexpr std::size_t maximumSearches = 8192;

    // Gossip propagates a join to all entries within this time.
    constexpr std::chrono::milliseconds viewSettleDelay { 300 };

    // A running entry may lack a target whose record is delayed by the control budget, so it declares a flow lost only
    // after the search has lasted this long. A newly started entry has read the members from the store, and after a
    // power loss most searches are for lost flows.
    constexpr std::chrono::seconds startupPeriod { 10 };
    constexpr std::chrono::seconds minimumLostSearchTime { 3 };

    // A machine that starts after the others may open a flow before its first load report arrives here. Its agent replies to a
    // query within this time.
    constexpr std::chrono::milliseconds minimumReplyTime { 80 };

    // Most searches for open flows have ended after this time, so that they cause no read of the member list.
    constexpr std::chrono::milliseconds memberReadDelay { 100 };

    // Callers retransmit segments every 1.6 s at most.
    constexpr std::chrono::seconds searchIdleTimeout { 5 };

} // namespace

OwnerSearches::OwnerSearches(Endpoint ownEndpoint, std::uint32_t firstQueryNumber, TargetDirectory const& directory, RelaySender& sender, RelayObserver& observer)
    : ownEndpoint_(ownEndpoint)
    , directory_(directory)
    , sender_(sender)
    , observer_(observer)
    , searches_(maximumSearches)
    , lastNumber_(firstQueryNumber)
{
}

SearchStep OwnerSearches::advance(TargetGroup const& group, Segment const& segment, std::span<std::byte const> datagram, std::uint64_t hash, TimePoint now)
{
    OwnerSearch* search = searches_.insert(hash);
    if (search == nullptr)
        return {};
    // A configuration may have moved the address to another service.
    bool const isNew = search->group != &group;
    if (isNew) {
        *search = OwnerSearch {};
        search->hash = hash;
        search->used = true;
        search->group = &group;
        search->started = now;
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
    DirectoryTarget const* const target = directory_.findRanked(group, hash, search->rank, now);
    return { false, isStart, target != nullptr ? target->agent : Endpoint {} };
}

void OwnerSearches::recordFound(std::uint64_t hash, TimePoint now)
{
    OwnerSearch* const search = searches_.find(hash);
    if (search == nullptr)
        return;
    foundTimes_.observe(now - search->started);
    searches_.erase(*search);
}

void OwnerSearches::forget(std::uint64_t hash) noexcept
{
    if (OwnerSearch* const search = searches_.find(hash))
        searches_.erase(*search);
}

void OwnerSearches::processNotFound(Endpoint agent, std::uint64_t hash, TimePoint now)
{
    OwnerSearch* const search = searches_.find(hash);
    if (search == nullptr || search->isLost)
        return;
    std::size_t const target = directory_.indexOf(*search->group, agent);
    if (target == search->group->targets.size())
        return;
    search->markNotFound(target);
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
        if (search == nullptr || search->isLost)
            continue;
        std::byte const position { static_cast<std::uint8_t>(index) };
        bool const isPossible = std::find(reply.possibleFlowBytes.begin(), reply.possibleFlowBytes.end(), position) != reply.possibleFlowBytes.end();
        if (isPossible) {
            addPossibleOwner(*search, target, signing);
        } else {
            search->markNotFound(target);
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
        if (search.group == &group)
            search.renumber(newIndices);
    });
}

void OwnerSearches::queue(OwnerSearch& search)
{
    if (std::exchange(search.isQueued, true))
        return;
    queued_[search.group].push_back(search.hash);
}

void OwnerSearches::sendQueries(TimePoint now, RelaySigningContext const& signing)
{
    bool const isIdle = queued_.empty() && startedAgents_.empty();
    if (isIdle || now - queriesSent_ < queryCollectionTime)
        return;
    queriesSent_ = now;
    queryStartedAgents(signing);
    for (std::pair<TargetGroup const* const, std::vector<std::uint64_t>> const& queued : queued_) {
        std::span<std::uint64_t const> flows = queued.second;
        while (!flows.empty()) {
            std::span<std::uint64_t const> const part = flows.first(std::min(flows.size(), maximumQueriedFlows));
            sendQuery(*queued.first, part, now, signing);
            flows = flows.subspan(part.size());
        }
    }
    queued_.clear();
}

// Agents that start after a power loss would otherwise be queried up to maximumQueryInterval later.
void OwnerSearches::queryStartedAgents(RelaySigningContext const& signing)
{
    if (startedAgents_.empty())
        return;
    std::map<TargetGroup const*, std::vector<std::uint64_t>> searched;
    searches_.forEach([&searched](OwnerSearch const& search) {
        if (search.wasQueried && !search.isLost)
            searched[search.group].push_back(search.hash);
    });
    std::vector<Endpoint> const agents = std::exchange(startedAgents_, {});
    for (std::pair<TargetGroup const* const, std::vector<std::uint64_t>> const& service : searched) {
        std::span<std::uint64_t const> flows = service.second;
        while (!flows.empty()) {
            std::span<std::uint64_t const> const part = flows.first(std::min(flows.size(), maximumQueriedFlows));
            std::size_t const bytes = writeQuery(*service.first, part, signing);
            for (Endpoint const agent : agents) {
                std::size_t const target = TargetDirectory::indexOf(*service.first, agent);
                if (target < service.first->targets.size() && isReplyMissing(part, target))
                    send(agent, bytes);
            }
            flows = flows.subspan(part.size());
        }
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

void OwnerSearches::sendQuery(TargetGroup const& group, std::span<std::uint64_t const> flows, TimePoint now, RelaySigningContext const& signing)
{
    for (std::uint64_t const flow : flows) {
        OwnerSearch* const search = searches_.find(flow);
        if (search == nullptr)
            continue;
        search->isQueued = false;
        search->queryInterval = search->wasQueried ? std::min<Duration>(2 * search->queryInterval, maximumQueryInterval) : Duration(minimumQueryInterval);
        if (!std::exchange(search->wasQueried, true))
            search->firstQueried = now;
        search->queried = now;
    }
    std::size_t const bytes = writeQuery(group, flows, signing);
    for (std::size_t target = 0; target < group.targets.size(); ++target) {
        if (isReplyMissing(flows, target))
            send(group.targets[target].agent, bytes);
    }
}

bool OwnerSearches::isReplyMissing(std::span<std::uint64_t const> flows, std::size_t target) noexcept
{
    return std::any_of(flows.begin(), flows.end(), [this, target](std::uint64_t flow) {
        OwnerSearch const* const search = searches_.find(flow);
        return search != nullptr && !search->isLost && !search->hasReplied(target);
    });
}

void OwnerSearches::tick(TimePoint now, RelaySigningContext const& signing)
{
    if (firstTick_ == TimePoint {})
        firstTick_ = now;
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
    bool const isReadDue = !search.isLost && isStarting(now) && now - search.started >= memberReadDelay;
    if (isReadDue)
        (void)isViewCurrent(search, now);
    if (search.isLost || now - search.queried < search.queryInterval)
        return;
    if (search.queryInterval == maximumQueryInterval)
        notifyObserver(search, now);
    sendToPossibleOwners(search, now, signing);
    queue(search);
}

// Names the agent that the search waits for.
void OwnerSearches::notifyObserver(OwnerSearch const& search, TimePoint now) noexcept
{
    RelayDecision decision;
    decision.outcome = "search_waits";
    decision.flow = { search.segment.source, search.segment.destination };
    if (DirectoryTarget const* const target = search.findPossibleOwner(directory_, now)) {
        decision.destination = target->agent;
        decision.load = target->load;
        decision.loadAge = std::chrono::duration_cast<std::chrono::milliseconds>(now - target->lastReport);
    }
    observer_.onDecision(decision);
}

// The entry sends the segment to a few agents itself; an agent forwards it to more of them.
void OwnerSearches::addPossibleOwner(OwnerSearch& search, std::size_t target, RelaySigningContext const& signing)
{
    if (!search.markPossible(target))
        return;
    if (search.directlySent == maximumDirectAgents) {
        search.needsForwarder = true;
        return;
    }
    ++search.directlySent;
    sendSegment(search, search.group->targets[target].agent, signing);
}

bool OwnerSearches::hasEveryoneReplied(OwnerSearch const& search, TimePoint now) const noexcept
{
    TargetGroup const& group = *search.group;
    for (std::size_t target = 0; target < group.targets.size(); ++target) {
        if (!search.hasReplied(target) && directory_.mayHoldFlows(group, group.targets[target], now))
            return false;
    }
    return true;
}

void OwnerSearches::sendToPossibleOwners(OwnerSearch& search, TimePoint now, RelaySigningContext const& signing)
{
    search.needsForwarder = false;
    std::vector<Endpoint> const agents = search.possibleOwners();
    if (agents.size() <= maximumDirectAgents) {
        for (Endpoint const agent : agents)
            sendSegment(search, agent, signing);
        return;
    }
    DirectoryTarget const* const forwarder = directory_.findRanked(*search.group, search.hash, search.rank, now);
    if (forwarder == nullptr || search.keptSegment().empty())
        return;
    std::span<Endpoint const> rest = agents;
    while (!rest.empty()) {
        std::span<Endpoint const> const part = rest.first(std::min(rest.size(), maximumSearchedAgents));
        sendWithSegment(search, forwarder->agent, writeRelaySearchRequest(search.group->hash, ownEndpoint_, part, search.keptSegment(), signing, buffer_));
        rest = rest.subspan(part.size());
    }
}

void OwnerSearches::sendSegment(OwnerSearch const& search, Endpoint agent, RelaySigningContext const& signing)
{
    if (search.keptSegment().empty())
        return;
    RelayRoute route;
    route.serviceHash = search.group->hash;
    route.entry = ownEndpoint_;
    route.searchMode = RelaySearchMode::ReportOnly;
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

// A flow is lost if no target of a complete view holds it. The search is kept, so that the caller's next segments are
// answered at once.
void OwnerSearches::endIfLost(OwnerSearch& search, TimePoint now)
{
    bool const isViewSettled = viewsComplete_ && now - search.group->viewChanged >= viewSettleDelay;
    if (!isViewSettled || !search.isNotFoundEverywhere(directory_, now) || !isViewCurrent(search, now) || !isLongEnough(search, now))
        return;
    search.isLost = true;
    lostTimes_.observe(now - search.started);
    notifyLost(search, now);
    lost_.push_back({ search.hash, search.segment });
}

void OwnerSearches::notifyLost(OwnerSearch const& search, TimePoint now) noexcept
{
    LostFlowEvidence evidence;
    evidence.flow = { search.segment.source, search.segment.destination };
    evidence.searchTime = std::chrono::duration_cast<std::chrono::milliseconds>(now - search.started);
    Duration shortest = Duration::max();
    for (std::size_t index = 0; index < search.group->targets.size(); ++index) {
        DirectoryTarget const& target = search.group->targets[index];
        if (search.hasReportedNotFound(index)) {
            ++evidence.repliedTargets;
        } else if (target.load.hasEnded) {
            ++evidence.endedTargets;
        } else {
            ++evidence.silentTargets;
            shortest = std::min<Duration>(shortest, now - (target.hasReported ? target.lastReport : target.added));
        }
    }
    if (evidence.silentTargets > 0)
        evidence.shortestSilence = std::chrono::duration_cast<std::chrono::milliseconds>(shortest);
    observer_.onFlowLost(evidence);
}

bool OwnerSearches::isLongEnough(OwnerSearch const& search, TimePoint now) const noexcept
{
    if (!isStarting(now))
        return now - search.started >= minimumLostSearchTime;
    return !search.hasSilentTarget() || (search.wasQueried && now - search.firstQueried >= minimumReplyTime);
}

bool OwnerSearches::isStarting(TimePoint now) const noexcept
{
    return now - firstTick_ < startupPeriod;
}

// The records of targets that joined may be delayed by the control budget or by a cut for longer than any fixed time. A
// flow may also have been opened at such a target after a power loss. As targets that join admit flows only some time after
// their records were written, a list that is a little older than the search has all that may hold its flow; it counts while
// most searches are for lost flows.
bool OwnerSearches::isViewCurrent(OwnerSearch const& search, TimePoint now) noexcept
{
    Duration const permittedAge = isStarting(now) ? recordedJoinTime : std::chrono::milliseconds::zero();
    bool const isCurrent = !isMemberReadRequired_ || (membersRead_ && *membersRead_ + permittedAge >= search.started);
    needsMemberRead_ = needsMemberRead_ || !isCurrent;
    return isCurrent;
}

void OwnerSearches::recordMemberRead(TimePoint started) noexcept
{
    membersRead_ = std::max(membersRead_.value_or(started), started);
    // Searches that began later ask again.
    needsMemberRead_ = false;
}

std::vector<LostFlow> OwnerSearches::takeLostFlows()
{
    return std::exchange(lost_, {});
}

} // namespace plantaindrift
