#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/packet/Encapsulation.h"
#include "plantaindrift/relay/OpeningReason.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace plantaindrift {

/// \brief Kind of a relay datagram.
enum class RelayMessageKind : std::uint8_t {
    Packet = 1, ///< caller's segment, from an entry or agent to an agent
    OwnerNotice = 2, ///< agent to entry: the sender owns this flow; includes the sender's load
    LoadReport = 3, ///< agent to entry: load of the sender's target
    LoadSubscription = 4, ///< entry to agent: send load reports at this interval
    FlowOwners = 5, ///< entry to agent: owners of flows for which an entry may query this agent
    FlowNotFound = 6, ///< agent to entry: the sender's target does not hold this flow
    SearchRequest = 7, ///< entry to agent: a segment of an unknown flow, and the agents to forward it to
    FlowQuery = 8, ///< entry to agent: which of these flows may the target hold?
    FlowQueryReply = 9, ///< agent to entry: the flows of a query that the target may hold
    EntryStatus = 10, ///< entry to entry: load of the entries of a data centre
    OpeningDeclined = 11 ///< agent to entry: an opening segment that no agent that was offered it admits, and the load of the sender's target
};

/// \brief What an agent does with a packet of a flow that it does not know.
enum class RelaySearchMode : std::uint8_t {
    Start, ///< send the packet to the recorded owner; without one, report to the entry that the flow is not found here
    FollowOnly, ///< send the packet to the recorded owner; without one, do nothing: another packet of the flow started a search
    ReportOnly, ///< report to the entry that the flow is not found here
    OwnerKnown, ///< as Start; the entry already takes this agent for the owner, so that an owner sends no notice
    RecordedOwner ///< send the packet to the recorded owner; without one, do nothing: the target may be of a service without the address
};

/// \brief Unit of TargetLoad::answerUnits; the field covers answers of up to 16 MB.
inline constexpr std::uint32_t answerUnitBytes = 256;

/// \brief Unit of TargetLoad::uptimeSteps.
inline constexpr std::chrono::milliseconds agentUptimeStep { 2500 };
inline constexpr std::uint8_t maximumUptimeSteps = 3;

/// \brief Load of a target, as measured by its agent.
struct TargetLoad {
    bool isAccepting { false }; ///< accepts new flows
    std::uint16_t slots { 1 }; ///< number of requests that the target serves in parallel
    std::uint16_t activeRequests { 0 }; ///< requests being served or queued
    std::uint16_t openFlows { 0 }; ///< open flows
    std::uint16_t serviceTimeTenthMs { 0 }; ///< time that the target takes for one request, in 0.1 ms; 0 if not measured yet
    std::uint8_t failedPercent { 0 }; ///< percentage of recent requests that ended without an answer
    std::uint16_t flowLoadMilli { 0 }; ///< requests in progress that an open flow causes on average, in thousandths; 0 if not measured
    std::uint16_t answerUnits { 0 }; ///< mean bytes of an answer, in units of answerUnitBytes
    bool hasEnded { false }; ///< the target announced its end; it holds no flows
    bool isMachineRestarted { false }; ///< agent and target started a short time ago, so that no older flow is open
    bool isWithdrawn { false }; ///< the target announced that it is draining or leaving
    std::uint16_t coldAllowance { 0 }; ///< new flows a second that the target takes while it is cold; 0 for no limit
    bool isAssumed { false }; ///< the target has not announced itself since its agent started
    bool isLongRunning { false }; ///< the agent did not start a short time ago, so that its machine kept its power
    std::uint8_t uptimeSteps { 0 }; ///< time since the agent's start, in whole steps of agentUptimeStep, at most maximumUptimeSteps

    friend bool operator==(TargetLoad const&, TargetLoad const&) = default;
};

/// \brief Maximum number of agents that one relayed packet names.
inline constexpr std::size_t maximumRelayCandidates = 4;

/// \brief An agent to which a packet may be forwarded.
struct RelayCandidate {
    Endpoint agent;
    std::uint16_t costTenthMs { 0 }; ///< time that the entry expects a request to take there, in 0.1 ms

    friend bool operator==(RelayCandidate const&, RelayCandidate const&) = default;
};

/// \brief Routing data of a packet that is relayed between entries and agents.
struct RelayRoute {
    ServiceHash serviceHash {};
    Endpoint entry; ///< receives notices about this flow
    std::uint8_t hops { 0 }; ///< number of times that agents forwarded the packet to another agent
    RelaySearchMode searchMode { RelaySearchMode::Start };
    std::uint16_t latencyLimitTenthMs { 0 }; ///< expected time above which no target admits the new flow, in 0.1 ms; 0 for no limit
    bool mayBeOpen { false }; ///< an earlier copy of the opening segment may have opened the flow, so that no agent refuses this one
    bool isLastOffer { false }; ///< the opening segment was returned to the entry once, and is not returned again
    std::uint8_t candidateCount { 0 };
    std::uint8_t offeredCount { 0 };
    /// Agents that have not received the packet yet, and after them the agents that were offered the opening segment and
    /// forwarded it.
    std::array<RelayCandidate, maximumRelayCandidates> candidates {};

    [[nodiscard]] std::span<RelayCandidate const> usedCandidates() const noexcept { return { candidates.data(), candidateCount }; }
    [[nodiscard]] std::span<RelayCandidate const> offeredAgents() const noexcept { return std::span(candidates).subspan(candidateCount, offeredCount); }
};

/// \brief The endpoints of a relayed flow.
struct RelayFlow {
    Endpoint caller;
    Endpoint serviceEndpoint;

    friend constexpr bool operator==(RelayFlow const&, RelayFlow const&) noexcept = default;
};

/// \brief A flow and the agent that owns it.
struct OwnedFlow {
    RelayFlow flow;
    Endpoint owner;

    friend constexpr bool operator==(OwnedFlow const&, OwnedFlow const&) noexcept = default;
};

/// \brief Load of an entry, as the entries of a data centre share it.
struct EntryLoad {
    std::uint32_t nameHash { 0 }; ///< identifies the entry
    double linkBytesPerSecond { 0 }; ///< rate of its link; sent in units of 10 kbit/s
    double offeredBytesPerSecond { 0 }; ///< what it carries in the direction that is used more, and what it refuses; sent in units of 1,000 bytes
    double utilisation { 0 }; ///< larger one of link and processor, with what it refuses, 0 to 2.55; sent in units of 0.01
    bool isInRotation { true };
    std::chrono::milliseconds age { 0 }; ///< since it was measured; sent in units of 20 ms
};

/// \brief A status that is older does not count.
inline constexpr std::chrono::milliseconds maximumEntryStatusAge { 3000 };

/// \brief Maximum number of statuses in one EntryStatus message.
inline constexpr std::size_t maximumEntryStatuses = 16;

/// \brief Hash of a relayed flow; the same in every process.
[[nodiscard]] std::uint64_t hashRelayFlow(RelayFlow const& flow) noexcept;

/// \brief Maximum length of a relay datagram before the segment.
inline constexpr std::size_t maximumRelayHeaderBytes = 96;

/// \brief Maximum number of flows in one FlowOwners message.
inline constexpr std::size_t maximumFlowOwners = 64;

/// \brief Maximum number of agents in one SearchRequest message.
inline constexpr std::size_t maximumSearchedAgents = 64;

/// \brief Maximum number of flows in one FlowQuery message.
inline constexpr std::size_t maximumQueriedFlows = 64;

/// \brief In a FlowQueryReply, added to the index of a flow that the agent knows to be open or opening at its target.
///
/// An agent that started a short time ago lists the others as well, since it does not know them.
inline constexpr std::uint8_t heldFlowFlag = 0x80;

/// \brief In a FlowQueryReply, added to the index of a flow that the agent does not know, if its target started at about the
/// same time as the agent: it holds such a flow only if the agent was replaced within seconds.
inline constexpr std::uint8_t improbableFlowFlag = 0x40;
static_assert(maximumQueriedFlows <= improbableFlowFlag);

/// \brief In a FlowQueryReply, added to the index of a flow that the agent does not know, if it started a short time ago and has not
/// heard its target since: the target may be slow, or did not return after a power loss.
inline constexpr std::uint8_t unheardTargetFlag = heldFlowFlag | improbableFlowFlag;

/// \brief Maximum length of a relay datagram that carries no segment.
inline constexpr std::size_t maximumRelayMessageBytes = maximumRelayHeaderBytes + maximumFlowOwners * 18;

/// \brief A decoded relay datagram; which fields are set depends on its kind.
struct DecodedRelayMessage {
    DatagramError error { DatagramError::None };
    RelayMessageKind kind { RelayMessageKind::Packet };
    RelayRoute route; ///< Packet, SearchRequest, OpeningDeclined
    OpeningReason declineReason { OpeningReason::HasRoom }; ///< OpeningDeclined
    std::span<std::byte const> segment; ///< Packet, SearchRequest, OpeningDeclined; points into the datagram
    RelayFlow flow; ///< OwnerNotice, FlowNotFound
    TargetLoad load; ///< OwnerNotice, LoadReport, OpeningDeclined
    ServiceHash serviceHash {}; ///< LoadReport, FlowOwners, FlowNotFound, SearchRequest, FlowQuery, FlowQueryReply
    std::chrono::milliseconds loadInterval { 0 }; ///< LoadSubscription
    std::span<std::byte const> searchedAgentBytes; ///< SearchRequest: encoded agents; points into the datagram
    std::span<std::byte const> flowOwnerBytes; ///< FlowOwners: encoded flows; points into the datagram
    std::uint32_t queryNumber { 0 }; ///< FlowQuery, FlowQueryReply: number that the entry gave to the query
    std::span<std::byte const> queriedFlowBytes; ///< FlowQuery: encoded flow hashes; points into the datagram
    std::span<std::byte const> possibleFlowBytes; ///< FlowQueryReply: indices into the query's flows, with the flags above; points into the datagram
    std::span<std::byte const> entryStatusBytes; ///< EntryStatus: encoded statuses; points into the datagram

    /// \brief Statuses that an EntryStatus message contains; the first is the sender's.
    [[nodiscard]] std::vector<EntryLoad> entryStatuses() const;

    /// \brief Number of flows in a FlowOwners message.
    [[nodiscard]] std::size_t flowOwnerCount() const noexcept;

    /// \brief Agents that a SearchRequest message names.
    [[nodiscard]] std::vector<Endpoint> searchedAgents() const;

    /// \brief Hashes of the flows in a FlowQuery message.
    [[nodiscard]] std::vector<std::uint64_t> queriedFlows() const;

    /// \brief One of the flows in a FlowOwners message; index must be less than flowOwnerCount().
    [[nodiscard]] OwnedFlow flowOwnerAt(std::size_t index) const noexcept;
};

/// \brief Keys and time used to sign a relay datagram; the first key signs.
struct RelaySigningContext {
    KeyRing const& keys;
    std::uint32_t nowSeconds { 0 }; ///< wall clock, seconds since 1970
};

/// \brief Writes the relay header of a segment.
///
/// \param output  at least maximumRelayHeaderBytes
/// \returns number of bytes written
[[nodiscard]] std::size_t writeRelayPacket(RelayRoute const& route, std::span<std::byte const> segment, RelaySigningContext const& seal, std::span<std::byte> output) noexcept;

/// \brief Writes the relay header and a segment header that replaces the one in the received datagram.
///
/// \param segmentHeader  written after the relay header
/// \param data  segment data after the header; not written
/// \param output  at least maximumRelayHeaderBytes plus the length of the segment header
[[nodiscard]] std::size_t writeRelayPacket(RelayRoute const& route, std::span<std::byte const> segmentHeader, std::span<std::byte const> data, RelaySigningContext const& seal, std::span<std::byte> output) noexcept;

/// \brief Writes the header of an OpeningDeclined message and a segment header; the parameters are those of a packet.
///
/// \param load  of the sender's target
[[nodiscard]] std::size_t writeRelayOpeningDeclined(RelayRoute const& route, OpeningReason reason, TargetLoad const& load, std::span<std::byte const> segmentHeader, std::span<std::byte const> data, RelaySigningContext const& seal, std::span<std::byte> output) noexcept;

[[nodiscard]] std::size_t writeRelayOwnerNotice(RelayFlow const& flow, TargetLoad const& load, RelaySigningContext const& seal, std::span<std::byte> output) noexcept;
[[nodiscard]] std::size_t writeRelayLoadReport(ServiceHash service, TargetLoad const& load, RelaySigningContext const& seal, std::span<std::byte> output) noexcept;
[[nodiscard]] std::size_t writeRelayLoadSubscription(std::chrono::milliseconds interval, RelaySigningContext const& seal, std::span<std::byte> output) noexcept;
[[nodiscard]] std::size_t writeRelayFlowNotFound(ServiceHash service, RelayFlow const& flow, RelaySigningContext const& seal, std::span<std::byte> output) noexcept;

/// \brief Writes the header of a SearchRequest message; the segment follows it.
///
/// \param entry  receives the agents' replies
/// \param agents  at most maximumSearchedAgents
/// \param output  at least maximumRelayMessageBytes
[[nodiscard]] std::size_t writeRelaySearchRequest(ServiceHash service, Endpoint entry, std::span<Endpoint const> agents, std::span<std::byte const> segment, RelaySigningContext const& seal, std::span<std::byte> output) noexcept;

/// \param flows   at most maximumFlowOwners
/// \param output  at least maximumRelayMessageBytes
[[nodiscard]] std::size_t writeRelayFlowOwners(ServiceHash service, std::span<OwnedFlow const> flows, RelaySigningContext const& seal, std::span<std::byte> output) noexcept;

/// \param number  returned in the replies
/// \param flows   at most maximumQueriedFlows hashes
/// \param output  at least maximumRelayMessageBytes
[[nodiscard]] std::size_t writeRelayFlowQuery(ServiceHash service, std::uint32_t number, std::span<std::uint64_t const> flows, RelaySigningContext const& seal, std::span<std::byte> output) noexcept;

/// \param number  number of the query
/// \param possible  indices of the query's flows that the target may hold, at most maximumQueriedFlows, with heldFlowFlag,
///                  improbableFlowFlag or unheardTargetFlag; it holds no other
/// \param output  at least maximumRelayMessageBytes
[[nodiscard]] std::size_t writeRelayFlowQueryReply(ServiceHash service, std::uint32_t number, std::span<std::uint8_t const> possible, RelaySigningContext const& seal, std::span<std::byte> output) noexcept;

/// \param statuses  at most maximumEntryStatuses, the sender's first
/// \param output  at least maximumRelayMessageBytes
[[nodiscard]] std::size_t writeRelayEntryStatus(std::span<EntryLoad const> statuses, RelaySigningContext const& seal, std::span<std::byte> output) noexcept;

/// \brief Decodes and authenticates a relay datagram.
///
/// \param datagram    the whole UDP payload
/// \param keys  accepted keys
/// \param nowSeconds  wall clock, seconds since 1970
[[nodiscard]] DecodedRelayMessage decodeRelayMessage(std::span<std::byte const> datagram, KeyRing const& keys, std::uint32_t nowSeconds) noexcept;

} // namespace plantaindrift
