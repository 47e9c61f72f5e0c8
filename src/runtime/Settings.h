#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/packet/Encapsulation.h"
#include "plantaindrift/relay/EntryResources.h"
#include "plantaindrift/relay/RemoteOptions.h"
#include "plantaindrift/runtime/Keys.h"
#include "plantaindrift/runtime/Log.h"

#include "absl/status/statusor.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift {

/// \brief One generation of the secrets that all processes of a deployment share.
struct FleetKey {
    DatagramKey datagram;
    std::string controlPublic; ///< CURVE public key, Z85
    std::string controlSecret; ///< CURVE secret key, Z85
};

/// \brief Keys in use: the first is used for signing and connecting, all are accepted from peers.
using FleetKeys = std::vector<FleetKey>;

/// \brief Transport of control messages.
enum class ControlTransportKind : std::uint8_t {
    Zeromq, ///< one encrypted connection per peer
    Datagram ///< signed UDP datagrams: no connection that can hang or has to be restored after a restart
};

/// \brief Settings that entries and agents share.
struct CommonSettings {
    std::string file; ///< path of the settings file
    std::string name;
    std::string dataCentre;
    Endpoint data; ///< UDP endpoint of the packet path
    Endpoint control; ///< TCP endpoint of control messages
    Endpoint http; ///< metrics and readiness
    std::string keyFile;
    bool insecure { false }; ///< no keys: peers are not authenticated
    std::string platformUrl; ///< empty: no platform
    std::string platformCertificateAuthorityFile;
    std::chrono::milliseconds platformTimeout { 2000 };
    std::chrono::seconds platformPollInterval { 60 };
    ControlTransportKind controlTransport { ControlTransportKind::Zeromq };
    LogLevel logLevel { LogLevel::Info };
    std::string logFile;
};

/// \brief Settings of plantaindrift-entry.
struct EntrySettings {
    CommonSettings common;
    std::vector<Endpoint> seeds; ///< control endpoints of other entries
    std::uint32_t flowCacheEntries { 1U << 18U };
    std::uint32_t controlBytesPerSecond { 3000 };
    std::chrono::milliseconds stopDelay { 5000 };
};

/// \brief What an agent does with its flows at SIGTERM or SIGINT.
enum class StopMode : std::uint8_t {
    Drain, ///< admits no new flows and waits until the open ones end
    Handover ///< ends at once; a new agent beside the same target takes over the flows
};

/// \brief Source of the list of a target's open flows.
enum class FlowSourceKind : std::uint8_t {
    Http, ///< a JSON list from the target
    Kernel ///< the socket table of this machine
};

/// \brief Settings of plantaindrift-agent.
struct AgentSettings {
    CommonSettings common;
    std::string service;
    std::vector<Endpoint> entries; ///< control endpoints of entries
    std::uint32_t weight { 100 };
    std::uint32_t slots { 7 };
    std::uint32_t connections { 2000 };
    StopMode stopMode { StopMode::Drain };
    std::chrono::seconds drainDeadline { 0 }; ///< if 0, the deadline that the service declares
    Endpoint deliveryEndpoint; ///< decapsulation port of the target's kernel
    Endpoint refusalEndpoint; ///< Geneve endpoint that routes refusals to callers
    std::string loadUrl;
    std::string flowsUrl;
    FlowSourceKind flows { FlowSourceKind::Http };
    std::chrono::milliseconds loadInterval { 1000 };
    std::chrono::milliseconds flowsInterval { 10000 };
};

/// \brief Settings of an entry that relays segments.
struct RelayEntrySettings {
    CommonSettings common; ///< data: where callers' segments arrive
    Endpoint relay; ///< UDP endpoint to which agents send notices and load
    std::vector<Endpoint> seeds; ///< control endpoints of other entries
    std::uint32_t controlBytesPerSecond { 3000 };
    std::uint32_t maximumRememberedFlows { 1U << 17U };
    EntryResources resources; ///< limits of the instance; none if absent
    RemoteOptions remote;
    std::chrono::milliseconds stopDelay { 2500 };
    bool handlesEvacuations { false };
};

/// \brief Settings of an agent that relays segments.
struct RelayAgentSettings {
    CommonSettings common; ///< data: where entries and other agents send segments
    std::string service;
    std::vector<Endpoint> entries; ///< control endpoints of entries
    Endpoint target; ///< UDP endpoint at which the target receives segments
    Endpoint targetOutput; ///< UDP endpoint to which the target sends its segments
    Endpoint announcements; ///< HTTP endpoint at which the target announces itself
    std::chrono::milliseconds announcementInterval { 1200 }; ///< expected interval between the target's announcements
    std::chrono::milliseconds stopTimeout { 1500 }; ///< at a stop, maximum wait until no request is in progress
    bool handlesEvacuations { false };
};

/// \brief Reads and checks the settings of an entry.
///
/// Errors are InvalidSettings. Their text has one line per problem: "FILE:LINE:COLUMN: what is wrong; what to do".
[[nodiscard]] absl::StatusOr<EntrySettings> readEntrySettings(std::string const& file);

/// \brief Reads and checks the settings of an agent.
[[nodiscard]] absl::StatusOr<AgentSettings> readAgentSettings(std::string const& file);

[[nodiscard]] absl::StatusOr<RelayEntrySettings> readRelayEntrySettings(std::string const& file);
[[nodiscard]] absl::StatusOr<RelayAgentSettings> readRelayAgentSettings(std::string const& file);

/// \brief Reads a key file: one or two [[key]] tables; the first is the key that signs.
[[nodiscard]] absl::StatusOr<FleetKeys> readKeys(std::string const& file);

/// \brief Extracts the datagram keys.
[[nodiscard]] KeyRing datagramKeys(FleetKeys const& keys) noexcept;

/// \brief Publicly known keys of processes with `insecure = true`.
[[nodiscard]] KeyRing insecureKeys() noexcept;

} // namespace plantaindrift
