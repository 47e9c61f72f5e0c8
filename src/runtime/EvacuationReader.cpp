#include "runtime/EvacuationReader.h"

#include "plantaindrift/base/Error.h"
#include "plantaindrift/runtime/Log.h"

#include <algorithm>
#include <asio/post.hpp>
#include <exception>
#include <optional>
#include <string>
#include <utility>

namespace plantaindrift {

namespace {

    // With up to 20 entries, one of them renews its watch each second and reads a change that a hanging connection hides
    // from the others. Longer watches would make a single entry that nobody reaches too late.
    constexpr std::chrono::milliseconds watchTimePerEntry { 1000 };
    constexpr std::chrono::milliseconds minimumWatchTime { 2000 };
    constexpr std::chrono::milliseconds maximumWatchTime { 20000 };

    constexpr std::chrono::milliseconds initialBackoff { 100 };
    constexpr std::chrono::milliseconds maximumBackoff { 1500 };

} // namespace

std::chrono::milliseconds evacuationWatchFor(std::size_t entries) noexcept
{
    constexpr std::size_t countedEntries = 1000;
    return std::clamp<std::chrono::milliseconds>(watchTimePerEntry * static_cast<std::int64_t>(std::min(entries, countedEntries)), minimumWatchTime, maximumWatchTime);
}

EvacuationReader::EvacuationReader(asio::io_context& loop, std::unique_ptr<FleetStore> store, std::uint64_t randomSeed, Handlers handlers)
    : loop_(loop)
    , store_(std::move(store))
    , handlers_(std::move(handlers))
    , random_(static_cast<std::uint32_t>(randomSeed))
    , backoff_(initialBackoff)
    , thread_([this] { run(); })
{
}

EvacuationReader::~EvacuationReader()
{
    requestStop();
    thread_.join();
}

void EvacuationReader::requestStop()
{
    store_->cancelWait();
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        isStopping_ = true;
    }
    wake_.notify_all();
}

void EvacuationReader::run()
{
    bool isFirst = true;
    while (!isStopping_) {
        absl::Status const status = guardedStep();
        ++calls_;
        recordResult(status);
        if (std::exchange(isFirst, false))
            asio::post(loop_, [this] { handlers_.attempted(); });
        if (!status.ok())
            pause();
    }
}

// An unexpected answer must not end the process; the list is read again.
absl::Status EvacuationReader::guardedStep()
{
    try {
        return step();
    } catch (std::exception const& error) {
        return makeError(ErrorKind::Internal, std::string("a call to the store failed: ") + error.what() + "; it is repeated");
    }
}

absl::Status EvacuationReader::step()
{
    if (!std::exchange(hasList_, false)) {
        absl::StatusOr<StoredEvacuations> found = store_->readEvacuations();
        if (!found.ok())
            return found.status();
        post(std::move(*found));
    } else {
        absl::StatusOr<std::optional<StoredEvacuations>> found = store_->awaitEvacuations(drawWatchTime());
        if (!found.ok())
            return found.status();
        if (*found)
            post(std::move(**found));
    }
    hasList_ = true;
    return absl::OkStatus();
}

void EvacuationReader::post(StoredEvacuations found)
{
    asio::post(loop_, [this, found = std::move(found)] { handlers_.evacuations(found); });
}

void EvacuationReader::recordResult(absl::Status const& status)
{
    failedCalls_ += status.ok() ? 0 : 1;
    if (status.ok())
        backoff_ = initialBackoff;
    if (status.ok() == isReachable_ || isStopping_)
        return;
    isReachable_ = status.ok();
    std::string const problem(status.message());
    asio::post(loop_, [problem, isRead = status.ok()] {
        logEvent(isRead ? LogLevel::Info : LogLevel::Warning, isRead ? "evacuations_read" : "evacuations_not_read", { { "problem", problem } });
    });
}

// Watches of entries that started together end at different times.
std::chrono::milliseconds EvacuationReader::drawWatchTime()
{
    std::chrono::milliseconds const mean = evacuationWatchFor(entryCount_);
    std::uniform_int_distribution<std::int64_t> jitter(mean.count() * 3 / 4, mean.count() * 5 / 4);
    return std::clamp(std::chrono::milliseconds { jitter(random_) }, minimumWatchTime, maximumWatchTime);
}

void EvacuationReader::pause()
{
    std::uniform_int_distribution<std::int64_t> jitter(backoff_.count() / 4, backoff_.count());
    std::unique_lock<std::mutex> lock(mutex_);
    wake_.wait_for(lock, std::chrono::milliseconds { jitter(random_) }, [this] { return isStopping_.load(); });
    backoff_ = std::min(backoff_ * 2, maximumBackoff);
}

void EvacuationReader::addMetrics(MetricsPage& page) const
{
    std::string_view const help = "Reads and watches of the evacuations, by result.";
    page.addCounter("plantaindrift_evacuation_reads_total", help, { { "result", "ok" } }, static_cast<double>(calls_ - failedCalls_));
    page.addCounter("plantaindrift_evacuation_reads_total", help, { { "result", "failed" } }, static_cast<double>(failedCalls_));
}

} // namespace plantaindrift
