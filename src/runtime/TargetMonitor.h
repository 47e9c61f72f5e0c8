#pragma once

#include "plantaindrift/agent/AgentPipeline.h"
#include "runtime/FlowSource.h"

#include <asio/io_context.hpp>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace plantaindrift {

/// \brief Response of a target's load endpoint.
struct TargetReport {
    LoadReport load;
    std::optional<std::chrono::seconds> uptime; ///< time since the target started; empty if not reported
};

/// \brief Parses {"healthy", "busy_slots", "open_connections", "uptime_seconds"}; errors are InvalidMessage.
[[nodiscard]] absl::StatusOr<TargetReport> parseTargetReport(std::string_view json);

/// \brief Requests a load report from a target; blocking.
[[nodiscard]] absl::StatusOr<TargetReport> readTargetReport(std::string const& url, std::chrono::milliseconds timeout);

/// \brief Polls a target's load and its open flows on a separate thread and posts the results to the event loop.
class TargetMonitor {
public:
    struct Options {
        std::string loadUrl; ///< if empty, the load is not polled
        std::chrono::milliseconds loadInterval { 1000 };
        std::chrono::milliseconds flowsInterval { 10000 };
        std::chrono::milliseconds timeout { 1000 };
    };

    /// \brief Callbacks; all run on the event loop.
    struct Handlers {
        std::function<void(LoadReport const&)> load; ///< called with an unhealthy report if the target does not respond
        /// Open flows and the start time of the request; flows opened after that time may be missing in the list.
        std::function<void(std::vector<FlowKey> const&, TimePoint)> flows;
    };

    TargetMonitor(asio::io_context& loop, Options options, std::unique_ptr<FlowSource> source, Handlers handlers);
    ~TargetMonitor();
    TargetMonitor(TargetMonitor const&) = delete;
    TargetMonitor& operator=(TargetMonitor const&) = delete;

    void start();

    /// \brief Sets the interval at which the open flows are polled, and polls them at once.
    void setFlowsInterval(std::chrono::milliseconds interval);

    void requestStop();

private:
    asio::io_context& loop_;
    Options options_;
    std::unique_ptr<FlowSource> source_;
    Handlers handlers_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ { false };
    bool intervalChanged_ { false };
    bool reachable_ { true };
    std::thread thread_;

    void run();
    void pollLoad();
    bool pollFlows();
    void recordResult(absl::Status const& status);
    std::chrono::milliseconds flowsInterval();
    bool consumeIntervalChange();
    bool waitUntil(TimePoint time);
};

} // namespace plantaindrift
