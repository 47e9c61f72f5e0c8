#include "runtime/DecisionLog.h"

#include "plantaindrift/runtime/Log.h"

#include <chrono>
#include <utility>

namespace plantaindrift {

void DecisionLog::onDecision(RelayDecision const& decision) noexcept
{
    if (!consume(decisions_))
        return;
    logEvent(LogLevel::Info, "flow", { { "outcome", decision.outcome }, { "caller", formatEndpoint(decision.flow.caller) }, { "address", formatEndpoint(decision.flow.serviceEndpoint) }, { "copy", decision.openAttempt }, { "to", decision.destination.isSet() ? formatEndpoint(decision.destination) : "none" }, { "hops", decision.hops }, { "reason", decision.reason.empty() ? std::string_view("none") : decision.reason }, { "cost_ms", static_cast<std::int64_t>(decision.costTenthMs / 10) }, { "accepting", decision.load.isAccepting }, { "busy", decision.load.activeRequests }, { "slots", decision.load.slots }, { "flows", decision.load.openFlows }, { "service_ms", decision.load.serviceTimeTenthMs / 10 }, { "failed_percent", static_cast<std::uint32_t>(decision.load.failedPercent) }, { "load_age_ms", decision.loadAge.count() } });
}

void DecisionLog::onFlowLost(LostFlowEvidence const& evidence) noexcept
{
    if (!consume(lostFlows_))
        return;
    constexpr std::chrono::milliseconds noList { -1 };
    logEvent(LogLevel::Info, "flow_lost", { { "caller", formatEndpoint(evidence.flow.caller) }, { "address", formatEndpoint(evidence.flow.serviceEndpoint) }, { "search_ms", evidence.searchTime.count() }, { "replied", evidence.repliedTargets }, { "ended", evidence.endedTargets }, { "silent", evidence.silentTargets }, { "shortest_silence_ms", evidence.shortestSilence.count() }, { "services", evidence.searchedServices }, { "view_age_ms", evidence.viewAge.count() }, { "list_age_ms", evidence.memberListAge.value_or(noList).count() }, { "uptime_ms", evidence.entryUptime.count() }, { "power_loss", evidence.isAfterPowerLoss } });
}

bool DecisionLog::consume(Quota& quota)
{
    TimePoint const now = std::chrono::steady_clock::now();
    if (now - quota.windowStart >= std::chrono::seconds { 1 }) {
        quota.windowStart = now;
        quota.linesInWindow = 0;
        if (quota.suppressedLines > 0)
            logEvent(LogLevel::Warning, "lines_left_out", { { "lines", std::exchange(quota.suppressedLines, 0) } });
    }
    if (quota.linesInWindow >= quota.linesPerSecond) {
        ++quota.suppressedLines;
        return false;
    }
    ++quota.linesInWindow;
    return true;
}

} // namespace plantaindrift
