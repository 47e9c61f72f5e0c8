#include "balancing/ColdShare.h"

#include <algorithm>
#include <chrono>

namespace plantaindrift {

namespace {

    // With a smaller share, an entry would learn too slowly that the others have stopped sending.
    constexpr double minimumShare = 1.0 / 32;

    // Part of the whole allowance by which each admission raises the share.
    constexpr double admissionGain = 0.02;

    constexpr double declineFactor = 0.7;

    // Declines within this time answer openings that were sent with the same share.
    constexpr std::chrono::milliseconds declineInterval { 100 };

    // Unused parts of the share are kept for this long.
    constexpr std::chrono::milliseconds burstPeriod { 100 };

    Duration intervalOf(double share, std::uint16_t allowance) noexcept
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / (share * allowance)));
    }

} // namespace

void ColdShare::recordOffer(std::uint16_t allowance, TimePoint now) noexcept
{
    next_ = std::max(next_, now - burstPeriod) + intervalOf(share_, allowance);
}

void ColdShare::recordAdmission() noexcept
{
    share_ = std::min(1.0, share_ + admissionGain);
}

void ColdShare::recordDecline(TimePoint now) noexcept
{
    if (now - lastDecline_ < declineInterval)
        return;
    lastDecline_ = now;
    share_ = std::max(minimumShare, share_ * declineFactor);
}

} // namespace plantaindrift
