#include "runtime/ControlSocket.h"

#include "plantaindrift/base/Error.h"

#include <algorithm>
#include <array>
#include <asio/posix/stream_descriptor.hpp>
#include <chrono>
#include <cstring>
#include <map>
#include <optional>
#include <string>
#include <vector>
#include <zmq.hpp>

namespace plantaindrift {

namespace {

    constexpr int sendQueueMessages = 256;
    constexpr int receiveQueueMessages = 4096;
    constexpr std::chrono::milliseconds lingerTimeout { 500 };
    constexpr std::chrono::seconds idleTimeout { 60 };

    // Limits the rate of attempts to connect to a peer with another security mechanism; ZeroMQ itself does not retry.
    constexpr std::chrono::seconds refusedRetryInterval { 1 };

    constexpr int handshakeFailures = ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL | ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL | ZMQ_EVENT_HANDSHAKE_FAILED_AUTH;
    constexpr std::size_t rawKeyBytes = 32;

    std::string zeromqAddress(Endpoint endpoint)
    {
        return "tcp://" + formatEndpoint(endpoint);
    }

    // Calls back when a ZeroMQ socket may be readable; ZeroMQ owns the file descriptor.
    class ReadinessWatcher {
    public:
        ReadinessWatcher(asio::io_context& loop, zmq::socket_t& socket, std::function<void()> onReadable)
            : descriptor_(loop, socket.get(zmq::sockopt::fd))
            , onReadable_(std::move(onReadable))
        {
            wait();
        }

        ReadinessWatcher(ReadinessWatcher const&) = delete;
        ReadinessWatcher& operator=(ReadinessWatcher const&) = delete;

        ~ReadinessWatcher()
        {
            descriptor_.release();
        }

    private:
        asio::posix::stream_descriptor descriptor_;
        std::function<void()> onReadable_;

        void wait()
        {
            descriptor_.async_wait(asio::posix::stream_descriptor::wait_read, [this](asio::error_code const& error) {
                if (error)
                    return;
                onReadable_();
                wait();
            });
        }
    };

    // Counts the failed handshakes of one socket.
    class HandshakeMonitor {
    public:
        HandshakeMonitor(zmq::context_t& context, zmq::socket_t& watched, std::string const& name)
            : events_(context, zmq::socket_type::pair)
        {
            std::string const endpoint = "inproc://" + name;
            zmq_socket_monitor(watched.handle(), endpoint.c_str(), handshakeFailures);
            events_.set(zmq::sockopt::linger, 0);
            events_.connect(endpoint);
        }

        // Handshakes that failed since the last call; those that the peer aborted count only if `includeAborted` is set.
        std::uint64_t countFailures(bool includeAborted)
        {
            std::uint64_t failures = 0;
            zmq::message_t frame;
            while (events_.recv(frame, zmq::recv_flags::dontwait)) {
                std::uint16_t event = 0;
                if (frame.size() < sizeof(event))
                    continue;
                std::memcpy(&event, frame.data(), sizeof(event));
                zmq::message_t peer;
                if (events_.recv(peer, zmq::recv_flags::dontwait))
                    failures += (includeAborted || event != ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL) ? 1 : 0;
            }
            return failures;
        }

    private:
        zmq::socket_t events_;
    };

    struct Peer {
        zmq::socket_t socket;
        std::unique_ptr<HandshakeMonitor> monitor;
        TimePoint lastUsed;
        std::size_t keyIndex { 0 };
        TimePoint openedAt { std::chrono::steady_clock::now() };
        bool isRefused { false };
    };

    std::string rawKey(std::string const& text)
    {
        std::string raw(rawKeyBytes, '\0');
        zmq_z85_decode(reinterpret_cast<std::uint8_t*>(raw.data()), text.c_str());
        return raw;
    }

    std::vector<std::string> receiveFrames(zmq::socket_t& socket)
    {
        std::vector<std::string> frames;
        zmq::message_t frame;
        while (socket.recv(frame, zmq::recv_flags::dontwait)) {
            frames.emplace_back(frame.data<char>(), frame.size());
            if (!frame.more())
                break;
        }
        return frames;
    }

} // namespace

struct ControlSocket::State {
    State(asio::io_context& ownLoop, Endpoint ownEndpoint, FleetKeys ownKeys, Receiver ownReceiver)
        : loop(ownLoop)
        , self(ownEndpoint)
        , keys(std::move(ownKeys))
        , receiver(std::move(ownReceiver))
    {
    }

    asio::io_context& loop;
    Endpoint self;
    FleetKeys keys;
    Receiver receiver;
    ControlTransportCounts counts;
    zmq::context_t context { 1 };
    std::optional<zmq::socket_t> authenticator;
    std::optional<zmq::socket_t> router;
    std::unique_ptr<HandshakeMonitor> routerMonitor;
    std::unique_ptr<ReadinessWatcher> authenticatorWatcher;
    std::unique_ptr<ReadinessWatcher> routerWatcher;
    std::map<Endpoint, Peer> peers;
    std::uint64_t monitorNumber { 0 };
    bool rebindPending { false };

    std::string monitorName() { return "monitor-" + std::to_string(++monitorNumber); }

    void startAuthenticator()
    {
        // ZAP (ZeroMQ RFC 27): ZeroMQ sends an authentication request for each connection to this socket.
        authenticator.emplace(context, zmq::socket_type::rep);
        authenticator->set(zmq::sockopt::linger, 0);
        authenticator->bind("inproc://zeromq.zap.01");
        authenticatorWatcher = std::make_unique<ReadinessWatcher>(loop, *authenticator, [this] { authenticate(); });
    }

    [[nodiscard]] bool isAccepted(std::vector<std::string> const& request) const
    {
        constexpr std::size_t curveRequestFrames = 7;
        if (request.size() != curveRequestFrames || request[0] != "1.0" || request[5] != "CURVE")
            return false;
        return std::any_of(keys.begin(), keys.end(), [&request](FleetKey const& key) { return rawKey(key.controlPublic) == request[6]; });
    }

    void authenticate()
    {
        for (std::vector<std::string> request = receiveFrames(*authenticator); !request.empty(); request = receiveFrames(*authenticator)) {
            bool const accepted = isAccepted(request);
            std::array<std::string, 6> const reply { "1.0", request.size() > 1 ? request[1] : "", accepted ? "200" : "400", accepted ? "OK" : "key not accepted", "", "" };
            for (std::size_t index = 0; index < reply.size(); ++index)
                authenticator->send(zmq::buffer(reply[index]), index + 1 < reply.size() ? zmq::send_flags::sndmore : zmq::send_flags::none);
        }
    }

    void openRouter()
    {
        router.emplace(context, zmq::socket_type::router);
        router->set(zmq::sockopt::linger, 0);
        router->set(zmq::sockopt::rcvhwm, receiveQueueMessages);
        router->set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(maximumMessageBytes));
        // A peer may reconnect before the end of its old connection is detected; the new one takes over its identity.
        router->set(zmq::sockopt::router_handover, true);
        if (!keys.empty()) {
            router->set(zmq::sockopt::curve_server, true);
            router->set(zmq::sockopt::curve_secretkey, keys.front().controlSecret);
            router->set(zmq::sockopt::zap_domain, "plantaindrift");
        }
        routerMonitor = std::make_unique<HandshakeMonitor>(context, *router, monitorName());
        router->bind(zeromqAddress(self));
        routerWatcher = std::make_unique<ReadinessWatcher>(loop, *router, [this] { drainRouter(); });
        rebindPending = false;
    }

    void closeRouter()
    {
        routerWatcher.reset();
        routerMonitor.reset();
        router.reset();
    }

    // ZeroMQ's own thread releases the old socket's port, so binding may fail at first; tick retries it.
    void reopenRouter()
    {
        try {
            openRouter();
        } catch (zmq::error_t const&) {
            closeRouter();
        }
    }

    void drainRouter()
    {
        if (!router)
            return;
        for (std::vector<std::string> frames = receiveFrames(*router); !frames.empty(); frames = receiveFrames(*router)) {
            std::optional<Endpoint> const from = parseEndpoint(frames[0]);
            if (frames.size() != 2 || !from) {
                ++counts.malformed;
                continue;
            }
            ++counts.received;
            receiver(*from, std::as_bytes(std::span(frames[1])));
        }
    }

    Peer openPeer(Endpoint to, std::size_t keyIndex)
    {
        Peer peer { zmq::socket_t(context, zmq::socket_type::dealer), nullptr, {}, keyIndex };
        peer.socket.set(zmq::sockopt::linger, static_cast<int>(lingerTimeout.count()));
        peer.socket.set(zmq::sockopt::sndhwm, sendQueueMessages);
        peer.socket.set(zmq::sockopt::rcvhwm, 1);
        peer.socket.set(zmq::sockopt::routing_id, formatEndpoint(self));
        if (!keys.empty()) {
            FleetKey const& key = keys[keyIndex % keys.size()];
            peer.socket.set(zmq::sockopt::curve_serverkey, key.controlPublic);
            peer.socket.set(zmq::sockopt::curve_publickey, key.controlPublic);
            peer.socket.set(zmq::sockopt::curve_secretkey, key.controlSecret);
        }
        peer.monitor = std::make_unique<HandshakeMonitor>(context, peer.socket, monitorName());
        peer.socket.connect(zeromqAddress(to));
        return peer;
    }

    // Reopens a refused connection: at once with the other key, if there is one, because the peer may be one step behind
    // in a key rotation; otherwise after an interval, because another process may use the address by then.
    void retryRefused(Endpoint to, Peer& peer, TimePoint now)
    {
        bool const hasOtherKey = keys.size() >= 2;
        peer.isRefused |= peer.monitor->countFailures(hasOtherKey) > 0;
        if (!peer.isRefused || (!hasOtherKey && now - peer.openedAt < refusedRetryInterval))
            return;
        TimePoint const lastUsed = peer.lastUsed;
        peer.socket.set(zmq::sockopt::linger, 0);
        peer = openPeer(to, peer.keyIndex + 1);
        peer.lastUsed = lastUsed;
    }
};

ControlSocket::ControlSocket(asio::io_context& loop, Endpoint self, FleetKeys keys, Receiver receiver)
    : state_(std::make_unique<State>(loop, self, std::move(keys), std::move(receiver)))
{
}

ControlSocket::~ControlSocket()
{
    stop();
}

absl::Status ControlSocket::start()
{
    try {
        state_->startAuthenticator();
        state_->openRouter();
    } catch (zmq::error_t const& error) {
        state_->closeRouter();
        return makeError(ErrorKind::InvalidSettings, "cannot receive control messages on " + formatEndpoint(state_->self) + ": " + error.what() + "; choose a free address in the settings");
    }
    return absl::OkStatus();
}

void ControlSocket::send(Endpoint to, std::string_view bytes)
{
    std::map<Endpoint, Peer>::iterator found = state_->peers.find(to);
    if (found == state_->peers.end())
        found = state_->peers.emplace(to, state_->openPeer(to, 0)).first;
    found->second.lastUsed = std::chrono::steady_clock::now();
    if (found->second.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait))
        ++state_->counts.sent;
    else
        ++state_->counts.dropped;
}

absl::Status ControlSocket::setKeys(FleetKeys keys)
{
    if (keys.empty() != state_->keys.empty())
        return makeError(ErrorKind::InvalidSettings, "keys cannot be added to or removed from a running process; restart it");
    bool const firstChanged = !keys.empty() && keys.front().controlSecret != state_->keys.front().controlSecret;
    state_->keys = std::move(keys);
    if (!firstChanged)
        return absl::OkStatus();
    state_->closeRouter();
    state_->peers.clear();
    state_->rebindPending = true;
    state_->reopenRouter();
    return absl::OkStatus();
}

void ControlSocket::tick(TimePoint now)
{
    if (state_->rebindPending)
        state_->reopenRouter();
    if (state_->authenticator)
        state_->authenticate();
    state_->drainRouter();
    if (state_->routerMonitor)
        state_->counts.refusedPeers += state_->routerMonitor->countFailures(false);
    for (std::map<Endpoint, Peer>::iterator peer = state_->peers.begin(); peer != state_->peers.end();) {
        if (now - peer->second.lastUsed > idleTimeout) {
            peer = state_->peers.erase(peer);
            continue;
        }
        state_->retryRefused(peer->first, peer->second, now);
        ++peer;
    }
}

void ControlSocket::stop()
{
    state_->closeRouter();
    state_->peers.clear();
    state_->authenticatorWatcher.reset();
    state_->authenticator.reset();
    // Closing the context blocks until queued messages are sent or the linger timeout expires.
    state_->context.close();
}

ControlTransportCounts const& ControlSocket::counts() const noexcept
{
    return state_->counts;
}

} // namespace plantaindrift
