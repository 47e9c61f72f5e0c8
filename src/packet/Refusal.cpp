#include "plantaindrift/packet/Refusal.h"

#include "packet/Wire.h"
#include "plantaindrift/packet/InnerPacket.h"

#include <algorithm>

namespace plantaindrift {

namespace {

    constexpr std::uint8_t version4WithoutOptions = 0x45;
    constexpr std::uint8_t lowNibble = 0x0F;
    constexpr std::size_t wordBytes = 4;
    constexpr std::uint16_t doNotFragment = 0x4000;
    constexpr std::uint8_t timeToLive = 64;
    constexpr std::uint8_t icmpProtocol = 1;
    constexpr std::uint8_t icmpUnreachable = 3;
    constexpr std::uint8_t icmpPortUnreachable = 3;
    /// Bytes after the IP header that an ICMP error quotes (RFC 792).
    constexpr std::size_t quotedPayloadBytes = 8;
    static_assert(maximumRefusalBytes >= sizeof(wire::Ipv4Header) + sizeof(wire::IcmpHeader) + lowNibble * wordBytes + quotedPayloadBytes);

    /// Sum of 16-bit words (RFC 1071); an odd last byte counts as the high byte.
    std::uint32_t sumWords(std::span<std::byte const> bytes, std::uint32_t sum) noexcept
    {
        for (std::size_t index = 0; index < bytes.size(); index += 2) {
            std::uint32_t const high = std::to_integer<std::uint32_t>(bytes[index]) << 8U;
            std::uint32_t const low = index + 1 < bytes.size() ? std::to_integer<std::uint32_t>(bytes[index + 1]) : 0;
            sum += high | low;
        }
        return sum;
    }

    std::uint16_t foldChecksum(std::uint32_t sum) noexcept
    {
        while ((sum >> 16U) != 0)
            sum = (sum & 0xFFFFU) + (sum >> 16U);
        return static_cast<std::uint16_t>(~sum);
    }

    template <typename Record>
    std::span<std::byte const> bytesOf(Record const& record) noexcept
    {
        return std::as_bytes(std::span<Record const, 1> { &record, 1 });
    }

    /// True for an address of one host: not 0.0.0.0/8, multicast, reserved or broadcast (RFC 1122, section 3.2.2).
    bool isHostAddress(std::uint32_t address) noexcept
    {
        constexpr std::uint32_t firstMulticast = 0xE0000000;
        return (address >> 24U) != 0 && address < firstMulticast;
    }

    /// Header of a packet from the service address back to the caller.
    wire::Ipv4Header makeReplyHeader(FlowKey const& key, std::uint8_t protocol, std::size_t totalBytes) noexcept
    {
        wire::Ipv4Header header;
        header.versionAndLength = version4WithoutOptions;
        header.typeOfService = 0;
        header.totalLength = static_cast<std::uint16_t>(totalBytes);
        header.identification = 0;
        header.flagsAndOffset = doNotFragment;
        header.timeToLive = timeToLive;
        header.protocol = protocol;
        header.checksum = 0;
        header.source = key.destination.address;
        header.destination = key.source.address;
        header.checksum = foldChecksum(sumWords(bytesOf(header), 0));
        return header;
    }

    std::uint16_t tcpChecksum(wire::TcpHeader const& header, FlowKey const& key) noexcept
    {
        std::uint32_t sum = static_cast<std::uint32_t>(Protocol::Tcp) + sizeof(header);
        for (std::uint32_t const address : { key.source.address, key.destination.address })
            sum += (address >> 16U) + (address & 0xFFFFU);
        return foldChecksum(sumWords(bytesOf(header), sum));
    }

    /// Reset as RFC 9293, section 3.10.7.1 defines it for a closed port.
    std::size_t writeReset(InnerPacket const& packet, std::span<std::byte const> segment, std::span<std::byte> output) noexcept
    {
        if (packet.rst)
            return 0;
        wire::TcpHeader const received = wire::read<wire::TcpHeader>(segment);
        bool const isAcknowledging = (received.flags.value() & wire::tcpAck) != 0;
        bool const hasSyn = (received.flags.value() & wire::tcpSyn) != 0;
        std::uint32_t const length = packet.payloadBytes + (hasSyn ? 1U : 0U) + (packet.fin ? 1U : 0U);
        wire::TcpHeader reset;
        reset.sourcePort = packet.key.destination.port;
        reset.destinationPort = packet.key.source.port;
        reset.sequence = isAcknowledging ? received.acknowledgement.value() : 0U;
        reset.acknowledgement = isAcknowledging ? 0U : packet.sequence + length;
        reset.dataOffset = static_cast<std::uint8_t>(sizeof(reset) / wordBytes << 4U);
        reset.flags = isAcknowledging ? wire::tcpRst : static_cast<std::uint8_t>(wire::tcpRst | wire::tcpAck);
        reset.window = 0;
        reset.checksum = 0;
        reset.urgent = 0;
        reset.checksum = tcpChecksum(reset, packet.key);

        constexpr std::size_t totalBytes = sizeof(wire::Ipv4Header) + sizeof(reset);
        wire::write(makeReplyHeader(packet.key, static_cast<std::uint8_t>(Protocol::Tcp), totalBytes), output);
        wire::write(reset, output.subspan(sizeof(wire::Ipv4Header)));
        return totalBytes;
    }

    std::size_t writeUnreachable(InnerPacket const& packet, std::span<std::byte const> quoted, std::span<std::byte> output) noexcept
    {
        wire::IcmpHeader icmp;
        icmp.type = icmpUnreachable;
        icmp.code = icmpPortUnreachable;
        icmp.checksum = 0;
        icmp.unused = 0;
        icmp.checksum = foldChecksum(sumWords(quoted, sumWords(bytesOf(icmp), 0)));

        std::size_t const quotedOffset = sizeof(wire::Ipv4Header) + sizeof(icmp);
        std::size_t const totalBytes = quotedOffset + quoted.size();
        wire::write(makeReplyHeader(packet.key, icmpProtocol, totalBytes), output);
        wire::write(icmp, output.subspan(sizeof(wire::Ipv4Header)));
        std::copy(quoted.begin(), quoted.end(), output.subspan(quotedOffset).begin());
        return totalBytes;
    }

} // namespace

std::size_t writeRefusal(std::span<std::byte const> inner, std::span<std::byte> output) noexcept
{
    ParsedPacket const parsed = parseInnerPacket(inner);
    if (parsed.error != PacketError::None || output.size() < maximumRefusalBytes)
        return 0;
    FlowKey const& key = parsed.packet.key;
    if (!isHostAddress(key.source.address) || !isHostAddress(key.destination.address))
        return 0;
    std::size_t const headerBytes = (std::to_integer<std::size_t>(inner.front()) & lowNibble) * wordBytes;
    if (key.protocol == Protocol::Tcp)
        return writeReset(parsed.packet, inner.subspan(headerBytes), output);
    return writeUnreachable(parsed.packet, inner.first(headerBytes + quotedPayloadBytes), output);
}

} // namespace plantaindrift
