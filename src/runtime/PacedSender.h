#pragma once

#include "plantaindrift/packet/PacketVerdict.h"
#include "plantaindrift/relay/EntryResources.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <span>
#include <vector>

namespace plantaindrift {

/// \brief Keeps datagrams that have to wait for the link, and sends them in order.
///
/// A timer runs only while a datagram waits.
class PacedSender {
public:
    /// \brief What decides, and what sends.
    struct Rules {
        std::function<BulkAction(std::size_t bytes, TimePoint now)> decide;
        std::function<BulkAction(std::size_t bytes, Duration waited, TimePoint now)> release;
        std::function<void(Endpoint to, std::span<std::byte const> datagram)> send;
    };

    PacedSender(asio::io_context& loop, Rules rules);

    /// \brief Decides on a datagram and keeps a copy if it has to wait.
    ///
    /// \returns the verdict itself if it is to be sent now, else one that sends nothing
    [[nodiscard]] PacketVerdict pace(PacketVerdict const& verdict, TimePoint now);

    /// \brief True if a datagram of the flow waits, so that its later segments have to wait as well.
    [[nodiscard]] bool holds(std::uint64_t flowHash) const noexcept;

    /// \brief Sends the datagrams that need not wait longer.
    void drain(TimePoint now);

    /// \brief Sends all at once, before the process ends.
    void flush();

    [[nodiscard]] std::size_t size() const noexcept { return queue_.size(); }

private:
    struct Waiting {
        Endpoint to;
        std::vector<std::byte> datagram;
        TimePoint queued;
        std::uint64_t flowHash { 0 };
    };

    asio::steady_timer timer_;
    Rules rules_;
    std::deque<Waiting> queue_;

    void waitForTimer();
};

} // namespace plantaindrift
