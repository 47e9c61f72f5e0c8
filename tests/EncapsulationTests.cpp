// Guards against routes that change on the way, forged or replayed datagrams, and reads past the end of a datagram.

#include "PacketFixtures.h"
#include "plantaindrift/plantaindrift.h"

#include <boost/test/unit_test.hpp>

using namespace plantaindrift;
using namespace fixtures;

namespace {

RouteOption makeRoute(std::uint8_t candidates)
{
    RouteOption route;
    route.service = hashService("rota-desk");
    route.viewFingerprint = 0xDEADBEEF;
    route.entry = { 0x0A000001, 6000 };
    route.claimant = { 0x0A000002, 6001 };
    route.returning = true;
    route.alongList = true;
    route.hops = 3;
    route.position = candidates == 0 ? 0 : static_cast<std::uint8_t>(candidates - 1);
    route.candidateCount = candidates;
    for (std::uint8_t index = 0; index < candidates; ++index)
        route.candidates[index] = { 0x0A090000U + index + 1U, static_cast<std::uint16_t>(6081 + index) };
    route.sentSeconds = nowSeconds;
    return route;
}

Bytes makeRouted(RouteOption const& route, Bytes const& inner, KeyRing const& keys)
{
    std::array<std::byte, maximumHeaderBytes> header;
    std::size_t const size = writeRoutedHeader(route, inner, keys, header);
    Bytes datagram { header.begin(), header.begin() + static_cast<std::ptrdiff_t>(size) };
    datagram.insert(datagram.end(), inner.begin(), inner.end());
    return datagram;
}

DatagramError errorOf(Bytes const& datagram, KeyRing const& keys, std::uint32_t now = nowSeconds)
{
    return decodeRouted(datagram, keys, now).error;
}

bool isEqualRoute(RouteOption const& left, RouteOption const& right)
{
    return left.service == right.service && left.viewFingerprint == right.viewFingerprint && left.entry == right.entry
        && left.claimant == right.claimant && left.returning == right.returning && left.alongList == right.alongList && left.hops == right.hops
        && left.position == right.position && left.candidateCount == right.candidateCount
        && std::ranges::equal(left.candidateSpan(), right.candidateSpan()) && left.sentSeconds == right.sentSeconds;
}

/// Geneve header with options given as raw bytes.
Bytes makeGeneve(std::vector<std::uint8_t> const& options, Bytes const& inner)
{
    std::vector<std::uint8_t> header { static_cast<std::uint8_t>(options.size() / 4), 0, 0x08, 0x00, 0, 0, 0, 0 };
    header.insert(header.end(), options.begin(), options.end());
    Bytes datagram = toBytes(header);
    datagram.insert(datagram.end(), inner.begin(), inner.end());
    return datagram;
}

} // namespace

BOOST_AUTO_TEST_CASE(PlainHeaderIsGeneveWithIpv4)
{
    Bytes const inner = serialize(makeUdp(4));
    Bytes const datagram = encapsulate(inner);
    Bytes const expected = toBytes({ 0, 0, 0x08, 0x00, 0, 0, 0, 0 });
    BOOST_TEST((Bytes { datagram.begin(), datagram.begin() + 8 } == expected));
    DecodedDatagram const decoded = decodePlain(datagram);
    BOOST_TEST((decoded.error == DatagramError::None));
    BOOST_TEST(std::ranges::equal(decoded.inner, inner));
}

BOOST_AUTO_TEST_CASE(PlainDecoderSkipsOptions)
{
    Bytes const inner = serialize(makeUdp(4));
    Bytes const datagram = makeGeneve({ 0x01, 0x02, 0x03, 0x01, 9, 9, 9, 9, 0x01, 0x02, 0x04, 0x00 }, inner);
    DecodedDatagram const decoded = decodePlain(datagram);
    BOOST_TEST((decoded.error == DatagramError::None));
    BOOST_TEST(std::ranges::equal(decoded.inner, inner));
}

// RFC 8926: an endpoint that does not know a critical option must drop the packet.
BOOST_AUTO_TEST_CASE(UnknownCriticalOptionsAreRefused)
{
    Bytes const datagram = makeGeneve({ 0x01, 0x02, 0x83, 0x00 }, serialize(makeUdp(4)));
    BOOST_TEST((decodePlain(datagram).error == DatagramError::NotGeneve));
    BOOST_TEST((errorOf(datagram, makeKeys()) == DatagramError::NotGeneve));
}

// An option that claims more bytes than the header has would be read from the inner packet.
BOOST_AUTO_TEST_CASE(OversizedOptionsAreRefused)
{
    Bytes const inner = serialize(makeTcp(Tins::TCP::SYN, 300));
    for (std::uint8_t words = 1; words < 32; ++words) {
        Bytes const datagram = makeGeneve({ 0x01, 0x02, 0x03, words }, inner);
        BOOST_TEST((decodePlain(datagram).error == DatagramError::NotGeneve), "words " << int { words });
    }
    Bytes longest = makeGeneve({}, {});
    longest[0] = std::byte { 63 };
    longest.resize(8 + 63 * 4 - 1);
    BOOST_TEST((decodePlain(longest).error == DatagramError::Truncated));
    longest.resize(8 + 63 * 4);
    BOOST_TEST((decodePlain(longest).error == DatagramError::None));
}

BOOST_AUTO_TEST_CASE(OtherProtocolsVersionsAndControlPacketsAreRefused)
{
    Bytes const valid = encapsulate(serialize(makeUdp(4)));
    Bytes version = valid;
    version[0] = std::byte { 0x40 };
    Bytes control = valid;
    control[1] = std::byte { 0x80 };
    Bytes ethernet = valid;
    ethernet[2] = std::byte { 0x65 };
    for (Bytes const& datagram : { version, control, ethernet })
        BOOST_TEST((decodePlain(datagram).error == DatagramError::NotGeneve));
}

BOOST_AUTO_TEST_CASE(PlainTruncationsAreRefused)
{
    Bytes const datagram = makeGeneve({ 0x01, 0x02, 0x03, 0x01, 9, 9, 9, 9 }, {});
    for (std::size_t size = 0; size < datagram.size(); ++size) {
        Bytes const cut { datagram.begin(), datagram.begin() + static_cast<std::ptrdiff_t>(size) };
        BOOST_TEST((decodePlain(cut).error == DatagramError::Truncated), "length " << size);
    }
}

BOOST_AUTO_TEST_CASE(RoutesRoundTrip)
{
    Bytes const inner = serialize(makeTcp(Tins::TCP::SYN, 100));
    for (std::uint8_t candidates = 0; candidates <= maximumCandidates; ++candidates) {
        RouteOption const route = makeRoute(candidates);
        Bytes const datagram = makeRouted(route, inner, makeKeys());
        BOOST_TEST(datagram.size() <= inner.size() + maximumHeaderBytes);
        DecodedDatagram const decoded = decodeRouted(datagram, makeKeys(), nowSeconds);
        BOOST_TEST_REQUIRE((decoded.error == DatagramError::None), "candidates " << int { candidates });
        BOOST_TEST(isEqualRoute(decoded.route, route));
        BOOST_TEST(std::ranges::equal(decoded.inner, inner));
    }
}

// RFC 8926: header length in 4-byte words, C bit set, option class in the experimental range.
BOOST_AUTO_TEST_CASE(RoutedHeaderFollowsTheRfc)
{
    Bytes const inner = serialize(makeUdp(4));
    for (std::uint8_t candidates = 0; candidates <= maximumCandidates; ++candidates) {
        Bytes const datagram = makeRouted(makeRoute(candidates), inner, makeKeys());
        std::size_t const headerBytes = datagram.size() - inner.size();
        BOOST_TEST(std::to_integer<std::size_t>(datagram[0]) * 4 + 8 == headerBytes);
        BOOST_TEST((datagram[1] == std::byte { 0x40 }));
        BOOST_TEST((datagram[8] == std::byte { 0xFF }));
        BOOST_TEST((std::to_integer<int>(datagram[10]) & 0x80) == 0x80);
        BOOST_TEST(std::to_integer<std::size_t>(datagram[11]) * 4 + 12 == headerBytes);
    }
}

// An entry that took a routed datagram for one of the fabric's would send it round again.
BOOST_AUTO_TEST_CASE(RoutedDatagramIsNotPlain)
{
    Bytes const datagram = makeRouted(makeRoute(2), serialize(makeUdp(4)), makeKeys());
    BOOST_TEST((decodePlain(datagram).error == DatagramError::NotGeneve));
    BOOST_TEST((errorOf(encapsulate(serialize(makeUdp(4))), makeKeys()) == DatagramError::MissingRoute));
}

BOOST_AUTO_TEST_CASE(EveryTruncationIsRefused)
{
    Bytes const datagram = makeRouted(makeRoute(8), serialize(makeTcp(Tins::TCP::SYN, 200)), makeKeys());
    for (std::size_t size = 0; size < datagram.size(); ++size) {
        Bytes const cut { datagram.begin(), datagram.begin() + static_cast<std::ptrdiff_t>(size) };
        BOOST_TEST((errorOf(cut, makeKeys()) != DatagramError::None), "length " << size);
    }
    Bytes extended = datagram;
    extended.push_back(std::byte { 0 });
    BOOST_TEST((errorOf(extended, makeKeys()) == DatagramError::Unauthenticated));
}

BOOST_AUTO_TEST_CASE(EveryFlippedBitIsRefused)
{
    // 40 bytes of IP and TCP headers and 24 bytes of payload: all inner bytes are under the tag.
    Bytes const inner = serialize(makeTcp(Tins::TCP::SYN, 24));
    BOOST_TEST_REQUIRE(inner.size() == 64U);
    for (std::uint8_t const candidates : { 1, 8 }) {
        Bytes const datagram = makeRouted(makeRoute(candidates), inner, makeKeys());
        for (std::size_t bit = 0; bit < datagram.size() * 8; ++bit) {
            Bytes flipped = datagram;
            flipped[bit / 8] ^= static_cast<std::byte>(1U << (bit % 8));
            BOOST_TEST((errorOf(flipped, makeKeys()) != DatagramError::None), "byte " << bit / 8 << " bit " << bit % 8);
        }
    }
}

BOOST_AUTO_TEST_CASE(KeysRotateWithoutLoss)
{
    Bytes const inner = serialize(makeUdp(4));
    KeyRing const before = makeKeys(1);
    KeyRing const after = makeKeys(2);
    KeyRing both = after;
    both.keys[1] = before.keys[0];
    both.count = 2;
    Bytes const old = makeRouted(makeRoute(2), inner, before);
    Bytes const fresh = makeRouted(makeRoute(2), inner, both);
    BOOST_TEST((errorOf(old, both) == DatagramError::None));
    BOOST_TEST((errorOf(fresh, both) == DatagramError::None));
    BOOST_TEST((errorOf(fresh, after) == DatagramError::None));
    BOOST_TEST((errorOf(old, after) == DatagramError::Unauthenticated));
    BOOST_TEST((errorOf(fresh, before) == DatagramError::Unauthenticated));
    KeyRing sameEpoch = makeKeys(1);
    sameEpoch.keys[0].bytes[0] ^= 1U;
    BOOST_TEST((errorOf(old, sameEpoch) == DatagramError::Unauthenticated));
}

BOOST_AUTO_TEST_CASE(WithoutKeysNothingIsWrittenOrAccepted)
{
    Bytes const inner = serialize(makeUdp(4));
    std::array<std::byte, maximumHeaderBytes> header;
    BOOST_TEST(writeRoutedHeader(makeRoute(2), inner, KeyRing {}, header) == 0U);
    BOOST_TEST((errorOf(makeRouted(makeRoute(2), inner, makeKeys(0)), KeyRing {}) == DatagramError::Unauthenticated));
}

BOOST_AUTO_TEST_CASE(StaleDatagramsAreRefused)
{
    Bytes const datagram = makeRouted(makeRoute(2), serialize(makeUdp(4)), makeKeys());
    BOOST_TEST((errorOf(datagram, makeKeys(), nowSeconds + 30) == DatagramError::None));
    BOOST_TEST((errorOf(datagram, makeKeys(), nowSeconds + 31) == DatagramError::Stale));
    BOOST_TEST((errorOf(datagram, makeKeys(), nowSeconds - 30) == DatagramError::None));
    BOOST_TEST((errorOf(datagram, makeKeys(), nowSeconds - 31) == DatagramError::Stale));
}

// A sender with a valid key and a fault must not make an agent index past the candidates.
BOOST_AUTO_TEST_CASE(FieldsOutOfRangeAreRefused)
{
    Bytes const inner = serialize(makeUdp(4));
    RouteOption position = makeRoute(2);
    position.position = 3;
    RouteOption hops = makeRoute(2);
    hops.hops = maximumHops + 1;
    RouteOption claimant = makeRoute(2);
    claimant.claimant = {};
    RouteOption unset = makeRoute(2);
    unset.candidates[1] = {};
    for (RouteOption const& route : { position, hops, claimant, unset })
        BOOST_TEST((errorOf(makeRouted(route, inner, makeKeys()), makeKeys()) == DatagramError::BadRoute));
    RouteOption tooMany = makeRoute(8);
    tooMany.candidateCount = 200;
    DecodedDatagram const decoded = decodeRouted(makeRouted(tooMany, inner, makeKeys()), makeKeys(), nowSeconds);
    BOOST_TEST(int { decoded.route.candidateCount } == 8);
}

BOOST_AUTO_TEST_CASE(SmallOutputIsLeftAlone)
{
    Bytes const inner = serialize(makeUdp(4));
    std::array<std::byte, 64> small;
    BOOST_TEST(writeRoutedHeader(makeRoute(8), inner, makeKeys(), small) == 0U);
    BOOST_TEST(writePlainHeader(std::span<std::byte> { small }.first(7)) == 0U);
}
