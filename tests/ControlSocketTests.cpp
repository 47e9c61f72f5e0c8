// Guards against control messages from processes without a key, and against messages lost while keys rotate.

#include "runtime/ControlSocket.h"

#include <boost/test/unit_test.hpp>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <optional>
#include <string>
#include <unistd.h>
#include <vector>
#include <zmq.hpp>

using namespace plantaindrift;

namespace {

constexpr std::uint32_t loopback = 0x7F000001;

Endpoint freeEndpoint(asio::io_context& loop)
{
    asio::ip::tcp::acceptor acceptor(loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return { loopback, acceptor.local_endpoint().port() };
}

FleetKeys makeKeys(std::vector<std::string> const& texts)
{
    std::string const path = (std::filesystem::temp_directory_path() / ("plantaindrift-control-" + std::to_string(::getpid()) + ".toml")).string();
    std::ofstream stream(path);
    for (std::string const& text : texts)
        stream << text;
    stream.close();
    absl::StatusOr<FleetKeys> const keys = readKeys(path);
    std::filesystem::remove(path);
    BOOST_REQUIRE_MESSAGE(keys.ok(), keys.status().message());
    return *keys;
}

// Control socket that records what it receives.
struct Node {
    Node(asio::io_context& loop, FleetKeys keys)
        : Node(loop, std::move(keys), freeEndpoint(loop))
    {
    }

    Node(asio::io_context& loop, FleetKeys keys, Endpoint at)
        : endpoint(at)
        , socket(loop, endpoint, std::move(keys), [this](Endpoint from, std::span<std::byte const> bytes) { take(from, bytes); })
    {
        BOOST_REQUIRE(socket.start().ok());
    }

    void take(Endpoint from, std::span<std::byte const> bytes)
    {
        lastFrom = from;
        messages.emplace_back(reinterpret_cast<char const*>(bytes.data()), bytes.size());
    }

    Endpoint endpoint;
    Endpoint lastFrom;
    std::vector<std::string> messages;
    ControlSocket socket;
};

// Runs the event loop until the condition holds; the time limit only ends a failing test.
bool runUntil(
    asio::io_context& loop, std::vector<Node*> const& nodes, std::function<bool()> const& condition, std::function<void()> const& everyTick = [] {})
{
    constexpr int maximumTicks = 1200;
    for (int tick = 0; tick < maximumTicks && !condition(); ++tick) {
        everyTick();
        loop.restart();
        loop.run_for(std::chrono::milliseconds(50));
        for (Node* const node : nodes)
            node->socket.tick(std::chrono::steady_clock::now());
    }
    return condition();
}

bool exchanges(asio::io_context& loop, Node& sender, Node& receiver, std::string const& text)
{
    // Messages sent while a connection is being reopened may be lost, as heartbeats may; later ones arrive.
    std::function<bool()> const arrived = [&receiver, &text] { return std::find(receiver.messages.begin(), receiver.messages.end(), text) != receiver.messages.end(); };
    return runUntil(loop, { &sender, &receiver }, arrived, [&sender, &receiver, &text] { sender.socket.send(receiver.endpoint, text); });
}

} // namespace

BOOST_AUTO_TEST_CASE(MessagesArriveWithTheSendersEndpoint)
{
    asio::io_context loop;
    FleetKeys const keys = makeKeys({ generateKeyText(1) });
    Node first(loop, keys);
    Node second(loop, keys);
    first.socket.send(second.endpoint, std::string("a\0b", 3));
    BOOST_REQUIRE(runUntil(loop, { &first, &second }, [&second] { return !second.messages.empty(); }));
    BOOST_TEST(second.messages.front() == std::string("a\0b", 3));
    BOOST_TEST((second.lastFrom == first.endpoint));
    BOOST_TEST(exchanges(loop, second, first, "reply"));
}

BOOST_AUTO_TEST_CASE(InsecureProcessesExchangeMessages)
{
    asio::io_context loop;
    Node first(loop, {});
    Node second(loop, {});
    BOOST_TEST(exchanges(loop, first, second, "hello"));
}

BOOST_AUTO_TEST_CASE(APeerWithoutKeysIsRefusedAndCounted)
{
    asio::io_context loop;
    FleetKeys const keys = makeKeys({ generateKeyText(1) });
    Node server(loop, keys);
    Node plain(loop, {});
    Node member(loop, keys);
    // If the peer detects the mismatch first, it aborts before the server can refuse it, so it has to try several times.
    plain.socket.send(server.endpoint, "foreign");
    BOOST_REQUIRE(runUntil(loop, { &server, &plain }, [&server] { return server.socket.counts().refusedPeers > 0; }));
    // A later message that arrives from a member shows that the foreign one was refused and not just late.
    BOOST_REQUIRE(exchanges(loop, member, server, "member"));
    for (std::string const& message : server.messages)
        BOOST_TEST(message == "member");
}

// ZeroMQ never retries a connection whose peer used another security mechanism, so the transport has to reopen it.
BOOST_AUTO_TEST_CASE(ARefusalDoesNotOutliveTheProcessThatRefused)
{
    asio::io_context loop;
    Endpoint const shared = freeEndpoint(loop);
    Node plain(loop, {});
    std::optional<Node> server(std::in_place, loop, makeKeys({ generateKeyText(1) }), shared);
    for (int tick = 0; tick < 20; ++tick) {
        plain.socket.send(shared, "refused");
        loop.restart();
        loop.run_for(std::chrono::milliseconds(50));
        server->socket.tick(std::chrono::steady_clock::now());
    }
    server.reset();
    server.emplace(loop, FleetKeys {}, shared);
    BOOST_TEST(exchanges(loop, plain, *server, "accepted"));
}

BOOST_AUTO_TEST_CASE(APeerWithAnotherFleetsKeyIsRefusedAndCounted)
{
    asio::io_context loop;
    FleetKeys const keys = makeKeys({ generateKeyText(1) });
    Node server(loop, keys);
    Node member(loop, keys);
    // This peer knows the server's public key, but its own key pair is not accepted by the server.
    FleetKey mixed = keys.front();
    FleetKeys const own = makeKeys({ generateKeyText(1) });
    zmq::context_t context;
    zmq::socket_t foreign(context, zmq::socket_type::dealer);
    foreign.set(zmq::sockopt::linger, 0);
    foreign.set(zmq::sockopt::routing_id, "127.0.0.1:9");
    foreign.set(zmq::sockopt::curve_serverkey, mixed.controlPublic);
    foreign.set(zmq::sockopt::curve_publickey, own.front().controlPublic);
    foreign.set(zmq::sockopt::curve_secretkey, own.front().controlSecret);
    foreign.connect("tcp://" + formatEndpoint(server.endpoint));
    foreign.send(zmq::str_buffer("foreign"), zmq::send_flags::dontwait);
    BOOST_REQUIRE(runUntil(loop, { &server }, [&server] { return server.socket.counts().refusedPeers > 0; }));
    BOOST_REQUIRE(exchanges(loop, member, server, "member"));
    for (std::string const& message : server.messages)
        BOOST_TEST(message == "member");
}

// A sender whose identity is not an endpoint cannot be answered; it must not block other senders.
BOOST_AUTO_TEST_CASE(MalformedSendersAreCounted)
{
    asio::io_context loop;
    Node server(loop, {});
    Node member(loop, {});
    zmq::context_t context;
    zmq::socket_t odd(context, zmq::socket_type::dealer);
    odd.set(zmq::sockopt::linger, 0);
    odd.set(zmq::sockopt::routing_id, "nobody");
    odd.connect("tcp://" + formatEndpoint(server.endpoint));
    odd.send(zmq::str_buffer("text"), zmq::send_flags::none);
    BOOST_REQUIRE(runUntil(loop, { &server }, [&server] { return server.socket.counts().malformed > 0; }));
    BOOST_TEST(exchanges(loop, member, server, "member"));
}

// At every step of a key rotation, peers may be one step ahead or behind.
BOOST_AUTO_TEST_CASE(KeysRotateWhileProcessesAreAtDifferentSteps)
{
    asio::io_context loop;
    std::string const oldText = generateKeyText(1);
    std::string const newText = generateKeyText(2);
    std::vector<FleetKeys> const steps { makeKeys({ oldText }), makeKeys({ oldText, newText }), makeKeys({ newText, oldText }), makeKeys({ newText }) };
    Node first(loop, steps.front());
    Node second(loop, steps.front());
    BOOST_REQUIRE(exchanges(loop, first, second, "step 0"));
    for (std::size_t step = 1; step < steps.size(); ++step) {
        std::string const name = std::to_string(step);
        BOOST_REQUIRE(first.socket.setKeys(steps[step]).ok());
        BOOST_TEST(exchanges(loop, first, second, "ahead " + name));
        BOOST_TEST(exchanges(loop, second, first, "behind " + name));
        BOOST_REQUIRE(second.socket.setKeys(steps[step]).ok());
        BOOST_TEST(exchanges(loop, first, second, "same " + name));
        BOOST_TEST(exchanges(loop, second, first, "also same " + name));
    }
}

BOOST_AUTO_TEST_CASE(QueuesToAbsentPeersAreBounded)
{
    asio::io_context loop;
    Node sender(loop, {});
    Endpoint const absent = freeEndpoint(loop);
    constexpr int messages = 20000;
    for (int message = 0; message < messages; ++message)
        sender.socket.send(absent, "text");
    BOOST_TEST(sender.socket.counts().dropped > 0U);
    BOOST_TEST(sender.socket.counts().sent < 2000U);
}

BOOST_AUTO_TEST_CASE(ErrorNamesTheAddressInUse)
{
    asio::io_context loop;
    Node first(loop, {});
    ControlSocket second(loop, first.endpoint, {}, [](Endpoint, std::span<std::byte const>) {});
    std::string const message(second.start().message());
    BOOST_TEST(message.find(formatEndpoint(first.endpoint)) != std::string::npos, message);
}
