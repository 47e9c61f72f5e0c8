#pragma once

#include "plantaindrift/configuration/Configuration.h"

#include "absl/status/statusor.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift {

/// \brief Describes one service step by step.
///
/// \code
/// ServiceDeclaration("rota-desk").tcp("10.1.0.10:443").target("rota-*").slots(7)
/// \endcode
class ServiceDeclaration {
public:
    explicit ServiceDeclaration(std::string_view name);

    /// \brief Adds an address "A.B.C.D:PORT" that callers reach by TCP.
    ServiceDeclaration& tcp(std::string_view endpoint);
    /// \brief Adds an address "A.B.C.D:PORT" that callers reach by UDP.
    ServiceDeclaration& udp(std::string_view endpoint);
    /// \brief Accepts a target by its name, or all targets whose names start with the text before a '*'.
    ServiceDeclaration& target(std::string_view pattern);
    /// \brief Accepts targets of this place; without any data centre, all data centres are accepted.
    ServiceDeclaration& dataCentre(std::string_view name);
    /// \brief Open flows per target at weight 100.
    ServiceDeclaration& connections(std::uint32_t count);
    /// \brief Requests that a target serves at once.
    ServiceDeclaration& slots(std::uint32_t count);
    /// \brief Flows that may wait at a target, per slot.
    ServiceDeclaration& queuePerSlot(std::uint32_t count);
    /// \brief Candidates that are asked before a first packet is refused.
    ServiceDeclaration& huntLimit(std::uint32_t count);
    /// \brief States that a request may run twice; without it, UDP requests are admitted only after a probe.
    ServiceDeclaration& idempotent();
    /// \brief Time in which a cold target's limit grows from a tenth to all of it.
    ServiceDeclaration& slowStart(std::chrono::seconds duration);
    /// \brief Longest wait for open flows when a target leaves.
    ServiceDeclaration& drainDeadline(std::chrono::seconds duration);

private:
    friend class Declaration;

    ServiceDeclaration& addAddress(std::string_view endpoint, Protocol protocol);

    Service service_;
    std::vector<std::string> problems_;
};

/// \brief Describes all services; the result is canonical and validated.
class Declaration {
public:
    Declaration& service(ServiceDeclaration declaration);

    /// \brief The configuration, or InvalidSettings with one problem a line.
    [[nodiscard]] absl::StatusOr<Configuration> build() const;

private:
    std::vector<ServiceDeclaration> services_;
};

} // namespace plantaindrift
