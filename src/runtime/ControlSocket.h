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

/// \brief Messages to and from the control endpoints of peers, by ZeroMQ.
///
/// Receives on one bound ROUTER; sends over one DEALER a peer, whose routing identity is the own control endpoint.
/// With keys, connections use CURVE and a peer proves that it holds one of the accepted keys.
/// Queues are bounded: a message to a peer whose queue is full is dropped and counted. Runs on one loop.
class ControlSocket final : public ControlTransport {
public:
    /// \param keys  empty: no encryption and no authentication
    ControlSocket(asio::io_context& loop, Endpoint self, FleetKeys keys, Receiver receiver);
    ~ControlSocket() override;
    ControlSocket(ControlSocket const&) = delete;
    ControlSocket& operator=(ControlSocket const&) = delete;

    /// \brief Binds the own endpoint; the error names it.
    [[nodiscard]] absl::Status start() override;

    void send(Endpoint to, std::string_view bytes) override;

    /// \brief Accepts these keys from now on; later connections use the first.
    [[nodiscard]] absl::Status setKeys(FleetKeys keys) override;

    /// \brief Takes what has arrived and closes connections not used for a minute; call every 100 ms.
    ///
    /// ZeroMQ signals its descriptor only on some changes, so the loop alone could miss a message.
    void tick(TimePoint now) override;

    /// \brief Closes all sockets after queued messages have left, at most half a second later.
    void stop() override;

    [[nodiscard]] ControlSocketCounts const& counts() const noexcept override;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace plantaindrift
