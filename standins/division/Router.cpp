#include "division/Router.h"

#include "plantaindrift/base/Hash.h"

#include <asio/post.hpp>
#include <chrono>

namespace plantaindrift::standins {

namespace {

    constexpr std::chrono::milliseconds probeInterval { 500 };
    constexpr std::chrono::milliseconds probeTimeout { 400 };
    constexpr int missedProbes = 2;

    std::uint64_t hashEnds(FlowEnds const& flow)
    {
        std::uint64_t const caller = (std::uint64_t { flow.first.address } << 16U) | flow.first.port;
        std::uint64_t const service = (std::uint64_t { flow.second.address } << 16U) | flow.second.port;
        return mixHash(caller, service);
    }

} // namespace

Router::Router(asio::io_context& loop, std::vector<RoutedEntry> entries, Send send, std::uint64_t seed)
    : loop_(loop)
    , entries_(std::move(entries))
    , send_(std::move(send))
    , random_(seed)
{
    for (std::size_t index = 0; index < entries_.size(); ++index)
        probes_.emplace_back([this, index] { probe(index); });
}

Router::~Router()
{
    stopping_ = true;
    for (std::thread& thread : probes_)
        thread.join();
}

void Router::probe(std::size_t index)
{
    HttpClient client;
    int missed = 0;
    while (!stopping_) {
        absl::StatusOr<HttpResult> const result = client.send("GET", "http://" + formatEndpoint(entries_[index].ready) + "/readyz", "", probeTimeout);
        missed = result.ok() && result->status == 200 ? 0 : missed + 1;
        asio::post(loop_, [this, index, missed] {
            if (missed == 0)
                ready_.insert(index);
            else if (missed >= missedProbes)
                ready_.erase(index);
        });
        std::this_thread::sleep_for(probeInterval);
    }
}

void Router::cut(std::uint32_t entry, bool isCut)
{
    if (isCut)
        cut_.insert(entry);
    else
        cut_.erase(entry);
}

// Rendezvous hashing: only the flows of an entry that leaves or joins move. Without a ready entry, all are used.
std::uint32_t Router::forward(FlowEnds const& flow, std::span<std::byte const> datagram)
{
    if (entries_.empty() || std::uniform_real_distribution<double>(0, 1)(random_) < loss_)
        return 0;
    std::uint64_t const hash = hashEnds(flow);
    std::size_t best = entries_.size();
    std::uint64_t highest = 0;
    for (std::size_t index = 0; index < entries_.size(); ++index) {
        bool const isUsed = ready_.empty() || ready_.contains(index);
        std::uint64_t const score = mixHash(hash, entries_[index].data.address);
        if (isUsed && (best == entries_.size() || score > highest)) {
            best = index;
            highest = score;
        }
    }
    if (best == entries_.size() || cut_.contains(entries_[best].data.address))
        return 0;
    send_(entries_[best].data, datagram);
    return entries_[best].data.address;
}

} // namespace plantaindrift::standins
