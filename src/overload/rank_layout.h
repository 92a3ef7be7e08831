#pragma once

/// @file
/// Bit layout of a rank, and conversion between levels and shares of refused calls.

#include <chicoryspar/overload.h>

#include <algorithm>

namespace chicoryspar {

constexpr std::uint32_t kHashBits = 20;
constexpr std::uint32_t kImportanceShift = kHashBits;
constexpr std::uint32_t kDepthShift = kImportanceShift + 4;
constexpr std::uint32_t kClassShift = kDepthShift + 6;
constexpr std::uint32_t kDepthMask = 0x3F;
constexpr std::uint32_t kHashSpan = 1U << kHashBits;
constexpr std::uint64_t kRankHashSeed = 0x636869636F727921;

/// Returns the depth field of @a rank: the number of ancestor calls, or 0 if the call ranks as its root request.
std::uint32_t depthOf(Rank rank);

/// Returns the rank without the hash: equal for calls of the same class, depth and importance.
inline std::uint32_t groupOf(Rank rank)
{
    return rank.value >> kHashBits;
}

/// Returns the share of calls that @a level refuses among those that differ from @a rank only in the hash of the root request, 0 to 1.
inline double refusedShare(Level level, Rank rank)
{
    const auto lowest = rank.value >> kHashBits << kHashBits;
    const auto refusedHashes = level.value <= lowest ? 0 : std::min<std::uint64_t>(level.value - lowest, kHashSpan);
    return static_cast<double>(refusedHashes) / static_cast<double>(kHashSpan);
}

/// Returns the level that refuses @a share (0 to 1) of the calls that differ from @a rank only in the hash of the root request.
inline Level levelForShare(double share, Rank rank)
{
    const auto lowest = rank.value >> kHashBits << kHashBits;
    const auto refusedHashes = static_cast<std::uint32_t>(std::clamp(share, 0.0, 1.0) * static_cast<double>(kHashSpan));
    return refusedHashes == 0 ? Level{} : Level{lowest + refusedHashes};
}

} // namespace chicoryspar
