#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/configuration/Configuration.h"
#include "plantaindrift/membership/ServiceView.h"
#include "plantaindrift/packet/Encapsulation.h"
#include "plantaindrift/packet/InnerPacket.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace plantaindrift {

/// \brief What an agent does with a packet.
enum class AgentAction : std::uint8_t {
    Deliver, ///< hand the inner packet to the local target
    Pass, ///< send on to another agent with the changed route
    Refuse, ///< tell the caller that nothing ran (TCP reset to the SYN, ICMP for UDP)
    Drop
};

/// \brief Why an agent drops or refuses.
enum class AgentReason : std::uint8_t {
    None,
    WrongService,
    UnknownFlow,
    HopLimit,
    AllFull, ///< every candidate asked was unwilling
    Unsettled, ///< cannot be refused truthfully yet; the caller retransmits
    NotesFull,
    Paused, ///< first packet queued while this process was stopped
    Recovering ///< the flow table is not rebuilt yet
};

/// \brief Lower-case name of a reason, for logs and metrics.
[[nodiscard]] std::string_view agentReasonName(AgentReason reason) noexcept;

/// \brief Tells an entry which agent owns a flow.
struct OwnerNotice {
    Endpoint entry;
    FlowHash flow {};
};

/// \brief Decision for one packet.
struct AgentDecision {
    AgentAction action { AgentAction::Drop };
    AgentReason reason { AgentReason::None };
    Endpoint to; ///< next agent when the action is Pass
    RouteOption route; ///< route to send when the action is Pass
    std::optional<OwnerNotice> notice; ///< to be sent with this agent as owner
    bool admitted { false }; ///< this packet opened a flow
};

/// \brief A redirect asks another agent to send a flow's packets on to this one.
struct Redirect {
    Endpoint to; ///< agent that keeps the note
    FlowHash flow {};
};

/// \brief Load as the target's own endpoint reports it.
struct LoadReport {
    std::uint32_t busySlots { 0 };
    std::uint32_t openConnections { 0 };
    bool healthy { true };
};

/// \brief Settings of an agent's packet path.
struct AgentOptions {
    std::string name;
    std::string dataCentre;
    Endpoint self;
    ServiceHash service {};
    bool coldStart { true }; ///< the target itself has just started
    std::size_t noteEntries { 65536 }; ///< hard bound of pass notes
};

/// \brief Counts for metrics; all since start but the gauges.
struct AgentCounts {
    std::uint64_t delivered { 0 };
    std::uint64_t admitted { 0 };
    std::uint64_t passed { 0 };
    std::uint64_t refused { 0 };
    std::uint64_t dropped[9] {}; ///< by AgentReason
    std::uint32_t openFlows { 0 }; ///< gauge
    std::uint32_t notes { 0 }; ///< gauge
    double estimatedBusy { 0 }; ///< gauge, slots
};

/// \brief Looks up, admits, passes and refuses; holds the only flow state that matters.
///
/// Does no I/O and allocates nothing per packet. Not thread-safe.
class AgentPipeline {
public:
    AgentPipeline(AgentOptions const& options, TimePoint now);
    ~AgentPipeline();
    AgentPipeline(AgentPipeline const&) = delete;
    AgentPipeline& operator=(AgentPipeline const&) = delete;

    /// \brief Decides one packet that passed authentication.
    [[nodiscard]] AgentDecision decide(RouteOption const& route, InnerPacket const& packet, TimePoint now) noexcept;

    /// \brief Limits and rules of the service.
    void setService(Service const& service);

    /// \brief The service's members as the monitors told; a changed fingerprint restarts the settle window.
    void setView(ServiceView const& view, TimePoint now);

    /// \brief Flows that the target really has open; ends recovery and corrects counts.
    void reconcile(std::span<FlowHash const> openFlows, TimePoint now);

    /// \brief Load and health as reported by the target.
    void setLoadReport(LoadReport const& report, TimePoint now) noexcept;

    /// \brief Load of a peer agent, as a fraction of its slots.
    void setPeerLoad(std::string_view peer, double busyFraction, TimePoint now);

    /// \brief Starts or ends draining; effective for the next packet.
    void setDraining(bool draining) noexcept;

    /// \brief A monitor answered a heartbeat; keeps the lease of the view.
    void renewLease(TimePoint now) noexcept;

    /// \brief Keeps a note for a flow owned by another agent.
    void acceptRedirect(FlowHash flow, Endpoint owner, TimePoint now) noexcept;

    /// \brief Periodic work, every 100 ms: expires notes and closed flows.
    ///
    /// \param redirects  filled with redirects to send; at most its size per call
    /// \returns          number of redirects written
    std::size_t tick(TimePoint now, std::span<Redirect> redirects) noexcept;

    /// \brief Own load to share with peers, as a fraction of slots.
    [[nodiscard]] double busyFraction(TimePoint now) const noexcept;

    /// \brief True once the view is equal to the entries' and old enough to admit without a probe.
    [[nodiscard]] bool isSettled(std::uint32_t fingerprint, TimePoint now) const noexcept;

    [[nodiscard]] AgentCounts counts() const noexcept;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace plantaindrift
