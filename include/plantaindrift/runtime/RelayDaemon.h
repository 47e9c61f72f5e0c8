#pragma once

#include "plantaindrift/relay/Segment.h"
#include "plantaindrift/relay/TargetAnnouncementTracker.h"
#include "plantaindrift/runtime/HttpServer.h"
#include "plantaindrift/store/FleetStore.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <memory>
#include <string>

namespace plantaindrift {

/// \brief What a platform brings to the relay daemons: its wire formats and its store.
class RelayPlatform {
public:
    virtual ~RelayPlatform() = default;

    /// \brief Format of the segments of callers and targets.
    [[nodiscard]] virtual SegmentCodec const& codec() const noexcept = 0;

    /// \brief Opens the platform's store.
    ///
    /// \param url  "http://A.B.C.D:PORT"
    [[nodiscard]] virtual std::unique_ptr<FleetStore> openStore(std::string const& url) const = 0;

    /// \brief Reads an announcement of a target from its HTTP request; InvalidMessage names the field.
    [[nodiscard]] virtual absl::StatusOr<TargetAnnouncement> readAnnouncement(HttpRequest const& request) const = 0;

    /// \brief Control endpoints of entries, from the addresses that the settings list.
    ///
    /// \param listed       as in the settings
    /// \param controlPort  port of control endpoints
    [[nodiscard]] virtual Endpoint seedEndpoint(Endpoint listed, std::uint16_t controlPort) const = 0;
};

/// \brief Runs an entry that relays segments until SIGTERM or SIGINT.
///
/// \param settingsFile  TOML file
/// \param checkOnly     only read and check the settings
[[nodiscard]] absl::Status runRelayEntry(RelayPlatform const& platform, std::string const& settingsFile, bool checkOnly);

/// \brief Runs an agent that relays segments until SIGTERM or SIGINT.
[[nodiscard]] absl::Status runRelayAgent(RelayPlatform const& platform, std::string const& settingsFile, bool checkOnly);

} // namespace plantaindrift
