// Guards against an answer that a server sends a second time, late, and that is taken for the answer to the next
// request, and against answers that take all memory.
#include "plantaindrift/base/Error.h"
#include "plantaindrift/runtime/HttpClient.h"
#include "plantaindrift/runtime/HttpServer.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>

namespace {

using namespace plantaindrift;
using namespace std::chrono_literals;

constexpr int connectionCount = 3;

// Answers each request with its path. The answer is sent again when the next request arrives on the connection.
class RepeatingServer {
public:
    RepeatingServer()
        : acceptor_(loop_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , thread_([this] { run(); })
    {
    }

    ~RepeatingServer() { thread_.join(); }
    RepeatingServer(RepeatingServer const&) = delete;
    RepeatingServer& operator=(RepeatingServer const&) = delete;

    [[nodiscard]] std::string url() const { return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

private:
    asio::io_context loop_;
    asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;

    void run()
    {
        int served = 0;
        while (served < connectionCount) {
            asio::ip::tcp::socket connection(loop_);
            acceptor_.accept(connection);
            served += serve(connection);
        }
    }

    // Returns the number of requests.
    static int serve(asio::ip::tcp::socket& connection)
    {
        std::string received;
        std::string previous;
        asio::error_code error;
        for (int requests = 0;; ++requests) {
            std::size_t const bytes = asio::read_until(connection, asio::dynamic_buffer(received), "\r\n\r\n", error);
            if (error)
                return requests;
            std::string const path = received.substr(4, received.find(' ', 4) - 4);
            received.erase(0, bytes);
            std::string const answer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(path.size()) + "\r\n\r\n" + path;
            asio::write(connection, asio::buffer(previous + answer), error);
            previous = answer;
        }
    }
};

// True if a keepalive timer runs for a connection to the port.
bool hasKeepaliveTimer(std::uint16_t remotePort)
{
    constexpr std::string_view keepaliveTimer = "02:";
    std::ifstream table("/proc/self/net/tcp");
    std::string line;
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        std::string timer;
        fields >> number >> local >> remote >> state >> queues >> timer;
        std::size_t const colon = remote.find(':');
        bool const isRemote = colon != std::string::npos && std::strtoul(remote.c_str() + colon + 1, nullptr, 16) == remotePort;
        if (isRemote && timer.starts_with(keepaliveTimer))
            return true;
    }
    return false;
}

// Sends the head of an answer after a delay and its body in pieces; stops in the middle if it stalls.
class SlowServer {
public:
    static constexpr int pieces = 12;
    static constexpr std::chrono::milliseconds pause { 250 };

    explicit SlowServer(bool stalls, std::chrono::milliseconds headDelay = {})
        : acceptor_(loop_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , thread_([this, stalls, headDelay] { serve(stalls, headDelay); })
    {
    }

    ~SlowServer() { thread_.join(); }
    SlowServer(SlowServer const&) = delete;
    SlowServer& operator=(SlowServer const&) = delete;

    [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    [[nodiscard]] std::string url() const { return "http://127.0.0.1:" + std::to_string(port()) + '/'; }

private:
    asio::io_context loop_;
    asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;

    void serve(bool stalls, std::chrono::milliseconds headDelay)
    {
        asio::ip::tcp::socket connection(loop_);
        acceptor_.accept(connection);
        std::string received;
        asio::error_code error;
        asio::read_until(connection, asio::dynamic_buffer(received), "\r\n\r\n", error);
        std::this_thread::sleep_for(headDelay);
        asio::write(connection, asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(pieces) + "\r\n\r\n"), error);
        for (int piece = 0; piece < (stalls ? pieces / 2 : pieces); ++piece) {
            std::this_thread::sleep_for(pause);
            asio::write(connection, asio::buffer("x", 1), error);
        }
        // The client closes the connection when it has the answer, or gives up.
        asio::read_until(connection, asio::dynamic_buffer(received), "never sent", error);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(ARepeatedAnswerIsNotTakenForTheNext)
{
    RepeatingServer const server;
    HttpClient client;
    for (std::string const path : { "/first", "/second", "/third" }) {
        absl::StatusOr<HttpResult> const result = client.send("GET", server.url() + path, "", 5s);
        BOOST_TEST_REQUIRE(result.ok());
        BOOST_TEST(result->body == path);
    }
}

// A response was kept whatever its size, which can take all memory of a small machine.
BOOST_AUTO_TEST_CASE(AResponseThatIsTooLargeIsRefused)
{
    asio::io_context loop;
    std::size_t bytes = 0;
    constexpr Endpoint address { 0x7F000001U, 18742 };
    HttpServer server(loop, address, [&bytes](HttpRequest const&) { return HttpAnswer { 200, std::string(bytes, ' ') }; });
    BOOST_TEST_REQUIRE(server.start().ok());
    std::thread thread([&loop] { loop.run(); });
    HttpClient client;
    bytes = maximumResponseBytes;
    absl::StatusOr<HttpResult> const largest = client.send("GET", "http://127.0.0.1:18742/", "", 10s);
    bytes = maximumResponseBytes + 1;
    absl::StatusOr<HttpResult> const tooLarge = client.send("GET", "http://127.0.0.1:18742/", "", 10s);
    asio::post(loop, [&server, &loop] { server.stop(); loop.stop(); });
    thread.join();
    BOOST_TEST_REQUIRE(largest.ok());
    BOOST_TEST(largest->body.size() == maximumResponseBytes);
    BOOST_TEST(!tooLarge.ok());
}

// A large configuration on a full link takes longer than a store that is silent may.
BOOST_AUTO_TEST_CASE(ASlowAnswerIsReadAsLongAsItArrives)
{
    SlowServer const server(false);
    absl::StatusOr<HttpResult> const result = HttpClient().send("GET", server.url(), "", 20s, nullptr, 1s);
    BOOST_TEST_REQUIRE(result.ok());
    BOOST_TEST(result->body.size() == static_cast<std::size_t>(SlowServer::pieces));
}

// A response that kept arriving was given up if its head came in a later second of the clock than the request.
BOOST_AUTO_TEST_CASE(ASlowAnswerIsReadWheneverItsHeadArrives)
{
    constexpr std::chrono::milliseconds headDelay { 300 };
    SlowServer const server(false, headDelay);
    std::this_thread::sleep_for(2s - std::chrono::steady_clock::now().time_since_epoch() % 1s - headDelay / 3);
    absl::StatusOr<HttpResult> const result = HttpClient().send("GET", server.url(), "", 20s, nullptr, 1s);
    BOOST_TEST_REQUIRE(result.ok());
    BOOST_TEST(result->body.size() == static_cast<std::size_t>(SlowServer::pieces));
}

// The limit counts from the last byte that arrived.
BOOST_AUTO_TEST_CASE(AnAnswerThatStallsIsGivenUpNoEarlierThanAskedFor)
{
    SlowServer const server(true);
    constexpr std::chrono::seconds stall { 2 };
    std::chrono::steady_clock::time_point const started = std::chrono::steady_clock::now();
    absl::StatusOr<HttpResult> const result = HttpClient().send("GET", server.url(), "", 3600s, nullptr, stall);
    BOOST_TEST_REQUIRE(!result.ok());
    BOOST_TEST((errorKind(result.status()) == ErrorKind::DeadlinePassed));
    BOOST_TEST((std::chrono::steady_clock::now() - started >= stall + SlowServer::pieces / 2 * SlowServer::pause));
}

BOOST_AUTO_TEST_CASE(AnAnswerThatStallsIsGivenUpBeforeTheTimeout)
{
    SlowServer const server(true);
    absl::StatusOr<HttpResult> const result = HttpClient().send("GET", server.url(), "", 3600s, nullptr, 1s);
    BOOST_TEST(!result.ok());
}

// A watch waited on a connection that had gone silent until its timeout, and missed the changes meanwhile.
BOOST_AUTO_TEST_CASE(AWaitingConnectionIsProbed)
{
    SlowServer const server(true);
    std::atomic<bool> isDone { false };
    std::thread client([&] {
        (void)HttpClient().send("GET", server.url(), "", 20s, nullptr, 5s);
        isDone = true;
    });
    bool isProbed = false;
    while (!isDone && !isProbed) {
        isProbed = hasKeepaliveTimer(server.port());
        std::this_thread::sleep_for(10ms);
    }
    client.join();
    BOOST_TEST(isProbed);
}
