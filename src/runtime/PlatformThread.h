#pragma once

#include "plantaindrift/configuration/ChangeLog.h"
#include "plantaindrift/membership/Member.h"
#include "plantaindrift/store/ChangeStore.h"
#include "plantaindrift/store/ObjectStore.h"
#include "plantaindrift/store/StatusObjects.h"
#include "runtime/Settings.h"

#include <asio/io_context.hpp>
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace plantaindrift {

/// \brief Creates a client of the object store that the settings name.
[[nodiscard]] std::unique_ptr<ObjectStore> openPlatform(CommonSettings const& settings);

/// \brief Creates an object, or replaces its value if it exists.
[[nodiscard]] absl::Status writeObject(ObjectStore& store, std::string const& key, std::string const& value);

/// \brief Reads the change log and the announcements on a separate thread and posts them to the event loop.
///
/// Also writes the entry's status object: soon after its position changes, and every 50 to 150 s.
class PlatformReader {
public:
    /// \brief Callbacks; all run on the event loop.
    struct Handlers {
        std::function<void(std::vector<ConfigurationChange> const&)> changes;
        std::function<void(std::uint64_t, Configuration const&)> snapshot;
        std::function<void(std::vector<Member> const&)> members;
        std::function<void()> confirmed; ///< the platform responded; there is no newer change
    };

    PlatformReader(asio::io_context& loop, std::unique_ptr<ObjectStore> store, CommonSettings const& settings, Handlers handlers);
    ~PlatformReader();
    PlatformReader(PlatformReader const&) = delete;
    PlatformReader& operator=(PlatformReader const&) = delete;

    void start();

    /// \brief Sets the applied position and whether this process watches the change log; called on the event loop.
    void setState(std::uint64_t position, bool watcher);

    /// \brief Tells the thread to end after its current call to the platform. Does not block.
    void requestStop();

private:
    asio::io_context& loop_;
    std::unique_ptr<ObjectStore> store_;
    ChangeStore changes_;
    std::string name_;
    std::string dataCentre_;
    std::chrono::seconds pollInterval_;
    Handlers handlers_;
    std::minstd_rand random_;
    std::atomic<std::uint64_t> position_ { 0 };
    std::atomic<bool> watcher_ { false };
    std::atomic<bool> stopping_ { false };
    std::mutex mutex_;
    std::condition_variable wake_;
    std::thread thread_;
    std::uint64_t watchVersion_ { 0 };
    std::uint64_t writtenPosition_ { 0 };
    TimePoint nextStatusWrite_;
    TimePoint lastResponse_;
    bool reachable_ { true };

    void run();
    bool fetchMembers();
    bool fetchChanges();
    bool watchChanges();
    bool initializeWatchVersion();
    void postChanges(std::vector<ConfigurationChange> changes);
    void writeStatusIfDue();
    void recordResult(absl::Status const& status);
    void pause(std::chrono::milliseconds duration);
    std::chrono::milliseconds jitter(std::chrono::milliseconds base);
};

/// \brief Writes an agent's announcement object and polls for drain requests, on a separate thread.
///
/// A newer record replaces one that is still waiting to be written.
class PlatformAnnouncer {
public:
    /// \param drain  called on the event loop with whether an operator requests that this target drain
    PlatformAnnouncer(asio::io_context& loop, std::unique_ptr<ObjectStore> store, Member const& self, std::chrono::seconds pollInterval, std::uint64_t seed, std::function<void(bool)> drainHandler);
    ~PlatformAnnouncer();
    PlatformAnnouncer(PlatformAnnouncer const&) = delete;
    PlatformAnnouncer& operator=(PlatformAnnouncer const&) = delete;

    /// \brief Writes this record after a random delay of at most `maximumDelay`; retries until the platform accepts it.
    void announce(Member const& member, std::chrono::milliseconds maximumDelay);

    /// \brief Blocks until the pending record is written, at most for `limit`.
    void flush(std::chrono::milliseconds limit);

private:
    asio::io_context& loop_;
    std::unique_ptr<ObjectStore> store_;
    std::string service_;
    std::string name_;
    std::chrono::seconds pollInterval_;
    std::function<void(bool)> drainHandler_;
    std::minstd_rand random_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::unique_ptr<Member> pending_;
    TimePoint writeTime_;
    TimePoint nextPoll_;
    bool writing_ { false };
    bool stopping_ { false };
    std::thread thread_;

    void run();
    void writePending(std::unique_lock<std::mutex>& lock);
    void pollDrain(std::unique_lock<std::mutex>& lock);
    bool write(Member const& member);
    Duration randomDelay(std::chrono::milliseconds limit);
};

} // namespace plantaindrift
