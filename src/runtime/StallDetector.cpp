#include "runtime/StallDetector.h"

#include <ctime>

namespace plantaindrift {

Duration StallDetector::recordTurn(Duration uptime) noexcept
{
    Duration const sinceTurn = lastTurn_ ? uptime - *lastTurn_ : Duration::zero();
    lastTurn_ = uptime;
    if (sinceTurn < minimumStall)
        return Duration::zero();
    ++count_;
    return sinceTurn;
}

Duration readUptime() noexcept
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec });
}

} // namespace plantaindrift
