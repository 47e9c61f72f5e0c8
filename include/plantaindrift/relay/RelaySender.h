#pragma once

#include "plantaindrift/base/Types.h"

#include <cstddef>
#include <span>

namespace plantaindrift {

/// \brief Sends datagrams that answer no received one, such as notices and load.
class RelaySender {
public:
    virtual ~RelaySender() = default;

    /// \brief Sends one datagram, or loses it if the kernel's buffer is full.
    virtual void send(Endpoint to, std::span<std::byte const> datagram) noexcept = 0;
};

/// \brief What to send for one received datagram; nothing if `to` is unset.
struct RelayVerdict {
    Endpoint to;
    std::span<std::byte const> header; ///< sent before the payload; valid until the next decision
    std::span<std::byte const> payload; ///< inside the datagram
};

} // namespace plantaindrift
