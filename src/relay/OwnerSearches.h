#pragma once

#include "plantaindrift/base/LatencyHistogram.h"
#include "plantaindrift/relay/RelayMessage.h"
#include "plantaindrift/relay/RelayObserver.h"
#include "plantaindrift/relay/RelaySender.h"
#include "plantaindrift/relay/Segment.h"
#include "relay/HashTable.h"
#include "relay/LostVerdict.h"
#include "relay/OwnerSearch.h"
#include "relay/TargetDirectory.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace plantaindrift {

/// \brief Where an entry sends a segment of a flow whose owner is unknown.
struct SearchStep {
    bool isLost { false }; ///< no target holds the flow; the caller is to be reset
    bool isStart { false }; ///< the segment starts a round, so that its receiver is to report an unknown flow
    Endpoint agent; ///< unset if there is no agent to ask, or too many searches are in progress
};

/// \brief A flow that no target holds, and the caller's last segment.
struct LostFlow {
    std::uint64_t hash { 0 };
    Segment segment;
};

/// \brief The services that have, or had a short time ago, the address of a flow.
struct SearchedServices {
    TargetGroup const* first { nullptr }; ///< service of a new flow with the same endpoints; its agents receive the caller's segments
    std::span<TargetGroup const* const> all;
};

/// \brief An entry's searches for the owners of flows that it does not know.
///
/// The agent that ranks first for a flow may have its owner recorded. If it reports that it does not, all agents of the
/// address's services are queried for many flows at once, and receive the segment only if their target may hold the flow.
/// If no agent there holds it, or one does not reply to the first query, those of all other services are queried too: an
/// earlier configuration may have given them the address. They receive the segment only if they know the flow, or another
/// agent of their service has them recorded as the owner. A flow is lost if LostVerdict permits it, and all agents have
/// replied to a second round of queries that they do not hold it. The number of queries depends on the time that searches
/// take and on the number of targets, not on the number of flows.
class OwnerSearches {
public:
    /// \param ownEndpoint  receives the agents' replies
    /// \param firstQueryNumber  differs between processes at the same endpoint, so that late replies to an earlier process
    ///                          are not taken for replies to this one
    /// \param observer  receives searches that wait for an agent
    OwnerSearches(Endpoint ownEndpoint, std::uint32_t firstQueryNumber, TargetDirectory const& directory, RelaySender& sender, RelayObserver& observer);

    /// \brief Decides when a flow that was not found counts as lost; receives what is known of the lists of targets.
    [[nodiscard]] LostVerdict& verdict() noexcept { return verdict_; }
    [[nodiscard]] LostVerdict const& verdict() const noexcept { return verdict_; }

    /// \brief Starts or continues the search for a flow with a segment of the caller.
    [[nodiscard]] SearchStep advance(SearchedServices const& services, Segment const& segment, std::span<std::byte const> datagram, std::uint64_t hash, TimePoint now);

    /// \brief Ends the search for a flow whose owner is known, if there is one.
    ///
    /// \returns the service whose agents received the caller's segments; empty if there was no search
    std::optional<ServiceHash> recordFound(std::uint64_t hash, TimePoint now);

    /// \brief Discards what is known of a flow, because the caller opens a new one with the same endpoints.
    void forget(std::uint64_t hash) noexcept;

    /// \brief Processes the report that an agent's target does not hold a flow.
    ///
    /// \param service  the agent's service
    void processNotFound(Endpoint agent, ServiceHash service, std::uint64_t hash, TimePoint now);

    /// \brief Processes the reply to a query. \returns false if it belongs to no query
    bool processQueryReply(Endpoint agent, DecodedRelayMessage const& reply, TimePoint now, RelaySigningContext const& signing);

    /// \brief Queries an agent that has started for the flows that are searched for: it has received no query so far.
    void recordFirstReport(Endpoint agent) { startedAgents_.push_back(agent); }

    /// \brief Follows a change of a service's target list.
    void renumberTargets(TargetGroup const& group, std::span<std::uint32_t const> newIndices);

    /// \brief Sends queued queries unless some were sent a moment ago.
    void sendQueries(TimePoint now, RelaySigningContext const& signing);

    /// \brief Periodic work, every 100 ms: repeats queries that were not replied to and discards old searches.
    void tick(TimePoint now, RelaySigningContext const& signing);

    /// \brief Returns the flows that were found lost since the last call.
    [[nodiscard]] std::vector<LostFlow> takeLostFlows();

    /// \brief Number of queries and segments sent to agents since start.
    [[nodiscard]] std::uint64_t messageCount() const noexcept { return messageCount_; }

    /// \brief Number of searches since start that went on in services that do not have the flow's address.
    [[nodiscard]] std::uint64_t widenedCount() const noexcept { return widenedCount_; }

    [[nodiscard]] LatencyHistogram const& successfulTimes() const noexcept { return foundTimes_; }
    [[nodiscard]] LatencyHistogram const& failedTimes() const noexcept { return lostTimes_; }

private:
    /// \brief Flows of one service in one query.
    struct Query {
        std::uint32_t number { 0 };
        TargetGroup const* group { nullptr };
        std::vector<std::uint64_t> flows;
    };

    // A round of a search sends a query for each service, 2,700 in the largest installations, before the first reply arrives.
    static constexpr std::size_t rememberedQueries = 4096;
    static constexpr std::size_t queryBufferBytes = maximumRelayMessageBytes + OwnerSearch::maximumKeptSegmentBytes;

    Endpoint ownEndpoint_;
    TargetDirectory const& directory_;
    RelaySender& sender_;
    RelayObserver& observer_;
    LostVerdict verdict_;
    HashTable<OwnerSearch> searches_;
    std::vector<std::uint64_t> queued_; ///< flows for the next queries
    std::vector<Endpoint> startedAgents_; ///< agents whose first load report has arrived since the last queries
    std::vector<Query> queries_; ///< latest queries, by number
    std::uint32_t lastNumber_ { 0 };
    std::vector<LostFlow> lost_;
    LatencyHistogram foundTimes_;
    LatencyHistogram lostTimes_;
    std::array<std::byte, queryBufferBytes> buffer_ {};
    TimePoint lastSweep_;
    TimePoint queriesSent_;
    std::uint64_t messageCount_ { 0 };
    std::uint64_t widenedCount_ { 0 };

    void send(Endpoint to, std::size_t bytes) noexcept;
    void queue(OwnerSearch& search);
    void queryStartedAgents(RelaySigningContext const& signing);
    [[nodiscard]] std::size_t writeQuery(TargetGroup const& group, std::span<std::uint64_t const> flows, RelaySigningContext const& signing);
    void beginQuery(OwnerSearch& search, TimePoint now);
    void queryTargets(TargetGroup const& group, std::span<std::size_t const> targets, std::span<std::uint64_t const> flows, RelaySigningContext const& signing);
    [[nodiscard]] bool isReplyMissing(std::span<std::uint64_t const> flows, TargetGroup const& group, std::size_t target) noexcept;
    void continueSearch(OwnerSearch& search, TimePoint now, RelaySigningContext const& signing);
    void widen(OwnerSearch& search, TimePoint now);
    void addPossibleOwner(OwnerSearch& search, ServiceReplies& replies, std::size_t target, bool isHeld, RelaySigningContext const& signing);
    [[nodiscard]] bool hasEveryoneReplied(OwnerSearch const& search, TimePoint now) const noexcept;
    void sendToPossibleOwners(OwnerSearch& search, TimePoint now, RelaySigningContext const& signing);
    void sendThroughForwarder(OwnerSearch const& search, TargetGroup const& service, std::span<Endpoint const> agents, TimePoint now, RelaySigningContext const& signing);
    void sendToRecordedOwners(OwnerSearch const& search, TimePoint now, RelaySigningContext const& signing);
    void sendSegment(OwnerSearch const& search, ServiceHash service, Endpoint agent, RelaySearchMode mode, RelaySigningContext const& signing);
    void sendWithSegment(OwnerSearch const& search, Endpoint to, std::size_t headerBytes) noexcept;
    void notifyObserver(std::string_view outcome, OwnerSearch const& search, TimePoint now) noexcept;
    void endIfLost(OwnerSearch& search, TimePoint now);
};

} // namespace plantaindrift
