#pragma once

/// @file
/// Counts the allocations of a program by replacing operator new; to be included in one source file only.

#include <cstdint>
#include <cstdlib>
#include <new>

/// Allocations since the program started.
inline std::uint64_t g_allocations = 0;

[[gnu::noinline]] void *operator new(std::size_t size)
{
    ++g_allocations;
    if (void *memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void *memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}
