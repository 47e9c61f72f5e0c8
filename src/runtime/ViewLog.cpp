#include "runtime/ViewLog.h"

#include "plantaindrift/runtime/Log.h"

#include <algorithm>

namespace plantaindrift {

void ViewLog::recordView(ServiceView const& view)
{
    std::vector<ViewTarget>& previous = targets_[view.service];
    logDifferences(view, previous);
    previous = view.targets;
    std::size_t const leftOut = targetLines_ - std::min(targetLines_, maximumTargetLines);
    targetLines_ = 0;
    logEvent(LogLevel::Info, "view_changed", { { "service", view.service }, { "targets", view.targets.size() }, { "fingerprint", view.fingerprint }, { "lines_left_out", leftOut } });
}

void ViewLog::logTarget(std::string_view change, std::string_view service, ViewTarget const& target)
{
    if (++targetLines_ <= maximumTargetLines)
        logEvent(LogLevel::Info, "view_target", { { "change", change }, { "service", service }, { "target", target.name }, { "agent", formatEndpoint(target.data) }, { "draining", target.draining }, { "dead", target.dead } });
}

// Both lists are sorted by name.
void ViewLog::logDifferences(ServiceView const& view, std::vector<ViewTarget> const& previous)
{
    std::vector<ViewTarget>::const_iterator old = previous.begin();
    for (ViewTarget const& target : view.targets) {
        for (; old != previous.end() && old->name < target.name; ++old)
            logTarget("removed", view.service, *old);
        bool const isKnown = old != previous.end() && old->name == target.name;
        if (!isKnown || *old != target)
            logTarget(isKnown ? "changed" : "added", view.service, target);
        if (isKnown)
            ++old;
    }
    for (; old != previous.end(); ++old)
        logTarget("removed", view.service, *old);
}

} // namespace plantaindrift
