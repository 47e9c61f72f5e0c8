#pragma once

#include "plantaindrift/relay/RelayMessage.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace plantaindrift {

/// \brief A segment that was delivered to the target.
struct ReturnableDelivery {
    std::uint32_t token { 0 };
    std::uint64_t flowHash { 0 };
    RelayRoute route;
    TimePoint delivered;
};

/// \brief Routes of the latest segments that were delivered to the target, in case the target returns them.
class ReturnableDeliveries {
public:
    /// \brief Remembers a delivery. \returns the token to write into the segment
    std::uint32_t add(std::uint64_t flowHash, RelayRoute const& route, TimePoint now) noexcept
    {
        ++lastToken_;
        deliveries_[lastToken_ % capacity] = { lastToken_, flowHash, route, now };
        return lastToken_;
    }

    /// \brief The delivery of a returned segment; null if it is not remembered.
    ///
    /// \param token  as written into the segment; 0 if it had none
    [[nodiscard]] ReturnableDelivery const* find(std::uint32_t token, std::uint64_t flowHash) const noexcept
    {
        ReturnableDelivery const& delivery = deliveries_[token % capacity];
        bool const isKnown = token != 0 && delivery.token == token && delivery.flowHash == flowHash;
        return isKnown ? &delivery : nullptr;
    }

private:
    static constexpr std::size_t capacity = 1024;

    std::array<ReturnableDelivery, capacity> deliveries_;
    std::uint32_t lastToken_ { 0 };
};

} // namespace plantaindrift
