/// @file
/// A process that was paused must know it before it acts, and go on once it has read what waited.

#include "overload/pause_watch.h"

#include <gtest/gtest.h>

using namespace chicoryspar;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{1h};
constexpr PauseWatchOptions kOptions{.maxGap = 1s, .settleTime = 100ms};

} // namespace

TEST(PauseWatch, RegularTicksAreNoPause)
{
    PauseWatch watch(kStart, kOptions);
    for (auto now = kStart; now < kStart + 10s; now += 200ms) {
        EXPECT_EQ(watch.onTick(now), Duration{0});
        EXPECT_FALSE(watch.isWaking(now));
        EXPECT_FALSE(watch.isWaking(now + 199ms));
    }
}

TEST(PauseWatch, APauseIsKnownBeforeTheFirstTickAfterIt)
{
    PauseWatch watch(kStart, kOptions);
    EXPECT_FALSE(watch.isWaking(kStart + 1s));
    EXPECT_TRUE(watch.isWaking(kStart + 1001ms));
    EXPECT_TRUE(watch.isWaking(kStart + 1h));
}

TEST(PauseWatch, TheProcessSettlesAfterTheTickThatEndsAPause)
{
    PauseWatch watch(kStart, kOptions);
    EXPECT_EQ(watch.onTick(kStart + 5s), Duration{5s});
    EXPECT_TRUE(watch.isWaking(kStart + 5s));
    EXPECT_EQ(watch.onTick(kStart + 5s + 50ms), Duration{0});
    EXPECT_TRUE(watch.isWaking(kStart + 5s + 99ms));
    EXPECT_FALSE(watch.isWaking(kStart + 5s + 100ms));
}

TEST(PauseWatch, EachPauseCounts)
{
    PauseWatch watch(kStart, kOptions);
    watch.onTick(kStart + 2s);
    EXPECT_EQ(watch.onTick(kStart + 4s), Duration{2s});
    EXPECT_TRUE(watch.isWaking(kStart + 4s + 99ms));
}
