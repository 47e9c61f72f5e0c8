#pragma once

#include "plantaindrift/base/LatencyHistogram.h"
#include "plantaindrift/membership/EntryCensus.h"
#include "plantaindrift/store/FleetStore.h"
#include "runtime/MetricsPage.h"

#include <array>
#include <asio/io_context.hpp>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <thread>
#include <vector>

namespace plantaindrift {

/// \brief Store calls whose duration is measured. Watches are not: they last until something changes.
enum class StoreCall : std::uint8_t {
    ReadMembers,
    ReadConfiguration,
    WriteMember,
};

inline constexpr std::size_t storeCallCount = 3;

/// \brief Maximum duration of a watch, by the number of entries: all of them together renew about three watches a second.
[[nodiscard]] std::chrono::milliseconds watchTimeoutFor(std::size_t entries) noexcept;

/// \brief Reads a FleetStore on a separate thread and posts what it reads to the event loop.
///
/// Reads the configuration and the members, writes this process's record if the store lacks it, then waits for
/// changes; if the configuration is not read, only for noteStoreGeneration and requestCheck. Retries failed calls with jittered
/// exponential backoff.
class FleetStoreThread {
public:
    /// \brief Callbacks; all run on the event loop.
    struct Handlers {
        std::function<void(VersionedConfiguration const&)> configuration; ///< if empty, the configuration is not read
        std::function<void(std::uint64_t)> generation; ///< the store's generation has risen or become known; may be empty
        std::function<void(std::vector<Member> const&, bool registered)> members; ///< registered: the store already holds the record of this process
        std::function<void(TimePoint started)> freshMembers; ///< after `members`, if the read that started then lacks nothing; may be empty
        std::function<void()> written; ///< the record of this process was written; may be empty
    };

    FleetStoreThread(asio::io_context& loop, std::unique_ptr<FleetStore> store, Member const& self, Handlers handlers);
    ~FleetStoreThread();
    FleetStoreThread(FleetStoreThread const&) = delete;
    FleetStoreThread& operator=(FleetStoreThread const&) = delete;

    void start();

    /// \brief Takes a generation of the store that another process knows; a new one makes this process write its record again.
    void noteStoreGeneration(std::uint64_t generation);

    /// \brief Makes a process that does not read the configuration read the members again, and write its record if the store
    /// has lost it.
    ///
    /// Processes that ask at the same time read at different times. One that asks all the time reads every three seconds, or
    /// so rarely that all processes together use half of the store's rate of reads.
    void requestCheck();

    /// \brief Sets which entries the membership has.
    ///
    /// The records in the store include those of entries that ended long ago: watches last as long as the running entries
    /// permit, and records of entries that are gone are removed after the next read. A record that was removed although its
    /// entry runs is written again after the entry's next read.
    void setEntryCensus(EntryCensus census);

    /// \brief Tells the thread to end after its current call, and cancels a watch. Does not block.
    void requestStop();

    /// \brief Like requestStop(); the thread then removes the record of this process before it ends.
    void requestLeave();

    /// \brief Ends the thread and removes the record of this process; blocks for the current call and the removal.
    void removeSelf();

    /// \brief Adds reachability, number and duration of calls; must be called on the event loop.
    void addMetrics(MetricsPage& page) const;

private:
    asio::io_context& loop_;
    std::unique_ptr<FleetStore> store_;
    Member self_;
    Handlers handlers_;
    std::minstd_rand random_;
    std::atomic<bool> stopping_ { false };
    std::atomic<bool> reachable_ { true };
    std::atomic<std::uint64_t> calls_ { 0 };
    std::atomic<std::uint64_t> generationChanges_ { 0 };
    std::atomic<std::uint64_t> recordsWritten_ { 0 };
    std::atomic<std::uint64_t> recordsRewritten_ { 0 };
    std::array<LatencyHistogram, storeCallCount> callTimes_; ///< accessed only on the event loop
    std::mutex mutex_;
    std::condition_variable wake_;
    std::chrono::milliseconds backoff_;
    bool hasMembers_ { false };
    std::size_t memberReads_ { 0 };
    TimePoint nextMembersRead_;
    bool isRegistered_ { false };
    std::uint64_t generation_ { 0 }; ///< of the store, as of the last call; 0 if unknown
    std::uint64_t registeredGeneration_ { 0 }; ///< in which the store had or got the record
    std::uint64_t reportedGeneration_ { 0 }; ///< by other processes; guarded by mutex_
    bool isCheckRequested_ { false }; ///< guarded by mutex_
    TimePoint nextCheck_; ///< earliest time of the next check
    std::atomic<std::uint64_t> checks_ { 0 };
    std::optional<EntryCensus> census_; ///< guarded by mutex_
    std::atomic<bool> isLeaving_ { false };
    std::atomic<std::uint64_t> recordsRemoved_ { 0 };
    std::size_t memberCount_ { 0 }; ///< in the list that was read last
    std::size_t entryCount_ { 0 }; ///< entries in the list of members that was read last
    bool hasConfiguration_ { false };
    std::thread thread_;

    void run();
    [[nodiscard]] absl::Status guardedStep();
    [[nodiscard]] absl::Status step();
    [[nodiscard]] bool isMembersStepDue() const noexcept;
    [[nodiscard]] absl::Status stepMembers(); ///< reads the members, or writes the record of this process
    [[nodiscard]] absl::Status readMembers();
    void scheduleMembersRead(std::size_t members);
    [[nodiscard]] std::size_t runningEntries();
    void removeGoneEntries(std::span<Member const> members);
    void removeRecord();
    [[nodiscard]] absl::Status writeSelf();
    [[nodiscard]] absl::Status readConfiguration();
    [[nodiscard]] absl::Status awaitConfiguration();
    [[nodiscard]] std::chrono::milliseconds drawWatchTimeout();
    void post(std::optional<VersionedConfiguration> configuration);
    void recordCall(StoreCall call, TimePoint started);
    void recordResult(absl::Status const& status);
    void noteGeneration();
    void forgetReads();
    void pause(std::chrono::milliseconds time);
    [[nodiscard]] std::uint64_t reportedGeneration();
    void awaitRequest();
    [[nodiscard]] std::chrono::milliseconds checkSpread() const noexcept;
    void delayRepeatedWrite();
};

} // namespace plantaindrift
