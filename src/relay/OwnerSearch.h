#pragma once

#include "plantaindrift/relay/Segment.h"
#include "relay/TargetDirectory.h"
#include "relay/TargetSet.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace plantaindrift {

/// \brief What the agents of one service replied to a search.
class ServiceReplies {
public:
    explicit ServiceReplies(TargetGroup const& group)
        : group_(&group)
    {
    }

    [[nodiscard]] TargetGroup const& group() const noexcept { return *group_; }

    /// \brief Records that a configuration gave the flow's address to the service.
    void setAllowed() noexcept { isAllowed_ = true; }

    /// \brief True if targets of the service may receive segments of the flow that they may not hold.
    [[nodiscard]] bool isAllowed() const noexcept { return isAllowed_; }

    /// \brief Records that a target does not hold the flow.
    void markNotFound(std::size_t target);

    /// \brief Processes the report that a target does not hold the flow, which may answer an earlier segment.
    ///
    /// An agent that has replied that its target holds the flow is queried again instead, once.
    void recordNotFoundReport(std::size_t target);

    /// \brief Records that a target may hold the flow, so that its agent has to receive the segment.
    ///
    /// \param isHeld  the agent knows that the target holds it
    /// \returns false if that was known or if the target has reported that it does not hold the flow
    bool markPossible(std::size_t target, bool isHeld);

    /// \brief Discards what the agents replied, so that they are queried again.
    void forgetReplies() noexcept;

    /// \brief Follows a change of the service's target list.
    ///
    /// \param newIndices  new index of each target of the old list, or removedTarget
    void renumber(std::span<std::uint32_t const> newIndices);

    /// \brief True if the target's agent has replied.
    [[nodiscard]] bool hasReplied(std::size_t target) const noexcept { return notFound_.contains(target) || possible_.contains(target); }

    /// \brief True if the target's agent has replied that the target does not hold the flow.
    [[nodiscard]] bool hasReportedNotFound(std::size_t target) const noexcept { return notFound_.contains(target); }

    /// \brief True if some target's agent has not replied.
    [[nodiscard]] bool isReplyMissing() const noexcept;

    /// \brief Agents whose targets may hold the flow.
    [[nodiscard]] std::vector<Endpoint> possibleOwners() const;

    /// \brief First target that may hold the flow and has not reported that it does not; null if there is none.
    [[nodiscard]] DirectoryTarget const* findPossibleOwner(TargetDirectory const& directory, TimePoint now) const noexcept;

    /// \brief True if some target has neither reported that it does not hold the flow nor that it has ended.
    [[nodiscard]] bool hasSilentTarget() const noexcept;

    /// \brief Records that some agent does not know whether its target holds the flow, and may not show it the segment.
    void setInDoubt() noexcept { isInDoubt_ = true; }

    /// \brief True if some agent replied so to the last query.
    [[nodiscard]] bool isInDoubt() const noexcept { return isInDoubt_; }

    /// \brief Records that the agents that have not replied are queried.
    void recordQuery(TimePoint now) noexcept;

    /// \brief Time of the first query; unset if the agents have not been queried.
    [[nodiscard]] TimePoint firstQueried() const noexcept { return firstQueried_; }

private:
    TargetGroup const* group_;
    bool isAllowed_ { false };
    bool isInDoubt_ { false };
    TimePoint firstQueried_;
    TargetSet notFound_;
    TargetSet possible_;
    TargetSet held_; ///< part of the possible ones
    TargetSet contradicted_; ///< reported that they do not hold the flow after a reply that they do
};

/// \brief Search of an entry for the owner of a flow, with what the agents of the searched services replied.
///
/// The services of the flow's address are searched first. A configuration may have moved the address from a service whose
/// targets keep their open flows, and an entry that started later has not seen the earlier one; so a flow that is not found
/// there is searched for in all services. Segments reach a target of a service that had the address in no configuration known here
/// only if its agent knows that it holds the flow.
struct OwnerSearch {
    std::uint64_t hash { 0 };
    bool used { false };
    bool isLost { false }; ///< no target holds the flow
    bool isQueued { false }; ///< the flow is in the next query
    bool wasQueried { false };
    bool needsForwarder { false }; ///< more agents have to receive the segment than the entry sends it to
    bool isWide { false }; ///< all services are searched
    bool isConfirming { false }; ///< all agents had replied that no target holds the flow, and are queried again
    std::uint8_t rank { 0 }; ///< rank of the agent that receives the caller's segments
    TargetGroup const* group { nullptr }; ///< service whose agents receive the caller's segments
    std::vector<ServiceReplies> services; ///< the searched services
    TimePoint started; ///< time of the caller's first segment
    TimePoint forwarded; ///< time when a segment was last forwarded as the start of a round
    TimePoint lastSegment; ///< time of the caller's last segment
    TimePoint queried; ///< time of the last query
    Duration queryInterval {}; ///< time until agents that have not replied are queried again
    std::uint32_t directlySent { 0 }; ///< number of agents to which the entry sent the segment itself
    Segment segment; ///< last segment of the caller

    /// \brief Starts a round with a segment of the caller; keeps a copy of it unless it is too long.
    void begin(std::span<std::byte const> datagram, TimePoint now);

    /// \brief The copy of the segment; empty if it was too long.
    [[nodiscard]] std::span<std::byte const> keptSegment() const noexcept { return kept_; }

    /// \brief Adds services that a configuration gave the flow's address.
    void addAllowed(std::span<TargetGroup const* const> added);

    /// \brief Adds other services, unless they are searched already.
    void addOthers(std::span<TargetGroup const* const> added);

    /// \brief The replies of a searched service; null if it is not searched.
    [[nodiscard]] ServiceReplies* findReplies(ServiceHash service) noexcept;

    /// \brief Number of agents whose targets may hold the flow.
    [[nodiscard]] std::size_t countPossibleOwners() const;

    /// \brief First target that may hold the flow and has not reported that it does not; null if there is none.
    [[nodiscard]] DirectoryTarget const* findPossibleOwner(TargetDirectory const& directory, TimePoint now) const noexcept;

    /// \brief True if every target that may be running has reported that it does not hold the flow.
    [[nodiscard]] bool isNotFoundEverywhere(TargetDirectory const& directory, TimePoint now) const noexcept { return findPossibleOwner(directory, now) == nullptr; }

    /// \brief Discards all replies, so that no reply to the queries before counts any more.
    ///
    /// \returns false if that was done before
    bool beginConfirmation() noexcept;

    /// \brief Maximum length of a segment that is kept: the maximum of the platforms' formats.
    static constexpr std::size_t maximumKeptSegmentBytes = 1280;

private:
    std::vector<std::byte> kept_; ///< the segment that started the round

    [[nodiscard]] ServiceReplies& findOrAdd(TargetGroup const& service);
};

} // namespace plantaindrift
