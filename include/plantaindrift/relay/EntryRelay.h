#pragma once

#include "plantaindrift/base/LatencyHistogram.h"
#include "plantaindrift/base/Types.h"
#include "plantaindrift/configuration/Configuration.h"
#include "plantaindrift/membership/ServiceView.h"
#include "plantaindrift/packet/Encapsulation.h"
#include "plantaindrift/packet/PacketVerdict.h"
#include "plantaindrift/relay/RelayMessage.h"
#include "plantaindrift/relay/RelayObserver.h"
#include "plantaindrift/relay/RelaySender.h"
#include "plantaindrift/relay/Segment.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace plantaindrift {

/// \brief What an entry did with a segment of a caller.
enum class EntryRelayOutcome : std::uint8_t {
    ForwardedOpening, ///< asks to open a flow
    ForwardedRetransmission, ///< a repeated request to open a flow, sent to another target
    ForwardedToOwner, ///< of a flow whose owner is known here
    ForwardedForSearch, ///< of a flow whose owner is looked for
    RefusedNoRoute, ///< no service has the address
    RefusedNoTarget, ///< no target takes new flows
    ResetLostFlow, ///< no target holds the flow
    DroppedMalformed,
    DroppedNoRoute,
    DroppedNoTarget
};

inline constexpr std::size_t entryRelayOutcomeCount = 10;

/// \brief Lower-case name of an outcome, for logs and metrics.
[[nodiscard]] std::string_view entryRelayOutcomeName(EntryRelayOutcome outcome) noexcept;

/// \brief Settings of an entry's relay.
struct EntryRelayOptions {
    Endpoint ownEndpoint; ///< where agents send notices and load
    std::string dataCentre;
    KeyRing keys;
    std::uint64_t randomSeed { 1 };
    std::size_t maximumFlows { 1U << 17U }; ///< flows remembered at most
    std::uint16_t callerPort { 0 }; ///< UDP port at which callers receive
};

/// \brief Chooses a target for new flows by expected time, and sends known flows to their owner.
///
/// Knows nothing that must last: an unknown flow is looked for along the agents of its service. Does no I/O of its own.
/// Not thread-safe.
class EntryRelay {
public:
    /// \param codec   format of the callers' segments
    /// \param sender  takes subscriptions to agents
    /// \param observer  is told of new flows, searches and refusals
    EntryRelay(EntryRelayOptions const& options, SegmentCodec const& codec, RelaySender& sender, RelayObserver& observer);
    ~EntryRelay();
    EntryRelay(EntryRelay const&) = delete;
    EntryRelay& operator=(EntryRelay const&) = delete;

    /// \brief Replaces the routes; known flows stay with their owners.
    ///
    /// Overloaded targets refuse no flow of an address that was added lately, because a caller could not tell that from an
    /// address that is not served yet.
    void setConfiguration(Configuration const& configuration, TimePoint now);

    /// \brief Replaces one service's targets; load that was heard is kept.
    void setView(ServiceView const& view, TimePoint now);

    /// \brief Tells whether the views name every target, as far as the store or a peer knows them.
    ///
    /// A caller is told that its flow is lost only when all targets of a complete view have been asked.
    void setViewsComplete(bool complete) noexcept;

    void setKeys(KeyRing const& keys);

    /// \brief Decides one datagram of a caller.
    [[nodiscard]] PacketVerdict processCallerDatagram(std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds) noexcept;

    /// \brief Takes a notice or load from an agent. \returns false if it is malformed or not authenticated
    bool processAgentMessage(Endpoint from, std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds) noexcept;

    /// \brief Periodic work, every 100 ms: renews subscriptions and forgets idle flows.
    void tick(TimePoint now, std::uint32_t nowSeconds);

    /// \brief True if some service has a route and a target that answered.
    [[nodiscard]] bool canServe() const noexcept;

    /// \brief Segments by outcome since start.
    [[nodiscard]] std::array<std::uint64_t, entryRelayOutcomeCount> const& outcomeCounts() const noexcept;

    [[nodiscard]] std::size_t flowCount() const noexcept;

    /// \brief Times from a search's first segment to the word of the owner, since start.
    [[nodiscard]] LatencyHistogram const& successfulSearchTimes() const noexcept;

    /// \brief Times from a search's first segment until the flow was given up as lost, since start.
    [[nodiscard]] LatencyHistogram const& failedSearchTimes() const noexcept;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace plantaindrift
