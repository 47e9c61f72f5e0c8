#pragma once

#include "balancing/BulkPacer.h"
#include "balancing/EntryAdmission.h"
#include "balancing/LinkBudget.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

/// \brief Simulates one entry behind a link of limited rate in both directions, with callers that retransmit.
///
/// Answers go from the target to the caller and pass neither the entry nor its link. Links have buffers without a limit.
namespace link_scene {

using namespace plantaindrift;
using namespace std::chrono_literals;

inline Endpoint const smallAddress { 0xC6120001U, 443 };
inline Endpoint const bulkAddress { 0xC6120002U, 443 };

/// \brief One request of a caller, on a flow of its own.
struct Transfer {
    Endpoint address;
    TimePoint started;
    std::size_t segments { 1 };
    std::size_t segmentBytes { 0 };
    std::vector<bool> delivered;
    std::size_t sent { 0 };
    std::size_t acknowledged { 0 };
    std::size_t attempt { 0 };
    bool isOpen { false };
    bool isRefused { false };
    bool isGivenUp { false };
    TimePoint finished;

    [[nodiscard]] bool isDone() const { return acknowledged == segments; }
};

struct LinkSceneOptions {
    double linkMbps { 10 };
    double inboundMbps { 0 }; ///< of the direction towards the entry; 0 if it is the same
    std::size_t furtherAttempts { 0 }; ///< attempts of a refused caller that reach the same entry, as if all were as busy
    bool hasAdmission { true };
    bool hasPacing { true };
};

class LinkScene {
public:
    explicit LinkScene(LinkSceneOptions const& options)
        : options_(options)
        , budget_(options.linkMbps)
    {
        scheduleTick();
    }

    /// \brief Starts transfers at a constant rate for a time.
    void offer(Endpoint address, double perSecond, Duration from, Duration to, std::size_t segments, std::size_t segmentBytes)
    {
        Duration const interval = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / perSecond));
        for (Duration at = from; at < to; at += interval)
            after(at, [this, address, segments, segmentBytes] { start(address, segments, segmentBytes); });
    }

    void runFor(Duration time)
    {
        TimePoint const end = now_ + time;
        while (!events_.empty() && events_.top().when <= end) {
            Event const event = events_.top();
            events_.pop();
            now_ = event.when;
            event.action();
        }
        now_ = end;
    }

    [[nodiscard]] BulkCounts const& bulkCounts() const { return pacer_.counts(); }

    /// \brief Longest time that a small segment waited where the link leaves the entry.
    [[nodiscard]] Duration longestSmallWait() const { return longestSmallWait_; }

    /// \brief Data bytes of an address that reached targets for the first time between two times since the start.
    [[nodiscard]] double deliveredMbps(Endpoint address, Duration from, Duration to) const
    {
        double bytes = 0;
        for (Delivery const& delivery : deliveries_) {
            bool const isCounted = delivery.address == address && delivery.when - start_ >= from && delivery.when - start_ < to;
            bytes += isCounted ? static_cast<double>(delivery.bytes) : 0;
        }
        return bytes * 8 / 1e6 / std::chrono::duration<double>(to - from).count();
    }

    /// \brief Share of the transfers of an address, started between two times, that finished within a time.
    [[nodiscard]] double shareInTime(Endpoint address, Duration from, Duration to, Duration limit) const
    {
        std::size_t all = 0;
        std::size_t inTime = 0;
        for (Transfer const& transfer : transfers_) {
            Duration const at = transfer.started - start_;
            if (transfer.address != address || at < from || at >= to)
                continue;
            ++all;
            inTime += transfer.isDone() && transfer.finished - transfer.started <= limit ? 1 : 0;
        }
        return all > 0 ? static_cast<double>(inTime) / static_cast<double>(all) : 1;
    }

    [[nodiscard]] std::size_t refusedCount(Endpoint address) const
    {
        return static_cast<std::size_t>(std::count_if(transfers_.begin(), transfers_.end(), [address](Transfer const& transfer) { return transfer.address == address && transfer.isRefused; }));
    }

private:
    static constexpr std::size_t segmentHeaderBytes = 31;
    static constexpr std::size_t relayHeaderBytes = 50;
    static constexpr std::size_t window = 16;
    static constexpr std::chrono::milliseconds networkDelay { 1 };
    static constexpr std::chrono::milliseconds firstRetransmission { 200 };
    static constexpr std::chrono::milliseconds lastRetransmission { 1600 };

    struct Event {
        TimePoint when;
        std::uint64_t order { 0 };
        std::function<void()> action;
        bool operator<(Event const& other) const { return std::tie(when, order) > std::tie(other.when, other.order); }
    };

    struct Delivery {
        Endpoint address;
        TimePoint when;
        std::size_t bytes { 0 };
    };

    /// First in, first out.
    struct Link {
        TimePoint freeAt;
    };

    struct Paced {
        std::size_t bytes { 0 };
        TimePoint queued;
        std::function<void()> arrive;
    };

    LinkSceneOptions options_;
    LinkBudget budget_;
    EntryAdmission admission_;
    BulkPacer pacer_;
    TimePoint start_ { 1000s };
    TimePoint now_ { start_ };
    std::uint64_t order_ { 0 };
    std::priority_queue<Event> events_;
    std::deque<Transfer> transfers_;
    std::vector<Delivery> deliveries_;
    Link inbound_;
    Link outbound_;
    std::deque<Paced> paced_;
    Duration longestSmallWait_ {};

    void after(Duration wait, std::function<void()> action) { events_.push({ now_ + wait, ++order_, std::move(action) }); }

    void scheduleTick()
    {
        after(100ms, [this] {
            budget_.tick(now_);
            admission_.tick({ budget_.bytesPerSecond(), budget_.offeredBytesPerSecond(), budget_.utilisation(), 0 }, now_);
            scheduleTick();
        });
    }

    void transmit(Link& link, std::size_t payload, std::function<void()> arrive)
    {
        bool const isFasterLink = &link == &inbound_ && options_.inboundMbps > 0;
        Duration const time = budget_.timeOnLink(payload);
        link.freeAt = std::max(link.freeAt, now_) + (isFasterLink ? std::chrono::duration_cast<Duration>(time * (options_.linkMbps / options_.inboundMbps)) : time);
        after(link.freeAt - now_ + networkDelay, std::move(arrive));
    }

    // ---- caller ----

    void start(Endpoint address, std::size_t segments, std::size_t segmentBytes, std::size_t attempt = 0)
    {
        Transfer& transfer = transfers_.emplace_back();
        transfer.address = address;
        transfer.started = now_;
        transfer.segments = segments;
        transfer.segmentBytes = segmentBytes;
        transfer.attempt = attempt;
        transfer.delivered.resize(segments);
        sendOpening(transfer, 0);
    }

    void sendOpening(Transfer& transfer, std::uint32_t copy)
    {
        if (transfer.isOpen || transfer.isRefused)
            return;
        if (copy == 3) {
            transfer.isGivenUp = true;
            return;
        }
        transmit(inbound_, segmentHeaderBytes, [this, &transfer, copy] { processOpening(transfer, copy); });
        constexpr std::array<std::chrono::milliseconds, 3> waits { 200ms, 400ms, 800ms };
        after(waits[copy], [this, &transfer, copy] { sendOpening(transfer, copy + 1); });
    }

    void fillWindow(Transfer& transfer)
    {
        while (transfer.sent < transfer.segments && transfer.sent - transfer.acknowledged < window)
            sendSegment(transfer, transfer.sent++, firstRetransmission);
    }

    void sendSegment(Transfer& transfer, std::size_t index, std::chrono::milliseconds retransmission)
    {
        if (transfer.delivered[index])
            return;
        transmit(inbound_, segmentHeaderBytes + transfer.segmentBytes, [this, &transfer, index] { processSegment(transfer, index); });
        after(retransmission, [this, &transfer, index, retransmission] { sendSegment(transfer, index, std::min(2 * retransmission, lastRetransmission)); });
    }

    // ---- entry ----

    void processOpening(Transfer& transfer, std::uint32_t copy)
    {
        budget_.recordReceived(segmentHeaderBytes);
        bool const isRefused = copy == 0 && options_.hasAdmission && admission_.decide(transfer.address) != EntryRefusal::None;
        if (isRefused) {
            sendSmall(segmentHeaderBytes, [this, &transfer] {
                transfer.isRefused = true;
                if (transfer.attempt < options_.furtherAttempts)
                    after(50ms, [this, &transfer] { start(transfer.address, transfer.segments, transfer.segmentBytes, transfer.attempt + 1); });
            });
            return;
        }
        forward(transfer, 0, [this, &transfer] {
            after(networkDelay, [this, &transfer] {
                if (std::exchange(transfer.isOpen, true) || transfer.isGivenUp)
                    return;
                fillWindow(transfer);
            });
        });
    }

    void processSegment(Transfer& transfer, std::size_t index)
    {
        budget_.recordReceived(segmentHeaderBytes + transfer.segmentBytes);
        forward(transfer, transfer.segmentBytes, [this, &transfer, index] { deliver(transfer, index); });
    }

    void forward(Transfer const& transfer, std::size_t dataBytes, std::function<void()> arrive)
    {
        std::size_t const payload = relayHeaderBytes + segmentHeaderBytes + dataBytes;
        admission_.recordSegment(transfer.address, dataBytes, payload + datagramHeaderBytes);
        if (dataBytes < minimumBulkSegmentBytes) {
            sendSmall(payload, std::move(arrive));
            return;
        }
        BulkAction const action = options_.hasPacing ? pacer_.decide(budget_.modelledQueue(now_), budget_.timeOnLink(payload)) : BulkAction::Send;
        if (action == BulkAction::Send)
            send(payload, std::move(arrive));
        else if (action == BulkAction::Queue)
            queueBulk(payload, std::move(arrive));
    }

    void sendSmall(std::size_t payload, std::function<void()> arrive)
    {
        longestSmallWait_ = std::max(longestSmallWait_, outbound_.freeAt - now_);
        send(payload, std::move(arrive));
    }

    void send(std::size_t payload, std::function<void()> arrive)
    {
        budget_.recordSent(payload, now_);
        transmit(outbound_, payload, std::move(arrive));
    }

    void queueBulk(std::size_t payload, std::function<void()> arrive)
    {
        paced_.push_back({ payload, now_, std::move(arrive) });
        if (paced_.size() == 1)
            after(2ms, [this] { drain(); });
    }

    void drain()
    {
        while (!paced_.empty()) {
            BulkAction const action = pacer_.release(budget_.modelledQueue(now_), budget_.timeOnLink(paced_.front().bytes), now_ - paced_.front().queued);
            if (action == BulkAction::Queue)
                break;
            Paced first = std::move(paced_.front());
            paced_.pop_front();
            if (action == BulkAction::Send)
                send(first.bytes, std::move(first.arrive));
        }
        if (!paced_.empty())
            after(2ms, [this] { drain(); });
    }

    // ---- target ----

    void deliver(Transfer& transfer, std::size_t index)
    {
        if (transfer.delivered[index])
            return;
        transfer.delivered[index] = true;
        deliveries_.push_back({ transfer.address, now_, transfer.segmentBytes });
        after(networkDelay, [this, &transfer] {
            ++transfer.acknowledged;
            if (transfer.isDone())
                transfer.finished = now_;
            else
                fillWindow(transfer);
        });
    }
};

} // namespace link_scene
