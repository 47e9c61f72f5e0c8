#include "membership/Reconnection.h"

#include <algorithm>
#include <cstddef>

namespace plantaindrift {

namespace {

    bool contains(std::span<Endpoint const> endpoints, Endpoint endpoint)
    {
        return std::find(endpoints.begin(), endpoints.end(), endpoint) != endpoints.end();
    }

    void addOne(std::span<Endpoint const> candidates, RandomSource& random, std::vector<Endpoint>& chosen)
    {
        if (candidates.empty())
            return;
        Endpoint const endpoint = candidates[random.below(candidates.size())];
        if (!contains(chosen, endpoint))
            chosen.push_back(endpoint);
    }

    std::vector<Endpoint> deadEntries(MemberTable const& table, std::span<Endpoint const> live)
    {
        std::vector<Endpoint> dead;
        for (auto const& [name, record] : table.entries()) {
            if (record->member.state == MemberState::Dead && !contains(live, record->member.control))
                dead.push_back(record->member.control);
        }
        return dead;
    }

    // An agent that was unreachable while all entries it knew were replaced cannot refute the verdict by itself.
    Member const* drawDeadAgent(MemberTable const& table, RandomSource& random)
    {
        Member const* chosen = nullptr;
        std::size_t dead = 0;
        for (std::size_t shard = 0; shard < shardCount; ++shard) {
            for (auto const& [name, record] : table.shard(shard)) {
                bool const isCandidate = record.member.role == MemberRole::Agent && record.member.state == MemberState::Dead;
                if (isCandidate && random.below(++dead) == 0)
                    chosen = &record.member;
            }
        }
        return chosen;
    }

} // namespace

ReconnectTargets chooseReconnectTargets(MemberTable const& table, std::span<Endpoint const> live, std::span<Endpoint const> seeds, RandomSource& random)
{
    ReconnectTargets targets;
    addOne(deadEntries(table, live), random, targets.entries);
    std::vector<Endpoint> lostSeeds(seeds.begin(), seeds.end());
    std::erase_if(lostSeeds, [live](Endpoint endpoint) { return contains(live, endpoint); });
    addOne(lostSeeds, random, targets.entries);
    targets.agent = drawDeadAgent(table, random);
    return targets;
}

} // namespace plantaindrift
