#pragma once

#include "plantaindrift/base/Types.h"

#include <cstdint>

namespace plantaindrift {

/// \brief Key of an endpoint in hash maps.
[[nodiscard]] constexpr std::uint64_t endpointKey(Endpoint endpoint) noexcept
{
    return (std::uint64_t { endpoint.address } << 16U) | endpoint.port;
}

} // namespace plantaindrift
