/// @file
/// Time and allocations of one admission, one choice of an upstream, one level cache access and one retry budget step.

#include <chicoryspar/overload.h>

#include <benchmark/benchmark.h>

#include "overload/fair_share.h"
#include "overload/group_level_cache.h"
#include "tests/allocation_count.h"

using namespace chicoryspar;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeed = 20261204;

/// Reports the mean number of allocations per iteration.
class AllocationMeter
{
public:
    explicit AllocationMeter(benchmark::State &state)
        : m_state(state)
        , m_before(g_allocations)
    {
    }

    void report()
    {
        const auto count = static_cast<double>(g_allocations - m_before);
        m_state.counters["allocations"] = benchmark::Counter(count, benchmark::Counter::kAvgIterations);
    }

private:
    benchmark::State &m_state;
    std::uint64_t m_before;
};

CallContext makeContext(Random &random)
{
    return {.root = {random(), random()}, .requestClass = static_cast<RequestClass>(drawBelow(random, 3)), .remaining = 1s};
}

/// Admission and end of one call below the limit.
void admit(benchmark::State &state)
{
    TimePoint now{1h};
    Random random(kSeed);
    Gate gate(now, {.slots = 36});
    std::array<GateDecision, 16> buf;
    std::uint64_t ticket = 0;
    AllocationMeter meter(state);
    for (auto unused : state) {
        now += 100us;
        gate.offer(now, makeGateRequest(now, ++ticket, makeContext(random)));
        gate.finish(now + 5ms, ticket, 5ms, GateResult::Success);
        benchmark::DoNotOptimize(gate.poll(now + 5ms, buf));
    }
    meter.report();
}
BENCHMARK(admit);

/// One call offered at four times the capacity, with the decisions on waiting calls that are due.
void admitOverloaded(benchmark::State &state)
{
    TimePoint now{1h};
    Random random(kSeed);
    Gate gate(now, {.slots = 36});
    std::array<GateDecision, 16> buf;
    std::array<std::uint64_t, 64> running{};
    std::size_t count = 0;
    std::uint64_t ticket = 0;
    const auto recordAdmission = [&](const GateDecision &decision) {
        if (decision.verdict == GateVerdict::Admitted) {
            running[count++] = decision.ticket;
        }
    };
    AllocationMeter meter(state);
    for (auto unused : state) {
        now += 50us;
        recordAdmission(gate.offer(now, makeGateRequest(now, ++ticket, makeContext(random))));
        if (ticket % 4 == 0 && count > 0) {
            gate.finish(now, running[--count], 7ms, GateResult::Success);
        }
        while (const auto n = gate.poll(now, buf)) {
            std::for_each(buf.begin(), buf.begin() + static_cast<std::ptrdiff_t>(n), recordAdmission);
        }
    }
    meter.report();
}
BENCHMARK(admitOverloaded);

/// Choice, start and end of one attempt.
void route(benchmark::State &state)
{
    TimePoint now{1h};
    Random random(kSeed);
    Router router(now, {});
    std::vector<Candidate> candidates;
    for (std::uint32_t n = 0; n < static_cast<std::uint32_t>(state.range(0)); ++n) {
        candidates.push_back({.node = {n + 1}, .zone = n % 6, .region = n % 6 / 2, .slots = 36});
    }
    router.setCandidates(now, candidates);
    AllocationMeter meter(state);
    for (auto unused : state) {
        now += 100us;
        const auto decision = router.choose(now, random, {.rank = {100}, .bytes = 500});
        router.onSent(now, decision.node, 500);
        router.onResult(now, decision.node, {.latency = 5ms, .level = Level{}});
    }
    meter.report();
}
BENCHMARK(route)->Arg(6)->Arg(24)->Arg(64);

/// The same with upstreams that report their load.
void routeByLoad(benchmark::State &state)
{
    TimePoint now{1h};
    Random random(kSeed);
    Router router(now, {});
    std::vector<Candidate> candidates;
    for (std::uint32_t n = 0; n < static_cast<std::uint32_t>(state.range(0)); ++n) {
        candidates.push_back({.node = {n + 1}, .zone = n % 6, .region = n % 6 / 2, .slots = 36});
    }
    router.setCandidates(now, candidates);
    WorkEstimator work;
    AllocationMeter meter(state);
    for (auto unused : state) {
        now += 100us;
        const auto key = workKeyOf(random() % 50, 500);
        const auto expectedWork = work.expected(key);
        const auto decision = router.choose(now, random, {.rank = {100}, .bytes = 500, .expectedWork = expectedWork});
        router.onSent(now, decision.node, 500, expectedWork);
        const LoadReport load{.outstandingWork = 5ms, .pacePercent = 100, .paceAge = 1ms};
        router.onResult(now, decision.node,
                        {.latency = 6ms, .level = Level{}, .serviceTime = 5ms, .expectedWork = expectedWork, .load = load});
        work.record(key, 5ms);
    }
    meter.report();
}
BENCHMARK(routeByLoad)->Arg(6)->Arg(24)->Arg(64);

void entryLevel(benchmark::State &state)
{
    TimePoint now{1h};
    LevelCache cache;
    std::uint64_t key = 0;
    AllocationMeter meter(state);
    for (auto unused : state) {
        now += 100us;
        key = (key + 1) % 37;
        cache.record(now, key, {1000});
        benchmark::DoNotOptimize(cache.admit(now, key, {500}));
    }
    meter.report();
}
BENCHMARK(entryLevel);

/// Rank of a customer's request, and record and check of a level where levels are kept by class and importance.
void groupEntryLevel(benchmark::State &state)
{
    TimePoint now{1h};
    GroupLevelCache cache;
    std::uint64_t key = 0;
    AllocationMeter meter(state);
    for (auto unused : state) {
        now += 100us;
        key = (key + 1) % 37;
        CallContext context{.root = {key, kSeed}, .ranksAsRoot = true};
        const auto rank = customerRank(RequestClass::Standard, 1, 0.8, labelHashOf(context.root));
        context.requestClass = rank.requestClass;
        context.importance = rank.importance;
        cache.record(now, key, {1U << 30});
        benchmark::DoNotOptimize(cache.admit(now, key, makeRank(context)));
    }
    meter.report();
}
BENCHMARK(groupEntryLevel);

void retryBudgetStep(benchmark::State &state)
{
    RetryBudget budget(8);
    std::uint64_t attempt = 0;
    AllocationMeter meter(state);
    for (auto unused : state) {
        const auto tokens = budget.grant(++attempt);
        benchmark::DoNotOptimize(tokens);
        budget.returnTokens(attempt, tokens);
    }
    meter.report();
}
BENCHMARK(retryBudgetStep);

} // namespace

BENCHMARK_MAIN();
