#include "plantaindrift/membership/JoinDelay.h"

namespace plantaindrift {

namespace {

    // Time within which gossip distributes the record of a new agent to all entries.
    constexpr std::chrono::milliseconds gossipTime { 1000 };

    // Without an answer of the store, entries read no list either and declare no flow lost.
    constexpr std::chrono::milliseconds storeTimeout { 2000 };

} // namespace

JoinDelay::JoinDelay(TimePoint started, bool hasStore) noexcept
    : started_(started)
    , hasStore_(hasStore)
{
}

void JoinDelay::recordWritten(TimePoint now) noexcept
{
    written_ = written_.value_or(now);
}

bool JoinDelay::isOver(TimePoint now) const noexcept
{
    if (isKnown_ || now - started_ >= storeTimeout)
        return true;
    bool const isRecorded = !hasStore_ || (written_ && now - *written_ >= recordedJoinTime);
    return isRecorded && now - started_ >= gossipTime;
}

} // namespace plantaindrift
