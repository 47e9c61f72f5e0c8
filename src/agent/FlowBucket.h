#pragma once

#include "entry/CandidateTable.h"
#include "plantaindrift/base/Types.h"

#include <cstdint>

namespace plantaindrift {

/// \brief Bucket that the entries rank a flow by.
[[nodiscard]] constexpr std::uint64_t flowBucket(FlowHash flow) noexcept
{
    return static_cast<std::uint64_t>(flow) & (CandidateTable::defaultBuckets - 1);
}

} // namespace plantaindrift
