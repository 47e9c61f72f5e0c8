#include "runtime/Settings.h"

#include "plantaindrift/base/Error.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <sodium.h>
#include <sstream>
#include <toml++/toml.h>
#include <zmq.h>

namespace plantaindrift {

namespace {

    constexpr std::size_t curveKeyCharacters = 40;

    // How one key is read: `parseValue` stores the value, or returns false if it is not what `remedy` describes.
    struct KeyBinding {
        std::string path;
        bool required { false };
        std::string remedy;
        std::function<bool(toml::node const&)> parseValue;
    };

    using Problems = std::vector<std::string>;

    std::string formatLocation(std::string const& file, toml::source_position position)
    {
        return file + ':' + std::to_string(position.line) + ':' + std::to_string(position.column) + ": ";
    }

    std::string joinPath(std::string const& prefix, std::string_view key)
    {
        return prefix.empty() ? std::string(key) : prefix + '.' + std::string(key);
    }

    KeyBinding bindText(std::string path, bool required, std::string& target)
    {
        return { std::move(path), required, "give a non-empty text in quotes", [&target](toml::node const& node) {
                    std::optional<std::string> const value = node.value_exact<std::string>();
                    if (!value || value->empty())
                        return false;
                    target = *value;
                    return true;
                } };
    }

    KeyBinding bindBoolean(std::string path, bool& target)
    {
        return { std::move(path), false, "give true or false", [&target](toml::node const& node) {
                    std::optional<bool> const value = node.value_exact<bool>();
                    target = value.value_or(target);
                    return value.has_value();
                } };
    }

    KeyBinding bindEndpoint(std::string path, bool required, Endpoint& target)
    {
        return { std::move(path), required, "give an IPv4 address and port such as \"10.0.0.1:6081\"", [&target](toml::node const& node) {
                    std::optional<std::string> const text = node.value_exact<std::string>();
                    std::optional<Endpoint> const value = text ? parseEndpoint(*text) : std::nullopt;
                    target = value.value_or(target);
                    return value.has_value() && value->isSet();
                } };
    }

    KeyBinding bindEndpoints(std::string path, std::vector<Endpoint>& target)
    {
        return { std::move(path), false, "give a list of IPv4 addresses and ports such as [\"10.0.0.1:6082\"]", [&target](toml::node const& node) {
                    if (!node.is_array())
                        return false;
                    for (toml::node const& element : *node.as_array()) {
                        std::optional<std::string> const text = element.value_exact<std::string>();
                        std::optional<Endpoint> const value = text ? parseEndpoint(*text) : std::nullopt;
                        if (!value || !value->isSet())
                            return false;
                        target.push_back(*value);
                    }
                    return true;
                } };
    }

    KeyBinding bindNumber(std::string path, std::int64_t minimum, std::int64_t maximum, std::function<void(std::int64_t)> assign)
    {
        std::string remedy = "give a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
        return { std::move(path), false, std::move(remedy), [minimum, maximum, assign = std::move(assign)](toml::node const& node) {
                    std::optional<std::int64_t> const value = node.value_exact<std::int64_t>();
                    if (!value || *value < minimum || *value > maximum)
                        return false;
                    assign(*value);
                    return true;
                } };
    }

    KeyBinding bindUnsigned(std::string path, std::uint32_t minimum, std::uint32_t maximum, std::uint32_t& target)
    {
        return bindNumber(std::move(path), minimum, maximum, [&target](std::int64_t value) { target = static_cast<std::uint32_t>(value); });
    }

    KeyBinding bindReal(std::string path, double minimum, double maximum, double& target)
    {
        std::ostringstream remedy;
        remedy << "give a number from " << minimum << " to " << maximum;
        return { std::move(path), false, remedy.str(), [minimum, maximum, &target](toml::node const& node) {
                    std::optional<double> const value = node.is_number() ? node.value<double>() : std::nullopt;
                    // Written so that "not a number" fails.
                    bool const isInRange = value && *value >= minimum && *value <= maximum;
                    target = isInRange ? *value : target;
                    return isInRange;
                } };
    }

    template <typename Period>
    KeyBinding bindDuration(std::string path, std::int64_t minimum, std::int64_t maximum, std::chrono::duration<std::int64_t, Period>& target)
    {
        return bindNumber(std::move(path), minimum, maximum, [&target](std::int64_t value) { target = std::chrono::duration<std::int64_t, Period>(value); });
    }

    template <typename Choice>
    KeyBinding bindChoice(std::string path, std::vector<std::pair<std::string, Choice>> choices, Choice& target)
    {
        std::string remedy = "give one of";
        for (std::pair<std::string, Choice> const& choice : choices)
            remedy += " \"" + choice.first + '"';
        return { std::move(path), false, std::move(remedy), [choices = std::move(choices), &target](toml::node const& node) {
                    std::optional<std::string> const text = node.value_exact<std::string>();
                    for (std::pair<std::string, Choice> const& choice : choices) {
                        if (text == choice.first) {
                            target = choice.second;
                            return true;
                        }
                    }
                    return false;
                } };
    }

    bool isUrl(std::string_view text)
    {
        std::string_view rest = text;
        if (rest.starts_with("http://"))
            rest.remove_prefix(7);
        else if (rest.starts_with("https://"))
            rest.remove_prefix(8);
        else
            return false;
        return parseEndpoint(rest.substr(0, rest.find('/'))).has_value();
    }

    KeyBinding bindUrl(std::string path, std::string& target)
    {
        return { std::move(path), false, "give a URL with an IPv4 address such as \"http://10.0.0.1:7100\"", [&target](toml::node const& node) {
                    std::optional<std::string> const text = node.value_exact<std::string>();
                    if (!text || !isUrl(*text))
                        return false;
                    target = *text;
                    return true;
                } };
    }

    // Checks every key of a table against the bindings and stores the values; reports all problems, not just the first.
    class TableReader {
    public:
        TableReader(std::string file, std::vector<KeyBinding> bindings)
            : file_(std::move(file))
            , bindings_(std::move(bindings))
        {
        }

        Problems read(toml::table const& root)
        {
            readTable(root, "");
            for (KeyBinding const& binding : bindings_) {
                if (binding.required && !seen_.contains(binding.path))
                    problems_.push_back(formatLocation(file_, { 1, 1 }) + "key '" + binding.path + "' is missing; " + binding.remedy);
            }
            return problems_;
        }

    private:
        std::string file_;
        std::vector<KeyBinding> bindings_;
        std::map<std::string, bool> seen_;
        Problems problems_;

        void readTable(toml::table const& table, std::string const& prefix)
        {
            for (auto const& [key, node] : table) {
                std::string const path = joinPath(prefix, key.str());
                if (node.is_table() && isPrefix(path))
                    readTable(*node.as_table(), path);
                else
                    readKey(path, key, node);
            }
        }

        [[nodiscard]] bool isPrefix(std::string const& path) const
        {
            return std::any_of(bindings_.begin(), bindings_.end(), [&path](KeyBinding const& binding) { return binding.path.starts_with(path + '.'); });
        }

        void readKey(std::string const& path, toml::key const& key, toml::node const& node)
        {
            std::vector<KeyBinding>::const_iterator const found = std::find_if(bindings_.begin(), bindings_.end(), [&path](KeyBinding const& binding) { return binding.path == path; });
            if (found == bindings_.end()) {
                problems_.push_back(formatLocation(file_, key.source().begin) + "unknown key '" + path + "'; remove it or use one of: " + knownKeys());
                return;
            }
            seen_[path] = true;
            if (!found->parseValue(node))
                problems_.push_back(formatLocation(file_, node.source().begin) + "key '" + path + "' has a wrong value; " + found->remedy);
        }

        [[nodiscard]] std::string knownKeys() const
        {
            std::string text;
            for (KeyBinding const& binding : bindings_)
                text += (text.empty() ? "" : ", ") + binding.path;
            return text;
        }
    };

    absl::Status makeProblemsError(Problems const& problems)
    {
        std::string text;
        for (std::string const& problem : problems)
            text += (text.empty() ? "" : "\n") + problem;
        return makeError(ErrorKind::InvalidSettings, text);
    }

    absl::StatusOr<toml::table> parseFile(std::string const& file)
    {
        std::ifstream stream(file);
        if (!stream)
            return makeError(ErrorKind::InvalidSettings, file + ":1:1: the file cannot be read; check its path and permissions");
        std::ostringstream text;
        text << stream.rdbuf();
        try {
            return toml::parse(text.str(), file);
        } catch (toml::parse_error const& error) {
            return makeError(ErrorKind::InvalidSettings, formatLocation(file, error.source().begin) + std::string(error.description()) + "; correct the TOML syntax here");
        }
    }

    std::vector<KeyBinding> commonBindings(CommonSettings& common)
    {
        std::vector<KeyBinding> bindings;
        bindings.push_back(bindText("name", true, common.name));
        bindings.push_back(bindText("data_centre", true, common.dataCentre));
        bindings.push_back(bindEndpoint("data", true, common.data));
        bindings.push_back(bindEndpoint("control", true, common.control));
        bindings.push_back(bindEndpoint("http", true, common.http));
        bindings.push_back(bindText("keys", false, common.keyFile));
        bindings.push_back(bindBoolean("insecure", common.insecure));
        bindings.push_back(bindUrl("platform.url", common.platformUrl));
        bindings.push_back(bindText("platform.certificate_authority", false, common.platformCertificateAuthorityFile));
        bindings.push_back(bindDuration("platform.timeout_ms", 10, 60000, common.platformTimeout));
        bindings.push_back(bindDuration("platform.poll_s", 1, 3600, common.platformPollInterval));
        bindings.push_back(bindChoice<LogLevel>("log.level", { { "debug", LogLevel::Debug }, { "info", LogLevel::Info }, { "warning", LogLevel::Warning }, { "error", LogLevel::Error } }, common.logLevel));
        bindings.push_back(bindText("log.file", false, common.logFile));
        bindings.push_back(bindChoice<ControlTransportKind>("control_transport", { { "zeromq", ControlTransportKind::Zeromq }, { "datagram", ControlTransportKind::Datagram } }, common.controlTransport));
        return bindings;
    }

    void checkKeys(CommonSettings const& common, Problems& problems)
    {
        if (common.keyFile.empty() && !common.insecure)
            problems.push_back(formatLocation(common.file, { 1, 1 }) + "key 'keys' is missing; name a key file, or set insecure = true on a network where every sender is trusted");
        if (!common.keyFile.empty() && common.insecure)
            problems.push_back(formatLocation(common.file, { 1, 1 }) + "'keys' and 'insecure = true' exclude each other; remove one of them");
    }

    absl::Status readSettingsFile(std::string const& file, CommonSettings& common, std::vector<KeyBinding> bindings)
    {
        absl::StatusOr<toml::table> const table = parseFile(file);
        if (!table.ok())
            return table.status();
        common.file = file;
        Problems problems = TableReader(file, std::move(bindings)).read(*table);
        if (problems.empty())
            checkKeys(common, problems);
        return problems.empty() ? absl::OkStatus() : makeProblemsError(problems);
    }

    KeyBinding bindHex(std::string path, std::array<std::uint8_t, datagramKeyBytes>& target)
    {
        return { std::move(path), true, "give 32 hexadecimal digits, as plantaindrift keygen prints them", [&target](toml::node const& node) {
                    std::optional<std::string> const text = node.value_exact<std::string>();
                    std::size_t length = 0;
                    return text && text->size() == 2 * datagramKeyBytes
                        && sodium_hex2bin(target.data(), target.size(), text->data(), text->size(), nullptr, &length, nullptr) == 0
                        && length == datagramKeyBytes;
                } };
    }

    KeyBinding bindCurve(std::string path, std::string& target)
    {
        return { std::move(path), true, "give 40 Z85 characters, as plantaindrift keygen prints them", [&target](toml::node const& node) {
                    std::array<std::uint8_t, 32> decoded {};
                    std::optional<std::string> const text = node.value_exact<std::string>();
                    if (!text || text->size() != curveKeyCharacters || zmq_z85_decode(decoded.data(), text->c_str()) == nullptr)
                        return false;
                    target = *text;
                    return true;
                } };
    }

    Problems readKeyTable(std::string const& file, toml::table const& table, FleetKey& key)
    {
        std::vector<KeyBinding> bindings;
        bindings.push_back(bindNumber("epoch", 0, std::numeric_limits<std::uint8_t>::max(), [&key](std::int64_t value) { key.datagram.epoch = static_cast<std::uint8_t>(value); }));
        bindings.back().required = true;
        bindings.push_back(bindHex("datagram", key.datagram.bytes));
        bindings.push_back(bindCurve("control_public", key.controlPublic));
        bindings.push_back(bindCurve("control_secret", key.controlSecret));
        return TableReader(file, std::move(bindings)).read(table);
    }

    Problems checkKeyPairs(std::string const& file, FleetKeys const& keys)
    {
        Problems problems;
        for (FleetKey const& key : keys) {
            std::array<char, curveKeyCharacters + 1> derived {};
            if (zmq_curve_public(derived.data(), key.controlSecret.c_str()) != 0 || key.controlPublic != derived.data())
                problems.push_back(formatLocation(file, { 1, 1 }) + "control_public does not belong to control_secret of epoch " + std::to_string(key.datagram.epoch) + "; copy the whole table that plantaindrift keygen printed");
        }
        if (keys.size() == 2 && keys[0].datagram.epoch == keys[1].datagram.epoch)
            problems.push_back(formatLocation(file, { 1, 1 }) + "both keys have the same epoch; make the new key with another epoch");
        return problems;
    }

} // namespace

absl::StatusOr<EntrySettings> readEntrySettings(std::string const& file)
{
    EntrySettings settings;
    std::vector<KeyBinding> bindings = commonBindings(settings.common);
    bindings.push_back(bindEndpoints("seeds", settings.seeds));
    bindings.push_back(bindUnsigned("limits.flow_cache_entries", 1024, 1U << 24U, settings.flowCacheEntries));
    bindings.push_back(bindUnsigned("limits.control_bytes_per_second", 500, 1U << 30U, settings.controlBytesPerSecond));
    bindings.push_back(bindDuration("forward_after_stop_ms", 0, 600000, settings.stopDelay));
    absl::Status const status = readSettingsFile(file, settings.common, std::move(bindings));
    if (!status.ok())
        return status;
    return settings;
}

absl::StatusOr<AgentSettings> readAgentSettings(std::string const& file)
{
    AgentSettings settings;
    std::vector<KeyBinding> bindings = commonBindings(settings.common);
    bindings.push_back(bindText("service", true, settings.service));
    bindings.push_back(bindEndpoints("entries", settings.entries));
    bindings.push_back(bindUnsigned("weight", 1, 10000, settings.weight));
    bindings.push_back(bindUnsigned("slots", 1, 65535, settings.slots));
    bindings.push_back(bindUnsigned("connections", 1, 10000000, settings.connections));
    bindings.push_back(bindChoice<StopMode>("on_stop", { { "drain", StopMode::Drain }, { "handover", StopMode::Handover } }, settings.stopMode));
    bindings.push_back(bindDuration("drain_deadline_s", 0, 604800, settings.drainDeadline));
    bindings.push_back(bindEndpoint("target.deliver_to", true, settings.deliveryEndpoint));
    bindings.push_back(bindEndpoint("target.return_to", true, settings.refusalEndpoint));
    bindings.push_back(bindUrl("target.load_url", settings.loadUrl));
    bindings.push_back(bindUrl("target.flows_url", settings.flowsUrl));
    bindings.push_back(bindChoice<FlowSourceKind>("target.flows", { { "http", FlowSourceKind::Http }, { "kernel", FlowSourceKind::Kernel } }, settings.flows));
    bindings.push_back(bindDuration("target.load_interval_ms", 100, 60000, settings.loadInterval));
    bindings.push_back(bindDuration("target.flows_interval_ms", 100, 600000, settings.flowsInterval));
    absl::Status const status = readSettingsFile(file, settings.common, std::move(bindings));
    if (!status.ok())
        return status;
    if (settings.flows == FlowSourceKind::Http && settings.flowsUrl.empty())
        return makeError(ErrorKind::InvalidSettings, formatLocation(file, { 1, 1 }) + "key 'target.flows_url' is missing; give the URL of the target's list of open flows, or set target.flows = \"kernel\"");
    return settings;
}

absl::StatusOr<RelayEntrySettings> readRelayEntrySettings(std::string const& file)
{
    RelayEntrySettings settings;
    std::vector<KeyBinding> bindings = commonBindings(settings.common);
    bindings.push_back(bindEndpoint("relay", true, settings.relay));
    bindings.push_back(bindEndpoints("seeds", settings.seeds));
    bindings.push_back(bindUnsigned("limits.control_bytes_per_second", 500, 1U << 30U, settings.controlBytesPerSecond));
    bindings.push_back(bindUnsigned("limits.remembered_flows", 1024, 1U << 24U, settings.maximumRememberedFlows));
    bindings.push_back(bindReal("limits.link_mbps", 0, 1e6, settings.resources.linkMbps));
    bindings.push_back(bindReal("limits.cpu_share", 0, 1024, settings.resources.processorShare));
    bindings.push_back(bindUnsigned("limits.descriptors", 0, 1U << 30U, settings.resources.descriptors));
    bindings.push_back(bindUnsigned("limits.memory_mb", 0, 1U << 24U, settings.resources.memoryMb));
    bindings.push_back(bindChoice<RemoteMode>("balancing.remote", { { "auto", RemoteMode::Auto }, { "never", RemoteMode::Never }, { "always", RemoteMode::Always } }, settings.remote.mode));
    bindings.push_back(bindNumber("balancing.remote_ms_per_mb", 0, 100000, [&settings](std::int64_t value) { settings.remote.msPerMegabyte = static_cast<double>(value); }));
    bindings.push_back(bindDuration("forward_after_stop_ms", 0, 600000, settings.stopDelay));
    bindings.push_back(bindBoolean("evacuation.enabled", settings.handlesEvacuations));
    absl::Status const status = readSettingsFile(file, settings.common, std::move(bindings));
    if (!status.ok())
        return status;
    return settings;
}

absl::StatusOr<RelayAgentSettings> readRelayAgentSettings(std::string const& file)
{
    RelayAgentSettings settings;
    std::vector<KeyBinding> bindings = commonBindings(settings.common);
    bindings.push_back(bindText("service", true, settings.service));
    bindings.push_back(bindEndpoints("entries", settings.entries));
    bindings.push_back(bindEndpoint("target.address", true, settings.target));
    bindings.push_back(bindEndpoint("target.output", true, settings.targetOutput));
    bindings.push_back(bindEndpoint("target.announcements", true, settings.announcements));
    bindings.push_back(bindDuration("target.announcement_interval_ms", 10, 60000, settings.announcementInterval));
    bindings.push_back(bindDuration("quiet_wait_ms", 0, 60000, settings.stopTimeout));
    bindings.push_back(bindBoolean("evacuation.enabled", settings.handlesEvacuations));
    absl::Status const status = readSettingsFile(file, settings.common, std::move(bindings));
    if (!status.ok())
        return status;
    return settings;
}

absl::StatusOr<FleetKeys> readKeys(std::string const& file)
{
    absl::StatusOr<toml::table> const table = parseFile(file);
    if (!table.ok())
        return table.status();
    toml::node const* const node = table->get("key");
    toml::array const* const list = node != nullptr ? node->as_array() : nullptr;
    if (list == nullptr || list->empty() || list->size() > 2 || table->size() != 1)
        return makeError(ErrorKind::InvalidSettings, file + ":1:1: a key file has one or two [[key]] tables and nothing else; make one with plantaindrift keygen");
    FleetKeys keys;
    Problems problems;
    for (toml::node const& element : *list) {
        if (!element.is_table())
            return makeError(ErrorKind::InvalidSettings, formatLocation(file, element.source().begin) + "'key' is not a table; write [[key]]");
        Problems const found = readKeyTable(file, *element.as_table(), keys.emplace_back());
        problems.insert(problems.end(), found.begin(), found.end());
    }
    if (problems.empty())
        problems = checkKeyPairs(file, keys);
    if (!problems.empty())
        return makeProblemsError(problems);
    return keys;
}

std::string generateKeyText(std::uint8_t epoch)
{
    std::array<std::uint8_t, datagramKeyBytes> datagram {};
    randombytes_buf(datagram.data(), datagram.size());
    std::array<char, 2 * datagramKeyBytes + 1> hex {};
    sodium_bin2hex(hex.data(), hex.size(), datagram.data(), datagram.size());
    std::array<char, curveKeyCharacters + 1> publicKey {};
    std::array<char, curveKeyCharacters + 1> secretKey {};
    zmq_curve_keypair(publicKey.data(), secretKey.data());
    std::ostringstream text;
    text << "[[key]]\nepoch = " << static_cast<unsigned>(epoch) << "\ndatagram = \"" << hex.data() << "\"\n"
         << "control_public = '" << publicKey.data() << "'\ncontrol_secret = '" << secretKey.data() << "'\n";
    return text.str();
}

KeyRing datagramKeys(FleetKeys const& keys) noexcept
{
    KeyRing ring;
    for (FleetKey const& key : keys) {
        if (ring.count < ring.keys.size())
            ring.keys[ring.count++] = key.datagram;
    }
    return ring;
}

KeyRing insecureKeys() noexcept
{
    KeyRing ring;
    ring.count = 1;
    return ring;
}

} // namespace plantaindrift
