#pragma once

#include "balancing/FailureShare.h"
#include "plantaindrift/base/LatencyHistogram.h"
#include "plantaindrift/base/Types.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace plantaindrift {

/// \brief Counts the requests in progress at a target and measures its service time, from the segments that its agent
/// relays.
class RequestCount {
public:
    /// \brief Records that the target was offered a flow; its first request is expected within 100 ms to 200 ms.
    void expect(TimePoint now) noexcept;

    /// \brief Records that the first request of a flow was delivered, or that the flow ended before.
    ///
    /// \param offered  time given to expect()
    void removeExpected(TimePoint offered) noexcept;

    /// \brief Records that a request was delivered to the target.
    ///
    /// \param isFirst  false for a further request of a flow
    void begin(TimePoint now, bool isFirst = true) noexcept;

    /// \brief Records that more of a request was delivered; its time counts from then on.
    void restart(TimePoint begun, TimePoint now) noexcept { begunSum_ += now - begun; }

    /// \brief Records that a request ended without a sign that the target failed it.
    ///
    /// \param begun  time given to begin() or restart()
    void cancel(TimePoint begun) noexcept;

    /// \brief Records that the target did not answer a request.
    void fail(TimePoint begun) noexcept;

    /// \brief Records the first segment of an answer from the target.
    ///
    /// \param requested  when the last segment of the request was delivered
    /// \param slots  number of requests that the target serves in parallel
    void finish(TimePoint requested, TimePoint now, std::size_t slots) noexcept;

    /// \brief Records data that the target sent to a caller.
    void addAnswerBytes(std::size_t bytes) noexcept { answerBytes_ += static_cast<double>(bytes); }

    /// \brief Sets until when the target is slow after its start.
    void setWarmUpEnd(TimePoint until) noexcept { warmUpEnd_ = until; }

    /// \brief Periodic work, every 100 ms.
    ///
    /// \param openFlows  open flows of the target
    void tick(TimePoint now, std::size_t openFlows, std::size_t slots) noexcept;

    /// \brief Clears the requests and the means, because the target was replaced.
    void reset() noexcept;

    /// \brief Percentage of recent requests that failed.
    [[nodiscard]] std::uint8_t failedPercent() const noexcept { return failures_.percent(); }

    /// \brief Times from a request's last segment to the first segment of its answer, including the wait at the
    /// target.
    [[nodiscard]] LatencyHistogram const& times() const noexcept { return times_; }

    /// \brief Requests in progress, and first requests that are expected of new flows.
    ///
    /// A request arrives one round trip of its caller after its opening segment. In this time a target would look idle to
    /// all further openings.
    [[nodiscard]] std::size_t busy() const noexcept { return busy_ + expected_[0] + expected_[1]; }

    /// \brief Requests in progress that an open flow causes on average after its first request, in thousandths; 0 if not
    /// measured.
    [[nodiscard]] std::uint16_t flowLoadMilli() const noexcept;

    /// \brief Mean bytes of an answer, in units of answerUnitBytes; rounded up.
    [[nodiscard]] std::uint16_t answerUnits() const noexcept;

    /// \brief Mean time of a request without its wait, in 0.1 ms; 0 if none was measured.
    [[nodiscard]] std::uint16_t serviceTimeTenthMs() const noexcept;

private:
    std::size_t busy_ { 0 };
    std::array<std::size_t, 2> expected_ {}; ///< first requests of flows offered since currentTick_ and in the period before
    TimePoint currentTick_;
    TimePoint formerTick_;
    Duration begunSum_ { 0 }; ///< sum of the times since the epoch at which the requests in progress were delivered
    double meanServiceTenthMs_ { 0 };
    double usualServiceTenthMs_ { 0 }; ///< mean of many more requests
    double pendingServiceTenthMs_ { 0 }; ///< lower bound by the age of the requests in progress; 0 if there is none
    std::size_t furtherRequests_ { 0 }; ///< requests other than the first of their flow, since the last tick
    double furtherPerSecond_ { 0 };
    std::size_t openFlows_ { 0 };
    double answers_ { 0 }; ///< decaying sum
    double answerBytes_ { 0 }; ///< of these answers
    FailureShare failures_;
    LatencyHistogram times_; ///< since the start of this process, over all targets
    TimePoint lastFinish_; ///< time when the last request completed
    bool wereSlotsFull_ { false }; ///< all slots were taken after that request
    TimePoint warmUpEnd_;
    TimePoint now_;

    void updatePending(TimePoint now, std::size_t slots) noexcept;
};

} // namespace plantaindrift
