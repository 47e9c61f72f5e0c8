// Guards against allocations on the packet path, counted by a replaced operator new.

#include "PacketFixtures.h"
#include "plantaindrift/plantaindrift.h"
#include "support/CountedAllocations.h"

#include <boost/test/unit_test.hpp>

using namespace plantaindrift;
using namespace fixtures;

namespace {

constexpr TimePoint start { std::chrono::hours { 5 } };
constexpr std::uint16_t flowCount = 2000;

std::vector<Bytes> makeDatagrams()
{
    std::vector<Bytes> datagrams;
    for (std::uint16_t flow = 0; flow < flowCount; ++flow) {
        Endpoint const from { caller.address, static_cast<std::uint16_t>(20000 + flow) };
        datagrams.push_back(encapsulate(serialize(makeTcp(Tins::TCP::SYN, 0, from))));
        datagrams.push_back(encapsulate(serialize(makeTcp(Tins::TCP::ACK, 100, from))));
        datagrams.push_back(encapsulate(serialize(makeUdp(100, from))));
        datagrams.push_back(encapsulate(serialize(makeUdp(100, from, { 1, 1 }))));
        datagrams.push_back(Bytes(7));
    }
    return datagrams;
}

} // namespace

BOOST_AUTO_TEST_CASE(CounterSeesAllocations)
{
    std::size_t const before = allocations;
    Bytes const bytes(100);
    BOOST_TEST(allocations > before);
}

BOOST_AUTO_TEST_CASE(EntryDecidesWithoutAllocation)
{
    ServiceView const view = makeView(12);
    EntryPipeline pipeline { { { 0x0A000001, 6000 }, makeKeys(), 256 } };
    pipeline.setConfiguration(makeConfiguration());
    pipeline.setView(view);
    std::vector<Bytes> const datagrams = makeDatagrams();

    std::size_t const before = allocations;
    std::size_t forwarded = 0;
    for (Bytes const& datagram : datagrams) {
        EntryDecision const decision = pipeline.decide(datagram, start, nowSeconds);
        forwarded += decision.outcome == EntryOutcome::Forward ? 1 : 0;
        FlowHash const flow = parseInnerPacket(decision.inner).packet.flow;
        pipeline.learnOwner(flow, view.targets[forwarded % 12].data, start);
    }
    std::size_t const after = allocations;
    BOOST_TEST(forwarded == 3U * flowCount);
    BOOST_TEST(after == before);
}

BOOST_AUTO_TEST_CASE(CodecsDoNotAllocate)
{
    Bytes const tcp = serialize(makeTcp(Tins::TCP::SYN, 10));
    Bytes const udp = serialize(makeUdp(10));
    KeyRing const keys = makeKeys();
    RouteOption route;
    route.candidateCount = maximumCandidates;
    route.candidates.fill(caller);
    route.sentSeconds = nowSeconds;
    Bytes datagram(maximumHeaderBytes);

    std::size_t const before = allocations;
    std::size_t const headerBytes = writeRoutedHeader(route, {}, keys, datagram);
    DecodedDatagram const decoded = decodeRouted({ datagram.data(), headerBytes }, keys, nowSeconds);
    FlowMessage const message { FlowMessageKind::OwnerNotice, FlowHash { 1 }, caller, nowSeconds };
    DecodedFlowMessage const decodedMessage = decodeFlowMessage(encodeFlowMessage(message, keys), keys, nowSeconds);
    std::array<std::byte, maximumRefusalBytes> output;
    std::size_t const reset = writeRefusal(tcp, output);
    std::size_t const unreachable = writeRefusal(udp, output);
    std::size_t const after = allocations;

    BOOST_TEST((decoded.error == DatagramError::None));
    BOOST_TEST((decodedMessage.error == DatagramError::None));
    BOOST_TEST(reset == 40U);
    BOOST_TEST(unreachable == 56U);
    BOOST_TEST(after == before);
}
