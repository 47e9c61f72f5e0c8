// Guards against relay datagrams that are decoded wrongly, accepted without a valid tag, or read beyond their end.
#include "plantaindrift/relay/RelayMessage.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace {

using namespace plantaindrift;

using Bytes = std::vector<std::byte>;

constexpr std::uint32_t wallSeconds = 1'000'000;

KeyRing keysOf(std::uint8_t epoch, std::uint8_t fill)
{
    KeyRing ring;
    ring.count = 1;
    ring.keys[0].epoch = epoch;
    ring.keys[0].bytes.fill(fill);
    return ring;
}

KeyRing const keys = keysOf(3, 7);
RelayFlow const flow { { 0x64400007U, 40001 }, { 0xC6120001U, 443 } };
OwnedFlow const owned { flow, { 0x0A02000CU, 8172 } };
TargetLoad const load { true, 7, 5, 40, 553, 12 };

EntryLoad const narrowStatus { 0xCAFE1234U, 1'250'000, 1'100'000, 0.88, false, std::chrono::milliseconds { 420 } };

Bytes packetOf(RelayRoute const& route, Bytes const& segment)
{
    Bytes datagram(maximumRelayHeaderBytes);
    datagram.resize(writeRelayPacket(route, segment, { keys, wallSeconds }, datagram));
    datagram.insert(datagram.end(), segment.begin(), segment.end());
    return datagram;
}

std::vector<Endpoint> const agents { { 0x0A02000CU, 8172 }, { 0x0A02000DU, 8172 } };

RelayRoute someRoute()
{
    RelayRoute route;
    route.serviceHash = ServiceHash { 0x1122334455667788ULL };
    route.entry = { 0x0A010009U, 7735 };
    route.hops = 2;
    route.searchMode = RelaySearchMode::ReportOnly;
    route.candidateCount = 2;
    route.candidates[0] = { { 0x0A02000CU, 8172 }, 1234 };
    route.candidates[1] = { { 0x0A02000DU, 8172 }, 20000 };
    return route;
}

// One datagram of each kind.
std::vector<Bytes> allKinds()
{
    RelaySigningContext const seal { keys, wallSeconds };
    std::vector<Bytes> datagrams { packetOf(someRoute(), Bytes(31)) };
    Bytes buffer(maximumRelayMessageBytes);
    std::vector<OwnedFlow> const flows(3, owned);
    datagrams.emplace_back(buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(writeRelayOwnerNotice(flow, load, seal, buffer)));
    datagrams.emplace_back(buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(writeRelayLoadReport(ServiceHash { 5 }, load, seal, buffer)));
    datagrams.emplace_back(buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(writeRelayLoadSubscription(std::chrono::milliseconds { 250 }, seal, buffer)));
    datagrams.emplace_back(buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(writeRelayFlowOwners(ServiceHash { 5 }, flows, seal, buffer)));
    datagrams.emplace_back(buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(writeRelayFlowNotFound(ServiceHash { 5 }, flow, seal, buffer)));
    Bytes const segment(31);
    datagrams.emplace_back(buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(writeRelaySearchRequest(ServiceHash { 5 }, owned.owner, agents, segment, seal, buffer)));
    datagrams.back().insert(datagrams.back().end(), segment.begin(), segment.end());
    std::vector<std::uint64_t> const hashes { 1, 0x1122334455667788ULL };
    datagrams.emplace_back(buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(writeRelayFlowQuery(ServiceHash { 5 }, 77, hashes, seal, buffer)));
    std::vector<std::uint8_t> const possible { 1, 0 | heldFlowFlag, 63 | improbableFlowFlag, 5 | unheardTargetFlag };
    datagrams.emplace_back(buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(writeRelayFlowQueryReply(ServiceHash { 5 }, 77, possible, seal, buffer)));
    std::vector<EntryLoad> const statuses(2, narrowStatus);
    datagrams.emplace_back(buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(writeRelayEntryStatus(statuses, seal, buffer)));
    RelayRoute declined = someRoute();
    declined.isLastOffer = true;
    datagrams.emplace_back(buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(writeRelayOpeningDeclined(declined, OpeningReason::Cold, load, {}, segment, seal, buffer)));
    datagrams.back().insert(datagrams.back().end(), segment.begin(), segment.end());
    return datagrams;
}

} // namespace

BOOST_AUTO_TEST_CASE(APacketKeepsItsRouteAndSegment)
{
    RelayRoute const route = someRoute();
    Bytes const segment(1231, std::byte { 0x5A });
    Bytes const datagram = packetOf(route, segment);
    DecodedRelayMessage const decoded = decodeRelayMessage(datagram, keys, wallSeconds);
    BOOST_TEST((decoded.error == DatagramError::None));
    BOOST_TEST((decoded.kind == RelayMessageKind::Packet));
    BOOST_TEST((decoded.route.serviceHash == route.serviceHash));
    BOOST_TEST((decoded.route.entry == route.entry));
    BOOST_TEST(decoded.route.hops == 2);
    BOOST_TEST((decoded.route.searchMode == RelaySearchMode::ReportOnly));
    BOOST_TEST(decoded.route.candidateCount == 2);
    BOOST_TEST((decoded.route.candidates == route.candidates));
    BOOST_TEST(std::equal(decoded.segment.begin(), decoded.segment.end(), segment.begin(), segment.end()));
}

BOOST_AUTO_TEST_CASE(MessagesKeepTheirFields)
{
    std::vector<Bytes> const datagrams = allKinds();
    DecodedRelayMessage const notice = decodeRelayMessage(datagrams[1], keys, wallSeconds);
    BOOST_TEST((notice.kind == RelayMessageKind::OwnerNotice && notice.flow == flow && notice.load == load));
    DecodedRelayMessage const loaded = decodeRelayMessage(datagrams[2], keys, wallSeconds);
    BOOST_TEST((loaded.kind == RelayMessageKind::LoadReport && loaded.serviceHash == ServiceHash { 5 } && loaded.load == load));
    DecodedRelayMessage const subscribed = decodeRelayMessage(datagrams[3], keys, wallSeconds);
    BOOST_TEST((subscribed.kind == RelayMessageKind::LoadSubscription && subscribed.loadInterval == std::chrono::milliseconds { 250 }));
    DecodedRelayMessage const redirect = decodeRelayMessage(datagrams[4], keys, wallSeconds);
    BOOST_TEST((redirect.kind == RelayMessageKind::FlowOwners && redirect.flowOwnerCount() == 3U && redirect.flowOwnerAt(2) == owned));
    DecodedRelayMessage const absent = decodeRelayMessage(datagrams[5], keys, wallSeconds);
    BOOST_TEST((absent.kind == RelayMessageKind::FlowNotFound && absent.flow == flow));
    DecodedRelayMessage const ask = decodeRelayMessage(datagrams[6], keys, wallSeconds);
    BOOST_TEST((ask.kind == RelayMessageKind::SearchRequest && ask.route.serviceHash == ServiceHash { 5 } && ask.route.entry == owned.owner));
    BOOST_TEST((ask.searchedAgents() == agents && ask.segment.size() == 31U));
    DecodedRelayMessage const query = decodeRelayMessage(datagrams[7], keys, wallSeconds);
    BOOST_TEST((query.kind == RelayMessageKind::FlowQuery && query.serviceHash == ServiceHash { 5 } && query.queryNumber == 77U));
    BOOST_TEST((query.queriedFlows() == std::vector<std::uint64_t> { 1, 0x1122334455667788ULL }));
    DecodedRelayMessage const reply = decodeRelayMessage(datagrams[8], keys, wallSeconds);
    BOOST_TEST((reply.kind == RelayMessageKind::FlowQueryReply && reply.serviceHash == ServiceHash { 5 } && reply.queryNumber == 77U));
    BOOST_TEST((reply.possibleFlowBytes.size() == 4U && reply.possibleFlowBytes[0] == std::byte { 1 }));
    BOOST_TEST((reply.possibleFlowBytes[1] == std::byte { 0x80 } && reply.possibleFlowBytes[2] == std::byte { 0x7F } && reply.possibleFlowBytes[3] == std::byte { 0xC5 }));
}

BOOST_AUTO_TEST_CASE(AnEntryStatusKeepsItsFieldsWithinTheirUnits)
{
    DecodedRelayMessage const decoded = decodeRelayMessage(allKinds()[9], keys, wallSeconds);
    BOOST_TEST((decoded.error == DatagramError::None && decoded.kind == RelayMessageKind::EntryStatus));
    std::vector<EntryLoad> const statuses = decoded.entryStatuses();
    BOOST_REQUIRE(statuses.size() == 2U);
    EntryLoad const& status = statuses[1];
    BOOST_TEST(status.nameHash == narrowStatus.nameHash);
    BOOST_TEST(status.linkBytesPerSecond == 1'250'000, boost::test_tools::tolerance(0.001));
    BOOST_TEST(status.offeredBytesPerSecond == 1'100'000, boost::test_tools::tolerance(0.001));
    BOOST_TEST(status.utilisation == 0.88, boost::test_tools::tolerance(0.001));
    BOOST_TEST(!status.isInRotation);
    BOOST_TEST(status.age.count() == 420);
}

// A value beyond a field's range must not wrap around to a small one.
BOOST_AUTO_TEST_CASE(AnEntryStatusIsLimitedToTheRangesOfItsFields)
{
    Bytes buffer(maximumRelayMessageBytes);
    std::vector<EntryLoad> const statuses(maximumEntryStatuses + 4, EntryLoad { 1, 1e12, 1e12, 40, true, std::chrono::hours { 1 } });
    std::size_t const bytes = writeRelayEntryStatus(statuses, { keys, wallSeconds }, buffer);
    std::vector<EntryLoad> const decoded = decodeRelayMessage(std::span(buffer).first(bytes), keys, wallSeconds).entryStatuses();
    BOOST_REQUIRE(decoded.size() == maximumEntryStatuses);
    BOOST_TEST(decoded[0].linkBytesPerSecond > 1e10);
    BOOST_TEST(decoded[0].offeredBytesPerSecond > 1e10);
    BOOST_TEST(decoded[0].utilisation > 2.5);
    BOOST_TEST((decoded[0].age > maximumEntryStatusAge));
}

// Guards against a returned opening that loses what keeps the entry from offering it to the same agents again.
BOOST_AUTO_TEST_CASE(AReturnedOpeningKeepsItsRouteReasonAndLoad)
{
    Bytes buffer(maximumRelayMessageBytes);
    RelayRoute route = someRoute();
    route.candidateCount = 1;
    route.offeredCount = 1;
    route.mayBeOpen = true;
    TargetLoad cold = load;
    cold.coldAllowance = 300;
    Bytes const segment(31, std::byte { 0x5A });
    Bytes datagram(buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(writeRelayOpeningDeclined(route, OpeningReason::Evacuated, cold, {}, segment, { keys, wallSeconds }, buffer)));
    datagram.insert(datagram.end(), segment.begin(), segment.end());
    DecodedRelayMessage const decoded = decodeRelayMessage(datagram, keys, wallSeconds);
    BOOST_TEST((decoded.error == DatagramError::None && decoded.kind == RelayMessageKind::OpeningDeclined));
    BOOST_TEST((decoded.declineReason == OpeningReason::Evacuated && decoded.load == cold));
    BOOST_TEST((decoded.route.mayBeOpen && !decoded.route.isLastOffer));
    BOOST_TEST_REQUIRE(decoded.route.offeredAgents().size() == 1U);
    BOOST_TEST((decoded.route.usedCandidates()[0] == route.candidates[0] && decoded.route.offeredAgents()[0] == route.candidates[1]));
    BOOST_TEST(std::equal(decoded.segment.begin(), decoded.segment.end(), segment.begin(), segment.end()));
}

// More agents than a header holds would be read beyond the array of candidates.
BOOST_AUTO_TEST_CASE(ARouteWithTooManyAgentsIsRefused)
{
    Bytes buffer(maximumRelayMessageBytes);
    RelayRoute route = someRoute();
    Bytes const segment(31, std::byte { 0x5A });
    std::size_t const bytes = writeRelayPacket(route, segment, { keys, wallSeconds }, buffer);
    buffer.resize(bytes);
    constexpr std::size_t offeredOffset = 24 + 19;
    buffer[offeredOffset] = std::byte { maximumRelayCandidates };
    buffer.insert(buffer.end(), segment.begin(), segment.end());
    BOOST_TEST((decodeRelayMessage(buffer, keys, wallSeconds).error == DatagramError::Truncated));
}

BOOST_AUTO_TEST_CASE(EveryStatementOfALoadReportIsKept)
{
    Bytes buffer(maximumRelayMessageBytes);
    for (unsigned bits = 0; bits < 256; ++bits) {
        TargetLoad stated = load;
        stated.isAccepting = (bits & 1U) != 0;
        stated.hasEnded = (bits & 2U) != 0;
        stated.isMachineRestarted = (bits & 4U) != 0;
        stated.isWithdrawn = (bits & 8U) != 0;
        stated.isAssumed = (bits & 16U) != 0;
        stated.isLongRunning = (bits & 32U) != 0;
        stated.uptimeSteps = static_cast<std::uint8_t>(bits >> 6U);
        std::size_t const bytes = writeRelayLoadReport(ServiceHash { 5 }, stated, { keys, wallSeconds }, buffer);
        BOOST_TEST((decodeRelayMessage(std::span(buffer).first(bytes), keys, wallSeconds).load == stated));
    }
}

BOOST_AUTO_TEST_CASE(AnyCutDatagramIsRefused)
{
    for (Bytes const& datagram : allKinds()) {
        for (std::size_t size = 0; size < datagram.size(); ++size)
            BOOST_TEST((decodeRelayMessage(std::span(datagram).first(size), keys, wallSeconds).error != DatagramError::None));
    }
}

BOOST_AUTO_TEST_CASE(AnyChangedByteIsRefused)
{
    for (Bytes const& datagram : allKinds()) {
        for (std::size_t index = 0; index < datagram.size(); ++index) {
            Bytes changed = datagram;
            changed[index] ^= std::byte { 0x10 };
            BOOST_TEST((decodeRelayMessage(changed, keys, wallSeconds).error != DatagramError::None), "byte " << index);
        }
    }
}

BOOST_AUTO_TEST_CASE(ALongerDatagramIsRefused)
{
    for (Bytes datagram : allKinds()) {
        datagram.push_back(std::byte { 0 });
        BOOST_TEST((decodeRelayMessage(datagram, keys, wallSeconds).error != DatagramError::None));
    }
}

BOOST_AUTO_TEST_CASE(ForeignKeysAndOldDatagramsAreRefused)
{
    Bytes const datagram = allKinds().front();
    BOOST_TEST((decodeRelayMessage(datagram, keysOf(3, 8), wallSeconds).error == DatagramError::Unauthenticated));
    BOOST_TEST((decodeRelayMessage(datagram, keysOf(4, 7), wallSeconds).error == DatagramError::Unauthenticated));
    BOOST_TEST((decodeRelayMessage(datagram, keys, wallSeconds + 31).error == DatagramError::Stale));
    BOOST_TEST((decodeRelayMessage(datagram, keys, wallSeconds - 31).error == DatagramError::Stale));
}
