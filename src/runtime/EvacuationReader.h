#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/store/FleetStore.h"
#include "runtime/MetricsPage.h"

#include <asio/io_context.hpp>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

namespace plantaindrift {

/// \brief Maximum duration of a watch of the evacuations, by the number of entries: all of them together renew about one a
/// second.
[[nodiscard]] std::chrono::milliseconds evacuationWatchFor(std::size_t entries) noexcept;

/// \brief Reads the evacuations from a FleetStore on a thread of its own and then watches them.
///
/// FleetStoreThread waits for changes of the configuration most of the time. Retries failed calls with jittered
/// exponential backoff, from a new read on.
class EvacuationReader {
public:
    /// \brief Callbacks; both run on the event loop.
    struct Handlers {
        std::function<void(StoredEvacuations const&)> evacuations;
        std::function<void()> attempted; ///< the first read has ended, with or without a result
    };

    EvacuationReader(asio::io_context& loop, std::unique_ptr<FleetStore> store, std::uint64_t randomSeed, Handlers handlers);
    ~EvacuationReader();
    EvacuationReader(EvacuationReader const&) = delete;
    EvacuationReader& operator=(EvacuationReader const&) = delete;

    /// \brief Sets the number of entries that share the rate of watches.
    void setEntryCount(std::size_t entries) noexcept { entryCount_ = entries; }

    /// \brief Tells the thread to end after its current call, and cancels a watch. Does not block.
    void requestStop();

    /// \brief Adds the number of reads and watches.
    void addMetrics(MetricsPage& page) const;

private:
    asio::io_context& loop_;
    std::unique_ptr<FleetStore> store_;
    Handlers handlers_;
    std::minstd_rand random_;
    std::atomic<std::size_t> entryCount_ { 1 };
    std::atomic<std::uint64_t> calls_ { 0 };
    std::atomic<std::uint64_t> failedCalls_ { 0 };
    std::mutex mutex_;
    std::condition_variable wake_;
    std::atomic<bool> isStopping_ { false };
    std::chrono::milliseconds backoff_;
    bool hasList_ { false };
    bool isReachable_ { true };
    std::thread thread_;

    void run();
    [[nodiscard]] absl::Status guardedStep();
    [[nodiscard]] absl::Status step();
    void post(StoredEvacuations found);
    void recordResult(absl::Status const& status);
    [[nodiscard]] std::chrono::milliseconds drawWatchTime();
    void pause();
};

} // namespace plantaindrift
