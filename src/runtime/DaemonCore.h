#pragma once

#include "plantaindrift/membership/EntryControl.h"
#include "plantaindrift/runtime/HttpServer.h"
#include "plantaindrift/runtime/Log.h"
#include "runtime/ControlTransport.h"
#include "runtime/MetricsPage.h"
#include "runtime/PacketLoop.h"
#include "runtime/SeedFile.h"
#include "runtime/Settings.h"
#include "runtime/StallDetector.h"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace plantaindrift {

/// \brief Event loop, signal handling, sockets, periodic tick and HTTP endpoints that all daemons share.
class DaemonCore {
public:
    /// \brief Callbacks and endpoints of a particular daemon; all run on the event loop.
    struct Handlers {
        PacketFilter* packets { nullptr }; ///< filter of the data endpoint
        std::vector<std::pair<Endpoint, PacketFilter*>> packetPorts; ///< additional UDP endpoints; the first is port 1 of sendData
        bool holdPackets { false }; ///< datagrams to the data endpoint stay in the kernel's buffer until releasePackets is called
        std::vector<std::pair<Endpoint, HttpServer::Handler>> httpPorts; ///< additional HTTP endpoints
        ControlTransport::Receiver control;
        std::function<void(TimePoint)> tick; ///< every 100 ms
        std::function<void(KeyRing const&)> keys; ///< called after the keys were reloaded
        SeedFile::Reader readSeeds; ///< reads the entries that the settings file names
        std::function<void(std::vector<Endpoint> const&, TimePoint)> seeds; ///< called when they may have changed
        std::function<bool()> ready;
        std::function<void(MetricsPage&)> metrics;
        std::function<void()> stop; ///< called at SIGTERM or SIGINT; has to call finish, possibly later
    };

    /// \param keys  empty if the settings set insecure
    DaemonCore(CommonSettings const& settings, FleetKeys keys, Handlers handlers);

    /// \brief Binds all addresses, runs the event loop and returns after finish is called.
    [[nodiscard]] absl::Status run();

    /// \brief Processes the datagrams that have arrived, sends queued control messages, closes all sockets and makes run
    /// return this status.
    void finish(absl::Status const& status);

    /// \brief Starts receiving at the data endpoint, if Handlers::holdPackets deferred it.
    void releasePackets();

    void sendControl(std::vector<ControlMessage> const& messages);

    [[nodiscard]] asio::io_context& loop() noexcept { return loop_; }
    /// \brief Sends one datagram that is not the verdict on a received one.
    ///
    /// \param port  0 for the data endpoint, else 1 plus the index in Handlers::packetPorts
    void sendData(Endpoint to, std::span<std::byte const> bytes, std::size_t port = 0) noexcept;

    [[nodiscard]] bool isStopping() const noexcept { return stopping_; }

private:
    struct PacketPort {
        PacketPort(asio::io_context& loop, PacketLoop packetLoop, PacketFilter& packetFilter);
        PacketLoop packets;
        PacketFilter& filter;
        asio::posix::stream_descriptor readiness;
        std::optional<Duration> stalledSince; ///< uptime at the start of a stall or hold, until the socket has been emptied after it

        /// \brief Processes one batch.
        ///
        /// \param uptime  as readUptime
        /// \returns false if the socket is empty
        bool processBatch(Duration uptime) noexcept;
    };

    CommonSettings settings_;
    Handlers handlers_;
    asio::io_context loop_;
    std::vector<std::unique_ptr<PacketPort>> ports_;
    std::unique_ptr<ControlTransport> control_;
    std::vector<std::unique_ptr<HttpServer>> http_;
    asio::signal_set stopSignals_;
    asio::signal_set keySignals_;
    asio::steady_timer tickTimer_;
    absl::Status result_;
    bool stopping_ { false };
    bool finished_ { false };
    bool packetsHeld_ { false };
    std::uint64_t unexpectedErrors_ { 0 }; ///< exceptions of handlers
    StallDetector stalls_;
    SeedFile seedFile_;

    void runLoop();
    void runGuarded(std::string_view where, std::function<void()> const& callback) noexcept;
    [[nodiscard]] HttpServer::Handler guarded(HttpServer::Handler handler);
    void recordUnexpectedError(std::string_view where, std::string_view problem) noexcept;
    Duration recordTurn();
    void processArrivedPackets() noexcept;
    [[nodiscard]] absl::Status bindAll();
    void waitForStop();
    void waitForKeys();
    void waitForTick(std::chrono::milliseconds wait);
    [[nodiscard]] absl::Status openPort(Endpoint address, PacketFilter& filter);
    void waitForPackets(PacketPort& port);
    void addPacketMetrics(MetricsPage& page) const;
    void reloadKeys();
    void followSeeds(TimePoint now);
    HttpAnswer handleRequest(HttpRequest const& request);
    std::string metricsText();
};

/// \brief Loads the keys that the settings name; empty if they set insecure.
[[nodiscard]] absl::StatusOr<FleetKeys> loadKeys(CommonSettings const& settings);

/// \brief Checks settings and keys, then runs a daemon until it is stopped.
///
/// \param settings   as read from the settings file
/// \param checkOnly  returns after the checks
/// \param arguments  additional arguments of the daemon's constructor
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

/// \brief Datagram keys of the shared keys, or the publicly known ones if `keys` is empty.
[[nodiscard]] KeyRing makeKeyRing(FleetKeys const& keys) noexcept;

/// \brief Wall-clock time in seconds since 1970.
[[nodiscard]] std::uint32_t wallClockSeconds() noexcept;

/// \brief Wall-clock time in milliseconds since 1970.
[[nodiscard]] std::int64_t wallClockMilliseconds() noexcept;

/// \brief Initial incarnation of a process: the wall-clock time, so that a later start has a higher one.
[[nodiscard]] std::uint64_t firstIncarnation() noexcept;

/// \brief Message of a status, for a log field.
[[nodiscard]] std::string_view statusMessage(absl::Status const& status) noexcept;

} // namespace plantaindrift
