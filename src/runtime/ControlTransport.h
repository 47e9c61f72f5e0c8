#pragma once

#include "plantaindrift/base/Types.h"
#include "runtime/Settings.h"

#include "absl/status/status.h"

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string_view>

namespace plantaindrift {

/// \brief Counts of a control transport since start.
struct ControlTransportCounts {
    std::uint64_t received { 0 }; ///< messages received
    std::uint64_t sent { 0 };
    std::uint64_t dropped { 0 }; ///< messages not sent because the queue to the peer was full or the message too long
    std::uint64_t refusedPeers { 0 }; ///< connections or messages without an accepted key, and stale messages
    std::uint64_t malformed { 0 }; ///< messages with an invalid sender or invalid framing
};

/// \brief Carries messages between control endpoints. Runs on one event loop.
///
/// Messages may be lost; the control logic repeats those that must arrive.
class ControlTransport {
public:
    using Receiver = std::function<void(Endpoint from, std::span<std::byte const> bytes)>;

    virtual ~ControlTransport() = default;

    /// \brief Binds the control endpoint; the error names it.
    [[nodiscard]] virtual absl::Status start() = 0;

    virtual void send(Endpoint to, std::string_view bytes) = 0;

    /// \brief Replaces the accepted keys; the first is used for sending.
    [[nodiscard]] virtual absl::Status setKeys(FleetKeys keys) = 0;

    /// \brief Periodic work; call every 100 ms.
    virtual void tick(TimePoint now) = 0;

    /// \brief Closes all sockets.
    virtual void stop() = 0;

    [[nodiscard]] virtual ControlTransportCounts const& counts() const noexcept = 0;
};

/// \brief Size in bytes of the largest message that a transport carries.
[[nodiscard]] std::size_t maximumControlMessageBytes(ControlTransportKind kind) noexcept;

/// \brief Creates the transport that the settings select.
///
/// \param keys  if empty, peers are not authenticated
[[nodiscard]] std::unique_ptr<ControlTransport> makeControlTransport(asio::io_context& loop, CommonSettings const& settings, FleetKeys keys, ControlTransport::Receiver receiver);

} // namespace plantaindrift
