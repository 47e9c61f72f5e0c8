// Guards against metrics that a Prometheus collector cannot parse, and against wrong HTTP responses.

#include "plantaindrift/base/Error.h"
#include "plantaindrift/runtime/HttpClient.h"
#include "plantaindrift/runtime/HttpServer.h"
#include "runtime/MetricsPage.h"

#include <boost/test/unit_test.hpp>

#include <asio/executor_work_guard.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <chrono>
#include <string>
#include <thread>

using namespace plantaindrift;

namespace {

constexpr std::chrono::seconds generous { 30 };

// Server on a separate thread, because the client blocks.
class ServerThread {
public:
    explicit ServerThread(HttpServer::Handler handler)
        : endpoint_(freeEndpoint())
        , server_(loop_, endpoint_, std::move(handler))
    {
        BOOST_REQUIRE(server_.start().ok());
        thread_ = std::thread([this] { loop_.run(); });
    }
    ServerThread(ServerThread const&) = delete;
    ServerThread& operator=(ServerThread const&) = delete;
    ~ServerThread()
    {
        asio::post(loop_, [this] {
            server_.stop();
            guard_.reset();
            loop_.stop();
        });
        thread_.join();
    }

    [[nodiscard]] std::string url(std::string const& path) const { return "http://" + formatEndpoint(endpoint_) + path; }
    [[nodiscard]] Endpoint endpoint() const noexcept { return endpoint_; }

private:
    asio::io_context loop_;
    asio::executor_work_guard<asio::io_context::executor_type> guard_ { loop_.get_executor() };
    Endpoint endpoint_;
    HttpServer server_;
    std::thread thread_;

    Endpoint freeEndpoint()
    {
        constexpr std::uint32_t loopback = 0x7F000001;
        asio::ip::tcp::acceptor acceptor(loop_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        return { loopback, acceptor.local_endpoint().port() };
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(AFamilyIsPrintedOnceWithAllItsValues)
{
    MetricsPage page;
    page.addCounter("packets_total", "Packets.", { { "outcome", "forward" } }, 3);
    page.addGauge("flows", "Open flows.", {}, 2);
    page.addCounter("packets_total", "Packets.", { { "outcome", "drop \"x\"\n" } }, 4);
    std::string const text = page.text();
    BOOST_TEST(text == "# HELP flows Open flows.\n# TYPE flows gauge\nflows 2\n"
                       "# HELP packets_total Packets.\n# TYPE packets_total counter\n"
                       "packets_total{outcome=\"forward\"} 3\npackets_total{outcome=\"drop \\\"x\\\"\\n\"} 4\n");
}

// A collector rejects a histogram whose buckets are not cumulative or that lacks the +Inf bucket.
BOOST_AUTO_TEST_CASE(AHistogramIsPrintedWithCumulativeBuckets)
{
    LatencyHistogram histogram;
    histogram.observe(std::chrono::milliseconds(40));
    histogram.observe(std::chrono::milliseconds(40));
    histogram.observe(std::chrono::seconds(20));
    MetricsPage page;
    page.addHistogram("wait_seconds", "Waits.", { { "service", "water" } }, histogram);
    std::string const text = page.text();
    BOOST_TEST(text.find("# TYPE wait_seconds histogram\n") != std::string::npos, text);
    BOOST_TEST(text.find("wait_seconds_bucket{service=\"water\",le=\"0.02\"} 0\n") != std::string::npos, text);
    BOOST_TEST(text.find("wait_seconds_bucket{service=\"water\",le=\"0.05\"} 2\n") != std::string::npos, text);
    BOOST_TEST(text.find("wait_seconds_bucket{service=\"water\",le=\"+Inf\"} 3\n") != std::string::npos, text);
    BOOST_TEST(text.find("wait_seconds_count{service=\"water\"} 3\n") != std::string::npos, text);
    BOOST_TEST(text.find("wait_seconds_sum{service=\"water\"} 20.08\n") != std::string::npos, text);
}

BOOST_AUTO_TEST_CASE(ProcessMetricsArePresent)
{
    MetricsPage page;
    page.addProcess();
    std::string const text = page.text();
    BOOST_TEST(text.find("# TYPE process_cpu_seconds_total counter") != std::string::npos);
    BOOST_TEST(text.find("\nprocess_resident_memory_bytes ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(RequestsReachTheHandler)
{
    ServerThread const server([](HttpRequest const& request) {
        return HttpAnswer { request.path == "/missing" ? 404 : 200, request.method + '|' + request.path + '|' + request.query + '|' + request.body };
    });
    absl::StatusOr<HttpResult> const get = sendHttp("GET", server.url("/a/b?c=d&e"), "", generous);
    BOOST_REQUIRE_MESSAGE(get.ok(), get.status().message());
    BOOST_TEST(get->status == 200);
    BOOST_TEST(get->body == "GET|/a/b|c=d&e|");
    absl::StatusOr<HttpResult> const put = sendHttp("PUT", server.url("/x"), std::string(100000, 'y'), generous);
    BOOST_REQUIRE(put.ok());
    BOOST_TEST(put->body == "PUT|/x||" + std::string(100000, 'y'));
    absl::StatusOr<HttpResult> const missing = sendHttp("GET", server.url("/missing"), "", generous);
    BOOST_REQUIRE(missing.ok());
    BOOST_TEST(missing->status == 404);
}

BOOST_AUTO_TEST_CASE(AnAbsentServerIsAnErrorThatNamesIt)
{
    std::string url;
    {
        ServerThread const server([](HttpRequest const&) { return HttpAnswer {}; });
        url = server.url("/");
    }
    absl::Status const status = sendHttp("GET", url, "", generous).status();
    BOOST_TEST((errorKind(status) == ErrorKind::Refused));
    BOOST_TEST(std::string(status.message()).find(url) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ErrorNamesTheAddressInUse)
{
    ServerThread const first([](HttpRequest const&) { return HttpAnswer {}; });
    asio::io_context loop;
    HttpServer second(loop, first.endpoint(), [](HttpRequest const&) { return HttpAnswer {}; });
    absl::Status const status = second.start();
    BOOST_TEST(exitCode(status) == 2);
    BOOST_TEST(std::string(status.message()).find(formatEndpoint(first.endpoint())) != std::string::npos);
}
