#pragma once

#include "plantaindrift/plantaindrift.h"

#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>
#include <tins/udp.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace fixtures {

using Bytes = std::vector<std::byte>;

inline constexpr plantaindrift::Endpoint caller { 0x0A010203, 40001 }; // 10.1.2.3
inline constexpr plantaindrift::Endpoint service { 0xC0000211, 7000 }; // 192.0.2.17
inline constexpr std::uint32_t nowSeconds = 1'800'000'000;

inline Bytes toBytes(std::vector<std::uint8_t> const& source)
{
    Bytes bytes(source.size());
    std::transform(source.begin(), source.end(), bytes.begin(), [](std::uint8_t value) { return std::byte { value }; });
    return bytes;
}

/// \brief Serializes with libtins, which fills lengths and checksums.
inline Bytes serialize(Tins::IP packet)
{
    return toBytes(packet.serialize());
}

inline Tins::IP makeIp(plantaindrift::Endpoint from, plantaindrift::Endpoint to)
{
    return Tins::IP { plantaindrift::formatAddress(to.address), plantaindrift::formatAddress(from.address) };
}

inline Tins::RawPDU makePayload(std::size_t size)
{
    std::vector<std::uint8_t> payload(size);
    for (std::size_t index = 0; index < size; ++index)
        payload[index] = static_cast<std::uint8_t>(index * 7 + 1);
    return Tins::RawPDU { payload };
}

inline Tins::IP makeTcp(std::uint16_t flags, std::size_t payloadBytes = 0, plantaindrift::Endpoint from = caller, plantaindrift::Endpoint to = service)
{
    Tins::TCP tcp { to.port, from.port };
    tcp.flags(flags);
    tcp.seq(0x89ABCDEF);
    tcp.ack_seq((flags & Tins::TCP::ACK) != 0 ? 0x01020304 : 0);
    Tins::IP packet = makeIp(from, to) / tcp;
    return payloadBytes == 0 ? packet : packet / makePayload(payloadBytes);
}

inline Tins::IP makeUdp(std::size_t payloadBytes = 0, plantaindrift::Endpoint from = caller, plantaindrift::Endpoint to = service)
{
    Tins::IP packet = makeIp(from, to) / Tins::UDP { to.port, from.port };
    return payloadBytes == 0 ? packet : packet / makePayload(payloadBytes);
}

/// \brief Puts a plain Geneve header before an inner packet, as the fabric does.
inline Bytes encapsulate(Bytes const& inner)
{
    std::array<std::byte, plantaindrift::maximumHeaderBytes> header;
    std::size_t const size = plantaindrift::writePlainHeader(header);
    Bytes datagram { header.begin(), header.begin() + static_cast<std::ptrdiff_t>(size) };
    datagram.insert(datagram.end(), inner.begin(), inner.end());
    return datagram;
}

inline plantaindrift::KeyRing makeKeys(std::uint8_t epoch = 1)
{
    plantaindrift::KeyRing keys;
    keys.count = 1;
    keys.keys[0].epoch = epoch;
    keys.keys[0].bytes.fill(static_cast<std::uint8_t>(epoch * 17));
    return keys;
}

/// \brief View of targets named t0, t1, ... with data endpoints 10.9.0.1:6081, 10.9.0.2:6081, ...
inline plantaindrift::ServiceView makeView(std::size_t targets, std::string const& name = "rota-desk")
{
    constexpr std::uint32_t firstAddress = 0x0A090001;
    plantaindrift::ServiceView view;
    view.service = name;
    for (std::size_t index = 0; index < targets; ++index) {
        plantaindrift::ViewTarget target;
        target.name = "t" + std::to_string(index);
        target.data = { static_cast<std::uint32_t>(firstAddress + index), 6081 };
        view.targets.push_back(target);
    }
    std::sort(view.targets.begin(), view.targets.end(), [](plantaindrift::ViewTarget const& left, plantaindrift::ViewTarget const& right) { return left.name < right.name; });
    view.fingerprint = plantaindrift::viewFingerprint(view.targets);
    return view;
}

/// \brief Configuration with one service that takes TCP and UDP at fixtures::service.
inline plantaindrift::Configuration makeConfiguration(std::string const& name = "rota-desk")
{
    plantaindrift::Service declared;
    declared.name = name;
    declared.addresses = { { service, plantaindrift::Protocol::Tcp }, { service, plantaindrift::Protocol::Udp } };
    return plantaindrift::Configuration { { declared } };
}

} // namespace fixtures
