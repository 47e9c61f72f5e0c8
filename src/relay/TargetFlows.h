#pragma once

#include "balancing/RequestCount.h"
#include "plantaindrift/base/Types.h"
#include "plantaindrift/relay/Segment.h"
#include "relay/HashTable.h"

#include <cstddef>
#include <cstdint>

namespace plantaindrift {

/// \brief An agent's record of one flow of its target.
struct TargetFlow {
    std::uint64_t hash { 0 };
    bool used { false };
    bool isEstablished { false }; ///< the caller acknowledged this target's answer
    bool isAnswered { false }; ///< the target answered the opening segment
    bool isClosing { false };
    bool isLost { false }; ///< the target was replaced or no longer holds the flow
    bool hasPendingRequest { false }; ///< a request is in progress
    bool hasRequest { false };
    TimePoint offered; ///< time of the last opening segment that was delivered; the epoch if its request is not expected
    std::uint32_t targetSequence { 0 }; ///< sequence number of the target's answer to the opening segment
    std::uint32_t requestEnd { 0 }; ///< sequence number after the caller's last data
    Endpoint entry; ///< the entry that sends the flow's segments
    TimePoint opened; ///< time of the last opening segment before the flow was established
    TimePoint lastSegment;
    TimePoint lastRequestData; ///< time of the last data of the request in progress

    [[nodiscard]] bool isOver() const noexcept { return isClosing || isLost; }

    /// \brief True if a caller's segment acknowledges this target's answer to the opening segment.
    ///
    /// Several targets may have answered the opening segment; the caller acknowledges only one of them.
    [[nodiscard]] bool isAcknowledgedBy(Segment const& segment) const noexcept;
};

/// \brief The flows of an agent's target and the requests in progress on them.
class TargetFlows {
public:
    /// \param maximumFlows  maximum number of flows
    explicit TargetFlows(std::size_t maximumFlows);

    [[nodiscard]] TargetFlow* find(std::uint64_t hash) noexcept { return flows_.find(hash); }

    /// \brief Adds a flow. \returns null if the table is full
    TargetFlow* insert(std::uint64_t hash);

    /// \brief Counts the first request of a flow as expected, because its opening segment is delivered.
    void trackOffer(TargetFlow& flow, TimePoint now) noexcept;

    /// \brief Updates the flow and the load counts for a caller's segment that is delivered to the target.
    void trackRequest(TargetFlow& flow, Segment const& segment, TimePoint now) noexcept;

    /// \brief Updates the flow and the load counts for a segment of the target.
    ///
    /// \param slots  number of requests that the target serves in parallel
    void trackAnswer(TargetFlow& flow, Segment const& segment, TimePoint now, std::size_t slots) noexcept;

    void erase(TargetFlow& flow) noexcept;

    /// \brief Marks an open flow as lost, because the target no longer holds it.
    void markLost(TargetFlow& flow) noexcept;

    /// \brief Marks the established flows that opened before a time as lost, because a new target replaced the old one then.
    void markLostBefore(TimePoint started) noexcept;

    /// \brief Discards flows that have been idle for too long.
    void sweep(TimePoint now) noexcept;

    /// \brief Number of flows that are neither closing nor lost; flows that are still opening count, so that bursts
    /// are spread.
    [[nodiscard]] std::size_t openCount() const noexcept { return open_; }

    [[nodiscard]] std::size_t size() const noexcept { return flows_.size(); }
    [[nodiscard]] RequestCount& requests() noexcept { return requests_; }
    [[nodiscard]] RequestCount const& requests() const noexcept { return requests_; }

private:
    HashTable<TargetFlow> flows_;
    RequestCount requests_;
    std::size_t open_ { 0 };

    void removeFromLoad(TargetFlow& flow) noexcept;
    void failRequest(TargetFlow& flow) noexcept;
    void close(TargetFlow& flow) noexcept;
    void removeExpected(TargetFlow& flow) noexcept;
};

} // namespace plantaindrift
