#pragma once

#include "plantaindrift/runtime/HttpServer.h"
#include "plantaindrift/runtime/Log.h"
#include "plantaindrift/runtime/UdpSocket.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace plantaindrift::standins {

/// \brief Loop, tick and end of a stand-in process.
class Process {
public:
    asio::io_context loop;

    /// \brief Runs until SIGTERM; calls `tick` every `interval`.
    void run(std::chrono::milliseconds interval, std::function<void(TimePoint)> tick)
    {
        tick_ = std::move(tick);
        interval_ = interval;
        asio::signal_set signals(loop, SIGTERM, SIGINT);
        signals.async_wait([this](asio::error_code const&, int) { loop.stop(); });
        wait();
        loop.run();
    }

private:
    asio::steady_timer timer_ { loop };
    std::function<void(TimePoint)> tick_;
    std::chrono::milliseconds interval_ { 0 };

    void wait()
    {
        timer_.expires_after(interval_);
        timer_.async_wait([this](asio::error_code const& error) {
            if (error)
                return;
            tick_(std::chrono::steady_clock::now());
            wait();
        });
    }
};

/// \brief Ends the process with usage code 2 and a message.
[[noreturn]] inline void failUsage(std::string const& message)
{
    std::cerr << message << '\n';
    std::exit(2);
}

/// \brief Ends the process with code 2 if a socket cannot be opened.
inline void requireOk(absl::Status const& status)
{
    if (!status.ok())
        failUsage(std::string(status.message()));
}

inline Endpoint requireEndpoint(std::string const& flag, std::string const& text)
{
    std::optional<Endpoint> const endpoint = parseEndpoint(text);
    if (!endpoint)
        failUsage("--" + flag + "=" + text + " is no IPv4 address and port; give A.B.C.D:PORT");
    return *endpoint;
}

inline std::vector<std::string> splitList(std::string const& text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, separator)) {
        if (!part.empty())
            parts.push_back(part);
    }
    return parts;
}

/// \brief Prints a flat JSON object as one key=value line.
inline void printSummary(std::string const& event, nlohmann::json const& counts)
{
    std::cout << "event=" << event;
    for (nlohmann::json::const_iterator count = counts.begin(); count != counts.end(); ++count)
        std::cout << ' ' << count.key() << '=' << escapeLogValue(count.value().is_string() ? count.value().get<std::string>() : count.value().dump());
    std::cout << std::endl;
}

inline HttpAnswer jsonAnswer(nlohmann::json const& json)
{
    return { 200, json.dump() + "\n", "application/json" };
}

} // namespace plantaindrift::standins
