#pragma once

#include "plantaindrift/relay/EntryResources.h"
#include "plantaindrift/relay/RelayMessage.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace plantaindrift {

/// \brief The newest known status of each other entry of the data centre.
///
/// Handles the load condition that only some entries are overloaded: each decides by the state of all, without a
/// coordinator. Statuses arrive directly and through other entries.
class EntryStatuses {
public:
    /// \brief Replaces the other running entries of the data centre. Statuses of all others are ignored.
    void setPeers(std::vector<EntryPeer> peers);

    [[nodiscard]] std::span<EntryPeer const> peers() const noexcept { return peers_; }

    /// \brief Records a received status. \returns false if it is too old, older than the known one, or not of a peer
    bool record(EntryLoad const& status, TimePoint now);

    /// \brief Statuses that count, newest first, with their present age.
    [[nodiscard]] std::vector<EntryLoad> recent(TimePoint now) const;

private:
    struct Known {
        EntryLoad status;
        TimePoint measured;
    };

    std::vector<EntryPeer> peers_;
    std::vector<Known> known_;
};

} // namespace plantaindrift
