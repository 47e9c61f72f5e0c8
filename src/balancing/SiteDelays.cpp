#include "balancing/SiteDelays.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace plantaindrift {

namespace {

    // Two windows together cover the last 30 s to 60 s.
    constexpr std::chrono::seconds windowLength { 30 };

    // Without traffic to a data centre its last measurement stays in use for this long; distances rarely change.
    constexpr std::chrono::minutes measurementLifetime { 10 };

    constexpr double tenthsPerMillisecond = 10;

} // namespace

SiteDelays::SiteDelays(std::string localDataCentre)
{
    sites_.emplace_back().name = std::move(localDataCentre);
}

std::size_t SiteDelays::indexOf(std::string_view dataCentre)
{
    std::vector<Site>::iterator const found = std::find_if(sites_.begin(), sites_.end(), [dataCentre](Site const& site) { return site.name == dataCentre; });
    std::size_t const index = static_cast<std::size_t>(found - sites_.begin());
    if (found == sites_.end())
        sites_.emplace_back().name = std::string(dataCentre);
    return index;
}

void SiteDelays::record(std::size_t site, Duration roundTrip, TimePoint now) noexcept
{
    Site& measured = sites_[site];
    bool const isFirst = measured.last == TimePoint {};
    if (isFirst || now - measured.windowStart >= windowLength) {
        measured.hasFormer = !isFirst && now - measured.windowStart < 2 * windowLength;
        measured.former = measured.current;
        measured.current = roundTrip;
        measured.windowStart = now;
    }
    measured.current = std::min(measured.current, roundTrip);
    measured.last = now;
}

std::optional<double> SiteDelays::extraTenthMs(std::size_t site, TimePoint now) const noexcept
{
    for (std::size_t const needed : { std::size_t { 0 }, site }) {
        if (sites_[needed].last == TimePoint {} || now - sites_[needed].last > measurementLifetime)
            return std::nullopt;
    }
    Duration const extra = std::max(Duration::zero(), sites_[site].smallest() - sites_[0].smallest());
    return std::chrono::duration<double, std::milli>(extra).count() * tenthsPerMillisecond;
}

Duration SiteDelays::Site::smallest() const noexcept
{
    return hasFormer ? std::min(current, former) : current;
}

} // namespace plantaindrift
