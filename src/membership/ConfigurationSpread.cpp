#include "membership/ConfigurationSpread.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace plantaindrift {

namespace {

    constexpr std::size_t maximumKnownPeers = 16;

    // A peer that does not answer is forgotten until it is heard again.
    constexpr int requestsPerPeer = 3;

} // namespace

std::vector<ConfigurationChange> ConfigurationSpread::take(ConfigurationChange const& change)
{
    if (change.position <= log_.position())
        return {};
    pending_.emplace(change.position, change);
    std::vector<ConfigurationChange> applied = applyPending();
    while (pending_.size() > maximumPending)
        pending_.erase(std::prev(pending_.end()));
    return applied;
}

std::vector<ConfigurationChange> ConfigurationSpread::applyPending()
{
    std::vector<ConfigurationChange> applied;
    pending_.erase(pending_.begin(), pending_.upper_bound(log_.position()));
    while (!pending_.empty() && pending_.begin()->first == log_.position() + 1) {
        absl::StatusOr<bool> const result = log_.apply(pending_.begin()->second);
        if (!result.ok())
            break;
        applied.push_back(std::move(pending_.begin()->second));
        pending_.erase(pending_.begin());
    }
    if (!applied.empty())
        noteLog();
    return applied;
}

bool ConfigurationSpread::takeSnapshot(std::uint64_t position, Configuration const& configuration)
{
    bool const taken = log_.applySnapshot(position, configuration);
    if (taken)
        noteLog();
    applyPending();
    return taken;
}

void ConfigurationSpread::noteLog()
{
    ++version_;
    if (usesCopies() || copies_.empty())
        return;
    copies_.clear();
    copiesPosition_ = 0;
    fromCopies_ = ChangeLog {};
}

bool ConfigurationSpread::wantsCopy(std::uint64_t position, std::string_view service) const
{
    if (position == 0 || log_.position() > 0)
        return false;
    auto const known = copies_.find(service);
    return known == copies_.end() || known->second.position < position;
}

bool ConfigurationSpread::takeCopy(std::uint64_t position, Service const& service)
{
    if (!wantsCopy(position, service.name))
        return false;
    Copy& copy = copies_[service.name];
    copiesChanged_ = copiesChanged_ || copy.service != service;
    copy = { position, service };
    copiesPosition_ = std::max(copiesPosition_, position);
    return true;
}

void ConfigurationSpread::refreshCopies()
{
    if (!std::exchange(copiesChanged_, false) || copies_.empty())
        return;
    Configuration configuration;
    for (auto const& [name, copy] : copies_)
        configuration.services.push_back(copy.service);
    fromCopies_ = ChangeLog {};
    fromCopies_.applySnapshot(copiesPosition_, configuration);
    ++version_;
}

void ConfigurationSpread::notePosition(std::uint64_t position, Endpoint peer)
{
    if (position <= log_.position()) {
        ahead_.erase(peer);
        return;
    }
    if (ahead_.size() < maximumKnownPeers || ahead_.contains(peer))
        ahead_[peer] = { position, 0 };
}

std::optional<Endpoint> ConfigurationSpread::dueRequest(TimePoint now, RandomSource& random)
{
    std::erase_if(ahead_, [this](std::pair<Endpoint const, Peer> const& peer) { return peer.second.position <= log_.position() || peer.second.asked >= requestsPerPeer; });
    bool const waiting = lastRequest_ && now - *lastRequest_ < retryPeriod;
    if (ahead_.empty() || waiting)
        return std::nullopt;
    auto next = std::next(ahead_.begin(), static_cast<std::ptrdiff_t>(random.below(ahead_.size())));
    if (next->first == asked_ && ++next == ahead_.end())
        next = ahead_.begin();
    asked_ = next->first;
    ++next->second.asked;
    lastRequest_ = now;
    return asked_;
}

bool ConfigurationSpread::startRequest(Endpoint peer, TimePoint now) noexcept
{
    bool const waiting = lastRequest_ && now - *lastRequest_ < retryPeriod;
    if (waiting && peer != asked_)
        return false;
    asked_ = peer;
    lastRequest_ = now;
    return true;
}

} // namespace plantaindrift
