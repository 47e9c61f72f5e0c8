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

/// \brief Object store of the settings' platform.
[[nodiscard]] std::unique_ptr<ObjectStore> openPlatform(CommonSettings const& settings);

/// \brief Creates an object or replaces whatever it holds.
[[nodiscard]] absl::Status writeObject(ObjectStore& store, std::string const& key, std::string const& value);

/// \brief Reads the change log and the announcements on a thread of its own, and posts what it finds to the loop.
///
/// Also writes the entry's status object: soon after its position changes, and every 50 to 150 s.
class PlatformReader {
public:
    /// \brief What the loop is told; all run on the loop.
    struct Handlers {
        std::function<void(std::vector<ConfigurationChange> const&)> changes;
        std::function<void(std::uint64_t, Configuration const&)> snapshot;
        std::function<void(std::vector<Member> const&)> members;
        std::function<void()> confirmed; ///< the platform answered: nothing newer is known
    };

    PlatformReader(asio::io_context& loop, std::unique_ptr<ObjectStore> store, CommonSettings const& settings, Handlers handlers);
    ~PlatformReader();
    PlatformReader(PlatformReader const&) = delete;
    PlatformReader& operator=(PlatformReader const&) = delete;

    void start();

    /// \brief Applied position, and whether this process holds a watch; from the loop.
    void setState(std::uint64_t position, bool watcher);

    /// \brief Ends the thread after the call to the platform that is under way.
    void requestStop();

private:
    asio::io_context& loop_;
    std::unique_ptr<ObjectStore> store_;
    ChangeStore changes_;
    std::string name_;
    std::string dataCentre_;
    std::chrono::seconds poll_;
    Handlers handlers_;
    std::minstd_rand random_;
    std::atomic<std::uint64_t> position_ { 0 };
    std::atomic<bool> watcher_ { false };
    std::atomic<bool> stopping_ { false };
    std::mutex mutex_;
    std::condition_variable wake_;
    std::thread thread_;
    std::uint64_t lastVersion_ { 0 };
    std::uint64_t reportedPosition_ { 0 };
    TimePoint statusDue_;
    TimePoint lastAnswer_;
    bool reachable_ { true };

    void run();
    bool fetchMembers();
    bool fetchChanges();
    bool watchChanges();
    bool findVersion();
    void postChanges(std::vector<ConfigurationChange> changes);
    void writeStatusIfDue();
    void noteResult(absl::Status const& status);
    void pause(std::chrono::milliseconds duration);
    std::chrono::milliseconds jitter(std::chrono::milliseconds base);
};

/// \brief Writes an agent's announcement object and reads requests to drain it, on a thread of its own.
///
/// The newest record wins.
class PlatformAnnouncer {
public:
    /// \param drain  told on the loop whether an operator asks this target to drain
    PlatformAnnouncer(asio::io_context& loop, std::unique_ptr<ObjectStore> store, Member const& self, std::chrono::seconds poll, std::uint64_t seed, std::function<void(bool)> drain);
    ~PlatformAnnouncer();
    PlatformAnnouncer(PlatformAnnouncer const&) = delete;
    PlatformAnnouncer& operator=(PlatformAnnouncer const&) = delete;

    /// \brief Writes this record after a random wait of at most `spread`, and again until the platform takes it.
    void announce(Member const& member, std::chrono::milliseconds spread);

    /// \brief Waits at most this long for a pending write.
    void flush(std::chrono::milliseconds limit);

private:
    asio::io_context& loop_;
    std::unique_ptr<ObjectStore> store_;
    std::string service_;
    std::string name_;
    std::chrono::seconds poll_;
    std::function<void(bool)> drain_;
    std::minstd_rand random_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::unique_ptr<Member> pending_;
    TimePoint due_;
    TimePoint nextPoll_;
    bool writing_ { false };
    bool stopping_ { false };
    std::thread thread_;

    void run();
    void writePending(std::unique_lock<std::mutex>& lock);
    void pollDrain(std::unique_lock<std::mutex>& lock);
    bool write(Member const& member);
    Duration randomUpTo(std::chrono::milliseconds limit);
};

} // namespace plantaindrift
