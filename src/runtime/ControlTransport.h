#pragma once

#include "plantaindrift/base/Types.h"
#include "runtime/Settings.h"

#include "absl/status/status.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string_view>

namespace plantaindrift {

/// \brief Counts of a control transport since start.
struct ControlSocketCounts {
    std::uint64_t received { 0 }; ///< messages
    std::uint64_t sent { 0 };
    std::uint64_t dropped { 0 }; ///< not sent: the queue to the peer was full, or the message too long
    std::uint64_t refusedPeers { 0 }; ///< connections or messages without an accepted key
    std::uint64_t malformed { 0 }; ///< messages whose sender or frames have a wrong form
};

/// \brief Carries messages between the control endpoints of peers. Runs on one loop.
///
/// A message may be lost; the control logic repeats what matters.
class ControlTransport {
public:
    using Receiver = std::function<void(Endpoint from, std::span<std::byte const> bytes)>;

    virtual ~ControlTransport() = default;

    /// \brief Binds the own endpoint; the error names it.
    [[nodiscard]] virtual absl::Status start() = 0;

    virtual void send(Endpoint to, std::string_view bytes) = 0;

    /// \brief Accepts these keys from now on; the first is used for sending.
    [[nodiscard]] virtual absl::Status setKeys(FleetKeys keys) = 0;

    /// \brief Periodic work; call every 100 ms.
    virtual void tick(TimePoint now) = 0;

    /// \brief Closes all sockets.
    virtual void stop() = 0;

    [[nodiscard]] virtual ControlSocketCounts const& counts() const noexcept = 0;
};

/// \brief Makes the transport that the settings name.
///
/// \param keys  empty: no authentication
[[nodiscard]] std::unique_ptr<ControlTransport> makeControlTransport(asio::io_context& loop, CommonSettings const& settings, FleetKeys keys, ControlTransport::Receiver receiver);

} // namespace plantaindrift
