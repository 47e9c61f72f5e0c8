#include "AllocationCounter.h"

#include <cstdlib>
#include <new>

namespace {

std::size_t allocated = 0;

// The size is kept before the block, so that unsized deletes are counted too.
constexpr std::size_t headerBytes = alignof(std::max_align_t);

void* allocate(std::size_t size)
{
    void* const block = std::malloc(size + headerBytes);
    if (block == nullptr)
        throw std::bad_alloc();
    *static_cast<std::size_t*>(block) = size;
    allocated += size;
    return static_cast<char*>(block) + headerBytes;
}

void release(void* pointer) noexcept
{
    if (pointer == nullptr)
        return;
    char* const block = static_cast<char*>(pointer) - headerBytes;
    allocated -= *reinterpret_cast<std::size_t*>(block);
    std::free(block);
}

} // namespace

void* operator new(std::size_t size) { return allocate(size); }
void* operator new[](std::size_t size) { return allocate(size); }
void operator delete(void* pointer) noexcept { release(pointer); }
void operator delete[](void* pointer) noexcept { release(pointer); }
void operator delete(void* pointer, std::size_t) noexcept { release(pointer); }
void operator delete[](void* pointer, std::size_t) noexcept { release(pointer); }

namespace plantaindrift::bench {

std::size_t allocatedBytes() noexcept
{
    return allocated;
}

} // namespace plantaindrift::bench
