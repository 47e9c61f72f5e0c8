#pragma once

#include "balancing/ColdLimit.h"
#include "balancing/OpeningPolicy.h"
#include "plantaindrift/relay/AgentRelay.h"
#include "relay/LoadSubscribers.h"
#include "relay/OwnerRecords.h"
#include "relay/ReturnableDeliveries.h"
#include "relay/TargetFlows.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace plantaindrift {

/// \brief State of an agent's relay, and the steps of its packet path.
///
/// AgentOpenings.cpp has the steps for opening segments, AgentSegments.cpp those for later segments and the target's own.
struct AgentRelay::State {
    /// Another target of the service.
    struct Peer {
        std::uint64_t nameHash { 0 };
        Endpoint agent;
        std::string dataCentre;
        bool draining { false };
        bool dead { false };
        bool isEvacuated { false }; ///< its data centre takes no new flows
    };

    /// A segment being processed.
    struct SegmentContext {
        std::span<std::byte const> datagram;
        Segment segment;
        RelayFlow flow;
        std::uint64_t hash { 0 };
        RelayRoute route;
        TimePoint now;
        std::uint32_t nowSeconds { 0 };
        OpeningReason openingReason { OpeningReason::HasRoom }; ///< of an opening segment, once decided
        Duration waited { 0 }; ///< longest time that the segment may have waited in this process
        bool mayBeOpen { false }; ///< an earlier copy of an opening segment may have opened the flow
    };

    State(AgentRelayOptions const& given, SegmentCodec const& segmentCodec, RelaySender& messageSender, RelayObserver& decisionObserver, TimePoint now);

    AgentRelayOptions options;
    SegmentCodec const& codec;
    RelaySender& sender;
    RelayObserver& observer;
    ServiceHash service {};
    TimePoint started;
    TargetState target;
    bool isStopping { false };
    TimePoint lastTargetSegment; ///< time of the last segment that the target sent or returned
    std::uint32_t unansweredDeliveries { 0 }; ///< deliveries since the target's last segment
    TimePoint firstUnanswered; ///< time of the first of them
    bool hasReturnedOpening { false }; ///< the target returned an opening segment before its first announcement
    TimePoint admissionPausedUntil; ///< the target returned an opening segment: it is full or still starting
    TimePoint currentTime; ///< time of the last call
    TargetFlows flows;
    OwnerRecords ownerRecords;
    ReturnableDeliveries returnableDeliveries;
    LoadSubscribers subscribers;
    std::vector<Peer> peers; ///< all other targets of the service
    EvacuationSet evacuations;
    bool isEvacuated { false }; ///< the own data centre takes no new flows
    OpeningCounts openingCounts {};
    ColdLimit coldLimit;
    TimePoint warmUpEnd; ///< end of the time in which the target is cold, as it announced last
    TimePoint evacuationEnd; ///< when an evacuation of the own data centre last ended
    bool wasAnnouncementReported { false };
    TimePoint lastSweep;
    std::array<std::uint64_t, agentRelayOutcomeCount> outcomes {};
    std::array<std::byte, maximumRelayHeaderBytes + 64> header {};
    std::array<std::byte, 2048> queryBuffer {};

    [[nodiscard]] bool isAccepting() const noexcept;
    /// True if the target has not announced itself since this process started and does not react to segments. A
    /// running target answers or returns each of them.
    [[nodiscard]] bool isTargetUnresponsive(TimePoint now) const noexcept;
    [[nodiscard]] TargetLoad load() const noexcept;
    PacketVerdict countOutcome(AgentRelayOutcome outcome) noexcept;
    /// Notifies the observer of a decision. For searches by other agents, the report that this target does not hold
    /// the flow is left out: there are as many such reports as targets, and the search is reported itself.
    void notifyObserver(SegmentContext const& context, AgentRelayOutcome outcome, Endpoint to) noexcept;
    PacketVerdict drop(SegmentContext const& context, AgentRelayOutcome outcome) noexcept;
    [[nodiscard]] std::span<std::byte const> headerSpan(std::size_t bytes) const noexcept { return std::span<std::byte const>(header).first(bytes); }

    // ---- verdicts ----

    /// Delivers the segment to the target. With a token, the target's return of the segment can be matched to its
    /// route.
    PacketVerdict deliver(SegmentContext const& context, AgentRelayOutcome outcome, bool isReturnable) noexcept;
    PacketVerdict forward(SegmentContext& context, Endpoint to, AgentRelayOutcome outcome) noexcept;
    PacketVerdict resetCaller(SegmentContext const& context, AgentRelayOutcome outcome) noexcept;
    void notifyEntry(SegmentContext const& context) noexcept;

    // ---- first segments ----

    PacketVerdict processOpening(SegmentContext& context) noexcept;
    /// Decides what becomes of an opening segment, and counts the decision.
    [[nodiscard]] OpeningDecision decideOpening(SegmentContext& context) noexcept;
    /// True while the target sustains only the declared rate. Whether a target that was idle through an evacuation, or has not
    /// announced itself yet, is cold is known from its next announcement.
    [[nodiscard]] bool isCold() const noexcept;
    [[nodiscard]] bool isColdLimitReached() const noexcept;
    /// An opening segment that the target returned, because it is full or still starting.
    PacketVerdict declineReturned(SegmentContext& context) noexcept;
    PacketVerdict returnToEntry(SegmentContext const& context) noexcept;
    void countOpening(SegmentContext& context, OpeningDecision const& decision) noexcept;
    void markEvacuatedPeers() noexcept;
    /// Removes the agents of evacuated data centres from the candidates of an opening segment.
    void removeEvacuatedCandidates(RelayRoute& route) const noexcept;
    PacketVerdict forwardOpening(SegmentContext& context, RelayCandidate& candidate) noexcept;
    PacketVerdict forwardToAnyPeer(SegmentContext& context) noexcept;
    PacketVerdict refuse(SegmentContext const& context) noexcept;
    PacketVerdict admit(SegmentContext const& context) noexcept;

    // ---- later segments ----

    PacketVerdict processLater(SegmentContext& context) noexcept;
    PacketVerdict processOtherOwner(SegmentContext& context) noexcept;
    PacketVerdict processUnknownFlow(SegmentContext& context) noexcept;
    /// After a restart of this process, only the target knows its older flows. After a power loss both are new, and
    /// every lost flow is searched for at all agents.
    [[nodiscard]] bool mayTargetHoldOldFlows(TimePoint now) const noexcept;
    /// True if the target has announced itself or sent a segment since this process started.
    [[nodiscard]] bool isTargetHeard() const noexcept { return target.isAnnounced || lastTargetSegment != TimePoint {}; }
    /// Why the target may not hold a flow that this process does not know, in replies to queries.
    [[nodiscard]] std::uint8_t doubtFlag() const noexcept;
    /// Replies which of the flows the target may hold; their segments are to be sent here.
    void replyToQuery(DecodedRelayMessage const& decoded, Endpoint entry, TimePoint now, std::uint32_t nowSeconds);
    /// Forwards the segment to agents whose targets may hold the flow. Agents do this for entries because they have
    /// faster links.
    void forwardToAgents(SegmentContext& context, std::span<Endpoint const> agents) noexcept;
    /// Reports to the entry that the flow is not found here; the entry resets the flow if no target holds it.
    PacketVerdict reportNotFound(SegmentContext const& context) noexcept;
    /// Reports to an entry that takes this agent for the owner that it is not. A report of the agent to which the segment
    /// is forwarded would not correct the entry, because it takes no notice of agents that it did not choose.
    void correctEntry(SegmentContext const& context) noexcept;
    void sendNotFound(SegmentContext const& context) noexcept;

    // ---- segments of the target ----

    PacketVerdict processAnswer(SegmentContext const& context) noexcept;
    PacketVerdict processReturned(SegmentContext& context) noexcept;
    void pauseAdmission(SegmentContext const& context) noexcept;
    /// The target no longer holds an open flow: it restarted, or discarded the flow.
    PacketVerdict handleLostFlow(TargetFlow& record, SegmentContext const& context) noexcept;

    // ---- messages ----

    void renewSubscription(Endpoint from, std::chrono::milliseconds interval, TimePoint now, std::uint32_t nowSeconds);
    void sendLoadReport(Endpoint to, std::uint32_t nowSeconds) noexcept;
    void sendLoadReportToAll(TimePoint now, std::uint32_t nowSeconds) noexcept;
    void recordOwners(DecodedRelayMessage const& decoded, TimePoint now);

    // ---- periodic steps ----

    /// Reports the first announcement of the target at once: at 60 targets the next report is due only after 1.7 s.
    void reportFirstAnnouncement(TimePoint now, std::uint32_t nowSeconds);
    void sendDueLoadReports(TimePoint now, std::uint32_t nowSeconds);
    void sweep(TimePoint now);
};

} // namespace plantaindrift
