#pragma once

#include "plantaindrift/base/Types.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace plantaindrift {

/// \brief What to send for one received datagram; nothing if `to` is unset.
struct PacketVerdict {
    Endpoint to;
    std::span<std::byte const> header; ///< sent before the payload; valid until the next decision
    std::span<std::byte const> payload; ///< inside the datagram, or valid until the next decision
    bool isBulk { false }; ///< a large segment at an entry with a limited link, which may be sent later
    std::uint64_t flowHash { 0 }; ///< flow of the segment at such an entry; segments of one flow are sent in order
};

} // namespace plantaindrift
