#pragma once

#include "ControlFleet.h"
#include "Measurements.h"

#include <string>

namespace plantaindrift::bench {

/// \brief A fleet with the planned proportions: 11.4 targets per entry, 3.3 targets per service, 8 data centres.
class ProportionalFleet {
public:
    ProportionalFleet(int entries, testing::NetworkOptions const& network);

    /// \brief Starts all nodes and runs until all entries agree.
    void settle();

    /// \brief Declares all services at all entries.
    void declareServices();

    [[nodiscard]] testing::ControlFleet& control() noexcept { return fleet_; }
    [[nodiscard]] int entries() const noexcept { return entries_; }
    [[nodiscard]] int targets() const noexcept { return entries_ * plannedTargets / plannedEntries; }
    [[nodiscard]] int services() const noexcept { return entries_ * plannedServices / plannedEntries; }

    void addTarget(int index, std::uint64_t incarnation);

    struct Bytes {
        double sent { 0 };
        double received { 0 };
        double mostSent { 0 };
        double mostReceived { 0 };
    };

    /// \brief Bytes a second per entry or per agent over a stretch of time.
    struct Rates {
        Bytes entry;
        Bytes agent;
    };
    Rates runAndCount(std::chrono::seconds duration);

    /// \brief A record as the planned fleet has it.
    [[nodiscard]] static Member member(MemberRole role, int index);

    [[nodiscard]] static std::string placeOf(int index);
    [[nodiscard]] static std::string entryName(int index);
    [[nodiscard]] static std::string targetName(int index);
    [[nodiscard]] static std::string serviceName(int index);

private:
    testing::ControlFleet fleet_;
    int entries_;
};

} // namespace plantaindrift::bench
