#include "membership/CatchUp.h"

#include "configuration/ProtobufConversion.h"

#include <algorithm>

namespace plantaindrift {

void CatchUp::start(TimePoint now)
{
    active_ = true;
    assembled_ = false;
    started_ = now;
    lastProgress_ = now;
    shards_ = {};
    busy_.clear();
    partial_.clear();
    hasFullPeer_ = false;
}

std::vector<std::pair<Endpoint, control::ShardRequest>> CatchUp::tick(TimePoint now, std::span<Endpoint const> peers, RandomSource& random)
{
    std::vector<std::pair<Endpoint, control::ShardRequest>> requests;
    if (isHopeless(now, peers))
        active_ = false;
    if (!active_)
        return requests;
    std::vector<std::uint32_t> open = openShards(now);
    for (Endpoint const peer : idlePeers(now, peers, random)) {
        if (open.empty() || requests.size() >= maximumRequests)
            break;
        control::ShardRequest request;
        request.set_everything(true);
        request.set_services(true);
        std::size_t const share = std::min(shardsPerRequest, (open.size() + peers.size() - 1) / peers.size());
        for (std::size_t count = 0; count < std::max<std::size_t>(share, 1) && !open.empty(); ++count) {
            std::swap(open[random.below(open.size())], open.back());
            request.add_shards(open.back());
            shards_[open.back()].askedAt = now;
            open.pop_back();
        }
        busy_[peer] = now + answerTime;
        requests.emplace_back(peer, std::move(request));
    }
    return requests;
}

bool CatchUp::areAllPartial(std::span<Endpoint const> peers) const
{
    return std::all_of(peers.begin(), peers.end(), [this](Endpoint peer) { return partial_.contains(peer); });
}

bool CatchUp::expectsFullState(TimePoint now, std::span<Endpoint const> peers) const
{
    if (!active_ || complete_)
        return false;
    return hasFullPeer_ || (now - started_ < silencePatience && !areAllPartial(peers));
}

bool CatchUp::isHopeless(TimePoint now, std::span<Endpoint const> peers) const
{
    bool const cold = areAllPartial(peers);
    return now - lastProgress_ >= patience || peers.empty() || (cold && now - started_ >= coldPatience);
}

std::vector<std::uint32_t> CatchUp::openShards(TimePoint now) const
{
    std::vector<std::uint32_t> open;
    for (std::uint32_t shard = 0; shard < shardCount; ++shard) {
        bool const waiting = shards_[shard].askedAt && now - *shards_[shard].askedAt < answerTime;
        if (!shards_[shard].done && !waiting)
            open.push_back(shard);
    }
    return open;
}

std::vector<Endpoint> CatchUp::idlePeers(TimePoint now, std::span<Endpoint const> peers, RandomSource& random)
{
    std::erase_if(busy_, [now](std::pair<Endpoint const, TimePoint> const& peer) { return peer.second <= now; });
    std::vector<Endpoint> idle;
    for (Endpoint const peer : peers) {
        if (!busy_.contains(peer))
            idle.push_back(peer);
    }
    for (std::size_t left = idle.size(); left > 1; --left)
        std::swap(idle[random.below(left)], idle[left - 1]);
    return idle;
}

void CatchUp::take(Endpoint from, control::ShardReply const& reply, TimePoint now)
{
    if (!active_ || !reply.with_services())
        return;
    // A peer that catches up itself is left alone for one answer time more.
    if (reply.partial()) {
        busy_[from] = now + answerTime;
        partial_.insert(from);
    } else {
        busy_.erase(from);
        partial_.erase(from);
        hasFullPeer_ = true;
    }
    std::array<std::vector<Service>, shardCount> services;
    for (control::Service const& message : reply.services()) {
        std::optional<Service> service = fromProtobuf(message);
        if (service)
            services[shardOf(service->name)].push_back(std::move(*service));
    }
    for (std::uint32_t const index : reply.shards()) {
        if (index >= shardCount || reply.partial())
            continue;
        Shard& shard = shards_[index];
        if (shard.position && *shard.position >= reply.position() && shard.done)
            continue;
        shard.done = true;
        shard.position = reply.services_left_out() ? std::nullopt : std::optional<std::uint64_t>(reply.position());
        shard.services = std::move(services[index]);
        lastProgress_ = now;
    }
    finishIfDone();
}

void CatchUp::finishIfDone()
{
    bool const isDone = std::all_of(shards_.begin(), shards_.end(), [](Shard const& shard) { return shard.done; });
    if (!isDone)
        return;
    active_ = false;
    complete_ = true;
    assembled_ = std::all_of(shards_.begin(), shards_.end(), [this](Shard const& shard) { return shard.position && shard.position == shards_.front().position; });
}

bool CatchUp::awaitsConfiguration(TimePoint now) const noexcept
{
    return active_ && now - lastProgress_ < answerTime && now - started_ < coldPatience;
}

std::optional<Snapshot> CatchUp::takeConfiguration()
{
    if (!assembled_)
        return std::nullopt;
    assembled_ = false;
    Snapshot result;
    result.position = shards_.front().position.value_or(0);
    for (Shard& shard : shards_) {
        for (Service& service : shard.services)
            result.configuration.services.push_back(std::move(service));
        shard.services.clear();
    }
    std::sort(result.configuration.services.begin(), result.configuration.services.end(), [](Service const& left, Service const& right) { return left.name < right.name; });
    return result;
}

} // namespace plantaindrift
