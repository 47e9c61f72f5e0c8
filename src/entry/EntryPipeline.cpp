#include "plantaindrift/entry/EntryPipeline.h"

#include "entry/CandidateTable.h"
#include "entry/FlowCache.h"
#include "plantaindrift/base/Hash.h"
#include "plantaindrift/packet/InnerPacket.h"

#include "absl/container/flat_hash_map.h"

#include <algorithm>

namespace plantaindrift {

namespace {

    enum class PacketClass : std::uint8_t {
        Syn, ///< opens a TCP flow
        Datagram, ///< UDP: opens a flow or belongs to one
        Later ///< any other TCP packet
    };

    /// How the candidates of a class of packets are listed.
    struct SelectionRule {
        DeadTargets dead;
        bool usesDeadOwner;
        std::chrono::seconds ownerCertainty; ///< age of an owner notice up to which the owner surely has the flow
    };

    /// An agent keeps a TCP flow for at least 5 s after a reset and a UDP flow for 60 s after its last packet, so that
    /// an owner notice younger than that names an agent that still has the flow. An older one could send a first packet
    /// to an agent out of rank order that admits it, while another entry's copy is admitted in rank order. Packets of
    /// established TCP flows open nothing; an agent that does not know them passes them on.
    ///
    /// A dead target in the list of a UDP packet would swallow the probe for a flow that no live target knows.
    constexpr std::array<SelectionRule, 3> selectionRules { {
        { DeadTargets::Excluded, false, std::chrono::seconds { 4 } },
        { DeadTargets::OnlyWithoutLive, false, std::chrono::seconds { 50 } },
        { DeadTargets::AtTail, true, std::chrono::seconds::max() },
    } };

    PacketClass classOf(InnerPacket const& packet) noexcept
    {
        if (packet.key.protocol == Protocol::Udp)
            return PacketClass::Datagram;
        return packet.syn ? PacketClass::Syn : PacketClass::Later;
    }

    std::uint64_t addressKey(Endpoint endpoint, Protocol protocol) noexcept
    {
        return (static_cast<std::uint64_t>(endpoint.address) << 32U) | (static_cast<std::uint64_t>(endpoint.port) << 16U) | static_cast<std::uint64_t>(protocol);
    }

    /// Moves the owner to the front; the others keep their order, and the last one gives way in a full list.
    void putFirst(Endpoint owner, RouteOption& route) noexcept
    {
        auto const begin = route.candidates.begin();
        auto const end = begin + route.candidateCount;
        auto const found = std::find(begin, end, owner);
        if (found == end && route.candidateCount < maximumCandidates)
            ++route.candidateCount;
        auto const replaced = std::min(found, route.candidates.end() - 1);
        std::move_backward(begin, replaced, replaced + 1);
        *begin = owner;
    }

    /// True if two views rank alike. Draining does not enter, so that a drain rebuilds no table.
    bool isSameRanking(std::span<ViewTarget const> left, std::span<ViewTarget const> right) noexcept
    {
        auto const isSame = [](ViewTarget const& one, ViewTarget const& other) {
            return one.name == other.name && one.data == other.data && one.weight == other.weight && one.dead == other.dead;
        };
        return std::equal(left.begin(), left.end(), right.begin(), right.end(), isSame);
    }

    struct ServiceState {
        ServiceView view;
        CandidateTable table;
        bool isDeclared { false };
    };

} // namespace

struct EntryPipeline::State {
    explicit State(EntryOptions const& options)
        : self(options.self)
        , keys(options.keys)
        , cache(options.flowCacheEntries)
    {
    }

    /// One packet on its way through the filters.
    struct Work {
        std::span<std::byte const> datagram;
        TimePoint now;
        std::uint32_t nowSeconds { 0 };
        InnerPacket packet;
        ServiceState const* service { nullptr };
        RouteOption route;
        EntryDecision decision;
    };

    /// A filter; anything but Forward ends the packet's way.
    using Filter = EntryOutcome (State::*)(Work&) noexcept;

    EntryOutcome classify(Work& work) noexcept;
    EntryOutcome select(Work& work) noexcept;
    EntryOutcome encapsulate(Work& work) noexcept;

    static constexpr std::array<Filter, 3> filters { &State::classify, &State::select, &State::encapsulate };

    ServiceState& stateOf(ServiceHash service);

    Endpoint self;
    KeyRing keys;
    FlowCache cache;
    absl::flat_hash_map<ServiceHash, std::unique_ptr<ServiceState>> services;
    absl::flat_hash_map<std::uint64_t, std::pair<ServiceHash, ServiceState const*>> addresses;
    std::array<std::byte, maximumHeaderBytes> header {};
    std::size_t headerBytes { 0 };
};

EntryOutcome EntryPipeline::State::classify(Work& work) noexcept
{
    DecodedDatagram const decoded = decodePlain(work.datagram);
    if (decoded.error != DatagramError::None)
        return EntryOutcome::DropMalformed;
    ParsedPacket const parsed = parseInnerPacket(decoded.inner);
    if (parsed.error != PacketError::None)
        return EntryOutcome::DropMalformed;
    // The set is in memory and not in the processor's cache for most flows; the look-ups before its use hide the wait.
    cache.prefetch(parsed.packet.flow);
    FlowKey const& key = parsed.packet.key;
    auto const found = addresses.find(addressKey(key.destination, key.protocol));
    if (found == addresses.end())
        return EntryOutcome::DropNoService;
    work.packet = parsed.packet;
    work.decision.service = found->second.first;
    work.decision.inner = decoded.inner;
    work.service = found->second.second;
    return EntryOutcome::Forward;
}

EntryOutcome EntryPipeline::State::select(Work& work) noexcept
{
    SelectionRule const& rule = selectionRules[static_cast<std::size_t>(classOf(work.packet))];
    work.service->table.list(work.packet.flow, rule.dead, work.route);
    std::optional<CachedOwner> const cached = cache.find(work.packet.flow, work.now);
    if (cached.has_value() && cached->age <= rule.ownerCertainty) {
        TargetStatus const status = work.service->table.status(cached->owner);
        if (status == TargetStatus::Live || (status == TargetStatus::Dead && rule.usesDeadOwner))
            putFirst(cached->owner, work.route);
    }
    if (work.route.candidateCount == 0)
        return EntryOutcome::DropNoTarget;
    work.decision.to = work.route.candidates.front();
    return EntryOutcome::Forward;
}

EntryOutcome EntryPipeline::State::encapsulate(Work& work) noexcept
{
    work.route.service = work.decision.service;
    work.route.viewFingerprint = work.service->view.fingerprint;
    work.route.entry = self;
    work.route.sentSeconds = work.nowSeconds;
    headerBytes = writeRoutedHeader(work.route, work.decision.inner, keys, header);
    work.decision.headerBytes = headerBytes;
    // Without a key nothing can be sent that an agent would take.
    return headerBytes != 0 ? EntryOutcome::Forward : EntryOutcome::DropNoTarget;
}

ServiceState& EntryPipeline::State::stateOf(ServiceHash service)
{
    std::unique_ptr<ServiceState>& state = services[service];
    if (state == nullptr)
        state = std::make_unique<ServiceState>();
    return *state;
}

EntryPipeline::EntryPipeline(EntryOptions const& options)
    : state_(std::make_unique<State>(options))
{
}

EntryPipeline::~EntryPipeline() = default;

void EntryPipeline::setConfiguration(Configuration const& configuration)
{
    state_->addresses.clear();
    for (auto const& [hash, service] : state_->services)
        service->isDeclared = false;
    for (Service const& service : configuration.services) {
        ServiceHash const hash = hashService(service.name);
        ServiceState& target = state_->stateOf(hash);
        target.isDeclared = true;
        for (ServiceAddress const& address : service.addresses)
            state_->addresses.try_emplace(addressKey(address.endpoint, address.protocol), hash, &target);
    }
    // A view may arrive before the declaration of its service, so that undeclared services keep theirs.
    absl::erase_if(state_->services, [](auto const& item) { return !item.second->isDeclared && item.second->view.targets.empty(); });
}

void EntryPipeline::setView(ServiceView const& view)
{
    ServiceState& service = state_->stateOf(hashService(view.service));
    bool const isSame = isSameRanking(service.view.targets, view.targets);
    service.view = view;
    if (!isSame)
        service.table.rebuild(service.view.targets);
}

void EntryPipeline::setKeys(KeyRing const& keys)
{
    state_->keys = keys;
}

EntryDecision EntryPipeline::decide(std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds) noexcept
{
    State::Work work;
    work.datagram = datagram;
    work.now = now;
    work.nowSeconds = nowSeconds;
    work.decision.outcome = EntryOutcome::Forward;
    state_->headerBytes = 0;
    for (State::Filter const filter : State::filters) {
        work.decision.outcome = ((*state_).*filter)(work);
        if (work.decision.outcome != EntryOutcome::Forward)
            break;
    }
    return work.decision;
}

std::span<std::byte const> EntryPipeline::headerBuffer() const noexcept
{
    return { state_->header.data(), state_->headerBytes };
}

void EntryPipeline::learnOwner(FlowHash flow, Endpoint owner, TimePoint now) noexcept
{
    state_->cache.learn(flow, owner, now);
}

std::uint32_t EntryPipeline::fingerprint(ServiceHash service) const noexcept
{
    auto const found = state_->services.find(service);
    return found == state_->services.end() ? 0 : found->second->view.fingerprint;
}

} // namespace plantaindrift
