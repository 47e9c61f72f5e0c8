#pragma once

#include "plantaindrift/base/LatencyHistogram.h"
#include "plantaindrift/base/Types.h"
#include "relay/FailureShare.h"

#include <cstddef>
#include <cstdint>

namespace plantaindrift {

/// \brief Requests in progress at a target and the time that one takes there, as its agent sees them pass.
class RequestCount {
public:
    /// \brief A request entered the target.
    void begin() noexcept { ++busy_; }

    /// \brief A request ended, and nothing shows that the target failed it.
    void cancel() noexcept;

    /// \brief The target did not answer a request.
    void fail() noexcept;

    /// \brief The first part of an answer left the target.
    ///
    /// \param requested  when the last part of the request entered
    /// \param slots      requests that the target serves at once
    void finish(TimePoint requested, TimePoint now, std::size_t slots) noexcept;

    /// \brief The target is slow after its start until this time.
    void setCold(TimePoint until) noexcept { coldUntil_ = until; }

    void tick(TimePoint now) noexcept;

    /// \brief Forgets everything, because the target was replaced.
    void reset() noexcept;

    /// \brief Part of the latest requests that failed, in percent.
    [[nodiscard]] std::uint8_t failedPercent() const noexcept { return failures_.percent(); }

    /// \brief Times from a request's last part to its answer's first, with the wait at the target.
    [[nodiscard]] LatencyHistogram const& times() const noexcept { return times_; }

    [[nodiscard]] std::size_t busy() const noexcept { return busy_; }

    /// \brief Mean time of a request without its wait, in 0.1 ms; 0 if none was measured.
    [[nodiscard]] std::uint16_t serviceTenths() const noexcept;

private:
    std::size_t busy_ { 0 };
    double meanTenths_ { 0 };
    FailureShare failures_;
    LatencyHistogram times_; ///< since the start of this process, for all targets in turn
    TimePoint finished_; ///< last end of a request
    bool wasFull_ { false }; ///< all slots were taken after it
    TimePoint coldUntil_;
    TimePoint now_;
};

} // namespace plantaindrift
