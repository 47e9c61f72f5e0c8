#pragma once

#include "plantaindrift/plantaindrift.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift::measure {

/// \brief How flows are spread over targets.
enum class Policy : std::uint8_t {
    Product, ///< EntryPipeline and AgentPipeline
    Modulo, ///< flow hash modulo the number of targets
    Consistent, ///< first candidate of rendezvous hashing
    Chain, ///< candidates in order, no decision by load
    Omniscient ///< one dispatcher that knows the load of every target
};

inline constexpr std::string_view policyName(Policy policy) noexcept
{
    constexpr std::string_view names[] { "product", "modulo", "consistent", "chain", "omniscient" };
    return names[static_cast<std::size_t>(policy)];
}

/// \brief What goes wrong, or is changed, in a case.
enum class Incident : std::uint8_t {
    None,
    Drain, ///< one target drains and leaves
    Rolling, ///< every target is replaced, one after the other
    EntryReplacement, ///< every entry is replaced, one after the other
    AgentRestart, ///< every agent restarts, one after the other
    TargetCrash,
    EntryCrash,
    StaleEntry, ///< one entry learns of a join and a drain 20 s late
    Duplicates, ///< one of five first packets arrives twice
    Partition, ///< one data centre is cut off for 20 s
    LoadZero, ///< one target reports no load
    LoadFull, ///< one target reports full load
    LoadFrozen, ///< one target repeats an old report
    ColdStart ///< one target joins cold and serves three times slower for 20 s
};

inline constexpr std::string_view incidentName(Incident incident) noexcept
{
    constexpr std::string_view names[] { "steady", "drain", "rolling", "entry_replacement", "agent_restart", "target_crash", "entry_crash",
        "stale_entry", "duplicates", "partition", "load_zero", "load_full", "load_frozen", "cold_start" };
    return names[static_cast<std::size_t>(incident)];
}

/// \brief A service as section 1.5 of the design page states it.
struct Deployment {
    std::string name;
    std::uint32_t targets { 7 };
    std::uint32_t slots { 7 };
    std::uint32_t dataCentres { 4 };
    std::uint32_t entries { 3 };
    std::int64_t placeLatency { 500 }; ///< microseconds, one way
    std::int64_t clientLatency { 1000 };
    std::int64_t meanService { 100000 }; ///< microseconds
    std::uint32_t feedsPerTarget { 10 };
    double uploadShare { 0.1 }; ///< share of the offered work
    std::uint32_t queuePerSlot { 2 };
};

/// \brief One run.
struct Run {
    Deployment deployment;
    Policy policy { Policy::Product };
    Incident incident { Incident::None };
    std::uint32_t loadPercent { 70 };
    std::uint64_t seed { 1 };
    std::int64_t length { 120000000 }; ///< measured time, microseconds
};

/// \brief What a run showed.
struct Result {
    std::uint64_t flows { 0 };
    std::uint64_t broken { 0 };
    std::uint64_t brokenElsewhere { 0 }; ///< broken flows whose target did not crash
    std::uint64_t requests { 0 };
    std::uint64_t runTwice { 0 }; ///< flows opened at two live targets
    std::uint64_t refused { 0 };
    std::uint64_t falselyNotRun { 0 };
    std::uint64_t misrouted { 0 };
    double imbalance { 0 };
    double waitMilliseconds { 0 }; ///< 99th percentile from the first SYN to the start of service
    double extraHops { 0 }; ///< passes per packet
    double completedShare { 0 }; ///< completed work over the lesser of offered work and capacity
    double controlBytes { 0 }; ///< per node and second: notices, redirects and load shares
};

[[nodiscard]] inline std::vector<Deployment> todaysDeployments()
{
    Deployment rota { "rota-desk", 7, 7, 4, 3, 500 };
    Deployment ledger { "ledger-store", 4, 7, 4, 3, 500 };
    Deployment carts { "izposoja", 7, 3, 3, 3, 1500 };
    Deployment photos { "pregled", 3, 3, 3, 3, 1500 };
    // Uploads of ledgers and photos are most of the work of these two.
    ledger.uploadShare = 0.5;
    photos.uploadShare = 0.5;
    return { rota, ledger, carts, photos };
}

} // namespace plantaindrift::measure
