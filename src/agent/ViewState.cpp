#include "agent/ViewState.h"

#include "agent/FlowBucket.h"
#include "plantaindrift/base/Hash.h"

#include <algorithm>
#include <utility>

namespace plantaindrift {

namespace {

    ViewTarget const* findTarget(std::span<ViewTarget const> targets, std::string_view name) noexcept
    {
        auto const place = std::lower_bound(targets.begin(), targets.end(), name, [](ViewTarget const& target, std::string_view text) { return target.name < text; });
        return place != targets.end() && place->name == name ? &*place : nullptr;
    }

} // namespace

ViewState::ViewState(std::string name, Endpoint self, TimePoint now)
    : name_(std::move(name))
    , self_(self)
    , settledAt_(now + settleWindow)
    , memorySince_(now)
    , lastTick_(now)
{
}

ViewTarget const* ViewState::find(std::string_view name) const noexcept
{
    return findTarget(view_.targets, name);
}

ViewTarget const* ViewState::self() const noexcept
{
    return find(name_);
}

// Added and removed targets keep the order of the others. A changed weight does not. A target that returns from
// death was left out by entries that believed it dead, while it may have kept flows.
bool ViewState::mayReorder(ServiceView const& next) const noexcept
{
    for (ViewTarget const& before : view_.targets) {
        ViewTarget const* const after = findTarget(next.targets, before.name);
        if (after != nullptr && (after->weight != before.weight || (before.dead && !after->dead)))
            return true;
    }
    return false;
}

std::vector<Endpoint> ViewState::setView(ServiceView const& view, TimePoint now)
{
    if (view.fingerprint != view_.fingerprint)
        settledAt_ = std::max(settledAt_, now + (mayReorder(view) ? memoryWindow : settleWindow));
    std::vector<Endpoint> gone;
    std::erase_if(departed_, [now](Departed const& target) { return now - target.since >= memoryWindow; });
    for (ViewTarget const& before : view_.targets) {
        ViewTarget const* const after = findTarget(view.targets, before.name);
        bool const live = after != nullptr && !after->dead && after->data == before.data;
        if (!before.dead && !live && before.data != self_) {
            gone.push_back(before.data);
            departed_.push_back({ hashText(before.name), before.weight, now });
        }
    }
    std::vector<TimePoint> joined;
    for (ViewTarget const& target : view.targets)
        joined.push_back(joinTime(target.name, now));
    joined_ = std::move(joined);
    view_ = view;
    nameHashes_.clear();
    for (ViewTarget const& target : view_.targets)
        nameHashes_.push_back(hashText(target.name));
    ViewTarget const* const own = self();
    bool const listed = own != nullptr && !own->dead;
    // While this agent was left out, first packets went to others.
    if (wasListed_ && !listed)
        memorySince_ = now;
    if (!wasListed_ && listed)
        memorySince_ = std::max(memorySince_, now);
    wasListed_ = listed;
    return gone;
}

// Targets of the first view may have been there for long.
TimePoint ViewState::joinTime(std::string_view name, TimePoint now) const noexcept
{
    if (view_.targets.empty())
        return TimePoint {};
    ViewTarget const* const before = find(name);
    return before == nullptr ? now : joined_[static_cast<std::size_t>(before - view_.targets.data())];
}

void ViewState::renewLease(TimePoint now) noexcept
{
    if (lastReply_.has_value() && now - *lastReply_ > longestReplyGap)
        memorySince_ = now;
    lastReply_ = now;
}

void ViewState::tick(TimePoint now) noexcept
{
    paused_ = now - lastTick_ > longestTickGap;
    lastTick_ = now;
}

bool ViewState::isPaused(TimePoint now) const noexcept
{
    return paused_ || now - lastTick_ > longestTickGap;
}

bool ViewState::isOrderAgreed(std::uint32_t fingerprint, TimePoint now) const noexcept
{
    bool const leased = lastReply_.has_value() && now - *lastReply_ < lease;
    return leased && fingerprint == view_.fingerprint && now >= settledAt_;
}

bool ViewState::isSettled(std::uint32_t fingerprint, TimePoint now) const noexcept
{
    return isOrderAgreed(fingerprint, now) && now - memorySince_ >= memoryWindow;
}

ViewTarget const* ViewState::findEndpoint(Endpoint endpoint) const noexcept
{
    for (ViewTarget const& target : view_.targets) {
        if (target.data == endpoint)
            return &target;
    }
    return nullptr;
}

bool ViewState::isLive(Endpoint endpoint) const noexcept
{
    ViewTarget const* const target = findEndpoint(endpoint);
    return target != nullptr && !target->dead;
}

bool ViewState::isDraining(Endpoint endpoint) const noexcept
{
    ViewTarget const* const target = findEndpoint(endpoint);
    return target != nullptr && target->draining;
}

bool ViewState::isAfterDeparted(FlowHash flow, TimePoint now) const noexcept
{
    ViewTarget const* const own = self();
    if (departed_.empty() || own == nullptr)
        return false;
    std::uint64_t const bucket = flowBucket(flow);
    double const ownScore = rendezvousScore(nameHashes_[static_cast<std::size_t>(own - view_.targets.data())], bucket, own->weight);
    return std::any_of(departed_.begin(), departed_.end(), [&](Departed const& target) {
        return now - target.since < memoryWindow && rendezvousScore(target.nameHash, bucket, target.weight) > ownScore;
    });
}

bool ViewState::isNewcomer(Endpoint endpoint, TimePoint now) const noexcept
{
    ViewTarget const* const target = findEndpoint(endpoint);
    if (target == nullptr)
        return false;
    TimePoint const joined = joined_[static_cast<std::size_t>(target - view_.targets.data())];
    return joined != TimePoint {} && now - joined < memoryWindow;
}

} // namespace plantaindrift
