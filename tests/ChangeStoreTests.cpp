// Guards against changes that are lost, doubled or missing from the audit trail when answers are lost, writes arrive
// late or operators race, and against snapshots that differ from the log.

#include "plantaindrift/plantaindrift.h"
#include "plantaindrift/store/ChangeStore.h"
#include "support/FakeObjectStore.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace plantaindrift;
using test::FakeObjectStore;
using test::SharedObjects;

namespace {

Service makeService(std::string const& name, std::uint32_t slots)
{
    Service service;
    service.name = name;
    service.addresses = { { { 0x0A000001, 80 }, Protocol::Tcp } };
    service.targets = { name + "-*" };
    service.limits.slots = slots;
    return service;
}

AppendRequest makeRequest(std::uint64_t expected, std::string const& operationId, std::string const& service = "a", std::uint32_t slots = 1)
{
    return { expected, operationId, "ana", "test", 1'700'000'000'000, { { service, std::nullopt, makeService(service, slots) } } };
}

bool contains(absl::Status const& status, std::string_view part)
{
    return std::string(status.message()).find(part) != std::string::npos;
}

ErrorKind kindOf(absl::Status const& status)
{
    BOOST_TEST_REQUIRE(!status.ok());
    return errorKind(status);
}

std::vector<ConfigurationChange> readWholeLog(SharedObjects& shared)
{
    FakeObjectStore store(shared, 1);
    return ChangeStore(store).readAfter(0).value().changes;
}

// One operator command: its request, and what the operator was told in the end.
struct Operation {
    AppendRequest request;
    std::uint64_t acceptedAt { 0 };
    bool mayHaveRun { false }; ///< an earlier run ended without a known outcome
    bool isRejected { false };
};

// Operators that act between each other's calls, with every kind of fault.
class RacingOperators {
public:
    explicit RacingOperators(std::uint64_t seed)
        : random_(seed)
    {
    }

    void run(int operations)
    {
        for (int count = 0; count < operations; ++count)
            runOne(0);
        resolveUnknown();
    }

    void check()
    {
        std::map<std::string, std::uint64_t> found;
        for (ConfigurationChange const& change : readWholeLog(shared_))
            BOOST_TEST(found.emplace(change.operationId, change.position).second, "operation " << change.operationId << " is in the log twice");
        std::size_t accepted = 0;
        for (Operation const& operation : operations_) {
            bool const isInLog = found.contains(operation.request.operationId);
            BOOST_TEST(isInLog == (operation.acceptedAt != 0), "operation " << operation.request.operationId);
            if (operation.acceptedAt != 0 && isInLog)
                BOOST_TEST(found[operation.request.operationId] == operation.acceptedAt);
            accepted += operation.acceptedAt != 0 ? 1 : 0;
            rejected += operation.isRejected ? 1 : 0;
        }
        BOOST_TEST(found.size() == accepted);
        acceptedTotal += accepted;
    }

    std::size_t rejected { 0 };
    std::size_t acceptedTotal { 0 };
    std::size_t unknown { 0 };
    std::size_t nested { 0 };

private:
    void runOne(int depth)
    {
        constexpr int mostDepth = 3;
        constexpr int mostRuns = 6;
        FakeObjectStore store(shared_, random_());
        store.faults = { 4, 10, 6, 4 };
        if (depth < mostDepth) {
            store.beforeCall = [this, depth] {
                if (random_() % 100 < 3) {
                    ++nested;
                    runOne(depth + 1);
                }
            };
        }
        std::size_t const index = operations_.size();
        operations_.push_back({ makeRequest(newestPosition(), "op-" + std::to_string(index)) });
        for (int count = 0; count < mostRuns && runOnce(store, index); ++count) { }
    }

    // True if the operator runs the command again.
    bool runOnce(FakeObjectStore& store, std::size_t index)
    {
        AppendRequest const request = operations_[index].request;
        absl::StatusOr<AppendResult> const result = ChangeStore(store).append(request);
        Operation& operation = operations_[index];
        if (result.ok()) {
            operation.acceptedAt = result->position;
            return false;
        }
        ErrorKind const kind = errorKind(result.status());
        if (kind == ErrorKind::OutcomeUnknown) {
            ++unknown;
            operation.mayHaveRun = true;
            // Some operators prepare the command anew, which must not give the operation a second position.
            if (random_() % 2 == 0)
                operation.request.expectedPosition = newestPosition();
            return random_() % 4 != 0;
        }
        if (kind == ErrorKind::PlatformUnreachable)
            return random_() % 2 == 0;
        BOOST_TEST((kind == ErrorKind::LostRace || kind == ErrorKind::Refused), result.status());
        if (kind == ErrorKind::LostRace) {
            // The loser diffs again and repeats the operation at the new position, or gives up.
            bool const triesAgain = random_() % 2 == 0;
            operation.isRejected = !triesAgain;
            operation.request.expectedPosition = newestPosition();
            return triesAgain;
        }
        return false;
    }

    // An operator who was not told the outcome repeats the command once the faults are over.
    void resolveUnknown()
    {
        FakeObjectStore store(shared_, 1);
        for (Operation& operation : operations_) {
            if (operation.acceptedAt != 0 || !operation.mayHaveRun || operation.isRejected)
                continue;
            absl::StatusOr<AppendResult> result = ChangeStore(store).append(operation.request);
            if (!result.ok() && errorKind(result.status()) == ErrorKind::Refused)
                continue;
            if (result.ok())
                operation.acceptedAt = result->position;
            else
                BOOST_TEST((errorKind(result.status()) == ErrorKind::LostRace), result.status());
        }
    }

    [[nodiscard]] std::uint64_t newestPosition() const
    {
        std::uint64_t position = 0;
        while (shared_.objects.find(changeKey(position + 1)) != nullptr)
            ++position;
        return position;
    }

    std::mt19937_64 random_;
    SharedObjects shared_;
    std::vector<Operation> operations_;
};

} // namespace

BOOST_AUTO_TEST_CASE(AppendsTakeTheNextPosition)
{
    SharedObjects shared;
    FakeObjectStore store(shared, 1);
    ChangeStore changes(store);
    BOOST_TEST(changes.append(makeRequest(0, "one")).value().position == 1U);
    BOOST_TEST(changes.append(makeRequest(1, "two")).value().position == 2U);
    ConfigurationChange const change = changes.read(2).value();
    BOOST_TEST(change.operationId == "two");
    BOOST_TEST(change.author == "ana");
    BOOST_TEST((kindOf(changes.read(3).status()) == ErrorKind::NotFound));
}

BOOST_AUTO_TEST_CASE(RepeatsReportThePositionTheyHave)
{
    SharedObjects shared;
    FakeObjectStore store(shared, 1);
    ChangeStore changes(store);
    BOOST_TEST_REQUIRE(changes.append(makeRequest(0, "one")).ok());
    BOOST_TEST_REQUIRE(changes.append(makeRequest(1, "two", "b")).ok());
    for (std::uint64_t const expected : { 0U, 1U, 2U }) {
        AppendResult const result = changes.append(makeRequest(expected, "one")).value();
        BOOST_TEST(result.position == 1U);
        BOOST_TEST(result.repeated);
    }
    BOOST_TEST(readWholeLog(shared).size() == 2U);
}

BOOST_AUTO_TEST_CASE(LosersAreToldWhoWonAndWhatToDo)
{
    SharedObjects shared;
    FakeObjectStore store(shared, 1);
    ChangeStore changes(store);
    BOOST_TEST_REQUIRE(changes.append(makeRequest(0, "winner")).ok());
    absl::Status const status = changes.append(makeRequest(0, "loser", "b")).status();
    BOOST_TEST((kindOf(status) == ErrorKind::LostRace));
    for (std::string_view const part : { "position 1 was taken by ana at 2023-11-14T22:13:20Z", "operation winner", "reason: test", "run diff again", "--expected_position" })
        BOOST_TEST(contains(status, part), status);
    BOOST_TEST(changes.append(makeRequest(1, "loser", "b")).value().position == 2U);
}

BOOST_AUTO_TEST_CASE(WrongRequestsAreRefusedWithoutEffect)
{
    SharedObjects shared;
    FakeObjectStore store(shared, 1);
    ChangeStore changes(store);
    BOOST_TEST((kindOf(changes.append(makeRequest(7, "gap")).status()) == ErrorKind::Refused));
    BOOST_TEST((kindOf(changes.append(makeRequest(0, "a/b")).status()) == ErrorKind::Refused));
    BOOST_TEST((kindOf(changes.append(makeRequest(0, "")).status()) == ErrorKind::Refused));
    AppendRequest request = makeRequest(0, "op");
    request.services.clear();
    BOOST_TEST((kindOf(changes.append(request).status()) == ErrorKind::Refused));
    request = makeRequest(0, "op");
    request.author = "";
    BOOST_TEST(contains(changes.append(request).status(), "author"));
    request = makeRequest(0, "op", "a", 0);
    BOOST_TEST(contains(changes.append(request).status(), "slots"));
    request = makeRequest(0, "op");
    Service large = makeService("a", 1);
    for (int target = 0; target < 1000; ++target)
        large.targets.push_back(std::to_string(target) + std::string(50, 'x'));
    std::sort(large.targets.begin(), large.targets.end());
    for (int service = 0; service < 30; ++service) {
        large.name = "s" + std::to_string(service);
        request.services.push_back({ large.name, std::nullopt, large });
    }
    BOOST_TEST(contains(changes.append(request).status(), "split it"));
    BOOST_TEST(shared.writes == 0U);
}

BOOST_AUTO_TEST_CASE(AnOperationIdNamesOneChange)
{
    SharedObjects shared;
    FakeObjectStore store(shared, 1);
    ChangeStore changes(store);
    BOOST_TEST_REQUIRE(changes.append(makeRequest(0, "one")).ok());
    absl::Status const status = changes.append(makeRequest(1, "one", "other")).status();
    BOOST_TEST((kindOf(status) == ErrorKind::Refused));
    BOOST_TEST(contains(status, "use a new operation id"));
    BOOST_TEST(readWholeLog(shared).size() == 1U);
}

BOOST_AUTO_TEST_CASE(LostAnswersAreResolvedByReading)
{
    SharedObjects shared;
    FakeObjectStore store(shared, 1);
    store.faults.lostAnswer = 100;
    BOOST_TEST(ChangeStore(store).append(makeRequest(0, "one")).value().position == 1U);
    BOOST_TEST(readWholeLog(shared).size() == 1U);
}

// An operator who is told that a change was rejected must not find it in force later.
BOOST_AUTO_TEST_CASE(NoRejectionWhileAWriteMayStillArrive)
{
    SharedObjects shared;
    FakeObjectStore store(shared, 1);
    ChangeStore changes(store);
    BOOST_TEST_REQUIRE(changes.append(makeRequest(0, "other")).ok());
    shared.holdLateWrites = true;
    store.beforeCall = [&] { store.faults.lateWrite = shared.objects.find("operation/one") == nullptr ? 0 : 100; };
    BOOST_TEST((kindOf(changes.append(makeRequest(1, "one", "b")).status()) == ErrorKind::OutcomeUnknown));
    BOOST_TEST(!shared.lateWrites.empty());
    absl::Status const status = changes.append(makeRequest(0, "one", "b")).status();
    BOOST_TEST((kindOf(status) == ErrorKind::Refused));
    BOOST_TEST(contains(status, "--expected_position=1"), status);
    for (std::function<void()> const& arrive : shared.lateWrites)
        arrive();
    BOOST_TEST(changes.append(makeRequest(1, "one", "b")).value().position == 2U);
    BOOST_TEST(readWholeLog(shared).size() == 2U);
}

// Nothing accepted is missing from the log, and nothing in the log was not accepted.
BOOST_AUTO_TEST_CASE(TheAuditTrailMatchesWhatOperatorsWereTold)
{
    std::size_t rejected = 0;
    std::size_t accepted = 0;
    std::size_t unknown = 0;
    std::size_t nested = 0;
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        RacingOperators operators(seed);
        operators.run(20);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            operators.check();
        }
        rejected += operators.rejected;
        accepted += operators.acceptedTotal;
        unknown += operators.unknown;
        nested += operators.nested;
    }
    BOOST_TEST_MESSAGE("accepted " << accepted << " rejected " << rejected << " unknown " << unknown << " nested " << nested);
    // The run means nothing unless every outcome occurred.
    BOOST_TEST(accepted > 1000U);
    BOOST_TEST(rejected > 50U);
    BOOST_TEST(unknown > 20U);
    BOOST_TEST(nested > 500U);
}

BOOST_AUTO_TEST_CASE(MissingPositionsAreNamed)
{
    SharedObjects shared;
    FakeObjectStore store(shared, 1);
    ChangeStore changes(store);
    BOOST_TEST_REQUIRE(changes.append(makeRequest(0, "one")).ok());
    BOOST_TEST_REQUIRE((shared.objects.create(changeKey(3), encodeChange({ 3, "x", "x", "x", 1, {} })) == standin::WriteResult::Done));
    absl::Status const status = changes.readAfter(0).status();
    BOOST_TEST((kindOf(status) == ErrorKind::InvalidMessage));
    BOOST_TEST(contains(status, "position 2"), status);
}

BOOST_AUTO_TEST_CASE(DamagedRecordsAreNamed)
{
    SharedObjects shared;
    FakeObjectStore store(shared, 1);
    BOOST_TEST_REQUIRE((shared.objects.create(changeKey(1), "{") == standin::WriteResult::Done));
    ChangeLog log;
    absl::Status const status = ChangeStore(store).catchUp(log);
    BOOST_TEST(contains(status, "log/000000000001"), status);
    BOOST_TEST(log.position() == 0U);
}

BOOST_AUTO_TEST_CASE(SnapshotsAgreeWithTheLog)
{
    SharedObjects shared;
    FakeObjectStore store(shared, 1);
    ChangeStore changes(store);
    ChangeLog replayed;
    std::size_t snapshots = 0;
    constexpr std::uint64_t positions = 200;
    for (std::uint64_t position = 0; position < positions; ++position) {
        std::string const name = "s" + std::to_string(position % 90);
        BOOST_TEST_REQUIRE(changes.append(makeRequest(position, "op-" + std::to_string(position), name, static_cast<std::uint32_t>(position) + 1)).ok());
        BOOST_TEST_REQUIRE(replayed.apply(changes.read(position + 1).value()).value());
        snapshots += changes.writeSnapshotIfDue(replayed).value() ? 1 : 0;
    }
    BOOST_TEST(snapshots == 3U);
    ChangeLog started;
    std::uint64_t const readsBefore = shared.reads;
    BOOST_TEST_REQUIRE(changes.catchUp(started).ok());
    BOOST_TEST(started.position() == positions);
    BOOST_TEST((started.configuration() == replayed.configuration()));
    BOOST_TEST(shared.reads - readsBefore < 6U);
    BOOST_TEST(changes.readAfter(0).value().snapshotPosition == 192U);
    BOOST_TEST((changes.configurationAt(positions).value() == replayed.configuration()));
    BOOST_TEST(changes.configurationAt(10).value().services.size() == 10U);
    BOOST_TEST((kindOf(changes.configurationAt(positions + 1).status()) == ErrorKind::NotFound));
}

BOOST_AUTO_TEST_CASE(ShardsStayBelowTheLimit)
{
    SharedObjects shared;
    FakeObjectStore store(shared, 1);
    Configuration configuration;
    Service service = makeService("", 1);
    service.targets.clear();
    for (int target = 0; target < 1000; ++target)
        service.targets.push_back(std::to_string(100000 + target) + std::string(50, 'x'));
    for (int index = 0; index < 20; ++index) {
        service.name = "s" + std::to_string(10 + index);
        configuration.services.push_back(service);
    }
    ChangeLog log;
    BOOST_TEST_REQUIRE(log.applySnapshot(64, configuration));
    BOOST_TEST(ChangeStore(store).writeSnapshotIfDue(log).value());
    std::vector<StoredObject> const shards = shared.objects.list("snapshot/", "", 100);
    BOOST_TEST(shards.size() > 3U);
    for (StoredObject const& shard : shards)
        BOOST_TEST(shard.value.size() < 256'000U);
    BOOST_TEST((ChangeStore(store).readAfter(0).value().snapshot == configuration));
}

// A reader never takes a part of a snapshot for all of it.
BOOST_AUTO_TEST_CASE(DamagedSnapshotsAreReplacedByTheLog)
{
    for (std::string_view const damage : { "{", "", "{\"format\":1,\"position\":63,\"shard\":0,\"services\":[]}" }) {
        SharedObjects shared;
        FakeObjectStore store(shared, 1);
        ChangeStore changes(store);
        for (std::uint64_t position = 0; position < 64; ++position)
            BOOST_TEST_REQUIRE(changes.append(makeRequest(position, "op-" + std::to_string(position))).ok());
        ChangeLog log;
        BOOST_TEST_REQUIRE(changes.catchUp(log).ok());
        BOOST_TEST_REQUIRE(changes.writeSnapshotIfDue(log).value());
        StoredObject const shard = shared.objects.list("snapshot/", "", 1).front();
        if (damage.empty())
            BOOST_TEST_REQUIRE((shared.objects.remove(shard.key, shard.version) == standin::WriteResult::Done));
        else
            BOOST_TEST_REQUIRE((shared.objects.update(shard.key, damage, shard.version) == standin::WriteResult::Done));
        LogContents const contents = changes.readAfter(0).value();
        BOOST_TEST(contents.snapshotPosition == 0U);
        BOOST_TEST(contents.changes.size() == 64U);
    }
}

// Faults while a snapshot is written leave the old one or the new one in force, never a part.
BOOST_AUTO_TEST_CASE(FaultsWhileWritingSnapshotsHideNothing)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        SharedObjects shared;
        FakeObjectStore good(shared, seed);
        ChangeStore changes(good);
        for (std::uint64_t position = 0; position < 70; ++position)
            BOOST_TEST_REQUIRE(changes.append(makeRequest(position, "op-" + std::to_string(position), "s" + std::to_string(position))).ok());
        ChangeLog log;
        BOOST_TEST_REQUIRE(changes.catchUp(log).ok());
        FakeObjectStore faulty(shared, seed);
        faulty.faults = { 20, 30, 20, 20 };
        (void)ChangeStore(faulty).writeSnapshotIfDue(log);
        ChangeLog started;
        BOOST_TEST_REQUIRE(changes.catchUp(started).ok());
        BOOST_TEST((started.configuration() == log.configuration()));
        BOOST_TEST(started.position() == log.position());
    }
}
