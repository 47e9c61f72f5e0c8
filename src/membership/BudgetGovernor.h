#pragma once

#include "membership/TokenBucket.h"

#include <chrono>
#include <cstdint>

namespace plantaindrift {

/// \brief Watches the bytes of all control messages of a node, sent and received.
///
/// Heartbeats and their replies always go; what can wait (suspicions, comparisons) goes only while both directions are
/// within the budget.
class BudgetGovernor {
public:
    /// \brief Time over which unused allowance accumulates, and after which an excess is forgiven.
    static constexpr std::chrono::seconds burst { 5 };

    /// \brief Share of the budget that is allowed; with the burst, the mean of a minute stays below the budget.
    static constexpr double usableShare = 0.8;

    explicit BudgetGovernor(double bytesPerSecond) noexcept
        : sent_(bytesPerSecond * usableShare, bytesPerSecond * std::chrono::duration<double>(burst).count())
        , received_(sent_)
    {
    }

    /// \brief Charges what was sent and received since the last call.
    ///
    /// \param countsReceived  false while this node fetches full state, which is a single large receipt
    void update(std::uint64_t sentBytes, std::uint64_t receivedBytes, bool countsReceived, TimePoint now) noexcept
    {
        charge(sent_, sentBytes - lastSent_, now);
        charge(received_, countsReceived ? receivedBytes - lastReceived_ : 0, now);
        lastSent_ = sentBytes;
        lastReceived_ = receivedBytes;
    }

    [[nodiscard]] bool allows() const noexcept { return sent_.canTake(0) && received_.canTake(0); }

private:
    static void charge(TokenBucket& bucket, std::uint64_t bytes, TimePoint now) noexcept
    {
        bucket.refill(now);
        bucket.take(static_cast<double>(bytes));
        bucket.limitDebt(bucket.burstBytes());
    }

    TokenBucket sent_;
    TokenBucket received_;
    std::uint64_t lastSent_ { 0 };
    std::uint64_t lastReceived_ { 0 };
};

} // namespace plantaindrift
