// Guards against evacuations that an entry never reads because a call to the store failed, threw or hung, and against calls
// at a rate that the store does not take.
#include "runtime/EvacuationReader.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <limits>
#include <mutex>
#include <stdexcept>

namespace {

using namespace plantaindrift;
using namespace std::chrono_literals;

// What several tests want to know of the calls, and the answers to the first of them.
struct Calls {
    std::mutex mutex;
    std::condition_variable wake;
    int reads { 0 };
    int watches { 0 };
    int failingReads { 0 };
    int failingWatches { 0 };
    bool throws { false };
    bool hangs { false }; ///< watches wait for their time or a cancellation
    bool cancelled { false };
    std::vector<std::string> dataCentres { "north" };

    [[nodiscard]] int count(int Calls::*counter)
    {
        std::lock_guard<std::mutex> const lock(mutex);
        return this->*counter;
    }
};

class FakeStore final : public FleetStore {
public:
    explicit FakeStore(Calls& calls)
        : calls_(calls)
    {
    }

    absl::StatusOr<std::optional<VersionedConfiguration>> readConfiguration() override { return std::nullopt; }
    absl::StatusOr<std::optional<VersionedConfiguration>> awaitConfiguration(std::chrono::milliseconds /*time*/) override { return std::nullopt; }
    absl::StatusOr<std::vector<Member>> readMembers(bool /*fresh*/) override { return std::vector<Member> {}; }
    absl::Status writeMember(Member const& /*member*/) override { return absl::OkStatus(); }
    absl::Status removeMember(std::string_view /*name*/) override { return absl::OkStatus(); }
    [[nodiscard]] bool holdsEvacuations() const noexcept override { return true; }

    absl::StatusOr<StoredEvacuations> readEvacuations() override
    {
        std::lock_guard<std::mutex> const lock(calls_.mutex);
        ++calls_.reads;
        if (calls_.failingReads > 0) {
            --calls_.failingReads;
            if (calls_.throws)
                throw std::out_of_range("answer");
            return absl::UnavailableError("down");
        }
        return StoredEvacuations { { calls_.dataCentres, { 1, 500 } }, {} };
    }

    absl::StatusOr<std::optional<StoredEvacuations>> awaitEvacuations(std::chrono::milliseconds time) override
    {
        std::unique_lock<std::mutex> lock(calls_.mutex);
        ++calls_.watches;
        if (calls_.failingWatches > 0) {
            --calls_.failingWatches;
            return absl::UnavailableError("410");
        }
        calls_.wake.wait_for(lock, calls_.hangs ? time : 20ms, [this] { return calls_.cancelled; });
        return std::nullopt;
    }

    void cancelWait() noexcept override
    {
        {
            std::lock_guard<std::mutex> const lock(calls_.mutex);
            calls_.cancelled = true;
        }
        calls_.wake.notify_all();
    }

private:
    Calls& calls_;
};

struct Scene {
    Calls calls;
    asio::io_context loop;
    std::vector<StoredEvacuations> found;
    int attempts { 0 };
    std::unique_ptr<EvacuationReader> reader;

    void start()
    {
        EvacuationReader::Handlers handlers;
        handlers.evacuations = [this](StoredEvacuations const& stored) { found.push_back(stored); };
        handlers.attempted = [this] { ++attempts; };
        reader = std::make_unique<EvacuationReader>(loop, std::make_unique<FakeStore>(calls), 1, std::move(handlers));
    }

    template <typename Predicate>
    bool runUntil(Predicate predicate, Duration limit)
    {
        for (TimePoint const end = std::chrono::steady_clock::now() + limit; !predicate() && std::chrono::steady_clock::now() < end;) {
            loop.restart();
            loop.run_for(10ms);
        }
        return predicate();
    }
};

} // namespace

// Guards against a store that refuses some calls at the start: the list must be read later.
BOOST_AUTO_TEST_CASE(TheListIsReadAfterFailures)
{
    for (bool const throws : { false, true }) {
        Scene scene;
        scene.calls.failingReads = 3;
        scene.calls.throws = throws;
        scene.start();
        BOOST_TEST(scene.runUntil([&] { return !scene.found.empty(); }, 10s));
        BOOST_TEST(scene.found.front().set.contains("north"));
        BOOST_TEST(scene.attempts == 1);
    }
}

// Guards against an entry that holds callers' segments for a store that does not answer: the first failure is reported.
BOOST_AUTO_TEST_CASE(AFailedFirstReadIsReported)
{
    Scene scene;
    scene.calls.failingReads = 1000;
    scene.start();
    BOOST_TEST(scene.runUntil([&] { return scene.attempts == 1; }, 5s));
    BOOST_TEST(scene.found.empty());
}

// Guards against the set being known later than the report that the read has ended.
BOOST_AUTO_TEST_CASE(TheSetComesBeforeTheReportOfTheFirstRead)
{
    Scene scene;
    scene.start();
    BOOST_TEST(scene.runUntil([&] { return scene.attempts == 1; }, 5s));
    BOOST_TEST(scene.found.size() == 1U);
}

// Guards against changes that are missed after a watch that failed, as with 410.
BOOST_AUTO_TEST_CASE(AFailedWatchIsFollowedByARead)
{
    Scene scene;
    scene.calls.failingWatches = 1;
    scene.start();
    BOOST_TEST(scene.runUntil([&] { return scene.found.size() == 2; }, 10s));
    BOOST_TEST(scene.calls.count(&Calls::reads) == 2);
}

// Guards against calls without a pause while the store refuses them.
BOOST_AUTO_TEST_CASE(FailedCallsAreRepeatedAtAFallingRate)
{
    Scene scene;
    scene.calls.failingReads = 1000;
    scene.start();
    scene.runUntil([] { return false; }, 3s);
    // At least a quarter of 100, 200, 400, 800 and 1,500 ms lies between two calls.
    BOOST_TEST(scene.calls.count(&Calls::reads) <= 12);
    BOOST_TEST(scene.calls.count(&Calls::reads) >= 3);
}

// Guards against a process that does not end because a watch hangs.
BOOST_AUTO_TEST_CASE(AReaderEndsWhileItsWatchHangs)
{
    Scene scene;
    scene.calls.hangs = true;
    scene.start();
    BOOST_TEST_REQUIRE(scene.runUntil([&] { return scene.calls.count(&Calls::watches) > 0; }, 5s));
    TimePoint const stopped = std::chrono::steady_clock::now();
    scene.reader.reset();
    BOOST_TEST((std::chrono::steady_clock::now() - stopped < 1s));
}

// Guards against watches that hide a change for long, or that are renewed too often by all entries together.
BOOST_AUTO_TEST_CASE(AllEntriesTogetherRenewAboutOneWatchASecond)
{
    BOOST_TEST((evacuationWatchFor(0) == 2s));
    BOOST_TEST((evacuationWatchFor(1) == 2s));
    BOOST_TEST((evacuationWatchFor(7) == 7s));
    BOOST_TEST((evacuationWatchFor(17) == 17s));
    BOOST_TEST((evacuationWatchFor(200) == 20s));
    BOOST_TEST((evacuationWatchFor(std::numeric_limits<std::size_t>::max()) == 20s));
}
