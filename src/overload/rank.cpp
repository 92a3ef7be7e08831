/// @file
/// Ranks of calls and admission levels.
///
/// Layout of a rank from the highest bit: 2 bits request class, 6 bits depth, 4 bits importance, 20 bits hash of the root request.

#include <chicoryspar/overload.h>

#include <algorithm>

#include "overload/rank_layout.h"

namespace chicoryspar {

Rank makeRank(const CallContext &context)
{
    const auto importance = std::min(context.importance, kMaxImportance);
    const auto depth = context.ranksAsRoot ? std::uint8_t{0} : std::min(context.depth, kMaxDepth);
    const auto hash = static_cast<std::uint32_t>(hashRequest(context.root, kRankHashSeed) >> (64 - kHashBits));
    return {static_cast<std::uint32_t>(context.requestClass) << kClassShift | static_cast<std::uint32_t>(depth) << kDepthShift
            | static_cast<std::uint32_t>(importance) << kImportanceShift | hash};
}

RequestClass classOf(Rank rank)
{
    const auto value = rank.value >> kClassShift;
    const auto highest = static_cast<std::uint32_t>(RequestClass::Count) - 1;
    return static_cast<RequestClass>(std::min(value, highest));
}

RequestClass classOf(Level level)
{
    return classOf(Rank{level.value});
}

Rank lowestRank(RequestClass value)
{
    return {static_cast<std::uint32_t>(value) << kClassShift};
}

std::uint32_t depthOf(Rank rank)
{
    return rank.value >> kDepthShift & kDepthMask;
}

Level levelAtParentDepth(Level level)
{
    if (depthOf(Rank{level.value}) == 0) {
        return {lowestRank(classOf(level)).value};
    }
    return {level.value - (1U << kDepthShift)};
}

} // namespace chicoryspar
