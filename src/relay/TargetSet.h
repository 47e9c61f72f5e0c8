#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <utility>
#include <vector>

namespace plantaindrift {

/// \brief Index of a target that is no longer in a service's list.
inline constexpr std::uint32_t removedTarget = 0xFFFFFFFFU;

/// \brief Set of indices into the target list of a service; grows with the largest index.
class TargetSet {
public:
    void insert(std::size_t index)
    {
        if (index / bitsPerWord >= words_.size())
            words_.resize(index / bitsPerWord + 1);
        words_[index / bitsPerWord] |= mask(index);
    }

    void erase(std::size_t index) noexcept
    {
        if (index / bitsPerWord < words_.size())
            words_[index / bitsPerWord] &= ~mask(index);
    }

    [[nodiscard]] bool contains(std::size_t index) const noexcept
    {
        return index / bitsPerWord < words_.size() && (words_[index / bitsPerWord] & mask(index)) != 0;
    }

    /// \brief Follows a change of the target list.
    ///
    /// \param newIndices  new index of each target of the old list, or removedTarget
    void renumber(std::span<std::uint32_t const> newIndices)
    {
        TargetSet renumbered;
        for (std::size_t index = 0; index < newIndices.size(); ++index) {
            if (contains(index) && newIndices[index] != removedTarget)
                renumbered.insert(newIndices[index]);
        }
        words_ = std::move(renumbered.words_);
    }

private:
    static constexpr std::size_t bitsPerWord = 64;

    [[nodiscard]] static constexpr std::uint64_t mask(std::size_t index) noexcept { return std::uint64_t { 1 } << (index % bitsPerWord); }

    std::vector<std::uint64_t> words_;
};

} // namespace plantaindrift
