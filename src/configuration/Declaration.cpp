#include "plantaindrift/configuration/Declaration.h"

#include "plantaindrift/base/Error.h"
#include "plantaindrift/configuration/Printer.h"
#include "plantaindrift/configuration/Validator.h"

namespace plantaindrift {

ServiceDeclaration::ServiceDeclaration(std::string_view name)
{
    service_.name = name;
}

ServiceDeclaration& ServiceDeclaration::addAddress(std::string_view endpoint, Protocol protocol)
{
    std::optional<Endpoint> const parsed = parseEndpoint(endpoint);
    if (parsed)
        service_.addresses.push_back({ *parsed, protocol });
    else
        problems_.push_back("service \"" + service_.name + "\": addresses has \"" + std::string(endpoint) + "\", which is not an address; use A.B.C.D:PORT");
    return *this;
}

ServiceDeclaration& ServiceDeclaration::tcp(std::string_view endpoint)
{
    return addAddress(endpoint, Protocol::Tcp);
}

ServiceDeclaration& ServiceDeclaration::udp(std::string_view endpoint)
{
    return addAddress(endpoint, Protocol::Udp);
}

ServiceDeclaration& ServiceDeclaration::target(std::string_view pattern)
{
    service_.targets.emplace_back(pattern);
    return *this;
}

ServiceDeclaration& ServiceDeclaration::dataCentre(std::string_view name)
{
    service_.dataCentres.emplace_back(name);
    return *this;
}

ServiceDeclaration& ServiceDeclaration::connections(std::uint32_t count)
{
    service_.limits.connections = count;
    return *this;
}

ServiceDeclaration& ServiceDeclaration::slots(std::uint32_t count)
{
    service_.limits.slots = count;
    return *this;
}

ServiceDeclaration& ServiceDeclaration::queuePerSlot(std::uint32_t count)
{
    service_.limits.queuePerSlot = count;
    return *this;
}

ServiceDeclaration& ServiceDeclaration::huntLimit(std::uint32_t count)
{
    service_.limits.huntLimit = count;
    return *this;
}

ServiceDeclaration& ServiceDeclaration::idempotent()
{
    service_.idempotent = true;
    return *this;
}

ServiceDeclaration& ServiceDeclaration::slowStart(std::chrono::seconds duration)
{
    service_.slowStart = duration;
    return *this;
}

ServiceDeclaration& ServiceDeclaration::drainDeadline(std::chrono::seconds duration)
{
    service_.drain.deadline = duration;
    return *this;
}

Declaration& Declaration::service(ServiceDeclaration declaration)
{
    services_.push_back(std::move(declaration));
    return *this;
}

absl::StatusOr<Configuration> Declaration::build() const
{
    Configuration configuration;
    std::string problems;
    for (ServiceDeclaration const& declaration : services_) {
        configuration.services.push_back(declaration.service_);
        for (std::string const& problem : declaration.problems_)
            problems += (problems.empty() ? "" : "\n") + problem;
    }
    if (!problems.empty())
        return makeError(ErrorKind::InvalidSettings, problems);
    absl::Status const status = checkConfiguration(configuration);
    if (!status.ok())
        return status;
    return canonicalConfiguration(std::move(configuration));
}

} // namespace plantaindrift
