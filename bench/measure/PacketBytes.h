#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/packet/Encapsulation.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace plantaindrift::measure {

/// \brief Kinds of packets that a caller sends.
enum class PacketKind : std::uint8_t {
    Syn,
    Acknowledgement,
    Data,
    Finish,
    Reset,
    Datagram
};

/// \brief A Geneve datagram from the fabric with one IPv4 packet of a caller; checksums are zero.
class FabricDatagram {
public:
    FabricDatagram(FlowKey const& key, PacketKind kind, std::uint32_t sequence)
    {
        bool const udp = key.protocol == Protocol::Udp;
        std::size_t const payload = kind == PacketKind::Data || kind == PacketKind::Datagram ? payloadBytes : 0;
        std::size_t const total = ipBytes + (udp ? udpBytes : tcpBytes) + payload;
        std::size_t const start = writePlainHeader(bytes_);
        at_ = start;
        put8(0x45);
        put8(0);
        put16(static_cast<std::uint16_t>(total));
        put32(0);
        put8(64);
        put8(static_cast<std::uint8_t>(key.protocol));
        put16(0);
        put32(key.source.address);
        put32(key.destination.address);
        put16(key.source.port);
        put16(key.destination.port);
        if (udp)
            putUdp(payload);
        else
            putTcp(kind, sequence);
        size_ = start + total;
    }

    [[nodiscard]] std::span<std::byte const> span() const noexcept { return { bytes_.data(), size_ }; }

private:
    static constexpr std::size_t ipBytes = 20;
    static constexpr std::size_t tcpBytes = 20;
    static constexpr std::size_t udpBytes = 8;
    static constexpr std::size_t payloadBytes = 16;

    void putUdp(std::size_t payload)
    {
        put16(static_cast<std::uint16_t>(udpBytes + payload));
        put16(0);
    }

    void putTcp(PacketKind kind, std::uint32_t sequence)
    {
        constexpr std::uint8_t fin = 0x01;
        constexpr std::uint8_t syn = 0x02;
        constexpr std::uint8_t rst = 0x04;
        constexpr std::uint8_t ack = 0x10;
        std::uint8_t flags = ack;
        flags = kind == PacketKind::Syn ? syn : flags;
        flags = kind == PacketKind::Finish ? static_cast<std::uint8_t>(fin | ack) : flags;
        flags = kind == PacketKind::Reset ? rst : flags;
        put32(sequence);
        put32(0);
        put8(0x50);
        put8(flags);
        put16(65535);
        put32(0);
    }

    void put8(std::uint8_t value) { bytes_[at_++] = std::byte { value }; }

    void put16(std::uint16_t value)
    {
        put8(static_cast<std::uint8_t>(value >> 8U));
        put8(static_cast<std::uint8_t>(value & 0xFFU));
    }

    void put32(std::uint32_t value)
    {
        put16(static_cast<std::uint16_t>(value >> 16U));
        put16(static_cast<std::uint16_t>(value & 0xFFFFU));
    }

    std::array<std::byte, 96> bytes_ {};
    std::size_t at_ { 0 };
    std::size_t size_ { 0 };
};

} // namespace plantaindrift::measure
