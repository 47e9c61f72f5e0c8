#include "relay/TargetFlows.h"

#include "relay/RelayTimes.h"

#include <chrono>

namespace plantaindrift {

namespace {

    // Segments that a caller retransmits after both ends have closed arrive within this time.
    constexpr std::chrono::seconds closingTimeout { 5 };

    // A target sends no data before the caller's first later segment arrives, so that this segment acknowledges the
    // answer itself or at most the number after it. A range of 2^26 mistook one in 64 flows of other targets for the
    // target's own.
    constexpr std::uint32_t maximumAcknowledgedAhead = 1;

    // A caller that waited this long has given up on the target; the longest latency objectives of the routes are
    // shorter.
    constexpr std::chrono::seconds unansweredTimeout { 1 };

} // namespace

bool TargetFlow::isAcknowledgedBy(Segment const& segment) const noexcept
{
    return isAnswered && segment.isAcknowledging && segment.acknowledgement - targetSequence <= maximumAcknowledgedAhead;
}

TargetFlows::TargetFlows(std::size_t maximumFlows)
    : flows_(maximumFlows)
{
}

TargetFlow* TargetFlows::insert(std::uint64_t hash)
{
    TargetFlow* const flow = flows_.insert(hash);
    open_ += flow != nullptr ? 1 : 0;
    return flow;
}

void TargetFlows::trackOffer(TargetFlow& flow, TimePoint now) noexcept
{
    if (flow.offered != TimePoint {})
        return;
    flow.offered = now;
    requests_.expect(now);
}

void TargetFlows::removeExpected(TargetFlow& flow) noexcept
{
    if (flow.offered != TimePoint {})
        requests_.removeExpected(flow.offered);
    flow.offered = {};
}

void TargetFlows::trackRequest(TargetFlow& flow, Segment const& segment, TimePoint now) noexcept
{
    flow.lastSegment = now;
    if (segment.isClosing || segment.isReset) {
        if (now - flow.lastRequestData >= unansweredTimeout)
            failRequest(flow);
        close(flow);
        return;
    }
    std::uint32_t const end = segment.sequence + segment.dataBytes;
    bool const isFirst = !flow.hasRequest;
    bool const isNew = isFirst || static_cast<std::int32_t>(end - flow.requestEnd) > 0;
    if (segment.dataBytes == 0 || !isNew)
        return;
    flow.hasRequest = true;
    removeExpected(flow);
    flow.requestEnd = end;
    if (flow.hasPendingRequest)
        requests_.restart(flow.lastRequestData, now);
    else
        requests_.begin(now, isFirst);
    flow.hasPendingRequest = true;
    flow.lastRequestData = now;
}

void TargetFlows::trackAnswer(TargetFlow& flow, Segment const& segment, TimePoint now, std::size_t slots) noexcept
{
    flow.lastSegment = now;
    if (segment.isOpening) {
        flow.isAnswered = true;
        flow.targetSequence = segment.sequence;
    }
    // A target sends later segments only on flows that are open there.
    flow.isEstablished = flow.isEstablished || !segment.isOpening;
    requests_.addAnswerBytes(segment.dataBytes);
    if (segment.dataBytes > 0 && flow.hasPendingRequest) {
        flow.hasPendingRequest = false;
        requests_.finish(flow.lastRequestData, now, slots);
    }
    // A closing segment may overtake the answer, so that only a reset counts as a failure.
    if (segment.isReset)
        failRequest(flow);
    if (segment.isClosing || segment.isReset)
        close(flow);
}

// Ends the request in progress as failed, if there is one.
void TargetFlows::failRequest(TargetFlow& flow) noexcept
{
    if (!flow.hasPendingRequest)
        return;
    flow.hasPendingRequest = false;
    requests_.fail(flow.lastRequestData);
}

// Removes the flow from the load counts; the caller then marks it as closing or lost.
void TargetFlows::removeFromLoad(TargetFlow& flow) noexcept
{
    removeExpected(flow);
    if (flow.hasPendingRequest)
        requests_.cancel(flow.lastRequestData);
    flow.hasPendingRequest = false;
    open_ -= flow.isOver() ? 0 : 1;
}

void TargetFlows::close(TargetFlow& flow) noexcept
{
    removeFromLoad(flow);
    flow.isClosing = true;
}

void TargetFlows::erase(TargetFlow& flow) noexcept
{
    close(flow);
    flows_.erase(flow);
}

void TargetFlows::markLost(TargetFlow& flow) noexcept
{
    removeFromLoad(flow);
    flow.isLost = true;
}

void TargetFlows::markLostBefore(TimePoint started) noexcept
{
    flows_.eraseIf([this, started](TargetFlow& flow) {
        if (flow.opened >= started)
            return false;
        markLost(flow);
        // A flow that was only offered to the target may be open at another one.
        return !flow.isEstablished;
    });
    requests_.reset();
    flows_.forEach([this](TargetFlow const& flow) {
        if (flow.offered != TimePoint {})
            requests_.expect(flow.offered);
        if (flow.hasPendingRequest)
            requests_.begin(flow.lastRequestData, false);
    });
}

void TargetFlows::sweep(TimePoint now) noexcept
{
    flows_.eraseIf([this, now](TargetFlow& flow) {
        bool const isShortLived = flow.isClosing || (!flow.isEstablished && !flow.isAnswered);
        Duration const idleTimeout = isShortLived ? Duration(closingTimeout) : Duration(platformFlowTimeout);
        bool const isExpired = now - flow.lastSegment > idleTimeout;
        if (isExpired)
            close(flow);
        return isExpired;
    });
}

} // namespace plantaindrift
