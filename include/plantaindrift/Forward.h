#pragma once

/// \file
/// \brief Forward declarations of the public types.

#include <cstdint>

namespace plantaindrift {

enum class AgentAction : std::uint8_t;
enum class AgentReason : std::uint8_t;
enum class DatagramError : std::uint8_t;
enum class EntryOutcome : std::uint8_t;
enum class ErrorKind;
enum class FlowHash : std::uint64_t;
enum class FlowMessageKind : std::uint8_t;
enum class MemberRole : std::uint8_t;
enum class MemberState : std::uint8_t;
enum class PacketError : std::uint8_t;
enum class Protocol : std::uint8_t;
enum class ServiceHash : std::uint64_t;

struct AdmissionLimits;
struct AgentCounts;
struct AgentControlOptions;
struct AgentDecision;
struct AgentOptions;
struct AppendRequest;
struct AppendResult;
struct Configuration;
struct ConfigurationChange;
struct ConfigurationProblem;
struct ControlMessage;
struct DatagramKey;
struct DecodedDatagram;
struct DecodedFlowMessage;
struct DrainRequest;
struct DrainRules;
struct Endpoint;
struct EntryControlOptions;
struct EntryDecision;
struct EntryOptions;
struct EntryStatus;
struct FlowKey;
struct FlowMessage;
struct HttpObjectStoreOptions;
struct InnerPacket;
struct KeyRing;
struct LoadReport;
struct LogContents;
struct Member;
struct OwnerNotice;
struct ParsedPacket;
struct Redirect;
struct RouteOption;
struct Service;
struct ServiceAddress;
struct ServiceChange;
struct ServiceView;
struct StoredObject;
struct ViewTarget;

class AgentControl;
class AgentPipeline;
class ChangeLog;
class ChangeStore;
class Declaration;
class Detector;
class EntryControl;
class EntryPipeline;
class MemberTable;
class MonitorSelection;
class ObjectStore;
class ServiceDeclaration;

} // namespace plantaindrift
