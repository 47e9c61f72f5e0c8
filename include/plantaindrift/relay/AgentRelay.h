#pragma once

#include "plantaindrift/base/LatencyHistogram.h"
#include "plantaindrift/base/Types.h"
#include "plantaindrift/membership/EvacuationSet.h"
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
#include <vector>

namespace plantaindrift {

/// \brief What an agent did with a segment.
enum class AgentRelayOutcome : std::uint8_t {
    Admitted, ///< new flow, admitted and delivered to the local target
    Delivered, ///< flow that the local target owns
    ForwardedUnverified, ///< unknown flow, delivered to the local target, which returns the segment if it does not hold the flow
    ForwardedOpening, ///< opening segment, sent on to another agent
    ForwardedToOwner, ///< flow that another agent owns
    SearchStarted, ///< unknown flow; forwarded to all agents that an entry named
    ForwardedAnswer, ///< answer of the local target, sent to the caller
    Refused, ///< the caller received a reset: no flow was opened
    RefusedOverLimit, ///< the expected time exceeds the latency limit; the caller received a reset: no flow was opened
    ResetLostFlow, ///< the target lost the flow; the caller received a reset
    DroppedWrongService, ///< segment of another service
    DroppedUnknownFlow, ///< the local target does not hold the flow
    DroppedOverLimit, ///< the expected time exceeds the latency limit; the caller retransmits the segment or opens another flow
    DroppedMalformed,
    DroppedStaleOpening ///< request to open a flow that waited while this process stood still
};

inline constexpr std::size_t agentRelayOutcomeCount = 15;

/// \brief Lower-case name of an outcome, as in logs and metrics.
[[nodiscard]] std::string_view agentRelayOutcomeName(AgentRelayOutcome outcome) noexcept;

/// \brief Settings of an agent's relay.
struct AgentRelayOptions {
    std::string targetName;
    Endpoint ownEndpoint; ///< receives segments from entries and other agents
    Endpoint targetEndpoint; ///< receives segments at the local target
    std::string serviceName;
    KeyRing keys;
    std::uint16_t callerPort { 0 }; ///< UDP port at which callers receive segments
    std::size_t maximumFlows { 1U << 14U }; ///< maximum number of flows that the relay tracks
};

/// \brief State of the local target, from its announcements.
struct TargetState {
    bool isAccepting { false }; ///< running, not draining, and of the agent's service
    bool isAnnounced { false }; ///< the target has announced itself since this process started; otherwise the state is assumed
    bool isGone { false }; ///< the target left, or its announcements stopped
    bool hasLeft { false }; ///< the target announced its end
    bool isStartObserved { false }; ///< the target started after this process, so that this process knows all of its flows
    std::uint16_t slots { 1 };
    std::uint32_t maximumConnections { 2000 };
    std::chrono::milliseconds remainingWarmUp { 0 }; ///< remaining time in which the target is slow after its start
};

/// \brief Number of opening segments that an agent treated in one way for one reason.
struct OpeningCount {
    std::string_view action;
    std::string_view reason;
    std::uint64_t segments { 0 };
};

/// \brief Admits flows to the local target, delivers their segments and counts the target's load.
///
/// This is the only place where flow state is kept; after a restart it is rebuilt from the segments that the target
/// sends and returns. Does no I/O of its own. Not thread-safe.
class AgentRelay {
public:
    /// \param observer  receives every decision except deliveries to the owner and answers
    AgentRelay(AgentRelayOptions const& options, SegmentCodec const& codec, RelaySender& sender, RelayObserver& observer, TimePoint now);
    ~AgentRelay();
    AgentRelay(AgentRelay const&) = delete;
    AgentRelay& operator=(AgentRelay const&) = delete;

    void setKeys(KeyRing const& keys);

    /// \brief Replaces the targets of the agent's service.
    void setView(ServiceView const& view);

    /// \brief Replaces the data centres whose targets take no new flows.
    void setEvacuations(EvacuationSet const& evacuations, TimePoint now);

    /// \brief Replaces the state of the target; takes effect with the next segment.
    void setTargetState(TargetState const& target, TimePoint now);

    /// \brief Marks all established flows as lost, because a new target without flows replaced the old one.
    void handleTargetReplacement();

    /// \brief Stops admitting new flows, because this process ends, and reports this to all subscribed entries.
    void stopAccepting(TimePoint now, std::uint32_t nowSeconds);

    /// \brief Processes one datagram of an entry or another agent.
    ///
    /// \param maximumWait  time that the datagram may have waited because this process stood still
    [[nodiscard]] PacketVerdict processRelayDatagram(std::span<std::byte const> datagram, Endpoint from, TimePoint now, std::uint32_t nowSeconds, Duration maximumWait = {}) noexcept;

    /// \brief Processes one datagram of the local target.
    [[nodiscard]] PacketVerdict processTargetDatagram(std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds) noexcept;

    /// \brief Periodic work, every 100 ms: sends load reports that are due and discards idle flows and expired owner
    /// records.
    void tick(TimePoint now, std::uint32_t nowSeconds);

    [[nodiscard]] TargetLoad load() const noexcept;

    /// \brief Whether the target has shown itself since this process started.
    enum class TargetActivity : std::uint8_t {
        Unknown, ///< no announcement and no segment yet
        Running,
        Unresponsive ///< no announcement, and segments delivered to it had no effect
    };

    [[nodiscard]] TargetActivity targetActivity(TimePoint now) const noexcept;

    /// \brief Number of segments for each outcome since start.
    [[nodiscard]] std::array<std::uint64_t, agentRelayOutcomeCount> const& outcomeCounts() const noexcept;

    /// \brief Decisions about opening segments since start; combinations that did not occur are left out.
    [[nodiscard]] std::vector<OpeningCount> openingCounts() const;

    /// \brief Times from a request's last segment to the first segment of its answer, since start.
    [[nodiscard]] LatencyHistogram const& requestTimes() const noexcept;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace plantaindrift
