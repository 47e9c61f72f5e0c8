// Guards against a store that comes back from an older copy and lacks what this process read and wrote.
#include "plantaindrift/base/Error.h"
#include "runtime/FleetStoreThread.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace {

using namespace plantaindrift;
using namespace std::chrono_literals;

// What the store holds; outlives the FleetStore that the thread owns.
class StoreContents {
public:
    // The store comes back from a copy that lacks all members' records. Lists that may be old still show them.
    void restore()
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        ++generation_;
        oldMembers_ = std::exchange(members_, {});
        changed_.notify_all();
    }

    void add(Member const& member)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        members_[member.name] = member;
    }

    // Longest watch that was asked for since the last call.
    [[nodiscard]] std::chrono::milliseconds takeLongestWatch()
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return std::exchange(longestWatch_, {});
    }

    void failWrites(int count)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        failingWrites_ = count;
    }

    [[nodiscard]] std::uint64_t generation()
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return generation_;
    }

    [[nodiscard]] bool has(std::string const& name)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return members_.contains(name);
    }

    [[nodiscard]] int count(std::string const& call)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return calls_[call];
    }

    // Waits like a watch, which ends when the store is restored.
    void wait(std::chrono::milliseconds time, std::atomic<bool> const& cancelled)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        ++calls_["await"];
        longestWatch_ = std::max(longestWatch_, time);
        std::uint64_t const before = generation_;
        changed_.wait_for(lock, std::min(time, std::chrono::milliseconds { 50 }), [&] { return cancelled || generation_ != before; });
    }

    [[nodiscard]] std::vector<Member> readMembers(bool fresh)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        ++calls_[fresh ? "fresh" : "read"];
        std::vector<Member> found;
        for (auto const& [name, member] : fresh || oldMembers_.empty() ? members_ : oldMembers_)
            found.push_back(member);
        return found;
    }

    [[nodiscard]] bool write(Member const& member)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        ++calls_["write"];
        if (failingWrites_ > 0) {
            --failingWrites_;
            return false;
        }
        members_[member.name] = member;
        return true;
    }

    void remove(std::string const& name)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        ++calls_["remove"];
        members_.erase(name);
    }

    void noteConfigurationRead()
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        ++calls_["configuration"];
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Member> members_;
    std::map<std::string, Member> oldMembers_;
    std::map<std::string, int> calls_;
    std::uint64_t generation_ { 1 };
    int failingWrites_ { 0 };
    std::chrono::milliseconds longestWatch_ {};
};

class FakeStore final : public FleetStore {
public:
    explicit FakeStore(std::shared_ptr<StoreContents> contents)
        : contents_(std::move(contents))
    {
    }

    [[nodiscard]] absl::StatusOr<std::optional<VersionedConfiguration>> readConfiguration() override
    {
        contents_->noteConfigurationRead();
        noteAnswer();
        return std::optional<VersionedConfiguration>(VersionedConfiguration { 1, {} });
    }

    [[nodiscard]] absl::StatusOr<std::optional<VersionedConfiguration>> awaitConfiguration(std::chrono::milliseconds time) override
    {
        contents_->wait(time, cancelled_);
        noteAnswer();
        return std::optional<VersionedConfiguration>();
    }

    void cancelWait() noexcept override { cancelled_ = true; }
    [[nodiscard]] std::uint64_t generation() const noexcept override { return generation_; }

    [[nodiscard]] absl::StatusOr<std::vector<Member>> readMembers(bool fresh) override
    {
        noteAnswer();
        return contents_->readMembers(fresh);
    }

    [[nodiscard]] absl::Status writeMember(Member const& member) override
    {
        noteAnswer();
        return contents_->write(member) ? absl::OkStatus() : makeError(ErrorKind::Refused, "too many calls");
    }

    [[nodiscard]] absl::Status removeMember(std::string_view name) override
    {
        contents_->remove(std::string(name));
        return absl::OkStatus();
    }

private:
    std::shared_ptr<StoreContents> contents_;
    std::atomic<std::uint64_t> generation_ { 0 };
    std::atomic<bool> cancelled_ { false };

    void noteAnswer() { generation_ = contents_->generation(); }
};

Member makeSelf(MemberRole role)
{
    Member self;
    self.name = "node-1";
    self.role = role;
    self.data = { 0x0A010001U, 7735 };
    self.control = { 0x0A010001U, 7720 };
    return self;
}

// One process with its event loop.
struct Process {
    std::shared_ptr<StoreContents> contents;
    asio::io_context loop;
    int memberLists { 0 };
    int configurations { 0 };
    int freshLists { 0 };
    int writes { 0 };
    TimePoint lastFreshRead;
    std::unique_ptr<FleetStoreThread> store;

    explicit Process(MemberRole role, std::shared_ptr<StoreContents> given = std::make_shared<StoreContents>())
        : contents(std::move(given))
    {
        FleetStoreThread::Handlers handlers;
        handlers.members = [this](std::vector<Member> const&, bool) { ++memberLists; };
        handlers.freshMembers = [this](TimePoint started) {
            ++freshLists;
            lastFreshRead = started;
        };
        handlers.written = [this] { ++writes; };
        if (role == MemberRole::Entry)
            handlers.configuration = [this](VersionedConfiguration const&) { ++configurations; };
        store = std::make_unique<FleetStoreThread>(loop, std::make_unique<FakeStore>(contents), makeSelf(role), handlers);
        store->start();
        BOOST_TEST_REQUIRE(runUntil([this] { return contents->has("node-1") && memberLists > 0; }, 10s));
    }

    template <typename Predicate>
    bool runUntil(Predicate predicate, Duration limit)
    {
        TimePoint const end = std::chrono::steady_clock::now() + limit;
        while (!predicate() && std::chrono::steady_clock::now() < end) {
            loop.restart();
            loop.run_for(10ms);
        }
        return predicate();
    }

    [[nodiscard]] std::string metrics() const
    {
        MetricsPage page;
        store->addMetrics(page);
        return page.text();
    }
};

} // namespace

// Guards against entries that read the members once more before they reset callers, though the first list lacks nothing, and
// against agents that admit flows before their record is in the store.
BOOST_AUTO_TEST_CASE(TheFirstListIsReportedAsFreshAndTheWriteOfTheRecord)
{
    for (MemberRole const role : { MemberRole::Entry, MemberRole::Agent }) {
        TimePoint const begin = std::chrono::steady_clock::now();
        Process process(role);
        BOOST_TEST(process.runUntil([&process] { return process.freshLists == 1 && process.writes == 1; }, 10s));
        BOOST_TEST((process.lastFreshRead >= begin));
        BOOST_TEST((process.lastFreshRead <= std::chrono::steady_clock::now()));
    }
}

// Guards against a restore that leaves no trace in what operators see.
BOOST_AUTO_TEST_CASE(AMetricShowsThatTheStoreWasRestored)
{
    Process entry(MemberRole::Entry);
    BOOST_TEST(entry.metrics().find("plantaindrift_store_restores_total 0") != std::string::npos);
    entry.contents->restore();
    BOOST_TEST(entry.runUntil([&entry] { return entry.metrics().find("plantaindrift_store_restores_total 1") != std::string::npos; }, 10s));
    BOOST_TEST(entry.metrics().find("plantaindrift_store_generation 2") != std::string::npos);
    BOOST_TEST(entry.metrics().find("plantaindrift_store_records_written_total{repeated=\"no\"} 1") != std::string::npos);
}

// Guards against configuration and members that an entry reads seconds after a restore, or not at all.
BOOST_AUTO_TEST_CASE(AnEntryReadsEverythingAgainAfterARestore)
{
    Process entry(MemberRole::Entry);
    int const configurations = entry.contents->count("configuration");
    int const lists = entry.contents->count("fresh");
    entry.contents->restore();
    BOOST_TEST(entry.runUntil([&] { return entry.contents->count("configuration") > configurations && entry.contents->count("fresh") > lists; }, 1s));
}

// Guards against records that a restore lost: an entry that starts would not know their processes.
BOOST_AUTO_TEST_CASE(AnEntryWritesItsRecordAgainAfterARestore)
{
    Process entry(MemberRole::Entry);
    entry.contents->failWrites(2);
    entry.contents->restore();
    BOOST_TEST(entry.runUntil([&entry] { return entry.contents->has("node-1"); }, 10s));
    BOOST_TEST(entry.runUntil([&entry] { return entry.metrics().find("plantaindrift_store_records_written_total{repeated=\"yes\"} 1") != std::string::npos; }, 10s));
}

// An agent makes no calls once its record is written, so it learns of a restore from the entries.
BOOST_AUTO_TEST_CASE(AnAgentWritesItsRecordAgainWhenToldOfARestore)
{
    Process agent(MemberRole::Agent);
    int const written = agent.contents->count("write");
    agent.contents->restore();
    agent.runUntil([] { return false; }, 300ms);
    BOOST_TEST(agent.contents->count("write") == written);
    agent.contents->failWrites(2);
    agent.store->noteStoreGeneration(2);
    BOOST_TEST(agent.runUntil([&agent] { return agent.contents->has("node-1"); }, 10s));
    BOOST_TEST(agent.contents->count("write") == written + 3);
    BOOST_TEST(agent.contents->count("await") == 0);
}

// Every heartbeat's reply names the generation; calls must not follow from each of them.
// No entry tells the agent of the restore: all that it knew were replaced meanwhile.
BOOST_AUTO_TEST_CASE(AnAgentThatChecksTheStoreWritesARecordThatARestoreLost)
{
    Process agent(MemberRole::Agent);
    for (int restores = 1; restores <= 2; ++restores) {
        agent.contents->restore();
        agent.store->requestCheck();
        BOOST_TEST(agent.runUntil([&agent] { return agent.contents->has("node-1"); }, 8s));
        BOOST_TEST(agent.runUntil([&agent, restores] { return agent.memberLists >= 1 + restores; }, 1s));
    }
    BOOST_TEST(agent.metrics().find("plantaindrift_store_checks_total 2") != std::string::npos);
}

// Agents that no entry answers ask all the time; a list takes a call for each page.
BOOST_AUTO_TEST_CASE(ChecksOfTheStoreAreSecondsApart)
{
    Process agent(MemberRole::Agent);
    int const before = agent.contents->count("fresh");
    TimePoint const end = std::chrono::steady_clock::now() + 2500ms;
    agent.runUntil([&agent, end] {
        agent.store->requestCheck();
        return std::chrono::steady_clock::now() >= end;
    },
        3s);
    BOOST_TEST(agent.contents->count("fresh") <= before + 1);
    BOOST_TEST(agent.contents->count("write") == 1);
}

BOOST_AUTO_TEST_CASE(AnAgentWritesItsRecordOnceForAGeneration)
{
    Process agent(MemberRole::Agent);
    agent.runUntil([] { return false; }, 100ms);
    int const written = agent.contents->count("write");
    agent.store->noteStoreGeneration(0);
    agent.store->noteStoreGeneration(1);
    agent.runUntil([] { return false; }, 1s);
    BOOST_TEST(agent.contents->count("write") == written);
    // An entry that is wrong about the generation causes one write, not many.
    for (int repeated = 0; repeated < 5; ++repeated) {
        agent.store->noteStoreGeneration(7);
        agent.runUntil([] { return false; }, 400ms);
    }
    BOOST_TEST(agent.contents->count("write") == written + 1);
}

// The record of a process that leaves would be used as that of a running target.
BOOST_AUTO_TEST_CASE(AProcessThatLeavesDoesNotWriteItsRecordAgain)
{
    for (MemberRole const role : { MemberRole::Entry, MemberRole::Agent }) {
        Process process(role);
        process.contents->restore();
        process.store->requestStop();
        process.store->noteStoreGeneration(2);
        process.store->removeSelf();
        process.store->noteStoreGeneration(2);
        process.runUntil([] { return false; }, 1s);
        BOOST_TEST(!process.contents->has("node-1"));
    }
}

// Guards against changes of the configuration that are in force only after 8 to 12 s: with 64 records of former entries each watch
// lasted up to 20 s, so that the four running ones noticed silent channels late.
BOOST_AUTO_TEST_CASE(RecordsOfFormerEntriesDoNotLengthenTheWatch)
{
    std::shared_ptr<StoreContents> const contents = std::make_shared<StoreContents>();
    for (int index = 0; index < 64; ++index) {
        Member former = makeSelf(MemberRole::Entry);
        former.name = "former-" + std::to_string(index);
        contents->add(former);
    }
    Process entry(MemberRole::Entry, contents);
    entry.runUntil([&contents] { return contents->takeLongestWatch() > 2s; }, 10s);
    EntryCensus census;
    census.running = 4;
    entry.store->setEntryCensus(census);
    entry.runUntil([] { return false; }, 200ms);
    (void)contents->takeLongestWatch();
    entry.runUntil([] { return false; }, 500ms);
    std::chrono::milliseconds const longest = contents->takeLongestWatch();
    BOOST_TEST(longest.count() > 0);
    BOOST_TEST(longest.count() <= watchTimeoutFor(4).count());
}

BOOST_AUTO_TEST_CASE(RecordsOfEntriesThatAreGoneAreRemoved)
{
    std::shared_ptr<StoreContents> const contents = std::make_shared<StoreContents>();
    for (std::string const name : { "gone", "reborn", "other" }) {
        Member former = makeSelf(MemberRole::Entry);
        former.name = name;
        former.incarnation = name == "reborn" ? 9 : 5;
        contents->add(former);
    }
    Process entry(MemberRole::Entry, contents);
    EntryCensus census;
    census.running = 2;
    for (std::string const name : { "gone", "reborn", "node-1" }) {
        census.gone.push_back(makeSelf(MemberRole::Entry));
        census.gone.back().name = name;
        census.gone.back().incarnation = 5;
    }
    entry.store->setEntryCensus(census);
    BOOST_TEST(entry.runUntil([&contents] { return !contents->has("gone"); }, 10s));
    BOOST_TEST(contents->has("reborn"));
    BOOST_TEST(contents->has("other"));
    BOOST_TEST(contents->has("node-1"));
    BOOST_TEST(entry.metrics().find("plantaindrift_store_records_removed_total 1") != std::string::npos);
}

// The record of an entry that was removed by mistake would be missing until its end.
BOOST_AUTO_TEST_CASE(AnEntryWritesARecordAgainThatAnotherRemoved)
{
    Process entry(MemberRole::Entry);
    entry.contents->remove("node-1");
    BOOST_TEST(entry.runUntil([&entry] { return entry.contents->has("node-1"); }, 15s));
}

// Records of entries that end are left behind otherwise: 64 after 15 replacements of four.
BOOST_AUTO_TEST_CASE(AnEntryThatLeavesRemovesItsRecord)
{
    Process entry(MemberRole::Entry);
    entry.store->requestLeave();
    BOOST_TEST(entry.runUntil([&entry] { return !entry.contents->has("node-1"); }, 5s));
}
