#include "runtime/DecisionLog.h"

#include "plantaindrift/runtime/Log.h"

#include <chrono>
#include <utility>

namespace plantaindrift {

void DecisionLog::onDecision(RelayDecision const& decision) noexcept
{
    if (!consumeLineQuota())
        return;
    logEvent(LogLevel::Info, "flow", { { "outcome", decision.outcome }, { "caller", formatEndpoint(decision.flow.caller) }, { "address", formatEndpoint(decision.flow.serviceEndpoint) }, { "copy", decision.openAttempt }, { "to", decision.destination.isSet() ? formatEndpoint(decision.destination) : "none" }, { "hops", decision.hops }, { "cost_ms", static_cast<std::int64_t>(decision.costTenthMs / 10) }, { "accepting", decision.load.isAccepting }, { "busy", decision.load.activeRequests }, { "slots", decision.load.slots }, { "flows", decision.load.openFlows }, { "service_ms", decision.load.serviceTimeTenthMs / 10 }, { "failed_percent", static_cast<std::uint32_t>(decision.load.failedPercent) }, { "load_age_ms", decision.loadAge.count() } });
}

bool DecisionLog::consumeLineQuota()
{
    TimePoint const now = std::chrono::steady_clock::now();
    if (now - windowStart_ >= std::chrono::seconds { 1 }) {
        windowStart_ = now;
        linesInWindow_ = 0;
        if (suppressedLines_ > 0)
            logEvent(LogLevel::Warning, "lines_left_out", { { "lines", std::exchange(suppressedLines_, 0) } });
    }
    if (linesInWindow_ >= linesPerSecond) {
        ++suppressedLines_;
        return false;
    }
    ++linesInWindow_;
    return true;
}

} // namespace plantaindrift
