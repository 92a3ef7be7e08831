/// @file
/// Tests of ranks, admission levels, the level control and the level cache.

#include <chicoryspar/overload.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "overload/level_control.h"

using namespace chicoryspar;
using namespace std::chrono_literals;

namespace {

CallContext makeContext(std::uint64_t root, RequestClass requestClass, std::uint8_t importance, std::uint8_t depth)
{
    return {.root = {root, ~root}, .requestClass = requestClass, .importance = importance, .depth = depth};
}

RequestClass drawClass(Random &random)
{
    return static_cast<RequestClass>(drawBelow(random, 3));
}

} // namespace

// Ranks are ordered by class, then depth, then importance, then the hash of the root request.
RC_GTEST_PROP(Rank, OrdersByClassThenDepthThenImportance, (std::uint64_t seed))
{
    Random random(seed);
    const auto draw = [&random] {
        return makeContext(random(), drawClass(random), static_cast<std::uint8_t>(drawBelow(random, 16)),
                           static_cast<std::uint8_t>(drawBelow(random, 33)));
    };
    const auto a = draw();
    const auto b = draw();
    const auto orderingKey = [](const CallContext &it) { return std::tuple(it.requestClass, it.depth, it.importance); };
    if (orderingKey(a) != orderingKey(b)) {
        RC_ASSERT((makeRank(a) < makeRank(b)) == (orderingKey(a) < orderingKey(b)));
    }
    RC_ASSERT(classOf(makeRank(a)) == a.requestClass);
}

// Guards against hops that refuse different root requests: a level translated to the parent call's depth admits the same ones
// there.
RC_GTEST_PROP(Level, TranslatedLevelAdmitsTheSameRoots, (std::uint64_t seed))
{
    Random random(seed);
    const auto depth = static_cast<std::uint8_t>(1 + drawBelow(random, 8));
    const auto threshold = makeContext(random(), drawClass(random), static_cast<std::uint8_t>(drawBelow(random, 16)), depth);
    const Level childLevel{makeRank(threshold).value};
    for (int n = 0; n < 50; ++n) {
        auto context = makeContext(random(), drawClass(random), static_cast<std::uint8_t>(drawBelow(random, 16)), depth);
        const auto isChildAdmitted = childLevel.admits(makeRank(context));
        --context.depth;
        RC_ASSERT(levelAtParentDepth(childLevel).admits(makeRank(context)) == isChildAdmitted);
    }
}

// With equal arrivals, less capacity never gives a lower level.
RC_GTEST_PROP(LevelControl, IsMonotoneInCapacity, (std::uint64_t seed))
{
    Random random(seed);
    LevelControl highCapacity(TimePoint{});
    LevelControl lowCapacity(TimePoint{});
    const auto capacity = 100 + static_cast<double>(drawBelow(random, 1000));
    TimePoint now;
    for (int n = 0; n < 100; ++n) {
        now += LevelControl::kPeriod;
        for (std::uint64_t left = drawBelow(random, 100); left > 0; --left) {
            const auto rank = makeRank(makeContext(random(), drawClass(random), static_cast<std::uint8_t>(drawBelow(random, 4)), 0));
            highCapacity.onOffer(rank);
            lowCapacity.onOffer(rank);
        }
        if (n == 99) {
            // Both have had the same input so far.
            lowCapacity.update(now, {.capacity = capacity / 2, .backlog = 50, .target = 10});
            highCapacity.update(now, {.capacity = capacity, .backlog = 50, .target = 10});
        } else {
            lowCapacity.update(now, {.capacity = capacity, .backlog = 50, .target = 10});
            highCapacity.update(now, {.capacity = capacity, .backlog = 50, .target = 10});
        }
    }
    RC_ASSERT(lowCapacity.level() >= highCapacity.level());
}

// Guards against a level that drifts once callers throttle: the gate then no longer receives the calls that the level refuses.
TEST(LevelControl, ConvergesToCapacityWhenCallersThrottle)
{
    Random random(5);
    LevelControl control(TimePoint{});
    TimePoint now;
    double admitted = 0;
    constexpr double kOfferedPerPeriod = 200;
    for (int n = 0; n < 200; ++n) {
        now += LevelControl::kPeriod;
        for (int it = 0; it < kOfferedPerPeriod; ++it) {
            const auto rank = makeRank(makeContext(random(), RequestClass::Lookup, static_cast<std::uint8_t>(drawBelow(random, 3)), 0));
            if (control.level().admits(rank)) {
                control.onOffer(rank);
                admitted += n >= 100 ? 1 : 0;
            }
        }
        control.update(now, {.capacity = 1000, .backlog = 20, .target = 20});
    }
    EXPECT_NEAR(admitted / 5, 1000, 50);
}

TEST(LevelControl, AdmitsEverythingAfterTheOverloadEnds)
{
    LevelControl control(TimePoint{});
    TimePoint now;
    for (std::uint64_t n = 0; n < 100; ++n) {
        now += LevelControl::kPeriod;
        for (std::uint64_t it = 0; it < 100; ++it) {
            control.onOffer(makeRank(makeContext(n * 100 + it, RequestClass::Lookup, 3, 0)));
        }
        control.update(now, {.capacity = 200, .backlog = 50, .target = 10});
    }
    EXPECT_GT(control.level().value, 0U);
    for (int n = 0; n < 60; ++n) {
        now += LevelControl::kPeriod;
        control.update(now, {.capacity = 200, .backlog = -5, .target = 10});
    }
    EXPECT_EQ(control.level().value, 0U);
}

TEST(LevelCache, RefusesThenProbesThenExpires)
{
    LevelCache cache;
    TimePoint now{1h};
    const Level level{lowestRank(RequestClass::Standard).value};
    cache.record(now, 7, level);
    const Rank lookup{0};
    EXPECT_FALSE(cache.admit(now, 7, lookup));
    EXPECT_TRUE(cache.admit(now, 7, {level.value}));
    EXPECT_TRUE(cache.admit(now, 8, lookup));
    now += 100ms;
    EXPECT_TRUE(cache.admit(now, 7, lookup));
    EXPECT_FALSE(cache.admit(now, 7, lookup));
    now += 1s;
    EXPECT_TRUE(cache.admit(now, 7, lookup));
    EXPECT_EQ(cache.level(now, 7), Level{});
}

TEST(LevelCache, ExpiresLevelsThatRefuseOrdersSooner)
{
    LevelCache cache;
    const TimePoint now{1h};
    cache.record(now, 7, {lowestRank(RequestClass::Order).value + 5});
    EXPECT_FALSE(cache.admit(now + 50ms, 7, lowestRank(RequestClass::Order)));
    EXPECT_EQ(cache.level(now + 400ms, 7), Level{});
}

TEST(LevelCache, AveragesTheRefusedShareOverAnswers)
{
    LevelCache cache({.expiry = 3s, .probeInterval = 1s, .weight = 0.2});
    const auto rank = makeRank(makeContext(1, RequestClass::Lookup, 7, 0));
    const auto all = lowestRank(RequestClass::Standard);
    TimePoint now{1h};
    for (int n = 0; n < 100; ++n) {
        now += 50ms;
        cache.record(now, 7, n % 2 == 0 ? Level{all.value} : Level{}, rank);
    }
    int admitted = 0;
    for (std::uint64_t n = 0; n < 1000; ++n) {
        admitted += cache.admit(now, 7, makeRank(makeContext(n, RequestClass::Lookup, 7, 0))) ? 1 : 0;
    }
    EXPECT_NEAR(admitted, 500, 100);
    EXPECT_TRUE(cache.admit(now, 7, makeRank(makeContext(3, RequestClass::Order, 7, 0))));
}
