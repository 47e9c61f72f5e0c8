#pragma once

#include "plantaindrift/base/Types.h"

#include <cstddef>
#include <span>

namespace plantaindrift {

/// \brief Most bytes of a refusal packet: an ICMP error that quotes an IPv4 header with all its options.
inline constexpr std::size_t maximumRefusalBytes = 96;

/// \brief Writes the IPv4 packet that tells a caller its first packet was not run.
///
/// TCP: a reset that acknowledges the SYN, which the caller sees as "connection refused". UDP: ICMP port unreachable.
/// \param inner   the refused IPv4 packet
/// \param output  at least maximumRefusalBytes
/// \returns       bytes written; 0 if the packet cannot be answered
[[nodiscard]] std::size_t writeRefusal(std::span<std::byte const> inner, std::span<std::byte> output) noexcept;

} // namespace plantaindrift
