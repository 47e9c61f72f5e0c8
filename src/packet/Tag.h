#pragma once

#include "plantaindrift/packet/Encapsulation.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace plantaindrift {

/// \brief Bytes of a SipHash-2-4-128 tag.
inline constexpr std::size_t tagBytes = 16;

using Tag = std::array<std::uint8_t, tagBytes>;

/// \brief Age, past or future, beyond which an authenticated datagram is refused.
inline constexpr std::uint32_t staleSeconds = 30;

/// \brief SipHash-2-4-128 of bytes under a key.
[[nodiscard]] Tag computeTag(std::span<std::byte const> bytes, DatagramKey const& key) noexcept;

/// \brief Compares in constant time, so that timing tells nothing about the expected tag.
[[nodiscard]] bool isEqualTag(Tag const& left, Tag const& right) noexcept;

/// \brief The key of an epoch, or null if the epoch is not accepted.
[[nodiscard]] DatagramKey const* findKey(KeyRing const& keys, std::uint8_t epoch) noexcept;

/// \brief True if a datagram's time is more than staleSeconds from now, in either direction.
[[nodiscard]] bool isStale(std::uint32_t sentSeconds, std::uint32_t nowSeconds) noexcept;

} // namespace plantaindrift
