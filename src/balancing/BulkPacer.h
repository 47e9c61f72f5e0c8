#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/relay/EntryResources.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace plantaindrift {

/// \brief Decides when an entry sends large segments of callers.
///
/// Handles the load condition that large segments arrive in bursts: without pacing, small and urgent segments wait behind
/// them where the link leaves the entry. Small segments are never paced.
class BulkPacer {
public:
    /// \brief Sets the tightest latency objective of all addresses; a tenth of it is the longest modelled queue.
    ///
    /// \param objective  0 if no address has one
    void setTightestObjective(std::chrono::milliseconds objective) noexcept;

    /// \brief Decides on a large segment that has arrived. The caller keeps it if the result is BulkAction::Queue.
    ///
    /// \param modelledQueue  time that the outbound queue of the link takes to drain
    /// \param segmentTime  time that the segment takes on the link
    [[nodiscard]] BulkAction decide(Duration modelledQueue, Duration segmentTime) noexcept;

    /// \brief Decides on the first queued segment. The caller removes it unless the result is BulkAction::Queue.
    ///
    /// \param waited  time since it was queued
    [[nodiscard]] BulkAction release(Duration modelledQueue, Duration segmentTime, Duration waited) noexcept;

    [[nodiscard]] BulkCounts const& counts() const noexcept { return counts_; }

private:
    Duration maximumQueue_ { std::chrono::milliseconds { 20 } };
    Duration waiting_ {}; ///< time that the queued segments take on the link
    std::size_t queued_ { 0 };
    BulkCounts counts_;

    BulkAction drop() noexcept;
};

} // namespace plantaindrift
