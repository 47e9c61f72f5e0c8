#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/packet/Encapsulation.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace plantaindrift {

/// \brief Small datagrams about one flow, sent between the UDP data endpoints of entries and agents.
enum class FlowMessageKind : std::uint8_t {
    OwnerNotice = 1, ///< agent to entry: `owner` has the flow
    Redirect = 2 ///< agent to agent: keep a note that points to `owner`
};

/// \brief Content of such a datagram.
struct FlowMessage {
    FlowMessageKind kind { FlowMessageKind::OwnerNotice };
    FlowHash flow {};
    Endpoint owner;
    std::uint32_t sentSeconds { 0 };
};

/// \brief Bytes of an encoded flow message.
inline constexpr std::size_t flowMessageBytes = 44;

/// \brief Result of decoding; `message` is valid only when `error` is None.
struct DecodedFlowMessage {
    DatagramError error { DatagramError::None };
    FlowMessage message;
};

/// \brief True if a datagram is a flow message and not a Geneve packet.
[[nodiscard]] bool isFlowMessage(std::span<std::byte const> datagram) noexcept;

/// \brief Encodes and signs a flow message with the first key.
[[nodiscard]] std::array<std::byte, flowMessageBytes> encodeFlowMessage(FlowMessage const& message, KeyRing const& keys) noexcept;

/// \brief Checks and decodes a flow message.
[[nodiscard]] DecodedFlowMessage decodeFlowMessage(std::span<std::byte const> datagram, KeyRing const& keys, std::uint32_t nowSeconds) noexcept;

} // namespace plantaindrift
