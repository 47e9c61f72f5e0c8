#pragma once

/// \file
/// \brief Replaces the global operator new and counts its calls; to be included by one source file of a program.

#include <cstddef>
#include <cstdlib>
#include <new>

namespace {

std::size_t allocations = 0;

void* allocate(std::size_t size, std::size_t alignment)
{
    ++allocations;
    std::size_t const rounded = (size + alignment - 1) / alignment * alignment;
    void* const memory = std::aligned_alloc(alignment, rounded);
    if (memory == nullptr)
        throw std::bad_alloc {};
    return memory;
}

} // namespace

void* operator new(std::size_t size) { return allocate(size, alignof(std::max_align_t)); }
void* operator new[](std::size_t size) { return allocate(size, alignof(std::max_align_t)); }
void* operator new(std::size_t size, std::align_val_t alignment) { return allocate(size, static_cast<std::size_t>(alignment)); }
void* operator new[](std::size_t size, std::align_val_t alignment) { return allocate(size, static_cast<std::size_t>(alignment)); }
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete[](void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }
void operator delete[](void* memory, std::size_t) noexcept { std::free(memory); }
void operator delete(void* memory, std::align_val_t) noexcept { std::free(memory); }
void operator delete[](void* memory, std::align_val_t) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t, std::align_val_t) noexcept { std::free(memory); }
void operator delete[](void* memory, std::size_t, std::align_val_t) noexcept { std::free(memory); }
