#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/relay/EntryResources.h"

#include "absl/container/flat_hash_map.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace plantaindrift {

/// \brief Segments with at least this much data are bulk, in bytes.
inline constexpr std::size_t minimumBulkSegmentBytes = 500;

/// \brief Load of an entry on which the admission of new flows depends.
struct EntryUse {
    double linkBytesPerSecond { 0 }; ///< rate of the link; 0 if it is not known
    double offeredBytesPerSecond { 0 }; ///< of the direction that is used more, mean of 300 ms
    double linkUtilisation { 0 }; ///< mean of 300 ms
    double processorUtilisation { 0 }; ///< 0 while the process gets the processor time that it needs
};

/// \brief Decides at an entry whether a new flow is admitted, by the bytes that flows of its address bring.
///
/// Handles the load condition that bulk transfers fill a narrow link while small requests wait behind them. Bulk is
/// admitted at the rate at which the link carries it beside all other traffic. Other flows are refused only if the link
/// or the processor cannot carry even these.
class EntryAdmission {
public:
    /// \brief Records a forwarded segment.
    ///
    /// \param dataBytes  data of the caller in the segment
    /// \param linkBytes  length of the forwarded datagram with IP and UDP headers
    void recordSegment(Endpoint address, std::size_t dataBytes, std::size_t linkBytes) noexcept;

    /// \brief Decides on a flow that this entry does not know; records it if it is admitted.
    [[nodiscard]] EntryRefusal decide(Endpoint address) noexcept;

    /// \brief Ends a period of about 100 ms.
    void tick(EntryUse const& use, TimePoint now) noexcept;

    /// \brief Bytes a second that the refused flows would have brought; mean of the last three ticks.
    [[nodiscard]] double refusedBytesPerSecond() const noexcept;

    /// \brief Mean bytes that a flow of this address brings; 0 if it is not known.
    [[nodiscard]] double bytesPerFlow(Endpoint address) const noexcept;

    /// \brief True if flows of this address bring many bytes in large segments.
    [[nodiscard]] bool isBulk(Endpoint address) const noexcept;

private:
    /// Sums that decay over time.
    struct AddressUse {
        double flows { 0 };
        double bytes { 0 };
        double bulkBytes { 0 }; ///< in segments of at least minimumBulkSegmentBytes
        std::uint64_t tickBytes { 0 }; ///< of the current tick

        [[nodiscard]] double bytesPerFlow() const noexcept;
        [[nodiscard]] bool isBulk() const noexcept;
    };

    absl::flat_hash_map<std::uint64_t, AddressUse> addresses_; ///< by address
    EntryUse use_;
    TimePoint lastTick_;
    /// Bytes a second in one tick.
    struct Rates {
        double bulk { 0 }; ///< of bulk addresses
        double refused { 0 }; ///< expected of refused flows
    };

    std::array<Rates, 3> rates_ {}; ///< of the last ticks
    std::size_t nextRate_ { 0 };
    double refusedBytes_ { 0 }; ///< expected of the flows that were refused in the current tick
    double bulkRate_ { 0 }; ///< bytes a second at which bulk may be admitted
    double backlog_ { 0 }; ///< expected bytes of admitted bulk flows beyond what the rate has covered

    [[nodiscard]] double otherBytesPerSecond() const noexcept;
    [[nodiscard]] EntryRefusal checkRoom(AddressUse const& use) const noexcept;
};

} // namespace plantaindrift
