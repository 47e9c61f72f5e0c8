#pragma once

#include "plantaindrift/relay/EntryResources.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>

namespace plantaindrift {

/// \brief What the decision about the rotation depends on.
struct RotationInputs {
    EntryLoad self; ///< of this entry; whether it is in rotation is not read
    std::span<EntryLoad const> others; ///< recent statuses of other running entries of the data centre
    std::size_t running { 1 }; ///< running entries of the data centre, with this one
};

/// \brief Maximum number of entries of a data centre that may be out of rotation.
///
/// The fabric uses all entries when fewer than half are in rotation.
/// \param running  number of running entries
[[nodiscard]] std::size_t maximumEntriesOut(std::size_t running) noexcept;

/// \brief Decides whether an entry takes part in the rotation of its data centre.
///
/// Handles the load condition that the same share of flows fills a narrow link while wider ones have room. The entry
/// cannot shape what arrives; only the fabric can send it elsewhere.
class RotationRule {
public:
    /// \param randomSeed  spreads the returns of several entries
    explicit RotationRule(std::uint64_t randomSeed) noexcept;

    /// \brief Decides, every 100 ms.
    RotationDecision const& tick(RotationInputs const& inputs, TimePoint now) noexcept;

    [[nodiscard]] RotationDecision const& decision() const noexcept { return decision_; }

    /// \brief True if the utilisation exceeds the limit, so that the entry may leave soon.
    [[nodiscard]] bool isOverloaded() const noexcept { return overloadedSince_ != TimePoint {}; }

private:
    [[nodiscard]] RotationReason reasonToStay(RotationInputs const& inputs, TimePoint now) const noexcept;
    [[nodiscard]] bool mustReturnForOthers(RotationInputs const& inputs) const noexcept;
    void leave(RotationInputs const& inputs, TimePoint now) noexcept;
    void decideReturn(RotationInputs const& inputs, TimePoint now) noexcept;
    void estimate(RotationInputs const& inputs) noexcept;

    std::uint64_t randomSeed_;
    RotationDecision decision_;
    TimePoint overloadedSince_; ///< unset while the utilisation is within the limit
    TimePoint calmSince_; ///< since when the share after a return would fit; unset if it would not
    TimePoint returned_; ///< last return; unset if there was none
    Duration wait_ {}; ///< time for which the share has to fit before a return, without jitter
    Duration jitteredWait_ {};
    double capacity_ { 0 }; ///< bytes a second that this entry can carry, estimated when it left
    std::uint64_t departures_ { 0 };
};

} // namespace plantaindrift
