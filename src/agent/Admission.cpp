#include "agent/Admission.h"

#include <algorithm>
#include <cmath>

namespace plantaindrift {

namespace {

    using Seconds = std::chrono::duration<double>;

    constexpr double referenceWeight = 100;
    constexpr double firstSlowStartFactor = 0.1;
    constexpr std::chrono::seconds reportLifetime { 5 };
    constexpr std::chrono::seconds peerLifetime { 5 };

    // Passes of first packets: one for five admissions and ten a second, so that overload is not multiplied.
    constexpr double passesPerAdmission = 0.2;
    constexpr double passesPerSecond = 10;
    constexpr double mostPassTokens = 20;

    // Load shares and the own load are averaged over this time before they are compared, because the busy slots of
    // a small target change by a large fraction with every request.
    constexpr Seconds smoothingTime { 5 };
    constexpr double peerMargin = 0.02;

    // A report that stays the same while the agent's own count changes by this much is not believed.
    constexpr std::size_t frozenReportSpread = 3;

} // namespace

Admission::Admission(bool coldStart, TimePoint now)
    : started_(now)
    , lastTick_(now)
    , passTokens_(mostPassTokens)
    , coldStart_(coldStart)
{
}

void Admission::setService(AdmissionLimits const& limits, std::chrono::seconds slowStart) noexcept
{
    limits_ = limits;
    slowStart_ = slowStart;
}

void Admission::setLoadReport(LoadReport const& report, FlowCounts const& counts, TimePoint now) noexcept
{
    healthy_ = report.healthy;
    if (!hasReport_ || report.busySlots != lastReported_) {
        leastOwn_ = counts.inProgress;
        mostOwn_ = counts.inProgress;
    }
    leastOwn_ = std::min(leastOwn_, counts.inProgress);
    mostOwn_ = std::max(mostOwn_, counts.inProgress);
    lastReported_ = report.busySlots;
    hasReport_ = true;
    lastReport_ = now;
    bool const frozen = mostOwn_ - leastOwn_ >= frozenReportSpread;
    double const excess = static_cast<double>(report.busySlots) - static_cast<double>(counts.inProgress);
    reportExcess_ = frozen ? 0 : std::max(0.0, excess);
}

void Admission::setPeerLoad(std::string_view peer, double busyFraction, TimePoint now)
{
    auto place = std::find_if(peers_.begin(), peers_.end(), [peer](PeerLoad const& load) { return load.name == peer; });
    if (place == peers_.end())
        place = peers_.insert(peers_.end(), PeerLoad { std::string(peer), 0, now });
    // A value outside this range is a fault of the peer and must not stop admission here.
    place->busyFraction = std::isfinite(busyFraction) ? std::clamp(busyFraction, 0.0, 2.0) : 0;
    place->heard = now;
}

void Admission::tick(FlowCounts const& counts, TimePoint now) noexcept
{
    Seconds const elapsed = now - lastTick_;
    lastTick_ = now;
    passTokens_ = std::min(mostPassTokens, passTokens_ + passesPerSecond * elapsed.count());
    if (hasReport_ && now - lastReport_ > reportLifetime)
        reportExcess_ = 0;
    double const share = 1 - std::exp(-elapsed.count() / smoothingTime.count());
    smoothedBusy_ += share * (estimatedBusy(counts) / slots() - smoothedBusy_);
    std::erase_if(peers_, [now](PeerLoad const& load) { return now - load.heard > peerLifetime; });
    double sum = 0;
    for (PeerLoad const& load : peers_)
        sum += load.busyFraction;
    hasPeers_ = !peers_.empty();
    peerMean_ = hasPeers_ ? sum / static_cast<double>(peers_.size()) : 0;
}

Willingness Admission::willingness(FlowCounts const& counts, TimePoint now) const noexcept
{
    double const factor = slowStartFactor(now);
    double const connections = limits_.connections * weight_ / referenceWeight;
    double const places = slots() * (1 + limits_.queuePerSlot);
    if (!isAccepting() || counts.atBound)
        return Willingness::Full;
    if (static_cast<double>(counts.open) >= std::max(1.0, connections * factor))
        return Willingness::Full;
    if (estimatedBusy(counts) >= std::max(1.0, places * factor))
        return Willingness::Full;
    return isAbovePeers() ? Willingness::AbovePeers : Willingness::Willing;
}

void Admission::noteAdmission() noexcept
{
    passTokens_ = std::min(mostPassTokens, passTokens_ + passesPerAdmission);
}

bool Admission::takePass() noexcept
{
    if (passTokens_ < 1)
        return false;
    passTokens_ -= 1;
    return true;
}

// The agent's own count is the lower bound, because it lags by nothing. Open flows are the upper bound. A report
// between the two adds work that the agent does not see.
double Admission::estimatedBusy(FlowCounts const& counts) const noexcept
{
    double const own = static_cast<double>(counts.inProgress);
    double const most = std::max(own, static_cast<double>(counts.open));
    return std::clamp(own + reportExcess_, own, most);
}

double Admission::slots() const noexcept
{
    return std::max(1.0, limits_.slots * weight_ / referenceWeight);
}

double Admission::slowStartFactor(TimePoint now) const noexcept
{
    if (!coldStart_ || slowStart_.count() <= 0)
        return 1;
    double const part = Seconds(now - started_).count() / Seconds(slowStart_).count();
    return std::min(1.0, firstSlowStartFactor + (1 - firstSlowStartFactor) * part);
}

bool Admission::isAbovePeers() const noexcept
{
    return hasPeers_ && smoothedBusy_ > peerMean_ + peerMargin;
}

} // namespace plantaindrift
