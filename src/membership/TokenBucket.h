#pragma once

#include "plantaindrift/base/Types.h"

#include <algorithm>
#include <chrono>

namespace plantaindrift {

/// \brief Limits bytes a second; unused allowance accumulates up to a burst.
class TokenBucket {
public:
    /// \param bytesPerSecond  long-run rate
    /// \param burstBytes      most that can be saved up; the bucket starts full
    TokenBucket(double bytesPerSecond, double burstBytes) noexcept
        : bytesPerSecond_(bytesPerSecond)
        , burstBytes_(burstBytes)
        , tokens_(burstBytes)
    {
    }

    /// \brief Adds the allowance of the time since the last call.
    void refill(TimePoint now) noexcept
    {
        if (started_ && now > last_)
            tokens_ = std::min(burstBytes_, tokens_ + bytesPerSecond_ * std::chrono::duration<double>(now - last_).count());
        last_ = std::max(last_, now);
        started_ = true;
    }

    /// \brief True if the bucket holds this many bytes, or would owe no more than the debt after paying them.
    [[nodiscard]] bool canTake(double bytes, double allowedDebt = 0) const noexcept { return tokens_ + allowedDebt >= bytes; }

    /// \brief Pays; the balance may become negative.
    void take(double bytes) noexcept { tokens_ -= bytes; }

    /// \brief Forgives what exceeds a debt.
    void limitDebt(double bytes) noexcept { tokens_ = std::max(tokens_, -bytes); }

    [[nodiscard]] double burstBytes() const noexcept { return burstBytes_; }

private:
    double bytesPerSecond_;
    double burstBytes_;
    double tokens_;
    TimePoint last_ {};
    bool started_ { false };
};

} // namespace plantaindrift
