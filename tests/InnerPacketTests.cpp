// Guards against misread headers, reads past the end of a packet, and fragments that reach a target without ports.

#include "PacketFixtures.h"
#include "plantaindrift/plantaindrift.h"

#include <boost/test/unit_test.hpp>

using namespace plantaindrift;
using namespace fixtures;

namespace {

PacketError errorOf(Bytes const& bytes)
{
    return parseInnerPacket(bytes).error;
}

void checkEveryTruncation(Bytes const& packet)
{
    for (std::size_t size = 0; size < packet.size(); ++size) {
        // A copy of exactly this size lets the address sanitizer see a read past the end.
        Bytes const cut { packet.begin(), packet.begin() + static_cast<std::ptrdiff_t>(size) };
        BOOST_TEST((errorOf(cut) == PacketError::Truncated), "length " << size);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(ReadsTcp)
{
    ParsedPacket const parsed = parseInnerPacket(serialize(makeTcp(Tins::TCP::SYN, 13)));
    BOOST_TEST_REQUIRE((parsed.error == PacketError::None));
    BOOST_TEST((parsed.packet.key == FlowKey { caller, service, Protocol::Tcp }));
    BOOST_TEST((parsed.packet.flow == hashFlow(parsed.packet.key)));
    BOOST_TEST(parsed.packet.syn);
    BOOST_TEST(!parsed.packet.fin);
    BOOST_TEST(!parsed.packet.rst);
    BOOST_TEST(parsed.packet.sequence == 0x89ABCDEFU);
    BOOST_TEST(parsed.packet.payloadBytes == 13);
}

BOOST_AUTO_TEST_CASE(ReadsTcpFlags)
{
    struct Case {
        std::uint16_t flags;
        bool syn;
        bool fin;
        bool rst;
    };
    // A SYN with ACK belongs to a known flow and must not open one.
    for (Case const& expected : { Case { Tins::TCP::SYN | Tins::TCP::ACK, false, false, false }, Case { Tins::TCP::FIN | Tins::TCP::ACK, false, true, false }, Case { Tins::TCP::RST, false, false, true }, Case { Tins::TCP::ACK, false, false, false } }) {
        InnerPacket const packet = parseInnerPacket(serialize(makeTcp(expected.flags))).packet;
        BOOST_TEST(packet.syn == expected.syn, "flags " << expected.flags);
        BOOST_TEST(packet.fin == expected.fin, "flags " << expected.flags);
        BOOST_TEST(packet.rst == expected.rst, "flags " << expected.flags);
    }
}

BOOST_AUTO_TEST_CASE(ReadsUdp)
{
    ParsedPacket const parsed = parseInnerPacket(serialize(makeUdp(5)));
    BOOST_TEST_REQUIRE((parsed.error == PacketError::None));
    BOOST_TEST((parsed.packet.key == FlowKey { caller, service, Protocol::Udp }));
    BOOST_TEST(!parsed.packet.syn);
    BOOST_TEST(parsed.packet.payloadBytes == 5);
}

BOOST_AUTO_TEST_CASE(ReadsPastOptions)
{
    Tins::IP packet = makeTcp(Tins::TCP::SYN, 9);
    packet.add_option(Tins::IP::option { 1 }); // NOP, padded to 4 bytes
    packet.rfind_pdu<Tins::TCP>().mss(1460);
    packet.rfind_pdu<Tins::TCP>().timestamp(7, 8);
    ParsedPacket const parsed = parseInnerPacket(serialize(packet));
    BOOST_TEST_REQUIRE((parsed.error == PacketError::None));
    BOOST_TEST((parsed.packet.key == FlowKey { caller, service, Protocol::Tcp }));
    BOOST_TEST(parsed.packet.payloadBytes == 9);
}

BOOST_AUTO_TEST_CASE(EveryTruncationIsRefused)
{
    checkEveryTruncation(serialize(makeTcp(Tins::TCP::SYN, 11)));
    checkEveryTruncation(serialize(makeUdp(11)));
}

// A link layer may pad short packets; the padding is not payload.
BOOST_AUTO_TEST_CASE(PaddingIsNotPayload)
{
    Bytes bytes = serialize(makeTcp(Tins::TCP::ACK, 3));
    bytes.resize(bytes.size() + 6);
    BOOST_TEST(parseInnerPacket(bytes).packet.payloadBytes == 3);
}

BOOST_AUTO_TEST_CASE(LaterFragmentsAreRefused)
{
    Tins::IP packet = makeUdp(64);
    packet.fragment_offset(4);
    BOOST_TEST((errorOf(serialize(packet)) == PacketError::Fragment));
}

BOOST_AUTO_TEST_CASE(FirstFragmentHasPorts)
{
    Tins::IP whole = makeUdp(64);
    whole.flags(Tins::IP::MORE_FRAGMENTS);
    Bytes bytes = serialize(whole);
    bytes.resize(bytes.size() - 24);
    bytes[3] = static_cast<std::byte>(bytes.size()); // total length of the fragment
    ParsedPacket const parsed = parseInnerPacket(bytes);
    BOOST_TEST_REQUIRE((parsed.error == PacketError::None));
    BOOST_TEST(parsed.packet.key.destination.port == service.port);
    BOOST_TEST(parsed.packet.payloadBytes == 40);
}

BOOST_AUTO_TEST_CASE(OtherProtocolsAndVersionsAreRefused)
{
    Bytes bytes = serialize(makeUdp(4));
    bytes[9] = std::byte { 1 };
    BOOST_TEST((errorOf(bytes) == PacketError::UnsupportedProtocol));
    bytes[0] = std::byte { 0x65 };
    BOOST_TEST((errorOf(bytes) == PacketError::NotIpv4));
}

BOOST_AUTO_TEST_CASE(HeaderLengthsOutOfRangeAreRefused)
{
    Bytes shortIpHeader = serialize(makeTcp(Tins::TCP::SYN));
    shortIpHeader[0] = std::byte { 0x44 };
    BOOST_TEST((errorOf(shortIpHeader) == PacketError::Truncated));

    Bytes longIpHeader = serialize(makeTcp(Tins::TCP::SYN));
    longIpHeader[0] = std::byte { 0x4F };
    BOOST_TEST((errorOf(longIpHeader) == PacketError::Truncated));

    for (std::uint8_t const words : { 0, 4, 15 }) {
        Bytes tcp = serialize(makeTcp(Tins::TCP::SYN));
        tcp[20 + 12] = static_cast<std::byte>(words << 4);
        BOOST_TEST((errorOf(tcp) == PacketError::Truncated), "data offset " << int { words });
    }
    for (std::uint8_t const length : { 0, 7, 13 }) {
        Bytes udp = serialize(makeUdp(4));
        udp[20 + 5] = std::byte { length };
        BOOST_TEST((errorOf(udp) == PacketError::Truncated), "UDP length " << int { length });
    }
}
