#pragma once

#include "plantaindrift/base/Types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace plantaindrift {

/// \brief One packet of a flow as the relay sees it, whatever its format on the wire.
struct Segment {
    Endpoint source;
    Endpoint destination;
    std::uint32_t sequence { 0 };
    std::uint32_t acknowledgement { 0 }; ///< in a caller's opening segment: number of the copy, 0 for the first
    std::uint32_t returnToken { 0 }; ///< comes back unchanged in a returned segment; 0 from callers
    std::uint16_t dataBytes { 0 };
    bool isOpening { false }; ///< asks to open a flow, or answers that
    bool isAcknowledging { false };
    bool isClosing { false };
    bool isReset { false };
    bool isReturned { false }; ///< sent back by a target that does not hold the flow or cannot open it

    /// \brief True for a caller's request to open a flow.
    [[nodiscard]] constexpr bool isOpenRequest() const noexcept { return isOpening && !isAcknowledging; }
};

/// \brief Reads and writes segments of one wire format.
///
/// Targets of such a format return segments that they do not hold, several targets may answer one opening segment, and
/// the flow opens at the one whose answer the caller acknowledges.
class SegmentCodec {
public:
    virtual ~SegmentCodec() = default;

    /// \brief Reads a datagram; nothing if it is malformed.
    [[nodiscard]] virtual std::optional<Segment> decode(std::span<std::byte const> datagram) const noexcept = 0;

    /// \brief Bytes of the header that precedes the data.
    [[nodiscard]] virtual std::size_t headerBytes() const noexcept = 0;

    /// \brief Copies a datagram's header with another token and without the mark of a returned segment.
    ///
    /// \param datagram  at least headerBytes() long
    /// \param output    headerBytes() bytes
    virtual void copyHeader(std::span<std::byte const> datagram, std::uint32_t token, std::span<std::byte> output) const noexcept = 0;

    /// \brief Writes the reset that tells a caller that its flow is not open.
    ///
    /// \param segment  the caller's segment
    /// \param output   headerBytes() bytes
    virtual void writeReset(Segment const& segment, std::span<std::byte> output) const noexcept = 0;
};

} // namespace plantaindrift
