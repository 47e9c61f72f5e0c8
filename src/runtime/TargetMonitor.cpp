#include "runtime/TargetMonitor.h"

#include "plantaindrift/base/Error.h"
#include "plantaindrift/runtime/HttpClient.h"
#include "plantaindrift/runtime/Log.h"

#include <algorithm>
#include <asio/post.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace plantaindrift {

namespace {

    // An agent that has just started drops packets until it has the list of open flows, so it polls more often.
    constexpr std::chrono::milliseconds recoveryInterval { 200 };

} // namespace

absl::StatusOr<TargetReport> parseTargetReport(std::string_view json)
{
    try {
        nlohmann::json const fields = nlohmann::json::parse(json);
        TargetReport report;
        report.load.healthy = fields.at("healthy").get<bool>();
        report.load.busySlots = fields.at("busy_slots").get<std::uint32_t>();
        report.load.openConnections = fields.at("open_connections").get<std::uint32_t>();
        if (fields.contains("uptime_seconds"))
            report.uptime = std::chrono::seconds(fields["uptime_seconds"].get<std::int64_t>());
        return report;
    } catch (nlohmann::json::exception const& error) {
        return makeError(ErrorKind::InvalidMessage, std::string("load report: ") + error.what() + "; correct the target's endpoint");
    }
}

absl::StatusOr<TargetReport> readTargetReport(std::string const& url, std::chrono::milliseconds timeout)
{
    absl::StatusOr<HttpResult> const result = sendHttp("GET", url, "", timeout);
    if (!result.ok())
        return result.status();
    if (result->status != 200)
        return makeError(ErrorKind::Refused, url + " answered status " + std::to_string(result->status) + "; check the target");
    return parseTargetReport(result->body);
}

TargetMonitor::TargetMonitor(asio::io_context& loop, Options options, std::unique_ptr<FlowSource> source, Handlers handlers)
    : loop_(loop)
    , options_(std::move(options))
    , source_(std::move(source))
    , handlers_(std::move(handlers))
{
}

TargetMonitor::~TargetMonitor()
{
    requestStop();
    if (thread_.joinable())
        thread_.join();
}

void TargetMonitor::start()
{
    thread_ = std::thread([this] { run(); });
}

void TargetMonitor::requestStop()
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
}

void TargetMonitor::setFlowsInterval(std::chrono::milliseconds interval)
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        options_.flowsInterval = interval;
        intervalChanged_ = true;
    }
    wake_.notify_all();
}

std::chrono::milliseconds TargetMonitor::flowsInterval()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return options_.flowsInterval;
}

bool TargetMonitor::consumeIntervalChange()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return std::exchange(intervalChanged_, false);
}

void TargetMonitor::run()
{
    TimePoint nextLoad = std::chrono::steady_clock::now();
    TimePoint nextFlows = nextLoad;
    bool recovering = true;
    while (waitUntil(std::min(nextLoad, nextFlows))) {
        TimePoint const now = std::chrono::steady_clock::now();
        if (consumeIntervalChange() || now >= nextFlows) {
            recovering = !pollFlows() && recovering;
            nextFlows = now + (recovering ? recoveryInterval : flowsInterval());
        }
        if (now >= nextLoad) {
            pollLoad();
            nextLoad = now + options_.loadInterval;
        }
    }
}

void TargetMonitor::pollLoad()
{
    if (options_.loadUrl.empty())
        return;
    absl::StatusOr<TargetReport> const report = readTargetReport(options_.loadUrl, options_.timeout);
    recordResult(report.status());
    LoadReport load;
    load.healthy = false;
    if (report.ok())
        load = report->load;
    asio::post(loop_, [this, load] { handlers_.load(load); });
}

bool TargetMonitor::pollFlows()
{
    TimePoint const requestStart = std::chrono::steady_clock::now();
    absl::StatusOr<std::vector<FlowKey>> flows = source_->list();
    recordResult(flows.status());
    if (!flows.ok())
        return false;
    asio::post(loop_, [this, requestStart, list = std::move(*flows)] { handlers_.flows(list, requestStart); });
    return true;
}

void TargetMonitor::recordResult(absl::Status const& status)
{
    if (status.ok() == reachable_)
        return;
    reachable_ = status.ok();
    if (reachable_)
        logEvent(LogLevel::Info, "target_answers");
    else
        logEvent(LogLevel::Warning, "target_does_not_answer", { { "error", std::string_view(status.message().data(), status.message().size()) } });
}

bool TargetMonitor::waitUntil(TimePoint time)
{
    std::unique_lock<std::mutex> lock(mutex_);
    wake_.wait_until(lock, time, [this] { return stopping_ || intervalChanged_; });
    return !stopping_;
}

} // namespace plantaindrift
