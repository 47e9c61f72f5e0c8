#pragma once

#include "plantaindrift/base/LatencyHistogram.h"
#include "plantaindrift/base/Types.h"
#include "plantaindrift/membership/ServiceView.h"
#include "plantaindrift/packet/Encapsulation.h"
#include "plantaindrift/packet/PacketVerdict.h"
#include "plantaindrift/relay/RelayMessage.h"
#include "plantaindrift/relay/RelayObserver.h"
#include "plantaindrift/relay/RelaySender.h"
#include "plantaindrift/relay/Segment.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace plantaindrift {

/// \brief What an agent did with a segment.
enum class AgentRelayOutcome : std::uint8_t {
    Admitted, ///< offered to the local target as a new flow
    Delivered, ///< of a flow of the local target
    ForwardedUnverified, ///< of an unknown flow, given to the local target, which returns it if it does not hold the flow
    ForwardedOpening, ///< a request to open a flow, sent on to another agent
    ForwardedToOwner, ///< of a flow that another agent owns
    SearchStarted, ///< of an unknown flow; all agents of the service were asked
    ForwardedAnswer, ///< from the local target to the caller
    Refused, ///< the caller was told that no flow was opened
    RefusedOverLimit, ///< the target would answer too late; the caller was told that no flow was opened
    ResetLostFlow, ///< the target lost the flow; the caller was told
    DroppedWrongService, ///< another service's segment
    DroppedUnknownFlow, ///< of a flow that the local target does not hold
    DroppedOverLimit, ///< the target would answer too late; the caller repeats it or tries again
    DroppedMalformed
};

inline constexpr std::size_t agentRelayOutcomeCount = 14;

/// \brief Lower-case name of an outcome, for logs and metrics.
[[nodiscard]] std::string_view agentRelayOutcomeName(AgentRelayOutcome outcome) noexcept;

/// \brief Settings of an agent's relay.
struct AgentRelayOptions {
    std::string targetName;
    Endpoint ownEndpoint; ///< where entries and other agents send segments
    Endpoint targetEndpoint; ///< where the local target takes segments
    std::string serviceName;
    KeyRing keys;
    std::uint16_t callerPort { 0 }; ///< UDP port at which callers receive
    std::size_t maximumFlows { 1U << 14U }; ///< flows known at most
};

/// \brief State of the local target as it reported it itself.
struct TargetState {
    bool isAccepting { false }; ///< lives, is of the agent's service and does not drain
    bool isAnnounced { false }; ///< said so itself since this process started; else it is assumed
    bool isGone { false }; ///< ended, or has not announced itself for too long to be there
    bool isStartObserved { false }; ///< started after this process did, which thus knows all its flows
    std::uint16_t slots { 1 };
    std::uint32_t maximumConnections { 2000 };
    std::chrono::milliseconds remainingWarmUp { 0 }; ///< remaining time in which it is slow after its start
};

/// \brief Admits flows to the local target, delivers their segments and counts the target's load.
///
/// Holds the only state of flows; after a restart it is rebuilt from what the target sends and returns. Does no I/O of
/// its own. Not thread-safe.
class AgentRelay {
public:
    /// \param observer  is told of everything but deliveries to the owner and answers
    AgentRelay(AgentRelayOptions const& options, SegmentCodec const& codec, RelaySender& sender, RelayObserver& observer, TimePoint now);
    ~AgentRelay();
    AgentRelay(AgentRelay const&) = delete;
    AgentRelay& operator=(AgentRelay const&) = delete;

    void setKeys(KeyRing const& keys);

    /// \brief Replaces the targets of the own service.
    void setView(ServiceView const& view);

    /// \brief Takes the target's report; effective for the next segment.
    void setTargetState(TargetState const& target, TimePoint now);

    /// \brief The target was replaced by a new one: its flows are gone.
    void handleTargetReplacement();

    /// \brief Takes no new flows from now on, because this process ends.
    void stopAccepting(TimePoint now, std::uint32_t nowSeconds);

    /// \brief Decides one datagram of an entry or another agent.
    [[nodiscard]] PacketVerdict processRelayDatagram(std::span<std::byte const> datagram, Endpoint from, TimePoint now, std::uint32_t nowSeconds) noexcept;

    /// \brief Decides one datagram of the local target.
    [[nodiscard]] PacketVerdict processTargetDatagram(std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds) noexcept;

    /// \brief Periodic work, every 100 ms: sends load, tells other agents of owned flows, forgets idle flows.
    void tick(TimePoint now, std::uint32_t nowSeconds);

    [[nodiscard]] TargetLoad load() const noexcept;

    /// \brief Segments by outcome since start.
    [[nodiscard]] std::array<std::uint64_t, agentRelayOutcomeCount> const& outcomeCounts() const noexcept;

    /// \brief Times from a request's last segment to its answer's first, since start.
    [[nodiscard]] LatencyHistogram const& requestTimes() const noexcept;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace plantaindrift
