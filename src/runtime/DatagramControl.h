#pragma once

#include "plantaindrift/packet/Encapsulation.h"
#include "plantaindrift/runtime/UdpSocket.h"
#include "runtime/ControlTransport.h"

#include <asio/io_context.hpp>

namespace plantaindrift {

/// \brief Control messages as UDP datagrams, each signed with the datagram key and the sender's time.
///
/// Contents are not encrypted. A restarted or silent peer costs nothing: there is no connection.
class DatagramControl final : public ControlTransport {
public:
    /// \brief Longest message; a longer one is dropped and counted.
    static constexpr std::size_t maximumMessageBytes = 60'000;

    /// \param keys  empty: the known key of an insecure process
    DatagramControl(asio::io_context& loop, Endpoint self, FleetKeys const& keys, Receiver receiver);

    [[nodiscard]] absl::Status start() override;
    void send(Endpoint to, std::string_view bytes) override;
    [[nodiscard]] absl::Status setKeys(FleetKeys keys) override;
    void tick(TimePoint now) override;
    void stop() override;
    [[nodiscard]] ControlSocketCounts const& counts() const noexcept override { return counts_; }

private:
    UdpSocket socket_;
    Endpoint self_;
    KeyRing keys_;
    Receiver receiver_;
    ControlSocketCounts counts_;

    void receive(std::span<std::byte const> datagram, Endpoint from);
};

} // namespace plantaindrift
