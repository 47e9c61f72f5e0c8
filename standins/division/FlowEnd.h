#pragma once

#include "division/Packet.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace plantaindrift::standins {

/// \brief How far one end of a flow is.
enum class FlowState : std::uint8_t {
    Opening,
    Open,
    Unanswered, ///< no answer to any copy of the opening packet; nothing ran
    Refused, ///< reset before the flow was open; nothing ran
    Reset, ///< reset while it was open
    GaveUp, ///< retransmitted in vain
    Closed ///< both ends finished
};

/// \brief One end of a flow: opening copies, ordered bytes, a window, retransmission and the end.
class FlowEnd {
public:
    using Output = std::function<void(Packet const&)>;

    FlowEnd(Endpoint local, Endpoint remote, std::uint32_t firstSequence, Output output);

    /// \brief Caller: sends the opening packet, and its copies at later ticks.
    void open(TimePoint now);

    /// \brief Target: answers an opening packet.
    void answer(Packet const& opening);

    /// \brief Target: true if a packet acknowledges this end's answer.
    [[nodiscard]] bool isAcknowledgedBy(Packet const& packet) const noexcept;

    /// \brief Queues bytes; they are sent once the flow is open.
    void write(std::string_view bytes, TimePoint now);

    /// \brief Closes this end after everything written.
    void finish(TimePoint now);

    void receive(Packet const& packet, TimePoint now);
    void tick(TimePoint now);

    [[nodiscard]] FlowState state() const noexcept { return state_; }
    [[nodiscard]] bool isOver() const noexcept { return state_ != FlowState::Opening && state_ != FlowState::Open; }
    [[nodiscard]] std::string& input() noexcept { return input_; }
    [[nodiscard]] bool isPeerFinished() const noexcept { return peerFinished_; }

private:
    struct Sent {
        std::uint32_t sequence { 0 };
        std::string data;
        bool closing { false };
        TimePoint last;
        Duration timeout { 0 };
        int tries { 0 };

        [[nodiscard]] std::uint32_t end() const noexcept { return sequence + static_cast<std::uint32_t>(data.size()) + (closing ? 1 : 0); }
    };

    Endpoint local_;
    Endpoint remote_;
    Output output_;
    FlowState state_ { FlowState::Opening };
    bool isCaller_ { false };
    std::uint32_t firstSequence_;
    std::uint32_t nextSequence_;
    std::uint32_t expected_ { 0 }; ///< next number of the peer
    std::uint32_t copies_ { 0 };
    TimePoint opened_;
    std::deque<Sent> queue_;
    std::map<std::uint32_t, Packet> early_;
    std::string input_;
    bool finishQueued_ { false };
    bool peerFinished_ { false };

    void sendOpening();
    void send(std::uint8_t flags, std::uint32_t sequence, std::string data);
    void transmit(TimePoint now);
    void transmitOne(Sent& sent, TimePoint now);
    void takeAcknowledgement(std::uint32_t number);
    void takeData(Packet const& packet);
    void closeIfDone();
};

} // namespace plantaindrift::standins
