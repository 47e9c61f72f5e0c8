// Guards against refusals that a caller's network stack ignores, and against answers that must never be sent.

#include "PacketFixtures.h"
#include "plantaindrift/plantaindrift.h"

#include <boost/test/unit_test.hpp>

#include <tins/icmp.h>

using namespace plantaindrift;
using namespace fixtures;

namespace {

Bytes refuse(Bytes const& inner)
{
    std::array<std::byte, maximumRefusalBytes> output;
    std::size_t const size = writeRefusal(inner, output);
    return { output.begin(), output.begin() + static_cast<std::ptrdiff_t>(size) };
}

Tins::IP parse(Bytes const& bytes)
{
    return Tins::IP { reinterpret_cast<std::uint8_t const*>(bytes.data()), static_cast<std::uint32_t>(bytes.size()) };
}

/// True if libtins, which computes all checksums anew, writes the same bytes.
bool hasCorrectChecksums(Bytes const& bytes)
{
    return serialize(parse(bytes)) == bytes;
}

} // namespace

BOOST_AUTO_TEST_CASE(SynIsResetAndAcknowledged)
{
    struct Case {
        std::uint16_t flags;
        std::size_t payload;
        std::uint32_t acknowledged;
    };
    // SYN and FIN each take one sequence number, and so does each payload byte of a fast open.
    for (Case const& expected : { Case { Tins::TCP::SYN, 0, 1 }, Case { Tins::TCP::SYN, 17, 18 }, Case { Tins::TCP::SYN | Tins::TCP::FIN, 17, 19 } }) {
        Bytes const refusal = refuse(serialize(makeTcp(expected.flags, expected.payload)));
        BOOST_TEST_REQUIRE(refusal.size() == 40U);
        BOOST_TEST(hasCorrectChecksums(refusal));
        Tins::IP const packet = parse(refusal);
        BOOST_TEST(packet.src_addr().to_string() == formatAddress(service.address));
        BOOST_TEST(packet.dst_addr().to_string() == formatAddress(caller.address));
        Tins::TCP const& tcp = packet.rfind_pdu<Tins::TCP>();
        BOOST_TEST(tcp.sport() == service.port);
        BOOST_TEST(tcp.dport() == caller.port);
        BOOST_TEST(tcp.flags() == (Tins::TCP::RST | Tins::TCP::ACK));
        BOOST_TEST(tcp.seq() == 0U);
        BOOST_TEST(tcp.ack_seq() == 0x89ABCDEFU + expected.acknowledged);
    }
}

// RFC 9293: a reset to a segment with ACK takes its sequence number from the acknowledgement and has no ACK itself.
BOOST_AUTO_TEST_CASE(AcknowledgingSegmentIsResetAtItsAcknowledgement)
{
    Bytes const refusal = refuse(serialize(makeTcp(Tins::TCP::SYN | Tins::TCP::ACK, 0)));
    BOOST_TEST(hasCorrectChecksums(refusal));
    Tins::IP const packet = parse(refusal);
    Tins::TCP const& tcp = packet.rfind_pdu<Tins::TCP>();
    BOOST_TEST(tcp.flags() == Tins::TCP::RST);
    BOOST_TEST(tcp.seq() == 0x01020304U);
    BOOST_TEST(tcp.ack_seq() == 0U);
}

// Two ends that answer resets with resets would never stop.
BOOST_AUTO_TEST_CASE(ResetsAreNotAnswered)
{
    BOOST_TEST(refuse(serialize(makeTcp(Tins::TCP::RST))).empty());
    BOOST_TEST(refuse(serialize(makeTcp(Tins::TCP::RST | Tins::TCP::ACK))).empty());
}

BOOST_AUTO_TEST_CASE(UdpGetsPortUnreachable)
{
    for (std::size_t const payload : { 0, 1, 9, 1000 }) {
        Bytes const inner = serialize(makeUdp(payload));
        Bytes const refusal = refuse(inner);
        BOOST_TEST_REQUIRE(refusal.size() == 56U);
        BOOST_TEST(hasCorrectChecksums(refusal));
        Tins::IP const packet = parse(refusal);
        BOOST_TEST(packet.src_addr().to_string() == formatAddress(service.address));
        BOOST_TEST(packet.dst_addr().to_string() == formatAddress(caller.address));
        Tins::ICMP const& icmp = packet.rfind_pdu<Tins::ICMP>();
        BOOST_TEST((icmp.type() == Tins::ICMP::DEST_UNREACHABLE));
        BOOST_TEST(int { icmp.code() } == 3);
        // The caller finds its socket by the quoted headers.
        BOOST_TEST(std::equal(inner.begin(), inner.begin() + 28, refusal.begin() + 28));
    }
}

BOOST_AUTO_TEST_CASE(QuotesAllIpOptions)
{
    Tins::IP packet = makeUdp(12);
    for (int option = 0; option < 40; ++option)
        packet.add_option(Tins::IP::option { 1 });
    Bytes const inner = serialize(packet);
    BOOST_TEST_REQUIRE((inner[0] == std::byte { 0x4F }));
    Bytes const refusal = refuse(inner);
    BOOST_TEST_REQUIRE(refusal.size() == 96U);
    BOOST_TEST(std::equal(inner.begin(), inner.begin() + 68, refusal.begin() + 28));
    BOOST_TEST(hasCorrectChecksums(refusal));
}

// RFC 1122: no error is sent in reply to a packet whose source or destination is not one host.
BOOST_AUTO_TEST_CASE(GroupAddressesAreNotAnswered)
{
    for (std::uint32_t const address : { 0x00000001U, 0xE0000001U, 0xFFFFFFFFU }) {
        Endpoint const group { address, 9 };
        BOOST_TEST(refuse(serialize(makeUdp(4, group, service))).empty());
        BOOST_TEST(refuse(serialize(makeUdp(4, caller, group))).empty());
        BOOST_TEST(refuse(serialize(makeTcp(Tins::TCP::SYN, 0, group, service))).empty());
    }
}

BOOST_AUTO_TEST_CASE(MalformedPacketsAreNotAnswered)
{
    Bytes const inner = serialize(makeTcp(Tins::TCP::SYN, 4));
    for (std::size_t size = 0; size < inner.size(); ++size) {
        Bytes const cut { inner.begin(), inner.begin() + static_cast<std::ptrdiff_t>(size) };
        BOOST_TEST(refuse(cut).empty(), "length " << size);
    }
    Tins::IP fragment = makeUdp(64);
    fragment.fragment_offset(4);
    BOOST_TEST(refuse(serialize(fragment)).empty());
    std::array<std::byte, maximumRefusalBytes - 1> small;
    BOOST_TEST(writeRefusal(inner, small) == 0U);
}
