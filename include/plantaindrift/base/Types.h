#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantaindrift {

/// \brief Monotonic time, passed into decision code as an argument.
using TimePoint = std::chrono::steady_clock::time_point;

/// \brief Monotonic duration.
using Duration = std::chrono::steady_clock::duration;

/// \brief 64-bit XXH3 hash of a service's name; identifies a service in datagrams.
///
/// Validation refuses a configuration in which two names share a hash.
enum class ServiceHash : std::uint64_t {};

/// \brief 64-bit XXH3 hash of a flow's addresses, ports and protocol.
enum class FlowHash : std::uint64_t {};

/// \brief An IPv4 address and UDP or TCP port, both in host byte order.
struct Endpoint {
    std::uint32_t address { 0 };
    std::uint16_t port { 0 };

    [[nodiscard]] constexpr bool isSet() const noexcept { return address != 0; }
    // clang-tidy takes the zero of a rewritten comparison for a null pointer.
    friend constexpr auto operator<=>(Endpoint const&, Endpoint const&) noexcept = default; // NOLINT(modernize-use-nullptr)
};

/// \brief Parses "A.B.C.D:PORT".
///
/// \param text  dotted IPv4 address, a colon and a port from 1 to 65535
/// \returns     the endpoint, or nothing if the text has any other form
[[nodiscard]] std::optional<Endpoint> parseEndpoint(std::string_view text) noexcept;

/// \brief Parses a dotted IPv4 address into host byte order.
[[nodiscard]] std::optional<std::uint32_t> parseAddress(std::string_view text) noexcept;

/// \brief Prints an endpoint as "A.B.C.D:PORT".
[[nodiscard]] std::string formatEndpoint(Endpoint endpoint);

/// \brief Prints an IPv4 address in host byte order as "A.B.C.D".
[[nodiscard]] std::string formatAddress(std::uint32_t address);

/// \brief Transport protocols that services can use.
enum class Protocol : std::uint8_t {
    Tcp = 6,
    Udp = 17
};

/// \brief The addresses, ports and protocol that identify a flow.
struct FlowKey {
    Endpoint source;
    Endpoint destination;
    Protocol protocol { Protocol::Tcp };

    friend constexpr auto operator<=>(FlowKey const&, FlowKey const&) noexcept = default; // NOLINT(modernize-use-nullptr)
};

} // namespace plantaindrift
