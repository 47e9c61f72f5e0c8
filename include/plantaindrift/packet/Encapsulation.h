#pragma once

#include "plantaindrift/packet/RouteOption.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace plantaindrift {

/// \brief Bytes of a datagram key.
inline constexpr std::size_t datagramKeyBytes = 16;

/// \brief A datagram key and the number that packets name it by.
struct DatagramKey {
    std::uint8_t epoch { 0 };
    std::array<std::uint8_t, datagramKeyBytes> bytes {};
};

/// \brief The keys in use: the first signs, all are accepted, so that keys rotate without loss.
struct KeyRing {
    std::array<DatagramKey, 2> keys {};
    std::size_t count { 0 }; ///< 1 or 2
};

/// \brief Most bytes that encapsulation with a route option adds before the inner packet.
inline constexpr std::size_t maximumHeaderBytes = 136;

/// \brief Why a datagram is not taken.
enum class DatagramError : std::uint8_t {
    None,
    Truncated,
    NotGeneve,
    MissingRoute, ///< no route option of ours
    BadRoute, ///< a field of the route option is out of range
    Unauthenticated, ///< unknown key epoch or wrong tag
    Stale ///< sent more than 30 s from now
};

/// \brief A decoded datagram; `inner` points into the datagram's own bytes.
struct DecodedDatagram {
    DatagramError error { DatagramError::None };
    RouteOption route;
    std::span<std::byte const> inner;
};

/// \brief Writes the Geneve header (RFC 8926) without options, for the fabric and the kernel.
///
/// \param output  at least 8 bytes; the header is written at its front
/// \returns       bytes written
[[nodiscard]] std::size_t writePlainHeader(std::span<std::byte> output) noexcept;

/// \brief Finds the inner packet of a Geneve datagram, skipping options; error is None, Truncated or NotGeneve.
[[nodiscard]] DecodedDatagram decodePlain(std::span<std::byte const> datagram) noexcept;

/// \brief Writes a Geneve header with an authenticated route option.
///
/// The tag (SipHash-2-4-128) covers the header, the route and the first 64 bytes of the inner packet.
/// \param route   what to carry
/// \param inner   the inner packet that follows the header
/// \param keys    the first key signs
/// \param output  at least maximumHeaderBytes
/// \returns       bytes written
[[nodiscard]] std::size_t writeRoutedHeader(RouteOption const& route, std::span<std::byte const> inner, KeyRing const& keys, std::span<std::byte> output) noexcept;

/// \brief Checks and decodes a datagram with a route option.
///
/// \param datagram    the whole UDP payload
/// \param keys        accepted keys
/// \param nowSeconds  wall clock, seconds since 1970
[[nodiscard]] DecodedDatagram decodeRouted(std::span<std::byte const> datagram, KeyRing const& keys, std::uint32_t nowSeconds) noexcept;

} // namespace plantaindrift
