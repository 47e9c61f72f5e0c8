#pragma once

#include "plantaindrift/configuration/ChangeLog.h"
#include "plantaindrift/store/ObjectStore.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace plantaindrift {

/// \brief A change to append to the log.
struct AppendRequest {
    std::uint64_t expectedPosition { 0 }; ///< newest position when the change was prepared
    std::string operationId; ///< a name; the same for every repeat of one operation
    std::string author;
    std::string reason;
    std::int64_t timeMilliseconds { 0 }; ///< since 1970
    std::vector<ServiceChange> services;
};

/// \brief Where an operation stands in the log.
struct AppendResult {
    std::uint64_t position { 0 };
    bool repeated { false }; ///< an earlier run of the same operation put it there
};

/// \brief What a process needs to reach the newest configuration.
struct LogContents {
    std::uint64_t snapshotPosition { 0 }; ///< 0 if there is no snapshot to start from
    Configuration snapshot;
    std::vector<ConfigurationChange> changes; ///< in order, after the snapshot or the asked position
};

/// \brief The change log and its snapshots in the platform.
///
/// An operation takes effect at most once, however often it is repeated and however many answers are lost: the object
/// "operation/<id>" names the one position that the operation tries, and moves on only after another operation holds
/// that position. The log itself is never changed or removed, so it is the audit trail.
///
/// Not thread-safe; the object store must outlive it.
class ChangeStore {
public:
    /// \brief Positions between snapshots.
    static constexpr std::uint64_t snapshotInterval = 64;
    /// \brief Longest value of a shard, in bytes; it stays below 256 KB.
    static constexpr std::size_t longestShard = 250'000;
    /// \brief Longest record of a change, in bytes; the platform holds values up to 1 MB.
    static constexpr std::size_t longestChange = 1'000'000;

    explicit ChangeStore(ObjectStore& store);

    /// \brief One page of changes after a position, in order; empty at the end of the log.
    [[nodiscard]] absl::StatusOr<std::vector<ConfigurationChange>> readPage(std::uint64_t position);

    /// \brief Everything after a position; starts from a snapshot where that saves reads.
    [[nodiscard]] absl::StatusOr<LogContents> readAfter(std::uint64_t position);

    /// \brief Brings a log up to the newest position.
    [[nodiscard]] absl::Status catchUp(ChangeLog& log);

    /// \brief One change; NotFound if the position is not taken yet.
    [[nodiscard]] absl::StatusOr<ConfigurationChange> read(std::uint64_t position);

    /// \brief The configuration as it was at a position.
    [[nodiscard]] absl::StatusOr<Configuration> configurationAt(std::uint64_t position);

    /// \brief Appends a change at the position after the expected one.
    ///
    /// \returns LostRace, saying who took the position, when and what to do; OutcomeUnknown or PlatformUnreachable if
    ///          the platform does not answer, after which the same request can be repeated safely; Refused if the
    ///          request is wrong
    [[nodiscard]] absl::StatusOr<AppendResult> append(AppendRequest const& request);

    /// \brief Writes a snapshot if the newest one is at least snapshotInterval positions behind.
    ///
    /// \returns true if one was written; errors leave the log as it is
    [[nodiscard]] absl::StatusOr<bool> writeSnapshotIfDue(ChangeLog const& log);

private:
    struct Marker {
        std::uint64_t position { 0 };
        std::uint64_t version { 0 };
    };

    struct SnapshotIndex {
        std::uint64_t position { 0 };
        std::uint64_t shards { 0 };
        std::uint64_t version { 0 }; ///< 0 if there is none
    };

    [[nodiscard]] absl::Status checkRequest(AppendRequest const& request);
    [[nodiscard]] absl::StatusOr<Marker> claim(AppendRequest const& request);
    [[nodiscard]] absl::StatusOr<Marker> readMarker(AppendRequest const& request);
    [[nodiscard]] absl::StatusOr<AppendResult> appendAt(AppendRequest const& request, Marker marker);
    [[nodiscard]] absl::StatusOr<std::optional<ConfigurationChange>> readIfPresent(std::uint64_t position);
    [[nodiscard]] absl::StatusOr<SnapshotIndex> readIndex();
    [[nodiscard]] absl::StatusOr<Configuration> readSnapshot(SnapshotIndex const& index);
    [[nodiscard]] absl::Status writeShard(std::string const& key, std::string const& value);

    ObjectStore& store_;
};

/// \brief Prints a time as "2026-12-04T05:09:58Z".
///
/// \param milliseconds  since 1970
[[nodiscard]] std::string formatTime(std::int64_t milliseconds);

} // namespace plantaindrift
