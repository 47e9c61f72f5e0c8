#include "runtime/DaemonCore.h"

#include "plantaindrift/base/Error.h"
#include "plantaindrift/runtime/Version.h"

#include <chrono>
#include <csignal>
#include <exception>

namespace plantaindrift {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 100 };
    // Limits how long timers and control messages are delayed by received packets.
    constexpr int batchesPerTurn = 8;

    // Maximum number of batches that a stop processes for each port: callers keep sending while it does.
    constexpr int batchesAtStop = 64;

} // namespace

DaemonCore::PacketPort::PacketPort(asio::io_context& loop, PacketLoop packetLoop, PacketFilter& packetFilter)
    : packets(std::move(packetLoop))
    , filter(packetFilter)
    , readiness(loop, packets.nativeHandle())
{
}

bool DaemonCore::PacketPort::processBatch(Duration uptime) noexcept
{
    Duration const maximumWait = stalledSince ? uptime - *stalledSince : Duration::zero();
    if (packets.runOnce(filter, maximumWait) == PacketLoop::batchSize)
        return true;
    stalledSince.reset();
    return false;
}

DaemonCore::DaemonCore(CommonSettings const& settings, FleetKeys keys, Handlers handlers)
    : settings_(settings)
    , handlers_(std::move(handlers))
    , control_(makeControlTransport(loop_, settings, std::move(keys), [this](Endpoint from, std::span<std::byte const> bytes) { runGuarded("control", [&] { handlers_.control(from, bytes); }); }))
    , stopSignals_(loop_, SIGTERM, SIGINT)
    , keySignals_(loop_, SIGHUP)
    , tickTimer_(loop_)
    , seedFile_(settings.file, handlers_.readSeeds)
{
}

absl::Status DaemonCore::run()
{
    absl::Status bound = bindAll();
    if (!bound.ok())
        return bound;
    waitForStop();
    waitForKeys();
    waitForTick(std::chrono::milliseconds::zero());
    packetsHeld_ = handlers_.holdPackets;
    if (packetsHeld_)
        ports_.front()->stalledSince = readUptime();
    for (std::size_t port = packetsHeld_ ? 1 : 0; port < ports_.size(); ++port)
        waitForPackets(*ports_[port]);
    logEvent(LogLevel::Info, "started", { { "name", settings_.name }, { "data_centre", settings_.dataCentre }, { "data", formatEndpoint(settings_.data) }, { "control", formatEndpoint(settings_.control) }, { "http", formatEndpoint(settings_.http) }, { "insecure", settings_.insecure }, { "sources", sourceDigest() } });
    runLoop();
    logEvent(LogLevel::Info, "ended", { { "name", settings_.name }, { "status", result_.ok() ? "ok" : statusMessage(result_) } });
    return result_;
}

// One unexpected error must not end a process that carries flows.
void DaemonCore::runLoop()
{
    for (bool isDone = false; !isDone;) {
        try {
            loop_.run();
            isDone = true;
        } catch (std::exception const& error) {
            recordUnexpectedError("loop", error.what());
        }
    }
}

void DaemonCore::runGuarded(std::string_view where, std::function<void()> const& callback) noexcept
{
    try {
        callback();
    } catch (std::exception const& error) {
        recordUnexpectedError(where, error.what());
    }
}

HttpServer::Handler DaemonCore::guarded(HttpServer::Handler handler)
{
    return [this, handler = std::move(handler)](HttpRequest const& request) {
        HttpAnswer answer { 500, "the request failed; see the log\n" };
        runGuarded("http", [&] { answer = handler(request); });
        return answer;
    };
}

void DaemonCore::recordUnexpectedError(std::string_view where, std::string_view problem) noexcept
{
    ++unexpectedErrors_;
    logEvent(LogLevel::Error, "unexpected_error", { { "name", settings_.name }, { "where", where }, { "problem", problem } });
}

absl::Status DaemonCore::bindAll()
{
    absl::Status status = openPort(settings_.data, *handlers_.packets);
    for (std::pair<Endpoint, PacketFilter*> const& port : handlers_.packetPorts) {
        if (status.ok())
            status = openPort(port.first, *port.second);
    }
    if (status.ok())
        status = control_->start();
    http_.push_back(std::make_unique<HttpServer>(loop_, settings_.http, guarded([this](HttpRequest const& request) { return handleRequest(request); })));
    for (std::pair<Endpoint, HttpServer::Handler> const& port : handlers_.httpPorts)
        http_.push_back(std::make_unique<HttpServer>(loop_, port.first, guarded(port.second)));
    for (std::unique_ptr<HttpServer> const& server : http_) {
        if (status.ok())
            status = server->start();
    }
    return status;
}

absl::Status DaemonCore::openPort(Endpoint address, PacketFilter& filter)
{
    PacketLoopOptions options;
    options.bind = address;
    absl::StatusOr<PacketLoop> packets = PacketLoop::open(options);
    if (!packets.ok())
        return packets.status();
    ports_.push_back(std::make_unique<PacketPort>(loop_, std::move(*packets), filter));
    return absl::OkStatus();
}

void DaemonCore::finish(absl::Status const& status)
{
    if (finished_)
        return;
    finished_ = true;
    result_ = status;
    processArrivedPackets();
    tickTimer_.cancel();
    stopSignals_.cancel();
    keySignals_.cancel();
    for (std::unique_ptr<PacketPort> const& port : ports_)
        port->readiness.release();
    for (std::unique_ptr<HttpServer> const& server : http_)
        server->stop();
    control_->stop();
    loop_.stop();
}

// Handlers of the event loop call this first, so that the time since the previous call is known before they act on
// what arrived meanwhile. Returns the uptime.
Duration DaemonCore::recordTurn()
{
    Duration const uptime = readUptime();
    Duration const stall = stalls_.recordTurn(uptime);
    if (stall == Duration::zero())
        return uptime;
    for (std::unique_ptr<PacketPort> const& port : ports_)
        port->stalledSince = port->stalledSince.value_or(uptime - stall);
    logEvent(LogLevel::Warning, "stalled", { { "name", settings_.name }, { "stall_ms", std::chrono::duration_cast<std::chrono::milliseconds>(stall).count() } });
    return uptime;
}

// Callers send until the process is gone; what the kernel has received would be lost with the sockets.
void DaemonCore::processArrivedPackets() noexcept
{
    Duration const uptime = recordTurn();
    for (std::unique_ptr<PacketPort> const& port : ports_) {
        for (int batch = 0; batch < batchesAtStop && port->processBatch(uptime);)
            ++batch;
    }
}

void DaemonCore::releasePackets()
{
    if (!packetsHeld_ || finished_)
        return;
    packetsHeld_ = false;
    waitForPackets(*ports_.front());
}

void DaemonCore::sendControl(std::vector<ControlMessage> const& messages)
{
    for (ControlMessage const& message : messages)
        control_->send(message.to, message.bytes);
}

void DaemonCore::waitForStop()
{
    stopSignals_.async_wait([this](asio::error_code const& error, int signal) {
        if (error)
            return;
        waitForStop();
        if (stopping_)
            return;
        stopping_ = true;
        logEvent(LogLevel::Info, "stopping", { { "name", settings_.name }, { "signal", signal } });
        handlers_.stop();
    });
}

void DaemonCore::waitForKeys()
{
    keySignals_.async_wait([this](asio::error_code const& error, int) {
        if (error)
            return;
        reloadKeys();
        seedFile_.requestRead();
        waitForKeys();
    });
}

void DaemonCore::waitForTick(std::chrono::milliseconds wait)
{
    tickTimer_.expires_after(wait);
    tickTimer_.async_wait([this](asio::error_code const& error) {
        if (error || finished_)
            return;
        recordTurn();
        TimePoint const now = std::chrono::steady_clock::now();
        control_->tick(now);
        runGuarded("settings", [&] { followSeeds(now); });
        runGuarded("tick", [&] { handlers_.tick(now); });
        flushLog();
        waitForTick(tickInterval);
    });
}

void DaemonCore::waitForPackets(PacketPort& port)
{
    port.readiness.async_wait(asio::posix::stream_descriptor::wait_read, [this, &port](asio::error_code const& error) {
        if (error || finished_)
            return;
        Duration const uptime = recordTurn();
        for (int batch = 0; batch < batchesPerTurn && port.processBatch(uptime);)
            ++batch;
        waitForPackets(port);
    });
}

void DaemonCore::sendData(Endpoint to, std::span<std::byte const> bytes, std::size_t port) noexcept
{
    // Before the sockets are open, no peer expects a datagram.
    if (port < ports_.size())
        ports_[port]->packets.send(to, bytes);
}

void DaemonCore::reloadKeys()
{
    absl::StatusOr<FleetKeys> const keys = loadKeys(settings_);
    absl::Status const status = keys.ok() ? control_->setKeys(*keys) : keys.status();
    if (!status.ok()) {
        // An invalid key file must not stop the process; it keeps its current keys.
        logEvent(LogLevel::Error, "keys_not_read", { { "file", settings_.keyFile }, { "error", statusMessage(status) } });
        return;
    }
    handlers_.keys(makeKeyRing(*keys));
    if (!keys->empty())
        logEvent(LogLevel::Info, "keys_read", { { "file", settings_.keyFile }, { "keys", keys->size() }, { "epoch", keys->front().datagram.epoch } });
}

void DaemonCore::followSeeds(TimePoint now)
{
    if (!handlers_.readSeeds)
        return;
    std::optional<std::vector<Endpoint>> const seeds = seedFile_.takeChange(now);
    if (seeds)
        handlers_.seeds(*seeds, now);
}

HttpAnswer DaemonCore::handleRequest(HttpRequest const& request)
{
    if (request.method != "GET")
        return { 405, "only GET is served here\n" };
    if (request.path == "/metrics")
        return { 200, metricsText(), "text/plain; version=0.0.4; charset=utf-8" };
    if (request.path == "/healthz")
        return { 200, "ok\n" };
    if (request.path == "/readyz")
        return handlers_.ready() ? HttpAnswer { 200, "ready\n" } : HttpAnswer { 503, "not ready\n" };
    return { 404, "see /metrics, /healthz and /readyz\n" };
}

std::string DaemonCore::metricsText()
{
    MetricsPage page;
    ControlTransportCounts const& control = control_->counts();
    page.addCounter("plantaindrift_control_messages_total", "Control messages by direction.", { { "direction", "received" } }, static_cast<double>(control.received));
    page.addCounter("plantaindrift_control_messages_total", "Control messages by direction.", { { "direction", "sent" } }, static_cast<double>(control.sent));
    page.addCounter("plantaindrift_control_messages_dropped_total", "Control messages not sent because the queue to the peer was full.", {}, static_cast<double>(control.dropped));
    page.addCounter("plantaindrift_control_peers_refused_total", "Control connections refused because the peer has no accepted key.", {}, static_cast<double>(control.refusedPeers));
    addPacketMetrics(page);
    page.addGauge("plantaindrift_ready", "1 if /readyz answers ready.", {}, handlers_.ready() ? 1 : 0);
    page.addCounter("plantaindrift_stalls_total", "Times that the process stood still for 400 ms or longer.", {}, static_cast<double>(stalls_.count()));
    page.addCounter("plantaindrift_unexpected_errors_total", "Errors that no part of the process handled; each is logged.", {}, static_cast<double>(unexpectedErrors_));
    page.addProcess();
    handlers_.metrics(page);
    return page.text();
}

void DaemonCore::addPacketMetrics(MetricsPage& page) const
{
    PacketLoopCounts data;
    for (std::unique_ptr<PacketPort> const& port : ports_) {
        PacketLoopCounts const counts = port->packets.counts();
        data.received += counts.received;
        data.sent += counts.sent;
        data.oversized += counts.oversized;
        data.sendFailed += counts.sendFailed;
        data.receiveErrors += counts.receiveErrors;
    }
    page.addCounter("plantaindrift_datagrams_total", "Datagrams of the packet path by direction.", { { "direction", "received" } }, static_cast<double>(data.received));
    page.addCounter("plantaindrift_datagrams_total", "Datagrams of the packet path by direction.", { { "direction", "sent" } }, static_cast<double>(data.sent));
    page.addCounter("plantaindrift_datagram_errors_total", "Datagrams lost in this process by reason.", { { "reason", "oversized" } }, static_cast<double>(data.oversized));
    page.addCounter("plantaindrift_datagram_errors_total", "Datagrams lost in this process by reason.", { { "reason", "send" } }, static_cast<double>(data.sendFailed));
    page.addCounter("plantaindrift_datagram_errors_total", "Datagrams lost in this process by reason.", { { "reason", "receive" } }, static_cast<double>(data.receiveErrors));
}

absl::StatusOr<FleetKeys> loadKeys(CommonSettings const& settings)
{
    if (settings.insecure)
        return FleetKeys {};
    return readKeys(settings.keyFile);
}

KeyRing makeKeyRing(FleetKeys const& keys) noexcept
{
    return keys.empty() ? insecureKeys() : datagramKeys(keys);
}

std::uint32_t wallClockSeconds() noexcept
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

std::int64_t wallClockMilliseconds() noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::uint64_t firstIncarnation() noexcept
{
    return static_cast<std::uint64_t>(wallClockMilliseconds());
}

std::string_view statusMessage(absl::Status const& status) noexcept
{
    return { status.message().data(), status.message().size() };
}

} // namespace plantaindrift
