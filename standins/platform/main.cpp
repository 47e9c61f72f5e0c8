#include "platform/PlatformServer.h"

#include <asio/signal_set.hpp>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "address and port to listen on; port 0 takes a free one");
DEFINE_uint32(lifetime_s, 0, "seconds after which the process ends by itself; 0 means never");

namespace {

constexpr int usageError = 2;
constexpr std::string_view anyPort = ":0";

// Port 0 is not an endpoint of the product, but here it stands for a free port.
std::optional<plantaindrift::Endpoint> parseListen(std::string_view text)
{
    if (!text.ends_with(anyPort))
        return plantaindrift::parseEndpoint(text);
    std::optional<std::uint32_t> const address = plantaindrift::parseAddress(text.substr(0, text.size() - anyPort.size()));
    if (!address)
        return std::nullopt;
    return plantaindrift::Endpoint { *address, 0 };
}

int run(plantaindrift::Endpoint listen)
{
    asio::io_context context;
    plantaindrift::standin::PlatformServer server(context, listen, [listen](std::uint16_t port) {
        std::cout << "event=listening address=" << plantaindrift::formatEndpoint({ listen.address, port }) << std::endl; // NOLINT(performance-avoid-endl): readers of a pipe wait for this line
    });
    server.start();
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&server](asio::error_code const&, int) { server.stop(); });
    asio::steady_timer lifetime(context);
    if (FLAGS_lifetime_s > 0) {
        lifetime.expires_after(std::chrono::seconds(FLAGS_lifetime_s));
        lifetime.async_wait([&server](asio::error_code const&) { server.stop(); });
    }
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in of the platform's object API, for tests and the demo");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::optional<plantaindrift::Endpoint> const listen = parseListen(FLAGS_listen);
    if (!listen) {
        std::cerr << "event=bad_flag flag=listen remedy=\"use A.B.C.D:PORT\"\n";
        return usageError;
    }
    try {
        return run(*listen);
    } catch (std::exception const& problem) {
        std::cerr << "event=failed problem=\"" << problem.what() << "\" remedy=\"choose another --listen address\"\n";
        return 1;
    }
}
