#pragma once

#include "plantaindrift/base/Types.h"

#include "absl/status/status.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

namespace plantaindrift {

/// \brief UDP socket on an event loop. Sending and receiving a datagram allocate no memory.
class UdpSocket {
public:
    using Receiver = std::function<void(std::span<std::byte const> datagram, Endpoint from)>;

    /// \brief Datagram counts since start.
    struct Counts {
        std::uint64_t received { 0 };
        std::uint64_t sent { 0 };
        std::uint64_t sendErrors { 0 }; ///< sends that the kernel rejected, for example for a full buffer or an unreachable peer
    };

    explicit UdpSocket(asio::io_context& loop);

    /// \brief Binds the address and starts receiving; the error names the address.
    [[nodiscard]] absl::Status start(Endpoint address, Receiver receiver);

    /// \brief Sends one datagram that consists of the header followed by the body; drops it if the kernel rejects it.
    void send(Endpoint to, std::span<std::byte const> header, std::span<std::byte const> body = {}) noexcept;

    void stop();

    [[nodiscard]] Counts const& counts() const noexcept { return counts_; }

private:
    asio::ip::udp::socket socket_;
    Receiver receiver_;
    std::vector<std::byte> buffer_;
    Counts counts_;

    void wait();
    void receiveBatch();
};

} // namespace plantaindrift
