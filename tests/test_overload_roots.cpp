/// @file
/// Goodput under overload of root requests that need several calls to one small service, in virtual time.

#include <chicoryspar/overload.h>

#include <array>
#include <map>

#include <gtest/gtest.h>

using namespace chicoryspar;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kSlots = 42;
constexpr Duration kServiceTime = 30ms;
constexpr double kCapacityPerSecond = kSlots * 1e6 / static_cast<double>(kServiceTime.count());
constexpr int kCallsPerRoot = 4;
constexpr Duration kStep = 1ms;

/// Root request with several calls in sequence.
struct Root
{
    CallContext context;
    TimePoint deadline;
    int callsLeft = kCallsPerRoot;
};

/// Offers one gate all calls of the arriving root requests, which the entry node has admitted.
class RootModel
{
public:
    RootModel()
        : m_gate(m_now, GateOptions{.maxLimit = kSlots, .slots = kSlots, .maxQueueDelay = 30ms, .coldStart = Duration{0}})
        , m_random(20261204)
    {
    }

    /// Runs for @a duration while root requests arrive at @a load times the rate that the backend server can finish.
    void run(Duration duration, double load)
    {
        const auto perStep = load * kCapacityPerSecond / kCallsPerRoot * std::chrono::duration<double>(kStep).count();
        for (const auto end = m_now + duration; m_now < end; m_now += kStep) {
            for (m_pendingArrivals += perStep; m_pendingArrivals >= 1; m_pendingArrivals -= 1) {
                begin();
            }
            finishCompleted();
            poll();
        }
    }

    std::uint64_t finishedCount = 0;
    std::uint64_t refusedCount = 0;

private:
    void begin()
    {
        Root root;
        root.context.root = {m_random(), m_random()};
        root.context.requestClass = RequestClass::Lookup;
        root.context.ranksAsRoot = true;
        root.context.depth = 3;
        root.deadline = m_now + 700ms;
        offer(root);
    }

    void offer(const Root &root)
    {
        const auto ticket = ++m_lastTicket;
        auto context = root.context;
        context.remaining = root.deadline - m_now;
        m_waiting[ticket] = root;
        applyDecision(m_gate.offer(m_now, makeGateRequest(m_now, ticket, context)));
        poll();
    }

    void applyDecision(const GateDecision &decision)
    {
        if (decision.verdict == GateVerdict::Queued) {
            return;
        }
        const auto it = m_waiting.find(decision.ticket);
        if (decision.verdict == GateVerdict::Admitted) {
            m_running.emplace(m_now + kServiceTime, std::pair{decision.ticket, it->second});
        } else {
            ++refusedCount;
        }
        m_waiting.erase(it);
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

    void finishCompleted()
    {
        while (!m_running.empty() && m_running.begin()->first <= m_now) {
            auto [ticket, root] = m_running.begin()->second;
            m_running.erase(m_running.begin());
            m_gate.finish(m_now, ticket, kServiceTime, GateResult::Success);
            if (--root.callsLeft == 0) {
                ++finishedCount;
            } else {
                offer(root);
            }
        }
    }

    TimePoint m_now{};
    Gate m_gate;
    Random m_random;
    double m_pendingArrivals = 0;
    std::uint64_t m_lastTicket = 0;
    std::map<std::uint64_t, Root> m_waiting;
    std::multimap<TimePoint, std::pair<std::uint64_t, Root>> m_running;
};

} // namespace

/// Guards against goodput lost when each call of a root request is shed independently: one refused call wastes the work of the others, so
/// every call must shed the same root requests.
TEST(Roots, EachCallOfARootIsShedAlike)
{
    for (const double load : {1.2, 1.5, 2.0}) {
        RootModel model;
        model.run(3s, load);
        model.finishedCount = 0;
        model.run(10s, load);
        const double maxFinished = 10 * kCapacityPerSecond / kCallsPerRoot;
        EXPECT_GE(static_cast<double>(model.finishedCount), 0.85 * maxFinished) << "at a load of " << load;
    }
}
