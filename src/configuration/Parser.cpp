#include "plantaindrift/configuration/Parser.h"

#include "configuration/FieldRules.h"
#include "configuration/ServiceJson.h"
#include "plantaindrift/base/Error.h"
#include "plantaindrift/configuration/Printer.h"
#include "plantaindrift/configuration/Validator.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <limits>
#include <sstream>
#include <toml++/toml.h>

namespace plantaindrift {

namespace {

    constexpr std::size_t longestFile = 8'000'000;
    // Further problems of a file are usually consequences of the first ones.
    constexpr std::size_t mostProblems = 50;
    constexpr std::string_view addressRemedy = "write it as \"A.B.C.D:PORT/tcp\" or \"A.B.C.D:PORT/udp\"";

    struct NumberRow {
        std::string_view key;
        NumberRange range;
        void (*assign)(Service&, std::uint64_t);
    };

    constexpr std::array<NumberRow, 6> numberTable { {
        { "connections", connectionsRange, [](Service& service, std::uint64_t value) { service.limits.connections = static_cast<std::uint32_t>(value); } },
        { "slots", slotsRange, [](Service& service, std::uint64_t value) { service.limits.slots = static_cast<std::uint32_t>(value); } },
        { "queue_per_slot", queuePerSlotRange, [](Service& service, std::uint64_t value) { service.limits.queuePerSlot = static_cast<std::uint32_t>(value); } },
        { "hunt_limit", huntLimitRange, [](Service& service, std::uint64_t value) { service.limits.huntLimit = static_cast<std::uint32_t>(value); } },
        { "slow_start_s", slowStartSecondsRange, [](Service& service, std::uint64_t value) { service.slowStart = std::chrono::seconds(value); } },
        { "drain_deadline_s", drainDeadlineSecondsRange, [](Service& service, std::uint64_t value) { service.drain.deadline = std::chrono::seconds(value); } },
    } };

    constexpr std::array<std::string_view, 6> otherKeys { "name", "addresses", "targets", "data_centres", "idempotent", "cold_requests_per_second" };
    constexpr std::string_view serviceKeys = "use name, addresses, targets, data_centres, idempotent, connections, slots, queue_per_slot, hunt_limit, slow_start_s, cold_requests_per_second or drain_deadline_s";

    bool isServiceKey(std::string_view key)
    {
        bool const isNumber = std::any_of(numberTable.begin(), numberTable.end(), [key](NumberRow const& row) { return row.key == key; });
        return isNumber || std::find(otherKeys.begin(), otherKeys.end(), key) != otherKeys.end();
    }

    std::string showKey(std::string_view key)
    {
        return isPrintableText(key) && key.size() <= longestName ? std::string(key) : "(key of " + std::to_string(key.size()) + " bytes)";
    }

    // The library quotes the file's bytes, which may not be fit for a terminal.
    std::string printable(std::string_view text)
    {
        std::string shown(text);
        std::replace_if(
            shown.begin(), shown.end(), [](char character) { return !isPrintableText(std::string_view(&character, 1)); }, '?');
        return shown;
    }

    bool isKeyStart(char character) noexcept
    {
        return character == '_' || character == '-' || character == '"' || character == '\'' || isName(std::string_view(&character, 1));
    }

    // Finds a table header without a key. The TOML library assumes that there is one: its behaviour is undefined otherwise. Lines
    // of arrays and texts can look like headers too, but no key of this format accepts nested lists or line breaks.
    std::optional<toml::source_position> findLineWithoutKey(std::string_view text)
    {
        constexpr std::string_view blanks = " \t";
        constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";
        if (text.starts_with(byteOrderMark))
            text.remove_prefix(byteOrderMark.size());
        std::uint32_t line = 0;
        while (!text.empty()) {
            ++line;
            std::size_t const length = std::min(text.find('\n'), text.size());
            std::string_view const content = text.substr(0, length);
            text.remove_prefix(std::min(length + 1, text.size()));
            std::size_t column = std::min(content.find_first_not_of(blanks), content.size());
            if (column == content.size())
                continue;
            // The library skips blanks outside ASCII as well, so a header could follow them.
            if (static_cast<unsigned char>(content[column]) >= 0x80U)
                return toml::source_position { line, static_cast<std::uint32_t>(column + 1) };
            if (content[column] != '[')
                continue;
            column += content.substr(column).starts_with("[[") ? 2 : 1;
            column = std::min(content.find_first_not_of(blanks, column), content.size());
            if (column == content.size() || !isKeyStart(content[column]))
                return toml::source_position { line, static_cast<std::uint32_t>(column + 1) };
        }
        return std::nullopt;
    }

    std::optional<ServiceAddress> parseServiceAddress(std::string_view text)
    {
        std::size_t const slash = text.find('/');
        if (slash == std::string_view::npos)
            return std::nullopt;
        std::optional<Endpoint> const endpoint = parseEndpoint(text.substr(0, slash));
        std::optional<Protocol> const protocol = parseProtocol(text.substr(slash + 1));
        if (!endpoint || !protocol)
            return std::nullopt;
        return ServiceAddress { *endpoint, *protocol };
    }

    class FileParser {
    public:
        explicit FileParser(std::string_view file)
            : file_(file)
        {
        }

        absl::StatusOr<Configuration> run(std::string_view text)
        {
            if (text.size() > longestFile)
                return makeError(ErrorKind::InvalidSettings, file_ + ":1:1: file has " + std::to_string(text.size()) + " bytes; use at most " + std::to_string(longestFile));
            std::optional<toml::source_position> const header = findLineWithoutKey(text);
            if (header) {
                report({ *header, *header, nullptr }, "syntax", "has no key here", "write keys in ASCII and a table header as [[service]]");
                return error();
            }
            try {
                document_ = toml::parse(text, file_);
            } catch (toml::parse_error const& problem) {
                report(problem.source(), "syntax", printable(problem.description()), "correct the TOML here");
                return error();
            }
            readDocument();
            if (problems_.empty())
                validate();
            if (!problems_.empty())
                return error();
            return canonicalConfiguration(std::move(configuration_));
        }

    private:
        void report(toml::source_region const& region, std::string_view key, std::string_view problem, std::string_view remedy)
        {
            std::string line = file_ + ':' + std::to_string(region.begin.line) + ':' + std::to_string(region.begin.column) + ": ";
            line.append(key).append(" ").append(problem).append("; ").append(remedy);
            problems_.push_back(std::move(line));
        }

        [[nodiscard]] absl::Status error() const
        {
            std::string message;
            for (std::size_t index = 0; index < problems_.size() && index < mostProblems; ++index)
                message += (index == 0 ? "" : "\n") + problems_[index];
            if (problems_.size() > mostProblems)
                message += "\n" + std::to_string(problems_.size() - mostProblems) + " more problems; correct these first";
            return makeError(ErrorKind::InvalidSettings, message);
        }

        void readDocument()
        {
            for (toml::table::const_iterator field = document_.cbegin(); field != document_.cend(); ++field) {
                std::string_view const key = field->first.str();
                if (key != "format" && key != "service")
                    report(field->first.source(), showKey(key), "is unknown", "use format and [[service]] only");
            }
            checkFormat();
            readServices();
        }

        void checkFormat()
        {
            std::string const remedy = "write format = " + std::to_string(configurationFormat) + " as the first line";
            toml::node const* const format = document_.get("format");
            if (format == nullptr) {
                report(document_.source(), "format", "is missing", remedy);
                return;
            }
            if (!format->is_integer())
                report(format->source(), "format", "is not a whole number", remedy);
            else if (format->as_integer()->get() != configurationFormat)
                report(format->source(), "format", "is version " + std::to_string(format->as_integer()->get()) + ", which this program does not know", remedy);
        }

        void readServices()
        {
            constexpr std::string_view remedy = "start each service with the line [[service]]";
            toml::node const* const services = document_.get("service");
            if (services == nullptr)
                return;
            toml::array const* const list = services->as_array();
            if (list == nullptr) {
                report(services->source(), "service", "is not a list of tables", remedy);
                return;
            }
            for (toml::node const& element : *list) {
                toml::table const* const table = element.as_table();
                if (table == nullptr)
                    report(element.source(), "service", "is not a table", remedy);
                else
                    readService(*table);
            }
        }

        void readService(toml::table const& table)
        {
            for (toml::table::const_iterator field = table.cbegin(); field != table.cend(); ++field) {
                if (!isServiceKey(field->first.str()))
                    report(field->first.source(), showKey(field->first.str()), "is unknown", serviceKeys);
            }
            Service service;
            readName(table, service);
            readAddresses(table, service);
            service.targets = readTexts(table, "targets", true, targetPatternRemedy);
            service.dataCentres = readTexts(table, "data_centres", false, nameRemedy);
            readFlag(table, service);
            for (NumberRow const& row : numberTable)
                readNumber(table, row, service);
            readColdRate(table, service);
            configuration_.services.push_back(std::move(service));
            tables_.push_back(&table);
        }

        toml::node const* find(toml::table const& table, std::string_view key, bool isRequired, std::string_view remedy)
        {
            toml::node const* const node = table.get(key);
            if (node == nullptr && isRequired)
                report(table.source(), key, "is missing in this service", remedy);
            return node;
        }

        void readName(toml::table const& table, Service& service)
        {
            toml::node const* const node = find(table, "name", true, nameRemedy);
            if (node == nullptr)
                return;
            if (!node->is_string())
                report(node->source(), "name", "is not a text", nameRemedy);
            else
                service.name = node->as_string()->get();
        }

        std::vector<std::string> readTexts(toml::table const& table, std::string_view key, bool isRequired, std::string_view remedy)
        {
            std::vector<std::string> texts;
            toml::node const* const node = find(table, key, isRequired, remedy);
            if (node == nullptr)
                return texts;
            if (!node->is_array()) {
                report(node->source(), key, "is not a list", "write it as [\"...\", \"...\"]");
                return texts;
            }
            for (toml::node const& element : *node->as_array()) {
                if (!element.is_string())
                    report(element.source(), key, "has an element that is not a text", remedy);
                else
                    texts.push_back(element.as_string()->get());
            }
            return texts;
        }

        void readAddresses(toml::table const& table, Service& service)
        {
            std::size_t const problemsBefore = problems_.size();
            std::vector<std::string> const texts = readTexts(table, "addresses", true, addressRemedy);
            if (problems_.size() != problemsBefore)
                return;
            for (std::size_t element = 0; element < texts.size(); ++element) {
                std::optional<ServiceAddress> const address = parseServiceAddress(texts[element]);
                if (address)
                    service.addresses.push_back(*address);
                else
                    report(table.get("addresses")->as_array()->get(element)->source(), "addresses", "has an element that is not an address", addressRemedy);
            }
        }

        void readFlag(toml::table const& table, Service& service)
        {
            constexpr std::string_view key = "idempotent";
            toml::node const* const node = table.get(key);
            if (node == nullptr)
                return;
            if (!node->is_boolean())
                report(node->source(), key, "is not a boolean", "use true or false");
            else
                service.idempotent = node->as_boolean()->get();
        }

        void readNumber(toml::table const& table, NumberRow const& row, Service& service)
        {
            std::string const remedy = "use a whole number from " + std::to_string(row.range.least) + " to " + std::to_string(row.range.most);
            toml::node const* const node = table.get(row.key);
            if (node == nullptr)
                return;
            if (!node->is_integer()) {
                report(node->source(), row.key, "is not a whole number", remedy);
                return;
            }
            std::int64_t const value = node->as_integer()->get();
            // Out-of-range values are refused here, because the narrower field could not hold them.
            bool const inRange = value >= 0 && static_cast<std::uint64_t>(value) >= row.range.least && static_cast<std::uint64_t>(value) <= row.range.most;
            if (inRange)
                row.assign(service, static_cast<std::uint64_t>(value));
            else
                report(node->source(), row.key, "is " + std::to_string(value) + ", which is out of range", remedy);
        }

        void readColdRate(toml::table const& table, Service& service)
        {
            constexpr std::string_view key = "cold_requests_per_second";
            constexpr double thousandths = 1000;
            constexpr double most = static_cast<double>(coldRateRange.most) / thousandths;
            std::string const remedy = "use a number from 0 to " + std::to_string(coldRateRange.most / 1000);
            toml::node const* const node = table.get(key);
            if (node == nullptr)
                return;
            if (!node->is_number()) {
                report(node->source(), key, "is not a number", remedy);
                return;
            }
            double const rate = node->is_integer() ? static_cast<double>(node->as_integer()->get()) : node->as_floating_point()->get();
            // A comparison with a value that is not a number is false.
            if (rate >= 0 && rate <= most)
                service.coldRate = static_cast<std::uint32_t>(std::lround(rate * thousandths));
            else
                report(node->source(), key, "is out of range", remedy);
        }

        void validate()
        {
            for (ConfigurationProblem const& problem : validateConfiguration(configuration_)) {
                toml::table const& table = *tables_[problem.service];
                toml::node const* node = table.get(problem.key);
                if (node != nullptr && problem.element)
                    node = node->as_array()->get(*problem.element);
                report(node == nullptr ? table.source() : node->source(), problem.key, problem.problem, problem.remedy);
            }
        }

        std::string file_;
        toml::table document_;
        Configuration configuration_;
        std::vector<toml::table const*> tables_;
        std::vector<std::string> problems_;
    };

} // namespace

absl::StatusOr<Configuration> parseConfiguration(std::string_view text, std::string_view file)
{
    return FileParser(file).run(text);
}

absl::StatusOr<Configuration> readConfigurationFile(std::string_view file)
{
    std::string const name(file);
    std::ifstream stream(name, std::ios::binary);
    std::ostringstream content;
    // An empty file inserts nothing, which sets the fail bit although the read succeeded.
    if (stream && stream.peek() != std::ifstream::traits_type::eof())
        content << stream.rdbuf();
    if (!stream.is_open() || stream.bad() || content.fail())
        return makeError(ErrorKind::InvalidSettings, name + ": the file cannot be read; check its name and permissions");
    return parseConfiguration(content.str(), file);
}

} // namespace plantaindrift
