#include "runtime/MemberReader.h"

#include "plantaindrift/runtime/Log.h"

#include <asio/post.hpp>
#include <exception>
#include <string>
#include <utility>

namespace plantaindrift {

MemberReader::MemberReader(asio::io_context& loop, std::unique_ptr<FleetStore> store, Receiver receiver)
    : loop_(loop)
    , store_(std::move(store))
    , receiver_(std::move(receiver))
    , thread_([this] { run(); })
{
}

MemberReader::~MemberReader()
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        isStopping_ = true;
    }
    wake_.notify_all();
    thread_.join();
}

void MemberReader::request()
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        if (std::exchange(isRequested_, true))
            return;
    }
    wake_.notify_all();
}

void MemberReader::run()
{
    while (waitForRequest())
        read();
}

// Returns false when the thread is to end.
bool MemberReader::waitForRequest()
{
    std::unique_lock<std::mutex> lock(mutex_);
    wake_.wait(lock, [this] { return isRequested_ || isStopping_; });
    wake_.wait_until(lock, nextRead_, [this] { return isStopping_; });
    isRequested_ = false;
    return !isStopping_;
}

void MemberReader::read()
{
    TimePoint const started = std::chrono::steady_clock::now();
    nextRead_ = started + minimumInterval;
    ++reads_;
    std::string problem;
    try {
        absl::StatusOr<std::vector<Member>> members = store_->readMembers(true);
        if (members.ok()) {
            asio::post(loop_, [this, found = std::move(*members), started] { receiver_(found, started); });
            return;
        }
        problem = std::string(members.status().message());
    } catch (std::exception const& error) {
        problem = error.what();
    }
    ++failedReads_;
    asio::post(loop_, [problem] { logEvent(LogLevel::Warning, "members_not_read", { { "problem", problem } }); });
}

void MemberReader::addMetrics(MetricsPage& page) const
{
    std::string_view const help = "Reads of the member list before a flow is declared lost, by result.";
    page.addCounter("plantaindrift_member_reads_total", help, { { "result", "ok" } }, static_cast<double>(reads_ - failedReads_));
    page.addCounter("plantaindrift_member_reads_total", help, { { "result", "failed" } }, static_cast<double>(failedReads_));
}

} // namespace plantaindrift
