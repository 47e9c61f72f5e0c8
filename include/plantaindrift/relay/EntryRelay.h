#pragma once

#include "plantaindrift/base/LatencyHistogram.h"
#include "plantaindrift/base/Types.h"
#include "plantaindrift/configuration/Configuration.h"
#include "plantaindrift/membership/EvacuationSet.h"
#include "plantaindrift/membership/ServiceView.h"
#include "plantaindrift/packet/Encapsulation.h"
#include "plantaindrift/packet/PacketVerdict.h"
#include "plantaindrift/relay/EntryResources.h"
#include "plantaindrift/relay/RelayMessage.h"
#include "plantaindrift/relay/RelayObserver.h"
#include "plantaindrift/relay/RelaySender.h"
#include "plantaindrift/relay/RemoteOptions.h"
#include "plantaindrift/relay/Segment.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift {

/// \brief What an entry did with a caller's segment.
enum class EntryRelayOutcome : std::uint8_t {
    ForwardedOpening, ///< request to open a flow
    ForwardedRetransmission, ///< retransmitted request to open a flow, sent to another target
    ForwardedToOwner, ///< flow whose owner is known
    ForwardedForSearch, ///< flow whose owner is being searched for
    RefusedNoRoute, ///< no service has the destination address
    RefusedNoTarget, ///< no target accepts new flows
    ResetLostFlow, ///< no target holds the flow
    DroppedMalformed,
    DroppedNoRoute,
    DroppedNoTarget,
    DroppedStaleOpening, ///< request to open a flow that waited while this process stood still
    RefusedEvacuated, ///< all data centres with targets of the service are evacuated
    DroppedEvacuated, ///< as RefusedEvacuated, but an earlier copy may have opened the flow
    OfferedAgain, ///< request to open a flow that an agent returned, sent to the target with most room
    RefusedNoRoom, ///< request to open a flow that an agent returned, and no other target has room
    DroppedReturned, ///< request to open a flow that an agent returned; the flow may be open, or the target is still starting
    RefusedLink, ///< the link of this entry cannot carry the flow
    RefusedProcessor ///< the processor of this entry cannot carry the flow
};

inline constexpr std::size_t entryRelayOutcomeCount = 18;

/// \brief Lower-case name of an outcome, as in logs and metrics.
[[nodiscard]] std::string_view entryRelayOutcomeName(EntryRelayOutcome outcome) noexcept;

/// \brief Settings of an entry's relay.
struct EntryRelayOptions {
    Endpoint ownEndpoint; ///< receives notices and load reports from agents
    std::string dataCentre;
    KeyRing keys;
    std::uint64_t randomSeed { 1 };
    std::size_t maximumFlows { 1U << 17U }; ///< maximum number of flows whose owner is remembered
    std::uint16_t callerPort { 0 }; ///< UDP port at which callers receive segments
    std::string name; ///< of the entry; identifies it to the entries of its data centre
    EntryResources resources; ///< limits of the instance
    RemoteOptions remote; ///< when new flows leave the data centre
};

/// \brief Chooses a target for each new flow by expected time, and sends segments of known flows to the owner.
///
/// Keeps no state that must survive a restart: the owner of an unknown flow is searched for among the agents of its
/// service. Does no I/O of its own. Not thread-safe.
class EntryRelay {
public:
    /// \param codec  wire format of the callers' segments
    /// \param sender  sends load subscriptions and search requests to agents, and resets to callers
    /// \param observer  receives decisions about new flows, searches and refusals
    EntryRelay(EntryRelayOptions const& options, SegmentCodec const& codec, RelaySender& sender, RelayObserver& observer);
    ~EntryRelay();
    EntryRelay(EntryRelay const&) = delete;
    EntryRelay& operator=(EntryRelay const&) = delete;

    /// \brief Replaces the routes; known flows keep their owners.
    ///
    /// Flows of a recently added address are not subject to the latency limit, because a caller could not tell a
    /// refusal from an address that is not served yet.
    void setConfiguration(Configuration const& configuration, TimePoint now);

    /// \brief Replaces the targets of one service; load reports received so far are kept.
    void setView(ServiceView const& view, TimePoint now);

    /// \brief Replaces the data centres whose targets take no new flows; open flows stay where they are.
    void setEvacuations(EvacuationSet const& evacuations, TimePoint now);

    /// \brief Sets whether the views contain every target that the store or a peer knows of.
    ///
    /// A caller is told that its flow is lost only after all targets of a complete view have been queried.
    void setViewsComplete(bool complete) noexcept;

    /// \brief Makes resets of lost flows wait for a member list that was read after the search for the flow began.
    void requireMemberRead() noexcept;

    /// \brief True if the end of a search waits for a new member list.
    [[nodiscard]] bool needsMemberRead() const noexcept;

    /// \brief Records that the views include all members of a list.
    ///
    /// \param started  time when the read of the list started
    void recordMemberRead(TimePoint started) noexcept;

    void setKeys(KeyRing const& keys);

    /// \brief Processes one datagram of a caller.
    ///
    /// \param maximumWait  time that the datagram may have waited because this process stood still
    [[nodiscard]] PacketVerdict processCallerDatagram(std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds, Duration maximumWait = {}) noexcept;

    /// \brief Processes a message of an agent. \returns false if it is malformed or not authenticated
    bool processAgentMessage(Endpoint from, std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds) noexcept;

    /// \brief Periodic work, every 100 ms: renews subscriptions, continues searches, sends owners of flows to agents
    /// and discards idle flows.
    void tick(TimePoint now, std::uint32_t nowSeconds);

    /// \brief Replaces the other running entries of the own data centre.
    void setEntryPeers(std::vector<EntryPeer> peers);

    /// \brief Records the use of the processor; called before each tick.
    ///
    /// \param used  processor time of the process since its start
    /// \param lateness  time by which the periodic timer was late
    void recordProcess(Duration used, Duration lateness, TimePoint now) noexcept;

    /// \brief True if the fabric should send new flows to the other entries of the data centre. Segments that arrive are
    /// still forwarded.
    [[nodiscard]] bool shouldLeaveRotation() const noexcept;

    /// \brief Decides whether a bulk verdict is sent now; counts it as sent if so.
    ///
    /// \param bytes  length of the datagram
    [[nodiscard]] BulkAction decideBulk(std::size_t bytes, TimePoint now) noexcept;

    /// \brief Decides on the first of the datagrams for which decideBulk() returned BulkAction::Queue.
    ///
    /// \param waited  time since then
    /// \returns BulkAction::Queue if it has to wait longer
    [[nodiscard]] BulkAction releaseBulk(std::size_t bytes, Duration waited, TimePoint now) noexcept;

    [[nodiscard]] EntryResourceReport resourceReport(TimePoint now) const noexcept;

    /// \brief True if there is a route and a target whose load report was received and that is not dead.
    [[nodiscard]] bool canServe() const noexcept;

    /// \brief Number of segments for each outcome since start.
    [[nodiscard]] std::array<std::uint64_t, entryRelayOutcomeCount> const& outcomeCounts() const noexcept;

    [[nodiscard]] std::size_t flowCount() const noexcept;

    using ReturnCountVisitor = std::function<void(EntryRelayOutcome outcome, std::string_view reason, std::uint64_t count)>;

    /// \brief Visits the numbers of openings that agents returned since start, by what became of them and the agent's reason.
    void visitReturnCounts(ReturnCountVisitor const& visit) const;

    /// \brief Number of flows that this entry offered elsewhere and that reached a target of an evacuated data centre, since
    /// start.
    [[nodiscard]] std::uint64_t evacuatedFlowCount() const noexcept;

    /// \brief New flows by data centre and reason since start, and the measured distances.
    [[nodiscard]] std::vector<SiteCounts> siteCounts(TimePoint now) const;

    /// \brief Number of messages that searches sent to agents since start.
    [[nodiscard]] std::uint64_t searchMessageCount() const noexcept;

    /// \brief Number of searches since start that went on in services that do not have the flow's address.
    [[nodiscard]] std::uint64_t widenedSearchCount() const noexcept;

    /// \brief Times from a search's first segment to the notice of the owner, since start.
    [[nodiscard]] LatencyHistogram const& successfulSearchTimes() const noexcept;

    /// \brief Times from a search's first segment until the flow was declared lost, since start.
    [[nodiscard]] LatencyHistogram const& failedSearchTimes() const noexcept;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace plantaindrift
