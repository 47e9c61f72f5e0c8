#pragma once

#include "plantaindrift/configuration/ChangeLog.h"

#include "control.pb.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace plantaindrift {

/// \brief Bytes from which on a part takes no further address.
inline constexpr std::size_t snapshotPartBytes = 6000;

/// \brief Largest number of parts of a configuration.
inline constexpr std::uint32_t maximumSnapshotParts = 1024;

/// \brief The configuration as of one position.
struct Snapshot {
    std::uint64_t position { 0 };
    Configuration configuration;
};

/// \brief Splits the configuration of a log into parts that fit into datagrams, at addresses if a service is larger.
///
/// Equal configurations give equal parts at each entry of the same software version.
[[nodiscard]] std::vector<control::SnapshotPart> splitSnapshot(ChangeLog const& log);

/// \brief Assembles a configuration from parts, which may arrive in any order and from several peers.
class SnapshotAssembly {
public:
    /// \brief Takes a part; those of an older position than the one that is being assembled are ignored, unless the first of them
    /// answers a request: nobody may have the newer one any more.
    ///
    /// \returns false if a field is out of range
    [[nodiscard]] bool take(control::SnapshotPart const& message);

    /// \brief The configuration once all of its parts are there; removes it.
    [[nodiscard]] std::optional<Snapshot> takeComplete();

    /// \brief Names the parts that are missing, if some have arrived, in a request that is sent now.
    void addMissing(control::SnapshotRequest& request);

private:
    [[nodiscard]] bool belongsTo(control::SnapshotPart const& message) const noexcept;

    std::uint64_t position_ { 0 };
    std::uint64_t hash_ { 0 };
    std::size_t missing_ { 0 };
    bool awaitsAnswer_ { false }; ///< a request was sent, and no part has arrived since
    std::vector<std::optional<std::vector<Service>>> parts_;
};

} // namespace plantaindrift
