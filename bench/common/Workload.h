#pragma once

#include "plantaindrift/plantaindrift.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace workload {

inline constexpr plantaindrift::Endpoint service { 0xC0000211, 7000 };
inline constexpr std::uint32_t nowSeconds = 1'800'000'000;
inline constexpr std::size_t geneveBytes = 8;
inline constexpr std::size_t tcpIpBytes = 40;

/// \brief Writes a Geneve datagram from the fabric with a TCP packet of one flow; checksums are left 0.
///
/// \param output  at least geneveBytes + tcpIpBytes; bytes after the headers are payload
inline void writeDatagram(std::uint32_t flow, bool syn, std::span<std::byte> output)
{
    auto const put = [output](std::size_t offset, std::uint64_t value, std::size_t bytes) {
        for (std::size_t index = 0; index < bytes; ++index)
            output[offset + index] = static_cast<std::byte>(value >> (8 * (bytes - 1 - index)));
    };
    constexpr std::uint32_t callers = 0x0A000000;
    constexpr std::uint32_t portsPerCaller = 50000;
    (void)plantaindrift::writePlainHeader(output);
    put(8, 0x45, 1);
    put(10, output.size() - geneveBytes, 2);
    put(16, 64, 1);
    put(17, 6, 1);
    put(20, callers + flow / portsPerCaller, 4);
    put(24, service.address, 4);
    put(28, 1024 + flow % portsPerCaller, 2);
    put(30, service.port, 2);
    put(32, flow, 4);
    put(40, 0x50, 1);
    put(41, syn ? 0x02 : 0x10, 1);
}

/// \brief Keys that encapsulation signs with.
inline plantaindrift::KeyRing makeKeys()
{
    plantaindrift::KeyRing keys;
    keys.count = 1;
    keys.keys[0].bytes.fill(0x5A);
    return keys;
}

/// \brief A view of equal targets whose agents have consecutive addresses.
inline plantaindrift::ServiceView makeView(std::size_t targets, plantaindrift::Endpoint first)
{
    plantaindrift::ServiceView view;
    view.service = "rota-desk";
    for (std::size_t index = 0; index < targets; ++index) {
        plantaindrift::ViewTarget target;
        std::string const number = std::to_string(index);
        target.name = "target-" + std::string(6 - number.size(), '0') + number;
        target.data = { static_cast<std::uint32_t>(first.address + index), first.port };
        view.targets.push_back(target);
    }
    view.fingerprint = plantaindrift::viewFingerprint(view.targets);
    return view;
}

/// \brief Configuration that maps workload::service to the view's service.
inline plantaindrift::Configuration makeConfiguration()
{
    plantaindrift::Service declared;
    declared.name = "rota-desk";
    declared.addresses = { { service, plantaindrift::Protocol::Tcp } };
    return plantaindrift::Configuration { { declared } };
}

} // namespace workload
