#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift {

/// \brief One object of the platform with the version it was read at.
struct StoredObject {
    std::string key;
    std::string value; ///< at most 1 MB
    std::uint64_t version { 0 }; ///< grows with every write to the store
};

/// \brief The platform's object API as the product uses it; the implementation speaks HTTP.
///
/// Errors: NotFound, LostRace (a condition failed), PlatformUnreachable (no effect), OutcomeUnknown (the
/// write may have taken effect), InvalidMessage.
class ObjectStore {
public:
    virtual ~ObjectStore() = default;

    [[nodiscard]] virtual absl::StatusOr<StoredObject> get(std::string_view key) = 0;

    /// \brief Creates an object only if its key is absent.
    /// \returns the new version
    [[nodiscard]] virtual absl::StatusOr<std::uint64_t> create(std::string_view key, std::string_view value) = 0;

    /// \brief Replaces an object only at the given version.
    [[nodiscard]] virtual absl::StatusOr<std::uint64_t> update(std::string_view key, std::string_view value, std::uint64_t version) = 0;

    /// \brief Removes an object only at the given version.
    [[nodiscard]] virtual absl::Status remove(std::string_view key, std::uint64_t version) = 0;

    /// \brief Objects whose keys start with a prefix and sort after a key, in key order.
    [[nodiscard]] virtual absl::StatusOr<std::vector<StoredObject>> list(std::string_view prefix, std::string_view after, std::size_t limit) = 0;

    /// \brief Waits until an object under the prefix changes after a version, or the timeout passes (empty result).
    [[nodiscard]] virtual absl::StatusOr<std::vector<StoredObject>> watch(std::string_view prefix, std::uint64_t afterVersion, std::chrono::milliseconds timeout) = 0;
};

} // namespace plantaindrift
