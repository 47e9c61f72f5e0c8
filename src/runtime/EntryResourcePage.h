#pragma once

#include "plantaindrift/membership/Member.h"
#include "plantaindrift/relay/EntryResources.h"
#include "runtime/MetricsPage.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace plantaindrift {

/// \brief Measures the processor time of this process and the lateness of its periodic timer.
class ProcessUse {
public:
    /// \brief Processor time of all threads since the start of the process.
    [[nodiscard]] static Duration processorTime() noexcept;

    /// \brief Records a call of the timer that is due every 100 ms. \returns the time by which it was late
    [[nodiscard]] Duration recordTick(TimePoint now) noexcept;

private:
    TimePoint lastTick_;
};

/// \brief Reduces the number of remembered flows to what fits into a third of the declared memory.
[[nodiscard]] std::uint32_t limitRememberedFlows(std::uint32_t flows, EntryResources const& resources) noexcept;

/// \brief Other entries of the own data centre that are running, also those that are suspected of having failed.
[[nodiscard]] std::vector<EntryPeer> runningPeers(std::span<Member const> members, Member const& self);

/// \brief Logs the declared limits at the start, and a warning if the process may need more.
void logResources(std::string_view name, EntryResources const& resources, std::uint32_t rememberedFlows);

/// \brief Logs that the entry left the rotation or returned, with the inputs of the decision.
void logRotation(std::string_view name, EntryResourceReport const& report);

void addResourceMetrics(MetricsPage& page, EntryResources const& resources, EntryResourceReport const& report);

} // namespace plantaindrift
