/// @file
/// Tests of the repeat budget of gates: its bound over all gates, which roots get its tokens, and what the services below allow.

#include <chicoryspar/overload.h>

#include <deque>
#include <numeric>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "overload/rank_layout.h"

using namespace chicoryspar;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{1h};
constexpr double kRatio = 0.2;
constexpr double kExtra = 114;
constexpr Duration kWindow = 10s;

RepeatBudgetOptions optionsFor(std::size_t gates)
{
    return {.ratio = kRatio, .extra = kExtra, .gates = static_cast<std::uint32_t>(gates)};
}

/// Returns a budget of one of @a gates gates, to which @a rate first arrivals per second came until @a now.
RepeatBudget makeBudget(TimePoint now, std::size_t gates, int rate)
{
    RepeatBudget budget(now - 11min);
    for (auto at = now - 21s; at < now; at += 100ms) {
        budget.configure(at, optionsFor(gates));
        for (int n = 0; n < rate / 10; ++n) {
            budget.onFirstArrival(at);
        }
    }
    budget.configure(now, optionsFor(gates));
    return budget;
}

// Calls of roots to one service

enum class TokenOrder { None, Random, Rank };

struct Load
{
    double rootsPerMs = 1.4;
    int callsPerRoot = 4;
    Duration length = 8500ms;
    /// Share of the arrivals that fail, by gate.
    std::vector<double> failures;
    std::size_t senders = 80;
    /// Whether a failed arrival may have run, as a lost answer, instead of being rejected.
    bool isUnknown = false;
};

/// Runs roots whose calls follow each other, each with at most two attempts, over real routers and budgets.
class ServiceModel
{
public:
    ServiceModel(const Load &load, TokenOrder order)
        : m_load(load)
        , m_order(order)
        , m_budgets(load.failures.size(),
                    makeBudget(kStart, load.failures.size(),
                               static_cast<int>(load.rootsPerMs * 1000 * load.callsPerRoot / static_cast<double>(load.failures.size()))))
    {
        std::vector<Candidate> candidates;
        for (std::size_t n = 0; n < m_budgets.size(); ++n) {
            candidates.push_back({.node = {n + 1}, .slots = 100});
        }
        for (std::size_t n = 0; n < load.senders; ++n) {
            m_routers.emplace_back(kStart, RouterOptions{}).setCandidates(kStart, candidates);
        }
    }

    /// Returns the share of the roots all of whose calls succeeded.
    double run()
    {
        double due = 0;
        std::vector<Root> roots;
        for (auto now = kStart; now < kStart + m_load.length; now += 1ms) {
            for (due += m_load.rootsPerMs; due >= 1; due -= 1) {
                roots.push_back({.rank = {static_cast<std::uint32_t>(drawBelow(m_random, kHashSpan))},
                                 .router = &m_routers[drawBelow(m_random, m_routers.size())]});
            }
            std::erase_if(roots, [&](Root &root) { return advance(now, root); });
        }
        return static_cast<double>(m_succeeded) / static_cast<double>(m_ended);
    }

    std::uint64_t firsts = 0;
    std::uint64_t repeats = 0;

private:
    struct Root
    {
        Rank rank;
        Router *router = nullptr;
        int callsDone = 0;
    };

    bool attempt(TimePoint now, const Root &root, std::vector<NodeId> &tried)
    {
        const bool isRepeat = !tried.empty();
        // First attempts are spread evenly, so that only the repeats make up for the failing gates.
        const auto node = isRepeat ? root.router->choose(now, m_random, {.rank = root.rank, .isRepeat = true}, tried).node
                                   : NodeId{1 + drawBelow(m_random, m_budgets.size())};
        tried.push_back(node);
        const bool isDispatched = !isRepeat || takeRepeat(now, root, m_budgets[node.value - 1]);
        if (!isRepeat) {
            m_budgets[node.value - 1].onFirstArrival(now);
            ++firsts;
        }
        const bool isSuccess = isDispatched && drawUnit(m_random) >= m_load.failures[node.value - 1];
        RouteResult result{.rank = root.rank, .latency = 1ms, .isRepeat = isRepeat};
        if (!isSuccess) {
            result.outcome = isDispatched && m_load.isUnknown ? Outcome::Unknown : Outcome::NotRun;
            result.reason = isDispatched ? Reason::None : Reason::RetryBudgetSpent;
        }
        root.router->onSent(now, node);
        root.router->onResult(now + 1ms, node, result);
        return isSuccess;
    }

    bool takeRepeat(TimePoint now, const Root &root, RepeatBudget &budget)
    {
        const Rank rank = m_order == TokenOrder::Rank ? root.rank : Rank{static_cast<std::uint32_t>(drawBelow(m_random, kHashSpan))};
        const bool isTaken = m_order != TokenOrder::None && budget.takeRepeat(now, {.rank = rank});
        repeats += isTaken ? 1 : 0;
        return isTaken;
    }

    /// Makes the next call of @a root. Returns whether the root has ended.
    bool advance(TimePoint now, Root &root)
    {
        std::vector<NodeId> tried;
        const bool isSuccess = attempt(now, root, tried) || attempt(now, root, tried);
        root.callsDone += isSuccess ? 1 : 0;
        const bool isEnded = !isSuccess || root.callsDone == m_load.callsPerRoot;
        m_ended += isEnded ? 1 : 0;
        m_succeeded += isEnded && isSuccess ? 1 : 0;
        return isEnded;
    }

    const Load m_load;
    const TokenOrder m_order;
    Random m_random{1};
    std::vector<RepeatBudget> m_budgets;
    std::deque<Router> m_routers;
    std::uint64_t m_ended = 0;
    std::uint64_t m_succeeded = 0;
};

} // namespace

// Of some 20,000 retries that the bound allowed, senders with a part each made 1,250 while 40 % of the gates lost 40 % of their answers.
TEST(RepeatLoads, ThreeQuartersOfRootsSucceedWhereGatesLoseAnswers)
{
    const Load load{.rootsPerMs = 9.5 / 4, .length = 4s, .failures = {0.4, 0.4, 0.16, 0, 0, 0}, .isUnknown = true};
    const auto without = ServiceModel(load, TokenOrder::None).run();
    ServiceModel model(load, TokenOrder::Rank);
    const auto share = model.run();
    std::printf("lost answers: roots %.3f, without repeats %.3f, repeats per first %.3f\n", share, without,
                static_cast<double>(model.repeats) / static_cast<double>(model.firsts));
    EXPECT_LT(without, 0.55);
    EXPECT_GE(share, 0.75);
}

// Tokens given to whichever call asks first repeat single calls of many roots, whose other calls then fail.
TEST(RepeatLoads, RankOrderServesMoreRootsThanRandomTokens)
{
    for (const int calls : {4, 8}) {
        // Ten times the roots of the load, so that chance decides nothing.
        const Load load{.rootsPerMs = 14, .callsPerRoot = calls, .failures = std::vector<double>(6, 0.55)};
        const auto none = ServiceModel(load, TokenOrder::None).run();
        const auto random = ServiceModel(load, TokenOrder::Random).run();
        ServiceModel model(load, TokenOrder::Rank);
        const auto rank = model.run();
        std::printf("rejections, %d calls: by rank %.4f, random %.4f, none %.4f, repeats per first %.3f\n", calls, rank, random, none,
                    static_cast<double>(model.repeats) / static_cast<double>(model.firsts));
        EXPECT_GT(random, none);
        EXPECT_GT(rank, random * 1.05);
        // Tokens must not expire unused while repeats are refused.
        EXPECT_GT(static_cast<double>(model.repeats), kRatio * static_cast<double>(model.firsts) * 0.95);
    }
}

namespace {

/// Gates of one service whose number changes, with views of each other that lag behind, and the dispatches of all of them.
class Fleet
{
public:
    /// Gates with @a rate first arrivals per second each.
    Fleet(std::size_t gates, int rate)
    {
        for (std::size_t n = 0; n < gates; ++n) {
            m_gates.push_back({.budget = makeBudget(m_now, gates, rate), .view = gates});
        }
        for (auto at = m_now - 21s; at < m_now; at += 100ms) {
            m_log.push_back({at, gates * static_cast<std::size_t>(rate / 10), 0});
        }
    }

    std::size_t size() const
    {
        return m_gates.size();
    }

    void arrive(std::size_t gate, std::size_t firsts, std::size_t repeats)
    {
        auto &budget = at(gate).budget;
        std::size_t taken = 0;
        for (std::size_t n = 0; n < std::max(firsts, repeats); ++n) {
            if (n < firsts) {
                budget.onFirstArrival(m_now);
            }
            const Rank rank{static_cast<std::uint32_t>(n * 7919 % kHashSpan)};
            taken += n < repeats && budget.takeRepeat(m_now, {.rank = rank, .isDescendant = n % 3 != 0}) ? 1 : 0;
        }
        m_log.push_back({m_now, firsts, taken});
    }

    void restart(std::size_t gate)
    {
        at(gate) = {.budget = RepeatBudget(m_now), .part = at(gate).part};
        at(gate).budget.configure(m_now, optionsFor(1));
    }

    void join()
    {
        m_gates.push_back({.budget = RepeatBudget(m_now)});
        m_gates.back().budget.configure(m_now, optionsFor(1));
    }

    void lose(std::size_t gate)
    {
        if (m_gates.size() > 1) {
            m_gates.erase(m_gates.begin() + static_cast<std::ptrdiff_t>(gate % m_gates.size()));
        }
    }

    /// Moves a gate to the other side of a partition.
    void cutOff(std::size_t gate)
    {
        at(gate).part ^= 1;
    }

    /// Lets time pass. Gates then know the members as they were before.
    void pass(Duration time)
    {
        m_now += time;
        std::array<std::size_t, 2> parts{};
        for (const auto &it : m_gates) {
            ++parts.at(it.part);
        }
        for (auto &it : m_gates) {
            it.budget.configure(m_now, optionsFor(std::exchange(it.view, parts.at(it.part))));
        }
    }

    /// Returns by how many repeats the window with the most exceeds the bound, which counts the first arrivals of the window, of the one
    /// before it or of the one half a window before it.
    double worstExcess() const
    {
        double worst = -kExtra;
        for (const auto &it : m_log) {
            const auto now = sum(it.at);
            const auto firsts = std::max({now.firsts, sum(it.at - kWindow).firsts, sum(it.at - kWindow / 2).firsts});
            worst = std::max(worst, static_cast<double>(now.repeats) - kRatio * static_cast<double>(firsts) - kExtra);
        }
        return worst;
    }

private:
    struct Gate
    {
        RepeatBudget budget;
        /// Number of gates that it knows, a step late.
        std::size_t view = 1;
        std::size_t part = 0;
    };
    struct Entry
    {
        TimePoint at;
        std::size_t firsts = 0;
        std::size_t repeats = 0;
    };

    /// Returns the arrivals of the window that starts at @a start.
    Entry sum(TimePoint start) const
    {
        Entry total;
        for (auto it = std::lower_bound(m_log.begin(), m_log.end(), start, [](const Entry &entry, TimePoint at) { return entry.at < at; });
             it != m_log.end() && it->at - start < kWindow; ++it) {
            total.firsts += it->firsts;
            total.repeats += it->repeats;
        }
        return total;
    }

    Gate &at(std::size_t gate)
    {
        return m_gates[gate % m_gates.size()];
    }

    TimePoint m_now = kStart;
    std::vector<Gate> m_gates;
    std::vector<Entry> m_log;
};

} // namespace

// A gate that starts, joins, is lost or is cut off changes the shares of the others, which know of it later.
RC_GTEST_PROP(RepeatBound, HoldsInEachWindow, ())
{
    Fleet fleet(*rc::gen::inRange<std::size_t>(4, 32), *rc::gen::inRange(0, 200));
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, std::size_t, std::size_t, std::size_t>>>(
        rc::gen::tuple(rc::gen::inRange(0, 30), rc::gen::inRange<std::size_t>(0, 64), rc::gen::inRange<std::size_t>(0, 80),
                       rc::gen::inRange<std::size_t>(0, 80)));
    std::size_t joins = 0;
    for (const auto &[kind, gate, firsts, repeats] : steps) {
        if (kind < 2) {
            fleet.restart(gate);
        } else if (kind < 3 && ++joins <= 20) {
            fleet.join();
        } else if (kind < 4) {
            fleet.lose(gate);
        } else if (kind < 7) {
            fleet.cutOff(gate);
        } else if (kind < 16) {
            fleet.pass(std::chrono::milliseconds(gate * 30));
        } else if (kind < 18) {
            for (int n = 0; n < 8; ++n) {
                fleet.pass(1500ms);
            }
        } else if (kind < 21) {
            // All gates at once: many first arrivals, or as many repeats as they take.
            for (std::size_t n = 0; n < fleet.size(); ++n) {
                fleet.arrive(n, kind < 19 ? 500 : 0, kind < 19 ? 0 : 500);
            }
        } else {
            fleet.arrive(gate, firsts, repeats);
        }
    }
    RC_ASSERT(fleet.worstExcess() <= 0);
}

// Incidents and loads of some seconds each: what is earned in one window must not be spent in the next one twice.
RC_GTEST_PROP(RepeatBound, HoldsOverPhasesOfLoad, ())
{
    Fleet fleet(6, 200);
    const auto phases = *rc::gen::container<std::vector<std::tuple<std::size_t, std::size_t, int>>>(
        rc::gen::tuple(rc::gen::inRange<std::size_t>(0, 40), rc::gen::inRange<std::size_t>(0, 40), rc::gen::inRange(1, 60)));
    for (std::size_t n = 0; n < std::min<std::size_t>(phases.size(), 12); ++n) {
        const auto &[firsts, repeats, steps] = phases[n];
        for (int step = 0; step < steps; ++step) {
            for (std::size_t gate = 0; gate < fleet.size(); ++gate) {
                fleet.arrive(gate, firsts, repeats);
            }
            fleet.pass(100ms);
        }
    }
    RC_ASSERT(fleet.worstExcess() <= 0);
}

// A bucket alone would allow 0.2 repeats per first arrival in an incident of four seconds, of the 0.5 that ten seconds allow.
TEST(RepeatBudget, ShortIncidentUsesTheArrivalsOfTheWindowBefore)
{
    auto budget = makeBudget(kStart, 6, 1000);
    int taken = 0;
    for (int n = 0; n < 4000; ++n) {
        const auto now = kStart + 1ms * n;
        budget.onFirstArrival(now);
        taken += budget.takeRepeat(now, {.isDescendant = true}) ? 1 : 0;
    }
    EXPECT_GT(taken, 4000 * 0.27);
}

TEST(RepeatBudget, RestartGrantsNoTokens)
{
    RepeatBudget budget(kStart);
    budget.configure(kStart, optionsFor(1));
    EXPECT_FALSE(budget.takeRepeat(kStart, {}));
    for (int n = 0; n < 11; ++n) {
        budget.onFirstArrival(kStart);
    }
    EXPECT_TRUE(budget.takeRepeat(kStart, {.rank = {kHashSpan - 1}}));
}

// Both sides of a partition would otherwise divide the whole extra.
TEST(RepeatBudget, FewerGatesRaiseTheShareOnlyAfterAWhile)
{
    auto budget = makeBudget(kStart, 6, 0);
    const auto share = budget.capacity();
    budget.configure(kStart + 5min, optionsFor(3));
    EXPECT_EQ(budget.capacity(), share);
    budget.configure(kStart + 11min, optionsFor(2));
    EXPECT_NEAR(budget.capacity(), share * 2, 0.01);
    for (int n = 0; n < 1000; ++n) {
        budget.onFirstArrival(kStart + 12min);
    }
    budget.configure(kStart + 12min, optionsFor(12));
    EXPECT_NEAR(budget.capacity(), share / 2, 0.01);
    EXPECT_LE(budget.tokens(), budget.capacity());
}

// A process that has started on the smaller side of a partition doesn't know the other gates.
TEST(RepeatBudget, YoungProcessHoldsLittleOfTheExtra)
{
    RepeatBudget budget(kStart);
    const std::array<std::pair<Duration, double>, 4> capacities{{{0s, 1}, {4s, 1}, {6s, kExtra * 0.05}, {11min, kExtra * 0.8}}};
    for (const auto &[age, capacity] : capacities) {
        budget.configure(kStart + age, optionsFor(1));
        EXPECT_NEAR(budget.capacity(), capacity, 0.01);
    }
}

// Work that was repeated already would be lost at the next service.
TEST(RepeatBudget, DescendantsAreServedWhenDirectRepeatsSpendTheTokens)
{
    auto budget = makeBudget(kStart, 6, 0);
    std::array<int, 2> refused{};
    auto now = kStart;
    for (int n = 0; n < 20000; ++n, now += 500us) {
        budget.onFirstArrival(now);
        const Rank rank{static_cast<std::uint32_t>(n * 7919U) % kHashSpan};
        refused[0] += budget.takeRepeat(now, {.rank = rank}) ? 0 : 1;
        refused[1] += n % 20 == 0 && !budget.takeRepeat(now, {.rank = rank, .isDescendant = true}) ? 1 : 0;
    }
    EXPECT_GT(refused[0], 10000);
    EXPECT_LT(refused[1], 20);
    for (int n = 0; n < 1000; ++n) {
        budget.onFirstArrival(now);
        budget.takeRepeat(now, {.rank = {kHashSpan - 1}});
    }
    EXPECT_TRUE(budget.takeRepeat(now, {.isDescendant = true}));
}

TEST(RepeatBudget, FullBucketServesEveryRoot)
{
    auto budget = makeBudget(kStart, 6, 0);
    auto now = kStart;
    for (int n = 0; n < 2000; ++n, now += 1ms) {
        budget.onFirstArrival(now);
        budget.takeRepeat(now, {.isDescendant = true});
        budget.takeRepeat(now, {.rank = {static_cast<std::uint32_t>(n * 7919U) % kHashSpan}});
    }
    ASSERT_LT(budget.servedShare(), 0.1);
    for (int n = 0; n < 200; ++n, now += 1ms) {
        budget.onFirstArrival(now);
    }
    EXPECT_TRUE(budget.takeRepeat(now, {.rank = {0}}));
}

// A repeat that ends further down the call chain costs tokens and work for nothing.
TEST(CallEdges, RepeatsAreBoundByTheTokensBelow)
{
    CallEdges edges(kStart);
    for (int n = 0; n < 100; ++n) {
        edges.onExecution(kStart);
        edges.onCall(kStart, "far");
        for (int calls = 0; calls < 4; ++calls) {
            edges.onCall(kStart, "near");
        }
    }
    EXPECT_FALSE(edges.repeatableExecutions(kStart));
    edges.onTokens(kStart, "near", 2, 6);
    edges.onTokens(kStart, "far", 2, 6);
    EXPECT_NEAR(edges.repeatableExecutions(kStart).value_or(0), 3, 0.01);
    for (int n = 0; n < 50; ++n) {
        edges.onTokens(kStart, "near", 0, 6);
    }
    EXPECT_LT(edges.repeatableExecutions(kStart).value_or(1), 0.01);
    // Without a current report the gates below decide.
    EXPECT_FALSE(edges.repeatableExecutions(kStart + 2s));
}
