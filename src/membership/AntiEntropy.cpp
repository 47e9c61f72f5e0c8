#include "membership/AntiEntropy.h"

#include "membership/ShardExchange.h"

#include <algorithm>
#include <utility>

namespace plantaindrift {

namespace {

    // A period with a quarter of jitter, so that nodes started together do not stay in step.
    [[nodiscard]] Duration jittered(std::chrono::seconds period, RandomSource& random)
    {
        std::chrono::milliseconds const whole = period;
        std::chrono::milliseconds const quarter { random.below(static_cast<std::size_t>(whole.count()) / 4) };
        return whole - whole / 8 + quarter;
    }

    [[nodiscard]] bool takeTimer(std::optional<TimePoint>& next, TimePoint now, std::chrono::seconds period, RandomSource& random)
    {
        if (!next) {
            next = now + jittered(period, random) / 2;
            return false;
        }
        if (now < *next)
            return false;
        next = now + jittered(period, random);
        return true;
    }

} // namespace

AntiEntropy::AntiEntropy(std::uint64_t seed)
    : random_(seed)
{
}

bool AntiEntropy::takeDue(TimePoint now)
{
    return takeTimer(next_, now, period, random_);
}

bool AntiEntropy::takeReconnectDue(TimePoint now)
{
    return takeTimer(nextReconnect_, now, reconnectPeriod, random_);
}

void AntiEntropy::hurry(TimePoint now)
{
    TimePoint const soon = now + jittered(shortPeriod, random_);
    next_ = next_ ? std::min(*next_, soon) : soon;
}

control::ShardRequest AntiEntropy::makeRequest(MemberTable const& table, std::span<std::uint32_t> differing)
{
    control::ShardRequest request;
    std::size_t left = differing.size();
    while (left > 0) {
        std::swap(differing[random_.below(left)], differing[left - 1]);
        std::uint32_t const shard = differing[--left];
        std::size_t const versions = static_cast<std::size_t>(request.versions_size()) + table.shard(shard).size();
        if (request.shards_size() > 0 && versions > versionsPerRequest)
            break;
        addVersions(table, shard, request);
    }
    return request;
}

} // namespace plantaindrift
