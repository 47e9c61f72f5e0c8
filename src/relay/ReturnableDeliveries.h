#pragma once

#include "plantaindrift/relay/RelayMessage.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace plantaindrift {

/// \brief Routes of the latest segments that were delivered to the target, in case the target returns them.
class ReturnableDeliveries {
public:
    /// \brief Remembers a delivery. \returns the token to write into the segment
    std::uint32_t add(std::uint64_t flowHash, RelayRoute const& route) noexcept
    {
        ++lastToken_;
        deliveries_[lastToken_ % capacity] = { lastToken_, flowHash, route };
        return lastToken_;
    }

    /// \brief The route of a returned segment; null if it is not remembered.
    ///
    /// \param token  as written into the segment; 0 if it had none
    [[nodiscard]] RelayRoute const* find(std::uint32_t token, std::uint64_t flowHash) const noexcept
    {
        Delivery const& delivery = deliveries_[token % capacity];
        bool const isKnown = token != 0 && delivery.token == token && delivery.flowHash == flowHash;
        return isKnown ? &delivery.route : nullptr;
    }

private:
    struct Delivery {
        std::uint32_t token { 0 };
        std::uint64_t flowHash { 0 };
        RelayRoute route;
    };

    static constexpr std::size_t capacity = 1024;

    std::array<Delivery, capacity> deliveries_;
    std::uint32_t lastToken_ { 0 };
};

} // namespace plantaindrift
