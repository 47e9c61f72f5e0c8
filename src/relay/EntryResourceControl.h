#pragma once

#include "balancing/BulkPacer.h"
#include "balancing/EntryAdmission.h"
#include "balancing/EntryStatuses.h"
#include "balancing/LinkBudget.h"
#include "balancing/RotationRule.h"
#include "plantaindrift/configuration/Configuration.h"
#include "plantaindrift/relay/EntryResources.h"
#include "plantaindrift/relay/RelayMessage.h"
#include "plantaindrift/relay/RelaySender.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace plantaindrift {

/// \brief Measures the load of an entry, shares it with the entries of its data centre and applies the rotation rule.
///
/// Without declared limits, it only counts bytes.
class EntryResourceControl {
public:
    /// \param nameHash  of this entry
    /// \param sender  sends statuses to other entries
    EntryResourceControl(EntryResources const& resources, std::uint32_t nameHash, std::uint64_t randomSeed, RelaySender& sender);

    /// \brief True if a limit is declared.
    [[nodiscard]] bool isActive() const noexcept { return isActive_; }

    [[nodiscard]] LinkBudget& link() noexcept { return link_; }

    /// \brief Decides on new flows; used only if a limit is declared.
    [[nodiscard]] EntryAdmission& admission() noexcept { return admission_; }

    /// \brief Adapts the pacing to the latency objectives.
    void setConfiguration(Configuration const& configuration) noexcept;

    /// \brief True if a segment with this much data may have to wait for the link.
    [[nodiscard]] bool isBulk(std::size_t dataBytes) const noexcept { return dataBytes >= minimumBulkSegmentBytes && link_.bytesPerSecond() > 0; }

    /// \brief See EntryRelay::decideBulk.
    [[nodiscard]] BulkAction decideBulk(std::size_t bytes, TimePoint now) noexcept;

    /// \brief See EntryRelay::releaseBulk.
    [[nodiscard]] BulkAction releaseBulk(std::size_t bytes, Duration waited, TimePoint now) noexcept;

    /// \brief Replaces the other running entries of the data centre.
    void setPeers(std::vector<EntryPeer> peers) { statuses_.setPeers(std::move(peers)); }

    /// \brief Records processor time since the start of the process and the lateness of the periodic timer.
    void recordProcess(Duration used, Duration lateness, TimePoint now) noexcept;

    void recordStatuses(DecodedRelayMessage const& message, TimePoint now);

    /// \brief Periodic work, every 100 ms.
    ///
    /// \param canServe  false keeps the entry out of rotation for another reason
    void tick(bool canServe, TimePoint now, RelaySigningContext const& signing);

    [[nodiscard]] bool shouldLeaveRotation() const noexcept { return !rule_.decision().isInRotation; }

    [[nodiscard]] EntryResourceReport report(TimePoint now) const noexcept;

private:
    /// \brief Ratio of what is offered to the entry to what it carries. The difference is what it refuses: while it
    /// refuses flows, the load that it carries does not show that it is overloaded.
    [[nodiscard]] double demandFactor() const noexcept;

    [[nodiscard]] EntryLoad ownStatus() const noexcept;
    void sendStatuses(TimePoint now, RelaySigningContext const& signing);
    void sendToAll(RelaySigningContext const& signing);

    bool isActive_;
    std::uint32_t nameHash_;
    std::uint64_t randomSeed_;
    RelaySender& sender_;
    LinkBudget link_;
    ProcessorBudget processor_;
    EntryAdmission admission_;
    BulkPacer pacer_;
    EntryStatuses statuses_;
    RotationRule rule_;
    bool canServe_ { false };
    TimePoint gossiped_;
    TimePoint sentToAll_;
    std::uint64_t gossipCount_ { 0 };
};

} // namespace plantaindrift
