/// @file
/// Tests of the router: tiers, the cap on cross-region bytes, ejection, slow start, and load hints that must not affect the choice.

#include <chicoryspar/overload.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>

#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace chicoryspar;
using namespace std::chrono_literals;

namespace {

/// Returns six upstreams in six zones of three regions, as in the users' deployment.
std::vector<Candidate> makeCandidates()
{
    std::vector<Candidate> candidates;
    for (std::uint32_t n = 0; n < 6; ++n) {
        candidates.push_back({.node = {n + 1}, .zone = n, .region = n / 2, .slots = 36});
    }
    return candidates;
}

std::uint32_t regionOf(NodeId node)
{
    return static_cast<std::uint32_t>(node.value - 1) / 2;
}

/// Sends one call that ends at once with the result of @a answer.
RouteDecision send(Router &router, TimePoint now, Random &random, const RouteRequest &request,
                   const std::function<RouteResult(NodeId)> &answer)
{
    const auto decision = router.choose(now, random, request);
    if (decision.node.isValid()) {
        router.onSent(now, decision.node, request.bytes);
        router.onResult(now, decision.node, answer(decision.node));
    }
    return decision;
}

RouteResult answerSuccess(NodeId)
{
    return {.latency = 5ms, .level = Level{}};
}

RouteResult answerFailure(NodeId)
{
    return {.latency = 5ms, .outcome = Outcome::Unknown, .reason = Reason::ConnectionLost};
}

std::size_t ejectedCount(const Router &router, TimePoint now)
{
    std::array<CandidateView, Router::kMaxCandidates> views;
    const auto n = router.explain(now, views);
    return static_cast<std::size_t>(
        std::count_if(views.begin(), views.begin() + static_cast<std::ptrdiff_t>(n), [](const auto &it) { return it.ejected; }));
}

RouteResult drawResult(Random &random)
{
    const auto kind = drawBelow(random, 10);
    const Duration latency(static_cast<std::int64_t>(1 + drawBelow(random, 100'000)));
    if (kind < 2) {
        return {.latency = latency, .outcome = Outcome::Unknown, .reason = Reason::BackendSilent};
    }
    if (kind < 4) {
        return {.latency = latency,
                .outcome = Outcome::NotRun,
                .reason = Reason::QueueFull,
                .level = Level{static_cast<std::uint32_t>(random() >> 33)}};
    }
    return {.latency = latency, .answerBytes = static_cast<std::uint32_t>(drawBelow(random, 2000)), .level = Level{}};
}

} // namespace

// Guards against a choice of an upstream that is not ready or was tried, too many ejections, cross-region bytes over the cap, and memory
// growth.
RC_GTEST_PROP(Router, KeepsInvariantsUnderRandomEvents, (std::uint64_t seed))
{
    Random random(seed);
    TimePoint now{1h};
    const auto start = now;
    const RouterOptions options{.crossRegionBytesPerSecond = 20'000,
                                .ejectSharePercent = 20 + static_cast<std::uint32_t>(drawBelow(random, 30))};
    Router router(now, options);
    auto candidates = makeCandidates();
    router.setCandidates(now, candidates);
    const auto bytes = router.bytes();
    double crossBytes = 0;
    for (int n = 0; n < 2000; ++n) {
        now += Duration(static_cast<std::int64_t>(drawBelow(random, 200) == 0 ? 3'000'000 : drawBelow(random, 3000)));
        if (drawBelow(random, 100) == 0) {
            auto &it = candidates[drawBelow(random, candidates.size())];
            it.ready = !it.ready;
            router.setCandidates(now, candidates);
        }
        const NodeId tried{1 + drawBelow(random, 6)};
        const RouteRequest request{.rank = {static_cast<std::uint32_t>(random() >> 33)},
                                   .bytes = static_cast<std::uint32_t>(drawBelow(random, 500))};
        const auto decision = router.choose(now, random, request, std::span(&tried, 1));
        RC_ASSERT(decision.node.isValid() == (decision.refusal == Reason::None));
        RC_ASSERT(decision.node.isValid() == (decision.route != RouteReason::None));
        if (!decision.node.isValid()) {
            continue;
        }
        RC_ASSERT(decision.node != tried);
        RC_ASSERT(candidates[decision.node.value - 1].ready);
        const auto result = drawResult(random);
        router.onSent(now, decision.node, request.bytes);
        router.onResult(now, decision.node, result);
        if (regionOf(decision.node) != options.region) {
            crossBytes += request.bytes;
            const std::chrono::duration<double> elapsed = now - start;
            const auto allowed = (elapsed.count() + 0.25) * static_cast<double>(options.crossRegionBytesPerSecond);
            RC_ASSERT(crossBytes <= allowed + 2000);
            crossBytes += result.answerBytes;
        }
        RC_ASSERT(ejectedCount(router, now) * 100 <= candidates.size() * options.ejectSharePercent);
        RC_ASSERT(router.bytes() == bytes);
    }
}

// Guards against load hints that attract or repel traffic: two routers that differ only in the hints must choose alike.
RC_GTEST_PROP(Router, LoadHintsDoNotChangeTheChoice, (std::uint64_t seed))
{
    Random events(seed);
    auto withoutHints = makeCandidates();
    auto withHints = withoutHints;
    for (auto &it : withHints) {
        it.loadHint = static_cast<std::uint8_t>(drawBelow(events, 101));
    }
    TimePoint now{1h};
    Router first(now, {});
    Router second(now, {});
    first.setCandidates(now, withoutHints);
    second.setCandidates(now, withHints);
    for (int n = 0; n < 500; ++n) {
        now += 1ms;
        auto random = events;
        const auto result = drawResult(events);
        const auto answer = [&result](NodeId) { return result; };
        auto sameRandom = random;
        RC_ASSERT(send(first, now, random, {}, answer).node == send(second, now, sameRandom, {}, answer).node);
    }
}

TEST(Router, PrefersOwnZoneThenOwnRegion)
{
    Random random(1);
    const TimePoint now{1h};
    Router router(now, {});
    auto candidates = makeCandidates();
    router.setCandidates(now, candidates);
    const auto initial = send(router, now, random, {}, answerSuccess);
    EXPECT_EQ(initial.node, NodeId{1});
    EXPECT_EQ(initial.route, RouteReason::OwnZone);
    candidates[0].ready = false;
    router.setCandidates(now, candidates);
    for (int n = 0; n < 50; ++n) {
        const auto decision = send(router, now, random, {}, answerSuccess);
        EXPECT_EQ(decision.node, NodeId{2});
        EXPECT_EQ(decision.route, RouteReason::OwnRegion);
    }
}

TEST(Router, FailoverToOtherRegionsRespectsTheByteCap)
{
    Random random(1);
    TimePoint now{1h};
    Router router(now, {.crossRegionBytesPerSecond = 10'000});
    auto candidates = makeCandidates();
    candidates.erase(candidates.begin(), candidates.begin() + 2);
    router.setCandidates(now, candidates);
    int sent = 0;
    int capped = 0;
    for (int n = 0; n < 1000; ++n) {
        now += 1ms;
        const auto decision = send(router, now, random, {.bytes = 100}, answerSuccess);
        sent += decision.route == RouteReason::OwnRegionGone ? 1 : 0;
        capped += decision.refusal == Reason::CrossRegionCap ? 1 : 0;
    }
    EXPECT_EQ(sent + capped, 1000);
    EXPECT_NEAR(sent, 125, 2);
}

TEST(Router, SpillsOnlyWhenOwnRegionIsSaturated)
{
    Random random(1);
    TimePoint now{1h};
    Router router(now, {});
    router.setCandidates(now, makeCandidates());
    const auto answer = [](NodeId node) {
        const auto level = regionOf(node) == 0 ? lowestRank(RequestClass::Standard).value : 0;
        return RouteResult{.latency = 5ms, .level = Level{level}};
    };
    std::map<RouteReason, int> reasons;
    for (int n = 0; n < 400; ++n) {
        now += 1ms;
        ++reasons[send(router, now, random, {.bytes = 100}, answer).route];
    }
    EXPECT_GT(reasons[RouteReason::OwnRegionSaturated], 300);
    now += 2s;
    EXPECT_EQ(send(router, now, random, {.bytes = 100}, answerSuccess).route, RouteReason::OwnZone);
}

TEST(Router, RefusesAtEntryAndProbes)
{
    Random random(1);
    TimePoint now{1h};
    Router router(now, {.crossRegionBytesPerSecond = 0});
    router.setCandidates(now, makeCandidates());
    const auto refuseLookups = [](NodeId) { return RouteResult{.latency = 5ms, .level = Level{lowestRank(RequestClass::Order).value}}; };
    send(router, now, random, {}, refuseLookups);
    send(router, now, random, {}, refuseLookups);
    EXPECT_EQ(router.choose(now, random, {}).refusal, Reason::EntryLevel);
    EXPECT_TRUE(router.choose(now, random, {.rank = lowestRank(RequestClass::Order)}).node.isValid());
    now += 150ms;
    EXPECT_EQ(router.choose(now, random, {}).route, RouteReason::Probe);
    now += 1s;
    EXPECT_EQ(router.choose(now, random, {}).route, RouteReason::OwnZone);
}

// An explanation that used up the probe of an upstream would keep its level from being refreshed.
TEST(Router, PreviewIsTheNextChoiceAndChangesNothing)
{
    Random random(1);
    TimePoint now{1h};
    Router router(now, {.crossRegionBytesPerSecond = 0});
    router.setCandidates(now, makeCandidates());
    const auto refuseLookups = [](NodeId) { return RouteResult{.latency = 5ms, .level = Level{lowestRank(RequestClass::Order).value}}; };
    send(router, now, random, {}, refuseLookups);
    send(router, now, random, {}, refuseLookups);
    now += 150ms;
    const auto preview = router.preview(now, random, {});
    EXPECT_EQ(preview.route, RouteReason::Probe);
    EXPECT_EQ(router.preview(now, random, {}).route, RouteReason::Probe);
    const auto choice = router.choose(now, random, {});
    EXPECT_EQ(choice.route, RouteReason::Probe);
    EXPECT_EQ(choice.node, preview.node);
}

/// Guards against ejections on a fault that all upstreams share: their failure rates are high, but none differs from the median.
TEST(Router, EjectsAnOutlierButNoneOnACommonFault)
{
    Random random(1);
    TimePoint now{1h};
    std::vector<Candidate> candidates(6);
    for (std::uint64_t n = 0; n < 6; ++n) {
        candidates[n].node = {n + 1};
    }
    Router router(now, {});
    router.setCandidates(now, candidates);
    for (int n = 0; n < 2000; ++n) {
        now += 1ms;
        send(router, now, random, {}, [](NodeId node) { return node.value == 3 ? answerFailure(node) : answerSuccess(node); });
    }
    EXPECT_EQ(ejectedCount(router, now), 1U);
    Router common(now, {});
    common.setCandidates(now, candidates);
    for (int n = 0; n < 2000; ++n) {
        now += 1ms;
        send(common, now, random, {}, answerFailure);
        EXPECT_EQ(ejectedCount(common, now), 0U);
    }
}

TEST(Router, RampsUpNewUpstreams)
{
    Random random(1);
    TimePoint now{1h};
    std::vector<Candidate> candidates{{.node = {1}}, {.node = {2}}, {.node = {3}}};
    Router router(now, {});
    router.setCandidates(now, candidates);
    now += 10s;
    candidates.push_back({.node = {4}});
    router.setCandidates(now, candidates);
    const auto shareOfNew = [&] {
        int hits = 0;
        for (int n = 0; n < 1000; ++n) {
            hits += send(router, now, random, {}, answerSuccess).node.value == 4 ? 1 : 0;
        }
        return hits;
    };
    EXPECT_LT(shareOfNew(), 100);
    now += 6s;
    EXPECT_NEAR(shareOfNew(), 250, 120);
}

/// Guards against a level that is too low: upstreams without a current level would count as admitting every call.
TEST(Router, UnusedUpstreamsDoNotLowerTheLevel)
{
    const TimePoint now{1h};
    Router router(now, {.zone = 0, .region = 0});
    router.setCandidates(now, makeCandidates());
    const Level level{lowestRank(RequestClass::Standard).value};
    for (const std::uint64_t n : {1, 2}) {
        router.onSent(now, {n}, 1);
        router.onResult(now, {n}, {.latency = 5ms, .level = level});
    }
    EXPECT_EQ(router.level(now + 10ms), level);
}

/// Guards against cross-region traffic while every region refuses the rank; only probes may leave the own region.
TEST(Router, DoesNotSpillToSaturatedRegions)
{
    TimePoint now{1h};
    Random random(1);
    Router router(now, {.zone = 0, .region = 0});
    router.setCandidates(now, makeCandidates());
    const RouteRequest request{.rank = lowestRank(RequestClass::Lookup), .bytes = 100, .isRootAdmitted = true};
    const auto saturated = [](NodeId) { return RouteResult{.latency = 50ms, .level = Level{lowestRank(RequestClass::Standard).value}}; };
    int sentToOtherRegions = 0;
    for (int n = 0; n < 2000; ++n) {
        now += 1ms;
        const auto decision = send(router, now, random, request, saturated);
        ASSERT_TRUE(decision.node.isValid());
        sentToOtherRegions += n >= 100 && regionOf(decision.node) != 0 ? 1 : 0;
    }
    // At most one probe of each of the four upstreams in other regions every 100 ms.
    EXPECT_LE(sentToOtherRegions, 4 * 20);
}

/// Guards against wasted work: refusing a call of an admitted root request would waste the calls that it made before.
TEST(Router, CallsOfAdmittedRootsAreNotRefusedByALevel)
{
    const TimePoint now{1h};
    Random random(1);
    Router router(now, {.zone = 0, .region = 0, .crossRegionBytesPerSecond = 0});
    router.setCandidates(now, makeCandidates());
    for (std::uint64_t n = 1; n <= 6; ++n) {
        router.onSent(now, {n}, 1);
        router.onResult(now, {n}, {.latency = 5ms, .level = Level{lowestRank(RequestClass::Standard).value}});
    }
    const RouteRequest root{.rank = lowestRank(RequestClass::Lookup)};
    EXPECT_FALSE(router.choose(now + 1ms, random, root).node.isValid());
    const RouteRequest child{.rank = lowestRank(RequestClass::Lookup), .isRootAdmitted = true};
    EXPECT_TRUE(router.choose(now + 1ms, random, child).node.isValid());
}

/// Guards against calls that leave their region needlessly: a gate that refuses the lowest ranks still admits the others.
TEST(Router, OnlyRanksRefusedInOwnRegionSpill)
{
    TimePoint now{1h};
    Random random(1);
    Router router(now, {.zone = 0, .region = 0});
    router.setCandidates(now, makeCandidates());
    const Rank low{lowestRank(RequestClass::Lookup).value + 100};
    const Rank high{lowestRank(RequestClass::Lookup).value + 100'000};
    const Level between{lowestRank(RequestClass::Lookup).value + 1000};
    for (std::uint64_t n = 1; n <= 6; ++n) {
        router.onSent(now, {n}, 1);
        router.onResult(now, {n}, {.latency = 5ms, .level = n <= 2 ? between : Level{}});
    }
    for (const bool isRootAdmitted : {false, true}) {
        for (int n = 0; n < 100; ++n) {
            const auto lowNode = router.choose(now + 1ms, random, {.rank = low, .isRootAdmitted = isRootAdmitted}).node;
            const auto highNode = router.choose(now + 1ms, random, {.rank = high, .isRootAdmitted = isRootAdmitted}).node;
            ASSERT_TRUE(lowNode.isValid());
            EXPECT_NE(regionOf(lowNode), 0U);
            EXPECT_EQ(regionOf(highNode), 0U);
        }
    }
}

/// Guards against treating a full queue as full for every rank: the gate evicts the lowest ranks, so higher ones may still be admitted.
TEST(Router, FullQueueThatRefusedALowRankAcceptsHigherOnes)
{
    TimePoint now{1h};
    Random random(1);
    Router router(now, {.zone = 0, .region = 0});
    router.setCandidates(now, makeCandidates());
    const Rank low{lowestRank(RequestClass::Lookup).value + 100};
    const Rank high{lowestRank(RequestClass::Lookup).value + 100'000};
    for (std::uint64_t n = 1; n <= 2; ++n) {
        router.onSent(now, {n}, 1);
        router.onResult(now, {n}, {.rank = low, .latency = 5ms, .outcome = Outcome::NotRun, .reason = Reason::QueueFull});
    }
    const auto lowNode = router.choose(now + 1ms, random, {.rank = low}).node;
    ASSERT_TRUE(lowNode.isValid());
    EXPECT_NE(regionOf(lowNode), 0U);
    EXPECT_EQ(regionOf(router.choose(now + 1ms, random, {.rank = high}).node), 0U);
}

/// Guards against cross-region traffic without effect: a call refused by its whole region isn't sent to regions that refuse its rank too.
TEST(Router, RefusedCallDoesNotSpillToRegionsThatRefuseIt)
{
    TimePoint now{1h};
    Random random(1);
    Router router(now, {.zone = 0, .region = 0});
    router.setCandidates(now, makeCandidates());
    const Rank low{lowestRank(RequestClass::Lookup).value + 100};
    for (std::uint64_t n = 1; n <= 6; ++n) {
        router.onSent(now, {n}, 1);
        router.onResult(now, {n},
                        {.rank = low,
                         .latency = 5ms,
                         .outcome = Outcome::NotRun,
                         .reason = Reason::QueueFull,
                         .level = Level{lowestRank(RequestClass::Lookup).value + 1000}});
    }
    const std::array<NodeId, 2> tried{NodeId{1}, NodeId{2}};
    const RouteRequest request{.rank = low, .isRootAdmitted = true};
    EXPECT_EQ(router.choose(now + 1ms, random, request, tried).refusal, Reason::LimitReached);
    // Two upstreams of another region admit the rank again.
    for (const std::uint64_t n : {3, 4}) {
        router.onSent(now, {n}, 1);
        router.onResult(now + 2s, {n}, {.rank = low, .latency = 5ms, .level = Level{}});
    }
    EXPECT_EQ(regionOf(router.choose(now + 2s, random, request, tried).node), 1U);
}

// Load pattern: a service of more upstreams than a router holds, in one zone; each node must not see the same 64 of them.
TEST(Router, SubsetsSpreadOverAllUpstreamsOfALargeService)
{
    constexpr std::size_t kUpstreams = 200;
    constexpr std::size_t kNodes = 196;
    std::vector<Candidate> candidates(kUpstreams);
    for (std::size_t n = 0; n < kUpstreams; ++n) {
        candidates[n].node = NodeId{n + 1};
    }
    const auto subsetOf = [](std::uint64_t key, const std::vector<Candidate> &all) {
        Router router(TimePoint{1h}, RouterOptions{.subsetKey = key});
        router.setCandidates(TimePoint{1h}, all);
        std::vector<CandidateView> views(Router::kMaxCandidates);
        views.resize(router.explain(TimePoint{1h}, views));
        std::set<std::uint64_t> nodes;
        for (const auto &it : views) {
            nodes.insert(it.node.value);
        }
        return nodes;
    };
    std::vector<std::size_t> users(kUpstreams + 1);
    std::size_t moved = 0;
    const std::vector<Candidate> withoutOne(candidates.begin() + 1, candidates.end());
    for (std::uint64_t key = 1; key <= kNodes; ++key) {
        const auto before = subsetOf(key * 7919, candidates);
        const auto after = subsetOf(key * 7919, withoutOne);
        for (const auto it : before) {
            ++users[it];
            moved += after.contains(it) ? 0 : 1;
        }
    }
    const auto mean = static_cast<double>(kNodes * Router::kMaxCandidates) / kUpstreams;
    for (std::size_t n = 1; n <= kUpstreams; ++n) {
        EXPECT_GT(static_cast<double>(users[n]), mean / 2) << n;
        EXPECT_LT(static_cast<double>(users[n]), mean * 2) << n;
    }
    // Only the upstream that left has gone from the subsets.
    EXPECT_EQ(moved, users[1]);
}

TEST(Router, SendsLessToAnUpstreamThatLimitsItsRequests)
{
    TimePoint now{};
    Random random(1);
    Router router(now, RouterOptions{.zone = 0, .region = 0});
    const std::vector<Candidate> candidates{{.node = {1}, .zone = 0, .region = 0, .slots = 36},
                                            {.node = {2}, .zone = 0, .region = 0, .slots = 36}};
    router.setCandidates(now, candidates);
    constexpr int kCalls = 2000;
    constexpr Duration kLatency = 100ms;
    std::map<std::uint64_t, int> sent;
    std::deque<std::pair<TimePoint, NodeId>> open;
    for (int n = 0; n < kCalls; ++n) {
        now += 5ms;
        while (!open.empty() && now - open.front().first >= kLatency) {
            const auto node = open.front().second;
            router.onResult(now, node,
                            {.latency = kLatency, .level = Level{}, .rateLimit = node.value == 1 ? std::optional(20.0) : std::nullopt});
            open.pop_front();
        }
        const auto decision = router.choose(now, random, {});
        ASSERT_TRUE(decision.node.isValid());
        router.onSent(now, decision.node, 0);
        open.emplace_back(now, decision.node);
        ++sent[decision.node.value];
    }
    // Both have the same latency and slots; the limit alone tells them apart.
    EXPECT_LT(sent[1], kCalls / 5);
    EXPECT_GT(sent[1], 0);
}
