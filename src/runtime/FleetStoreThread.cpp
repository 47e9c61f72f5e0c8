#include "runtime/FleetStoreThread.h"

#include "plantaindrift/base/Error.h"
#include "plantaindrift/base/Hash.h"
#include "plantaindrift/runtime/Log.h"

#include <algorithm>
#include <array>
#include <asio/post.hpp>

namespace plantaindrift {

namespace {

    // A wait that lasts longer notices a connection that has gone silent too late for a change in force within 3 s.
    constexpr std::chrono::milliseconds watchTime { 2000 };

    // Before the first configuration is written.
    constexpr std::chrono::milliseconds absentRetry { 300 };

    // Waits before the second and the third read of the members.
    constexpr std::array<std::chrono::milliseconds, 2> earlyMembersWaits { std::chrono::milliseconds { 2000 }, std::chrono::milliseconds { 6000 } };

    // Later reads take about 300 bytes a second: one second a member of 300 bytes.
    constexpr std::chrono::seconds shortestMembersPeriod { 20 };

    constexpr std::chrono::milliseconds firstBackoff { 100 };
    constexpr std::chrono::milliseconds longestBackoff { 1500 };

    constexpr std::array<std::string_view, storeCalls> storeCallNames { "read_members", "read_configuration", "write_member" };

} // namespace

FleetStoreThread::FleetStoreThread(asio::io_context& loop, std::unique_ptr<FleetStore> store, Member const& self, Handlers handlers)
    : loop_(loop)
    , store_(std::move(store))
    , self_(self)
    , handlers_(std::move(handlers))
    , random_(static_cast<std::uint32_t>(mixHash(hashText(self.name), self.incarnation)))
    , backoff_(firstBackoff)
{
}

FleetStoreThread::~FleetStoreThread()
{
    requestStop();
    if (thread_.joinable())
        thread_.join();
}

void FleetStoreThread::start()
{
    thread_ = std::thread([this] { run(); });
}

void FleetStoreThread::requestStop()
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
}

void FleetStoreThread::removeSelf()
{
    requestStop();
    if (thread_.joinable())
        thread_.join();
    absl::Status const status = store_->removeMember(self_.name);
    if (!status.ok())
        logEvent(LogLevel::Warning, "record_not_removed", { { "name", self_.name }, { "problem", std::string_view(status.message().data(), status.message().size()) } });
}

bool FleetStoreThread::isDone() const noexcept
{
    return hasMembers_ && isWritten_ && !handlers_.configuration;
}

void FleetStoreThread::run()
{
    while (!stopping_ && !isDone()) {
        absl::Status const status = step();
        noteResult(status);
        if (status.ok())
            continue;
        std::uniform_int_distribution<std::int64_t> jitter(backoff_.count() / 4, backoff_.count());
        pause(std::chrono::milliseconds { jitter(random_) });
        backoff_ = std::min(backoff_ * 2, longestBackoff);
    }
}

absl::Status FleetStoreThread::step()
{
    // Without the configuration nothing is served; without the members the seeds still name peers.
    if (handlers_.configuration && !hasConfiguration_)
        return readConfiguration();
    if (!hasMembers_)
        return readMembers();
    if (!isWritten_)
        return writeSelf();
    if (std::chrono::steady_clock::now() >= nextMembers_)
        return readMembers();
    return awaitConfiguration();
}

absl::Status FleetStoreThread::readMembers()
{
    TimePoint const started = std::chrono::steady_clock::now();
    absl::StatusOr<std::vector<Member>> members = store_->readMembers(memberReads_ == 0);
    noteCall(StoreCall::ReadMembers, started);
    if (!members.ok())
        return members.status();
    hasMembers_ = true;
    scheduleMembers(members->size());
    isWritten_ = std::any_of(members->begin(), members->end(), [this](Member const& member) {
        bool const sameRole = member.role == self_.role && member.service == self_.service;
        return member.name == self_.name && sameRole && member.data == self_.data && member.control == self_.control && member.dataCentre == self_.dataCentre;
    });
    asio::post(loop_, [this, found = std::move(*members), known = isWritten_] { handlers_.members(found, known); });
    return absl::OkStatus();
}

// Members that start together are missing in each other's first read; later reads find what gossip lost.
void FleetStoreThread::scheduleMembers(std::size_t members)
{
    std::chrono::seconds const regular = std::max<std::chrono::seconds>(shortestMembersPeriod, std::chrono::seconds { members });
    std::chrono::milliseconds const wait = memberReads_ < earlyMembersWaits.size() ? earlyMembersWaits[memberReads_] : std::chrono::milliseconds(regular);
    ++memberReads_;
    std::uniform_int_distribution<std::int64_t> jitter(wait.count() * 3 / 4, wait.count());
    nextMembers_ = std::chrono::steady_clock::now() + std::chrono::milliseconds { jitter(random_) };
}

absl::Status FleetStoreThread::writeSelf()
{
    TimePoint const started = std::chrono::steady_clock::now();
    absl::Status status = store_->writeMember(self_);
    noteCall(StoreCall::WriteMember, started);
    isWritten_ = status.ok();
    return status;
}

absl::Status FleetStoreThread::readConfiguration()
{
    TimePoint const started = std::chrono::steady_clock::now();
    absl::StatusOr<std::optional<VersionedConfiguration>> configuration = store_->readConfiguration();
    noteCall(StoreCall::ReadConfiguration, started);
    if (!configuration.ok())
        return configuration.status();
    hasConfiguration_ = configuration->has_value();
    if (!hasConfiguration_ && hasMembers_ && isWritten_)
        pause(absentRetry);
    if (!hasConfiguration_ && !hasMembers_)
        return readMembers();
    if (!hasConfiguration_ && !isWritten_)
        return writeSelf();
    post(std::move(*configuration));
    return absl::OkStatus();
}

absl::Status FleetStoreThread::awaitConfiguration()
{
    ++calls_;
    absl::StatusOr<std::optional<VersionedConfiguration>> configuration = store_->awaitConfiguration(watchTime);
    if (!configuration.ok()) {
        // What the wait has missed is in the next read.
        hasConfiguration_ = false;
        return configuration.status();
    }
    post(std::move(*configuration));
    return absl::OkStatus();
}

void FleetStoreThread::post(std::optional<VersionedConfiguration> configuration)
{
    if (!configuration)
        return;
    asio::post(loop_, [this, found = std::move(*configuration)] { handlers_.configuration(found); });
}

void FleetStoreThread::noteCall(StoreCall call, TimePoint started)
{
    ++calls_;
    Duration const took = std::chrono::steady_clock::now() - started;
    asio::post(loop_, [this, call, took] { times_[static_cast<std::size_t>(call)].observe(took); });
}

void FleetStoreThread::addMetrics(MetricsPage& page) const
{
    page.addGauge("plantaindrift_store_reachable", "1 if the last call to the store was answered.", {}, reachable_ ? 1 : 0);
    page.addCounter("plantaindrift_store_calls_total", "Calls to the store.", {}, static_cast<double>(calls_));
    for (std::size_t call = 0; call < storeCalls; ++call)
        page.addHistogram("plantaindrift_store_call_seconds", "Times of calls to the store, answered or not, without watches.", { { "call", std::string(storeCallNames[call]) } }, times_[call]);
}

void FleetStoreThread::noteResult(absl::Status const& status)
{
    if (status.ok())
        backoff_ = firstBackoff;
    if (status.ok() == reachable_)
        return;
    reachable_ = status.ok();
    std::string const problem(status.message());
    asio::post(loop_, [problem, reached = status.ok()] {
        logEvent(reached ? LogLevel::Info : LogLevel::Warning, reached ? "store_reached" : "store_lost", { { "problem", problem } });
    });
}

void FleetStoreThread::pause(std::chrono::milliseconds time)
{
    std::unique_lock<std::mutex> lock(mutex_);
    wake_.wait_for(lock, time, [this] { return stopping_.load(); });
}

} // namespace plantaindrift
