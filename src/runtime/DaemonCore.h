#pragma once

#include "plantaindrift/membership/EntryControl.h"
#include "plantaindrift/runtime/HttpServer.h"
#include "plantaindrift/runtime/Log.h"
#include "runtime/ControlTransport.h"
#include "runtime/MetricsPage.h"
#include "runtime/PacketLoop.h"
#include "runtime/Settings.h"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace plantaindrift {

/// \brief What entry and agent daemons share: the loop, signals, sockets, the tick and the HTTP endpoints.
class DaemonCore {
public:
    /// \brief The parts in which daemons differ; all run on the loop.
    struct Handlers {
        PacketFilter* packets { nullptr }; ///< at the data endpoint of the settings
        std::vector<std::pair<Endpoint, PacketFilter*>> packetPorts; ///< further UDP endpoints, from port 1 on
        bool holdPackets { false }; ///< datagrams at the data endpoint wait in the kernel until releasePackets
        std::vector<std::pair<Endpoint, HttpServer::Handler>> httpPorts; ///< further HTTP endpoints
        ControlTransport::Receiver control;
        std::function<void(TimePoint)> tick; ///< every 100 ms
        std::function<void(KeyRing const&)> keys; ///< keys were read again
        std::function<bool()> ready;
        std::function<void(MetricsPage&)> metrics;
        std::function<void()> stop; ///< SIGTERM or SIGINT; ends by calling finish
    };

    /// \param keys  empty when the settings say insecure
    DaemonCore(CommonSettings const& settings, FleetKeys keys, Handlers handlers);

    /// \brief Binds all addresses, starts the loop and returns when finish was called.
    [[nodiscard]] absl::Status run();

    /// \brief Sends what is queued, closes everything and lets run return this status.
    void finish(absl::Status const& status);

    /// \brief Starts to take datagrams at the data endpoint, if they were held.
    void releasePackets();

    void sendControl(std::vector<ControlMessage> const& messages);

    [[nodiscard]] asio::io_context& loop() noexcept { return loop_; }
    /// \brief Sends one datagram of the packet path that answers no other.
    ///
    /// \param port  0 for the data endpoint, else the number of the further endpoint
    void sendData(Endpoint to, std::span<std::byte const> bytes, std::size_t port = 0) noexcept;

    [[nodiscard]] bool isStopping() const noexcept { return stopping_; }

private:
    struct PacketPort {
        PacketPort(asio::io_context& loop, PacketLoop packetLoop, PacketFilter& packetFilter);
        PacketLoop packets;
        PacketFilter& filter;
        asio::posix::stream_descriptor readiness;
    };

    CommonSettings settings_;
    Handlers handlers_;
    asio::io_context loop_;
    std::vector<std::unique_ptr<PacketPort>> ports_;
    std::unique_ptr<ControlTransport> control_;
    std::vector<std::unique_ptr<HttpServer>> http_;
    asio::signal_set stopSignals_;
    asio::signal_set keySignals_;
    asio::steady_timer ticker_;
    absl::Status result_;
    bool stopping_ { false };
    bool finished_ { false };
    bool held_ { false };

    [[nodiscard]] absl::Status bindAll();
    void waitForStop();
    void waitForKeys();
    void waitForTick();
    [[nodiscard]] absl::Status openPort(Endpoint address, PacketFilter& filter);
    void waitForPackets(PacketPort& port);
    void addPacketMetrics(MetricsPage& page) const;
    void reloadKeys();
    HttpAnswer answer(HttpRequest const& request);
    std::string metricsText();
};

/// \brief Keys that the settings name; empty if they say insecure.
[[nodiscard]] absl::StatusOr<FleetKeys> loadKeys(CommonSettings const& settings);

/// \brief Checks settings and keys, then runs a daemon until it is stopped.
///
/// \param settings   as read from the settings file
/// \param checkOnly  ends after the checks
/// \param arguments  further ones of the daemon's constructor
template <typename Daemon, typename Settings, typename... Arguments>
[[nodiscard]] absl::Status runDaemon(absl::StatusOr<Settings> const& settings, bool checkOnly, Arguments const&... arguments)
{
    if (!settings.ok())
        return settings.status();
    absl::StatusOr<FleetKeys> const keys = loadKeys(settings->common);
    if (!keys.ok())
        return keys.status();
    if (checkOnly)
        return absl::OkStatus();
    startLog(settings->common.logLevel, settings->common.logFile);
    Daemon daemon(*settings, *keys, arguments...);
    return daemon.run();
}

/// \brief Datagram keys for the fleet's keys, or the known ones of an insecure process.
[[nodiscard]] KeyRing keyRing(FleetKeys const& keys) noexcept;

/// \brief Wall clock in seconds since 1970.
[[nodiscard]] std::uint32_t wallSeconds() noexcept;

/// \brief First incarnation of a process: later starts are higher.
[[nodiscard]] std::uint64_t firstIncarnation() noexcept;

/// \brief A status's message for a log field.
[[nodiscard]] std::string_view messageOf(absl::Status const& status) noexcept;

} // namespace plantaindrift
