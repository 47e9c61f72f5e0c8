#pragma once

#include "plantaindrift/base/Types.h"

#include <boost/endian/buffers.hpp>

#include <cstddef>
#include <cstring>
#include <span>
#include <type_traits>

namespace plantaindrift::wire {

using boost::endian::big_uint16_buf_t;
using boost::endian::big_uint24_buf_t;
using boost::endian::big_uint32_buf_t;
using boost::endian::big_uint64_buf_t;
using boost::endian::big_uint8_buf_t;

/// \brief IPv4 header without options (RFC 791).
struct Ipv4Header {
    big_uint8_buf_t versionAndLength;
    big_uint8_buf_t typeOfService;
    big_uint16_buf_t totalLength;
    big_uint16_buf_t identification;
    big_uint16_buf_t flagsAndOffset;
    big_uint8_buf_t timeToLive;
    big_uint8_buf_t protocol;
    big_uint16_buf_t checksum;
    big_uint32_buf_t source;
    big_uint32_buf_t destination;
};
static_assert(sizeof(Ipv4Header) == 20);

/// \brief TCP header without options (RFC 9293).
struct TcpHeader {
    big_uint16_buf_t sourcePort;
    big_uint16_buf_t destinationPort;
    big_uint32_buf_t sequence;
    big_uint32_buf_t acknowledgement;
    big_uint8_buf_t dataOffset;
    big_uint8_buf_t flags;
    big_uint16_buf_t window;
    big_uint16_buf_t checksum;
    big_uint16_buf_t urgent;
};
static_assert(sizeof(TcpHeader) == 20);

inline constexpr std::uint8_t tcpFin = 0x01;
inline constexpr std::uint8_t tcpSyn = 0x02;
inline constexpr std::uint8_t tcpRst = 0x04;
inline constexpr std::uint8_t tcpAck = 0x10;

/// \brief UDP header (RFC 768).
struct UdpHeader {
    big_uint16_buf_t sourcePort;
    big_uint16_buf_t destinationPort;
    big_uint16_buf_t length;
    big_uint16_buf_t checksum;
};
static_assert(sizeof(UdpHeader) == 8);

/// \brief ICMP destination unreachable (RFC 792).
struct IcmpHeader {
    big_uint8_buf_t type;
    big_uint8_buf_t code;
    big_uint16_buf_t checksum;
    big_uint32_buf_t unused;
};
static_assert(sizeof(IcmpHeader) == 8);

/// \brief An endpoint in messages between the project's own processes.
struct EndpointField {
    big_uint32_buf_t address;
    big_uint16_buf_t port;
};
static_assert(sizeof(EndpointField) == 6);

[[nodiscard]] inline EndpointField toField(Endpoint endpoint) noexcept
{
    EndpointField field;
    field.address = endpoint.address;
    field.port = endpoint.port;
    return field;
}

[[nodiscard]] inline Endpoint fromField(EndpointField const& field) noexcept
{
    return { field.address.value(), field.port.value() };
}

/// \brief Copies a fixed-layout record out of bytes; the caller has checked the length.
template <typename Record>
[[nodiscard]] Record read(std::span<std::byte const> bytes) noexcept
{
    static_assert(std::is_trivially_copyable_v<Record>);
    Record record;
    std::memcpy(&record, bytes.data(), sizeof(Record));
    return record;
}

/// \brief Copies a fixed-layout record to the front of bytes; the caller has checked the length.
template <typename Record>
void write(Record const& record, std::span<std::byte> bytes) noexcept
{
    static_assert(std::is_trivially_copyable_v<Record>);
    std::memcpy(bytes.data(), &record, sizeof(Record));
}

} // namespace plantaindrift::wire
