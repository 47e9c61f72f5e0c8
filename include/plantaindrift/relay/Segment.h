#pragma once

#include "plantaindrift/base/Types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace plantaindrift {

/// \brief One packet of a flow, independent of its wire format.
struct Segment {
    Endpoint source;
    Endpoint destination;
    std::uint32_t sequence { 0 };
    std::uint32_t acknowledgement { 0 }; ///< in a caller's opening segment: number of the retransmission, 0 for the original
    std::uint32_t returnToken { 0 }; ///< set by the agent and unchanged in a returned segment; 0 from callers
    std::uint16_t dataBytes { 0 };
    bool isOpening { false }; ///< request to open a flow, or the answer to it
    bool isAcknowledging { false };
    bool isClosing { false };
    bool isReset { false };
    bool isReturned { false }; ///< returned by a target that does not hold the flow or cannot open it

    /// \brief True for a caller's request to open a flow.
    [[nodiscard]] constexpr bool isOpenRequest() const noexcept { return isOpening && !isAcknowledging; }
};

/// \brief Decodes and encodes segments of one wire format.
///
/// Targets of such a format return segments of flows that they do not hold. Several targets may answer one opening
/// segment; the flow opens at the target whose answer the caller acknowledges.
class SegmentCodec {
public:
    virtual ~SegmentCodec() = default;

    /// \brief Decodes a datagram; empty if it is malformed.
    [[nodiscard]] virtual std::optional<Segment> decode(std::span<std::byte const> datagram) const noexcept = 0;

    /// \brief Length of the header before the data.
    [[nodiscard]] virtual std::size_t headerBytes() const noexcept = 0;

    /// \brief Copies a datagram's header, sets another return token and clears the flag of a returned segment.
    ///
    /// \param datagram  at least headerBytes() long
    /// \param output    headerBytes() bytes
    virtual void copyHeader(std::span<std::byte const> datagram, std::uint32_t token, std::span<std::byte> output) const noexcept = 0;

    /// \brief Writes a reset, which tells a caller that its flow is not open.
    ///
    /// \param segment  the caller's segment
    /// \param output   headerBytes() bytes
    virtual void writeReset(Segment const& segment, std::span<std::byte> output) const noexcept = 0;
};

} // namespace plantaindrift
