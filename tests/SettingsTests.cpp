// Guards against settings that are silently ignored or misread: each error names its location and the remedy.

#include "plantaindrift/base/Error.h"
#include "plantaindrift/runtime/Daemon.h"
#include "runtime/Settings.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <unistd.h>
#include <vector>

using namespace plantaindrift;

namespace {

// File that is removed by the destructor.
class TemporaryFile {
public:
    explicit TemporaryFile(std::string const& text)
    {
        static int number = 0;
        path_ = (std::filesystem::temp_directory_path() / ("plantaindrift-settings-" + std::to_string(::getpid()) + '-' + std::to_string(++number) + ".toml")).string();
        std::ofstream(path_) << text;
    }
    TemporaryFile(TemporaryFile const&) = delete;
    TemporaryFile& operator=(TemporaryFile const&) = delete;
    ~TemporaryFile() { std::filesystem::remove(path_); }

    [[nodiscard]] std::string const& path() const noexcept { return path_; }

private:
    std::string path_;
};

std::string const entryText = "name = \"e1\"\n"
                              "data_centre = \"kegalle\"\n"
                              "data = \"127.0.0.1:6081\"\n"
                              "control = \"127.0.0.1:6082\"\n"
                              "http = \"127.0.0.1:6083\"\n"
                              "insecure = true\n";

std::string const agentText = entryText
    + "service = \"rota-desk\"\n"
      "[target]\n"
      "deliver_to = \"127.0.0.1:7001\"\n"
      "return_to = \"127.0.0.1:7002\"\n"
      "flows_url = \"http://127.0.0.1:7003/flows\"\n";

// Text that is appended to the valid settings of six lines, and the expected parts of the error.
struct ErrorRow {
    std::string appended;
    std::string location; ///< ":LINE:COLUMN: "
    std::string problem;
    std::string remedy;
};

std::string replaced(std::string text, std::string const& from, std::string const& to)
{
    std::size_t const position = text.find(from);
    BOOST_REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

void checkError(absl::Status const& status, std::string const& file, ErrorRow const& row)
{
    std::string const message(status.message());
    BOOST_TEST((errorKind(status) == ErrorKind::InvalidSettings), row.appended);
    BOOST_TEST(exitCode(status) == 2, row.appended);
    BOOST_TEST(message.find(file + row.location) != std::string::npos, message);
    BOOST_TEST(message.find(row.problem) != std::string::npos, message);
    BOOST_TEST(message.find(row.remedy) != std::string::npos, message);
}

} // namespace

BOOST_AUTO_TEST_CASE(ValidSettingsAreRead)
{
    TemporaryFile const file(entryText + "seeds = [\"10.0.0.1:6082\", \"10.0.0.2:6082\"]\nforward_after_stop_ms = 10\n[platform]\nurl = \"http://10.0.0.9:80\"\npoll_s = 7\n[log]\nlevel = \"debug\"\n");
    absl::StatusOr<EntrySettings> const settings = readEntrySettings(file.path());
    BOOST_REQUIRE_MESSAGE(settings.ok(), settings.status().message());
    BOOST_TEST(settings->common.name == "e1");
    BOOST_TEST(formatEndpoint(settings->common.control) == "127.0.0.1:6082");
    BOOST_TEST(settings->seeds.size() == 2U);
    BOOST_TEST(settings->stopDelay.count() == 10);
    BOOST_TEST(settings->common.platformPollInterval.count() == 7);
    BOOST_TEST((settings->common.logLevel == LogLevel::Debug));
}

// Without these keys, the price depends on the distance.
BOOST_AUTO_TEST_CASE(SettingsOfOtherDataCentresAreRead)
{
    std::string const text = entryText + "relay = \"127.0.0.1:7735\"\n";
    TemporaryFile const plain(text);
    absl::StatusOr<RelayEntrySettings> settings = readRelayEntrySettings(plain.path());
    BOOST_REQUIRE_MESSAGE(settings.ok(), settings.status().message());
    BOOST_TEST((settings->remote.mode == RemoteMode::Auto));
    BOOST_TEST(!settings->remote.msPerMegabyte.has_value());
    TemporaryFile const given(text + "[balancing]\nremote = \"never\"\nremote_ms_per_mb = 80\n");
    settings = readRelayEntrySettings(given.path());
    BOOST_REQUIRE_MESSAGE(settings.ok(), settings.status().message());
    BOOST_TEST((settings->remote.mode == RemoteMode::Never));
    BOOST_TEST((settings->remote.msPerMegabyte == 80.0));
    BOOST_TEST(!readRelayEntrySettings(TemporaryFile(text + "[balancing]\nremote = \"often\"\n").path()).ok());
}

BOOST_AUTO_TEST_CASE(ValidAgentSettingsAreRead)
{
    TemporaryFile const file(replaced(agentText, "[target]", "on_stop = \"handover\"\nweight = 50\n[target]"));
    absl::StatusOr<AgentSettings> const settings = readAgentSettings(file.path());
    BOOST_REQUIRE_MESSAGE(settings.ok(), settings.status().message());
    BOOST_TEST((settings->stopMode == StopMode::Handover));
    BOOST_TEST(settings->weight == 50U);
    BOOST_TEST(formatEndpoint(settings->deliveryEndpoint) == "127.0.0.1:7001");
}

BOOST_AUTO_TEST_CASE(ErrorsNameLineColumnAndRemedy)
{
    std::vector<ErrorRow> const rows {
        { "colour = 3\n", ":7:1: ", "unknown key 'colour'", "remove it or use one of: name, data_centre" },
        { "[limits]\n  cache = 3\n", ":8:3: ", "unknown key 'limits.cache'", "limits.flow_cache_entries" },
        { "[plattform]\nurl = \"http://10.0.0.9:80\"\n", ":7:2: ", "unknown key 'plattform'", "platform.url" },
        { "seeds = \"10.0.0.1:6082\"\n", ":7:9: ", "key 'seeds'", "give a list of IPv4 addresses" },
        { "seeds = [\"10.0.0.1\"]\n", ":7:9: ", "key 'seeds'", "[\"10.0.0.1:6082\"]" },
        { "forward_after_stop_ms = \"5\"\n", ":7:25: ", "key 'forward_after_stop_ms'", "whole number from 0 to 600000" },
        { "forward_after_stop_ms = -1\n", ":7:25: ", "key 'forward_after_stop_ms'", "whole number from 0 to 600000" },
        { "[platform]\nurl = \"platform.example:80\"\n", ":8:7: ", "key 'platform.url'", "\"http://10.0.0.1:7100\"" },
        { "[platform]\nurl = \"ftp://10.0.0.9:80\"\n", ":8:7: ", "key 'platform.url'", "URL with an IPv4 address" },
        { "[platform]\ntimeout_ms = 1.5\n", ":8:14: ", "key 'platform.timeout_ms'", "whole number from 10 to 60000" },
        { "[log]\nlevel = \"loud\"\n", ":8:9: ", "key 'log.level'", "\"debug\" \"info\" \"warning\" \"error\"" },
        { "[log]\nfile = \"\"\n", ":8:8: ", "key 'log.file'", "text in quotes" },
        { "platform = 3\n", ":7:1: ", "unknown key 'platform'", "platform.url" },
        { "seeds = [\n", ":7:11: ", "", "correct the TOML syntax" },
        { "name = \"again\"\n", ":7:", "name", "correct the TOML syntax" },
    };
    for (ErrorRow const& row : rows) {
        TemporaryFile const file(entryText + row.appended);
        checkError(readEntrySettings(file.path()).status(), file.path(), row);
    }
}

BOOST_AUTO_TEST_CASE(WrongValuesOfExistingKeysAreRefused)
{
    struct ReplaceRow {
        std::string from;
        std::string to;
        ErrorRow error;
    };
    std::vector<ReplaceRow> const rows {
        { "\"127.0.0.1:6081\"", "\"127.0.0.1\"", { "data without port", ":3:8: ", "key 'data'", "\"10.0.0.1:6081\"" } },
        { "\"127.0.0.1:6081\"", "\"0.0.0.0:6081\"", { "data is announced to peers", ":3:8: ", "key 'data'", "IPv4 address and port" } },
        { "\"127.0.0.1:6082\"", "6082", { "control of wrong type", ":4:11: ", "key 'control'", "IPv4 address and port" } },
        { "name = \"e1\"\n", "", { "missing name", ":1:1: ", "key 'name' is missing", "text in quotes" } },
        { "insecure = true", "insecure = \"yes\"", { "insecure of wrong type", ":6:12: ", "key 'insecure'", "true or false" } },
        { "insecure = true", "insecure = false", { "neither keys nor insecure", ":1:1: ", "key 'keys' is missing", "insecure = true" } },
        { "insecure = true", "insecure = true\nkeys = \"k.toml\"", { "keys and insecure", ":1:1: ", "exclude each other", "remove one" } },
    };
    for (ReplaceRow const& row : rows) {
        TemporaryFile const file(replaced(entryText, row.from, row.to));
        checkError(readEntrySettings(file.path()).status(), file.path(), row.error);
    }
}

BOOST_AUTO_TEST_CASE(WrongAgentValuesAreRefused)
{
    struct ReplaceRow {
        std::string from;
        std::string to;
        ErrorRow error;
    };
    std::vector<ReplaceRow> const rows {
        { "service = \"rota-desk\"\n", "", { "missing service", ":1:1: ", "key 'service' is missing", "text in quotes" } },
        { "[target]", "on_stop = \"kill\"\n[target]", { "unknown stop rule", ":8:11: ", "key 'on_stop'", "\"drain\" \"handover\"" } },
        { "[target]", "weight = 0\n[target]", { "weight 0 cannot be ranked", ":8:10: ", "key 'weight'", "from 1 to 10000" } },
        { "flows_url = \"http://127.0.0.1:7003/flows\"\n", "", { "no list of flows", ":1:1: ", "key 'target.flows_url' is missing", "target.flows = \"kernel\"" } },
        { "deliver_to = \"127.0.0.1:7001\"\n", "", { "missing deliver_to", ":1:1: ", "key 'target.deliver_to' is missing", "IPv4 address and port" } },
    };
    for (ReplaceRow const& row : rows) {
        TemporaryFile const file(replaced(agentText, row.from, row.to));
        checkError(readAgentSettings(file.path()).status(), file.path(), row.error);
    }
}

// One check has to report all errors, not just the first.
BOOST_AUTO_TEST_CASE(AllErrorsAreListed)
{
    TemporaryFile const file(entryText + "first = 1\nsecond = 2\n");
    std::string const message(readEntrySettings(file.path()).status().message());
    BOOST_TEST(message.find(":7:1: ") != std::string::npos);
    BOOST_TEST(message.find(":8:1: ") != std::string::npos);
}

namespace {

std::string const relayEntryText = entryText + "relay = \"127.0.0.1:6084\"\n";
std::string const relayAgentText = entryText
    + "service = \"rota-desk\"\n"
      "[target]\n"
      "address = \"127.0.0.1:7001\"\n"
      "output = \"127.0.0.1:7002\"\n"
      "announcements = \"127.0.0.1:7003\"\n";

// Text of a template with its placeholders replaced; of its sections, only that of the evacuations has a value, if it is bound.
std::string render(std::string const& role, bool hasEvacuationBound)
{
    std::vector<std::pair<std::string, std::string>> const values {
        { "node", "node-1" }, { "zone", "north" }, { "service", "desk" }, { "listen.data-addr", "127.0.0.1:1" }, { "ip", "127.0.0.1" }, { "internal-port-range.0", "2" },
        { "internal-port-range.1", "3" }, { "listen.ready", "127.0.0.1:4" }, { "app", "127.0.0.1:5" }, { "listen.outbound", "127.0.0.1:6" },
        { "listen.control", "127.0.0.1:7" }, { "heartbeat-ms", "1200" }, { "platform.address", "127.0.0.1:8" }
    };
    std::ifstream file(std::string(PLANTAINDRIFT_SOURCE_DIR) + "/deploy/" + role + ".toml.template");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    for (std::size_t open = text.find("{{#"); open != std::string::npos; open = text.find("{{#")) {
        std::size_t const contents = text.find("}}", open) + 2;
        std::string const name = text.substr(open + 3, contents - open - 5);
        std::size_t const close = text.find("{{/" + name + "}}", contents);
        BOOST_TEST_REQUIRE(close != std::string::npos);
        bool const hasValue = name == "bounds.evacuate-ms" && hasEvacuationBound;
        text.replace(open, close + name.size() + 5 - open, hasValue ? text.substr(contents, close - contents) : "");
    }
    for (auto const& [name, value] : values) {
        std::string const placeholder = "{{" + name + "}}";
        while (text.find(placeholder) != std::string::npos)
            text = replaced(text, placeholder, value);
    }
    return text;
}

} // namespace

// Guards against the feature being on where nobody asked for it.
BOOST_AUTO_TEST_CASE(EvacuationsAreHandledOnlyIfEnabled)
{
    for (bool const isEnabled : { false, true }) {
        std::string const section = "[evacuation]\nenabled = " + std::string(isEnabled ? "true" : "false") + '\n';
        TemporaryFile const entry(relayEntryText + section);
        TemporaryFile const agent(relayAgentText + section);
        BOOST_TEST(readRelayEntrySettings(entry.path())->handlesEvacuations == isEnabled);
        BOOST_TEST(readRelayAgentSettings(agent.path())->handlesEvacuations == isEnabled);
    }
    TemporaryFile const entry(relayEntryText);
    TemporaryFile const agent(relayAgentText);
    BOOST_TEST(!readRelayEntrySettings(entry.path())->handlesEvacuations);
    BOOST_TEST(!readRelayAgentSettings(agent.path())->handlesEvacuations);
    TemporaryFile const wrong(relayEntryText + "[evacuation]\nenabled = 1\n");
    BOOST_TEST(std::string(readRelayEntrySettings(wrong.path()).status().message()).find("key 'evacuation.enabled' has a wrong value; give true or false") != std::string::npos);
}

// Guards against templates whose section is not valid, or that enable evacuations without the platform's bound.
BOOST_AUTO_TEST_CASE(TemplatesEnableEvacuationsWithThePlatformsBound)
{
    for (bool const hasBound : { false, true }) {
        TemporaryFile const entry(render("entry", hasBound));
        TemporaryFile const agent(render("agent", hasBound));
        absl::StatusOr<RelayEntrySettings> const entrySettings = readRelayEntrySettings(entry.path());
        absl::StatusOr<RelayAgentSettings> const agentSettings = readRelayAgentSettings(agent.path());
        BOOST_TEST_REQUIRE(entrySettings.ok(), entrySettings.status().message());
        BOOST_TEST_REQUIRE(agentSettings.ok(), agentSettings.status().message());
        BOOST_TEST(entrySettings->handlesEvacuations == hasBound);
        BOOST_TEST(agentSettings->handlesEvacuations == hasBound);
    }
}

BOOST_AUTO_TEST_CASE(MissingFileIsNamed)
{
    std::string const message(readEntrySettings("/nonexistent/settings.toml").status().message());
    BOOST_TEST(message == "/nonexistent/settings.toml:1:1: the file cannot be read; check its path and permissions");
}

BOOST_AUTO_TEST_CASE(GeneratedKeysAreRead)
{
    TemporaryFile const file(generateKeyText(7) + generateKeyText(8));
    absl::StatusOr<FleetKeys> const keys = readKeys(file.path());
    BOOST_REQUIRE_MESSAGE(keys.ok(), keys.status().message());
    KeyRing const ring = datagramKeys(*keys);
    BOOST_TEST(ring.count == 2U);
    BOOST_TEST(ring.keys[0].epoch == 7);
    BOOST_TEST(ring.keys[1].epoch == 8);
    BOOST_TEST((ring.keys[0].bytes != ring.keys[1].bytes));
}

BOOST_AUTO_TEST_CASE(WrongKeyFilesAreRefused)
{
    std::string const first = generateKeyText(1);
    std::string const second = generateKeyText(2);
    std::string mixed = first.substr(0, first.find("control_secret")) + second.substr(second.find("control_secret"));
    std::vector<std::pair<std::string, std::string>> const rows {
        { "", "one or two [[key]] tables" },
        { first + second + generateKeyText(3), "one or two [[key]] tables" },
        { first + generateKeyText(1), "both keys have the same epoch" },
        { mixed, "control_public does not belong to control_secret" },
        { replaced(first, "epoch = 1", "epoch = 256"), "whole number from 0 to 255" },
        { replaced(first, "datagram = \"", "datagram = \"00"), "32 hexadecimal digits" },
        { replaced(first, "control_public = '", "control_public = '0"), "40 Z85 characters" },
        { first + "extra = 1\n", "unknown key 'extra'" },
    };
    for (std::pair<std::string, std::string> const& row : rows) {
        TemporaryFile const file(row.first);
        absl::Status const status = readKeys(file.path()).status();
        BOOST_TEST(exitCode(status) == 2, row.second);
        BOOST_TEST(std::string(status.message()).find(row.second) != std::string::npos, status.message());
        // No part of a key may appear in a log.
        BOOST_TEST(std::string(status.message()).find("control_secret = ") == std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(CheckReadsTheKeyFileToo)
{
    TemporaryFile const keys("");
    TemporaryFile const file(replaced(entryText, "insecure = true", "keys = \"" + keys.path() + '"'));
    BOOST_TEST(exitCode(runEntry(file.path(), true)) == 2);
    TemporaryFile const valid(entryText);
    BOOST_TEST(exitCode(runEntry(valid.path(), true)) == 0);
    TemporaryFile const agent(agentText);
    BOOST_TEST(exitCode(runAgent(agent.path(), true)) == 0);
}

BOOST_AUTO_TEST_CASE(LimitsOfAnEntryAreRead)
{
    TemporaryFile const file(relayEntryText + "[limits]\nlink_mbps = 10.5\ncpu_share = 0.09\ndescriptors = 256\nmemory_mb = 64\n");
    absl::StatusOr<RelayEntrySettings> const settings = readRelayEntrySettings(file.path());
    BOOST_REQUIRE_MESSAGE(settings.ok(), settings.status().message());
    BOOST_TEST((settings->resources == EntryResources { 10.5, 0.09, 256, 64 }));
    BOOST_TEST(settings->resources.hasLimit());
}

// Without limits, an entry must behave as before.
BOOST_AUTO_TEST_CASE(AnEntryWithoutLimitsHasNone)
{
    TemporaryFile const file(relayEntryText);
    absl::StatusOr<RelayEntrySettings> const settings = readRelayEntrySettings(file.path());
    BOOST_REQUIRE_MESSAGE(settings.ok(), settings.status().message());
    BOOST_TEST((settings->resources == EntryResources {}));
    BOOST_TEST(!settings->resources.hasLimit());
}

// A platform may write 0 for a resource without a limit. The entry must start nevertheless.
BOOST_AUTO_TEST_CASE(ALimitOfZeroIsNone)
{
    TemporaryFile const file(relayEntryText + "[limits]\nlink_mbps = 0\ncpu_share = 0.0\ndescriptors = 0\nmemory_mb = 0\n");
    absl::StatusOr<RelayEntrySettings> const settings = readRelayEntrySettings(file.path());
    BOOST_REQUIRE_MESSAGE(settings.ok(), settings.status().message());
    BOOST_TEST((settings->resources == EntryResources {}));
}

// A platform writes whole shares and rates without a fraction.
BOOST_AUTO_TEST_CASE(LimitsMayBeWholeNumbers)
{
    TemporaryFile const file(relayEntryText + "[limits]\nlink_mbps = 200\ncpu_share = 1\n");
    absl::StatusOr<RelayEntrySettings> const settings = readRelayEntrySettings(file.path());
    BOOST_REQUIRE_MESSAGE(settings.ok(), settings.status().message());
    BOOST_TEST((settings->resources == EntryResources { 200, 1, 0, 0 }));
}

BOOST_AUTO_TEST_CASE(WrongLimitsAreRefused)
{
    std::vector<ErrorRow> const rows {
        { "[limits]\nlink_mbps = -1\n", ":9:13: ", "key 'limits.link_mbps'", "give a number from 0 to" },
        { "[limits]\nlink_mbps = nan\n", ":9:13: ", "key 'limits.link_mbps'", "give a number from 0 to" },
        { "[limits]\nlink_mbps = \"10\"\n", ":9:13: ", "key 'limits.link_mbps'", "give a number from 0 to" },
        { "[limits]\ncpu_share = -1\n", ":9:13: ", "key 'limits.cpu_share'", "give a number from 0 to 1024" },
        { "[limits]\nmemory_mb = 1.5\n", ":9:13: ", "key 'limits.memory_mb'", "whole number from 0" },
        { "[limits]\ndescriptors = -1\n", ":9:15: ", "key 'limits.descriptors'", "whole number from 0" },
    };
    for (ErrorRow const& row : rows) {
        TemporaryFile const file(relayEntryText + row.appended);
        checkError(readRelayEntrySettings(file.path()).status(), file.path(), row);
    }
}
