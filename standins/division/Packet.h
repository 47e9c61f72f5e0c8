#pragma once

#include "plantaindrift/base/Types.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace plantaindrift::standins {

/// \brief One packet of the division, as callers and targets write and read it.
struct Packet {
    Endpoint source;
    Endpoint destination;
    std::uint32_t sequence { 0 };
    std::uint32_t acknowledgement { 0 }; ///< number of the copy in a caller's opening packet
    std::uint32_t echo { 0 };
    std::uint8_t flags { 0 };
    std::uint32_t sum { 0 }; ///< as read
    std::string data;

    [[nodiscard]] bool has(std::uint8_t flag) const noexcept { return (flags & flag) != 0; }
    [[nodiscard]] bool isFirst() const noexcept { return has(opening) && !has(acknowledges); }

    static constexpr std::uint8_t opening = 32;
    static constexpr std::uint8_t acknowledges = 2;
    static constexpr std::uint8_t closing = 1;
    static constexpr std::uint8_t reset = 4;
    static constexpr std::uint8_t returned = 128;
    static constexpr std::size_t mostData = 1200;
};

/// \brief The caller's and the service's end of a flow, the caller first.
using FlowEnds = std::pair<Endpoint, Endpoint>;

/// \brief Writes a packet with its keyed sum.
[[nodiscard]] std::vector<std::byte> writePacket(Packet const& packet);

/// \brief Reads a packet; nothing if it is malformed.
[[nodiscard]] std::optional<Packet> readPacket(std::span<std::byte const> datagram);

/// \brief True if the fields and data are those that one of the ends wrote.
[[nodiscard]] bool isGenuine(Packet const& packet);

/// \brief The same datagram as a target returns it: marked, and otherwise unchanged.
[[nodiscard]] std::vector<std::byte> markReturned(std::span<std::byte const> datagram);

} // namespace plantaindrift::standins
