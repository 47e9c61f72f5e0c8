#include "agent/FlowRanking.h"

#include "agent/FlowBucket.h"
#include "plantaindrift/base/Hash.h"

#include <algorithm>

namespace plantaindrift {

RankedCandidates rankCandidates(ViewState const& view, FlowHash flow) noexcept
{
    std::uint64_t const bucket = flowBucket(flow);
    RankedCandidates ranked;
    std::array<double, maximumCandidates> scores {};
    std::span<ViewTarget const> const targets = view.targets();
    for (std::size_t index = 0; index < targets.size(); ++index) {
        if (targets[index].dead)
            continue;
        double const score = rendezvousScore(view.nameHashes()[index], bucket, targets[index].weight);
        ++ranked.evaluated;
        std::size_t place = ranked.count;
        while (place > 0 && scores[place - 1] < score)
            --place;
        if (place >= maximumCandidates)
            continue;
        ranked.count = std::min(ranked.count + 1, maximumCandidates);
        for (std::size_t last = ranked.count - 1; last > place; --last) {
            scores[last] = scores[last - 1];
            ranked.endpoints[last] = ranked.endpoints[last - 1];
        }
        scores[place] = score;
        ranked.endpoints[place] = targets[index].data;
    }
    return ranked;
}

} // namespace plantaindrift
