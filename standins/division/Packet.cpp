#include "division/Packet.h"

#include <boost/endian/buffers.hpp>
#include <cstring>
#include <xxhash.h>

namespace plantaindrift::standins {

namespace {

    using boost::endian::little_uint16_buf_t;
    using boost::endian::little_uint32_buf_t;

    struct PacketHeader {
        little_uint32_buf_t sum;
        little_uint32_buf_t sequence;
        little_uint32_buf_t acknowledgement;
        little_uint32_buf_t echo;
        little_uint16_buf_t dataBytes;
        little_uint16_buf_t destinationPort;
        little_uint32_buf_t source;
        little_uint32_buf_t destination;
        little_uint16_buf_t sourcePort;
        std::uint8_t flags;
    };
    static_assert(sizeof(PacketHeader) == 31);

    constexpr std::uint32_t sumKey = 0x5EED;
    constexpr std::size_t flagsOffset = 30;

    /// Without the sum and the echo.
    PacketHeader makeHeader(Packet const& packet)
    {
        PacketHeader header {};
        header.sequence = packet.sequence;
        header.acknowledgement = packet.acknowledgement;
        header.dataBytes = static_cast<std::uint16_t>(packet.data.size());
        header.source = packet.source.address;
        header.sourcePort = packet.source.port;
        header.destination = packet.destination.address;
        header.destinationPort = packet.destination.port;
        header.flags = packet.flags;
        return header;
    }

    // Covers everything but the echo and the mark of a returned packet.
    std::uint32_t computeSum(Packet const& packet)
    {
        PacketHeader header = makeHeader(packet);
        header.flags = static_cast<std::uint8_t>(packet.flags & ~Packet::returned);
        std::uint32_t const first = XXH32(&header, sizeof(header), sumKey);
        return XXH32(packet.data.data(), packet.data.size(), first) | 1U;
    }

} // namespace

std::vector<std::byte> writePacket(Packet const& packet)
{
    PacketHeader header = makeHeader(packet);
    header.sum = computeSum(packet);
    header.echo = packet.echo;
    std::vector<std::byte> datagram(sizeof(header) + packet.data.size());
    std::memcpy(datagram.data(), &header, sizeof(header));
    std::memcpy(datagram.data() + sizeof(header), packet.data.data(), packet.data.size());
    return datagram;
}

std::optional<Packet> readPacket(std::span<std::byte const> datagram)
{
    PacketHeader header {};
    if (datagram.size() < sizeof(header))
        return std::nullopt;
    std::memcpy(&header, datagram.data(), sizeof(header));
    std::span<std::byte const> const data = datagram.subspan(sizeof(header));
    if (header.dataBytes.value() != data.size())
        return std::nullopt;
    Packet packet;
    packet.sum = header.sum.value();
    packet.source = { header.source.value(), header.sourcePort.value() };
    packet.destination = { header.destination.value(), header.destinationPort.value() };
    packet.sequence = header.sequence.value();
    packet.acknowledgement = header.acknowledgement.value();
    packet.echo = header.echo.value();
    packet.flags = header.flags;
    packet.data.assign(reinterpret_cast<char const*>(data.data()), data.size());
    return packet;
}

bool isGenuine(Packet const& packet)
{
    return packet.sum == computeSum(packet);
}

std::vector<std::byte> markReturned(std::span<std::byte const> datagram)
{
    std::vector<std::byte> marked(datagram.begin(), datagram.end());
    marked[flagsOffset] |= std::byte { Packet::returned };
    return marked;
}

} // namespace plantaindrift::standins
