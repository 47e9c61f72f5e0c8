#pragma once

#include "plantaindrift/base/Types.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <tins/ip.h>
#include <tins/ip_address.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>
#include <tins/udp.h>
#include <vector>

namespace plantaindrift::standins {

using Bytes = std::vector<std::uint8_t>;

inline Tins::IPv4Address toTins(std::uint32_t address)
{
    return Tins::IPv4Address(formatAddress(address));
}

/// \brief How a connection ended.
enum class TcpEnd : std::uint8_t {
    Open, ///< has not ended
    Finished, ///< both sides sent FIN
    Refused, ///< reset in answer to the SYN: nothing ran
    Reset, ///< reset later
    TimedOut ///< the peer did not acknowledge
};

/// \brief The little of TCP that stand-ins need: handshake, ordered bytes, retransmission, FIN and RST.
///
/// Segments out of order are kept until the gap is filled, because a fabric that sprays packets reorders them. There is
/// no congestion control.
class MiniTcp {
public:
    using Output = std::function<void(Bytes const&)>;

    MiniTcp(Endpoint local, Endpoint remote, std::uint32_t initialSequence, Output output)
        : local_(local)
        , remote_(remote)
        , sendNext_(initialSequence)
        , output_(std::move(output))
    {
    }

    /// \brief Client: sends the SYN.
    void open(TimePoint now)
    {
        queue(Tins::TCP::SYN, "");
        transmit(now);
    }

    /// \brief Server: answers a SYN.
    void accept(Tins::TCP const& syn, TimePoint now)
    {
        receiveNext_ = syn.seq() + 1;
        synchronized_ = true;
        queue(Tins::TCP::SYN | Tins::TCP::ACK, "");
        transmit(now);
    }

    void write(std::string const& text, TimePoint now)
    {
        for (std::size_t offset = 0; offset < text.size(); offset += segmentBytes)
            queue(Tins::TCP::ACK | Tins::TCP::PSH, text.substr(offset, segmentBytes));
        transmit(now);
    }

    /// \brief Sends FIN after everything written.
    void close(TimePoint now)
    {
        if (finQueued_)
            return;
        finQueued_ = true;
        queue(Tins::TCP::ACK | Tins::TCP::FIN, "");
        transmit(now);
    }

    /// \brief Takes a segment; received text is appended to `input`.
    void receive(Tins::TCP const& segment, TimePoint now)
    {
        if (segment.get_flag(Tins::TCP::RST) != 0) {
            takeReset(segment);
            return;
        }
        if (segment.get_flag(Tins::TCP::ACK) != 0)
            takeAcknowledgement(segment.ack_seq());
        bool const syn = segment.get_flag(Tins::TCP::SYN) != 0;
        if (syn && !synchronized_) {
            receiveNext_ = segment.seq() + 1;
            synchronized_ = true;
        }
        std::size_t const length = takePayload(segment);
        if (syn || length > 0 || segment.get_flag(Tins::TCP::FIN) != 0)
            send(Tins::TCP::ACK, sendNext_, "");
        transmit(now);
    }

    /// \brief Sends again what was not acknowledged in time.
    void tick(TimePoint now)
    {
        if (end_ != TcpEnd::Open || segments_.empty() || segments_.front().tries == 0)
            return;
        Segment& first = segments_.front();
        if (now - first.lastSent < timeout(first.tries))
            return;
        if (first.tries >= maximumTries) {
            end_ = finReceived_ ? TcpEnd::Finished : TcpEnd::TimedOut;
            return;
        }
        transmitSegment(first, now);
        ++retransmissions_;
    }

    [[nodiscard]] std::string& input() noexcept { return input_; }
    [[nodiscard]] bool isEstablished() const noexcept { return synchronized_ && handshakeAcknowledged_; }
    [[nodiscard]] bool isPeerFinished() const noexcept { return finReceived_; }
    [[nodiscard]] std::uint64_t retransmissions() const noexcept { return retransmissions_; }
    [[nodiscard]] Endpoint local() const noexcept { return local_; }
    [[nodiscard]] Endpoint remote() const noexcept { return remote_; }

    [[nodiscard]] TcpEnd end() const noexcept
    {
        if (end_ == TcpEnd::Open && finQueued_ && finReceived_ && segments_.empty())
            return TcpEnd::Finished;
        return end_;
    }

    /// \brief A reset in answer to a segment that belongs to no connection.
    static Bytes makeReset(Endpoint local, Endpoint remote, Tins::TCP const& segment)
    {
        Tins::TCP tcp(remote.port, local.port);
        tcp.flags(Tins::TCP::RST | Tins::TCP::ACK);
        tcp.seq(segment.ack_seq());
        tcp.ack_seq(segment.seq() + 1);
        Tins::IP packet = Tins::IP(toTins(remote.address), toTins(local.address)) / tcp;
        return packet.serialize();
    }

private:
    struct Segment {
        std::uint32_t sequence { 0 };
        unsigned flags { 0 };
        std::string payload;
        TimePoint lastSent {};
        int tries { 0 };

        [[nodiscard]] std::uint32_t length() const noexcept
        {
            bool const control = (flags & (Tins::TCP::SYN | Tins::TCP::FIN)) != 0;
            return static_cast<std::uint32_t>(payload.size()) + (control ? 1U : 0U);
        }
    };

    // What came after a gap, by sequence number.
    struct EarlySegment {
        std::string payload;
        bool fin { false };
    };

    static constexpr std::size_t segmentBytes = 1200;
    static constexpr std::size_t windowSegments = 32;
    static constexpr int maximumTries = 16;
    static constexpr std::chrono::milliseconds firstTimeout { 250 };
    static constexpr std::chrono::milliseconds longestTimeout { 4000 };

    Endpoint local_;
    Endpoint remote_;
    std::uint32_t sendNext_;
    Output output_;
    std::uint32_t receiveNext_ { 0 };
    bool synchronized_ { false };
    bool handshakeAcknowledged_ { false };
    bool finQueued_ { false };
    bool finReceived_ { false };
    TcpEnd end_ { TcpEnd::Open };
    std::uint64_t retransmissions_ { 0 };
    std::deque<Segment> segments_;
    std::map<std::uint32_t, EarlySegment> early_;
    std::string input_;

    static Duration timeout(int tries)
    {
        return std::min<Duration>(firstTimeout * (1 << std::min(tries - 1, 8)), longestTimeout);
    }

    void queue(unsigned flags, std::string payload)
    {
        Segment segment;
        segment.sequence = sendNext_;
        segment.flags = flags;
        segment.payload = std::move(payload);
        sendNext_ += segment.length();
        segments_.push_back(std::move(segment));
    }

    void transmit(TimePoint now)
    {
        std::size_t const window = handshakeAcknowledged_ ? windowSegments : 1;
        for (std::size_t index = 0; index < std::min(window, segments_.size()); ++index) {
            if (segments_[index].tries == 0)
                transmitSegment(segments_[index], now);
        }
    }

    void transmitSegment(Segment& segment, TimePoint now)
    {
        segment.lastSent = now;
        ++segment.tries;
        send(segment.flags, segment.sequence, segment.payload);
    }

    void send(unsigned flags, std::uint32_t sequence, std::string const& payload)
    {
        Tins::TCP tcp(remote_.port, local_.port);
        tcp.flags(static_cast<std::uint16_t>(flags));
        tcp.seq(sequence);
        tcp.ack_seq(synchronized_ ? receiveNext_ : 0);
        tcp.window(65535);
        Tins::IP packet = Tins::IP(toTins(remote_.address), toTins(local_.address)) / tcp;
        if (!payload.empty())
            packet /= Tins::RawPDU(payload);
        output_(packet.serialize());
    }

    void takeReset(Tins::TCP const& segment)
    {
        if (synchronized_)
            end_ = TcpEnd::Reset;
        else if (!segments_.empty() && segment.ack_seq() == segments_.front().sequence + 1)
            end_ = TcpEnd::Refused;
    }

    void takeAcknowledgement(std::uint32_t acknowledged)
    {
        bool progress = false;
        while (!segments_.empty() && segments_.front().tries > 0) {
            std::uint32_t const endOfSegment = segments_.front().sequence + segments_.front().length();
            if (static_cast<std::int32_t>(acknowledged - endOfSegment) < 0)
                break;
            handshakeAcknowledged_ = true;
            progress = true;
            segments_.pop_front();
        }
        // A peer that acknowledges is alive, so the next loss starts again at the first timeout.
        if (progress && !segments_.empty() && segments_.front().tries > 1)
            segments_.front().tries = 1;
    }

    // Returns the length that the peer must see acknowledged, also if it was taken before.
    std::size_t takePayload(Tins::TCP const& segment)
    {
        Tins::RawPDU const* const raw = segment.find_pdu<Tins::RawPDU>();
        std::size_t const length = raw != nullptr ? raw->payload_size() : 0;
        bool const fin = segment.get_flag(Tins::TCP::FIN) != 0;
        bool const isNew = static_cast<std::int32_t>(segment.seq() - receiveNext_) >= 0;
        if (!synchronized_ || segment.get_flag(Tins::TCP::SYN) != 0 || !isNew || (length == 0 && !fin))
            return length;
        if (early_.size() < 2 * windowSegments || segment.seq() == receiveNext_)
            early_[segment.seq()] = { length > 0 ? std::string(raw->payload().begin(), raw->payload().end()) : std::string(), fin };
        takeInOrder();
        return length;
    }

    void takeInOrder()
    {
        for (std::map<std::uint32_t, EarlySegment>::iterator next = early_.find(receiveNext_); next != early_.end(); next = early_.find(receiveNext_)) {
            input_ += next->second.payload;
            receiveNext_ += static_cast<std::uint32_t>(next->second.payload.size());
            if (next->second.fin && !finReceived_) {
                finReceived_ = true;
                ++receiveNext_;
            }
            early_.erase(next);
        }
    }
};

/// \brief An IPv4/UDP packet.
inline Bytes makeUdpPacket(Endpoint from, Endpoint to, std::string const& payload)
{
    Tins::IP packet = Tins::IP(toTins(to.address), toTins(from.address)) / Tins::UDP(to.port, from.port) / Tins::RawPDU(payload);
    return packet.serialize();
}

inline Endpoint sourceOf(Tins::IP const& ip, std::uint16_t port)
{
    return { parseAddress(ip.src_addr().to_string()).value_or(0), port };
}

inline Endpoint destinationOf(Tins::IP const& ip, std::uint16_t port)
{
    return { parseAddress(ip.dst_addr().to_string()).value_or(0), port };
}

} // namespace plantaindrift::standins
