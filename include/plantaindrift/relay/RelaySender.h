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

} // namespace plantaindrift
