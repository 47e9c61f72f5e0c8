#include "plantaindrift/packet/FlowMessage.h"

#include "packet/Tag.h"
#include "packet/Wire.h"

namespace plantaindrift {

namespace {

    struct FlowMessageFields {
        wire::big_uint32_buf_t magic;
        wire::big_uint8_buf_t kind;
        wire::big_uint8_buf_t keyEpoch;
        wire::big_uint16_buf_t ownerPort;
        wire::big_uint64_buf_t flow;
        wire::big_uint32_buf_t ownerAddress;
        wire::big_uint32_buf_t sentSeconds;
        wire::big_uint32_buf_t reserved;
        Tag tag;
    };
    static_assert(sizeof(FlowMessageFields) == flowMessageBytes);

    /// The top two bits are the version field of a Geneve datagram, whose only version is 0.
    constexpr std::uint32_t flowMessageMagic = 0xF050444D;
    constexpr std::size_t taggedBytes = flowMessageBytes - tagBytes;

    DecodedFlowMessage refused(DatagramError error) noexcept
    {
        DecodedFlowMessage decoded;
        decoded.error = error;
        return decoded;
    }

    bool isKnownKind(std::uint8_t kind) noexcept
    {
        return kind == static_cast<std::uint8_t>(FlowMessageKind::OwnerNotice) || kind == static_cast<std::uint8_t>(FlowMessageKind::Redirect);
    }

} // namespace

bool isFlowMessage(std::span<std::byte const> datagram) noexcept
{
    if (datagram.size() < sizeof(wire::big_uint32_buf_t))
        return false;
    return wire::read<wire::big_uint32_buf_t>(datagram).value() == flowMessageMagic;
}

std::array<std::byte, flowMessageBytes> encodeFlowMessage(FlowMessage const& message, KeyRing const& keys) noexcept
{
    DatagramKey const& key = keys.keys.front();
    FlowMessageFields fields;
    fields.magic = flowMessageMagic;
    fields.kind = static_cast<std::uint8_t>(message.kind);
    fields.keyEpoch = key.epoch;
    fields.ownerPort = message.owner.port;
    fields.flow = static_cast<std::uint64_t>(message.flow);
    fields.ownerAddress = message.owner.address;
    fields.sentSeconds = message.sentSeconds;
    fields.reserved = 0;
    fields.tag.fill(0);

    std::array<std::byte, flowMessageBytes> bytes;
    wire::write(fields, bytes);
    std::span<std::byte> const all { bytes };
    wire::write(computeTag(all.first(taggedBytes), key), all.subspan(taggedBytes));
    return bytes;
}

DecodedFlowMessage decodeFlowMessage(std::span<std::byte const> datagram, KeyRing const& keys, std::uint32_t nowSeconds) noexcept
{
    if (datagram.size() < flowMessageBytes)
        return refused(DatagramError::Truncated);
    FlowMessageFields const fields = wire::read<FlowMessageFields>(datagram);
    if (fields.magic.value() != flowMessageMagic || datagram.size() != flowMessageBytes)
        return refused(DatagramError::BadRoute);
    DatagramKey const* const key = findKey(keys, fields.keyEpoch.value());
    if (key == nullptr || !isEqualTag(fields.tag, computeTag(datagram.first(taggedBytes), *key)))
        return refused(DatagramError::Unauthenticated);
    if (isStale(fields.sentSeconds.value(), nowSeconds))
        return refused(DatagramError::Stale);

    DecodedFlowMessage decoded;
    decoded.message.flow = FlowHash { fields.flow.value() };
    decoded.message.owner = { fields.ownerAddress.value(), fields.ownerPort.value() };
    decoded.message.sentSeconds = fields.sentSeconds.value();
    if (!isKnownKind(fields.kind.value()) || !decoded.message.owner.isSet())
        return refused(DatagramError::BadRoute);
    decoded.message.kind = static_cast<FlowMessageKind>(fields.kind.value());
    return decoded;
}

} // namespace plantaindrift
