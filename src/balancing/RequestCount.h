#pragma once

#include "balancing/FailureShare.h"
#include "plantaindrift/base/LatencyHistogram.h"
#include "plantaindrift/base/Types.h"

#include <cstddef>
#include <cstdint>

namespace plantaindrift {

/// \brief Counts the requests in progress at a target and measures its service time, from the segments that its agent
/// relays.
class RequestCount {
public:
    /// \brief Records that a request was delivered to the target.
    void begin() noexcept { ++busy_; }

    /// \brief Records that a request ended without a sign that the target failed it.
    void cancel() noexcept;

    /// \brief Records that the target did not answer a request.
    void fail() noexcept;

    /// \brief Records the first segment of an answer from the target.
    ///
    /// \param requested  when the last segment of the request was delivered
    /// \param slots  number of requests that the target serves in parallel
    void finish(TimePoint requested, TimePoint now, std::size_t slots) noexcept;

    /// \brief Sets until when the target is slow after its start.
    void setWarmUpEnd(TimePoint until) noexcept { warmUpEnd_ = until; }

    void tick(TimePoint now) noexcept;

    /// \brief Clears the requests and the means, because the target was replaced.
    void reset() noexcept;

    /// \brief Percentage of recent requests that failed.
    [[nodiscard]] std::uint8_t failedPercent() const noexcept { return failures_.percent(); }

    /// \brief Times from a request's last segment to the first segment of its answer, including the wait at the
    /// target.
    [[nodiscard]] LatencyHistogram const& times() const noexcept { return times_; }

    [[nodiscard]] std::size_t busy() const noexcept { return busy_; }

    /// \brief Mean time of a request without its wait, in 0.1 ms; 0 if none was measured.
    [[nodiscard]] std::uint16_t serviceTimeTenthMs() const noexcept;

private:
    std::size_t busy_ { 0 };
    double meanServiceTenthMs_ { 0 };
    FailureShare failures_;
    LatencyHistogram times_; ///< since the start of this process, over all targets
    TimePoint lastFinish_; ///< time when the last request completed
    bool wereSlotsFull_ { false }; ///< all slots were taken after that request
    TimePoint warmUpEnd_;
    TimePoint now_;
};

} // namespace plantaindrift
