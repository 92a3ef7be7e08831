#pragma once

/// @file
/// Measures the heap of a program by replacing operator new; to be included in one source file only.

#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <new>

/// Present and highest heap size of this program, in bytes.
inline std::atomic<std::size_t> g_liveBytes = 0;
inline std::atomic<std::size_t> g_peakBytes = 0;

[[gnu::noinline]] void *operator new(std::size_t size)
{
    void *memory = std::malloc(size);
    if (!memory) {
        throw std::bad_alloc();
    }
    g_liveBytes += malloc_usable_size(memory);
    g_peakBytes = std::max(g_peakBytes.load(), g_liveBytes.load());
    return memory;
}

[[gnu::noinline]] void operator delete(void *memory) noexcept
{
    g_liveBytes -= memory ? malloc_usable_size(memory) : 0;
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void *memory, std::size_t) noexcept
{
    operator delete(memory);
}

/// Returns the highest heap size that @a run adds to the present one.
template<typename Function>
std::size_t peakOf(Function run)
{
    const auto before = g_liveBytes.load();
    g_peakBytes = before;
    run();
    return g_peakBytes - before;
}
