#pragma once

#include "plantaindrift/base/Types.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace plantaindrift {

/// \brief Why an IP packet is not taken.
enum class PacketError : std::uint8_t {
    None,
    Truncated, ///< shorter than its headers say
    NotIpv4, ///< version is not 4
    Fragment, ///< a later fragment carries no ports
    UnsupportedProtocol ///< neither TCP nor UDP
};

/// \brief What the decisions need to know about one IPv4 packet.
struct InnerPacket {
    FlowKey key;
    FlowHash flow {};
    bool syn { false }; ///< TCP SYN without ACK
    bool fin { false };
    bool rst { false };
    std::uint32_t sequence { 0 }; ///< TCP sequence number, host byte order
    std::uint16_t payloadBytes { 0 }; ///< TCP or UDP payload
};

/// \brief Result of parsing; `packet` is valid only when `error` is None.
struct ParsedPacket {
    PacketError error { PacketError::None };
    InnerPacket packet;
};

/// \brief Reads the IPv4 and TCP or UDP headers of a packet; allocates nothing.
///
/// \param bytes  a whole IPv4 packet, starting at its IP header
[[nodiscard]] ParsedPacket parseInnerPacket(std::span<std::byte const> bytes) noexcept;

} // namespace plantaindrift
