#pragma once

#include "plantaindrift/packet/Encapsulation.h"
#include "plantaindrift/runtime/UdpSocket.h"
#include "runtime/ControlTransport.h"

#include <asio/io_context.hpp>

namespace plantaindrift {

/// \brief Sends control messages as UDP datagrams, each with its send time and signed with the datagram key.
///
/// Contents are not encrypted. There is no connection to restore after a peer restarts or stops responding.
class DatagramControl final : public ControlTransport {
public:
    /// \brief Maximum message size; longer messages are dropped, counted and logged.
    static constexpr std::size_t maximumMessageBytes = 60'000;

    /// \param keys  if empty, the publicly known key of insecure processes is used
    DatagramControl(asio::io_context& loop, Endpoint self, FleetKeys const& keys, Receiver receiver);

    [[nodiscard]] absl::Status start() override;
    void send(Endpoint to, std::string_view bytes) override;
    [[nodiscard]] absl::Status setKeys(FleetKeys keys) override;
    void tick(TimePoint now) override;
    void stop() override;
    [[nodiscard]] ControlTransportCounts const& counts() const noexcept override { return counts_; }

private:
    UdpSocket socket_;
    Endpoint self_;
    KeyRing keys_;
    Receiver receiver_;
    ControlTransportCounts counts_;
    std::size_t longestDropped_ { 0 }; ///< bytes of the longest message that was dropped since the last line of the log
    TimePoint lastLogged_;

    void receive(std::span<std::byte const> datagram, Endpoint from);
};

} // namespace plantaindrift
