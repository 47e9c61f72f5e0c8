#pragma once

#include "plantaindrift/base/Types.h"

#include "absl/container/flat_hash_map.h"

#include <cstddef>
#include <cstdint>

namespace plantaindrift {

/// \brief Moving average of the bytes that callers send on a flow, by service address.
class RequestSizes {
public:
    /// \brief Records an original opening segment of an address.
    void recordFlow(Endpoint address);

    /// \brief Records a later segment; ignored for an address without a recorded flow.
    void recordSegment(Endpoint address, std::size_t bytes) noexcept;

    /// \brief Mean bytes of a flow; 0 if nothing was recorded.
    [[nodiscard]] double meanBytes(Endpoint address) const noexcept;

private:
    struct Sums {
        double flows { 0 };
        double bytes { 0 };
    };

    absl::flat_hash_map<std::uint64_t, Sums> sums_; ///< by address
};

} // namespace plantaindrift
