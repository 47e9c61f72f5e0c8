#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantaindrift {

/// \brief When an entry sends new flows to targets of other data centres.
enum class RemoteMode : std::uint8_t {
    Auto, ///< by waits, distance and bytes
    Never, ///< only if no target of the own data centre accepts new flows
    Always ///< targets of all data centres are equal but for the distance
};

/// \brief Settings of the decision to leave the data centre.
struct RemoteOptions {
    RemoteMode mode { RemoteMode::Auto };
    std::optional<double> msPerMegabyte; ///< time that callers must save for each MB between data centres; empty for the default
};

/// \brief Why a new flow was sent to the data centre of its target.
enum class RemoteReason : std::uint8_t {
    Local, ///< the entry's own data centre
    Near, ///< at a small distance, or at one that is not measured yet
    ShorterWait, ///< the wait is shorter by more than the distance and the price of the bytes
    NoLocalTarget, ///< no target within reach accepts new flows
    AlwaysRemote ///< required by the settings
};

inline constexpr std::size_t remoteReasonCount = 5;

/// \brief Lower-case name of a reason, as in logs and metrics.
[[nodiscard]] std::string_view remoteReasonName(RemoteReason reason) noexcept;

/// \brief New flows that an entry sent to a data centre, by reason.
struct SiteCounts {
    std::string dataCentre;
    std::array<std::uint64_t, remoteReasonCount> flows {};
    std::optional<double> extraTenthMs; ///< time by which a round trip exceeds a local one, in 0.1 ms; empty if not measured
};

} // namespace plantaindrift
