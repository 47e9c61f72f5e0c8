#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/configuration/Configuration.h"
#include "plantaindrift/membership/ServiceView.h"
#include "plantaindrift/packet/Encapsulation.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>

namespace plantaindrift {

/// \brief What happened to a packet at the entry.
enum class EntryOutcome : std::uint8_t {
    Forward,
    DropMalformed,
    DropNoService,
    DropNoTarget
};

/// \brief Decision for one packet; valid until the next call.
struct EntryDecision {
    EntryOutcome outcome { EntryOutcome::DropMalformed };
    Endpoint to; ///< agent to send to
    std::size_t headerBytes { 0 }; ///< header bytes at the front of EntryPipeline::headerBuffer
    std::span<std::byte const> inner; ///< inner packet, inside the datagram passed in
    ServiceHash service {};
};

/// \brief Settings of the packet path of an entry.
struct EntryOptions {
    Endpoint self; ///< where agents send owner notices
    KeyRing keys;
    std::size_t flowCacheEntries { 1U << 18 }; ///< hard bound
};

/// \brief Classify, select and encapsulate; holds nothing that must survive.
///
/// Does no I/O and allocates nothing per packet. Not thread-safe.
class EntryPipeline {
public:
    explicit EntryPipeline(EntryOptions const& options);
    ~EntryPipeline();
    EntryPipeline(EntryPipeline const&) = delete;
    EntryPipeline& operator=(EntryPipeline const&) = delete;

    /// \brief Replaces the declared services; candidate tables of unchanged services are kept.
    void setConfiguration(Configuration const& configuration);

    /// \brief Replaces one service's view and rebuilds its candidate table if the view changed.
    void setView(ServiceView const& view);

    /// \brief Replaces the keys; the first signs.
    void setKeys(KeyRing const& keys);

    /// \brief Decides one Geneve datagram from the fabric.
    [[nodiscard]] EntryDecision decide(std::span<std::byte const> datagram, TimePoint now, std::uint32_t nowSeconds) noexcept;

    /// \brief Header of the last decision that forwards.
    [[nodiscard]] std::span<std::byte const> headerBuffer() const noexcept;

    /// \brief Takes an owner notice: later packets of the flow go to this agent first.
    void learnOwner(FlowHash flow, Endpoint owner, TimePoint now) noexcept;

    /// \brief Fingerprint of the view in use for a service; 0 if unknown.
    [[nodiscard]] std::uint32_t fingerprint(ServiceHash service) const noexcept;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace plantaindrift
