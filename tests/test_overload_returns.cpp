/// @file
/// When refused requests return and which waiting calls are served, replayed without a network.

#include <chicoryspar/overload.h>

#include <cstdio>
#include <map>
#include <string>

#include <gtest/gtest.h>

#include "overload/return_schedule.h"

using namespace chicoryspar;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kSlots = 30;
constexpr Duration kServiceTime = 30ms;
constexpr double kCapacityPerSecond = kSlots * 1e6 / static_cast<double>(kServiceTime.count());
constexpr double kUsualLoad = 0.65;
constexpr Duration kTimeout = 5s;
constexpr Duration kObjective = 1s;
constexpr Duration kStep = 1ms;
/// Retry-After that gates stated to all calls that a level refused.
constexpr Duration kConstantDelay = 500ms;

/// Clients of a retry storm.
constexpr Duration kHastyDelay = 100ms;
constexpr int kHastyRetries = 3;

/// Which delay clients are told.
enum class Delays {
    Constant,
    Scheduled,
};

struct Request
{
    TimePoint sentAt;
    bool isReturn = false;
    bool isCounted = false;
    /// Retries left to a client that doesn't honour the stated delay.
    int hastyRetries = 0;
};

struct Counts
{
    double offered = 0;
    double served = 0;
    double servedWithinObjective = 0;
    double returned = 0;
    double refusedAgain = 0;
    double maxStatedShare = 0;

    void add(const Counts &other)
    {
        offered += other.offered;
        served += other.served;
        servedWithinObjective += other.servedWithinObjective;
        returned += other.returned;
        refusedAgain += other.refusedAgain;
        maxStatedShare = std::max(maxStatedShare, other.maxStatedShare);
    }

    double servedShare() const
    {
        return served / offered;
    }

    double refusedAgainShare() const
    {
        return returned > 0 ? refusedAgain / returned : 0;
    }
};

/// Clients that return once after the stated delay under a new identifier, as those of the platform do, and the gate of one service.
class Clients
{
public:
    Clients(Delays delays, std::uint64_t seed)
        : m_delays(delays)
        , m_random(seed)
        , m_gate(m_now,
                 GateOptions{.maxLimit = kSlots,
                             .slots = kSlots,
                             .maxQueueDelay = 30ms,
                             .coldStart = Duration{0},
                             .spacesReturns = delays == Delays::Scheduled})
    {
    }

    /// Sends @a load times the capacity; the requests count if @a isCounted.
    void run(Duration duration, double load, bool isCounted)
    {
        const auto perStep = load * kCapacityPerSecond * std::chrono::duration<double>(kStep).count();
        for (const auto end = m_now + duration; m_now < end; m_now += kStep) {
            for (auto left = perStep; left > 0; left -= 1) {
                if (drawUnit(m_random) < left) {
                    counts.offered += isCounted ? 1 : 0;
                    const bool isHasty = drawUnit(m_random) < hastyShare;
                    counts.offered += isCounted && isHasty ? -1 : 0;
                    offer({.sentAt = m_now, .isCounted = isCounted && !isHasty, .hastyRetries = isHasty ? kHastyRetries : 0});
                }
            }
            while (!m_returning.empty() && m_returning.begin()->first <= m_now) {
                const auto request = m_returning.begin()->second;
                m_returning.erase(m_returning.begin());
                counts.returned += request.isCounted ? 1 : 0;
                offer(request);
            }
            while (!m_running.empty() && m_running.begin()->first <= m_now) {
                const auto [ticket, request] = m_running.begin()->second;
                m_running.erase(m_running.begin());
                m_gate.finish(m_now, ticket, kServiceTime, GateResult::Success);
                if (request.isCounted && m_now - request.sentAt <= kTimeout) {
                    ++counts.served;
                    counts.servedWithinObjective += m_now - request.sentAt <= kObjective ? 1 : 0;
                }
            }
            poll();
        }
    }

    Counts counts;
    /// Share of the clients that retry soon and several times. They aren't counted.
    double hastyShare = 0;

private:
    void offer(const Request &request)
    {
        const auto ticket = ++m_lastTicket;
        CallContext context;
        context.root = {m_random(), m_random()};
        context.remaining = request.sentAt + kTimeout - m_now;
        m_waiting[ticket] = request;
        auto gateRequest = makeGateRequest(m_now, ticket, context);
        // A return counts as a new request, so the gate takes its objective from its arrival.
        gateRequest.objective = m_now + kObjective;
        applyDecision(m_gate.offer(m_now, gateRequest));
        poll();
    }

    void applyDecision(const GateDecision &decision)
    {
        if (decision.verdict == GateVerdict::Queued) {
            return;
        }
        const auto request = m_waiting.at(decision.ticket);
        m_waiting.erase(decision.ticket);
        if (decision.verdict == GateVerdict::Admitted) {
            m_running.emplace(m_now + kServiceTime, std::pair{decision.ticket, request});
            return;
        }
        if (request.hastyRetries > 0) {
            m_returning.emplace(m_now + kHastyDelay, Request{.sentAt = request.sentAt, .hastyRetries = request.hastyRetries - 1});
            return;
        }
        if (request.isReturn) {
            counts.refusedAgain += request.isCounted ? 1 : 0;
            return;
        }
        const Duration remaining = request.sentAt + kTimeout - m_now;
        counts.maxStatedShare =
            std::max(counts.maxStatedShare, static_cast<double>(decision.retryAfter.count()) / static_cast<double>(remaining.count()));
        const auto stated = m_delays == Delays::Constant ? kConstantDelay : decision.retryAfter;
        m_returning.emplace(m_now + std::min(stated, Duration(remaining / 3)),
                            Request{.sentAt = request.sentAt, .isReturn = true, .isCounted = request.isCounted});
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

    Delays m_delays;
    TimePoint m_now{1h};
    Random m_random;
    Gate m_gate;
    std::uint64_t m_lastTicket = 0;
    std::map<std::uint64_t, Request> m_waiting;
    std::multimap<TimePoint, std::pair<std::uint64_t, Request>> m_running;
    std::multimap<TimePoint, Request> m_returning;
};

/// Sums over several seeds: the results of one differ by up to a hundredth of the offered requests.
template<typename Replay>
std::array<Counts, 2> compareDelays(Replay replay)
{
    constexpr std::uint64_t kSeeds = 8;
    std::array<Counts, 2> results;
    for (const auto delays : {Delays::Constant, Delays::Scheduled}) {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            Clients clients(delays, seed);
            replay(clients);
            results.at(static_cast<std::size_t>(delays)).add(clients.counts);
        }
    }
    return results;
}

void expectScheduleIsBetter(const std::string &load, const std::array<Counts, 2> &results)
{
    const auto &[constant, scheduled] = results;
    std::printf("%s: served %.3f, %.3f scheduled; within the objective %.3f, %.3f; returns refused again %.3f, %.3f (%.0f, %.0f)\n",
                load.c_str(), constant.servedShare(), scheduled.servedShare(), constant.servedWithinObjective / constant.offered,
                scheduled.servedWithinObjective / scheduled.offered, constant.refusedAgainShare(), scheduled.refusedAgainShare(),
                constant.refusedAgain, scheduled.refusedAgain);
    EXPECT_GT(scheduled.servedShare(), constant.servedShare()) << load;
    EXPECT_GT(scheduled.servedWithinObjective, constant.servedWithinObjective) << load;
    EXPECT_LT(scheduled.refusedAgain, constant.refusedAgain) << load;
    EXPECT_LE(scheduled.maxStatedShare, 1.0 / 3) << load;
}

} // namespace

/// Load: a burst. Guards against requests that return while the service is still full.
TEST(Returns, FewerReturnsAreRefusedAgainAfterABurst)
{
    for (const Duration burst : {Duration(500ms), Duration(1s), Duration(3s), Duration(7s), Duration(16s)}) {
        expectScheduleIsBetter("burst of " + std::to_string(toMilliseconds(burst)) + " ms", compareDelays([burst](Clients &clients) {
                                   clients.run(10s, kUsualLoad, false);
                                   clients.run(burst, 1.7, true);
                                   clients.run(6s, kUsualLoad, true);
                               }));
    }
}

/// Load: a retry storm of 35 % of the clients for 5 s in which the service is full. Guards against a schedule that costs those who honour
/// it.
TEST(Returns, ClientsThatHonourTheDelayLoseNothingInARetryStorm)
{
    expectScheduleIsBetter("retry storm", compareDelays([](Clients &clients) {
                               clients.run(10s, kUsualLoad, false);
                               clients.hastyShare = 0.35;
                               clients.run(5s, 1.3, true);
                               clients.hastyShare = 0;
                               clients.run(6s, kUsualLoad, true);
                           }));
}

/// Load: all clients at once after a full stop, at a gate that knows neither its capacity nor the usual rate. Guards against a schedule
/// that needs a history.
TEST(Returns, AGateWithoutHistorySpacesReturns)
{
    expectScheduleIsBetter("full stop", compareDelays([](Clients &clients) {
                               clients.run(1500ms, 2.5, true);
                               clients.run(6s, kUsualLoad, true);
                           }));
}

namespace {

/// Child calls of admitted root requests, at a backend server that becomes slow: no level refuses them, so they wait.
struct SlowBackend
{
    explicit SlowBackend(bool prefersObjective)
        : gate(now, GateOptions{.maxLimit = kSlots, .slots = kSlots, .coldStart = Duration{0}, .prefersObjective = prefersObjective})
    {
    }

    struct Call
    {
        TimePoint objective;
        TimePoint deadline;
        TimePoint offeredAt;
    };

    void run(Duration duration, Duration currentServiceTime, double load)
    {
        serviceTime = currentServiceTime;
        const auto perStep = load * kCapacityPerSecond * std::chrono::duration<double>(kStep).count();
        for (const auto end = now + duration; now < end; now += kStep) {
            for (auto left = perStep; left > 0; left -= 1) {
                if (drawUnit(random) < left) {
                    offer();
                }
            }
            while (!running.empty() && running.begin()->first <= now) {
                const auto [ticket, started] = running.begin()->second;
                running.erase(running.begin());
                gate.finish(now, ticket, now - started, GateResult::Success);
                timely += now <= calls.at(ticket).objective ? 1 : 0;
                late += now > calls.at(ticket).objective ? 1 : 0;
                calls.erase(ticket);
            }
            std::array<GateDecision, 64> decisions;
            while (const auto n = gate.poll(now, decisions)) {
                for (std::size_t i = 0; i < n; ++i) {
                    apply(decisions.at(i));
                }
            }
        }
    }

    void offer()
    {
        const auto ticket = ++lastTicket;
        CallContext context{.root = {random(), random()}, .depth = 1, .remaining = 1500ms, .ranksAsRoot = true};
        // Parts of the time until the objective have passed at other services.
        const Duration untilObjective = std::chrono::milliseconds(100 + drawBelow(random, 400));
        calls[ticket] = {.objective = now + untilObjective, .deadline = now + context.remaining, .offeredAt = now};
        auto request = makeGateRequest(now, ticket, context);
        request.objective = now + untilObjective;
        ++offered;
        apply(gate.offer(now, request));
    }

    void apply(const GateDecision &decision)
    {
        if (decision.verdict == GateVerdict::Admitted) {
            running.emplace(now + serviceTime, std::pair{decision.ticket, now});
        } else if (decision.verdict == GateVerdict::Refused) {
            heldRefused += now > calls.at(decision.ticket).offeredAt ? 1 : 0;
            calls.erase(decision.ticket);
        }
    }

    TimePoint now{1h};
    Random random{20261206};
    Gate gate;
    std::uint64_t lastTicket = 0;
    std::map<std::uint64_t, Call> calls;
    std::multimap<TimePoint, std::pair<std::uint64_t, TimePoint>> running;
    Duration serviceTime = kServiceTime;
    double offered = 0;
    double timely = 0;
    double late = 0;
    /// Calls that were refused after they had waited.
    double heldRefused = 0;
};

} // namespace

/// Load: a backend server at a third of its speed. Guards against slots spent on calls that are late anyway while others become late.
TEST(Waiting, CallsThatCanBeInTimeAreServedFirst)
{
    std::array<double, 2> timelyShare{};
    for (const bool prefersObjective : {false, true}) {
        SlowBackend model(prefersObjective);
        model.run(5s, kServiceTime, kUsualLoad);
        model.offered = model.timely = model.late = model.heldRefused = 0;
        model.run(9s, 3 * kServiceTime, kUsualLoad);
        timelyShare.at(prefersObjective ? 1 : 0) = model.timely / model.offered;
        std::printf("%s: in time %.3f, late %.3f, refused after a wait %.3f\n", prefersObjective ? "objective" : "rank",
                    model.timely / model.offered, model.late / model.offered, model.heldRefused / model.offered);
    }
    EXPECT_GT(timelyShare[1], timelyShare[0]);
}

/// Guards against an objective that overrides the order of ranks: it decides within a group only.
TEST(Waiting, AHigherImportanceIsServedFirst)
{
    TimePoint now{1h};
    // The short queue delay makes the gate choose by rank from the second waiting call on.
    Gate gate(now, GateOptions{.slots = 1, .maxQueueDelay = 1us, .coldStart = Duration{0}, .prefersObjective = true});
    const auto offer = [&](std::uint64_t ticket, std::uint8_t importance, Duration objective) {
        CallContext context{.root = {ticket, ticket}, .importance = importance, .depth = 1, .remaining = 60s, .ranksAsRoot = true};
        auto request = makeGateRequest(now, ticket, context);
        request.objective = now + objective;
        return gate.offer(now, request).verdict;
    };
    EXPECT_EQ(offer(1, 5, 1s), GateVerdict::Admitted);
    EXPECT_EQ(offer(2, 5, 1s), GateVerdict::Queued);
    EXPECT_EQ(offer(3, 5, Duration(-1ms)), GateVerdict::Queued);
    EXPECT_EQ(offer(4, 9, Duration(-1ms)), GateVerdict::Queued);
    std::vector<std::uint64_t> order;
    for (std::uint64_t running = 1; running != 0;) {
        now += 1ms;
        gate.finish(now, running, 1ms, GateResult::Success);
        std::array<GateDecision, 4> decisions;
        running = 0;
        for (std::size_t n = gate.poll(now, decisions), i = 0; i < n; ++i) {
            ASSERT_EQ(decisions.at(i).verdict, GateVerdict::Admitted);
            running = decisions.at(i).ticket;
            order.push_back(running);
        }
    }
    EXPECT_EQ(order, (std::vector<std::uint64_t>{4, 2, 3}));
}

/// Guards against a delay that clients don't honour, and against one that is stated to a request without time.
TEST(Returns, StatesAtMostAThirdOfTheRemainingTime)
{
    ReturnSchedule schedule;
    TimePoint now{1h};
    for (int n = 0; n < 200; ++n) {
        now += 50ms;
        schedule.onRefusal(now);
        for (const Duration remaining : {Duration(-1s), Duration(0ms), Duration(1ms), Duration(600ms), Duration(5s), Duration(60s)}) {
            for (std::uint32_t rank = 0; rank < 20; ++rank) {
                const auto delay = schedule.returnDelay(
                    now,
                    {.rank = {rank * 77'777}, .remaining = remaining, .aheadPerSecond = rank * 10.0, .roomPerSecond = rank % 3 * 100.0});
                EXPECT_GE(delay, Duration{0});
                EXPECT_LE(delay * 3, std::max(Duration{0}, remaining));
            }
        }
    }
    EXPECT_EQ(schedule.overloadTime(now), 200 * Duration(50ms) - 50ms);
    EXPECT_EQ(schedule.overloadTime(now + 1s), Duration{0});
}

/// Load: a lost region, whose requests return to what is left. Guards against returns that all come at once.
TEST(Returns, HigherRanksReturnFirstAndTheRestIsSpread)
{
    ReturnSchedule schedule;
    TimePoint now{1h};
    schedule.onRefusal(now);
    now += 900ms;
    schedule.onRefusal(now);
    const auto delayOf = [&](std::uint32_t rank, double ahead) {
        return schedule.returnDelay(now, {.rank = {rank}, .remaining = 30s, .aheadPerSecond = ahead, .roomPerSecond = 100});
    };
    EXPECT_EQ(delayOf(9, 0), 900ms) << "as long again as the overload has lasted";
    EXPECT_EQ(delayOf(8, 100), 1800ms) << "90 requests go before, at 100 per second";
    EXPECT_LT(delayOf(8, 100), delayOf(7, 300));
    std::array<int, 10> spread{};
    for (std::uint32_t n = 0; n < 1000; ++n) {
        const auto share = static_cast<double>(delayOf(n * 1000, 1e6).count()) / static_cast<double>(maxReturnDelay(30s).count());
        ASSERT_GE(share, 0.75);
        ASSERT_LE(share, 1);
        ++spread.at(std::min<std::size_t>(9, static_cast<std::size_t>((share - 0.75) * 40)));
    }
    for (const auto it : spread) {
        EXPECT_GT(it, 50);
    }
}

/// Guards against a change for deployments without the switch: refusals by level state the same constant as before.
TEST(Returns, TheDefaultStatesTheConstant)
{
    EXPECT_FALSE(GateOptions{}.spacesReturns);
    EXPECT_FALSE(GateOptions{}.prefersObjective);
    EXPECT_FALSE(GateOptions{}.hasManyGroups);
    TimePoint now{1h};
    Gate gate(now, GateOptions{.slots = 1, .coldStart = Duration{0}});
    int refusals = 0;
    for (std::uint64_t n = 1; n <= 4000; ++n) {
        now += 1ms;
        const auto decision =
            gate.offer(now, makeGateRequest(now, n, {.root = {n * 0x9E3779B97F4A7C15, n}, .remaining = 10s, .ranksAsRoot = true}));
        std::array<GateDecision, 64> decisions;
        while (gate.poll(now, decisions) > 0) {
        }
        if (decision.reason == Reason::LevelTooLow) {
            ++refusals;
            EXPECT_EQ(decision.retryAfter, 500ms);
        }
        if (n > 1 && n % 30 == 0) {
            gate.setRateLimit(now, 20.0);
        }
    }
    EXPECT_GT(refusals, 0);
}
