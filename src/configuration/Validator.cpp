#include "plantaindrift/configuration/Validator.h"

#include "configuration/FieldRules.h"
#include "configuration/ServiceJson.h"
#include "plantaindrift/base/Error.h"
#include "plantaindrift/base/Hash.h"

#include <array>
#include <map>
#include <set>
#include <tuple>

namespace plantaindrift {

namespace {

    using AddressKey = std::tuple<std::uint32_t, std::uint16_t, Protocol>;
    using HashFunction = ServiceHash (*)(std::string_view) noexcept;

    // Multicast and reserved addresses start at 224.0.0.0 and cannot be the destination of a flow.
    constexpr std::uint32_t firstMulticast = 0xE0000000U;

    struct LimitRow {
        std::string_view key;
        NumberRange range;
        std::int64_t (*value)(Service const&);
    };

    constexpr std::array<LimitRow, 7> limitTable { {
        { "connections", connectionsRange, [](Service const& service) { return std::int64_t { service.limits.connections }; } },
        { "slots", slotsRange, [](Service const& service) { return std::int64_t { service.limits.slots }; } },
        { "queue_per_slot", queuePerSlotRange, [](Service const& service) { return std::int64_t { service.limits.queuePerSlot }; } },
        { "hunt_limit", huntLimitRange, [](Service const& service) { return std::int64_t { service.limits.huntLimit }; } },
        { "slow_start_s", slowStartSecondsRange, [](Service const& service) { return std::int64_t { service.slowStart.count() }; } },
        { "drain_deadline_s", drainDeadlineSecondsRange, [](Service const& service) { return std::int64_t { service.drain.deadline.count() }; } },
        { "cold_requests_per_second", coldRateRange, [](Service const& service) { return std::int64_t { service.coldRate }; } },
    } };

    std::string quote(std::string_view text)
    {
        bool const isShown = isPrintableText(text) && text.size() <= longestName;
        return isShown ? '"' + std::string(text) + '"' : "a text of " + std::to_string(text.size()) + " bytes";
    }

    class Validation {
    public:
        Validation(Configuration const& configuration, HashFunction hash)
            : configuration_(configuration)
            , hash_(hash)
        {
        }

        std::vector<ConfigurationProblem> run()
        {
            if (configuration_.services.size() > mostServices)
                report("name", std::nullopt, "is of service " + std::to_string(configuration_.services.size()), "declare at most " + std::to_string(mostServices) + " services");
            for (index_ = 0; index_ < configuration_.services.size() && index_ < mostServices; ++index_)
                checkService(configuration_.services[index_]);
            return std::move(problems_);
        }

    private:
        void report(std::string_view key, std::optional<std::size_t> element, std::string problem, std::string_view remedy)
        {
            problems_.push_back({ index_, std::string(key), element, std::move(problem), std::string(remedy) });
        }

        void checkService(Service const& service)
        {
            checkName(service.name);
            checkAddresses(service);
            checkTexts("targets", service.targets, mostTargets, isTargetPattern, targetPatternRemedy);
            if (service.targets.empty())
                report("targets", std::nullopt, "is empty, so no target can serve it", "name at least one target or pattern");
            checkTexts("data_centres", service.dataCentres, mostDataCentres, isName, nameRemedy);
            for (LimitRow const& limit : limitTable)
                checkLimit(limit, limit.value(service));
        }

        void checkName(std::string const& name)
        {
            if (!isName(name)) {
                report("name", std::nullopt, "is " + quote(name) + ", which is not a name", nameRemedy);
                return;
            }
            if (!names_.insert(name).second) {
                report("name", std::nullopt, "is " + quote(name) + ", which is declared before", "use each service name once");
                return;
            }
            std::map<ServiceHash, std::string>::value_type const& holder = *hashes_.emplace(hash_(name), name).first;
            if (holder.second != name)
                report("name", std::nullopt, "is " + quote(name) + ", whose 64-bit hash is that of " + quote(holder.second), "rename one of the two services");
        }

        void checkAddresses(Service const& service)
        {
            if (service.addresses.empty())
                report("addresses", std::nullopt, "is empty, so no caller can reach it", "name at least one address");
            if (service.addresses.size() > mostAddresses)
                report("addresses", std::nullopt, "has too many elements", "use at most " + std::to_string(mostAddresses));
            for (std::size_t element = 0; element < service.addresses.size() && element < mostAddresses; ++element)
                checkAddress(service, element);
        }

        void checkAddress(Service const& service, std::size_t element)
        {
            ServiceAddress const& address = service.addresses[element];
            std::string const text = quote(formatEndpoint(address.endpoint) + '/' + std::string(protocolName(address.protocol)));
            if (!address.endpoint.isSet() || address.endpoint.port == 0 || address.endpoint.address >= firstMulticast) {
                report("addresses", element, "is " + text + ", which callers cannot use", "use a unicast address and a port from 1 to 65535");
                return;
            }
            AddressKey const key(address.endpoint.address, address.endpoint.port, address.protocol);
            std::pair<std::map<AddressKey, std::string>::iterator, bool> const result = addresses_.emplace(key, service.name);
            if (!result.second)
                report("addresses", element, "is " + text + ", which service " + quote(result.first->second) + " has already", "give each address to one service, once");
        }

        void checkTexts(std::string_view key, std::vector<std::string> const& texts, std::size_t most, bool (*isValid)(std::string_view) noexcept, std::string_view remedy)
        {
            if (texts.size() > most)
                report(key, std::nullopt, "has too many elements", "use at most " + std::to_string(most));
            std::set<std::string_view> seen;
            for (std::size_t element = 0; element < texts.size() && element < most; ++element) {
                if (!isValid(texts[element]))
                    report(key, element, "is " + quote(texts[element]) + ", which is not valid", remedy);
                else if (!seen.insert(texts[element]).second)
                    report(key, element, "is " + quote(texts[element]) + ", which is listed before", "remove one of the two");
            }
        }

        void checkLimit(LimitRow const& limit, std::int64_t value)
        {
            bool const inRange = value >= 0 && static_cast<std::uint64_t>(value) >= limit.range.least && static_cast<std::uint64_t>(value) <= limit.range.most;
            if (!inRange)
                report(limit.key, std::nullopt, "is " + std::to_string(value) + ", which is out of range", "use a whole number from " + std::to_string(limit.range.least) + " to " + std::to_string(limit.range.most));
        }

        Configuration const& configuration_;
        HashFunction hash_;
        std::size_t index_ { 0 };
        std::set<std::string> names_;
        std::map<ServiceHash, std::string> hashes_;
        std::map<AddressKey, std::string> addresses_;
        std::vector<ConfigurationProblem> problems_;
    };

} // namespace

std::vector<ConfigurationProblem> validateConfiguration(Configuration const& configuration, ServiceHash (*hash)(std::string_view) noexcept)
{
    return Validation(configuration, hash).run();
}

std::vector<ConfigurationProblem> validateConfiguration(Configuration const& configuration)
{
    return validateConfiguration(configuration, hashService);
}

absl::Status checkConfiguration(Configuration const& configuration)
{
    std::string message;
    for (ConfigurationProblem const& problem : validateConfiguration(configuration)) {
        std::string const name = problem.service < configuration.services.size() ? configuration.services[problem.service].name : std::string();
        std::string const element = problem.element ? '[' + std::to_string(*problem.element) + ']' : std::string();
        message += (message.empty() ? "" : "\n");
        message += "service " + quote(name) + ": " + problem.key + element + ' ' + problem.problem + "; " + problem.remedy;
    }
    return message.empty() ? absl::OkStatus() : makeError(ErrorKind::InvalidSettings, message);
}

} // namespace plantaindrift
