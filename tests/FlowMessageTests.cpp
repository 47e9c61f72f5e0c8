// Guards against forged or replayed owner notices, which would steer flows to wrong agents.

#include "PacketFixtures.h"
#include "plantaindrift/plantaindrift.h"

#include <boost/test/unit_test.hpp>

using namespace plantaindrift;
using namespace fixtures;

namespace {

FlowMessage makeMessage(FlowMessageKind kind)
{
    return { kind, FlowHash { 0x0123456789ABCDEF }, Endpoint { 0x0A090001, 6081 }, nowSeconds };
}

Bytes encode(FlowMessage const& message, KeyRing const& keys = makeKeys())
{
    std::array<std::byte, flowMessageBytes> const bytes = encodeFlowMessage(message, keys);
    return { bytes.begin(), bytes.end() };
}

DatagramError errorOf(Bytes const& bytes, KeyRing const& keys = makeKeys(), std::uint32_t now = nowSeconds)
{
    return decodeFlowMessage(bytes, keys, now).error;
}

} // namespace

BOOST_AUTO_TEST_CASE(MessagesRoundTrip)
{
    for (FlowMessageKind const kind : { FlowMessageKind::OwnerNotice, FlowMessageKind::Redirect }) {
        FlowMessage const message = makeMessage(kind);
        DecodedFlowMessage const decoded = decodeFlowMessage(encode(message), makeKeys(), nowSeconds);
        BOOST_TEST_REQUIRE((decoded.error == DatagramError::None));
        BOOST_TEST((decoded.message.kind == kind));
        BOOST_TEST((decoded.message.flow == message.flow));
        BOOST_TEST((decoded.message.owner == message.owner));
        BOOST_TEST(decoded.message.sentSeconds == message.sentSeconds);
    }
}

BOOST_AUTO_TEST_CASE(MessagesAndPacketsAreToldApart)
{
    BOOST_TEST(isFlowMessage(encode(makeMessage(FlowMessageKind::Redirect))));
    BOOST_TEST(!isFlowMessage(encapsulate(serialize(makeUdp(4)))));
    BOOST_TEST(!isFlowMessage(Bytes {}));
    BOOST_TEST((decodePlain(encode(makeMessage(FlowMessageKind::Redirect))).error == DatagramError::NotGeneve));
}

BOOST_AUTO_TEST_CASE(EveryOtherLengthIsRefused)
{
    Bytes const valid = encode(makeMessage(FlowMessageKind::OwnerNotice));
    for (std::size_t size = 0; size < valid.size(); ++size) {
        Bytes const cut { valid.begin(), valid.begin() + static_cast<std::ptrdiff_t>(size) };
        BOOST_TEST((errorOf(cut) == DatagramError::Truncated), "length " << size);
    }
    Bytes extended = valid;
    extended.push_back(std::byte { 0 });
    BOOST_TEST((errorOf(extended) == DatagramError::BadRoute));
}

BOOST_AUTO_TEST_CASE(EveryFlippedBitIsRefused)
{
    Bytes const valid = encode(makeMessage(FlowMessageKind::OwnerNotice));
    for (std::size_t bit = 0; bit < valid.size() * 8; ++bit) {
        Bytes flipped = valid;
        flipped[bit / 8] ^= static_cast<std::byte>(1U << (bit % 8));
        BOOST_TEST((errorOf(flipped) != DatagramError::None), "byte " << bit / 8 << " bit " << bit % 8);
    }
}

BOOST_AUTO_TEST_CASE(KeysRotateAndTimesExpire)
{
    KeyRing both = makeKeys(2);
    both.keys[1] = makeKeys(1).keys[0];
    both.count = 2;
    Bytes const old = encode(makeMessage(FlowMessageKind::OwnerNotice), makeKeys(1));
    BOOST_TEST((errorOf(old, both) == DatagramError::None));
    BOOST_TEST((errorOf(old, makeKeys(2)) == DatagramError::Unauthenticated));
    BOOST_TEST((errorOf(old, both, nowSeconds + 30) == DatagramError::None));
    BOOST_TEST((errorOf(old, both, nowSeconds + 31) == DatagramError::Stale));
    BOOST_TEST((errorOf(old, both, nowSeconds - 31) == DatagramError::Stale));
}

BOOST_AUTO_TEST_CASE(UnknownKindsAndUnsetOwnersAreRefused)
{
    FlowMessage unset = makeMessage(FlowMessageKind::OwnerNotice);
    unset.owner = {};
    BOOST_TEST((errorOf(encode(unset)) == DatagramError::BadRoute));
    BOOST_TEST((errorOf(encode(makeMessage(static_cast<FlowMessageKind>(3)))) == DatagramError::BadRoute));
}
