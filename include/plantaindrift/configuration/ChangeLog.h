#pragma once

#include "plantaindrift/configuration/Configuration.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift {

/// \brief Change of one service; absent `before` adds it, absent `after` removes it.
struct ServiceChange {
    std::string name;
    std::optional<Service> before;
    std::optional<Service> after;

    friend bool operator==(ServiceChange const&, ServiceChange const&) = default;
};

/// \brief One record of the ordered change log.
struct ConfigurationChange {
    std::uint64_t position { 0 }; ///< 1 is the first
    std::string operationId;
    std::string author;
    std::string reason;
    std::int64_t timeMilliseconds { 0 }; ///< since 1970
    std::vector<ServiceChange> services;

    friend bool operator==(ConfigurationChange const&, ConfigurationChange const&) = default;
};

/// \brief Applies changes strictly in order, so that an accepted configuration never reverts.
class ChangeLog {
public:
    /// \brief Most recent changes kept for peers that are behind.
    static constexpr std::size_t keptChanges = 256;

    /// \brief Takes one change: applies it if it is the next, ignores it if it was applied before.
    ///
    /// \returns true if the configuration changed; Refused if positions between are missing
    absl::StatusOr<bool> apply(ConfigurationChange const& change);

    /// \brief Starts from a snapshot, if it is ahead.
    ///
    /// \returns true if it was taken
    bool applySnapshot(std::uint64_t position, Configuration const& configuration);

    [[nodiscard]] std::uint64_t position() const noexcept { return position_; }
    [[nodiscard]] Configuration const& configuration() const noexcept { return configuration_; }

    /// \brief Kept changes after a position; empty if the oldest one needed is no longer kept.
    [[nodiscard]] std::vector<ConfigurationChange> changesAfter(std::uint64_t position) const;

private:
    std::uint64_t position_ { 0 };
    Configuration configuration_;
    std::deque<ConfigurationChange> recent_;
};

/// \brief Differences between two configurations, by service name.
[[nodiscard]] std::vector<ServiceChange> diffConfigurations(Configuration const& before, Configuration const& after);

/// \brief JSON text of a change, as kept in the platform under "log/<position>".
[[nodiscard]] std::string encodeChange(ConfigurationChange const& change);

/// \brief Reads a change; errors are InvalidMessage and name the field.
[[nodiscard]] absl::StatusOr<ConfigurationChange> decodeChange(std::string_view text);

/// \brief Key of a position, "log/000000000007".
[[nodiscard]] std::string changeKey(std::uint64_t position);

} // namespace plantaindrift
