#pragma once

#include "balancing/RequestSizes.h"
#include "plantaindrift/relay/EntryRelay.h"
#include "relay/AddressRoutes.h"
#include "relay/CountingSender.h"
#include "relay/EntryResourceControl.h"
#include "relay/FlowRecord.h"
#include "relay/HashTable.h"
#include "relay/OwnerSearches.h"
#include "relay/TargetDirectory.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string_view>

namespace plantaindrift {

/// \brief State of an entry's relay, and the steps of its packet path.
///
/// EntrySegments.cpp has the steps for callers' segments, EntryMessages.cpp those for messages of agents and the periodic ones.
struct EntryRelay::State {
    State(EntryRelayOptions const& given, SegmentCodec const& segmentCodec, RelaySender& messageSender, RelayObserver& decisionObserver);

    /// A segment being processed.
    struct SegmentContext {
        std::span<std::byte const> datagram;
        Segment segment;
        std::uint64_t hash { 0 };
        TimePoint now;
        std::uint32_t nowSeconds { 0 };
        Duration waited { 0 }; ///< longest time that the segment may have waited in this process
        std::string_view reason; ///< why an agent returned it; empty if none did
    };

    EntryRelayOptions options;
    SegmentCodec const& codec;
    CountingSender sender;
    EntryResourceControl resources;
    RelayObserver& observer;
    TargetDirectory directory;
    OwnerSearches searches;
    HashTable<FlowRecord> flows;
    AddressRoutes routes;
    TimePoint evacuationChanged; ///< when the evacuated data centres last changed
    std::uint64_t evacuatedFlows { 0 }; ///< new flows that reached an evacuated data centre
    RequestSizes requestSizes;
    std::array<std::uint64_t, entryRelayOutcomeCount> outcomes {};
    std::map<EntryRelayOutcome, std::array<std::uint64_t, openingReasonCount>> returnCounts; ///< of openings that agents returned
    std::array<std::byte, maximumRelayHeaderBytes> header {};
    std::array<std::byte, 64> resetBuffer {};
    TimePoint lastSweep;

    /// Each call from outside starts with this.
    void beginTurn(TimePoint now) noexcept { sender.setTime(now); }

    PacketVerdict countOutcome(EntryRelayOutcome outcome) noexcept;
    PacketVerdict drop(SegmentContext const& context, EntryRelayOutcome outcome) noexcept;
    void notifyObserver(SegmentContext const& context, EntryRelayOutcome outcome, Endpoint to, double cost, std::string_view reason = {}) noexcept;
    /// Notifies the observer of what an agent reported about a flow that the entry remembers.
    void notifyOwnerReport(std::string_view outcome, RelayFlow const& flow, Endpoint agent) noexcept;

    // ---- choice ----

    [[nodiscard]] TargetGroup* serviceOf(SegmentContext const& context) const noexcept;

    // ---- segments ----

    PacketVerdict forward(SegmentContext const& context, RelayRoute& route, EntryRelayOutcome outcome, std::string_view reason = {}) noexcept;
    PacketVerdict refuse(SegmentContext const& context, EntryRelayOutcome refused, EntryRelayOutcome dropped) noexcept;
    PacketVerdict processOpening(SegmentContext const& context) noexcept;
    /// Finds or adds a flow. \returns null if the table is full
    FlowRecord* insertFlow(std::uint64_t hash, RelayFlow const& flow, TimePoint now);
    PacketVerdict processLater(SegmentContext const& context) noexcept;
    /// A view may lack a target that has joined, so that the notice of an agent counts for more than the view.
    [[nodiscard]] static bool mayUseUnlistedOwner(FlowRecord& record, TimePoint now) noexcept;
    /// Sends the segment to an agent that ranks high for the flow: entries send the owners of flows to these agents.
    PacketVerdict search(SegmentContext const& context);
    void processNotFound(Endpoint from, ServiceHash service, RelayFlow const& flow, TimePoint now);
    /// Resets the callers of flows that no target holds.
    void resetLostFlows(TimePoint now, std::uint32_t nowSeconds);
    /// A reset is sent even for a closing segment: without an answer, the caller retransmits it many times. A caller
    /// that reset the flow itself needs none.
    void resetLostFlow(SegmentContext const& context) noexcept;
    void sendReset(SegmentContext const& context, EntryRelayOutcome outcome) noexcept;
    PacketVerdict processCallerDatagram(std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds, Duration maximumWait) noexcept;

    // ---- messages of agents ----

    void recordOwner(Endpoint from, RelayFlow const& flow, TimePoint now);
    /// Offers an opening that an agent returned to the target with most room, or refuses the caller.
    void processDeclined(Endpoint from, DecodedRelayMessage const& decoded, TimePoint now, std::uint32_t nowSeconds);
    EntryRelayOutcome offerAgain(SegmentContext const& context, Endpoint from, RelayRoute const& declined);
    /// Counts a flow that opened after the evacuation of its target's data centre.
    void countEvacuated(FlowRecord const& record, Endpoint agent) noexcept;
    /// \returns false if the message is not meant for an entry
    bool processDecodedMessage(Endpoint from, DecodedRelayMessage const& decoded, TimePoint now, std::uint32_t nowSeconds);

    // ---- periodic steps ----

    void subscribe(TimePoint now, std::uint32_t nowSeconds);
    /// Sends owners of flows to agents, so that another entry finds an owner at once.
    void sendFlowOwners(TimePoint now, std::uint32_t nowSeconds);
    void sweep(TimePoint now);
};

} // namespace plantaindrift
