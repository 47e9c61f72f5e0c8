#pragma once

#include "plantaindrift/base/Types.h"

#include <cstdint>
#include <string_view>

namespace plantaindrift {

/// \brief What an entry did to obtain a newer configuration from its peers, or to give one to them.
enum class ConfigurationStep : std::uint8_t {
    PeerAhead, ///< a peer has applied a newer position than any known before
    ChangesRequested, ///< the peer was asked for the changes
    SnapshotRequested, ///< the peer no longer has the changes and was asked for the whole configuration
    SnapshotTaken, ///< the whole configuration of the peer is in force
    AnswerWithheld, ///< a request of the peer was not answered because the control budget is used up
};

[[nodiscard]] std::string_view configurationStepName(ConfigurationStep step) noexcept;

/// \brief One step, with the positions that it follows from.
struct ConfigurationEvent {
    ConfigurationStep step { ConfigurationStep::PeerAhead };
    Endpoint peer; ///< control endpoint; not set if several peers take part
    std::uint64_t position { 0 }; ///< applied by this entry
    std::uint64_t peerPosition { 0 }; ///< applied by the peer, or 0 if unknown
};

} // namespace plantaindrift
