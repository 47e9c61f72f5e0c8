// libFuzzer target of everything that reads bytes from the network on the packet path. Guards against reads past the
// end of a datagram, undefined behaviour, and decoders that accept what they must refuse.

#include "SegmentFormat.h"
#include "common/Workload.h"
#include "packet/Tag.h"
#include "plantaindrift/packet/FlowMessage.h"
#include "plantaindrift/packet/InnerPacket.h"
#include "plantaindrift/packet/Refusal.h"
#include "plantaindrift/relay/RelayMessage.h"

#include <algorithm>
#include <cstdlib>

using namespace plantaindrift;

namespace {

using Bytes = std::vector<std::byte>;

constexpr TimePoint start { std::chrono::hours { 5 } };

/// Ends the run as a finding if the condition does not hold.
void require(bool condition)
{
    if (!condition)
        std::abort();
}

void checkPlain(std::span<std::byte const> input)
{
    DecodedDatagram const decoded = decodePlain(input);
    bool const isKnownError = decoded.error == DatagramError::Truncated || decoded.error == DatagramError::NotGeneve;
    require(decoded.error == DatagramError::None || isKnownError);
    require(decoded.inner.size() <= input.size());
}

/// The tags of inputs are checked as they come; only unchanged seeds have valid ones.
void checkUnsigned(std::span<std::byte const> input, KeyRing const& keys)
{
    require(decodeFlowMessage(input, keys, workload::nowSeconds).error != DatagramError::None || input.size() == flowMessageBytes);
    (void)decodeRouted(input, keys, workload::nowSeconds);
    (void)isFlowMessage(input);
}

void checkInner(std::span<std::byte const> input)
{
    ParsedPacket const parsed = parseInnerPacket(input);
    if (parsed.error == PacketError::None)
        require(parsed.packet.payloadBytes < input.size());
    std::array<std::byte, maximumRefusalBytes> output;
    std::size_t const size = writeRefusal(input, output);
    require(size <= output.size());
    require(size == 0 || parsed.error == PacketError::None);
}

/// Signs the input as a routed datagram, so that the checks behind the tag see arbitrary fields.
void checkSignedRoute(std::span<std::byte const> input, KeyRing const& keys)
{
    constexpr std::size_t epochOffset = 12 + 32;
    constexpr std::size_t tagOffset = 12 + 36;
    if (input.size() < tagOffset + tagBytes)
        return;
    Bytes datagram { input.begin(), input.end() };
    std::size_t const headerBytes = 8 + (std::to_integer<std::size_t>(datagram[0]) & 0x3FU) * 4;
    if (headerBytes < tagOffset + tagBytes || headerBytes > datagram.size())
        return;
    datagram[epochOffset] = std::byte { 0 };
    std::fill_n(datagram.begin() + tagOffset, tagBytes, std::byte { 0 });
    std::size_t const innerBytes = datagram.size() - headerBytes;
    Bytes signedBytes { datagram.begin(), datagram.begin() + static_cast<std::ptrdiff_t>(headerBytes) };
    for (unsigned shift = 32; shift > 0; shift -= 8)
        signedBytes.push_back(static_cast<std::byte>(innerBytes >> (shift - 8)));
    std::size_t const taggedInner = std::min<std::size_t>(innerBytes, 64);
    signedBytes.insert(signedBytes.end(), datagram.begin() + static_cast<std::ptrdiff_t>(headerBytes), datagram.begin() + static_cast<std::ptrdiff_t>(headerBytes + taggedInner));
    Tag const tag = computeTag(signedBytes, keys.keys[0]);
    std::transform(tag.begin(), tag.end(), datagram.begin() + tagOffset, [](std::uint8_t value) { return std::byte { value }; });

    DecodedDatagram const decoded = decodeRouted(datagram, keys, workload::nowSeconds);
    if (decoded.error != DatagramError::None)
        return;
    require(decoded.route.candidateCount <= maximumCandidates);
    require(decoded.route.position <= decoded.route.candidateCount);
    require(decoded.route.hops <= maximumHops);
    require(decoded.inner.size() == innerBytes);
}

void checkSignedFlowMessage(std::span<std::byte const> input, KeyRing const& keys)
{
    constexpr std::size_t tagOffset = flowMessageBytes - tagBytes;
    constexpr std::size_t epochOffset = 5;
    if (input.size() < flowMessageBytes)
        return;
    Bytes message { input.begin(), input.begin() + flowMessageBytes };
    message[epochOffset] = std::byte { 0 };
    Tag const tag = computeTag({ message.data(), tagOffset }, keys.keys[0]);
    std::transform(tag.begin(), tag.end(), message.begin() + tagOffset, [](std::uint8_t value) { return std::byte { value }; });
    DecodedFlowMessage const decoded = decodeFlowMessage(message, keys, workload::nowSeconds);
    if (decoded.error == DatagramError::None)
        require(decoded.message.owner.isSet());
}

ServiceView makeView()
{
    ServiceView view = workload::makeView(12, { 0x0A090001, 6081 });
    view.targets[3].dead = true;
    view.targets[7].draining = true;
    return view;
}

/// What an entry sends must always be accepted by an agent.
void checkEntry(std::span<std::byte const> input, KeyRing const& keys)
{
    static EntryPipeline pipeline { { { 0x0A000001, 6000 }, keys, 64 } };
    static bool const isConfigured = [] {
        pipeline.setConfiguration(workload::makeConfiguration());
        pipeline.setView(makeView());
        return true;
    }();
    require(isConfigured);
    EntryDecision const decision = pipeline.decide(input, start, workload::nowSeconds);
    if (decision.outcome != EntryOutcome::Forward)
        return;
    std::span<std::byte const> const header = pipeline.headerBuffer();
    Bytes sent { header.begin(), header.end() };
    sent.insert(sent.end(), decision.inner.begin(), decision.inner.end());
    DecodedDatagram const decoded = decodeRouted(sent, keys, workload::nowSeconds);
    require(decoded.error == DatagramError::None);
    require(decision.to == decoded.route.candidates[0]);
    FlowHash const flow = parseInnerPacket(decision.inner).packet.flow;
    pipeline.learnOwner(flow, { static_cast<std::uint32_t>(0x0A090001 + static_cast<std::uint64_t>(flow) % 14), 6081 }, start);
}

// The body is read before the tag is checked, so that any input reaches the readers of all kinds.
void checkRelay(std::span<std::byte const> input, KeyRing const& keys)
{
    DecodedRelayMessage const decoded = decodeRelayMessage(input, keys, workload::nowSeconds);
    if (decoded.error == DatagramError::None) {
        require(decoded.segment.size() <= input.size());
        require(decoded.route.candidateCount <= maximumRelayCandidates);
        require(decoded.flowOwnerCount() <= maximumFlowOwners);
        require(decoded.searchedAgents().size() <= maximumSearchedAgents);
        require(decoded.queriedFlows().size() <= maximumQueriedFlows);
        require(decoded.possibleFlowBytes.size() <= maximumQueriedFlows);
    }
}

void checkSegment(std::span<std::byte const> input)
{
    division::SegmentFormat const format;
    std::optional<Segment> const segment = format.decode(input);
    if (!segment)
        return;
    Bytes header(format.headerBytes());
    format.copyHeader(input, 7, header);
    header.insert(header.end(), input.begin() + static_cast<std::ptrdiff_t>(format.headerBytes()), input.end());
    std::optional<Segment> const copied = format.decode(header);
    require(copied.has_value());
    require(copied->returnToken == 7 && !copied->isReturned && copied->sequence == segment->sequence);
    format.writeReset(*segment, header);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    std::span<std::byte const> const input { reinterpret_cast<std::byte const*>(data), size };
    KeyRing const keys = workload::makeKeys();
    checkPlain(input);
    checkUnsigned(input, keys);
    checkInner(input);
    checkSignedRoute(input, keys);
    checkSignedFlowMessage(input, keys);
    checkEntry(input, keys);
    checkRelay(input, keys);
    checkSegment(input);
    return 0;
}
