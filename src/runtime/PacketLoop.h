#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/packet/PacketVerdict.h"

#include "absl/status/statusor.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>

namespace plantaindrift {

/// \brief Time at which a batch of datagrams is processed.
struct PacketTime {
    TimePoint now;
    std::uint32_t nowSeconds { 0 }; ///< wall clock, seconds since 1970
    Duration maximumWait {}; ///< the datagrams may have waited this long in the socket because the process stood still; zero if it ran
};

/// \brief Decides what a PacketLoop sends for each received datagram.
class PacketFilter {
public:
    virtual ~PacketFilter() = default;

    /// \brief Returns the verdict for one datagram.
    ///
    /// \param datagram  the UDP payload
    /// \param from      its sender
    /// \param time      read once for the batch
    [[nodiscard]] virtual PacketVerdict decide(std::span<std::byte const> datagram, Endpoint from, PacketTime const& time) noexcept = 0;
};

/// \brief Counts since the start of the loop.
struct PacketLoopCounts {
    std::uint64_t received { 0 };
    std::uint64_t oversized { 0 }; ///< longer than PacketLoop::maximumDatagramBytes; dropped before the filter
    std::uint64_t sent { 0 };
    std::uint64_t sendFailed { 0 }; ///< rejected by the kernel, for example because the send buffer was full
    std::uint64_t receiveErrors { 0 };
};

/// \brief Settings of a loop's socket.
struct PacketLoopOptions {
    Endpoint bind; ///< port 0 lets the kernel choose
    int receiveBufferBytes { 4 << 20 }; ///< kernel buffer; limited by net.core.rmem_max
    int sendBufferBytes { 4 << 20 }; ///< kernel buffer
};

/// \brief Receives, filters and sends UDP datagrams in batches with recvmmsg and sendmmsg.
///
/// The receive buffer has headroom before each payload into which the new header is written, so that a payload is
/// forwarded without a copy. open() allocates all buffers. Not thread-safe.
class PacketLoop {
public:
    /// \brief Maximum number of datagrams per system call.
    static constexpr std::size_t batchSize = 64;

    /// \brief Maximum size of an accepted datagram: a 9000-byte packet and its encapsulation.
    static constexpr std::size_t maximumDatagramBytes = 9216;

    /// \brief Opens and binds a non-blocking UDP socket.
    [[nodiscard]] static absl::StatusOr<PacketLoop> open(PacketLoopOptions const& options);

    ~PacketLoop();
    PacketLoop(PacketLoop&& other) noexcept;
    PacketLoop& operator=(PacketLoop&& other) noexcept;

    /// \brief File descriptor of the socket, for waiting until it is readable.
    [[nodiscard]] int nativeHandle() const noexcept;

    /// \brief Address and port that the socket is bound to.
    [[nodiscard]] Endpoint localEndpoint() const noexcept;

    /// \brief Receives at most one batch without blocking, filters each datagram and sends what the verdicts say.
    ///
    /// \param maximumWait  passed to the filter with the time of the batch
    /// \returns number of datagrams received; less than batchSize means that the socket is empty
    std::size_t runOnce(PacketFilter& filter, Duration maximumWait = {}) noexcept;

    /// \brief Waits until the socket is readable.
    ///
    /// \returns false if the timeout expired
    [[nodiscard]] bool waitReadable(std::chrono::milliseconds timeout) const noexcept;

    /// \brief Sends one datagram that is not the verdict on a received one, for example an owner notice.
    ///
    /// \returns false if the kernel rejected it
    bool send(Endpoint to, std::span<std::byte const> bytes) noexcept;

    [[nodiscard]] PacketLoopCounts counts() const noexcept;

private:
    struct State;
    explicit PacketLoop(std::unique_ptr<State> state) noexcept;

    std::unique_ptr<State> state_;
};

} // namespace plantaindrift
