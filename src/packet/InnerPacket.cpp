#include "plantaindrift/packet/InnerPacket.h"

#include "packet/Wire.h"
#include "plantaindrift/base/Hash.h"

namespace plantaindrift {

namespace {

    constexpr std::size_t wordBytes = 4;
    constexpr std::uint8_t lowNibble = 0x0F;
    constexpr std::uint16_t fragmentOffsetMask = 0x1FFF;
    constexpr std::uint16_t moreFragments = 0x2000;

    ParsedPacket failed(PacketError error) noexcept
    {
        ParsedPacket parsed;
        parsed.error = error;
        return parsed;
    }

    ParsedPacket finished(InnerPacket packet) noexcept
    {
        packet.flow = hashFlow(packet.key);
        return { PacketError::None, packet };
    }

    ParsedPacket parseTcp(InnerPacket packet, std::span<std::byte const> segment) noexcept
    {
        if (segment.size() < sizeof(wire::TcpHeader))
            return failed(PacketError::Truncated);
        wire::TcpHeader const header = wire::read<wire::TcpHeader>(segment);
        std::size_t const headerBytes = (header.dataOffset.value() >> 4U) * wordBytes;
        if (headerBytes < sizeof(wire::TcpHeader) || headerBytes > segment.size())
            return failed(PacketError::Truncated);
        std::uint8_t const flags = header.flags.value();
        packet.key.protocol = Protocol::Tcp;
        packet.key.source.port = header.sourcePort.value();
        packet.key.destination.port = header.destinationPort.value();
        packet.syn = (flags & (wire::tcpSyn | wire::tcpAck)) == wire::tcpSyn;
        packet.fin = (flags & wire::tcpFin) != 0;
        packet.rst = (flags & wire::tcpRst) != 0;
        packet.sequence = header.sequence.value();
        packet.payloadBytes = static_cast<std::uint16_t>(segment.size() - headerBytes);
        return finished(packet);
    }

    ParsedPacket parseUdp(InnerPacket packet, std::span<std::byte const> segment, bool isFirstFragment) noexcept
    {
        if (segment.size() < sizeof(wire::UdpHeader))
            return failed(PacketError::Truncated);
        wire::UdpHeader const header = wire::read<wire::UdpHeader>(segment);
        std::size_t const length = header.length.value();
        // The length of a fragmented datagram counts the fragments that follow.
        bool const fits = isFirstFragment || length <= segment.size();
        if (length < sizeof(wire::UdpHeader) || !fits)
            return failed(PacketError::Truncated);
        packet.key.protocol = Protocol::Udp;
        packet.key.source.port = header.sourcePort.value();
        packet.key.destination.port = header.destinationPort.value();
        std::size_t const present = isFirstFragment ? segment.size() : length;
        packet.payloadBytes = static_cast<std::uint16_t>(present - sizeof(wire::UdpHeader));
        return finished(packet);
    }

} // namespace

ParsedPacket parseInnerPacket(std::span<std::byte const> bytes) noexcept
{
    if (bytes.empty())
        return failed(PacketError::Truncated);
    std::uint8_t const first = std::to_integer<std::uint8_t>(bytes.front());
    if ((first >> 4U) != 4)
        return failed(PacketError::NotIpv4);
    if (bytes.size() < sizeof(wire::Ipv4Header))
        return failed(PacketError::Truncated);
    wire::Ipv4Header const header = wire::read<wire::Ipv4Header>(bytes);
    std::size_t const headerBytes = (first & lowNibble) * wordBytes;
    std::size_t const totalBytes = header.totalLength.value();
    if (headerBytes < sizeof(wire::Ipv4Header) || totalBytes < headerBytes || totalBytes > bytes.size())
        return failed(PacketError::Truncated);
    std::uint16_t const fragment = header.flagsAndOffset.value();
    if ((fragment & fragmentOffsetMask) != 0)
        return failed(PacketError::Fragment);

    InnerPacket packet;
    packet.key.source.address = header.source.value();
    packet.key.destination.address = header.destination.value();
    std::span<std::byte const> const segment = bytes.subspan(headerBytes, totalBytes - headerBytes);
    switch (static_cast<Protocol>(header.protocol.value())) {
    case Protocol::Tcp:
        return parseTcp(packet, segment);
    case Protocol::Udp:
        return parseUdp(packet, segment, (fragment & moreFragments) != 0);
    }
    return failed(PacketError::UnsupportedProtocol);
}

} // namespace plantaindrift
