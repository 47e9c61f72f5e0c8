#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/packet/Encapsulation.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace plantaindrift {

/// \brief What a relay datagram carries.
enum class RelayMessageKind : std::uint8_t {
    Packet = 1, ///< a segment on its way from an entry to the target's agent
    OwnerNotice = 2, ///< agent to entry: the sender owns this flow; with its load
    LoadReport = 3, ///< agent to entry: load of the sender's target
    LoadSubscription = 4, ///< entry to agent: send load at this interval
    FlowOwners = 5, ///< entry to agent: owners of flows that this agent may be asked for
    FlowNotFound = 6, ///< agent to entry: the sender's target does not hold this flow
    SearchRequest = 7 ///< entry to agent: a segment of an unknown flow, and agents that are to be asked for it
};

/// \brief What an agent does with a packet of a flow that it does not know.
enum class RelaySearchMode : std::uint8_t {
    Start, ///< follow a redirect; without one, ask all other agents, and tell the entry that the flow is not here
    FollowOnly, ///< follow a redirect; without one, nothing: another packet of the flow started a search
    ReportOnly, ///< tell the entry that the flow is not here
    OwnerKnown ///< as Start; the entry takes this agent for the owner, which needs not say so
};

/// \brief Load of a target as its agent counts it.
struct TargetLoad {
    bool isAccepting { false }; ///< takes new flows
    std::uint16_t slots { 1 }; ///< requests served at once
    std::uint16_t activeRequests { 0 }; ///< requests in progress or queued
    std::uint16_t openFlows { 0 }; ///< open flows
    std::uint16_t serviceTimeTenthMs { 0 }; ///< time of one request at the target, in 0.1 ms; 0 if not measured yet
    std::uint8_t failedPercent { 0 }; ///< part of the latest requests that ended without an answer

    friend bool operator==(TargetLoad const&, TargetLoad const&) = default;
};

/// \brief Most agents that one relayed packet names.
inline constexpr std::size_t maximumRelayCandidates = 4;

/// \brief An agent that a packet may be passed to.
struct RelayCandidate {
    Endpoint agent;
    std::uint16_t costTenthMs { 0 }; ///< what the entry expects a request to take there, in 0.1 ms

    friend bool operator==(RelayCandidate const&, RelayCandidate const&) = default;
};

/// \brief Route of one packet along agents.
struct RelayRoute {
    ServiceHash serviceHash {};
    Endpoint entry; ///< takes notices of this flow
    std::uint8_t hops { 0 }; ///< times the packet was passed on between agents
    RelaySearch searchMode { RelaySearch::Start };
    std::uint16_t latencyLimitTenthMs { 0 }; ///< expected time above which no target is to take the new flow, in 0.1 ms; 0 for none
    std::uint8_t candidateCount { 0 };
    std::array<RelayCandidate, maximumRelayCandidates> candidates {}; ///< agents that were not asked yet

    [[nodiscard]] std::span<RelayCandidate const> usedCandidates() const noexcept { return { candidates.data(), candidateCount }; }
};

/// \brief The two ends of a relayed flow.
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

/// \brief Hash of a relayed flow; equal in every process.
[[nodiscard]] std::uint64_t hashRelayFlow(RelayFlow const& flow) noexcept;

/// \brief Most bytes of a relay datagram before the segment.
inline constexpr std::size_t maximumRelayHeaderBytes = 96;

/// \brief Most flows that one Redirect names.
inline constexpr std::size_t maximumFlowOwners = 64;

/// \brief Most agents that one Ask names.
inline constexpr std::size_t maximumSearchedAgents = 64;

/// \brief Most bytes of a relay datagram that carries no segment.
inline constexpr std::size_t maximumRelayMessageBytes = maximumRelayHeaderBytes + maximumFlowOwners * 18;

/// \brief A decoded relay datagram; the fields in use depend on its kind.
struct DecodedRelayMessage {
    DatagramError error { DatagramError::None };
    RelayKind kind { RelayKind::Packet };
    RelayRoute route; ///< Packet
    std::span<std::byte const> segment; ///< Packet, Ask; inside the datagram
    RelayFlow flow; ///< Notice, Absent
    TargetLoad load; ///< Notice, Load
    ServiceHash serviceHash {}; ///< Load, Redirect, Absent
    std::chrono::milliseconds loadInterval { 0 }; ///< Subscribe
    std::span<std::byte const> searchedAgentBytes; ///< Ask: agents as written; inside the datagram
    std::span<std::byte const> flowOwnerBytes; ///< Redirect: flows as written; inside the datagram

    /// \brief Number of flows that a Redirect names.
    [[nodiscard]] std::size_t flowOwnerCount() const noexcept;

    /// \brief Agents that an Ask names.
    [[nodiscard]] std::vector<Endpoint> searchedAgents() const;

    /// \brief A flow that a Redirect names.
    [[nodiscard]] OwnedFlow flowOwnerAt(std::size_t index) const noexcept;
};

/// \brief Signs relay datagrams with the first key and the sender's time.
struct RelaySigningContext {
    KeyRing const& keys;
    std::uint32_t nowSeconds { 0 }; ///< wall clock, seconds since 1970
};

/// \brief Writes what precedes a relayed segment.
///
/// \param output  at least maximumRelayHeaderBytes
/// \returns       bytes written
[[nodiscard]] std::size_t writeRelayPacket(RelayRoute const& route, std::span<std::byte const> segment, RelaySigningContext const& seal, std::span<std::byte> output) noexcept;

/// \brief The same for a segment whose header is another one than in the datagram that it came in.
///
/// \param segmentHeader  written behind the relay's own header
/// \param data           what follows it in the segment; not written
/// \param output         at least maximumRelayHeaderBytes and the segment's header
[[nodiscard]] std::size_t writeRelayPacket(RelayRoute const& route, std::span<std::byte const> segmentHeader, std::span<std::byte const> data, RelaySigningContext const& seal, std::span<std::byte> output) noexcept;

[[nodiscard]] std::size_t writeRelayOwnerNotice(RelayFlow const& flow, TargetLoad const& load, RelaySigningContext const& seal, std::span<std::byte> output) noexcept;
[[nodiscard]] std::size_t writeRelayLoadReport(ServiceHash service, TargetLoad const& load, RelaySigningContext const& seal, std::span<std::byte> output) noexcept;
[[nodiscard]] std::size_t writeRelayLoadSubscription(std::chrono::milliseconds interval, RelaySigningContext const& seal, std::span<std::byte> output) noexcept;
[[nodiscard]] std::size_t writeRelayFlowNotFound(ServiceHash service, RelayFlow const& flow, RelaySigningContext const& seal, std::span<std::byte> output) noexcept;

/// \brief Writes what precedes the segment of an Ask.
///
/// \param entry   takes what the agents answer
/// \param agents  at most maximumAskedAgents
/// \param output  at least maximumRelayMessageBytes
[[nodiscard]] std::size_t writeRelaySearchRequest(ServiceHash service, Endpoint entry, std::span<Endpoint const> agents, std::span<std::byte const> segment, RelaySigningContext const& seal, std::span<std::byte> output) noexcept;

/// \param flows   at most maximumRedirectedFlows
/// \param output  at least maximumRelayMessageBytes
[[nodiscard]] std::size_t writeRelayFlowOwners(ServiceHash service, std::span<OwnedFlow const> flows, RelaySigningContext const& seal, std::span<std::byte> output) noexcept;

/// \brief Checks and decodes a relay datagram.
///
/// \param datagram    the whole UDP payload
/// \param keys        accepted keys
/// \param nowSeconds  wall clock, seconds since 1970
[[nodiscard]] DecodedRelayMessage decodeRelayMessage(std::span<std::byte const> datagram, KeyRing const& keys, std::uint32_t nowSeconds) noexcept;

} // namespace plantaindrift
