#include "agent/FlowTable.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace plantaindrift {

namespace {

    constexpr unsigned hashBits = 64;
    constexpr std::size_t smallestSlotCount = 16;

} // namespace

void FlowTable::resize(std::size_t limit)
{
    std::vector<Flow> const old = std::move(flows_);
    limit_ = std::max(limit, size_);
    std::size_t const slots = std::bit_ceil(std::max(smallestSlotCount, limit_ * 2));
    flows_.assign(slots, Flow {});
    shift_ = hashBits - static_cast<unsigned>(std::countr_zero(slots));
    for (Flow const& flow : old) {
        if (!flow.used)
            continue;
        std::size_t index = home(flow.hash);
        while (flows_[index].used)
            index = (index + 1) & (slots - 1);
        flows_[index] = flow;
    }
}

std::size_t FlowTable::home(FlowHash hash) const noexcept
{
    // The low bits choose the bucket at the entries, so one agent sees only few of their values.
    return static_cast<std::size_t>(static_cast<std::uint64_t>(hash) >> shift_);
}

Flow* FlowTable::find(FlowHash hash) noexcept
{
    if (flows_.empty())
        return nullptr;
    std::size_t const mask = flows_.size() - 1;
    for (std::size_t index = home(hash); flows_[index].used; index = (index + 1) & mask) {
        if (flows_[index].hash == hash)
            return &flows_[index];
    }
    return nullptr;
}

Flow* FlowTable::insert(FlowHash hash, Protocol protocol, TimePoint now) noexcept
{
    if (size_ >= limit_)
        return nullptr;
    std::size_t const mask = flows_.size() - 1;
    std::size_t index = home(hash);
    while (flows_[index].used)
        index = (index + 1) & mask;
    Flow& flow = flows_[index];
    flow = Flow {};
    flow.hash = hash;
    flow.protocol = protocol;
    flow.used = true;
    flow.admitted = now;
    flow.lastPacket = now;
    flow.lastPayload = now;
    flow.lastRedirect = now;
    ++size_;
    ++open_;
    return &flow;
}

void FlowTable::erase(Flow& flow) noexcept
{
    setInProgress(flow, false);
    if (!flow.isClosing())
        --open_;
    --size_;
    // Backward shift: later flows of the same run move up, so that no marker of an erased slot is needed.
    std::size_t const mask = flows_.size() - 1;
    std::size_t hole = static_cast<std::size_t>(&flow - flows_.data());
    for (std::size_t index = (hole + 1) & mask; flows_[index].used; index = (index + 1) & mask) {
        std::size_t const distance = (index - home(flows_[index].hash)) & mask;
        if (distance >= ((index - hole) & mask)) {
            flows_[hole] = flows_[index];
            hole = index;
        }
    }
    flows_[hole].used = false;
}

void FlowTable::close(Flow& flow, FlowState state) noexcept
{
    setInProgress(flow, false);
    if (!flow.isClosing())
        --open_;
    flow.state = state;
}

void FlowTable::reopen(Flow& flow) noexcept
{
    if (flow.isClosing())
        ++open_;
    flow.state = FlowState::Open;
}

void FlowTable::setInProgress(Flow& flow, bool inProgress) noexcept
{
    if (flow.inProgress == inProgress)
        return;
    flow.inProgress = inProgress;
    inProgress_ += inProgress ? 1 : static_cast<std::size_t>(-1);
}

} // namespace plantaindrift
