/// @file
/// Tests of the gate: properties under random sequences of events with pauses and clock jumps, and single rules.

#include <chicoryspar/overload.h>

#include <deque>
#include <map>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace chicoryspar;
using namespace std::chrono_literals;

namespace {

constexpr Duration kOrderGuardTime = 1s;

bool isOverloadRefusal(Reason reason)
{
    switch (reason) {
    case Reason::LevelTooLow:
    case Reason::QueueFull:
    case Reason::QueueTimeout:
    case Reason::LimitReached:
        return true;
    default:
        return false;
    }
}

/// A gate, a record of each of its calls, and the checks of each decision.
class GateModel
{
public:
    explicit GateModel(const GateOptions &options)
        : m_options(options)
        , m_gate(m_now, options)
        , m_bytes(m_gate.bytes())
    {
    }

    void advance(Duration step)
    {
        m_now += step;
        pollDecisions();
    }

    void offer(const CallContext &context)
    {
        const auto ticket = ++m_lastTicket;
        m_waiting[ticket] = {context.requestClass, m_now + context.remaining};
        m_ordersWaiting += context.requestClass == RequestClass::Order ? 1 : 0;
        onDecision(m_gate.offer(m_now, makeGateRequest(m_now, ticket, context)));
        pollDecisions();
    }

    /// Ends running call @a n, modulo the number of running calls; does nothing if none runs.
    void finish(std::size_t n, GateResult result)
    {
        if (m_running.empty()) {
            return;
        }
        const auto it = std::next(m_running.begin(), static_cast<std::ptrdiff_t>(n % m_running.size()));
        m_gate.finish(m_now, it->first, std::max(Duration{1}, m_now - it->second), result);
        m_running.erase(it);
        pollDecisions();
    }

    /// Ends every call that has run for the service time @a service.
    void finishDue(Duration service)
    {
        while (!m_running.empty() && m_now - m_running.begin()->second >= service) {
            finish(0, GateResult::Success);
        }
    }

    void cancel(std::uint64_t ticket)
    {
        const bool wasFound = m_gate.cancel(m_now, ticket);
        RC_ASSERT(wasFound == (m_waiting.contains(ticket) || m_running.contains(ticket)));
        removeWaiting(ticket);
        m_running.erase(ticket);
        pollDecisions();
    }

    void restart()
    {
        m_gate.restart(m_now);
        pollDecisions();
    }

    /// Ends all calls and checks that none is left in the gate.
    void finishAll()
    {
        while (!m_running.empty()) {
            finish(0, GateResult::Success);
        }
        advance(120s);
        RC_ASSERT(m_running.empty() || !m_waiting.empty() || m_gate.snapshot().queued == 0);
        while (!m_running.empty()) {
            finish(0, GateResult::Success);
        }
        RC_ASSERT(m_waiting.empty());
        RC_ASSERT(m_gate.snapshot().inFlight == 0);
        RC_ASSERT(m_gate.snapshot().queued == 0);
    }

    std::uint64_t ordersRefused() const
    {
        return m_ordersRefused;
    }

    std::uint64_t lookupsAdmitted() const
    {
        return m_lookupsAdmitted;
    }

    std::uint64_t lastTicket() const
    {
        return m_lastTicket;
    }

private:
    struct WaitingCall
    {
        RequestClass requestClass = RequestClass::Lookup;
        TimePoint deadline;
    };

    void pollDecisions()
    {
        std::array<GateDecision, 3> buf;
        while (const auto n = m_gate.poll(m_now, buf)) {
            std::for_each(buf.begin(), buf.begin() + static_cast<std::ptrdiff_t>(n), [this](const auto &it) { onDecision(it); });
        }
        const auto state = m_gate.snapshot();
        RC_ASSERT(state.limit >= 1U);
        RC_ASSERT(state.limit <= std::min(m_options.slots, m_options.maxLimit));
        RC_ASSERT(state.inFlight == m_running.size());
        RC_ASSERT(state.queued == m_waiting.size());
        RC_ASSERT(m_gate.bytes() == m_bytes);
        RC_ASSERT(m_gate.nextEvent() >= m_now);
    }

    void onDecision(const GateDecision &decision)
    {
        RC_ASSERT(m_waiting.contains(decision.ticket));
        const auto call = m_waiting[decision.ticket];
        if (decision.verdict == GateVerdict::Queued) {
            return;
        }
        removeWaiting(decision.ticket);
        if (decision.verdict == GateVerdict::Admitted) {
            admit(decision.ticket, call);
        } else {
            refuse(decision.reason, call);
        }
    }

    void admit(std::uint64_t ticket, const WaitingCall &call)
    {
        RC_ASSERT(call.deadline > m_now);
        RC_ASSERT(!m_running.contains(ticket));
        m_running[ticket] = m_now;
        RC_ASSERT(m_running.size() <= m_options.slots);
        if (call.requestClass == RequestClass::Lookup) {
            RC_ASSERT(!m_orderRefusedAt || m_now - *m_orderRefusedAt >= kOrderGuardTime);
            RC_ASSERT(m_ordersWaiting == 0U);
            m_lookupAdmittedAt = m_now;
            ++m_lookupsAdmitted;
        }
    }

    void refuse(Reason reason, const WaitingCall &call)
    {
        RC_ASSERT(reason != Reason::None);
        if (call.requestClass == RequestClass::Order && isOverloadRefusal(reason)) {
            RC_ASSERT(!m_lookupAdmittedAt || m_now - *m_lookupAdmittedAt >= kOrderGuardTime);
            m_orderRefusedAt = m_now;
            ++m_ordersRefused;
        }
    }

    void removeWaiting(std::uint64_t ticket)
    {
        const auto it = m_waiting.find(ticket);
        if (it != m_waiting.end()) {
            m_ordersWaiting -= it->second.requestClass == RequestClass::Order ? 1 : 0;
            m_waiting.erase(it);
        }
    }

    GateOptions m_options;
    TimePoint m_now{1h};
    Gate m_gate;
    std::size_t m_bytes;
    std::uint64_t m_lastTicket = 0;
    std::size_t m_ordersWaiting = 0;
    std::uint64_t m_ordersRefused = 0;
    std::uint64_t m_lookupsAdmitted = 0;
    /// Waiting calls, and running calls with the time of their dispatch.
    std::map<std::uint64_t, WaitingCall> m_waiting;
    std::map<std::uint64_t, TimePoint> m_running;
    std::optional<TimePoint> m_lookupAdmittedAt;
    std::optional<TimePoint> m_orderRefusedAt;
};

CallContext drawContext(Random &random)
{
    return {
        .root = {random(), random()},
        .requestClass = static_cast<RequestClass>(drawBelow(random, 3)),
        .importance = static_cast<std::uint8_t>(drawBelow(random, kMaxImportance + 1)),
        .depth = static_cast<std::uint8_t>(drawBelow(random, 4)),
        .remaining = Duration(static_cast<std::int64_t>(drawBelow(random, 3'000'000))),
    };
}

Duration drawPause(Random &random)
{
    switch (drawBelow(random, 50)) {
    case 0:
        return 90s;
    case 1:
        return 1500ms;
    default:
        return Duration(static_cast<std::int64_t>(drawBelow(random, 8000)));
    }
}

void runRandomEvents(GateModel &model, Random &random, std::size_t count, std::uint64_t offerWeight)
{
    for (std::size_t n = 0; n < count; ++n) {
        const auto kind = drawBelow(random, 100);
        if (kind < offerWeight) {
            model.offer(drawContext(random));
        } else if (kind < 92) {
            model.finish(random(), static_cast<GateResult>(drawBelow(random, 20) / 18));
        } else if (kind < 96 && model.lastTicket() > 0) {
            model.cancel(1 + drawBelow(random, model.lastTicket()));
        } else if (kind == 96 && drawBelow(random, 10) == 0) {
            model.restart();
        } else {
            model.advance(drawPause(random));
        }
    }
}

/// Overloads a gate for 16 s while the share of orders changes every 2 s.
GateModel runOrderPhases(Random &random)
{
    GateModel model({.slots = 2 + static_cast<std::uint32_t>(drawBelow(random, 6)), .coldStart = Duration{0}});
    for (int phase = 0; phase < 8; ++phase) {
        const auto service = Duration(static_cast<std::int64_t>(5000 + drawBelow(random, 30'000)));
        const auto orderPercent = phase % 2 == 0 ? drawBelow(random, 10) : 60 + drawBelow(random, 40);
        const auto step = Duration(static_cast<std::int64_t>(500 + drawBelow(random, 2500)));
        for (auto elapsed = Duration{0}; elapsed < 2s; elapsed += step) {
            model.advance(step);
            model.finishDue(service);
            auto context = drawContext(random);
            const bool isOrder = drawBelow(random, 100) < orderPercent;
            context.requestClass = isOrder ? RequestClass::Order : RequestClass::Lookup;
            context.remaining = 10s;
            model.offer(context);
        }
    }
    return model;
}

} // namespace

// Guards the invariants of the gate: the limit stays within the slots, a refused call is never dispatched, no call is dispatched after its
// deadline, orders take precedence over lookups, each call gets a final decision, and memory stays constant.
RC_GTEST_PROP(Gate, HoldsInvariantsUnderRandomEvents, (std::uint64_t seed))
{
    Random random(seed);
    const GateOptions options{
        .algorithm = static_cast<LimitAlgorithm>(drawBelow(random, static_cast<std::uint64_t>(LimitAlgorithm::Count))),
        .maxLimit = 1 + static_cast<std::uint32_t>(drawBelow(random, 40)),
        .slots = 1 + static_cast<std::uint32_t>(drawBelow(random, 40)),
        .queueLength = static_cast<std::uint32_t>(drawBelow(random, 20)),
        .pushBack = static_cast<std::uint32_t>(drawBelow(random, 101)),
    };
    GateModel model(options);
    runRandomEvents(model, random, 3000, 30 + drawBelow(random, 60));
    model.finishAll();
}

// Guards against orders refused by overload within a second after an admitted lookup, while the share of orders changes.
RC_GTEST_PROP(Gate, RefusesNoOrderWhileLookupsAreAdmitted, (std::uint64_t seed))
{
    Random random(seed);
    const auto model = runOrderPhases(random);
    RC_ASSERT(model.lookupsAdmitted() > 0U);
}

// The property above checks nothing unless its runs refuse orders.
TEST(Gate, OrderPhasesDoRefuseOrders)
{
    std::uint64_t refused = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Random random(seed);
        refused += runOrderPhases(random).ordersRefused();
    }
    EXPECT_GT(refused, 1000U);
}

RC_GTEST_PROP(Gate, RefusesLookupsBeforeStandardBeforeOrders, (std::uint64_t seed))
{
    Random random(seed);
    TimePoint now{1h};
    Gate gate(now, {.slots = 4, .coldStart = Duration{0}});
    std::deque<std::pair<TimePoint, std::uint64_t>> running;
    std::array<GateDecision, 64> buf;
    std::uint64_t ticket = 0;
    const auto recordAdmission = [&](const GateDecision &decision) {
        if (decision.verdict == GateVerdict::Admitted) {
            running.emplace_back(now + 10ms, decision.ticket);
        }
    };
    const auto pollDecisions = [&] {
        while (const auto n = gate.poll(now, buf)) {
            std::for_each(buf.begin(), buf.begin() + static_cast<std::ptrdiff_t>(n), recordAdmission);
        }
    };
    std::array<std::uint64_t, 3> offered{};
    // The capacity is 400 calls per second; 1000 are offered, a tenth of them orders.
    for (int n = 0; n < 10'000; ++n) {
        now += 1ms;
        while (!running.empty() && running.front().first <= now) {
            gate.finish(now, running.front().second, 10ms, GateResult::Success);
            running.pop_front();
            pollDecisions();
        }
        auto context = drawContext(random);
        const auto kind = drawBelow(random, 10);
        context.requestClass = kind == 0 ? RequestClass::Order : kind == 1 ? RequestClass::Standard : RequestClass::Lookup;
        context.depth = 0;
        context.remaining = 5s;
        ++offered[static_cast<std::size_t>(context.requestClass)];
        recordAdmission(gate.offer(now, makeGateRequest(now, ++ticket, context)));
        pollDecisions();
    }
    const auto refused = gate.snapshot().refused;
    RC_ASSERT(refused[2] == 0U);
    RC_ASSERT(refused[1] * 50 <= offered[1]);
    RC_ASSERT(refused[0] > offered[0] / 2);
}

TEST(Gate, RefusesAtOnceWhenLessTimeRemainsThanTheServiceNeeds)
{
    TimePoint now{1h};
    Gate gate(now, {.slots = 4});
    EXPECT_EQ(gate.offer(now, {.ticket = 1, .deadline = now + 10s}).verdict, GateVerdict::Admitted);
    now += 100ms;
    gate.finish(now, 1, 100ms, GateResult::Success);
    EXPECT_EQ(gate.offer(now, {.ticket = 2, .deadline = now + 50ms}).reason, Reason::DeadlineTooShort);
    EXPECT_EQ(gate.offer(now, {.ticket = 3, .deadline = now}).reason, Reason::DeadlineExpired);
    EXPECT_EQ(gate.offer(now, {.ticket = 4, .deadline = now + 150ms}).verdict, GateVerdict::Admitted);
}

// Guards against one slow answer that makes the gate refuse all later calls with a short deadline: as none is admitted, no new answer
// corrects the service time.
TEST(Gate, ServiceTimeDecaysWithoutAnswers)
{
    TimePoint now{1h};
    Gate gate(now, {.slots = 4});
    gate.offer(now, {.ticket = 1, .deadline = now + 10s});
    now += 4s;
    gate.finish(now, 1, 4s, GateResult::Success);
    EXPECT_EQ(gate.offer(now, {.ticket = 2, .deadline = now + 500ms}).reason, Reason::DeadlineTooShort);
    now += 8s;
    EXPECT_EQ(gate.offer(now, {.ticket = 3, .deadline = now + 500ms}).verdict, GateVerdict::Admitted);
}

TEST(Gate, GrowsItsLimitAfterAColdStart)
{
    TimePoint now{1h};
    Gate gate(now, {.slots = 40, .coldStart = 4s});
    EXPECT_EQ(gate.snapshot().limit, 10U);
    EXPECT_EQ(gate.snapshot().limitReason, LimitReason::ColdStart);
    std::array<GateDecision, 1> buf;
    gate.poll(now + 2s, buf);
    EXPECT_EQ(gate.snapshot().limit, 25U);
    gate.poll(now + 4s, buf);
    EXPECT_EQ(gate.snapshot().limit, 40U);
    gate.restart(now + 5s);
    EXPECT_EQ(gate.snapshot().limit, 10U);
}

TEST(Gate, LowersItsLimitWhenTheBackendServerSheds)
{
    TimePoint now{1h};
    Gate gate(now, {.slots = 40, .coldStart = Duration{0}});
    for (std::uint64_t n = 0; n < 40; ++n) {
        gate.offer(now, {.ticket = n, .deadline = now + 10s});
    }
    now += 150ms;
    for (std::uint64_t n = 0; n < 40; ++n) {
        gate.finish(now, n, 150ms, n % 2 == 0 ? GateResult::Success : GateResult::Shed);
    }
    now += 150ms;
    gate.offer(now, {.ticket = 50, .deadline = now + 10s});
    gate.finish(now, 50, 1ms, GateResult::Shed);
    EXPECT_LT(gate.snapshot().limit, 40U);
    EXPECT_EQ(gate.snapshot().limitReason, LimitReason::Shedding);
}

// Guards against refusing calls of a fast method because the average service time of all calls is longer than their remaining time.
TEST(Gate, MinServiceTimeOfACallOverridesTheAverage)
{
    TimePoint now{1h};
    Gate gate(now, {.slots = 4, .coldStart = Duration{0}});
    for (std::uint64_t n = 1; n <= 40; ++n) {
        ASSERT_EQ(gate.offer(now, {.ticket = n, .deadline = now + 5s}).verdict, GateVerdict::Admitted);
        now += 400ms;
        gate.finish(now, n, 400ms, GateResult::Success);
    }
    EXPECT_EQ(gate.offer(now, {.ticket = 100, .deadline = now + 100ms}).reason, Reason::DeadlineTooShort);
    EXPECT_EQ(gate.offer(now, {.ticket = 101, .deadline = now + 100ms, .minServiceTime = 15ms}).verdict, GateVerdict::Admitted);
    EXPECT_EQ(gate.offer(now, {.ticket = 102, .deadline = now + 10ms, .minServiceTime = 15ms}).reason, Reason::DeadlineTooShort);
}

// Any window of four seconds, whatever changes of the limit, offers and answers precede it.
RC_GTEST_PROP(Gate, StartsNoMoreCallsThanTheRateLimitAllows, (std::uint64_t seed))
{
    constexpr Duration kWindow = 4s;
    constexpr double kTolerance = 1.5;
    constexpr double kSlack = 5;
    Random random(seed);
    TimePoint now{};
    Gate gate(now, {.slots = 16, .coldStart = 0s});
    const double rate = 0.5 + drawUnit(random) * 40;
    std::deque<TimePoint> starts;
    std::vector<std::uint64_t> running;
    std::uint64_t ticket = 0;
    const auto onStart = [&](std::uint64_t started) {
        running.push_back(started);
        starts.push_back(now);
    };
    gate.setRateLimit(now, rate);
    for (int n = 0; n < 3000; ++n) {
        now += Duration(static_cast<std::int64_t>(drawBelow(random, 20'000)));
        if (drawBelow(random, 200) == 0) {
            gate.setRateLimit(now, rate);
        }
        if (drawBelow(random, 500) == 0) {
            now += 2s;
        }
        if (gate.offer(now, {.ticket = ++ticket, .rank = Rank{~0U}, .deadline = now + 1s}).verdict == GateVerdict::Admitted) {
            onStart(ticket);
        }
        std::array<GateDecision, 64> decisions;
        for (auto count = gate.poll(now, decisions); count > 0; count = gate.poll(now, decisions)) {
            for (const auto &it : std::span(decisions).first(count)) {
                if (it.verdict == GateVerdict::Admitted) {
                    onStart(it.ticket);
                }
            }
        }
        while (!running.empty() && drawBelow(random, 2) == 0) {
            gate.finish(now, running.back(), 10ms, GateResult::Success);
            running.pop_back();
        }
        while (!starts.empty() && now - starts.front() >= kWindow) {
            starts.pop_front();
        }
        RC_ASSERT(static_cast<double>(starts.size()) <= kTolerance * rate * 4 + kSlack);
    }
}

TEST(Gate, ServesAtTheRateLimitAndTellsWhenToComeBack)
{
    TimePoint now{};
    Gate gate(now, {.slots = 36, .coldStart = 0s});
    gate.setRateLimit(now, 10.0);
    std::size_t started = 0;
    std::optional<Duration> retryAfter;
    for (std::uint64_t n = 1; n <= 400; ++n) {
        now += 10ms;
        const auto decision = gate.offer(now, {.ticket = n, .rank = Rank{static_cast<std::uint32_t>(n * 7919)}, .deadline = now + 1s});
        std::array<GateDecision, 64> decisions;
        const auto count = gate.poll(now, decisions);
        for (const auto &it : std::span(decisions).first(count)) {
            if (it.verdict == GateVerdict::Admitted) {
                ++started;
                gate.finish(now, it.ticket, 5ms, GateResult::Success);
            } else {
                retryAfter = it.retryAfter;
            }
        }
        if (decision.verdict == GateVerdict::Admitted) {
            ++started;
            gate.finish(now, n, 5ms, GateResult::Success);
        } else if (decision.verdict == GateVerdict::Refused) {
            retryAfter = decision.retryAfter;
        }
    }
    EXPECT_GE(started, 38U);
    EXPECT_LE(started, 43U);
    ASSERT_TRUE(retryAfter);
    EXPECT_GT(*retryAfter, 0ms);
    gate.setRateLimit(now, std::nullopt);
    EXPECT_EQ(gate.snapshot().rateLimit, std::nullopt);
}
