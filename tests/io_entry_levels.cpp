/// @file
/// Levels and return delays at an entry node.

#include <gtest/gtest.h>

#include "node/entry/entry_levels.h"

using namespace chicoryspar;
using namespace std::chrono_literals;

namespace {

constexpr LevelCacheOptions kOptions{.expiry = 3s, .orderExpiry = 1s, .probeInterval = 1s, .weight = 0.2};

Rank rankOf(std::uint8_t importance, std::uint64_t root)
{
    return makeRank({.root = {root, root}, .requestClass = RequestClass::Standard, .importance = importance, .ranksAsRoot = true});
}

} // namespace

/// Guards against a change for deployments without customers.
TEST(EntryLevels, WithoutGroupsDecideAsTheLevelCache)
{
    EntryLevels levels(kOptions);
    LevelCache cache(kOptions);
    TimePoint now{1h};
    for (std::uint64_t n = 0; n < 5000; ++n) {
        now += 7ms;
        const auto rank = rankOf(7, n * 0x9E3779B97F4A7C15);
        const Level level{n % 3 == 0 ? 0 : rankOf(7, n * 0xC2B2AE3D27D4EB4F).value};
        if (n % 2 == 0) {
            levels.record(now, n % 5, level, rank);
            cache.record(now, n % 5, level, rank);
        }
        ASSERT_EQ(levels.admit(now, n % 7, rank), cache.admit(now, n % 7, rank));
        ASSERT_EQ(levels.level(now, n % 7), cache.level(now, n % 7));
    }
}

/// Guards against levels of one importance that are applied to another, which the level cache without groups does.
TEST(EntryLevels, WithGroupsKeepImportancesApart)
{
    EntryLevels levels(kOptions);
    levels.setGrouped(true);
    const TimePoint now{1h};
    const Level level{rankOf(5, 0).value & ~0xFFFFFU};
    levels.record(now, 1, level, rankOf(9, 1));
    EXPECT_FALSE(levels.admit(now, 1, rankOf(4, 2)));
    EXPECT_TRUE(levels.admit(now, 1, rankOf(5, 2)));
    EXPECT_TRUE(levels.admit(now, 1, rankOf(9, 2)));
    EXPECT_EQ(levels.level(now, 1), level);
    levels.setGrouped(false);
    EXPECT_TRUE(levels.admit(now, 1, rankOf(4, 2))) << "levels kept in the other way are dropped";
}

/// Guards against entry nodes that state the same delay to all ranks, or one that clients don't honour.
TEST(EntryLevels, HigherRanksAreToldToReturnEarlier)
{
    EntryLevels levels(kOptions);
    levels.setGrouped(true);
    TimePoint now{1h};
    const auto first = rankOf(5, 0).value & ~0xFFFFFU;
    for (int n = 0; n < 20; ++n) {
        now += 50ms;
        levels.record(now, 1, {first + 0x80000}, {});
        levels.onRefusal(now, 1);
    }
    const auto high = levels.returnDelay(now, 1, {first + 0x7FFFF}, 30s, Duration::max());
    const auto low = levels.returnDelay(now, 1, {first}, 30s, Duration::max());
    EXPECT_GE(high, 950ms);
    EXPECT_GT(low, high + 500ms);
    EXPECT_LE(levels.returnDelay(now, 1, {first}, 3s, Duration::max()), 1s);
    EXPECT_LE(levels.returnDelay(now, 1, {first}, 30s, 700ms), 700ms);
}
