#pragma once

#include "plantaindrift/base/Types.h"

#include <cstddef>
#include <cstdint>

namespace plantaindrift {

/// \brief Requests in progress at a target and the time that one takes there, as its agent sees them pass.
class RequestCount {
public:
    /// \brief A request entered the target.
    void begin() noexcept { ++busy_; }

    /// \brief A request ended without an answer.
    void cancel() noexcept;

    /// \brief The first part of an answer left the target.
    ///
    /// \param took      time since the last part of the request
    /// \param wasFree   the target had a free slot when the request came, so that the time holds no wait
    void finish(Duration took, bool wasFree) noexcept;

    /// \brief The target is slow after its start until this time.
    void setCold(TimePoint until) noexcept { coldUntil_ = until; }

    void tick(TimePoint now) noexcept { now_ = now; }

    /// \brief Forgets everything, because the target was replaced.
    void reset() noexcept;

    [[nodiscard]] std::size_t busy() const noexcept { return busy_; }

    /// \brief Mean time of a request that does not wait, in 0.1 ms; 0 if none was measured.
    [[nodiscard]] std::uint16_t serviceTenths() const noexcept;

private:
    std::size_t busy_ { 0 };
    double meanTenths_ { 0 };
    std::uint32_t waitedInRow_ { 0 };
    TimePoint coldUntil_;
    TimePoint now_;
};

} // namespace plantaindrift
