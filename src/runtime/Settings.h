#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/packet/Encapsulation.h"
#include "plantaindrift/runtime/Keys.h"
#include "plantaindrift/runtime/Log.h"

#include "absl/status/statusor.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift {

/// \brief One generation of the secrets that the processes of a system share.
struct FleetKey {
    DatagramKey datagram;
    std::string controlPublic; ///< CURVE public key, Z85
    std::string controlSecret; ///< CURVE secret key, Z85
};

/// \brief Keys in use: the first signs and connects, all are accepted.
using FleetKeys = std::vector<FleetKey>;

/// \brief How control messages travel.
enum class ControlTransportKind : std::uint8_t {
    Zeromq, ///< one connection a peer, encrypted
    Datagram ///< signed UDP datagrams: no connection that can go silent, and no reconnection after a restart
};

/// \brief Settings that entries and agents share.
struct CommonSettings {
    std::string file; ///< where the settings came from
    std::string name;
    std::string dataCentre;
    Endpoint data; ///< UDP endpoint of the packet path
    Endpoint control; ///< TCP endpoint of control messages
    Endpoint http; ///< metrics and readiness
    std::string keysFile;
    bool insecure { false }; ///< run without keys
    std::string platformUrl; ///< empty: no platform
    std::string platformAuthorityFile;
    std::chrono::milliseconds platformTimeout { 2000 };
    std::chrono::seconds platformPoll { 60 };
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
    std::chrono::milliseconds forwardAfterStop { 5000 };
};

/// \brief What an agent does with its flows when it is told to end.
enum class StopRule : std::uint8_t {
    Drain, ///< takes no new flows and waits for the open ones
    Handover ///< ends at once; a successor takes over the flows of the same target
};

/// \brief Where an agent learns its target's open flows.
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
    StopRule onStop { StopRule::Drain };
    std::chrono::seconds drainDeadline { 0 }; ///< 0: the deadline that the service declares
    Endpoint deliverTo; ///< decapsulation port of the target's kernel
    Endpoint returnTo; ///< Geneve endpoint that routes refusals to callers
    std::string loadUrl;
    std::string flowsUrl;
    FlowSourceKind flows { FlowSourceKind::Http };
    std::chrono::milliseconds loadInterval { 1000 };
    std::chrono::milliseconds flowsInterval { 10000 };
};

/// \brief Settings of an entry that relays segments.
struct RelayEntrySettings {
    CommonSettings common; ///< data: where callers' segments arrive
    Endpoint relay; ///< UDP endpoint where agents send notices and load
    std::vector<Endpoint> seeds; ///< control endpoints of other entries
    std::uint32_t controlBytesPerSecond { 3000 };
    std::uint32_t rememberedFlows { 1U << 17U };
    std::chrono::milliseconds forwardAfterStop { 2500 };
};

/// \brief Settings of an agent that relays segments.
struct RelayAgentSettings {
    CommonSettings common; ///< data: where entries and other agents send segments
    std::string service;
    std::vector<Endpoint> entries; ///< control endpoints of entries
    Endpoint target; ///< UDP endpoint where the target takes segments
    Endpoint targetOutput; ///< UDP endpoint to which the target sends its segments
    Endpoint announcements; ///< HTTP endpoint at which the target announces itself
    std::chrono::milliseconds announcementInterval { 1200 }; ///< between the target's announcements
    std::chrono::milliseconds quietWait { 1500 }; ///< longest wait for a moment without requests before a stop
};

/// \brief Reads and checks the settings of an entry.
///
/// Every error is InvalidSettings; its text is "FILE:LINE:COLUMN: what is wrong; what to do", one line each.
[[nodiscard]] absl::StatusOr<EntrySettings> readEntrySettings(std::string const& file);

/// \brief Reads and checks the settings of an agent.
[[nodiscard]] absl::StatusOr<AgentSettings> readAgentSettings(std::string const& file);

[[nodiscard]] absl::StatusOr<RelayEntrySettings> readRelayEntrySettings(std::string const& file);
[[nodiscard]] absl::StatusOr<RelayAgentSettings> readRelayAgentSettings(std::string const& file);

/// \brief Reads a key file: one or two [[key]] tables, the one that signs first.
[[nodiscard]] absl::StatusOr<FleetKeys> readKeys(std::string const& file);

/// \brief The datagram keys of the fleet's keys.
[[nodiscard]] KeyRing datagramKeys(FleetKeys const& keys) noexcept;

/// \brief Keys of a process that runs with `insecure = true`: known to everybody.
[[nodiscard]] KeyRing insecureKeys() noexcept;

} // namespace plantaindrift
