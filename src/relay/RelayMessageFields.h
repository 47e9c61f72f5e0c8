#pragma once

#include "packet/Tag.h"
#include "packet/Wire.h"
#include "plantaindrift/relay/RelayMessage.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>

/// \brief Fixed-layout records of relay messages, and their conversion from and to the types of the relays.
namespace plantaindrift::relay_fields {

inline constexpr std::uint8_t relayMagic = 0xD5;

struct CommonFields {
    wire::big_uint8_buf_t magic;
    wire::big_uint8_buf_t kind;
    wire::big_uint8_buf_t keyEpoch;
    wire::big_uint8_buf_t count; ///< number of candidates, agents or flows in the message
    wire::big_uint32_buf_t sentSeconds;
    Tag tag;
};
static_assert(sizeof(CommonFields) == 24);
inline constexpr std::size_t tagOffset = sizeof(CommonFields) - tagBytes;

using wire::EndpointField;
using wire::fromField;
using wire::toField;

struct FlowField {
    EndpointField caller;
    EndpointField service;
};
static_assert(sizeof(FlowField) == 12);

struct OwnedFlowField {
    FlowField flow;
    EndpointField owner;
};
static_assert(sizeof(OwnedFlowField) == 18);

struct LoadField {
    wire::big_uint8_buf_t flags;
    wire::big_uint16_buf_t slots;
    wire::big_uint16_buf_t busy;
    wire::big_uint16_buf_t flows;
    wire::big_uint16_buf_t serviceTenths;
    wire::big_uint8_buf_t failedPercent;
    wire::big_uint16_buf_t coldAllowance;
    wire::big_uint16_buf_t flowLoadMilli;
    wire::big_uint16_buf_t answerUnits;
};
static_assert(sizeof(LoadField) == 16);

// Bits of LoadField::flags.
inline constexpr std::uint8_t acceptingFlag = 1;
inline constexpr std::uint8_t endedFlag = 2;
inline constexpr std::uint8_t machineRestartedFlag = 4;
inline constexpr std::uint8_t withdrawnFlag = 8;
inline constexpr std::uint8_t assumedFlag = 16;
inline constexpr std::uint8_t longRunningFlag = 32;
inline constexpr unsigned uptimeShift = 6; ///< position of TargetLoad::uptimeSteps in the two highest bits

struct EntryStatusField {
    wire::big_uint32_buf_t name;
    wire::big_uint24_buf_t link;
    wire::big_uint24_buf_t offered;
    wire::big_uint8_buf_t utilisation;
    wire::big_uint8_buf_t flags;
    wire::big_uint8_buf_t age;
};
static_assert(sizeof(EntryStatusField) == 13);

// Units of EntryStatusField, in bytes a second.
inline constexpr double linkUnit = 1'250;
inline constexpr double offeredUnit = 1'000;
inline constexpr double utilisationUnit = 0.01;
inline constexpr std::chrono::milliseconds ageUnit { 20 };
inline constexpr double maximumUint24 = 0xFFFFFF;
inline constexpr double maximumUint8 = 0xFF;

// Bits of EntryStatusField::flags.
inline constexpr std::uint8_t inRotationFlag = 1;

struct RouteFields {
    wire::big_uint64_buf_t service;
    EndpointField entry;
    wire::big_uint8_buf_t hops;
    wire::big_uint8_buf_t search;
    wire::big_uint16_buf_t limitTenths;
    wire::big_uint8_buf_t flags;
    wire::big_uint8_buf_t offered; ///< number of agents after the candidates that were offered the segment
};
static_assert(sizeof(RouteFields) == 20);

// Bits of RouteFields::flags.
inline constexpr std::uint8_t mayBeOpenFlag = 1;
inline constexpr std::uint8_t lastOfferFlag = 2;
inline constexpr std::uint8_t knownRouteFlags = mayBeOpenFlag | lastOfferFlag;

struct CandidateField {
    EndpointField agent;
    wire::big_uint16_buf_t costTenths;
};
static_assert(sizeof(CandidateField) == 8);

struct DeclineFields {
    wire::big_uint8_buf_t reason;
    LoadField load;
};
static_assert(sizeof(DeclineFields) == 17);
static_assert(sizeof(CommonFields) + sizeof(RouteFields) + maximumRelayCandidates * sizeof(CandidateField) + sizeof(DeclineFields) <= maximumRelayHeaderBytes);

/// Number of segment bytes that the tag covers; the header of every format is shorter.
inline constexpr std::size_t maximumTaggedSegmentBytes = 64;

inline FlowField toField(RelayFlow const& flow) noexcept
{
    return { toField(flow.caller), toField(flow.serviceEndpoint) };
}

inline RelayFlow fromField(FlowField const& field) noexcept
{
    return { fromField(field.caller), fromField(field.service) };
}

inline LoadField toField(TargetLoad const& load) noexcept
{
    LoadField field;
    unsigned flags = 0;
    flags |= load.isAccepting ? acceptingFlag : 0U;
    flags |= load.hasEnded ? endedFlag : 0U;
    flags |= load.isMachineRestarted ? machineRestartedFlag : 0U;
    flags |= load.isWithdrawn ? withdrawnFlag : 0U;
    flags |= load.isAssumed ? assumedFlag : 0U;
    flags |= load.isLongRunning ? longRunningFlag : 0U;
    flags |= std::min<unsigned>(load.uptimeSteps, maximumUptimeSteps) << uptimeShift;
    field.flags = static_cast<std::uint8_t>(flags);
    field.slots = load.slots;
    field.busy = load.activeRequests;
    field.flows = load.openFlows;
    field.serviceTenths = load.serviceTimeTenthMs;
    field.failedPercent = load.failedPercent;
    field.coldAllowance = load.coldAllowance;
    field.flowLoadMilli = load.flowLoadMilli;
    field.answerUnits = load.answerUnits;
    return field;
}

inline TargetLoad fromField(LoadField const& field) noexcept
{
    std::uint8_t const flags = field.flags.value();
    TargetLoad load;
    load.isAccepting = (flags & acceptingFlag) != 0;
    load.hasEnded = (flags & endedFlag) != 0;
    load.isMachineRestarted = (flags & machineRestartedFlag) != 0;
    load.isWithdrawn = (flags & withdrawnFlag) != 0;
    load.isAssumed = (flags & assumedFlag) != 0;
    load.isLongRunning = (flags & longRunningFlag) != 0;
    load.uptimeSteps = static_cast<std::uint8_t>(flags >> uptimeShift);
    load.slots = field.slots.value();
    load.activeRequests = field.busy.value();
    load.openFlows = field.flows.value();
    load.serviceTimeTenthMs = field.serviceTenths.value();
    load.failedPercent = field.failedPercent.value();
    load.coldAllowance = field.coldAllowance.value();
    load.flowLoadMilli = field.flowLoadMilli.value();
    load.answerUnits = field.answerUnits.value();
    return load;
}

inline std::uint32_t toUnits(double value, double unit, double maximum) noexcept
{
    return static_cast<std::uint32_t>(std::clamp(value / unit + 0.5, 0.0, maximum));
}

inline EntryStatusField toField(EntryLoad const& status) noexcept
{
    EntryStatusField field;
    field.name = status.nameHash;
    field.link = toUnits(status.linkBytesPerSecond, linkUnit, maximumUint24);
    field.offered = toUnits(status.offeredBytesPerSecond, offeredUnit, maximumUint24);
    field.utilisation = static_cast<std::uint8_t>(toUnits(status.utilisation, utilisationUnit, maximumUint8));
    field.flags = status.isInRotation ? inRotationFlag : std::uint8_t { 0 };
    field.age = static_cast<std::uint8_t>(std::clamp<std::int64_t>((status.age + ageUnit / 2) / ageUnit, 0, 0xFF));
    return field;
}

inline EntryLoad fromField(EntryStatusField const& field) noexcept
{
    EntryLoad status;
    status.nameHash = field.name.value();
    status.linkBytesPerSecond = field.link.value() * linkUnit;
    status.offeredBytesPerSecond = field.offered.value() * offeredUnit;
    status.utilisation = field.utilisation.value() * utilisationUnit;
    status.isInRotation = (field.flags.value() & inRotationFlag) != 0;
    status.age = field.age.value() * ageUnit;
    return status;
}

} // namespace plantaindrift::relay_fields
