#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/relay/RelayMessage.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace plantaindrift {

/// \brief Resources of the instance on which an entry runs. A value of 0 means that none is declared: no limit applies.
struct EntryResources {
    double linkMbps { 0 }; ///< rate of the link in each direction, in Mbit/s
    double processorShare { 0 }; ///< share of one core
    std::uint32_t descriptors { 0 }; ///< maximum number of open file descriptors
    std::uint32_t memoryMb { 0 }; ///< main memory, in MB of 1,000,000 bytes

    /// \brief True if the load of the entry can be related to a limit.
    [[nodiscard]] bool hasLimit() const noexcept { return linkMbps > 0 || processorShare > 0; }

    friend bool operator==(EntryResources const&, EntryResources const&) = default;
};

/// \brief Another running entry of the same data centre.
struct EntryPeer {
    std::uint32_t nameHash { 0 }; ///< entryNameHash() of its name
    Endpoint relay; ///< receives its relay messages
};

/// \brief Identifies an entry in EntryStatus messages.
[[nodiscard]] std::uint32_t entryNameHash(std::string_view name) noexcept;

/// \brief Why an entry is in rotation or out of it.
enum class RotationReason : std::uint8_t {
    HasRoom, ///< in: not overloaded
    NoStatuses, ///< in: overloaded, and nothing is known of the other entries
    LimitReached, ///< in: overloaded, and as many entries as allowed are out
    OthersFull, ///< in: overloaded, and the links of the others have no room for its share
    NarrowerFirst, ///< in: overloaded, and entries with narrower links leave first
    Overloaded, ///< out: its share would still be too large
    Waiting, ///< out: its share would fit; waits until this has lasted long enough
    Returned, ///< in: has just returned
    TooManyOut ///< in: has just returned because more entries than allowed were out
};

inline constexpr std::size_t rotationReasonCount = 9;

/// \brief Lower-case name of a reason, as in logs and metrics.
[[nodiscard]] std::string_view rotationReasonName(RotationReason reason) noexcept;

/// \brief Whether an entry is in rotation, with the inputs of the decision.
struct RotationDecision {
    bool isInRotation { true };
    RotationReason reason { RotationReason::HasRoom };
    std::size_t running { 1 }; ///< running entries of the data centre, with this one
    std::size_t knownOthers { 0 }; ///< others whose status is recent enough
    std::size_t out { 0 }; ///< others that are out of rotation or whose state is not known
    double totalBytesPerSecond { 0 }; ///< estimated traffic of the data centre
    double roomBytesPerSecond { 0 }; ///< links of the others that are in rotation
    double shareBytesPerSecond { 0 }; ///< share of each entry if this one is in rotation
};

/// \brief Why an entry refuses a new flow.
enum class EntryRefusal : std::uint8_t {
    None, ///< it is admitted
    Link, ///< the link cannot carry it
    Processor ///< the processor cannot carry it
};

inline constexpr std::size_t entryRefusalCount = 3;

/// \brief Lower-case name of a reason, as in logs.
[[nodiscard]] std::string_view entryRefusalName(EntryRefusal refusal) noexcept;

/// \brief What becomes of a large segment of a caller.
enum class BulkAction : std::uint8_t {
    Send,
    Queue, ///< it waits until the link has room
    Drop ///< it would wait so long that the caller retransmits it
};

/// \brief Numbers of large segments since start.
struct BulkCounts {
    std::uint64_t paced { 0 }; ///< queued
    std::uint64_t dropped { 0 };
};

/// \brief Load of an entry and what it decided, for metrics and logs.
struct EntryResourceReport {
    std::uint64_t receivedBytes { 0 }; ///< since start, with IP and UDP headers
    std::uint64_t sentBytes { 0 }; ///< since start, with IP and UDP headers
    double linkUtilisation { 0 }; ///< of the direction that is used more, mean of 300 ms
    double processorUtilisation { 0 }; ///< of the declared share, mean of 300 ms
    double refusedBytesPerSecond { 0 }; ///< expected of the flows that were refused, mean of 300 ms
    Duration modelledQueue {}; ///< time that the modelled outbound queue takes to drain
    Duration measuredDelay {}; ///< round trip of openings in excess of the smallest one
    BulkCounts bulk;
    RotationDecision rotation;
};

} // namespace plantaindrift
