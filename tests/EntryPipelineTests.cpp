// Guards against packets for the wrong service, first packets that leave the rank order and so open a flow twice, and
// later packets that miss their owner.

#include "PacketFixtures.h"
#include "plantaindrift/plantaindrift.h"

#include <boost/test/unit_test.hpp>

using namespace plantaindrift;
using namespace fixtures;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { std::chrono::hours { 5 } };
constexpr Endpoint self { 0x0A000001, 6000 };

/// An entry with its configuration, and the route of its last decision.
struct Entry {
    explicit Entry(std::size_t targets, std::size_t cacheEntries = 1024)
        : view(makeView(targets))
        , pipeline({ self, makeKeys(), cacheEntries })
    {
        pipeline.setConfiguration(makeConfiguration());
        pipeline.setView(view);
    }

    EntryOutcome send(Tins::IP const& packet, TimePoint now = start)
    {
        datagram = encapsulate(serialize(packet));
        decision = pipeline.decide(datagram, now, nowSeconds);
        route = {};
        if (decision.outcome == EntryOutcome::Forward)
            decode();
        return decision.outcome;
    }

    /// Decodes the way an agent does, from the header and the inner packet as they are sent.
    void decode()
    {
        std::span<std::byte const> const header = pipeline.headerBuffer();
        BOOST_TEST_REQUIRE(header.size() == decision.headerBytes);
        Bytes sent { header.begin(), header.end() };
        sent.insert(sent.end(), decision.inner.begin(), decision.inner.end());
        DecodedDatagram const decoded = decodeRouted(sent, makeKeys(), nowSeconds);
        BOOST_TEST_REQUIRE((decoded.error == DatagramError::None));
        route = decoded.route;
        BOOST_TEST_REQUIRE(route.candidateCount > 0);
        BOOST_TEST((decision.to == route.candidates[0]));
    }

    [[nodiscard]] std::vector<Endpoint> candidates() const { return { route.candidateSpan().begin(), route.candidateSpan().end() }; }

    ServiceView view;
    EntryPipeline pipeline;
    Bytes datagram;
    EntryDecision decision;
    RouteOption route;
};

FlowHash flowOf(Tins::IP const& packet)
{
    return parseInnerPacket(serialize(packet)).packet.flow;
}

std::vector<Endpoint> ownerFirst(std::vector<Endpoint> candidates, std::size_t rank)
{
    std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(rank), candidates.begin() + static_cast<std::ptrdiff_t>(rank) + 1);
    return candidates;
}

void markDead(Entry& entry, Endpoint endpoint)
{
    std::ranges::find(entry.view.targets, endpoint, &ViewTarget::data)->dead = true;
    entry.view.fingerprint = viewFingerprint(entry.view.targets);
    entry.pipeline.setView(entry.view);
}

Tins::IP const syn = makeTcp(Tins::TCP::SYN);
Tins::IP const ack = makeTcp(Tins::TCP::ACK, 10);
Tins::IP const udp = makeUdp(10);

} // namespace

BOOST_AUTO_TEST_CASE(ForwardsWithAFullRoute)
{
    Entry entry { 5 };
    BOOST_TEST_REQUIRE((entry.send(syn) == EntryOutcome::Forward));
    BOOST_TEST((entry.route.service == hashService("rota-desk")));
    BOOST_TEST((entry.decision.service == hashService("rota-desk")));
    BOOST_TEST(entry.route.viewFingerprint == entry.view.fingerprint);
    BOOST_TEST(entry.pipeline.fingerprint(hashService("rota-desk")) == entry.view.fingerprint);
    BOOST_TEST((entry.route.entry == self));
    BOOST_TEST(!entry.route.claimant.isSet());
    BOOST_TEST(!entry.route.returning);
    BOOST_TEST(entry.route.hops == 0);
    BOOST_TEST(entry.route.position == 0);
    BOOST_TEST(entry.route.sentSeconds == nowSeconds);
    BOOST_TEST(entry.candidates().size() == 5U);
    BOOST_TEST(std::ranges::equal(entry.decision.inner, serialize(syn)));
}

BOOST_AUTO_TEST_CASE(DropsWhatMatchesNoService)
{
    Entry entry { 3 };
    Endpoint const otherPort { service.address, 7001 };
    Endpoint const otherAddress { service.address + 1, service.port };
    BOOST_TEST((entry.send(makeTcp(Tins::TCP::SYN, 0, caller, otherPort)) == EntryOutcome::DropNoService));
    BOOST_TEST((entry.send(makeTcp(Tins::TCP::SYN, 0, caller, otherAddress)) == EntryOutcome::DropNoService));
    BOOST_TEST(entry.pipeline.headerBuffer().empty());

    Configuration tcpOnly = makeConfiguration();
    tcpOnly.services[0].addresses.resize(1);
    entry.pipeline.setConfiguration(tcpOnly);
    BOOST_TEST((entry.send(syn) == EntryOutcome::Forward));
    BOOST_TEST((entry.send(udp) == EntryOutcome::DropNoService));
    entry.pipeline.setConfiguration({});
    BOOST_TEST((entry.send(syn) == EntryOutcome::DropNoService));
}

BOOST_AUTO_TEST_CASE(DropsMalformedDatagrams)
{
    Entry entry { 3 };
    Bytes const datagram = encapsulate(serialize(syn));
    for (std::size_t size = 0; size < datagram.size(); ++size) {
        Bytes const cut { datagram.begin(), datagram.begin() + static_cast<std::ptrdiff_t>(size) };
        BOOST_TEST((entry.pipeline.decide(cut, start, nowSeconds).outcome == EntryOutcome::DropMalformed), "length " << size);
    }
}

BOOST_AUTO_TEST_CASE(DropsWithoutTargetsOrKeys)
{
    Entry entry { 0 };
    for (Tins::IP const& packet : { syn, ack, udp })
        BOOST_TEST((entry.send(packet) == EntryOutcome::DropNoTarget));
    entry.pipeline.setView(makeView(2));
    BOOST_TEST((entry.send(syn) == EntryOutcome::Forward));
    entry.pipeline.setKeys(KeyRing {});
    BOOST_TEST((entry.send(syn) == EntryOutcome::DropNoTarget));
}

// A view can arrive before the configuration that declares its service, and the other way round.
BOOST_AUTO_TEST_CASE(OrderOfConfigurationAndViewDoesNotMatter)
{
    EntryPipeline pipeline { { self, makeKeys(), 16 } };
    Bytes const datagram = encapsulate(serialize(syn));
    pipeline.setView(makeView(2));
    BOOST_TEST((pipeline.decide(datagram, start, nowSeconds).outcome == EntryOutcome::DropNoService));
    pipeline.setConfiguration(makeConfiguration());
    BOOST_TEST((pipeline.decide(datagram, start, nowSeconds).outcome == EntryOutcome::Forward));
    BOOST_TEST(pipeline.fingerprint(hashService("unknown")) == 0U);
}

BOOST_AUTO_TEST_CASE(ServicesDoNotShareTargets)
{
    Entry entry { 2 };
    Endpoint const otherAddress { service.address + 9, 7100 };
    Configuration configuration = makeConfiguration();
    Service other;
    other.name = "ledger-store";
    other.addresses = { { otherAddress, Protocol::Tcp } };
    configuration.services.push_back(other);
    ServiceView otherView = makeView(2, "ledger-store");
    for (ViewTarget& target : otherView.targets)
        target.data.port = 7777;
    entry.pipeline.setConfiguration(configuration);
    entry.pipeline.setView(otherView);

    Tins::IP const packet = makeTcp(Tins::TCP::ACK, 0, caller, otherAddress);
    // An owner of another service must not be used, even if a notice names it for this flow.
    entry.pipeline.learnOwner(flowOf(packet), entry.view.targets[0].data, start);
    BOOST_TEST_REQUIRE((entry.send(packet) == EntryOutcome::Forward));
    BOOST_TEST((entry.route.service == hashService("ledger-store")));
    for (Endpoint const& candidate : entry.candidates())
        BOOST_TEST(candidate.port == 7777);
    BOOST_TEST_REQUIRE((entry.send(syn) == EntryOutcome::Forward));
    for (Endpoint const& candidate : entry.candidates())
        BOOST_TEST(candidate.port == 6081);
}

BOOST_AUTO_TEST_CASE(KnownOwnerIsFirstAndTheOthersKeepTheirOrder)
{
    for (std::size_t rank = 0; rank < 6; ++rank) {
        Entry fresh { 6 };
        BOOST_TEST_REQUIRE((fresh.send(ack) == EntryOutcome::Forward));
        std::vector<Endpoint> const ranked = fresh.candidates();
        fresh.pipeline.learnOwner(flowOf(ack), ranked[rank], start);
        BOOST_TEST_REQUIRE((fresh.send(ack, start + 1h) == EntryOutcome::Forward));
        BOOST_TEST((fresh.candidates() == ownerFirst(ranked, rank)), "rank " << rank);
    }
}

// The owner can be outside the first 8 ranks after many changes; the last candidate gives way.
BOOST_AUTO_TEST_CASE(OwnerOutsideTheListTakesThePlaceOfTheLast)
{
    Entry entry { 20 };
    BOOST_TEST_REQUIRE((entry.send(ack) == EntryOutcome::Forward));
    std::vector<Endpoint> expected = entry.candidates();
    Endpoint const owner = std::ranges::find_if(entry.view.targets, [&expected](ViewTarget const& target) { return std::ranges::find(expected, target.data) == expected.end(); })->data;
    expected.insert(expected.begin(), owner);
    expected.pop_back();
    entry.pipeline.learnOwner(flowOf(ack), owner, start);
    BOOST_TEST_REQUIRE((entry.send(ack) == EntryOutcome::Forward));
    BOOST_TEST((entry.candidates() == expected));
}

// An old notice may name an agent whose flow has ended. If a first packet followed it, that agent would admit the flow,
// and another entry's copy of the packet would be admitted in rank order.
BOOST_AUTO_TEST_CASE(FirstPacketsFollowOnlyFreshNotices)
{
    struct Case {
        Tins::IP packet;
        std::chrono::seconds forgotten; ///< when an agent may have forgotten the flow: reset TCP flow, idle UDP flow
    };
    for (Case const& first : { Case { syn, 5s }, Case { udp, 60s } }) {
        Entry entry { 6 };
        BOOST_TEST_REQUIRE((entry.send(first.packet) == EntryOutcome::Forward));
        std::vector<Endpoint> const ranked = entry.candidates();
        entry.pipeline.learnOwner(flowOf(first.packet), ranked[3], start);
        BOOST_TEST_REQUIRE((entry.send(first.packet, start + 2s) == EntryOutcome::Forward));
        BOOST_TEST((entry.candidates() == ownerFirst(ranked, 3)));
        BOOST_TEST_REQUIRE((entry.send(first.packet, start + first.forgotten) == EntryOutcome::Forward));
        BOOST_TEST((entry.candidates() == ranked));
        BOOST_TEST_REQUIRE((entry.send(first.packet, start + 24h) == EntryOutcome::Forward));
        BOOST_TEST((entry.candidates() == ranked));
    }
}

// A first packet to a dead target is lost, and a probe that a dead target swallows never returns.
BOOST_AUTO_TEST_CASE(DeadTargetsGetLaterPacketsOnly)
{
    Entry entry { 4 };
    BOOST_TEST_REQUIRE((entry.send(ack) == EntryOutcome::Forward));
    Endpoint const dead = entry.candidates().front();
    markDead(entry, dead);
    for (Tins::IP const& packet : { syn, udp }) {
        entry.pipeline.learnOwner(flowOf(packet), dead, start);
        BOOST_TEST_REQUIRE((entry.send(packet, start + 1s) == EntryOutcome::Forward));
        std::vector<Endpoint> const candidates = entry.candidates();
        BOOST_TEST(candidates.size() == 3U);
        BOOST_TEST((std::ranges::find(candidates, dead) == candidates.end()));
    }
}

BOOST_AUTO_TEST_CASE(LaterPacketsEndAtDeadTargetsUnlessTheyOwnTheFlow)
{
    Entry entry { 4 };
    BOOST_TEST_REQUIRE((entry.send(ack) == EntryOutcome::Forward));
    Endpoint const dead = entry.candidates().front();
    markDead(entry, dead);
    BOOST_TEST_REQUIRE((entry.send(ack) == EntryOutcome::Forward));
    BOOST_TEST(entry.candidates().size() == 4U);
    BOOST_TEST((entry.candidates().back() == dead));
    entry.pipeline.learnOwner(flowOf(ack), dead, start);
    BOOST_TEST_REQUIRE((entry.send(ack) == EntryOutcome::Forward));
    BOOST_TEST((entry.candidates().front() == dead));
}

BOOST_AUTO_TEST_CASE(OnlyDeadTargetsTakeNoSyn)
{
    Entry entry { 1 };
    markDead(entry, entry.view.targets[0].data);
    BOOST_TEST((entry.send(syn) == EntryOutcome::DropNoTarget));
    // A UDP packet may belong to a flow that the target has; nothing else could take it.
    BOOST_TEST((entry.send(udp) == EntryOutcome::Forward));
    BOOST_TEST((entry.send(ack) == EntryOutcome::Forward));
}

BOOST_AUTO_TEST_CASE(OwnerThatLeftIsNotUsed)
{
    Entry entry { 4 };
    BOOST_TEST_REQUIRE((entry.send(ack) == EntryOutcome::Forward));
    Endpoint const owner = entry.candidates()[2];
    entry.pipeline.learnOwner(flowOf(ack), owner, start);
    std::erase_if(entry.view.targets, [owner](ViewTarget const& target) { return target.data == owner; });
    entry.pipeline.setView(entry.view);
    BOOST_TEST_REQUIRE((entry.send(ack) == EntryOutcome::Forward));
    std::vector<Endpoint> const candidates = entry.candidates();
    BOOST_TEST((std::ranges::find(candidates, owner) == candidates.end()));
}

BOOST_AUTO_TEST_CASE(NewKeysSign)
{
    Entry entry { 2 };
    entry.pipeline.setKeys(makeKeys(9));
    Bytes const datagram = encapsulate(serialize(syn));
    EntryDecision const decision = entry.pipeline.decide(datagram, start, nowSeconds);
    Bytes sent { entry.pipeline.headerBuffer().begin(), entry.pipeline.headerBuffer().end() };
    sent.insert(sent.end(), decision.inner.begin(), decision.inner.end());
    BOOST_TEST((decodeRouted(sent, makeKeys(9), nowSeconds).error == DatagramError::None));
    BOOST_TEST((decodeRouted(sent, makeKeys(1), nowSeconds).error == DatagramError::Unauthenticated));
}
