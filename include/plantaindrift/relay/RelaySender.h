#pragma once

#include "plantaindrift/base/Types.h"

#include <cstddef>
#include <span>

namespace plantaindrift {

/// \brief Sends datagrams that are not a direct result of a received one, such as notices and load reports.
class RelaySender {
public:
    virtual ~RelaySender() = default;

    /// \brief Sends one datagram; drops it if the kernel's send buffer is full.
    virtual void send(Endpoint to, std::span<std::byte const> datagram) noexcept = 0;
};

} // namespace plantaindrift
