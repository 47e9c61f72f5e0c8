#include "division/FlowEnd.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace plantaindrift::standins {

namespace {

    // The platform's page on flows has these figures.
    constexpr std::array<std::chrono::milliseconds, 3> copyTimes { std::chrono::milliseconds { 0 }, std::chrono::milliseconds { 200 }, std::chrono::milliseconds { 600 } };
    constexpr std::chrono::milliseconds openingTime { 1400 };
    constexpr std::chrono::milliseconds firstTimeout { 200 };
    constexpr std::chrono::milliseconds longestTimeout { 1600 };
    constexpr std::size_t windowPackets = 16;
    constexpr int mostTries = 9;

    bool isBefore(std::uint32_t left, std::uint32_t right) noexcept
    {
        return static_cast<std::int32_t>(left - right) < 0;
    }

} // namespace

FlowEnd::FlowEnd(Endpoint local, Endpoint remote, std::uint32_t firstSequence, Output output)
    : local_(local)
    , remote_(remote)
    , output_(std::move(output))
    , firstSequence_(firstSequence)
    , nextSequence_(firstSequence + 1)
{
}

void FlowEnd::open(TimePoint now)
{
    isCaller_ = true;
    opened_ = now;
    sendOpening();
}

void FlowEnd::sendOpening()
{
    Packet packet { local_, remote_, firstSequence_, copies_, 0, Packet::opening, 0, {} };
    ++copies_;
    output_(packet);
}

void FlowEnd::answer(Packet const& opening)
{
    expected_ = opening.sequence + 1;
    send(Packet::opening | Packet::acknowledges, firstSequence_, {});
}

bool FlowEnd::isAcknowledgedBy(Packet const& packet) const noexcept
{
    return packet.has(Packet::acknowledges) && packet.acknowledgement == firstSequence_ + 1;
}

void FlowEnd::write(std::string_view bytes, TimePoint now)
{
    while (!bytes.empty()) {
        std::string_view const part = bytes.substr(0, Packet::mostData);
        queue_.push_back({ nextSequence_, std::string(part), false, {}, {}, 0 });
        nextSequence_ += static_cast<std::uint32_t>(part.size());
        bytes.remove_prefix(part.size());
    }
    transmit(now);
}

void FlowEnd::finish(TimePoint now)
{
    if (finishQueued_)
        return;
    finishQueued_ = true;
    queue_.push_back({ nextSequence_++, {}, true, {}, {}, 0 });
    transmit(now);
}

void FlowEnd::receive(Packet const& packet, TimePoint now)
{
    if (packet.has(Packet::reset)) {
        state_ = state_ == FlowState::Opening ? FlowState::Refused : FlowState::Reset;
        return;
    }
    if (packet.has(Packet::opening)) {
        bool const isAnswer = isCaller_ && state_ == FlowState::Opening;
        if (!isAnswer)
            return;
        expected_ = packet.sequence + 1;
        state_ = FlowState::Open;
        send(Packet::acknowledges, nextSequence_, {});
        transmit(now);
        return;
    }
    state_ = state_ == FlowState::Opening ? FlowState::Open : state_;
    takeAcknowledgement(packet.acknowledgement);
    bool const isToAcknowledge = !packet.data.empty() || packet.has(Packet::closing);
    if (isToAcknowledge) {
        takeData(packet);
        send(Packet::acknowledges, nextSequence_, {});
    }
    transmit(now);
    closeIfDone();
}

void FlowEnd::takeAcknowledgement(std::uint32_t number)
{
    while (!queue_.empty() && queue_.front().tries > 0 && !isBefore(number, queue_.front().end()))
        queue_.pop_front();
}

void FlowEnd::takeData(Packet const& packet)
{
    if (!isBefore(packet.sequence, expected_) && early_.size() < 2 * windowPackets)
        early_.emplace(packet.sequence, packet);
    for (std::map<std::uint32_t, Packet>::iterator next = early_.find(expected_); next != early_.end(); next = early_.find(expected_)) {
        input_ += next->second.data;
        expected_ += static_cast<std::uint32_t>(next->second.data.size());
        if (next->second.has(Packet::closing)) {
            peerFinished_ = true;
            ++expected_;
        }
        early_.erase(next);
    }
}

void FlowEnd::closeIfDone()
{
    if (state_ == FlowState::Open && finishQueued_ && peerFinished_ && queue_.empty())
        state_ = FlowState::Closed;
}

void FlowEnd::tick(TimePoint now)
{
    if (isCaller_ && state_ == FlowState::Opening) {
        if (copies_ < copyTimes.size() && now - opened_ >= copyTimes[copies_])
            sendOpening();
        if (now - opened_ >= openingTime)
            state_ = FlowState::Unanswered;
        return;
    }
    if (state_ != FlowState::Open || queue_.empty())
        return;
    Sent& oldest = queue_.front();
    if (oldest.tries == 0 || now - oldest.last < oldest.timeout)
        return;
    if (oldest.tries >= mostTries) {
        state_ = FlowState::GaveUp;
        return;
    }
    transmitOne(oldest, now);
}

void FlowEnd::transmit(TimePoint now)
{
    if (state_ != FlowState::Open)
        return;
    for (std::size_t index = 0; index < std::min(queue_.size(), windowPackets); ++index) {
        if (queue_[index].tries == 0)
            transmitOne(queue_[index], now);
    }
}

void FlowEnd::transmitOne(Sent& sent, TimePoint now)
{
    sent.timeout = sent.tries == 0 ? Duration(firstTimeout) : std::min<Duration>(sent.timeout * 2, longestTimeout);
    sent.last = now;
    ++sent.tries;
    std::uint8_t const flags = Packet::acknowledges | (sent.closing ? Packet::closing : 0);
    send(flags, sent.sequence, sent.data);
}

void FlowEnd::send(std::uint8_t flags, std::uint32_t sequence, std::string data)
{
    output_({ local_, remote_, sequence, expected_, 0, flags, 0, std::move(data) });
}

} // namespace plantaindrift::standins
