#include "runtime/PacedSender.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace plantaindrift {

namespace {

    // A tenth of the shortest modelled queue that the entry aims at, so that the link does not run idle.
    constexpr std::chrono::milliseconds drainInterval { 2 };

} // namespace

PacedSender::PacedSender(asio::io_context& loop, Rules rules)
    : timer_(loop)
    , rules_(std::move(rules))
{
}

PacketVerdict PacedSender::pace(PacketVerdict const& verdict, TimePoint now)
{
    std::size_t const bytes = verdict.header.size() + verdict.payload.size();
    BulkAction const action = rules_.decide(bytes, now);
    if (action == BulkAction::Send)
        return verdict;
    if (action == BulkAction::Drop)
        return {};
    Waiting waiting { verdict.to, { verdict.header.begin(), verdict.header.end() }, now, verdict.flowHash };
    waiting.datagram.insert(waiting.datagram.end(), verdict.payload.begin(), verdict.payload.end());
    queue_.push_back(std::move(waiting));
    if (queue_.size() == 1)
        waitForTimer();
    return {};
}

bool PacedSender::holds(std::uint64_t flowHash) const noexcept
{
    return std::any_of(queue_.begin(), queue_.end(), [flowHash](Waiting const& waiting) { return waiting.flowHash == flowHash; });
}

void PacedSender::drain(TimePoint now)
{
    while (!queue_.empty()) {
        Waiting const& first = queue_.front();
        BulkAction const action = rules_.release(first.datagram.size(), now - first.queued, now);
        if (action == BulkAction::Queue)
            return;
        if (action == BulkAction::Send)
            rules_.send(first.to, first.datagram);
        queue_.pop_front();
    }
}

void PacedSender::flush()
{
    timer_.cancel();
    for (Waiting const& waiting : std::exchange(queue_, {}))
        rules_.send(waiting.to, waiting.datagram);
}

void PacedSender::waitForTimer()
{
    timer_.expires_after(drainInterval);
    timer_.async_wait([this](asio::error_code const& error) {
        if (error)
            return;
        drain(std::chrono::steady_clock::now());
        if (!queue_.empty())
            waitForTimer();
    });
}

} // namespace plantaindrift
