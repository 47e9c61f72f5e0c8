// Guards against commands that exit with the wrong code, change something although they were refused, or are not safe
// to repeat. Runs the real program against the platform stand-in over loopback.

#include "plantaindrift/plantaindrift.h"
#include "plantaindrift/store/ChangeStore.h"
#include "plantaindrift/store/StatusObjects.h"
#include "runtime/Settings.h"
#include "support/PlatformProcess.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace plantaindrift;

namespace {

using Result = test::ChildProcess::Result;

Result runTool(std::vector<std::string> const& arguments)
{
    std::vector<std::string> command { std::string(PLANTAINDRIFT_BINARY_DIR) + "/bin/plantaindrift" };
    command.insert(command.end(), arguments.begin(), arguments.end());
    return test::ChildProcess(command).finish(std::chrono::seconds(120));
}

bool contains(std::string const& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

std::int64_t wallClock()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string configurationText(int slots)
{
    return "format = 1\n[[service]]\nname = \"rota-desk\"\naddresses = [\"10.0.0.1:443/tcp\"]\ntargets = [\"rota-*\"]\nslots = " + std::to_string(slots) + "\n";
}

// Temporary directory of this test process, removed by the destructor.
class Workspace {
public:
    Workspace()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "plantaindrift-test-XXXXXX").string();
        BOOST_TEST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
        path_ = pattern;
    }
    Workspace(Workspace const&) = delete;
    Workspace& operator=(Workspace const&) = delete;
    ~Workspace()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }

    [[nodiscard]] std::string path() const { return path_.string(); }

    [[nodiscard]] std::string write(std::string const& name, std::string const& content) const
    {
        std::ofstream(path_ / name, std::ios::binary) << content;
        return (path_ / name).string();
    }

    [[nodiscard]] std::string read(std::string const& name) const
    {
        std::ostringstream content;
        content << std::ifstream(path_ / name, std::ios::binary).rdbuf();
        return content.str();
    }

private:
    std::filesystem::path path_;
};

// Runs the platform stand-in, and provides the program's flags for it and a store client for the test.
struct Deployment {
    test::PlatformProcess platform;
    Workspace workspace;
    std::unique_ptr<ObjectStore> store { makeStore() };

    [[nodiscard]] std::unique_ptr<ObjectStore> makeStore() const
    {
        HttpObjectStoreOptions options;
        options.url = platform.url();
        options.timeout = std::chrono::seconds(30);
        return makeHttpObjectStore(options);
    }

    [[nodiscard]] Result run(std::vector<std::string> arguments) const
    {
        arguments.push_back("--platform=" + platform.url());
        if (!std::any_of(arguments.begin(), arguments.end(), [](std::string const& argument) { return argument.starts_with("--timeout_ms"); }))
            arguments.emplace_back("--timeout_ms=30000");
        return runTool(arguments);
    }

    [[nodiscard]] Result apply(int slots, int expected, std::string const& operationId = "") const
    {
        std::vector<std::string> arguments { "apply", workspace.write("c.toml", configurationText(slots)), "--expected_position=" + std::to_string(expected), "--author=ana", "--reason=more slots" };
        if (!operationId.empty())
            arguments.push_back("--operation_id=" + operationId);
        return run(arguments);
    }

    [[nodiscard]] std::size_t logSize() const { return ChangeStore(*store).readAfter(0).value().changes.size(); }

    void putEntry(std::string const& name, std::uint64_t position, std::int64_t silence = 0) const
    {
        std::string const value = encodeEntryStatus({ name, "Kranj", position, wallClock() - silence, 0 });
        absl::StatusOr<StoredObject> const existing = store->get(entryStatusKey(name));
        if (existing.ok())
            BOOST_TEST_REQUIRE(store->update(entryStatusKey(name), value, existing->version).ok());
        else
            BOOST_TEST_REQUIRE(store->create(entryStatusKey(name), value).ok());
    }

    std::uint64_t writes() { return platform.count("create") + platform.count("update") + platform.count("remove"); }
};

struct Usage {
    std::vector<std::string> arguments;
    std::string_view message;
};

} // namespace

BOOST_AUTO_TEST_CASE(EveryCommandHasHelp)
{
    Result const all = runTool({ "help" });
    BOOST_TEST(all.exitCode == 0);
    for (std::string const& name : { std::string("validate"), std::string("diff"), std::string("apply"), std::string("status"), std::string("drain"), std::string("undrain"), std::string("evacuate"), std::string("restore"), std::string("audit"), std::string("wait"), std::string("rollback"), std::string("keygen") }) {
        BOOST_TEST(contains(all.output, "  " + name + ' '), name);
        Result const one = runTool({ "help", name });
        BOOST_TEST(one.exitCode == 0);
        BOOST_TEST(contains(one.output, "usage: plantaindrift " + name));
        BOOST_TEST(runTool({ name, "--help" }).output == one.output);
        // The shell completion file must contain every command.
        std::ostringstream completion;
        completion << std::ifstream(std::string(PLANTAINDRIFT_SOURCE_DIR) + "/completions/plantaindrift.bash").rdbuf();
        BOOST_TEST(contains(completion.str(), name), name);
    }
}

BOOST_AUTO_TEST_CASE(WrongUsageIsRefusedWithARemedy)
{
    std::vector<Usage> const usages {
        { {}, "usage: plantaindrift" },
        { { "frobnicate" }, "see plantaindrift help" },
        { { "help", "frobnicate" }, "usage: plantaindrift" },
        { { "validate" }, "validate takes FILE" },
        { { "validate", "a", "b" }, "validate takes FILE" },
        { { "validate", "a", "--author=ana" }, "--author is not one of validate" },
        { { "validate", "/nonexistent" }, "check its name" },
        { { "validate", "a", "--output=xml" }, "use table or json" },
        { { "apply", "a", "--colour=1" }, "see plantaindrift help apply" },
        { { "apply", "a", "--author" }, "write --author=VALUE" },
        { { "apply", "a", "--expected_position=x" }, "wrong type" },
        { { "wait", "--deadline_s=-1" }, "wrong type" },
        { { "drain", "a" }, "drain takes SERVICE NAME" },
        { { "drain", "a", "b/c", "--author=ana", "--reason=x" }, "NAME is not a name" },
        { { "drain", "a", "b" }, "--author or --reason is missing" },
        { { "evacuate" }, "evacuate takes DATA_CENTRE" },
        { { "evacuate", "a/b", "--author=ana", "--reason=x" }, "DATA_CENTRE is not a name" },
        { { "evacuate", "Kegalle", "--author=ana" }, "--author or --reason is missing" },
        { { "restore", "a/b" }, "DATA_CENTRE is not a name" },
        { { "restore", "Kegalle", "--author=ana" }, "--author is not one of restore" },
        { { "audit", "--since=yesterday" }, "is not a time" },
        { { "rollback", "--author=ana" }, "--position is missing" },
        { { "status", "--platform=nowhere" }, "use http://A.B.C.D:PORT" },
        { { "keygen", "--epoch=256" }, "give a number from 0 to 255" },
        { { "keygen", "--directory=/nonexistent" }, "check that the directory exists" },
    };
    for (Usage const& usage : usages) {
        Result const result = runTool(usage.arguments);
        BOOST_TEST(result.exitCode == 2, usage.message);
        BOOST_TEST(contains(result.errors, usage.message), result.errors);
    }
}

BOOST_AUTO_TEST_CASE(FilesAreValidatedWithoutThePlatform)
{
    Workspace const workspace;
    Result const good = runTool({ "validate", workspace.write("a.toml", configurationText(7)) });
    BOOST_TEST(good.exitCode == 0);
    BOOST_TEST(contains(good.output, "valid, 1 service"));
    Result const wrong = runTool({ "validate", workspace.write("b.toml", configurationText(0)) });
    BOOST_TEST(wrong.exitCode == 2);
    BOOST_TEST(contains(wrong.errors, "b.toml:6:9: slots is 0"), wrong.errors);
    Result const json = runTool({ "validate", workspace.write("b.toml", configurationText(0)), "--output=json" });
    BOOST_TEST(nlohmann::json::parse(json.errors).at("error") == "invalid_settings");
}

BOOST_AUTO_TEST_CASE(ChangesAreShownAppliedAndAudited)
{
    Deployment deployment;
    std::string const file = deployment.workspace.write("c.toml", configurationText(7));
    Result const added = deployment.run({ "diff", file });
    BOOST_TEST(added.exitCode == 0, added.errors);
    BOOST_TEST(contains(added.output, "+ rota-desk\nposition 0, 1 service differs"), added.output);
    BOOST_TEST(deployment.logSize() == 0U);
    Result const applied = deployment.apply(7, 0, "one");
    BOOST_TEST(applied.exitCode == 0, applied.errors);
    BOOST_TEST(contains(applied.output, "applied: position 1, operation one"));
    Result const changed = deployment.run({ "diff", deployment.workspace.write("c.toml", configurationText(8)) });
    BOOST_TEST(contains(changed.output, "~ rota-desk slots: 7 -> 8\nposition 1"), changed.output);
    BOOST_TEST(deployment.apply(8, 1).exitCode == 0);
    BOOST_TEST(contains(deployment.apply(8, 2).output, "unchanged: position 2"));
    Result const audit = deployment.run({ "audit", "--output=json" });
    nlohmann::json const changes = nlohmann::json::parse(audit.output).at("changes");
    BOOST_TEST_REQUIRE(changes.size() == 2U);
    BOOST_TEST(changes[0].at("author") == "ana");
    BOOST_TEST(changes[1].at("services")[0].at("before").at("slots") == 7);
    BOOST_TEST(contains(deployment.run({ "audit", "--author=ana", "--service=rota-desk", "--since=2000-01-01" }).output, "~rota-desk"));
    for (std::string const& filter : { std::string("--author=bor"), std::string("--service=other"), std::string("--until=2000-01-01T00:00:00Z") })
        BOOST_TEST(nlohmann::json::parse(deployment.run({ "audit", "--output=json", filter }).output).at("changes").empty(), filter);
}

BOOST_AUTO_TEST_CASE(RefusedChangesHaveNoEffect)
{
    Deployment deployment;
    BOOST_TEST_REQUIRE(deployment.apply(7, 0).exitCode == 0);
    std::uint64_t const writes = deployment.writes();
    BOOST_TEST(deployment.apply(0, 1).exitCode == 2);
    std::string const file = deployment.workspace.write("c.toml", configurationText(9));
    BOOST_TEST(deployment.run({ "apply", file, "--author=ana", "--reason=x" }).exitCode == 2);
    BOOST_TEST(deployment.run({ "apply", file, "--expected_position=1", "--reason=x" }).exitCode == 2);
    BOOST_TEST(deployment.run({ "apply", file, "--expected_position=1", "--author=ana" }).exitCode == 2);
    BOOST_TEST(deployment.run({ "apply", file, "--expected_position=1", "--author=ana", "--reason=x", "--operation_id=a/b" }).exitCode == 2);
    BOOST_TEST(deployment.run({ "apply", file, "--expected_position=7", "--author=ana", "--reason=x" }).exitCode == 1);
    std::string const half = configurationText(9) + "[[service]]\nname = \"b\"\n";
    BOOST_TEST(deployment.run({ "apply", deployment.workspace.write("h.toml", half), "--expected_position=1", "--author=ana", "--reason=x" }).exitCode == 2);
    BOOST_TEST(deployment.writes() == writes);
    BOOST_TEST(deployment.logSize() == 1U);
}

BOOST_AUTO_TEST_CASE(LosersOfARaceExitWithCode3)
{
    Deployment deployment;
    BOOST_TEST_REQUIRE(deployment.apply(7, 0, "winner").exitCode == 0);
    Result const lost = deployment.apply(8, 0, "loser");
    BOOST_TEST(lost.exitCode == 3);
    BOOST_TEST(contains(lost.errors, "position 1 was taken by ana"), lost.errors);
    BOOST_TEST(contains(lost.errors, "run diff again"), lost.errors);
    BOOST_TEST(deployment.logSize() == 1U);
    BOOST_TEST(deployment.apply(8, 1, "loser").exitCode == 0);
}

BOOST_AUTO_TEST_CASE(RepeatedCommandsApplyOnce)
{
    Deployment deployment;
    BOOST_TEST_REQUIRE(deployment.apply(7, 0, "one").exitCode == 0);
    BOOST_TEST_REQUIRE(deployment.apply(8, 1, "two").exitCode == 0);
    Result const again = deployment.apply(7, 0, "one");
    BOOST_TEST(again.exitCode == 0, again.errors);
    BOOST_TEST(contains(again.output, "already applied: position 1"), again.output);
    BOOST_TEST(deployment.logSize() == 2U);
}

BOOST_AUTO_TEST_CASE(LostAnswersAreResolved)
{
    for (int lost = 1; lost <= 4; ++lost) {
        Deployment deployment;
        deployment.platform.setFaults({ { "lost_answers", lost } });
        Result const result = deployment.apply(7, 0, "one");
        BOOST_TEST(result.exitCode == 0, result.errors);
        BOOST_TEST(contains(deployment.apply(7, 0, "one").output, "already applied: position 1"));
        BOOST_TEST(deployment.logSize() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(PlatformOutagesExitWithCode5)
{
    Deployment deployment;
    BOOST_TEST_REQUIRE(deployment.apply(7, 0).exitCode == 0);
    deployment.platform.setFaults({ { "outage", true } });
    for (std::vector<std::string> const& arguments : { std::vector<std::string> { "status" }, std::vector<std::string> { "audit" }, std::vector<std::string> { "drain", "a", "b", "--author=ana", "--reason=x" } })
        BOOST_TEST(deployment.run(arguments).exitCode == 5);
    Result const apply = deployment.apply(8, 1);
    BOOST_TEST(apply.exitCode == 5);
    BOOST_TEST(contains(apply.errors, "try again"), apply.errors);
    deployment.platform.setFaults({ { "outage", false } });
    BOOST_TEST(deployment.logSize() == 1U);
}

BOOST_AUTO_TEST_CASE(RollbackIsANewChange)
{
    Deployment deployment;
    BOOST_TEST_REQUIRE(deployment.apply(7, 0).exitCode == 0);
    BOOST_TEST_REQUIRE(deployment.apply(8, 1).exitCode == 0);
    Result const result = deployment.run({ "rollback", "--position=1", "--expected_position=2", "--author=bor", "--reason=slots were wrong", "--operation_id=back" });
    BOOST_TEST(result.exitCode == 0, result.errors);
    BOOST_TEST(contains(result.output, "position 3"));
    ChangeLog log;
    BOOST_TEST_REQUIRE(ChangeStore(*deployment.store).catchUp(log).ok());
    BOOST_TEST(log.position() == 3U);
    BOOST_TEST(log.configuration().services.front().limits.slots == 7U);
    BOOST_TEST(deployment.run({ "rollback", "--position=9", "--expected_position=3", "--author=bor", "--reason=x" }).exitCode == 1);
}

BOOST_AUTO_TEST_CASE(TheApplyingToolWritesSnapshots)
{
    Deployment deployment;
    ChangeStore changes(*deployment.store);
    ChangeLog log;
    for (std::uint64_t position = 0; position < 63; ++position) {
        Service service;
        service.name = "s" + std::to_string(position);
        service.addresses = { { { 0x0A000100, static_cast<std::uint16_t>(position + 1) }, Protocol::Tcp } };
        service.targets = { "x" };
        BOOST_TEST_REQUIRE(changes.append({ position, "op-" + std::to_string(position), "ana", "x", 1, { { service.name, std::nullopt, service } } }).ok());
    }
    BOOST_TEST(deployment.store->list("snapshot/", "", 10).value().empty());
    BOOST_TEST(deployment.apply(7, 63).exitCode == 0);
    BOOST_TEST(deployment.store->list("snapshot/", "", 10).value().size() == 1U);
    BOOST_TEST(changes.readAfter(0).value().snapshotPosition == 64U);
}

BOOST_AUTO_TEST_CASE(StatusNamesEntriesThatAreBehind)
{
    Deployment deployment;
    BOOST_TEST_REQUIRE(deployment.apply(7, 0).exitCode == 0);
    deployment.putEntry("entry-1", 1);
    deployment.putEntry("entry-2", 0);
    deployment.putEntry("entry-3", 0, 3'600'000);
    Member member;
    member.name = "rota-1";
    member.service = "rota-desk";
    member.dataCentre = "Kegalle";
    BOOST_TEST_REQUIRE(deployment.store->create(announcementKey("rota-desk", "rota-1"), encodeMember(member)).ok());
    BOOST_TEST_REQUIRE(deployment.run({ "drain", "rota-desk", "rota-1", "--author=ana", "--reason=update" }).exitCode == 0);
    nlohmann::json const status = nlohmann::json::parse(deployment.run({ "status", "--output=json" }).output);
    BOOST_TEST(status.at("position") == 1);
    BOOST_TEST(status.at("services")[0].at("name") == "rota-desk");
    BOOST_TEST(status.at("targets")[0].at("requested") == "drain");
    BOOST_TEST(status.at("entries")[0].at("state") == "ok");
    BOOST_TEST(status.at("entries")[1].at("state") == "behind");
    BOOST_TEST(status.at("entries")[2].at("state") == "stale");
    Result const table = deployment.run({ "status" });
    for (std::string_view const part : { "position 1", "rota-desk", "rota-1", "Kegalle", "entry-2", "behind" })
        BOOST_TEST(contains(table.output, part), table.output);
}

BOOST_AUTO_TEST_CASE(DrainRequestsAreRecordedAndWithdrawn)
{
    Deployment deployment;
    Result const unknown = deployment.run({ "drain", "rota-desk", "rota-1", "--author=ana", "--reason=update" });
    BOOST_TEST(unknown.exitCode == 1);
    BOOST_TEST(contains(unknown.errors, "run status"), unknown.errors);
    Member member;
    member.name = "rota-1";
    member.service = "rota-desk";
    BOOST_TEST_REQUIRE(deployment.store->create(announcementKey("rota-desk", "rota-1"), encodeMember(member)).ok());
    for (int run = 0; run < 2; ++run)
        BOOST_TEST(deployment.run({ "drain", "rota-desk", "rota-1", "--author=ana", "--reason=update" }).exitCode == 0);
    BOOST_TEST(readDrainRequest(*deployment.store, "rota-desk", "rota-1").value().has_value());
    BOOST_TEST(contains(deployment.run({ "undrain", "rota-desk", "rota-1" }).output, "drain withdrawn"));
    BOOST_TEST(contains(deployment.run({ "undrain", "rota-desk", "rota-1" }).output, "no drain was requested"));
    BOOST_TEST(!readDrainRequest(*deployment.store, "rota-desk", "rota-1").value().has_value());
}

// Guards against an evacuation that is recorded twice, hidden from operators or not withdrawn.
BOOST_AUTO_TEST_CASE(EvacuationsAreRecordedListedAndWithdrawn)
{
    Deployment deployment;
    BOOST_TEST_REQUIRE(deployment.apply(7, 0).exitCode == 0);
    Result const unknown = deployment.run({ "evacuate", "Kegale", "--author=ana", "--reason=power works" });
    BOOST_TEST(unknown.exitCode == 0);
    BOOST_TEST(contains(unknown.errors, "no target has announced itself in data centre Kegale"), unknown.errors);
    BOOST_TEST(contains(deployment.run({ "restore", "Kegale" }).output, "evacuation withdrawn: Kegale"));
    Member member;
    member.name = "rota-1";
    member.service = "rota-desk";
    member.dataCentre = "Kegalle";
    BOOST_TEST_REQUIRE(deployment.store->create(announcementKey("rota-desk", "rota-1"), encodeMember(member)).ok());
    BOOST_TEST(!contains(deployment.run({ "status" }).output, "evacuated"));
    std::int64_t const before = wallClock();
    Result const first = deployment.run({ "evacuate", "Kegalle", "--author=ana", "--reason=power works" });
    BOOST_TEST(first.exitCode == 0);
    BOOST_TEST(first.errors.empty(), first.errors);
    // The second operator gets the name of the first.
    BOOST_TEST(contains(deployment.run({ "evacuate", "Kegalle", "--author=bor", "--reason=flood" }).output, "requested by ana"));
    nlohmann::json const status = nlohmann::json::parse(deployment.run({ "status", "--output=json" }).output);
    BOOST_TEST_REQUIRE(status.at("evacuations").size() == 1U);
    BOOST_TEST(status.at("evacuations")[0].at("data_centre") == "Kegalle");
    BOOST_TEST(status.at("evacuations")[0].at("since_ms").get<std::int64_t>() >= before);
    Result const table = deployment.run({ "status" });
    for (std::string_view const part : { "evacuated", "since", "Kegalle", "power works" })
        BOOST_TEST(contains(table.output, part), table.output);
    BOOST_TEST(contains(deployment.run({ "restore", "Kegalle" }).output, "evacuation withdrawn"));
    BOOST_TEST(contains(deployment.run({ "restore", "Kegalle" }).output, "was not evacuated"));
    BOOST_TEST(deployment.store->get(evacuationKey("Kegalle")).status().code() != absl::StatusCode::kOk);
}

BOOST_AUTO_TEST_CASE(WaitEndsWhenAllEntriesHaveThePosition)
{
    Deployment deployment;
    BOOST_TEST_REQUIRE(deployment.apply(7, 0).exitCode == 0);
    Result const none = deployment.run({ "wait", "--deadline_s=0" });
    BOOST_TEST(none.exitCode == 4);
    BOOST_TEST(contains(none.errors, "no entry has reported yet"), none.errors);
    deployment.putEntry("entry-1", 1);
    deployment.putEntry("entry-2", 0);
    deployment.putEntry("entry-3", 0, 3'600'000);
    Result const behind = deployment.run({ "wait", "--deadline_s=0", "--position=1" });
    BOOST_TEST(behind.exitCode == 4);
    BOOST_TEST(contains(behind.errors, "1 of 2 entries; behind: entry-2"), behind.errors);
    BOOST_TEST(deployment.run({ "wait", "--position=2" }).exitCode == 1);
    std::vector<std::string> const command { std::string(PLANTAINDRIFT_BINARY_DIR) + "/bin/plantaindrift", "wait", "--deadline_s=100", "--poll_ms=20", "--timeout_ms=30000", "--platform=" + deployment.platform.url() };
    std::uint64_t const listsBefore = deployment.platform.count("list");
    test::ChildProcess waiting(command);
    while (deployment.platform.count("list") < listsBefore + 4)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    deployment.putEntry("entry-2", 1);
    Result const done = waiting.finish(std::chrono::seconds(120));
    BOOST_TEST(done.exitCode == 0, done.errors);
    BOOST_TEST(contains(done.output, "position 1 is in force at 2 entries; not waited for, as their reports are stale: entry-3"), done.output);
    BOOST_TEST(contains(done.errors, "behind: entry-2"), done.errors);
}

// Guards against key files that other users can read, that are overwritten, or that the daemons do not accept.
BOOST_AUTO_TEST_CASE(KeysAreWrittenOnceForTheOwnerOnly)
{
    Workspace const workspace;
    Result const result = runTool({ "keygen", "--directory=" + workspace.path() });
    BOOST_TEST(result.exitCode == 0, result.errors);
    std::filesystem::path const file = std::filesystem::path(workspace.path()) / "keys.toml";
    std::filesystem::perms const permissions = std::filesystem::status(file).permissions();
    BOOST_TEST((permissions == (std::filesystem::perms::owner_read | std::filesystem::perms::owner_write)));
    std::string const text = workspace.read("keys.toml");
    absl::StatusOr<FleetKeys> const keys = readKeys(file.string());
    BOOST_TEST(keys.ok(), keys.status().message());
    Result const again = runTool({ "keygen", "--directory=" + workspace.path() });
    BOOST_TEST(again.exitCode == 2);
    BOOST_TEST(contains(again.errors, "move the old keys away"), again.errors);
    BOOST_TEST(workspace.read("keys.toml") == text);
    // For a key rotation, the table of another epoch is appended.
    Result const second = runTool({ "keygen", "--epoch=2" });
    BOOST_TEST(contains(second.output, "epoch = 2"), second.output);
    BOOST_TEST(second.output != text);
    BOOST_TEST(runTool({ "keygen", "--epoch=256" }).exitCode == 2);
}
