#include "division/Judge.h"

#include "plantaindrift/runtime/Log.h"

#include <algorithm>

namespace plantaindrift::standins {

namespace {

    // Figures of the platform's pages.
    constexpr std::chrono::seconds drainBound { 3 };
    constexpr std::chrono::seconds flowSlack { 2 };
    constexpr std::chrono::seconds evacuationBound { 5 };
    constexpr std::uint32_t foreignPackets = 3;

    constexpr std::size_t mostViolations = 100;

    std::string describe(FlowEnds const& flow)
    {
        return formatEndpoint(flow.first) + " to " + formatEndpoint(flow.second);
    }

    std::string describe(std::set<std::uint32_t> const& addresses)
    {
        std::string text;
        for (std::uint32_t const address : addresses)
            text += (text.empty() ? "" : ", ") + formatAddress(address);
        return text;
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

// The processes whose state decides where the flow's packets go; others may be disturbed.
bool Judge::areInTouch(OpenFlow const& flow, TimePoint now) const
{
    return isInTouch(flow.target, now) && std::all_of(flow.entries.begin(), flow.entries.end(), [&](std::uint32_t entry) { return isInTouch(entry, now); });
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
    flows_[flow] = { service, target, 0, {}, {}, {}, false };
}

void Judge::flowEnded(FlowEnds const& flow)
{
    flows_.erase(flow);
}

void Judge::targetEnded(std::uint32_t target)
{
    std::erase_if(flows_, [target](std::pair<FlowEnds const, OpenFlow> const& flow) { return flow.second.target == target; });
}

void Judge::packetTaken(FlowEnds const& flow, std::uint32_t entry)
{
    std::map<FlowEnds, OpenFlow>::iterator const found = flows_.find(flow);
    if (found != flows_.end() && entry != 0)
        found->second.entries.insert(entry);
}

void Judge::packetArrived(FlowEnds const& flow, std::uint32_t target, TimePoint now)
{
    std::map<FlowEnds, OpenFlow>::iterator const found = flows_.find(flow);
    if (found == flows_.end())
        return;
    OpenFlow& open = found->second;
    if (open.target == target) {
        open.foreign = 0;
        open.others.clear();
        open.entries.clear();
        return;
    }
    if (open.foreign++ == 0)
        open.firstForeign = now;
    open.others.insert(target);
    bool const isLong = now - open.firstForeign > flowSlack && open.foreign >= foreignPackets;
    if (!isLong || open.reported || !areInTouch(open, now))
        return;
    open.reported = true;
    report("FLOW: " + std::to_string(open.foreign) + " packets of " + describe(flow) + " reached " + describe(open.others) + " and none " + formatAddress(open.target) + ", where it is open; taken by " + describe(open.entries));
}

void Judge::openingTaken(std::string const& target, TimePoint drainedAt, TimePoint now)
{
    if (drainedAt != TimePoint {} && now - drainedAt > drainBound && areAllInTouch(now))
        report("DRAIN: " + target + " took an opening packet after its draining was acknowledged");
}

// An agent in touch refuses whatever an entry sends, so that disturbed entries excuse nothing.
void Judge::openingReached(FlowEnds const& flow, std::string const& dataCentre, std::uint32_t target, TimePoint now)
{
    std::map<std::string, TimePoint>::const_iterator const evacuation = evacuated_.find(dataCentre);
    if (evacuation == evacuated_.end() || now - evacuation->second <= evacuationBound || !isInTouch(target, now))
        return;
    std::chrono::milliseconds const late = std::chrono::duration_cast<std::chrono::milliseconds>(now - evacuation->second);
    report("EVACUATED: the opening of " + describe(flow) + " reached " + formatAddress(target) + " in " + dataCentre + ", which was evacuated " + std::to_string(late.count()) + " ms before");
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
