#pragma once

#include "membership/ConfigurationSpread.h"
#include "membership/Message.h"
#include "membership/RandomSource.h"
#include "membership/SnapshotParts.h"
#include "plantaindrift/membership/ConfigurationEvent.h"

#include "control.pb.h"

#include <cstdint>
#include <span>
#include <vector>

namespace plantaindrift {

/// \brief Obtains configurations that this entry lacks from peers, and gives its own to peers that lag.
///
/// A configuration that was read as a whole has no changes to send. Its position is announced to peers, and those that lag request it
/// from one peer, in parts of one position, so that it arrives also while versions follow each other. Such requests are
/// answered whatever the control budget: an accepted configuration is due everywhere within seconds.
class ConfigurationExchange {
public:
    ConfigurationExchange(ConfigurationSpread& spread, Outbox& outbox, EntryControl::Counts& counts) noexcept
        : spread_(spread)
        , outbox_(outbox)
        , counts_(counts)
    {
    }

    /// \brief Notes the position that a peer has applied.
    void notePosition(std::uint64_t position, Endpoint peer);

    /// \brief Requests the changes after the applied position from a peer that is ahead, if a request is due.
    void requestChanges(TimePoint now, RandomSource& random);

    /// \brief Requests the whole configuration of a peer that no longer has the changes.
    void requestSnapshot(Endpoint peer, std::uint64_t position, TimePoint now);

    /// \brief Sends the parts that a peer requests.
    void answer(Endpoint from, control::SnapshotRequest const& request);

    /// \brief Takes a part of the configuration of a peer; applies it once all parts are there.
    ///
    /// \returns false if a field is out of range
    [[nodiscard]] bool takePart(Endpoint from, control::SnapshotPart const& message, TimePoint now);

    /// \brief Takes a configuration that was read as a whole if it is ahead, and announces it to peers.
    void takeSnapshot(std::uint64_t position, Configuration const& configuration);

    /// \brief True if a new configuration is to be announced to peers.
    [[nodiscard]] bool isAnnouncementDue() const noexcept { return isAnnouncementDue_; }

    /// \brief Announces the applied position to peers.
    void announce(std::span<Endpoint const> peers);

    void recordStep(ConfigurationStep step, Endpoint peer, std::uint64_t peerPosition);

    /// \brief Steps since the last call.
    [[nodiscard]] std::vector<ConfigurationEvent> takeEvents();

private:
    ConfigurationSpread& spread_;
    Outbox& outbox_;
    EntryControl::Counts& counts_;
    SnapshotAssembly assembly_;
    std::uint64_t knownPosition_ { 0 }; ///< newest that a peer or this entry is known to have
    bool isAnnouncementDue_ { false };
    std::vector<ConfigurationEvent> events_;
};

} // namespace plantaindrift
