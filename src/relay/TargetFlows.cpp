#include "relay/TargetFlows.h"

#include "relay/RelayTimes.h"

#include <chrono>

namespace plantaindrift {

namespace {

    // Segments that a caller repeats after both ends have finished come within this time.
    constexpr std::chrono::seconds closingLifetime { 5 };

    // A target sends no data before the caller's first later segment arrives, which thus acknowledges the answer itself or
    // at most the number after it. A range of 2^26 took one in 64 flows of other targets for own ones.
    constexpr std::uint32_t mostAcknowledged = 1;

    // A caller that waited for so long has not left of its own will; the longest objectives of the routes are below it.
    constexpr std::chrono::seconds unansweredTime { 1 };

} // namespace

bool TargetFlow::isAcknowledgedBy(Segment const& segment) const noexcept
{
    return answered && segment.isAcknowledging && segment.acknowledgement - targetSequence <= mostAcknowledged;
}

TargetFlows::TargetFlows(std::size_t most)
    : flows_(most)
{
}

TargetFlow* TargetFlows::insert(std::uint64_t hash)
{
    TargetFlow* const flow = flows_.insert(hash);
    open_ += flow != nullptr ? 1 : 0;
    return flow;
}

void TargetFlows::trackRequest(TargetFlow& flow, Segment const& segment, TimePoint now) noexcept
{
    flow.last = now;
    if (segment.isClosing || segment.isReset) {
        if (now - flow.requested >= unansweredTime)
            failRequest(flow);
        close(flow);
        return;
    }
    std::uint32_t const end = segment.sequence + segment.dataBytes;
    bool const isNew = !flow.hasRequest || static_cast<std::int32_t>(end - flow.requestEnd) > 0;
    if (segment.dataBytes == 0 || !isNew)
        return;
    flow.hasRequest = true;
    flow.requestEnd = end;
    flow.requested = now;
    if (!flow.pending) {
        flow.pending = true;
        requests_.begin();
    }
}

void TargetFlows::trackAnswer(TargetFlow& flow, Segment const& segment, TimePoint now, std::size_t slots) noexcept
{
    flow.last = now;
    if (segment.isOpening) {
        flow.answered = true;
        flow.targetSequence = segment.sequence;
    }
    // A target sends later segments only on flows that are open there.
    flow.established = flow.established || !segment.isOpening;
    if (segment.dataBytes > 0 && flow.pending) {
        flow.pending = false;
        requests_.finish(flow.requested, now, slots);
    }
    // The end of a flow may overtake the answer.
    if (segment.isReset)
        failRequest(flow);
    if (segment.isClosing || segment.isReset)
        close(flow);
}

// A request that is in progress ends without an answer.
void TargetFlows::failRequest(TargetFlow& flow) noexcept
{
    if (!flow.pending)
        return;
    flow.pending = false;
    requests_.fail();
}

// Ends what counts for the load; the record says why afterwards.
void TargetFlows::retire(TargetFlow& flow) noexcept
{
    if (flow.pending)
        requests_.cancel();
    flow.pending = false;
    open_ -= flow.isOver() ? 0 : 1;
}

void TargetFlows::close(TargetFlow& flow) noexcept
{
    retire(flow);
    flow.closing = true;
}

void TargetFlows::erase(TargetFlow& flow) noexcept
{
    close(flow);
    flows_.erase(flow);
}

void TargetFlows::lose(TargetFlow& flow) noexcept
{
    retire(flow);
    flow.lost = true;
}

void TargetFlows::loseAll() noexcept
{
    flows_.eraseIf([this](TargetFlow& flow) {
        lose(flow);
        // A flow that was only offered to the target may be open at another one.
        return !flow.established;
    });
    requests_.reset();
}

void TargetFlows::sweep(TimePoint now) noexcept
{
    flows_.eraseIf([this, now](TargetFlow& flow) {
        bool const isEnding = flow.closing || (!flow.established && !flow.answered);
        Duration const lifetime = isEnding ? Duration(closingLifetime) : Duration(flowLifetime);
        bool const isOld = now - flow.last > lifetime;
        if (isOld)
            close(flow);
        return isOld;
    });
}

} // namespace plantaindrift
