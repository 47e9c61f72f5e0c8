#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/store/FleetStore.h"
#include "runtime/MetricsPage.h"

#include <asio/io_context.hpp>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace plantaindrift {

/// \brief Reads the member list from a FleetStore on request, on a thread of its own.
///
/// FleetStoreThread waits for changes of the configuration most of the time and cannot read at once.
class MemberReader {
public:
    /// \brief Minimum time between the starts of two reads.
    static constexpr std::chrono::milliseconds minimumInterval { 1000 };

    /// \brief Receives a list on the event loop, with the time when its read started.
    using Receiver = std::function<void(std::vector<Member> const&, TimePoint started)>;

    MemberReader(asio::io_context& loop, std::unique_ptr<FleetStore> store, Receiver receiver);
    ~MemberReader();
    MemberReader(MemberReader const&) = delete;
    MemberReader& operator=(MemberReader const&) = delete;

    /// \brief Requests a read that starts after this call, unless one is already requested. A failed read is not repeated.
    void request();

    /// \brief Adds the number of reads.
    void addMetrics(MetricsPage& page) const;

private:
    asio::io_context& loop_;
    std::unique_ptr<FleetStore> store_;
    Receiver receiver_;
    std::atomic<std::uint64_t> reads_ { 0 };
    std::atomic<std::uint64_t> failedReads_ { 0 };
    std::mutex mutex_;
    std::condition_variable wake_;
    bool isRequested_ { false };
    bool isStopping_ { false };
    TimePoint nextRead_; ///< accessed only on the thread
    std::thread thread_;

    void run();
    [[nodiscard]] bool waitForRequest();
    void read();
};

} // namespace plantaindrift
