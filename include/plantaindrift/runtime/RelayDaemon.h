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

/// \brief Platform adapter of the relay daemons: wire formats and store.
///
/// A relay daemon forwards segments, the packets of a platform's own transport protocol.
class RelayPlatform {
public:
    virtual ~RelayPlatform() = default;

    /// \brief Codec for the segments of callers and targets.
    [[nodiscard]] virtual SegmentCodec const& codec() const noexcept = 0;

    /// \brief Creates a client of the platform's store.
    ///
    /// \param url  "http://A.B.C.D:PORT"
    [[nodiscard]] virtual std::unique_ptr<FleetStore> openStore(std::string const& url) const = 0;

    /// \brief Parses a target's announcement from its HTTP request; an InvalidMessage error names the field.
    [[nodiscard]] virtual absl::StatusOr<TargetAnnouncement> readAnnouncement(HttpRequest const& request) const = 0;

    /// \brief Control endpoint of an entry whose address is listed in the settings.
    ///
    /// \param listed       endpoint as listed in the settings
    /// \param controlPort  port of all control endpoints
    [[nodiscard]] virtual Endpoint seedEndpoint(Endpoint listed, std::uint16_t controlPort) const = 0;
};

/// \brief Runs an entry that relays segments until SIGTERM or SIGINT.
///
/// \param settingsFile  TOML file
/// \param checkOnly     returns after the settings are read and checked
[[nodiscard]] absl::Status runRelayEntry(RelayPlatform const& platform, std::string const& settingsFile, bool checkOnly);

/// \brief Runs an agent that relays segments until SIGTERM or SIGINT.
[[nodiscard]] absl::Status runRelayAgent(RelayPlatform const& platform, std::string const& settingsFile, bool checkOnly);

} // namespace plantaindrift
