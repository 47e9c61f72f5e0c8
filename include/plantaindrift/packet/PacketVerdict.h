#pragma once

#include "plantaindrift/base/Types.h"

#include <cstddef>
#include <span>

namespace plantaindrift {

/// \brief What to send for one received datagram; nothing if `to` is unset.
struct PacketVerdict {
    Endpoint to;
    std::span<std::byte const> header; ///< sent before the payload; valid until the next decision
    std::span<std::byte const> payload; ///< inside the datagram, or valid until the next decision
};

} // namespace plantaindrift
