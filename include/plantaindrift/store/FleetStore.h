#pragma once

#include "plantaindrift/configuration/Configuration.h"
#include "plantaindrift/membership/EvacuationSet.h"
#include "plantaindrift/membership/Member.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift {

/// \brief A configuration and its version; versions only grow, in steps of any size.
struct VersionedConfiguration {
    std::uint64_t version { 0 };
    Configuration configuration;
};

/// \brief Evacuations as a store reported them.
struct StoredEvacuations {
    EvacuationSet set;
    std::vector<std::string> removed; ///< data centres whose removal an event reported since the last read or wait
};

/// \brief What a fleet keeps in a store that others own: the whole configuration as one object, and its members.
///
/// Calls block. Errors: PlatformUnreachable, OutcomeUnknown, Refused (asked too often), InvalidMessage.
class FleetStore {
public:
    virtual ~FleetStore() = default;

    /// \brief The newest configuration; nothing if none was written yet.
    [[nodiscard]] virtual absl::StatusOr<std::optional<VersionedConfiguration>> readConfiguration() = 0;

    /// \brief Waits for a change after the last read or wait.
    ///
    /// \returns the newest configuration; nothing if the time passed without a change
    [[nodiscard]] virtual absl::StatusOr<std::optional<VersionedConfiguration>> awaitConfiguration(std::chrono::milliseconds time) = 0;

    /// \brief True if operators may evacuate data centres by objects in this store.
    [[nodiscard]] virtual bool holdsEvacuations() const noexcept { return false; }

    /// \brief The data centres that are evacuated now.
    [[nodiscard]] virtual absl::StatusOr<StoredEvacuations> readEvacuations() { return StoredEvacuations {}; }

    /// \brief Waits for a change after the last read or wait. After an error, the evacuations are to be read again.
    ///
    /// \returns all evacuations after the change; nothing if the time passed without a change
    [[nodiscard]] virtual absl::StatusOr<std::optional<StoredEvacuations>> awaitEvacuations(std::chrono::milliseconds /*time*/) { return std::nullopt; }

    /// \brief Makes awaitConfiguration and awaitEvacuations fail soon, now and from then on. May be called on any thread.
    virtual void cancelWait() noexcept { }

    /// \brief The newest generation of the store that an answer named; 0 until one did. May be called on any thread.
    ///
    /// It rises when the store comes back from an older copy, which lacks what was written after the copy was made.
    [[nodiscard]] virtual std::uint64_t generation() const noexcept { return 0; }

    /// \brief Members as they announced themselves.
    ///
    /// \param fresh  false: at a lower price, may lack the last seconds
    [[nodiscard]] virtual absl::StatusOr<std::vector<Member>> readMembers(bool fresh) = 0;

    /// \brief Writes a member's record, whatever stood there.
    [[nodiscard]] virtual absl::Status writeMember(Member const& member) = 0;

    /// \brief Removes a member's record; no error if there is none.
    [[nodiscard]] virtual absl::Status removeMember(std::string_view name) = 0;

    /// \brief Number of objects read so far that were skipped as unusable. May be called on any thread.
    [[nodiscard]] virtual std::uint64_t skippedObjects() const noexcept { return 0; }
};

} // namespace plantaindrift
