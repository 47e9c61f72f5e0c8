// Guards against requests of any size that are kept in memory before a handler sees them.
#include "plantaindrift/runtime/HttpClient.h"
#include "plantaindrift/runtime/HttpServer.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

namespace {

using namespace plantaindrift;
using namespace std::chrono_literals;

constexpr Endpoint serverAddress { 0x7F000001U, 18741 };
std::string const url = "http://127.0.0.1:18741/";

// Answers every request with the size of its body.
class SizeServer {
public:
    SizeServer()
        : server_(loop_, serverAddress, [this](HttpRequest const& request) { return answer(request); })
    {
        BOOST_TEST_REQUIRE(server_.start().ok());
        thread_ = std::thread([this] { loop_.run(); });
    }

    ~SizeServer()
    {
        asio::post(loop_, [this] { server_.stop(); loop_.stop(); });
        thread_.join();
    }

    SizeServer(SizeServer const&) = delete;
    SizeServer& operator=(SizeServer const&) = delete;

    [[nodiscard]] int handled() const { return handled_; }

private:
    asio::io_context loop_;
    HttpServer server_;
    std::thread thread_;
    std::atomic<int> handled_ { 0 };

    HttpAnswer answer(HttpRequest const& request)
    {
        ++handled_;
        return { 200, std::to_string(request.body.size()) };
    }
};

} // namespace

// A request body of any size was kept: one request of 64 MB takes all memory of a small machine.
BOOST_AUTO_TEST_CASE(ALargeRequestIsRefused)
{
    SizeServer const server;
    HttpClient client;
    std::string const small(200'000, ' ');
    BOOST_TEST(client.send("PUT", url, small, 5s).value().body == "200000");
    absl::StatusOr<HttpResult> const large = client.send("PUT", url, std::string(300'000, ' '), 5s);
    BOOST_TEST((!large.ok() || large->status >= 400));
    absl::StatusOr<HttpResult> const longPath = client.send("GET", url + std::string(70'000, 'a'), "", 5s);
    BOOST_TEST((!longPath.ok() || longPath->status >= 400));
    BOOST_TEST(server.handled() == 1);
    BOOST_TEST(client.send("GET", url, "", 5s).value().body == "0");
}
