#pragma once

#include "plantaindrift/agent/AgentPipeline.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift {

/// \brief Whether the agent takes a new flow.
enum class Willingness : std::uint8_t {
    Willing,
    AbovePeers, ///< has a free slot, but is busier than its peers
    Queueing, ///< has room in its queue only
    Full ///< no room, draining, recovering or not healthy
};

/// \brief Counts of the flow table that admission needs.
struct FlowCounts {
    std::size_t open { 0 };
    std::size_t inProgress { 0 };
    std::size_t recent { 0 }; ///< in progress, with data or admission in the last second
    bool atBound { false };
};

/// \brief Decides whether the target has room: connections, slots, load against peers, slow start, pass budget.
class Admission {
public:
    Admission(bool coldStart, TimePoint now);

    void setService(AdmissionLimits const& limits, std::chrono::seconds slowStart) noexcept;
    void setWeight(std::uint16_t weight) noexcept { weight_ = weight; }
    void setDraining(bool draining) noexcept { draining_ = draining; }
    void setRecovered() noexcept { recovered_ = true; }
    void setLoadReport(LoadReport const& report, FlowCounts const& counts, TimePoint now) noexcept;
    void setPeerLoad(std::string_view peer, double busyFraction, TimePoint now);

    void tick(FlowCounts const& counts, TimePoint now) noexcept;

    [[nodiscard]] Willingness willingness(FlowCounts const& counts, TimePoint now) const noexcept;

    /// \brief True if the target may take work at all; false while draining, recovering or not healthy.
    [[nodiscard]] bool isAccepting() const noexcept { return recovered_ && !draining_ && healthy_; }
    [[nodiscard]] bool isRecovered() const noexcept { return recovered_; }

    /// \brief Counts an admission, which adds to the budget of passes.
    void noteAdmission() noexcept;

    /// \brief Takes one pass of a first packet from the budget. \returns false if it is spent
    [[nodiscard]] bool takePass() noexcept;

    /// \brief The same for passes that spread load while this target has room.
    [[nodiscard]] bool takeSpreadingPass() noexcept;

    /// \brief Load of a peer as last heard; the mean of the others if it is not known.
    [[nodiscard]] double peerLoad(std::string_view name) const noexcept;

    [[nodiscard]] double estimatedBusy(FlowCounts const& counts) const noexcept;
    [[nodiscard]] double busyFraction() const noexcept { return smoothedBusy_; }
    [[nodiscard]] AdmissionLimits const& limits() const noexcept { return limits_; }

private:
    struct PeerLoad {
        std::string name;
        double busyFraction { 0 };
        TimePoint heard;
    };

    [[nodiscard]] double slots() const noexcept;
    [[nodiscard]] double slowStartFactor(TimePoint now) const noexcept;
    [[nodiscard]] bool isAbovePeers() const noexcept;

    AdmissionLimits limits_;
    std::chrono::seconds slowStart_ { 30 };
    TimePoint started_;
    TimePoint lastTick_;
    TimePoint lastReport_;
    std::vector<PeerLoad> peers_;
    std::uint32_t lastReported_ { 0 };
    std::size_t leastOwn_ { 0 }; ///< own count since the reported value last changed
    std::size_t mostOwn_ { 0 };
    double excess_ { 0 }; ///< average of reported less own slots
    double smoothedBusy_ { 0 };
    double peerMean_ { 0 };
    double passTokens_ { 0 };
    double spreadingTokens_ { 0 };
    std::uint16_t weight_ { 100 };
    bool hasReport_ { false };
    bool hasPeers_ { false };
    bool coldStart_;
    bool recovered_ { false };
    bool draining_ { false };
    bool healthy_ { true };
};

} // namespace plantaindrift
