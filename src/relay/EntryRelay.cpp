#include "plantaindrift/relay/EntryRelay.h"

#include "membership/RandomSource.h"
#include "plantaindrift/base/Hash.h"
#include "relay/HashTable.h"
#include "relay/TargetCost.h"

#include "absl/container/flat_hash_map.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace plantaindrift {

namespace {

    constexpr std::array<std::string_view, entryRelayOutcomes> outcomeNames {
        "first_forwarded", "copy_forwarded", "owner_forwarded", "search_forwarded", "refused_no_route",
        "refused_no_target", "dropped_malformed", "dropped_no_route", "dropped_no_target"
    };

    // A caller keeps a flow open for at most 60 s without a packet.
    constexpr std::chrono::seconds flowIdle { 60 };

    // An agent answers a first segment within a few milliseconds; a machine that lives and is short of processor needs more.
    constexpr std::chrono::milliseconds noticeTime { 60 };

    // Agents send load for this long after a subscription.
    constexpr std::chrono::milliseconds subscriptionPeriod { 1000 };

    // Two lost loads and one late one.
    constexpr int silentLoads = 3;

    constexpr std::chrono::milliseconds shortestInterval { 100 };
    constexpr std::chrono::milliseconds longestInterval { 2000 };

    // Received load may take this part of the 3 KB/s that control may use.
    constexpr double loadBytesPerSecond = 1500;
    constexpr double loadMessageBytes = 41;

    // Time of a packet between data centres and back, in 0.1 ms; keeps bytes inside while that costs no wait.
    constexpr double remoteCostTenths = 20;

    // Spreads the choices of entries that have heard the same load.
    constexpr std::uint64_t jitterTenths = 20;

    constexpr double unheardCostTenths = 2000;

    // Agents that segments of an unknown flow are sent to, one after the other.
    constexpr std::size_t searchRanks = 3;

    struct Target {
        std::string name;
        std::uint64_t nameHash { 0 };
        Endpoint agent;
        bool local { false };
        bool draining { false };
        bool dead { false };
        bool isHeard { false };
        TargetLoad load;
        TimePoint heard;
        std::uint32_t sent { 0 }; ///< first segments since its load was heard
        TimePoint unanswered; ///< oldest first segment without any word since; the epoch if there is none
        TimePoint subscribed;
    };

    struct ServiceState {
        ServiceHash hash {};
        std::vector<Target> targets;
    };

    struct RouteShare {
        std::string service;
        std::uint32_t share { 0 };
    };

    struct AddressRoute {
        std::vector<RouteShare> services;
        std::uint32_t totalShare { 0 };
    };

    struct FlowRecord {
        std::uint64_t hash { 0 };
        bool used { false };
        std::uint8_t searches { 0 }; ///< segments sent out to find the owner
        bool confirmed { false }; ///< the owner said so
        Endpoint owner;
        Endpoint alternate; ///< was offered an earlier copy
        TimePoint last;
    };

    std::uint64_t endpointKey(Endpoint endpoint) noexcept
    {
        return (std::uint64_t { endpoint.address } << 16U) | endpoint.port;
    }

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
        , random(given.randomSeed)
        , flows(given.flows)
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
    RandomSource random;
    HashTable<FlowRecord> flows;
    absl::flat_hash_map<std::string, ServiceState> services;
    absl::flat_hash_map<std::uint64_t, AddressRoute> routes;
    absl::flat_hash_map<std::uint64_t, std::string> agentServices; ///< by agent endpoint
    std::array<std::uint64_t, entryRelayOutcomes> outcomes {};
    std::array<std::byte, maximumRelayHeaderBytes> header {};
    std::array<std::byte, 64> reset {};
    TimePoint lastSweep;
    bool configured { false };

    RelayVerdict count(EntryRelayOutcome outcome) noexcept
    {
        ++outcomes[static_cast<std::size_t>(outcome)];
        return {};
    }

    RelayVerdict drop(Work const& work, EntryRelayOutcome outcome) noexcept
    {
        tell(work, outcome, {}, 0);
        return count(outcome);
    }

    void tell(Work const& work, EntryRelayOutcome outcome, Endpoint to, double cost) noexcept
    {
        RelayDecision decision;
        decision.outcome = entryRelayOutcomeName(outcome);
        decision.flow = { work.segment.source, work.segment.destination };
        decision.copy = work.segment.isFirst() ? work.segment.acknowledgement : 0;
        decision.to = to;
        decision.costTenths = cost;
        if (Target const* const target = findTarget(to)) {
            decision.load = target->load;
            decision.loadAge = std::chrono::duration_cast<std::chrono::milliseconds>(work.now - target->heard);
        }
        observer.decided(decision);
    }

    // ---- choice ----

    ServiceState* serviceOf(Work const& work) noexcept
    {
        absl::flat_hash_map<std::uint64_t, AddressRoute>::iterator const route = routes.find(endpointKey(work.segment.destination));
        if (route == routes.end() || route->second.totalShare == 0)
            return nullptr;
        // Every entry and every copy of a segment gives the same service.
        std::uint32_t point = static_cast<std::uint32_t>((work.hash >> 20U) % route->second.totalShare);
        for (RouteShare const& share : route->second.services) {
            if (point < share.share)
                return &services[share.service];
            point -= share.share;
        }
        return nullptr;
    }

    std::chrono::milliseconds loadInterval(std::size_t targets) const noexcept
    {
        std::chrono::milliseconds const wanted { static_cast<std::int64_t>(1000 * static_cast<double>(targets) * loadMessageBytes / loadBytesPerSecond) };
        return std::clamp(wanted, shortestInterval, longestInterval);
    }

    [[nodiscard]] std::size_t targetCount() const noexcept { return agentServices.size(); }

    bool isSilent(Target const& target, TimePoint now) const noexcept
    {
        if (target.unanswered != TimePoint {} && now - target.unanswered > noticeTime)
            return true;
        return now - target.heard > silentLoads * loadInterval(targetCount()) + noticeTime;
    }

    double costOf(Target const& target, TimePoint now) noexcept
    {
        double cost = targetCost(target.load, target.sent);
        cost += target.local ? 0 : remoteCostTenths;
        cost += static_cast<double>(random.below(jitterTenths));
        if (!target.isHeard || isSilent(target, now))
            cost += unheardCostTenths;
        return cost;
    }

    /// The cheapest targets that take new flows; an agent that was offered an earlier copy comes last.
    void chooseTargets(ServiceState& service, FlowRecord const* record, TimePoint now, RelayRoute& route) noexcept
    {
        struct Choice {
            double cost { 0 };
            Target* target { nullptr };
        };
        constexpr double askedCostTenths = 20000;
        std::array<Choice, maximumRelayCandidates> best;
        std::size_t count = 0;
        for (Target& target : service.targets) {
            if (target.draining || target.dead || (target.isHeard && !target.load.accepting))
                continue;
            bool const asked = record != nullptr && (record->owner == target.agent || record->alternate == target.agent);
            Choice choice { costOf(target, now) + (asked ? askedCostTenths : 0), &target };
            for (std::size_t index = 0; index < count; ++index) {
                if (choice.cost < best[index].cost)
                    std::swap(choice, best[index]);
            }
            if (count < best.size())
                best[count++] = choice;
        }
        route.count = static_cast<std::uint8_t>(count);
        for (std::size_t index = 0; index < count; ++index)
            route.candidates[index] = { best[index].target->agent, toCostTenths(best[index].cost) };
        if (count > 0)
            noteSent(*best[0].target, now);
    }

    static void noteSent(Target& target, TimePoint now) noexcept
    {
        ++target.sent;
        if (target.unanswered == TimePoint {})
            target.unanswered = now;
    }

    Target* findTarget(Endpoint agent) noexcept
    {
        absl::flat_hash_map<std::uint64_t, std::string>::iterator const service = agentServices.find(endpointKey(agent));
        if (service == agentServices.end())
            return nullptr;
        for (Target& target : services[service->second].targets) {
            if (target.agent == agent)
                return &target;
        }
        return nullptr;
    }

    // ---- segments ----

    RelayVerdict forward(Work const& work, RelayRoute& route, EntryRelayOutcome outcome) noexcept
    {
        ++outcomes[static_cast<std::size_t>(outcome)];
        Endpoint const to = route.candidates.front().agent;
        if (outcome != EntryRelayOutcome::OwnerForwarded)
            tell(work, outcome, to, route.candidates.front().costTenths);
        std::copy(route.candidates.begin() + 1, route.candidates.begin() + route.count, route.candidates.begin());
        --route.count;
        route.entry = options.self;
        std::size_t const bytes = writeRelayPacket(route, work.datagram, { options.keys, work.nowSeconds }, header);
        return { to, std::span<std::byte const>(header).first(bytes), work.datagram };
    }

    RelayVerdict refuse(Work const& work, EntryRelayOutcome refused, EntryRelayOutcome dropped) noexcept
    {
        // An earlier copy may have opened the flow, which a reset would break.
        bool const mayBeOpen = work.segment.acknowledgement != 0 || flows.find(work.hash) != nullptr;
        if (!configured || mayBeOpen)
            return drop(work, dropped);
        tell(work, refused, {}, 0);
        codec.writeReset(work.segment, reset);
        ++outcomes[static_cast<std::size_t>(refused)];
        return { { work.segment.source.address, options.callerPort }, std::span<std::byte const>(reset).first(codec.headerBytes()), {} };
    }

    RelayVerdict decideFirst(Work const& work) noexcept
    {
        ServiceState* const service = serviceOf(work);
        if (service == nullptr)
            return refuse(work, EntryRelayOutcome::RefusedNoRoute, EntryRelayOutcome::DroppedNoRoute);
        FlowRecord* record = flows.find(work.hash);
        RelayRoute route;
        route.service = service->hash;
        chooseTargets(*service, record, work.now, route);
        if (route.count == 0)
            return service->targets.empty() ? drop(work, EntryRelayOutcome::DroppedNoTarget) : refuse(work, EntryRelayOutcome::RefusedNoTarget, EntryRelayOutcome::DroppedNoTarget);
        bool const isCopy = record != nullptr;
        Endpoint const chosen = route.candidates.front().agent;
        if (!isCopy)
            record = flows.insert(work.hash);
        if (record != nullptr) {
            if (isCopy && record->owner != chosen)
                record->alternate = record->owner;
            record->owner = chosen;
            record->confirmed = false;
            record->last = work.now;
        }
        return forward(work, route, isCopy ? EntryRelayOutcome::CopyForwarded : EntryRelayOutcome::FirstForwarded);
    }

    RelayVerdict decideLater(Work const& work) noexcept
    {
        FlowRecord* const record = flows.find(work.hash);
        if (record == nullptr || !record->owner.isSet())
            return search(work);
        record->last = work.now;
        RelayRoute route;
        absl::flat_hash_map<std::uint64_t, std::string>::iterator const service = agentServices.find(endpointKey(record->owner));
        if (service == agentServices.end()) {
            flows.erase(*record);
            return search(work);
        }
        route.service = services[service->second].hash;
        route.candidates[route.count++] = { record->owner, 0 };
        if (!record->confirmed && record->alternate.isSet())
            route.candidates[route.count++] = { record->alternate, 0 };
        return forward(work, route, EntryRelayOutcome::OwnerForwarded);
    }

    /// Agents that own a flow tell the agents that rank first for it. Each further segment goes to the next in rank.
    RelayVerdict search(Work const& work) noexcept
    {
        ServiceState* const service = serviceOf(work);
        if (service == nullptr)
            return drop(work, EntryRelayOutcome::DroppedNoRoute);
        FlowRecord* const record = flows.insert(work.hash);
        std::size_t const rank = record != nullptr ? record->searches++ : 0;
        if (record != nullptr)
            record->last = work.now;
        Target const* const target = findRanked(*service, work, rank);
        if (target == nullptr)
            return drop(work, EntryRelayOutcome::DroppedNoTarget);
        RelayRoute route;
        route.service = service->hash;
        route.candidates[route.count++] = { target->agent, 0 };
        return forward(work, route, EntryRelayOutcome::SearchForwarded);
    }

    /// The target at this rank among those that were heard lately, or among all if none was.
    Target const* findRanked(ServiceState const& service, Work const& work, std::size_t rank) const noexcept
    {
        std::array<std::pair<std::uint64_t, Target const*>, searchRanks> best {};
        std::size_t count = 0;
        for (Target const& target : service.targets) {
            if (target.dead)
                continue;
            bool const isLively = target.isHeard && target.load.accepting && !isSilent(target, work.now);
            constexpr std::uint64_t livelyBit = std::uint64_t { 1 } << 63U;
            std::uint64_t const score = (searchScore(target.nameHash, work.hash) >> 1U) | (isLively ? livelyBit : 0);
            std::pair<std::uint64_t, Target const*> ranked(score, &target);
            for (std::size_t index = 0; index < count; ++index) {
                if (ranked.first > best[index].first)
                    std::swap(ranked, best[index]);
            }
            if (count < best.size())
                best[count++] = ranked;
        }
        return count > 0 ? best[rank % count].second : nullptr;
    }

    // ---- messages of agents ----

    void noteLoad(Endpoint from, TargetLoad const& load, TimePoint now) noexcept
    {
        Target* const target = findTarget(from);
        if (target == nullptr)
            return;
        target->load = load;
        target->heard = now;
        target->isHeard = true;
        target->sent = 0;
        target->unanswered = {};
    }

    void noteOwner(Endpoint from, RelayFlow const& flow, TimePoint now)
    {
        std::uint64_t const hash = hashRelayFlow(flow);
        FlowRecord* const record = flows.insert(hash);
        if (record == nullptr)
            return;
        if (record->owner.isSet() && record->owner != from)
            record->alternate = record->owner;
        record->owner = from;
        record->last = now;
    }

    // ---- periodic steps ----

    void subscribe(TimePoint now, std::uint32_t nowSeconds) noexcept
    {
        std::chrono::milliseconds const interval = loadInterval(targetCount());
        std::array<std::byte, maximumRelayHeaderBytes> message;
        std::size_t const bytes = writeRelaySubscribe(interval, { options.keys, nowSeconds }, message);
        for (auto& [name, service] : services) {
            for (Target& target : service.targets) {
                // An agent that just starts is asked at every tick.
                bool const due = !target.isHeard || now - target.subscribed >= subscriptionPeriod;
                if (target.dead || !due)
                    continue;
                target.subscribed = now;
                sender.send(target.agent, std::span<std::byte const>(message).first(bytes));
            }
        }
    }

    void sweep(TimePoint now)
    {
        constexpr std::chrono::seconds sweepPeriod { 5 };
        if (now - lastSweep < sweepPeriod)
            return;
        lastSweep = now;
        flows.eraseIf([now](FlowRecord const& record) { return now - record.last > flowIdle; });
    }
};

EntryRelay::EntryRelay(EntryRelayOptions const& options, SegmentCodec const& codec, RelaySender& sender, RelayObserver& observer)
    : state_(std::make_unique<State>(options, codec, sender, observer))
{
}

EntryRelay::~EntryRelay() = default;

void EntryRelay::setConfiguration(Configuration const& configuration)
{
    state_->configured = true;
    state_->routes.clear();
    for (Service const& service : configuration.services) {
        state_->services[service.name].hash = hashService(service.name);
        for (ServiceAddress const& address : service.addresses) {
            AddressRoute& route = state_->routes[endpointKey(address.endpoint)];
            route.services.push_back({ service.name, address.share });
            route.totalShare += address.share;
        }
    }
}

void EntryRelay::setView(ServiceView const& view, TimePoint /*now*/)
{
    ServiceState& service = state_->services[view.service];
    service.hash = hashService(view.service);
    std::vector<Target> targets;
    for (Target const& target : service.targets)
        state_->agentServices.erase(endpointKey(target.agent));
    for (ViewTarget const& seen : view.targets) {
        Target target;
        for (Target const& known : service.targets) {
            if (known.name == seen.name && known.agent == seen.data)
                target = known;
        }
        target.name = seen.name;
        target.nameHash = hashText(seen.name);
        target.agent = seen.data;
        target.local = seen.dataCentre == state_->options.dataCentre;
        target.draining = seen.draining;
        target.dead = seen.dead;
        state_->agentServices[endpointKey(seen.data)] = view.service;
        targets.push_back(target);
    }
    service.targets = std::move(targets);
}

void EntryRelay::setKeys(KeyRing const& keys)
{
    state_->options.keys = keys;
}

RelayVerdict EntryRelay::decide(std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds) noexcept
{
    std::optional<Segment> const segment = state_->codec.read(datagram);
    if (!segment || segment->returned)
        return state_->count(EntryRelayOutcome::DroppedMalformed);
    State::Work const work { datagram, *segment, hashRelayFlow({ segment->source, segment->destination }), now, nowSeconds };
    return segment->isFirst() ? state_->decideFirst(work) : state_->decideLater(work);
}

bool EntryRelay::receive(Endpoint from, std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds) noexcept
{
    DecodedRelay const decoded = decodeRelay(datagram, state_->options.keys, nowSeconds);
    bool const isKnown = decoded.kind == RelayKind::Notice || decoded.kind == RelayKind::Load;
    if (decoded.error != DatagramError::None || !isKnown)
        return false;
    state_->noteLoad(from, decoded.load, now);
    if (decoded.kind == RelayKind::Notice)
        state_->noteOwner(from, decoded.flow, now);
    return true;
}

void EntryRelay::tick(TimePoint now, std::uint32_t nowSeconds)
{
    state_->subscribe(now, nowSeconds);
    state_->sweep(now);
}

bool EntryRelay::canServe() const noexcept
{
    if (state_->routes.empty())
        return false;
    for (auto const& [name, service] : state_->services) {
        for (Target const& target : service.targets) {
            if (target.isHeard && !target.dead)
                return true;
        }
    }
    return false;
}

std::array<std::uint64_t, entryRelayOutcomes> const& EntryRelay::outcomes() const noexcept
{
    return state_->outcomes;
}

std::size_t EntryRelay::flowCount() const noexcept
{
    return state_->flows.size();
}

} // namespace plantaindrift
