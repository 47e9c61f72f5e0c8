// Guards against planned stops that interrupt flows: an entry that stops forwarding too early, and an agent that exits
// while its target still has open flows.

#include "plantaindrift/configuration/ChangeLog.h"
#include "plantaindrift/packet/Encapsulation.h"
#include "plantaindrift/runtime/HttpClient.h"
#include "plantaindrift/runtime/HttpServer.h"
#include "plantaindrift/store/HttpObjectStore.h"
#include "support/PlatformProcess.h"

#include <boost/test/unit_test.hpp>

#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/post.hpp>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <tins/ip.h>
#include <tins/tcp.h>
#include <unistd.h>
#include <vector>

using namespace plantaindrift;

namespace {

constexpr std::chrono::seconds generous { 60 };

// A loopback port that is free for TCP and UDP.
Endpoint freeEndpoint()
{
    static std::set<std::uint16_t> taken;
    constexpr std::uint32_t loopback = 0x7F000001;
    asio::io_context loop;
    for (;;) {
        asio::ip::tcp::acceptor const acceptor(loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        std::uint16_t const port = acceptor.local_endpoint().port();
        asio::ip::udp::socket udp(loop, asio::ip::udp::v4());
        asio::error_code error;
        udp.bind(asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), port), error);
        if (!error && taken.insert(port).second)
            return { loopback, port };
    }
}

bool waitFor(std::function<bool()> const& condition)
{
    std::chrono::steady_clock::time_point const end = std::chrono::steady_clock::now() + generous;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

long statusOf(Endpoint http, std::string const& path)
{
    absl::StatusOr<HttpResult> const result = sendHttp("GET", "http://" + formatEndpoint(http) + path, "", std::chrono::seconds(2));
    return result.ok() ? result->status : 0;
}

std::string bodyOf(Endpoint http, std::string const& path)
{
    absl::StatusOr<HttpResult> const result = sendHttp("GET", "http://" + formatEndpoint(http) + path, "", generous);
    return result.ok() ? result->body : "";
}

// HTTP endpoints of a target; the test sets the list of open flows.
class FakeTarget {
public:
    FakeTarget()
        : http(freeEndpoint())
        , data(freeEndpoint())
        , server_(loop_, http, [this](HttpRequest const& request) { return answer(request); })
    {
        BOOST_REQUIRE(server_.start().ok());
        thread_ = std::thread([this] { loop_.run(); });
    }
    FakeTarget(FakeTarget const&) = delete;
    FakeTarget& operator=(FakeTarget const&) = delete;
    ~FakeTarget()
    {
        asio::post(loop_, [this] {
            server_.stop();
            loop_.stop();
        });
        thread_.join();
    }

    std::atomic<bool> hasFlow { false };
    std::atomic<int> listsRead { 0 };
    Endpoint http;
    Endpoint data;

private:
    asio::io_context loop_;
    HttpServer server_;
    std::thread thread_;

    HttpAnswer answer(HttpRequest const& request)
    {
        if (request.path == "/load")
            return { 200, R"({"healthy":true,"busy_slots":0,"open_connections":1,"uptime_seconds":100})" };
        ++listsRead;
        return { 200, hasFlow ? R"([{"source":"198.51.100.1:10000","destination":"203.0.113.10:80","protocol":"tcp"}])" : "[]" };
    }
};

// Runs a platform, one entry and one agent as processes, and a target inside the test process.
class System {
public:
    explicit System(std::string const& agentSettings)
        : folder_(std::filesystem::temp_directory_path() / ("plantaindrift-stop-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(folder_);
        declareService();
        startEntry();
        startAgent(agentSettings);
        BOOST_REQUIRE(waitFor([this] { return statusOf(entryHttp, "/readyz") == 200 && statusOf(agentHttp, "/readyz") == 200; }));
    }
    System(System const&) = delete;
    System& operator=(System const&) = delete;
    ~System()
    {
        agent.reset();
        entry.reset();
        std::filesystem::remove_all(folder_);
    }

    test::PlatformProcess platform;
    FakeTarget target;
    Endpoint entryData { freeEndpoint() };
    Endpoint entryControl { freeEndpoint() };
    Endpoint entryHttp { freeEndpoint() };
    Endpoint agentHttp { freeEndpoint() };
    std::unique_ptr<test::ChildProcess> entry;
    std::unique_ptr<test::ChildProcess> agent;

    [[nodiscard]] std::string agentsInState(std::string const& state) const
    {
        std::string const text = bodyOf(entryHttp, "/metrics");
        std::string const start = "plantaindrift_members{role=\"agent\",state=\"" + state + "\"} ";
        std::size_t const position = text.find(start);
        return position == std::string::npos ? "" : text.substr(position + start.size(), 1);
    }

private:
    std::filesystem::path folder_;

    void declareService()
    {
        ConfigurationChange change;
        change.position = 1;
        change.operationId = "operation";
        change.author = "test";
        change.reason = "test";
        Service service;
        service.name = "rota-desk";
        service.addresses = { { *parseEndpoint("203.0.113.10:80"), Protocol::Tcp } };
        service.targets = { "*" };
        change.services = { { service.name, std::nullopt, service } };
        HttpObjectStoreOptions options;
        options.url = platform.url();
        absl::StatusOr<std::uint64_t> const written = makeHttpObjectStore(options)->create(changeKey(1), encodeChange(change));
        BOOST_REQUIRE_MESSAGE(written.ok(), written.status().message());
    }

    std::string writeSettings(std::string const& name, Endpoint data, Endpoint control, Endpoint http, std::string const& more)
    {
        std::string path = folder_ / (name + ".toml");
        std::ofstream(path) << "name = \"" << name << "\"\ndata_centre = \"kegalle\"\ninsecure = true\ndata = \"" << formatEndpoint(data) << "\"\ncontrol = \"" << formatEndpoint(control)
                            << "\"\nhttp = \"" << formatEndpoint(http) << "\"\n"
                            << more << "[platform]\nurl = \"" << platform.url() << "\"\npoll_s = 1\n";
        return path;
    }

    void startEntry()
    {
        std::string const path = writeSettings("entry-1", entryData, entryControl, entryHttp, "forward_after_stop_ms = 3000\n");
        entry = std::make_unique<test::ChildProcess>(std::vector<std::string> { std::string(PLANTAINDRIFT_BINARY_DIR) + "/bin/plantaindrift-entry", "--settings=" + path });
    }

    void startAgent(std::string const& more)
    {
        std::string const text = "service = \"rota-desk\"\nentries = [\"" + formatEndpoint(entryControl) + "\"]\n" + more + "[target]\ndeliver_to = \"" + formatEndpoint(target.data) + "\"\nreturn_to = \"127.0.0.1:9\"\nload_url = \"http://"
            + formatEndpoint(target.http) + "/load\"\nflows_url = \"http://" + formatEndpoint(target.http) + "/flows\"\nflows_interval_ms = 200\n";
        std::string const path = writeSettings("target-1", freeEndpoint(), freeEndpoint(), agentHttp, text);
        agent = std::make_unique<test::ChildProcess>(std::vector<std::string> { std::string(PLANTAINDRIFT_BINARY_DIR) + "/bin/plantaindrift-agent", "--settings=" + path });
    }
};

// Sends first packets through the entry until one reaches the target's decapsulation port.
bool reachesTarget(System const& system, std::uint16_t firstPort)
{
    asio::io_context loop;
    asio::ip::udp::socket target(loop, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), system.target.data.port));
    target.non_blocking(true);
    asio::ip::udp::socket fabric(loop, asio::ip::udp::v4());
    std::uint16_t port = firstPort;
    return waitFor([&] {
        Tins::TCP tcp(80, port++);
        tcp.flags(Tins::TCP::SYN);
        Tins::IP packet = Tins::IP("203.0.113.10", "198.51.100.1") / tcp;
        std::vector<std::uint8_t> const inner = packet.serialize();
        std::array<std::byte, maximumHeaderBytes> header {};
        std::size_t const headerBytes = writePlainHeader(header);
        std::array<asio::const_buffer, 2> const parts { asio::buffer(header.data(), headerBytes), asio::buffer(inner) };
        fabric.send_to(parts, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), system.entryData.port));
        std::array<char, 2048> received {};
        asio::error_code error;
        return target.receive(asio::buffer(received), 0, error) > 0;
    });
}

} // namespace

BOOST_AUTO_TEST_CASE(AnEntryForwardsWhileTheFabricStopsUsingIt)
{
    System system("on_stop = \"handover\"\n");
    BOOST_REQUIRE(reachesTarget(system, 20000));
    system.entry->send(SIGTERM);
    BOOST_REQUIRE(waitFor([&system] { return statusOf(system.entryHttp, "/readyz") == 503; }));
    BOOST_TEST(statusOf(system.entryHttp, "/healthz") == 200);
    BOOST_TEST(reachesTarget(system, 40000));
    BOOST_TEST(system.entry->isRunning());
    test::ChildProcess::Result const result = system.entry->finish(generous);
    BOOST_TEST(result.exitCode == 0);
    BOOST_TEST(result.output.find("event=left") != std::string::npos, result.output);
}

BOOST_AUTO_TEST_CASE(ADrainingAgentWaitsForItsFlows)
{
    System system("on_stop = \"drain\"\n");
    system.target.hasFlow = true;
    BOOST_REQUIRE(waitFor([&system] { return bodyOf(system.agentHttp, "/metrics").find("plantaindrift_agent_flows{service=\"rota-desk\"} 1\n") != std::string::npos; }));
    system.agent->send(SIGTERM);
    BOOST_REQUIRE(waitFor([&system] { return statusOf(system.agentHttp, "/readyz") == 503; }));
    BOOST_TEST(waitFor([&system] { return system.agentsInState("draining") == "1"; }));
    int const listsBefore = system.target.listsRead;
    BOOST_REQUIRE(waitFor([&system, listsBefore] { return system.target.listsRead > listsBefore + 3; }));
    BOOST_REQUIRE(system.agent->isRunning());
    system.target.hasFlow = false;
    test::ChildProcess::Result const result = system.agent->finish(generous);
    BOOST_TEST(result.exitCode == 0, result.output + result.errors);
    BOOST_TEST(waitFor([&system] { return system.agentsInState("left") == "1"; }));
}

BOOST_AUTO_TEST_CASE(TheDrainDeadlineEndsAnAgentWithItsOwnCode)
{
    System system("on_stop = \"drain\"\ndrain_deadline_s = 1\n");
    system.target.hasFlow = true;
    BOOST_REQUIRE(waitFor([&system] { return bodyOf(system.agentHttp, "/metrics").find("plantaindrift_agent_flows{service=\"rota-desk\"} 1\n") != std::string::npos; }));
    system.agent->send(SIGTERM);
    test::ChildProcess::Result const result = system.agent->finish(generous);
    BOOST_TEST(result.exitCode == 4, result.output + result.errors);
    BOOST_TEST(result.errors.find("raise drain_deadline_s") != std::string::npos, result.errors);
}

// The target keeps serving under the same name, so entries must not remove it.
BOOST_AUTO_TEST_CASE(AHandoverEndsAtOnceAndLeavesTheTargetInPlace)
{
    System system("on_stop = \"handover\"\n");
    system.target.hasFlow = true;
    BOOST_REQUIRE(waitFor([&system] { return system.agentsInState("active") == "1"; }));
    system.agent->send(SIGTERM);
    test::ChildProcess::Result const result = system.agent->finish(generous);
    BOOST_TEST(result.exitCode == 0, result.output + result.errors);
    BOOST_TEST(result.output.find("event=handover") != std::string::npos, result.output);
    BOOST_TEST(system.agentsInState("left") == "0");
    BOOST_TEST(system.agentsInState("draining") == "0");
}
