#pragma once

/// @file
/// Bits of a rank.

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

/// Returns the number of hops above a call of this rank.
std::uint32_t depthOf(Rank rank);

/// Returns the share of the calls that rank as @a rank does, but for their roots, which @a level refuses.
inline double refusedShare(Level level, Rank rank)
{
    const auto lowest = rank.value >> kHashBits << kHashBits;
    const auto refusedHashes = level.value <= lowest ? 0 : std::min<std::uint64_t>(level.value - lowest, kHashSpan);
    return static_cast<double>(refusedHashes) / static_cast<double>(kHashSpan);
}

/// Returns the level that refuses the share @a share of the calls that rank as @a rank does, but for their roots.
inline Level levelForShare(double share, Rank rank)
{
    const auto lowest = rank.value >> kHashBits << kHashBits;
    const auto refusedHashes = static_cast<std::uint32_t>(std::clamp(share, 0.0, 1.0) * static_cast<double>(kHashSpan));
    return refusedHashes == 0 ? Level{} : Level{lowest + refusedHashes};
}

} // namespace chicoryspar
