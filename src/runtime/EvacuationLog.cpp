#include "runtime/EvacuationLog.h"

#include "plantaindrift/runtime/Log.h"

#include <array>

namespace plantaindrift {

namespace {

    constexpr std::array<std::string_view, 3> sourceNames { "store", "peer", "absent_after_restore" };

} // namespace

void EvacuationLog::record(EvacuationChange const& change, std::chrono::system_clock::time_point now)
{
    for (auto evacuation = evacuations_.begin(); evacuation != evacuations_.end();) {
        if (change.set.contains(evacuation->first)) {
            ++evacuation;
            continue;
        }
        log("evacuation_ended", evacuation->first, change);
        ++ended_;
        evacuation = evacuations_.erase(evacuation);
    }
    for (std::string const& dataCentre : change.set.dataCentres) {
        if (!evacuations_.try_emplace(dataCentre, now).second)
            continue;
        log("evacuation_started", dataCentre, change);
        ++started_;
    }
}

void EvacuationLog::log(std::string_view event, std::string const& dataCentre, EvacuationChange const& change)
{
    EvacuationVersion const& version = change.set.version;
    logEvent(LogLevel::Warning, event, { { "data_centre", dataCentre }, { "generation", version.generation }, { "revision", version.revision }, { "source", sourceNames[static_cast<std::size_t>(change.source)] } });
}

void EvacuationLog::addMetrics(MetricsPage& page) const
{
    for (auto const& [dataCentre, since] : evacuations_) {
        std::chrono::duration<double> const sinceEpoch = since.time_since_epoch();
        page.addGauge("plantaindrift_evacuated", "1 for a data centre whose targets take no new flows.", { { "data_centre", dataCentre } }, 1);
        page.addGauge("plantaindrift_evacuated_since_seconds", "Unix time since when this process knows of the evacuation.", { { "data_centre", dataCentre } }, sinceEpoch.count());
    }
    std::string_view const help = "Evacuations that this process saw start and end.";
    page.addCounter("plantaindrift_evacuations_total", help, { { "change", "started" } }, static_cast<double>(started_));
    page.addCounter("plantaindrift_evacuations_total", help, { { "change", "ended" } }, static_cast<double>(ended_));
}

} // namespace plantaindrift
