/// @file
/// Tests of the placement by expected completion: a replay of two loads in virtual time against the cost without load reports, and the
/// bounds on what old, false or missing reports can do.

#include <chicoryspar/overload.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <numeric>
#include <queue>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace chicoryspar;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{1h};
constexpr Duration kOneWay = 900us;

/// One load of the replay.
struct Load
{
    const char *name = "";
    std::vector<double> speeds;
    std::uint32_t slots = 8;
    std::size_t senders = 1;
    std::uint32_t zones = 1;
    double callsPerSecond = 0;
    Duration meanWork{0};
    /// Share of calls with seven times the work of the others.
    double heavyShare = 0;
    /// Share of time during which a host is slowFactor times slower, for stretches of 600 ms.
    double slowShare = 0;
    double slowFactor = 1;
    Duration length = 60s;
};

struct Figures
{
    double p50Ms = 0;
    double p99Ms = 0;
    double inTime = 0;
    /// Calls in flight per slot, busiest host over mean, averaged over time.
    double busiest = 0;
    /// Share of calls that stay in the zone of their sender.
    double ownZone = 0;
};

/// Replays one load with or without load reports.
class Replay
{
public:
    Replay(const Load &load, bool reportsLoad, std::uint64_t seed)
        : m_load(load)
        , m_reportsLoad(reportsLoad)
        , m_random(seed)
        , m_hosts(load.speeds.size())
        , m_estimators(load.senders)
    {
        std::vector<Candidate> candidates;
        for (std::size_t n = 0; n < m_hosts.size(); ++n) {
            candidates.push_back({.node = {n + 1}, .zone = static_cast<std::uint32_t>(n) % load.zones, .slots = load.slots});
            drawSlowStretches(m_hosts[n]);
        }
        for (std::size_t n = 0; n < load.senders; ++n) {
            m_routers.emplace_back(kStart, RouterOptions{.zone = static_cast<std::uint32_t>(n) % load.zones});
            m_routers.back().setCandidates(kStart, candidates);
        }
    }

    Figures run()
    {
        const auto end = kStart + m_load.length;
        at(kStart, [this] { arrive(); });
        at(kStart + kWarmUp, [this] { sampleLoad(); });
        while (!m_events.empty() && m_events.top().time < end) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        std::sort(m_latencies.begin(), m_latencies.end());
        const auto quantile = [this](double q) {
            return std::chrono::duration<double, std::milli>(m_latencies[static_cast<std::size_t>(q * (m_latencies.size() - 1))]).count();
        };
        const auto inTime = std::upper_bound(m_latencies.begin(), m_latencies.end(), Duration(1500ms)) - m_latencies.begin();
        const Figures result{quantile(0.5), quantile(0.99), static_cast<double>(inTime) / static_cast<double>(m_latencies.size()),
                             m_busiestSum / m_sampleCount, static_cast<double>(m_ownZoneCalls) / static_cast<double>(m_calls)};
        std::printf("%-22s %-8s p50 %6.1f ms  p99 %7.1f ms  within 1.5 s %.4f  busiest/mean %.3f  own zone %.3f\n", m_load.name,
                    m_reportsLoad ? "reports" : "today", result.p50Ms, result.p99Ms, result.inTime, result.busiest, result.ownZone);
        return result;
    }

private:
    static constexpr Duration kWarmUp = 10s;
    struct Event
    {
        TimePoint time;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(time, number) > std::tie(other.time, other.number);
        }
    };
    struct Call
    {
        std::size_t sender;
        Duration work;
        TimePoint sentAt;
        Duration expectedBySender;
        Duration expectedByGate;
        TimePoint startedAt;
    };
    struct Host
    {
        std::vector<TimePoint> slowFrom;
        std::vector<Call> running;
        std::deque<Call> waiting;
        LoadMeter meter;
    };

    void at(TimePoint time, std::function<void()> action)
    {
        m_events.push({time, ++m_eventCount, std::move(action)});
    }

    Duration drawExponential(double meanMicros)
    {
        return Duration(static_cast<std::int64_t>(-std::log1p(-drawUnit(m_random)) * meanMicros));
    }

    void drawSlowStretches(Host &host)
    {
        const auto meanFast = 600'000 * (1 - m_load.slowShare) / std::max(m_load.slowShare, 1e-9);
        for (auto it = kStart; m_load.slowShare > 0 && it < kStart + m_load.length + 60s; it += kSlowStretch) {
            it += drawExponential(meanFast);
            host.slowFrom.push_back(it);
        }
    }

    double paceOf(const Host &host, TimePoint time) const
    {
        const auto it = std::upper_bound(host.slowFrom.begin(), host.slowFrom.end(), time);
        return it != host.slowFrom.begin() && time - *(it - 1) < kSlowStretch ? m_load.slowFactor : 1;
    }

    void arrive()
    {
        at(m_now + drawExponential(1e6 / m_load.callsPerSecond), [this] { arrive(); });
        const auto unit = static_cast<double>(m_load.meanWork.count()) / (1 + 6 * m_load.heavyShare);
        const bool isHeavy = drawUnit(m_random) < m_load.heavyShare;
        Call call{.sender = drawBelow(m_random, m_load.senders),
                  .work = Duration(static_cast<std::int64_t>(unit * (isHeavy ? 7 : 1) * (0.5 + drawUnit(m_random)))),
                  .sentAt = m_now};
        auto &router = m_routers[call.sender];
        call.expectedBySender = m_estimators[call.sender].expected(0);
        const auto decision = router.choose(m_now, m_random, {.isRootAdmitted = true, .expectedWork = call.expectedBySender});
        ASSERT_TRUE(decision.node.isValid());
        ++m_calls;
        m_ownZoneCalls += decision.route == RouteReason::OwnZone ? 1 : 0;
        router.onSent(m_now, decision.node, 0, call.expectedBySender);
        at(m_now + kOneWay, [this, call, n = decision.node.value - 1] {
            auto &host = m_hosts[n];
            host.waiting.push_back(call);
            host.waiting.back().expectedByGate = host.meter.expectedWork(0);
            startWaiting(n);
        });
    }

    void startWaiting(std::size_t n)
    {
        auto &host = m_hosts[n];
        while (!host.waiting.empty() && host.running.size() < m_load.slots) {
            auto call = host.waiting.front();
            host.waiting.pop_front();
            call.startedAt = m_now;
            host.running.push_back(call);
            at(endOf(host, m_load.speeds[n], call.work), [this, n, call] { finish(n, call); });
        }
    }

    /// Returns when work that starts now ends, with the pace changing in steps.
    TimePoint endOf(const Host &host, double speed, Duration work) const
    {
        constexpr Duration kStep = 5ms;
        auto left = static_cast<double>(work.count()) / speed;
        auto time = m_now;
        for (;; time += kStep) {
            const auto pace = paceOf(host, time);
            if (left * pace <= static_cast<double>(kStep.count())) {
                return time + Duration(static_cast<std::int64_t>(left * pace));
            }
            left -= static_cast<double>(kStep.count()) / pace;
        }
    }

    void finish(std::size_t n, const Call &call)
    {
        auto &host = m_hosts[n];
        const auto it = std::find_if(host.running.begin(), host.running.end(),
                                     [&](const Call &other) { return other.sentAt == call.sentAt && other.sender == call.sender; });
        host.running.erase(it);
        RouteResult result{.serviceTime = m_now - call.startedAt, .expectedWork = call.expectedBySender};
        if (m_reportsLoad) {
            host.meter.setPace(m_now, static_cast<std::uint32_t>(paceOf(host, m_now) * 100));
            host.meter.recordService(m_now, 0, result.serviceTime, Duration{0});
            Duration remaining{0};
            for (const auto &other : host.running) {
                remaining += host.meter.remainingOf(m_now, {other.expectedByGate, other.startedAt});
            }
            for (const auto &other : host.waiting) {
                remaining += host.meter.remainingOf(m_now, {other.expectedByGate, std::nullopt});
            }
            result.load = host.meter.report(m_now, remaining, m_load.slots);
        }
        startWaiting(n);
        at(m_now + kOneWay, [this, n, call, result]() mutable {
            result.latency = m_now - call.sentAt;
            if (result.load) {
                m_estimators[call.sender].record(0, result.serviceTime * 100 / result.load->pacePercent);
            }
            m_routers[call.sender].onResult(m_now, {n + 1}, result);
            if (call.sentAt > kStart + kWarmUp) {
                m_latencies.push_back(result.latency);
            }
        });
    }

    void sampleLoad()
    {
        at(m_now + 50ms, [this] { sampleLoad(); });
        std::size_t busiest = 0;
        std::size_t sum = 0;
        for (const auto &it : m_hosts) {
            busiest = std::max(busiest, it.running.size() + it.waiting.size());
            sum += it.running.size() + it.waiting.size();
        }
        if (sum > 0) {
            m_busiestSum += static_cast<double>(busiest * m_hosts.size()) / static_cast<double>(sum);
            ++m_sampleCount;
        }
    }

    static constexpr Duration kSlowStretch = 600ms;

    const Load &m_load;
    bool m_reportsLoad;
    Random m_random;
    TimePoint m_now = kStart;
    std::priority_queue<Event> m_events;
    std::uint64_t m_eventCount = 0;
    std::vector<Host> m_hosts;
    std::vector<Router> m_routers;
    std::vector<WorkEstimator> m_estimators;
    std::vector<Duration> m_latencies;
    double m_busiestSum = 0;
    double m_sampleCount = 0;
    std::uint64_t m_calls = 0;
    std::uint64_t m_ownZoneCalls = 0;
};

double loadOf(const Load &load, int percent)
{
    const auto capacity = std::accumulate(load.speeds.begin(), load.speeds.end(), 0.0) * load.slots;
    return capacity / std::chrono::duration<double>(load.meanWork).count() * percent / 100;
}

/// Expects a better spreading and no later answers than without reports, and no more calls that leave their own zone.
void expectBetter(const Load &load, double maxP99Ratio)
{
    const auto today = Replay(load, false, 1).run();
    const auto reports = Replay(load, true, 1).run();
    EXPECT_LT(reports.p99Ms, today.p99Ms * maxP99Ratio) << load.name;
    EXPECT_LT(reports.busiest, today.busiest) << load.name;
    EXPECT_GE(reports.inTime, today.inTime) << load.name;
    EXPECT_GE(reports.ownZone, today.ownZone) << load.name;
}

using Answer = std::function<RouteResult(NodeId, TimePoint, Random &)>;

/// Sends calls from one sender to six upstreams, one each millisecond, and counts the calls to each of them.
class Shares
{
public:
    explicit Shares(std::uint64_t seed)
        : m_random(seed)
        , m_router(kStart, {})
    {
        std::vector<Candidate> candidates;
        for (std::uint64_t n = 1; n <= kUpstreams; ++n) {
            candidates.push_back({.node = {n}, .slots = 8});
        }
        m_router.setCandidates(kStart, candidates);
    }

    /// Returns the share of each upstream, by node - 1.
    std::vector<double> run(int calls, const Answer &answer)
    {
        std::vector<double> shares(kUpstreams);
        for (int n = 0; n < calls; ++n) {
            m_now += 1ms;
            while (!m_open.empty() && m_open.begin()->first <= m_now) {
                const auto [node, result] = m_open.begin()->second;
                m_router.onResult(m_now, node, result);
                m_open.erase(m_open.begin());
            }
            const auto decision = m_router.choose(m_now, m_random, {.isRootAdmitted = true, .expectedWork = kWork});
            m_router.onSent(m_now, decision.node, 0, kWork);
            auto result = answer(decision.node, m_now, m_random);
            result.expectedWork = kWork;
            result.latency = result.serviceTime + kOneWay * 2;
            m_open.emplace(m_now + result.latency, std::pair(decision.node, result));
            shares[decision.node.value - 1] += 1.0 / calls;
        }
        return shares;
    }

    static constexpr std::size_t kUpstreams = 6;
    static constexpr Duration kWork = 20ms;

private:
    Random m_random;
    Router m_router;
    TimePoint m_now = kStart;
    std::multimap<TimePoint, std::pair<NodeId, RouteResult>> m_open;
};

RouteResult answerNormally(Random &random, std::uint32_t pacePercent = 100)
{
    const auto serviceTime = Duration(static_cast<std::int64_t>(Shares::kWork.count() * (0.5 + drawUnit(random))));
    return {.serviceTime = serviceTime, .load = LoadReport{.outstandingWork = 5ms, .pacePercent = pacePercent}};
}

} // namespace

// Guards against a choice that is worse than the one without reports where hosts differ in speed, become slow for moments, and single calls
// take many times as long.
TEST(Placement, ReplayOfSlowMomentsAndHeavyCalls)
{
    const std::vector<double> speeds{0.55, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2};
    const Load load{.name = "11 hosts, slow moments",
                    .speeds = speeds,
                    .senders = 19,
                    .zones = 2,
                    .callsPerSecond = 900.0 * 11 / 37,
                    .meanWork = 140ms,
                    .heavyShare = 0.03,
                    .slowShare = 0.15,
                    .slowFactor = 2.5,
                    .length = 400s};
    expectBetter(load, 1);
}

// Guards against many senders that choose the same upstream at once. The p99 is the service time of the largest calls at the slowest hosts,
// which no better spreading lowers; it must not rise by more than 1 %.
TEST(Placement, ReplayOfManySendersAtHighLoad)
{
    Load load{.name = "6 hosts, 80 senders", .speeds = {0.6, 1.0, 1.4, 0.6, 1.0, 1.4}, .slots = 100, .senders = 80, .meanWork = 41ms};
    load.length = 20s;
    for (const int percent : {60, 80, 95}) {
        load.callsPerSecond = loadOf(load, percent);
        std::printf("%d %% load: ", percent);
        expectBetter(load, 1.01);
    }
}

// Guards against calls that stay in their own zone although its only host is slow, while the other host of the region has idle slots.
TEST(Placement, ReplayOfARegionWithOneHostInEachZone)
{
    for (const auto &speeds : {std::vector{0.6, 1.4}, std::vector{0.6, 1.0}, std::vector{1.0, 1.4}}) {
        Load load{.name = "2 zones, 27 senders", .speeds = speeds, .slots = 100, .senders = 27, .zones = 2, .meanWork = 41ms};
        load.length = 20s;
        for (const int percent : {60, 80}) {
            load.callsPerSecond = loadOf(load, percent);
            std::printf("%d %% load: ", percent);
            expectBetter(load, 1.01);
        }
    }
}

// Guards against a backend server whose false pace attracts or repels the calls of all senders: its pace is compared with service times.
RC_GTEST_PROP(Placement, FalsePaceChangesTheShareOfAnUpstreamWithinBounds, (std::uint64_t seed))
{
    Shares shares(seed);
    const auto constantPace = static_cast<std::uint32_t>(1) << *rc::gen::inRange(0, 32);
    const bool isConstant = *rc::gen::arbitrary<bool>();
    const auto answer = [&](NodeId node, TimePoint, Random &random) {
        const auto pace = isConstant ? constantPace : 1 + static_cast<std::uint32_t>(drawBelow(random, 2000));
        return answerNormally(random, node.value == 1 ? pace : 100);
    };
    shares.run(3000, answer);
    const auto share = shares.run(6000, answer).front() * Shares::kUpstreams;
    RC_ASSERT(share > 0.25);
    RC_ASSERT(share < 2);
}

// Guards against an upstream that is never tried again after a bad report or answer.
RC_GTEST_PROP(Placement, EveryUpstreamIsChosenFromTimeToTime, (std::uint64_t seed))
{
    Shares shares(seed);
    const auto answer = [&](NodeId node, TimePoint, Random &random) {
        auto result = answerNormally(random, 100 * static_cast<std::uint32_t>(node.value));
        result.serviceTime *= static_cast<int>(node.value);
        result.load->outstandingWork *= node.value == 6 ? 100 : 1;
        return result;
    };
    shares.run(2000, answer);
    for (const auto it : shares.run(6000, answer)) {
        RC_ASSERT(it > 1.0 / 1000);
    }
}

// Guards against calls that go on to an upstream that loses answers or sheds, and against one that stays avoided after that.
TEST(Placement, LossesShowWithinTenResultsAndAreForgotten)
{
    for (const auto reason : {Reason::BackendSilent, Reason::ShedByBackend}) {
        Shares shares(7);
        bool isFailing = false;
        const auto answer = [&](NodeId node, TimePoint, Random &random) {
            auto result = answerNormally(random);
            if (isFailing && node.value == 1 && drawUnit(random) < 0.55) {
                result.outcome = reason == Reason::ShedByBackend ? Outcome::NotRun : Outcome::Unknown;
                result.reason = reason;
            }
            return result;
        };
        EXPECT_GT(shares.run(3000, answer).front(), 0.5 / Shares::kUpstreams);
        isFailing = true;
        // Ten results at a fair share take 60 calls.
        shares.run(60, answer);
        EXPECT_LT(shares.run(1000, answer).front(), 0.5 / Shares::kUpstreams) << rowOf(reason).name;
        isFailing = false;
        shares.run(6000, answer);
        EXPECT_GT(shares.run(3000, answer).front(), 0.5 / Shares::kUpstreams) << rowOf(reason).name;
    }
}

// Guards against an old report that still attracts or repels calls.
RC_GTEST_PROP(Placement, ReportsLoseTheirEffectWithAge, (std::uint16_t first, std::uint16_t last))
{
    AgedFigure figure{.mean = 1};
    figure.record(kStart, first, kPaceAging);
    figure.record(kStart + 100ms, last, kPaceAging);
    figure.record(kStart + 50ms, 12345, kPaceAging);
    const auto at = kStart + 100ms;
    RC_ASSERT(std::abs(figure.valueAt(at, kPaceAging) - last) < 0.01);
    const auto half = figure.valueAt(at + kPaceAging.lifetime / 2, kPaceAging);
    RC_ASSERT(std::abs(half - (figure.mean + last) / 2) < 0.01);
    // The mean is that of the reports before, so the last one has no effect left.
    RC_ASSERT(figure.valueAt(at + kPaceAging.lifetime, kPaceAging) == figure.mean);
    RC_ASSERT(std::abs(figure.mean - 1) <= std::abs(first - 1.0) * 0.011);
    RC_ASSERT(!figure.isCurrent(at + AgedFigure::kMaxSilence));
}

// Guards against a gate that reports a load before its backend server has stated a pace, and against one that forgets running calls.
TEST(Placement, MeterReportsOutstandingWorkAtThePaceOfNow)
{
    LoadMeter meter;
    EXPECT_FALSE(meter.hasPace(kStart));
    meter.recordService(kStart, 1, 40ms, Duration{0});
    EXPECT_EQ(meter.expectedWork(1), Duration{0});
    meter.setPace(kStart, 200);
    for (int n = 0; n < 50; ++n) {
        meter.recordService(kStart, 1, 40ms, Duration{0});
        meter.recordService(kStart, 2, 400ms, Duration{0});
    }
    EXPECT_NEAR(toMilliseconds(meter.expectedWork(1)), 20, 10);
    EXPECT_NEAR(toMilliseconds(meter.expectedWork(2)), 200, 20);
    const auto whole = meter.expectedWork(2) * 2;
    EXPECT_EQ(meter.remainingOf(kStart, {meter.expectedWork(2), std::nullopt}), whole);
    EXPECT_LT(meter.remainingOf(kStart + 100ms, {meter.expectedWork(2), kStart}), whole);
    EXPECT_GT(meter.remainingOf(kStart, {meter.expectedWork(2), kStart - 10s}), Duration(50ms));
    const auto report = meter.report(kStart + 5ms, 80ms, 4);
    EXPECT_EQ(report.outstandingWork, Duration(20ms));
    EXPECT_EQ(report.pacePercent, 200U);
    EXPECT_EQ(report.paceAge, Duration(5ms));
    EXPECT_FALSE(meter.hasPace(kStart + AgedFigure::kMaxSilence));
    meter.restart();
    EXPECT_FALSE(meter.hasPace(kStart));
}
