#pragma once

#include "plantaindrift/base/Types.h"
#include "runtime/ControlTransport.h"

#include "absl/status/status.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>

namespace plantaindrift {

/// \brief Control transport over ZeroMQ.
///
/// Receives on one bound ROUTER socket; sends over one DEALER socket per peer, whose routing identity is this process's
/// control endpoint. With keys, connections use CURVE, and a peer has to prove that it holds one of the accepted keys.
/// Queues are bounded: a message to a peer whose queue is full is dropped and counted. Runs on one event loop.
class ControlSocket final : public ControlTransport {
public:
    /// \brief Maximum message size; the connection of a peer that sends a longer one is closed.
    static constexpr std::size_t maximumMessageBytes = 1U << 20U;

    /// \param keys  if empty, there is no encryption and no authentication
    ControlSocket(asio::io_context& loop, Endpoint self, FleetKeys keys, Receiver receiver);
    ~ControlSocket() override;
    ControlSocket(ControlSocket const&) = delete;
    ControlSocket& operator=(ControlSocket const&) = delete;

    /// \brief Binds the control endpoint; the error names it.
    [[nodiscard]] absl::Status start() override;

    void send(Endpoint to, std::string_view bytes) override;

    /// \brief Replaces the accepted keys; later connections use the first.
    [[nodiscard]] absl::Status setKeys(FleetKeys keys) override;

    /// \brief Receives pending messages and closes connections not used for a minute; call every 100 ms.
    ///
    /// ZeroMQ's file descriptor is edge-triggered, so waiting on it alone could miss a message.
    void tick(TimePoint now) override;

    /// \brief Closes all sockets; blocks until queued messages are sent, at most for half a second.
    void stop() override;

    [[nodiscard]] ControlTransportCounts const& counts() const noexcept override;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace plantaindrift
