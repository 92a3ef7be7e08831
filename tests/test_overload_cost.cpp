/// @file
/// Tests of the memory of overload control: no allocation per decision, and a bounded size for each upstream, call and node.

#include <chicoryspar/overload.h>

#include <gtest/gtest.h>

#include "overload/fair_share.h"
#include "overload/group_level_cache.h"
#include "overload/return_schedule.h"
#include "tests/allocation_count.h"

using namespace chicoryspar;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxGateBytes = 512 * 1024;
constexpr std::size_t kMaxRouterBytes = 16 * 1024;
constexpr std::size_t kMaxLevelCacheBytes = 64 * 1024;
constexpr std::size_t kMaxRetryBudgetBytes = 320;
constexpr std::size_t kMaxWorkEstimatorBytes = 4 * 1024;

} // namespace

TEST(Cost, StateIsBounded)
{
    EXPECT_LE(Gate(TimePoint{}, {.slots = 36}).bytes(), kMaxGateBytes);
    EXPECT_LE(Router(TimePoint{}, {}).bytes(), kMaxRouterBytes);
    EXPECT_LE(sizeof(LevelCache), kMaxLevelCacheBytes);
    EXPECT_LE(sizeof(RetryBudget), kMaxRetryBudgetBytes);
    EXPECT_LE(sizeof(WorkEstimator), kMaxWorkEstimatorBytes);
    EXPECT_LE(sizeof(LoadMeter), kMaxWorkEstimatorBytes);
}

TEST(Cost, GateAllocatesNothingPerDecision)
{
    TimePoint now{1h};
    Random random(1);
    Gate gate(now, {.slots = 8});
    std::array<GateDecision, 16> buf;
    std::vector<std::uint64_t> running;
    running.reserve(64);
    const auto allocationsBefore = g_allocations;
    for (std::uint64_t ticket = 1; ticket < 50'000; ++ticket) {
        now += 100us;
        const CallContext context{.root = {random(), random()}, .requestClass = static_cast<RequestClass>(ticket % 3), .remaining = 1s};
        if (gate.offer(now, makeGateRequest(now, ticket, context)).verdict == GateVerdict::Admitted) {
            running.push_back(ticket);
        }
        if (ticket % 3 == 0 && !running.empty()) {
            gate.finish(now, running.back(), 1ms, GateResult::Success);
            running.pop_back();
        }
        while (const auto n = gate.poll(now, buf)) {
            for (std::size_t it = 0; it < n; ++it) {
                if (buf[it].verdict == GateVerdict::Admitted) {
                    running.push_back(buf[it].ticket);
                }
            }
        }
    }
    EXPECT_EQ(g_allocations, allocationsBefore);
}

TEST(Cost, RoutingAllocatesNothingPerDecision)
{
    TimePoint now{1h};
    Random random(1);
    Router router(now, {});
    WorkEstimator work;
    LevelCache cache;
    const std::vector<Candidate> candidates{{.node = {1}}, {.node = {2}}, {.node = {3}, .region = 1}};
    router.setCandidates(now, candidates);
    const auto allocationsBefore = g_allocations;
    for (std::uint32_t n = 0; n < 50'000; ++n) {
        now += 100us;
        const auto expected = work.expected(n);
        const auto decision = router.choose(now, random, {.rank = {n << 16}, .bytes = 100, .expectedWork = expected});
        if (decision.node.isValid()) {
            router.onSent(now, decision.node, 100, expected);
            // Half of the results come without a load report, as those of calls that were lost do.
            const auto load = n % 2 == 0 ? std::nullopt : std::optional(LoadReport{.outstandingWork = 1ms, .pacePercent = 100});
            router.onResult(
                now, decision.node,
                {.latency = 1ms, .answerBytes = 200, .level = Level{n << 15}, .serviceTime = 1ms, .expectedWork = expected, .load = load});
            work.record(n, 1ms);
        }
        cache.record(now, n, {n});
        cache.admit(now, n, {n << 3});
    }
    EXPECT_EQ(g_allocations, allocationsBefore);
}

TEST(Cost, CustomersRequestsAllocateNothingPerDecision)
{
    TimePoint now{1h};
    Random random(1);
    GroupLevelCache cache;
    ReturnSchedule schedule;
    std::size_t refused = 0;
    EXPECT_LE(cache.bytes(), kMaxLevelCacheBytes);
    const auto allocationsBefore = g_allocations;
    for (std::uint32_t n = 0; n < 50'000; ++n) {
        now += 100us;
        CallContext context{.root = {random(), random()}, .ranksAsRoot = true};
        const auto own = customerRank(RequestClass::Standard, n % 3, 0.8, labelHashOf(context.root));
        context.requestClass = own.requestClass;
        context.importance = own.importance;
        const auto rank = makeRank(context);
        cache.record(now, n % 300, {lowestRank(RequestClass::Standard).value + (n % 16 << 20)});
        if (!cache.admit(now, n % 7, rank)) {
            schedule.onRefusal(now);
            refused += schedule.returnDelay(now, {.rank = rank, .remaining = 1s, .aheadPerSecond = 1}) > Duration{0} ? 1 : 0;
        }
    }
    EXPECT_EQ(g_allocations, allocationsBefore);
    EXPECT_GT(refused, 0U);
}
