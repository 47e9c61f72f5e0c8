#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/relay/Segment.h"
#include "relay/HashTable.h"
#include "relay/RequestCount.h"

#include <cstddef>
#include <cstdint>

namespace plantaindrift {

/// \brief What an agent knows of one flow of its target.
struct TargetFlow {
    std::uint64_t hash { 0 };
    bool used { false };
    bool established { false }; ///< the caller acknowledged this target's answer
    bool answered { false }; ///< the target answered the opening segment
    bool closing { false };
    bool lost { false }; ///< the target was replaced or does not hold the flow any more
    bool pending { false }; ///< a request is in progress
    bool hasRequest { false };
    std::uint32_t targetSequence { 0 }; ///< of the target's answer to the opening segment
    std::uint32_t requestEnd { 0 }; ///< sequence number after the caller's last data
    Endpoint entry; ///< entry that sends the flow's segments
    TimePoint last;
    TimePoint requested; ///< last data of the request in progress

    [[nodiscard]] bool isOver() const noexcept { return closing || lost; }

    /// \brief True if a caller's first later segment acknowledges this target's answer.
    ///
    /// Several targets may have answered the opening segment; the caller acknowledges one of them.
    [[nodiscard]] bool isAcknowledgedBy(Segment const& segment) const noexcept;
};

/// \brief The flows of an agent's target and the requests in progress on them.
class TargetFlows {
public:
    /// \param most  flows known at most
    explicit TargetFlows(std::size_t most);

    [[nodiscard]] TargetFlow* find(std::uint64_t hash) noexcept { return flows_.find(hash); }

    /// \brief Adds a flow. \returns null at the bound
    TargetFlow* insert(std::uint64_t hash);

    /// \brief Counts a caller's segment that goes to the target.
    void trackRequest(TargetFlow& flow, Segment const& segment, TimePoint now) noexcept;

    /// \brief Counts a segment of the target.
    ///
    /// \param slots  requests that the target serves at once
    void trackAnswer(TargetFlow& flow, Segment const& segment, TimePoint now, std::size_t slots) noexcept;

    void erase(TargetFlow& flow) noexcept;

    /// \brief The target does not hold a flow any more that was open there.
    void lose(TargetFlow& flow) noexcept;

    /// \brief The target was replaced by one without flows.
    void loseAll() noexcept;

    /// \brief Forgets flows that are idle for too long.
    void sweep(TimePoint now) noexcept;

    /// \brief Flows that are neither closing nor lost; those that still open count, so that bursts spread.
    [[nodiscard]] std::size_t openCount() const noexcept { return open_; }

    [[nodiscard]] std::size_t size() const noexcept { return flows_.size(); }
    [[nodiscard]] RequestCount& requests() noexcept { return requests_; }
    [[nodiscard]] RequestCount const& requests() const noexcept { return requests_; }

private:
    HashTable<TargetFlow> flows_;
    RequestCount requests_;
    std::size_t open_ { 0 };

    void retire(TargetFlow& flow) noexcept;
    void failRequest(TargetFlow& flow) noexcept;
    void close(TargetFlow& flow) noexcept;
};

} // namespace plantaindrift
