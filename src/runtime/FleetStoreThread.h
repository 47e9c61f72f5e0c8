#pragma once

#include "plantaindrift/base/LatencyHistogram.h"
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
#include <string>
#include <thread>
#include <vector>

namespace plantaindrift {

/// \brief Calls to the store whose time is measured; a watch lasts as long as nothing changes.
enum class StoreCall : std::uint8_t {
    ReadMembers,
    ReadConfiguration,
    WriteMember,
};

inline constexpr std::size_t storeCalls = 3;

/// \brief Reads a FleetStore on a thread of its own and posts what it finds to the loop.
///
/// Starts with the members and the configuration, writes the own record if the store lacks it, then waits for changes.
/// After a failure it waits with exponential backoff and full jitter.
class FleetStoreThread {
public:
    /// \brief What the loop is told; all run on the loop.
    struct Handlers {
        std::function<void(VersionedConfiguration const&)> configuration; ///< unset: the configuration is not read
        std::function<void(std::vector<Member> const&, bool known)> members; ///< known: the own record is among them, as it is
    };

    FleetStoreThread(asio::io_context& loop, std::unique_ptr<FleetStore> store, Member const& self, Handlers handlers);
    ~FleetStoreThread();
    FleetStoreThread(FleetStoreThread const&) = delete;
    FleetStoreThread& operator=(FleetStoreThread const&) = delete;

    void start();

    /// \brief Ends the thread after the call that is under way.
    void requestStop();

    /// \brief Ends the thread and removes the own record; blocks for the call under way and this one.
    void removeSelf();

    /// \brief Reachability, calls and their times; to be called on the loop.
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
    std::array<LatencyHistogram, storeCalls> times_; ///< belongs to the loop
    std::mutex mutex_;
    std::condition_variable wake_;
    std::chrono::milliseconds backoff_;
    bool hasMembers_ { false };
    std::size_t memberReads_ { 0 };
    TimePoint nextMembers_;
    bool isWritten_ { false };
    bool hasConfiguration_ { false };
    std::thread thread_;

    void run();
    [[nodiscard]] absl::Status step();
    [[nodiscard]] absl::Status readMembers();
    void scheduleMembers(std::size_t members);
    [[nodiscard]] absl::Status writeSelf();
    [[nodiscard]] absl::Status readConfiguration();
    [[nodiscard]] absl::Status awaitConfiguration();
    void post(std::optional<VersionedConfiguration> configuration);
    void noteCall(StoreCall call, TimePoint started);
    void noteResult(absl::Status const& status);
    void pause(std::chrono::milliseconds time);
    [[nodiscard]] bool isDone() const noexcept;
};

} // namespace plantaindrift
