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

/// \brief What a target's load endpoint says.
struct TargetReport {
    LoadReport load;
    std::optional<std::chrono::seconds> uptime; ///< of the target itself
};

/// \brief Reads {"healthy", "busy_slots", "open_connections", "uptime_seconds"}; errors are InvalidMessage.
[[nodiscard]] absl::StatusOr<TargetReport> parseTargetReport(std::string_view json);

/// \brief Reads one report of a target; blocking.
[[nodiscard]] absl::StatusOr<TargetReport> readTargetReport(std::string const& url, std::chrono::milliseconds timeout);

/// \brief Polls a target's load and its open flows on a thread of its own, and posts results to the loop.
class TargetMonitor {
public:
    struct Options {
        std::string loadUrl; ///< empty: no load endpoint
        std::chrono::milliseconds loadInterval { 1000 };
        std::chrono::milliseconds flowsInterval { 10000 };
        std::chrono::milliseconds timeout { 1000 };
    };

    /// \brief What the loop is told; all run on the loop.
    struct Handlers {
        std::function<void(LoadReport const&)> load; ///< also when the target does not answer: unhealthy
        /// The flows, and when the request for them began: the list holds nothing newer for sure.
        std::function<void(std::vector<FlowKey> const&, TimePoint)> flows;
    };

    TargetMonitor(asio::io_context& loop, Options options, std::unique_ptr<FlowSource> source, Handlers handlers);
    ~TargetMonitor();
    TargetMonitor(TargetMonitor const&) = delete;
    TargetMonitor& operator=(TargetMonitor const&) = delete;

    void start();

    /// \brief Polls the open flows at this interval from now on.
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
    bool answering_ { true };
    std::thread thread_;

    void run();
    void pollLoad();
    bool pollFlows();
    void noteAnswer(absl::Status const& status);
    std::chrono::milliseconds flowsInterval();
    bool takeIntervalChange();
    bool pauseUntil(TimePoint time);
};

} // namespace plantaindrift
