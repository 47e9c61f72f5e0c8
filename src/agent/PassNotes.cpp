#include "agent/PassNotes.h"

#include <algorithm>
#include <bit>

namespace plantaindrift {

namespace {

    constexpr unsigned hashBits = 64;
    constexpr std::size_t smallestSlotCount = 16;

    std::size_t slotsFor(std::size_t limit)
    {
        return std::bit_ceil(std::max(smallestSlotCount, limit * 2));
    }

} // namespace

PassNotes::PassNotes(std::size_t limit)
    : notes_(slotsFor(limit))
    , limit_(limit)
    , shift_(hashBits - static_cast<unsigned>(std::countr_zero(slotsFor(limit))))
{
}

std::size_t PassNotes::home(FlowHash flow) const noexcept
{
    return static_cast<std::size_t>(static_cast<std::uint64_t>(flow) >> shift_);
}

PassNote* PassNotes::lookUp(FlowHash flow) noexcept
{
    std::size_t const mask = notes_.size() - 1;
    for (std::size_t index = home(flow); notes_[index].used; index = (index + 1) & mask) {
        if (notes_[index].flow == flow)
            return &notes_[index];
    }
    return nullptr;
}

PassNote* PassNotes::find(FlowHash flow, TimePoint now) noexcept
{
    PassNote* const note = lookUp(flow);
    return note != nullptr && note->expires > now ? note : nullptr;
}

PassNote* PassNotes::put(PassNote const& note) noexcept
{
    PassNote* place = lookUp(note.flow);
    if (place == nullptr) {
        if (size_ >= limit_)
            return nullptr;
        std::size_t const mask = notes_.size() - 1;
        std::size_t index = home(note.flow);
        while (notes_[index].used)
            index = (index + 1) & mask;
        place = &notes_[index];
        ++size_;
    }
    *place = note;
    place->used = true;
    return place;
}

void PassNotes::erase(PassNote& note) noexcept
{
    std::size_t const mask = notes_.size() - 1;
    std::size_t hole = static_cast<std::size_t>(&note - notes_.data());
    for (std::size_t index = (hole + 1) & mask; notes_[index].used; index = (index + 1) & mask) {
        std::size_t const distance = (index - home(notes_[index].flow)) & mask;
        if (distance >= ((index - hole) & mask)) {
            notes_[hole] = notes_[index];
            hole = index;
        }
    }
    notes_[hole].used = false;
    --size_;
}

void PassNotes::sweep(TimePoint now, std::size_t steps) noexcept
{
    std::size_t const mask = notes_.size() - 1;
    for (std::size_t count = notes_.size() / steps + 1; count > 0; --count) {
        while (notes_[cursor_].used && notes_[cursor_].expires <= now)
            erase(notes_[cursor_]);
        cursor_ = (cursor_ + 1) & mask;
    }
}

} // namespace plantaindrift
