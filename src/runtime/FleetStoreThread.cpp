#include "runtime/FleetStoreThread.h"

#include "plantaindrift/base/Error.h"
#include "plantaindrift/base/Hash.h"
#include "plantaindrift/runtime/Log.h"

#include <algorithm>
#include <array>
#include <asio/post.hpp>
#include <exception>
#include <utility>

namespace plantaindrift {

namespace {

    // A change has to be in force within 3 s. Connections of all entries may hang; the first entry whose watch ends
    // reads the change and passes it on, so that the timeout may grow with the number of entries.
    constexpr std::chrono::milliseconds minimumWatchTimeout { 2000 };
    constexpr std::chrono::milliseconds maximumWatchTimeout { 20000 };
    constexpr std::size_t entriesPerMinimumTimeout = 6;

    // Delay between reads while the store has no configuration yet.
    constexpr std::chrono::milliseconds absentConfigurationDelay { 300 };

    // Intervals before the second and the third read of the members.
    constexpr std::array<std::chrono::milliseconds, 2> initialMembersIntervals { std::chrono::milliseconds { 2000 }, std::chrono::milliseconds { 6000 } };

    // The interval of later reads is one second per member of about 300 bytes, which bounds the traffic to about 300
    // bytes a second.
    constexpr std::chrono::seconds minimumMembersInterval { 20 };

    constexpr std::chrono::milliseconds initialBackoff { 100 };
    constexpr std::chrono::milliseconds maximumBackoff { 1500 };

    // All processes together write their records again at half the rate that the store takes.
    constexpr std::chrono::milliseconds minimumRewritePeriod { 300 };
    constexpr std::chrono::milliseconds rewriteTimePerMember { 5 };

    // A list of members takes a call for each page, and all processes together may use half of the 2,000 reads a second of the
    // store.
    constexpr std::size_t membersPerPage = 500;
    constexpr std::chrono::milliseconds checkTimePerPage { 1 };
    constexpr std::chrono::seconds minimumCheckInterval { 3 };

    // A record that is left behind would be used again once all entries restart. With the wait for requests in progress
    // and two calls of a second, a stop takes less than the 6 s after which the platform kills a process.
    constexpr std::chrono::milliseconds removalTimeout { 1500 };
    constexpr std::chrono::milliseconds removalRetryDelay { 200 };

    constexpr std::array<std::string_view, storeCallCount> storeCallNames { "read_members", "read_configuration", "write_member" };

} // namespace

FleetStoreThread::FleetStoreThread(asio::io_context& loop, std::unique_ptr<FleetStore> store, Member const& self, Handlers handlers)
    : loop_(loop)
    , store_(std::move(store))
    , self_(self)
    , handlers_(std::move(handlers))
    , random_(static_cast<std::uint32_t>(mixHash(hashText(self.name), self.incarnation)))
    , backoff_(initialBackoff)
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

std::chrono::milliseconds watchTimeoutFor(std::size_t entries) noexcept
{
    return std::clamp<std::chrono::milliseconds>(minimumWatchTimeout * static_cast<std::int64_t>(entries) / entriesPerMinimumTimeout, minimumWatchTimeout, maximumWatchTimeout);
}

void FleetStoreThread::requestStop()
{
    store_->cancelWait();
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
}

void FleetStoreThread::requestLeave()
{
    isLeaving_ = true;
    requestStop();
}

void FleetStoreThread::removeSelf()
{
    requestStop();
    if (thread_.joinable())
        thread_.join();
    removeRecord();
}

void FleetStoreThread::removeRecord()
{
    absl::Status status = store_->removeMember(self_.name);
    TimePoint const end = std::chrono::steady_clock::now() + removalTimeout;
    while (!status.ok() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(removalRetryDelay);
        status = store_->removeMember(self_.name);
    }
    if (!status.ok())
        logEvent(LogLevel::Warning, "record_not_removed", { { "name", self_.name }, { "problem", std::string_view(status.message().data(), status.message().size()) } });
}

void FleetStoreThread::noteStoreGeneration(std::uint64_t generation)
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        if (generation <= reportedGeneration_)
            return;
        reportedGeneration_ = generation;
    }
    wake_.notify_all();
}

void FleetStoreThread::requestCheck()
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        if (std::exchange(isCheckRequested_, true))
            return;
    }
    wake_.notify_all();
}

void FleetStoreThread::setEntryCensus(EntryCensus census)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    census_ = std::move(census);
}

// Until the membership is known, all records count.
std::size_t FleetStoreThread::runningEntries()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return census_ ? std::min(census_->running, entryCount_) : entryCount_;
}

// Nobody else removes the record of an entry that was killed.
void FleetStoreThread::removeGoneEntries(std::span<Member const> members)
{
    std::vector<std::string> names;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        for (Member const& member : members) {
            if (census_ && member.name != self_.name && census_->isGone(member))
                names.push_back(member.name);
        }
    }
    for (std::string const& name : names) {
        if (stopping_ || !store_->removeMember(name).ok())
            return;
        ++recordsRemoved_;
        asio::post(loop_, [name] { logEvent(LogLevel::Info, "member_record_removed", { { "name", name } }); });
    }
}

std::uint64_t FleetStoreThread::reportedGeneration()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return reportedGeneration_;
}

// Agents are many, so they make no calls while nothing is to be written and entries answer them.
void FleetStoreThread::awaitRequest()
{
    std::unique_lock<std::mutex> lock(mutex_);
    auto const mustWrite = [this] { return stopping_ || reportedGeneration_ > registeredGeneration_; };
    wake_.wait(lock, [this, mustWrite] { return mustWrite() || isCheckRequested_; });
    if (!mustWrite()) {
        std::uniform_int_distribution<std::int64_t> jitter(0, checkSpread().count());
        TimePoint const earliest = std::chrono::steady_clock::now() + std::chrono::milliseconds { jitter(random_) };
        wake_.wait_until(lock, std::max(nextCheck_, earliest), mustWrite);
    }
    if (stopping_)
        return;
    if (mustWrite()) {
        isRegistered_ = false;
        return;
    }
    isCheckRequested_ = false;
    hasMembers_ = false;
    memberReads_ = 0;
    ++checks_;
}

std::chrono::milliseconds FleetStoreThread::checkSpread() const noexcept
{
    std::size_t const pages = memberCount_ / membersPerPage + 1;
    return checkTimePerPage * static_cast<std::int64_t>(pages * memberCount_);
}

// The processes of a fleet learn of a restore within a second; their writes are spread so that the store takes them.
void FleetStoreThread::delayRepeatedWrite()
{
    std::size_t const writers = handlers_.configuration ? entryCount_ : memberCount_;
    std::chrono::milliseconds const longest = std::max(minimumRewritePeriod, rewriteTimePerMember * static_cast<std::int64_t>(writers));
    std::uniform_int_distribution<std::int64_t> jitter(0, longest.count());
    pause(std::chrono::milliseconds { jitter(random_) });
}

void FleetStoreThread::run()
{
    while (!stopping_) {
        absl::Status const status = guardedStep();
        recordResult(status);
        noteGeneration();
        if (status.ok())
            continue;
        std::uniform_int_distribution<std::int64_t> jitter(backoff_.count() / 4, backoff_.count());
        pause(std::chrono::milliseconds { jitter(random_) });
        backoff_ = std::min(backoff_ * 2, maximumBackoff);
    }
    if (isLeaving_)
        removeRecord();
}

// An unexpected answer must not end the process; the call is repeated.
absl::Status FleetStoreThread::guardedStep()
{
    try {
        return step();
    } catch (std::exception const& error) {
        return makeError(ErrorKind::Internal, std::string("a call to the store failed: ") + error.what() + "; it is repeated");
    }
}

absl::Status FleetStoreThread::step()
{
    // The configuration comes first: without it no packet is served, while peers are known from the seeds.
    if (handlers_.configuration && !hasConfiguration_) {
        absl::Status status = readConfiguration();
        bool const isUnusable = !status.ok() && errorKind(status) == ErrorKind::InvalidMessage;
        if (!isUnusable || !isMembersStepDue())
            return status;
        // The members must not wait until somebody corrects the configuration.
        absl::Status membersStatus = stepMembers();
        return membersStatus.ok() ? status : membersStatus;
    }
    bool const isRegisteredAgent = !handlers_.configuration && hasMembers_ && isRegistered_;
    if (isRegisteredAgent) {
        awaitRequest();
        return absl::OkStatus();
    }
    if (isMembersStepDue())
        return stepMembers();
    return awaitConfiguration();
}

bool FleetStoreThread::isMembersStepDue() const noexcept
{
    return !hasMembers_ || !isRegistered_ || std::chrono::steady_clock::now() >= nextMembersRead_;
}

absl::Status FleetStoreThread::stepMembers()
{
    if (hasMembers_ && !isRegistered_)
        return writeSelf();
    return readMembers();
}

absl::Status FleetStoreThread::readMembers()
{
    TimePoint const started = std::chrono::steady_clock::now();
    bool const isFresh = memberReads_ == 0;
    std::uint64_t const generation = store_->generation();
    absl::StatusOr<std::vector<Member>> members = store_->readMembers(isFresh);
    recordCall(StoreCall::ReadMembers, started);
    if (!members.ok())
        return members.status();
    hasMembers_ = true;
    scheduleMembersRead(members->size());
    entryCount_ = static_cast<std::size_t>(std::count_if(members->begin(), members->end(), [](Member const& member) { return member.role == MemberRole::Entry; }));
    memberCount_ = members->size();
    removeGoneEntries(*members);
    bool const isListed = std::any_of(members->begin(), members->end(), [this](Member const& member) {
        bool const sameRole = member.role == self_.role && member.service == self_.service;
        return member.name == self_.name && sameRole && member.data == self_.data && member.control == self_.control && member.dataCentre == self_.dataCentre;
    });
    // A list that may be old does not show that the record is still there.
    isRegistered_ = isListed && (isFresh || isRegistered_);
    if (isRegistered_ && isFresh)
        registeredGeneration_ = generation > 0 ? generation : store_->generation();
    asio::post(loop_, [this, found = std::move(*members), registered = isListed, isFresh, started] {
        handlers_.members(found, registered);
        if (isFresh && handlers_.freshMembers)
            handlers_.freshMembers(started);
    });
    return absl::OkStatus();
}

// Members that start at the same time miss each other in their first read, so the next reads follow soon. Later reads
// find members whose gossip was lost.
void FleetStoreThread::scheduleMembersRead(std::size_t members)
{
    std::chrono::seconds const regularInterval = std::max<std::chrono::seconds>(minimumMembersInterval, std::chrono::seconds { members });
    std::chrono::milliseconds const wait = memberReads_ < initialMembersIntervals.size() ? initialMembersIntervals[memberReads_] : std::chrono::milliseconds(regularInterval);
    ++memberReads_;
    nextCheck_ = std::chrono::steady_clock::now() + std::max<std::chrono::milliseconds>(minimumCheckInterval, checkSpread());
    std::uniform_int_distribution<std::int64_t> jitter(wait.count() * 3 / 4, wait.count());
    nextMembersRead_ = std::chrono::steady_clock::now() + std::chrono::milliseconds { jitter(random_) };
}

absl::Status FleetStoreThread::writeSelf()
{
    bool const isRepeated = recordsWritten_ > 0 || registeredGeneration_ > 0;
    if (isRepeated && backoff_ == initialBackoff)
        delayRepeatedWrite();
    // A process that leaves removes its record after this thread has ended.
    if (stopping_)
        return absl::OkStatus();
    std::uint64_t const reported = reportedGeneration();
    TimePoint const started = std::chrono::steady_clock::now();
    absl::Status status = store_->writeMember(self_);
    recordCall(StoreCall::WriteMember, started);
    isRegistered_ = status.ok();
    if (!isRegistered_)
        return status;
    registeredGeneration_ = std::max({ registeredGeneration_, reported, store_->generation() });
    ++recordsWritten_;
    recordsRewritten_ += isRepeated ? 1 : 0;
    asio::post(loop_, [this, name = self_.name, isRepeated, generation = store_->generation()] {
        if (handlers_.written)
            handlers_.written();
        logEvent(LogLevel::Info, "member_record_written", { { "name", name }, { "repeated", isRepeated }, { "store_generation", generation } });
    });
    return status;
}

absl::Status FleetStoreThread::readConfiguration()
{
    TimePoint const started = std::chrono::steady_clock::now();
    absl::StatusOr<std::optional<VersionedConfiguration>> configuration = store_->readConfiguration();
    recordCall(StoreCall::ReadConfiguration, started);
    if (!configuration.ok())
        return configuration.status();
    hasConfiguration_ = configuration->has_value();
    if (!hasConfiguration_ && hasMembers_ && isRegistered_)
        pause(absentConfigurationDelay);
    if (!hasConfiguration_ && !hasMembers_)
        return readMembers();
    if (!hasConfiguration_ && !isRegistered_)
        return writeSelf();
    post(std::move(*configuration));
    return absl::OkStatus();
}

absl::Status FleetStoreThread::awaitConfiguration()
{
    ++calls_;
    absl::StatusOr<std::optional<VersionedConfiguration>> configuration = store_->awaitConfiguration(drawWatchTimeout());
    if (!configuration.ok()) {
        // The next read returns changes that the failed watch missed.
        hasConfiguration_ = false;
        return configuration.status();
    }
    post(std::move(*configuration));
    return absl::OkStatus();
}

// Watches of entries that started together end at different times; a watch does not delay the next read of the members.
std::chrono::milliseconds FleetStoreThread::drawWatchTimeout()
{
    std::chrono::milliseconds const longest = watchTimeoutFor(runningEntries());
    std::uniform_int_distribution<std::int64_t> jitter(std::max(longest / 2, minimumWatchTimeout).count(), longest.count());
    std::chrono::milliseconds const untilRead = std::chrono::duration_cast<std::chrono::milliseconds>(nextMembersRead_ - std::chrono::steady_clock::now());
    return std::clamp(untilRead, minimumWatchTimeout, std::chrono::milliseconds { jitter(random_) });
}

void FleetStoreThread::post(std::optional<VersionedConfiguration> configuration)
{
    if (!configuration)
        return;
    asio::post(loop_, [this, found = std::move(*configuration)] { handlers_.configuration(found); });
}

void FleetStoreThread::recordCall(StoreCall call, TimePoint started)
{
    ++calls_;
    Duration const took = std::chrono::steady_clock::now() - started;
    asio::post(loop_, [this, call, took] { callTimes_[static_cast<std::size_t>(call)].observe(took); });
}

void FleetStoreThread::addMetrics(MetricsPage& page) const
{
    page.addGauge("plantaindrift_store_reachable", "1 if the last call to the store was answered.", {}, reachable_ ? 1 : 0);
    page.addCounter("plantaindrift_store_calls_total", "Calls to the store.", {}, static_cast<double>(calls_));
    page.addCounter("plantaindrift_store_skipped_objects_total", "Unusable objects in answers of the store, counted at each read.", {}, static_cast<double>(store_->skippedObjects()));
    page.addGauge("plantaindrift_store_generation", "Generation of the store, which rises when it comes back from an older copy; 0 if unknown.", {}, static_cast<double>(store_->generation()));
    page.addCounter("plantaindrift_store_restores_total", "Rises of the store's generation.", {}, static_cast<double>(generationChanges_));
    page.addCounter("plantaindrift_store_records_removed_total", "Records of other entries removed because these ended long ago.", {}, static_cast<double>(recordsRemoved_));
    page.addCounter("plantaindrift_store_checks_total", "Reads of the members because entries did not answer.", {}, static_cast<double>(checks_));
    std::string_view const recordsHelp = "Writes of this process's own record.";
    page.addCounter("plantaindrift_store_records_written_total", recordsHelp, { { "repeated", "no" } }, static_cast<double>(recordsWritten_ - recordsRewritten_));
    page.addCounter("plantaindrift_store_records_written_total", recordsHelp, { { "repeated", "yes" } }, static_cast<double>(recordsRewritten_));
    for (std::size_t call = 0; call < storeCallCount; ++call)
        page.addHistogram("plantaindrift_store_call_seconds", "Times of calls to the store, answered or not, without watches.", { { "call", std::string(storeCallNames[call]) } }, callTimes_[call]);
}

void FleetStoreThread::noteGeneration()
{
    std::uint64_t const current = store_->generation();
    if (current <= generation_)
        return;
    std::uint64_t const previous = std::exchange(generation_, current);
    bool const isRestored = previous > 0;
    generationChanges_ += isRestored ? 1 : 0;
    if (isRestored)
        forgetReads();
    asio::post(loop_, [this, previous, current, isRestored] {
        if (handlers_.generation)
            handlers_.generation(current);
        logEvent(isRestored ? LogLevel::Warning : LogLevel::Info, isRestored ? "store_restored" : "store_generation", { { "generation", current }, { "previous", previous } });
    });
}

// What was read may be gone, and what others write again is to be found. An entry reads both at once; an agent learns
// of entries from its monitors.
void FleetStoreThread::forgetReads()
{
    isRegistered_ = isRegistered_ && registeredGeneration_ >= generation_;
    if (!handlers_.configuration)
        return;
    hasConfiguration_ = false;
    hasMembers_ = false;
    memberReads_ = 0;
    backoff_ = initialBackoff;
}

void FleetStoreThread::recordResult(absl::Status const& status)
{
    if (status.ok())
        backoff_ = initialBackoff;
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
