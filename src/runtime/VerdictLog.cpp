#include "runtime/VerdictLog.h"

#include "plantaindrift/runtime/Log.h"

#include <algorithm>
#include <chrono>

namespace plantaindrift {

void logVerdicts(std::span<Detector::Verdict const> verdicts)
{
    std::span<Detector::Verdict const> const logged = verdicts.first(std::min(verdicts.size(), maximumVerdictLines));
    for (Detector::Verdict const& verdict : logged) {
        std::int64_t const silentMs = std::chrono::duration_cast<std::chrono::milliseconds>(verdict.silence).count();
        logEvent(LogLevel::Warning, "member_judged", { { "member", verdict.name }, { "incarnation", verdict.incarnation }, { "state", memberStateName(verdict.state) }, { "silent_ms", silentMs }, { "heard", verdict.wasHeard }, { "requests", verdict.requests } });
    }
    if (logged.size() < verdicts.size())
        logEvent(LogLevel::Warning, "members_judged", { { "lines_left_out", verdicts.size() - logged.size() } });
}

void addDetectorMetrics(MetricsPage& page, EntryControl::Counts const& counts)
{
    std::string_view const help = "Verdicts of this entry on members that it monitors.";
    page.addCounter("plantaindrift_member_verdicts_total", help, { { "state", "suspect" } }, static_cast<double>(counts.suspicions));
    page.addCounter("plantaindrift_member_verdicts_total", help, { { "state", "dead" } }, static_cast<double>(counts.deaths));
    page.addCounter("plantaindrift_heartbeat_requests_total", "Requests for an overdue heartbeat, sent to members that this entry monitors or takes for dead.", {}, static_cast<double>(counts.heartbeatRequests));
}

} // namespace plantaindrift
