#pragma once

#include "plantaindrift/relay/RelayMessage.h"

#include <cstdint>

namespace plantaindrift {

/// \brief An entry's record of one flow.
struct FlowRecord {
    std::uint64_t hash { 0 };
    bool used { false };
    bool isConfirmed { false }; ///< the owner sent a notice, and no other target may have answered the opening segment
    bool isUnlisted { false }; ///< the owner sent its last notice while the view of the service lacked it
    bool isReturnable { false }; ///< only the original opening was sent, no agent has admitted it, and an agent may return it
    std::uint8_t returns { 0 }; ///< number of times that agents returned the opening
    bool isTimed { false }; ///< the first copy of the opening segment was forwarded, and no notice has answered it
    bool isInUse { false }; ///< the caller has sent later segments, so that one of the answers is acknowledged
    ServiceHash service {}; ///< service whose agents received the opening segment or the segments of the search
    Endpoint owner;
    Endpoint previousOwner; ///< previous target, which was offered an earlier copy of the opening segment
    RelayFlow flow;
    TimePoint opened;
    TimePoint last;
    TimePoint ownerSent; ///< time when the owner was last sent to agents
    TimePoint unanswered; ///< time of the first segment since the last notice of an unlisted owner; unset if there was none
    std::uint32_t holders { 0 }; ///< hash of the agents that received the owner, and of the owner
};

} // namespace plantaindrift
