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

    // Passes that only spread load cost one more hop for each packet of a short flow, and the goal is 1.1 hops.
    constexpr double spreadingPassesPerAdmission = 0.08;
    constexpr double mostPassTokens = 20;

    // Load shares and the own load are averaged over this time before they are compared, because the busy slots of
    // a small target change by a large fraction with every request.
    constexpr Seconds smoothingTime { 5 };
    constexpr double peerMargin = 0.02;

    // Weight of the newest load report in the average.
    constexpr double reportShare = 0.2;

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
    // A lagging report is above or below the own count by chance; only the average tells of work that is not seen. A
    // frozen report must not keep a target from admitting; one that is too low is bounded by recent requests.
    double const believed = frozen ? std::min(0.0, excess) : excess;
    excess_ += reportShare * (believed - excess_);
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
        excess_ = 0;
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
    double const places = slots() * (1 + limits_.queuePerSlot * factor);
    if (!isAccepting() || counts.atBound)
        return Willingness::Full;
    if (static_cast<double>(counts.open) >= std::max(1.0, connections * factor))
        return Willingness::Full;
    double const busy = estimatedBusy(counts);
    if (busy >= places)
        return Willingness::Full;
    if (busy >= slots())
        return Willingness::Queueing;
    return isAbovePeers() ? Willingness::AbovePeers : Willingness::Willing;
}

void Admission::noteAdmission() noexcept
{
    passTokens_ = std::min(mostPassTokens, passTokens_ + passesPerAdmission);
    spreadingTokens_ = std::min(mostPassTokens, spreadingTokens_ + spreadingPassesPerAdmission);
}

bool Admission::takePass() noexcept
{
    if (passTokens_ < 1)
        return false;
    passTokens_ -= 1;
    // Both kinds of pass cost hops, so full targets leave less for spreading.
    spreadingTokens_ = std::max(-mostPassTokens, spreadingTokens_ - 1);
    return true;
}

bool Admission::takeSpreadingPass() noexcept
{
    if (spreadingTokens_ < 1)
        return false;
    spreadingTokens_ -= 1;
    return true;
}

double Admission::peerLoad(std::string_view name) const noexcept
{
    for (PeerLoad const& load : peers_) {
        if (load.name == name)
            return load.busyFraction;
    }
    return peerMean_;
}

// The own count lags by nothing; reports correct it for work that the agent does not see, and for answers whose
// acknowledgement was lost. Requests of the last second are the lower bound and open flows the upper one.
double Admission::estimatedBusy(FlowCounts const& counts) const noexcept
{
    double const own = static_cast<double>(counts.inProgress);
    double const least = static_cast<double>(std::min(counts.recent, counts.inProgress));
    double const most = std::max(own, static_cast<double>(counts.open));
    return std::clamp(own + excess_, least, most);
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
