/// @file
/// Tests of route tables: match by the longest prefix, weighted distribution, latency objectives, and stale versions.

#include <chicoryspar/config.h>

#include <map>

#include <gtest/gtest.h>

using namespace chicoryspar;
using namespace std::chrono_literals;

namespace {

std::string makeTable(std::uint64_t version, const std::string &routes)
{
    return R"({"apiVersion":"chicoryspar.io/v1","kind":"RouteTable","metadata":{"name":"main","resourceVersion":")"
        + std::to_string(version) + R"("},"spec":{"routes":[)" + routes
        + R"(],"services":[{"name":"orders","healthPath":"/h","maxConnections":7}]}})";
}

std::string makeRoute(const std::string &prefix, const std::string &backends, int targetMs = 1000, int priority = 2)
{
    return R"({"name":"r)" + prefix + R"(","host":"a.example","pathPrefix":")" + prefix + R"(","backends":[)" + backends
        + R"(],"idempotent":true,"timeoutMs":800,"latencyObjectiveMs":)" + std::to_string(targetMs) + R"(,"priority":)"
        + std::to_string(priority) + R"(,"maxAttempts":2})";
}

const std::string kOrders = R"({"service":"orders","weight":1})";
const std::string kRounds = R"({"service":"rounds","weight":1})";

} // namespace

TEST(RouteTable, LongestPathPrefixOfTheHostMatches)
{
    ConfigSet set;
    EXPECT_FALSE(set.hasRoutes());
    const auto table = makeTable(5, makeRoute("/a/", kOrders) + "," + makeRoute("/a/b/", kRounds));
    ASSERT_EQ(set.applyParsed(TimePoint(), parseObject(table)), ApplyResult::InForce);
    EXPECT_TRUE(set.hasRoutes());
    ASSERT_TRUE(set.findRoute("a.example", "/a/x"));
    EXPECT_EQ(set.findRoute("a.example", "/a/x")->backends.front().service, "orders");
    EXPECT_EQ(set.findRoute("a.example", "/a/b/x")->backends.front().service, "rounds");
    EXPECT_EQ(set.findRoute("a.example", "/c/"), nullptr);
    EXPECT_EQ(set.findRoute("b.example", "/a/"), nullptr);
    ASSERT_TRUE(set.findRoutedService("orders"));
    EXPECT_EQ(set.findRoutedService("orders")->maxConnections, 7U);
}

TEST(RouteTable, OlderVersionIsStale)
{
    ConfigSet set;
    set.applyParsed(TimePoint(), parseObject(makeTable(9, makeRoute("/a/", kRounds))));
    EXPECT_EQ(set.applyParsed(TimePoint(), parseObject(makeTable(8, makeRoute("/a/", kOrders)))), ApplyResult::Stale);
    EXPECT_EQ(set.findRoute("a.example", "/a/")->backends.front().service, "rounds");
}

// The index of routes points into objects of the set; a copy must keep them alive after the original is destroyed.
TEST(RouteTable, CopyOfTheSetKeepsItsRoutes)
{
    ConfigSet copy;
    {
        ConfigSet set;
        set.applyParsed(TimePoint(), parseObject(makeTable(1, makeRoute("/a/", kOrders))));
        copy = set;
    }
    ASSERT_TRUE(copy.findRoute("a.example", "/a/"));
    EXPECT_EQ(copy.findRoute("a.example", "/a/")->timeout, 800ms);
}

// One route that can't be used held back the whole table.
TEST(RouteTable, AnUnusableRouteIsLeftOutByItselfAndAllFindingsAreReported)
{
    ConfigSet set;
    set.applyParsed(TimePoint(), parseObject(makeTable(1, makeRoute("/a/", kOrders) + "," + makeRoute("/old/", kOrders))));
    const auto broken = makeRoute("a", kOrders) + R"(,{"host":""},)" + makeRoute("/a/b/", R"({"service":"x","weight":0})") + ","
        + makeRoute("/a/c/", R"({"service":"x","weight":"much"})") + "," + makeRoute("/a/d/", R"({"weight":1})");
    const auto parsed = parseObject(makeTable(2, makeRoute("/a/", kRounds) + "," + broken));
    EXPECT_GE(parsed.unusedParts.size(), 5U);
    ASSERT_EQ(set.applyParsed(TimePoint(), parsed), ApplyResult::InForce);
    EXPECT_EQ(set.findRoute("a.example", "/old/"), nullptr);
    ASSERT_TRUE(set.findRoute("a.example", "/a/"));
    EXPECT_TRUE(set.findRoute("a.example", "/a/")->isUsable);
    EXPECT_EQ(set.findRoute("a.example", "/a/")->backends.front().service, "rounds");
    // The requests of an unusable route don't go to the service of the route around it.
    for (const auto *it : {"/a/b/x", "/a/c/x", "/a/d/x"}) {
        ASSERT_TRUE(set.findRoute("a.example", it)) << it;
        EXPECT_FALSE(set.findRoute("a.example", it)->isUsable) << it;
    }
    EXPECT_FALSE(set.knowsAllRoutes());
    set.applyParsed(TimePoint(), parseObject(makeTable(3, makeRoute("/a/", kRounds))));
    EXPECT_TRUE(set.knowsAllRoutes());
    EXPECT_TRUE(set.unusedParts().empty());
}

TEST(RouteTable, NumbersBeyondTheRangeOfTheNodeAreClampedAndWeightsMayBeFractions)
{
    ConfigSet set;
    std::string backends;
    for (std::size_t n = 0; n < 300; ++n) {
        backends += (n > 0 ? "," : "") + (R"({"service":"s)" + std::to_string(n) + R"(","weight":0.25})");
    }
    auto route = makeRoute("/a/", backends + R"(,{"service":"orders","weight":5000000})", 1000, 70'000);
    route.insert(1, R"("more":7,)");
    route.replace(route.find("800"), 3, "86400000");
    route.replace(route.rfind("2}"), 1, "99");
    ASSERT_EQ(set.applyParsed(TimePoint(), parseObject(makeTable(1, route))), ApplyResult::InForce);
    const auto *it = set.findRoute("a.example", "/a/");
    ASSERT_TRUE(it && it->isUsable) << toString(set.unusedParts());
    EXPECT_EQ(it->backends.size(), 301U);
    EXPECT_EQ(it->timeout, 24h);
    EXPECT_EQ(it->priority, 70'000U);
    EXPECT_EQ(it->maxAttempts, 99U);
    EXPECT_TRUE(set.unusedParts().empty());
}

TEST(RouteTable, ShortestLatencyObjectiveCoversAllRoutesOfAService)
{
    ConfigSet set;
    set.applyParsed(TimePoint(), parseObject(makeTable(1, makeRoute("/a/", kOrders, 900) + "," + makeRoute("/b/", kOrders, 300))));
    EXPECT_EQ(set.shortestLatencyObjective("orders"), Duration(300ms));
    EXPECT_EQ(set.shortestLatencyObjective("rounds"), std::nullopt);
}

TEST(RouteTable, PriorityDeterminesTheRequestClass)
{
    EXPECT_EQ(RouteSpec{.priority = 0}.requestClass(), RequestClass::Order);
    EXPECT_EQ(RouteSpec{.priority = 1}.requestClass(), RequestClass::Standard);
    EXPECT_EQ(RouteSpec{.priority = 9}.requestClass(), RequestClass::Lookup);
}

TEST(RouteWeights, EachServiceGetsItsShareInEveryRunOfRequests)
{
    WeightedRoundRobin weights;
    const RouteSpec route{.name = "r", .backends = {{"a", 70}, {"b", 25}, {"c", 5}}};
    std::map<std::string, int> counts;
    for (int n = 1; n <= 200; ++n) {
        ++counts[weights.pick(route)];
        for (const auto &it : route.backends) {
            EXPECT_NEAR(counts[it.service], n * it.weight / 100.0, 1.01) << it.service << " after " << n;
        }
    }
}

TEST(RouteWeights, ServiceWithWeightZeroGetsNoRequests)
{
    WeightedRoundRobin weights;
    const RouteSpec route{.name = "r", .backends = {{"a", 1}, {"b", 0}}};
    for (int n = 0; n < 50; ++n) {
        EXPECT_EQ(weights.pick(route), "a");
    }
}
