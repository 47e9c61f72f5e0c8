#pragma once

#include "membership/Message.h"
#include "plantaindrift/base/Types.h"
#include "plantaindrift/membership/EvacuationSet.h"
#include "plantaindrift/store/FleetStore.h"

#include "control.pb.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace plantaindrift {

/// \brief What a process knows of evacuations: merges what the store and peers report, and writes it into messages.
///
/// The higher version wins. A store that comes back from an older copy (a new generation) lacks objects until operators
/// write them again. Data centres that were evacuated before therefore remain so until the new generation reports them, as
/// listed or as removed, or until absenceGrace has passed. Nothing is accepted or sent unless enabled. Does no I/O.
class EvacuationSpread {
public:
    /// \brief Time from the first sight of a generation after which absence from its list counts as removal.
    static constexpr std::chrono::milliseconds absenceGrace { 10'000 };

    /// \brief Largest number of data centres in one message.
    static constexpr int maximumDataCentres = 64;

    explicit EvacuationSpread(bool enabled) noexcept
        : enabled_(enabled)
    {
    }

    /// \brief Takes what this process read from the store.
    void takeStored(StoredEvacuations const& stored, TimePoint now);

    /// \brief Takes a peer's knowledge.
    ///
    /// \returns false if a field is out of range
    [[nodiscard]] bool take(control::Evacuations const& message, TimePoint now);

    /// \brief Takes the knowledge in a reply to a heartbeat, if any, and sends the own one back if it exceeds it.
    ///
    /// \returns false if a field is out of range
    [[nodiscard]] bool takeReply(control::HeartbeatReply const& reply, Endpoint from, Outbox& outbox, TimePoint now);

    /// \brief Adds the own knowledge to a reply if the heartbeat's sender has another.
    void answer(control::Heartbeat const& heartbeat, control::HeartbeatReply& reply, TimePoint now) const;

    /// \brief Sends the own knowledge to these endpoints.
    void send(std::span<Endpoint const> to, Outbox& outbox, TimePoint now) const;

    /// \brief True once after knowledge changed that peers are to receive at once.
    [[nodiscard]] bool takePendingSpread() noexcept;

    /// \brief Ends the retention of what the current generation does not list; call every 100 ms.
    void tick(TimePoint now);

    /// \brief Hash of the knowledge for heartbeats; 0 if not enabled.
    [[nodiscard]] std::uint32_t fingerprint() const;

    /// \brief The evacuations in force if the data centres or the version changed since the last call.
    [[nodiscard]] std::optional<EvacuationChange> takeChange();

private:
    struct Knowledge {
        EvacuationSet listed; ///< by the store
        TimePoint generationSeen; ///< when a process first saw the generation of `listed`
        std::vector<std::string> retained; ///< sorted; evacuated in an earlier generation and not reported in this one
        std::vector<std::string> reported; ///< sorted; listed or removed in this generation; kept during the grace only
    };

    bool enabled_;
    Knowledge known_;
    EvacuationSet inForce_;
    EvacuationSource source_ { EvacuationSource::Store };
    bool isChanged_ { false };
    bool isSpreadPending_ { false };

    void merge(Knowledge&& incoming, EvacuationSource source, TimePoint now);
    void adoptGeneration(Knowledge&& incoming);
    void joinGeneration(Knowledge&& incoming);
    void settle(TimePoint now);
    void update(EvacuationSource source);
    void write(control::Evacuations& message, TimePoint now) const;
    [[nodiscard]] std::chrono::milliseconds generationAge(TimePoint now) const noexcept;
};

} // namespace plantaindrift
