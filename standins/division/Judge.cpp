#include "division/Judge.h"

#include "plantaindrift/runtime/Log.h"

namespace plantaindrift::standins {

namespace {

    // Figures of the platform's pages.
    constexpr std::chrono::seconds drainBound { 3 };
    constexpr std::chrono::seconds flowSlack { 2 };
    constexpr std::uint32_t foreignPackets = 3;

    constexpr std::size_t mostViolations = 100;

    std::string describe(FlowEnds const& flow)
    {
        return formatEndpoint(flow.first) + " to " + formatEndpoint(flow.second);
    }

} // namespace

void Judge::report(std::string const& text)
{
    logEvent(LogLevel::Error, "promise_broken", { { "text", text } });
    if (violations_.size() < mostViolations)
        violations_.push_back(text);
}

void Judge::allow(Endpoint address, std::string const& service)
{
    allowed_[address].insert(service);
}

void Judge::disturb(std::uint32_t address, TimePoint now)
{
    disturbed_[address] = now;
}

bool Judge::isInTouch(std::uint32_t address, TimePoint now) const
{
    for (std::uint32_t const key : { address, 0U }) {
        std::map<std::uint32_t, TimePoint>::const_iterator const found = disturbed_.find(key);
        if (found != disturbed_.end() && now - found->second < stableTime)
            return false;
    }
    return true;
}

bool Judge::areAllInTouch(TimePoint now) const
{
    for (std::pair<std::uint32_t const, TimePoint> const& disturbance : disturbed_) {
        if (now - disturbance.second < stableTime)
            return false;
    }
    return true;
}

void Judge::flowOpened(FlowEnds const& flow, std::string const& service, std::uint32_t target, TimePoint /*now*/)
{
    std::map<Endpoint, std::set<std::string>>::const_iterator const services = allowed_.find(flow.second);
    if (services == allowed_.end() || !services->second.contains(service))
        report("ROUTE: " + describe(flow) + " opened at service " + service);
    flows_[flow] = { service, target, 0, {}, false };
}

void Judge::flowEnded(FlowEnds const& flow)
{
    flows_.erase(flow);
}

void Judge::targetEnded(std::uint32_t target)
{
    std::erase_if(flows_, [target](std::pair<FlowEnds const, OpenFlow> const& flow) { return flow.second.target == target; });
}

void Judge::packetArrived(FlowEnds const& flow, std::uint32_t target, TimePoint now)
{
    std::map<FlowEnds, OpenFlow>::iterator const found = flows_.find(flow);
    if (found == flows_.end())
        return;
    OpenFlow& open = found->second;
    if (open.target == target) {
        open.foreign = 0;
        return;
    }
    if (open.foreign++ == 0)
        open.firstForeign = now;
    bool const isLong = now - open.firstForeign > flowSlack && open.foreign >= foreignPackets;
    if (!isLong || open.reported || !areAllInTouch(now))
        return;
    open.reported = true;
    report("FLOW: " + std::to_string(open.foreign) + " packets of " + describe(flow) + " reached other targets and none its own");
}

void Judge::openingTaken(std::string const& target, TimePoint drainedAt, TimePoint now)
{
    if (drainedAt != TimePoint {} && now - drainedAt > drainBound && areAllInTouch(now))
        report("DRAIN: " + target + " took an opening packet after its draining was acknowledged");
}

void Judge::packetForged(std::string_view where)
{
    report("UNASKED: a packet that its sender did not write reached " + std::string(where));
}

void Judge::requestRan(std::string const& id, bool mayRepeat, std::string const& asked, std::string const& service)
{
    if (asked != service)
        report("ROUTE: request " + id + " for " + asked + " ran at " + service);
    if (!ran_.insert(id).second && !mayRepeat)
        report("TWICE: request " + id + " ran twice");
}

void Judge::resetArrived(FlowEnds const& flow, std::uint32_t sender, TimePoint now)
{
    std::map<FlowEnds, OpenFlow>::const_iterator const found = flows_.find(flow);
    if (found == flows_.end() || !isInTouch(sender, now) || !isInTouch(found->second.target, now))
        return;
    report("FLOW: " + formatAddress(sender) + " reset " + describe(flow) + ", which is open at " + formatAddress(found->second.target));
}

void Judge::answerArrived(std::string const& expected, std::string const& got)
{
    if (expected != got)
        report("MIXED: a caller expected '" + expected + "' and got '" + got + "'");
}

} // namespace plantaindrift::standins
