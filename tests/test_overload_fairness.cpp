/// @file
/// Shares of customers and of kinds of requests when a service is full, replayed without a network: clients, entry nodes with their level
/// caches, and the gate of one service.

#include <chicoryspar/overload.h>

#include <cmath>
#include <cstdio>
#include <map>
#include <numeric>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "overload/fair_share.h"
#include "overload/group_level_cache.h"

using namespace chicoryspar;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kCustomers = 85;
constexpr std::size_t kKinds = 3;
constexpr std::size_t kEntryNodes = 8;
constexpr std::uint32_t kSlots = 60;
constexpr Duration kServiceTime = 30ms;
constexpr double kCapacityPerSecond = kSlots * 1e6 / static_cast<double>(kServiceTime.count());
constexpr double kZipfExponent = 1.2;
constexpr double kUsualUse = 1 / 1.6;
constexpr Duration kStep = 1ms;

struct Counts
{
    double offered = 0;
    double served = 0;

    double share() const
    {
        return offered > 0 ? served / offered : 0;
    }
};

/// How requests are ranked.
enum class Ranking {
    /// By class and the priority of the route.
    Priorities,
    /// Also by labels and minimum shares.
    FairShares,
};

struct Customer
{
    /// Requests per second, and the share of the limit that they use.
    double rate = 0;
    double use = kUsualUse;
    RequestClass requestClass = RequestClass::Standard;
    Counts counts;
};

/// Customers, of which one may send more than usual, before entry nodes and the gate of one service.
class Site
{
public:
    explicit Site(Ranking ranking)
        : m_ranking(ranking)
        , m_random(20261206)
        , m_gate(m_now,
                 GateOptions{.maxLimit = kSlots, .slots = kSlots, .maxQueueDelay = 30ms, .coldStart = Duration{0}, .hasManyGroups = true})
        , m_caches(kEntryNodes)
        , customers(kCustomers)
    {
        for (std::size_t n = 0; n < kCustomers; ++n) {
            customers[n].rate = std::pow(static_cast<double>(n + 1), -kZipfExponent);
        }
    }

    /// Sets the total rate to @a load times the capacity.
    void scaleTo(double load)
    {
        const auto sum = std::accumulate(customers.begin(), customers.end(), 0.0, [](double n, const Customer &it) { return n + it.rate; });
        for (auto &it : customers) {
            it.rate *= load * kCapacityPerSecond / sum;
        }
    }

    void run(Duration duration)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += kStep) {
            for (std::size_t n = 0; n < kCustomers; ++n) {
                const auto expected = customers[n].rate * std::chrono::duration<double>(kStep).count();
                for (auto left = expected; left > 0; left -= 1) {
                    if (drawUnit(m_random) < left) {
                        arrive(n);
                    }
                }
            }
            while (!m_running.empty() && m_running.begin()->first <= m_now) {
                m_gate.finish(m_now, m_running.begin()->second, kServiceTime, GateResult::Success);
                m_running.erase(m_running.begin());
            }
            poll();
        }
    }

    /// Starts counting anew.
    void resetCounts()
    {
        for (auto &it : customers) {
            it.counts = {};
        }
        kinds = {};
    }

    Counts total() const
    {
        Counts sum;
        for (const auto &it : customers) {
            sum.offered += it.counts.offered;
            sum.served += it.counts.served;
        }
        return sum;
    }

private:
    struct Request
    {
        std::size_t customer = 0;
        std::size_t kind = 0;
        std::size_t entry = 0;
    };

    std::size_t drawKind()
    {
        const auto sum = std::accumulate(kindWeights.begin(), kindWeights.end(), 0.0);
        auto left = drawUnit(m_random) * sum;
        std::size_t kind = 0;
        while (kind + 1 < kKinds && left >= kindWeights.at(kind)) {
            left -= kindWeights.at(kind);
            ++kind;
        }
        return kind;
    }

    void arrive(std::size_t n)
    {
        Request request{.customer = n, .kind = drawKind(), .entry = drawBelow(m_random, kEntryNodes)};
        auto &customer = customers[n];
        CallContext context;
        context.root = {m_random(), m_random()};
        context.ranksAsRoot = true;
        context.remaining = 2s;
        if (m_ranking == Ranking::FairShares) {
            const auto rank =
                customerRank(customer.requestClass, routePriorities.at(request.kind), customer.use, labelHashOf(context.root));
            context.requestClass = rank.requestClass;
            context.importance = rank.importance;
        } else {
            context.requestClass = customer.requestClass;
            context.importance = customerImportance(routePriorities.at(request.kind), 0);
        }
        ++customer.counts.offered;
        ++kinds.at(request.kind).offered;
        if (!m_caches.at(request.entry).admit(m_now, request.kind + 1, makeRank(context))) {
            return;
        }
        const auto ticket = ++m_lastTicket;
        m_requests[ticket] = request;
        context.depth = 1;
        auto gateRequest = makeGateRequest(m_now, ticket, context);
        gateRequest.isRootAdmitted = false;
        applyDecision(m_gate.offer(m_now, gateRequest));
        poll();
    }

    void applyDecision(const GateDecision &decision)
    {
        if (decision.verdict == GateVerdict::Queued) {
            return;
        }
        const auto request = m_requests.at(decision.ticket);
        m_requests.erase(decision.ticket);
        m_caches.at(request.entry).record(m_now, request.kind + 1, m_gate.level());
        if (decision.verdict == GateVerdict::Admitted) {
            m_running.emplace(m_now + kServiceTime, decision.ticket);
            ++customers[request.customer].counts.served;
            ++kinds.at(request.kind).served;
        }
    }

    void poll()
    {
        std::array<GateDecision, 64> decisions;
        while (const auto n = m_gate.poll(m_now, decisions)) {
            for (std::size_t i = 0; i < n; ++i) {
                applyDecision(decisions.at(i));
            }
        }
    }

    Ranking m_ranking;
    TimePoint m_now{1h};
    Random m_random;
    Gate m_gate;
    std::vector<GroupLevelCache> m_caches;
    std::uint64_t m_lastTicket = 0;
    std::map<std::uint64_t, Request> m_requests;
    std::multimap<TimePoint, std::uint64_t> m_running;

public:
    std::vector<Customer> customers;
    std::array<Counts, kKinds> kinds{};
    /// Priorities of the routes of the kinds.
    std::array<std::uint32_t, kKinds> routePriorities{0, 1, 2};
    /// Relative rates of the kinds.
    std::array<double, kKinds> kindWeights{1, 1, 1};
};

constexpr std::size_t kHotCustomer = 1;

/// One of the large customers sends six times its usual rate, of which its limit lets 1.6 times pass; the service gets 1.3 times what it
/// can do.
Site runHotCustomer(Ranking ranking, const std::array<std::uint32_t, kKinds> &routePriorities)
{
    Site site(ranking);
    site.routePriorities = routePriorities;
    site.customers[kHotCustomer].rate *= 1.6;
    site.customers[kHotCustomer].use = 1;
    site.scaleTo(1.3);
    site.run(3s);
    site.resetCounts();
    site.run(60s);
    return site;
}

/// Served share of all customers but the hot one.
double otherShare(const Site &site)
{
    auto sum = site.total();
    sum.offered -= site.customers[kHotCustomer].counts.offered;
    sum.served -= site.customers[kHotCustomer].counts.served;
    return sum.share();
}

/// Returns the lowest served share of a customer with enough requests for a share, relative to the mean.
double lowestShare(const Site &site)
{
    constexpr double kMinOffered = 100;
    double lowest = 1;
    for (const auto &it : site.customers) {
        if (it.counts.offered >= kMinOffered) {
            lowest = std::min(lowest, it.counts.share() / site.total().share());
        }
    }
    for (const auto &it : site.kinds) {
        lowest = std::min(lowest, it.share() / site.total().share());
    }
    return lowest;
}

} // namespace

/// Guards against labels that refuse ordinary customers: at their usual use few requests reach the step above 0.5 of the limit and none
/// reach those above 0.7, while the excess of a customer at its limit lies there.
TEST(FairShare, LabelsSeparateTheExcessOfACustomer)
{
    Random random(3);
    std::array<int, kLabelSteps> usual{};
    std::array<int, kLabelSteps> full{};
    constexpr int kDraws = 100'000;
    for (int n = 0; n < kDraws; ++n) {
        const auto hash = labelHashOf({random(), random()});
        ++usual.at(labelStep(kUsualUse, hash));
        ++full.at(labelStep(1, hash));
        EXPECT_EQ(labelStep(0, hash), 0);
    }
    EXPECT_EQ(usual[3] + usual[4], 0);
    EXPECT_NEAR(usual[2], 0.2 * kDraws, 0.01 * kDraws);
    EXPECT_NEAR(full[3] + full[4], 0.3 * kDraws, 0.01 * kDraws);
    EXPECT_EQ(labelStep(6, ~0ULL), kLabelSteps - 1);
    EXPECT_EQ(labelStep(std::nan(""), ~0ULL), 0);
}

TEST(FairShare, ImportanceFollowsRoutePriorityThenLabel)
{
    EXPECT_EQ(customerImportance(0, 0), 14);
    EXPECT_EQ(customerImportance(0, 4), 10);
    EXPECT_EQ(customerImportance(1, 0), 9);
    EXPECT_EQ(customerImportance(2, 4), 0);
    EXPECT_EQ(customerImportance(7, 9), 0);
}

/// Guards against hops that rank a root request differently, and against a request that is ranked below its own class.
RC_GTEST_PROP(FairShare, IsNeverBelowTheOwnClass, (std::uint64_t high, std::uint64_t low))
{
    const auto hash = labelHashOf({high, low});
    for (const auto it : {RequestClass::Lookup, RequestClass::Standard, RequestClass::Order}) {
        const auto rank = customerRank(it, 1, 1, hash);
        RC_ASSERT(rank.requestClass >= it);
        RC_ASSERT(rank == customerRank(it, 1, 1, labelHashOf({high, low})));
    }
}

/// Load: one customer sends six times its usual rate and a service gets 1.3 times what it can do. Guards against other customers paying for
/// it.
TEST(FairShare, TheExcessOfOneCustomerCostsTheOthersLess)
{
    struct Case
    {
        std::array<std::uint32_t, kKinds> routePriorities;
        double minGain = 0;
    };
    // Between routes of different priorities the priority decides before the label, so only the lowest one's excess is refused first.
    for (const auto &it : {Case{{1, 1, 1}, 0.03}, Case{{0, 1, 2}, 0.005}}) {
        const auto without = runHotCustomer(Ranking::Priorities, it.routePriorities);
        const auto with = runHotCustomer(Ranking::FairShares, it.routePriorities);
        std::printf("others served: %.3f without labels, %.3f with; customer with the excess: %.3f, %.3f; lowest share of the mean: %.3f, "
                    "%.3f; total: %.3f, %.3f\n",
                    otherShare(without), otherShare(with), without.customers[kHotCustomer].counts.share(),
                    with.customers[kHotCustomer].counts.share(), lowestShare(without), lowestShare(with), without.total().share(),
                    with.total().share());
        EXPECT_GT(otherShare(with), otherShare(without) + it.minGain);
        EXPECT_GE(lowestShare(with), 0.25);
        EXPECT_GE(with.total().share(), without.total().share() - 0.02);
    }
}

/// Load: a burst, and a backend server that has become slow, for a service with customers of all priorities. Guards against a customer or a
/// kind of request that is refused completely while others are served.
TEST(FairShare, NoCustomerAndNoKindIsRefusedCompletely)
{
    for (const double load : {1.3, 1.7, 2.6, 4.0, 8.0}) {
        for (const auto ranking : {Ranking::Priorities, Ranking::FairShares}) {
            Site site(ranking);
            for (std::size_t n = 0; n < kCustomers; ++n) {
                site.customers[n].requestClass = static_cast<RequestClass>((n + 1) % 3);
            }
            site.scaleTo(load);
            site.run(3s);
            site.resetCounts();
            site.run(60s);
            std::array<Counts, 3> classes{};
            for (const auto &it : site.customers) {
                auto &counts = classes.at(static_cast<std::size_t>(it.requestClass));
                counts.offered += it.counts.offered;
                counts.served += it.counts.served;
            }
            std::printf("load %.1f, %s: served %.3f; classes %.3f %.3f %.3f; kinds %.3f %.3f %.3f; lowest share of the mean %.3f\n", load,
                        ranking == Ranking::Priorities ? "priorities" : "fair shares", site.total().share(), classes[0].share(),
                        classes[1].share(), classes[2].share(), site.kinds[0].share(), site.kinds[1].share(), site.kinds[2].share(),
                        lowestShare(site));
            if (ranking == Ranking::FairShares) {
                EXPECT_GE(lowestShare(site), 0.25) << "at a load of " << load;
                EXPECT_GE(classes[2].share(), classes[0].share()) << "at a load of " << load;
            }
        }
    }
}

/// Load: a burst of one kind of request. Guards against one kind that starves the others, whichever it is.
TEST(FairShare, ABurstOfOneKindLeavesTheOthersTheirShare)
{
    for (std::size_t kind = 0; kind < kKinds; ++kind) {
        Site site(Ranking::FairShares);
        site.kindWeights.at(kind) = 6;
        site.scaleTo(0.65 * 8 / 3);
        site.run(3s);
        site.resetCounts();
        site.run(7s);
        const auto mean = site.total().share();
        std::printf("burst of kind %zu: served %.3f; kinds %.3f %.3f %.3f\n", kind, mean, site.kinds[0].share(), site.kinds[1].share(),
                    site.kinds[2].share());
        for (std::size_t n = 0; n < kKinds; ++n) {
            EXPECT_GE(site.kinds.at(n).share(), 0.25 * mean);
            if (n < kind) {
                EXPECT_GE(site.kinds.at(n).share(), 0.95) << "kinds of higher priority aren't affected";
            }
        }
    }
}

/// Load: the end of a burst. Guards against groups that stay refused because their rates are still taken for those of the burst: with many
/// groups, most of them aren't seen while the level is above them.
TEST(FairShare, AllGroupsAreAdmittedSoonAfterABurst)
{
    for (const auto ranking : {Ranking::Priorities, Ranking::FairShares}) {
        Site site(ranking);
        for (std::size_t n = 0; n < kCustomers; ++n) {
            site.customers[n].requestClass = static_cast<RequestClass>((n + 1) % 3);
            site.customers[n].use = 1;
        }
        site.scaleTo(2.6);
        site.run(5s);
        site.scaleTo(0.65);
        site.run(2s);
        site.resetCounts();
        site.run(1s);
        std::printf("third second after a burst: served %.3f\n", site.total().share());
        EXPECT_GE(site.total().share(), 0.98);
    }
}

/// Guards against an answer to one group of calls that tells nothing about the others: few answers come for each.
TEST(GroupLevelCache, ALevelDecidesForAllGroups)
{
    GroupLevelCache cache;
    const TimePoint now{1h};
    const auto rankOf = [](RequestClass requestClass, std::uint8_t importance, std::uint64_t root) {
        return makeRank({.root = {root, root}, .requestClass = requestClass, .importance = importance});
    };
    const Level level{rankOf(RequestClass::Standard, 7, 1).value};
    cache.record(now, 5, level);
    EXPECT_TRUE(cache.admit(now, 5, rankOf(RequestClass::Standard, 8, 2)));
    EXPECT_TRUE(cache.admit(now, 5, rankOf(RequestClass::Order, 0, 2)));
    EXPECT_FALSE(cache.admit(now, 5, rankOf(RequestClass::Standard, 6, 2)));
    EXPECT_FALSE(cache.admit(now, 5, rankOf(RequestClass::Lookup, 15, 2)));
    EXPECT_TRUE(cache.admit(now, 6, rankOf(RequestClass::Lookup, 0, 2)));
    EXPECT_EQ(cache.latest(now + 1s, 5), level);
    EXPECT_TRUE(cache.admit(now + 1s, 5, rankOf(RequestClass::Lookup, 15, 2))) << "one probe";
    EXPECT_FALSE(cache.admit(now + 1s, 5, rankOf(RequestClass::Lookup, 15, 2)));
    EXPECT_TRUE(cache.admit(now + 3s, 5, rankOf(RequestClass::Lookup, 0, 2)));
    EXPECT_EQ(cache.latest(now + 3s, 5), Level{});
}

/// Guards against memory that grows with the routes: the cache is allocated once.
TEST(GroupLevelCache, HasAFixedSize)
{
    GroupLevelCache cache;
    const auto bytes = cache.bytes();
    for (std::uint64_t n = 0; n < 10'000; ++n) {
        cache.record(TimePoint{1h} + Duration(static_cast<std::int64_t>(n)), n, Level{1});
    }
    EXPECT_EQ(cache.bytes(), bytes);
    EXPECT_LE(bytes, 48U * 1024);
}
