#pragma once

/// @file
/// Simulates a chain of services in virtual time: simulated backend servers behind the real gates, retry budgets and routers.

#include <chicoryspar/overload.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>

#include "bench/rig_gate.h"
#include "bench/rig_scenario.h"

namespace chicoryspar::rig {

constexpr Duration kHopDelay = std::chrono::microseconds(500);
/// Key in the level caches for the only method that clients call.
constexpr std::uint64_t kLevelKey = 1;

/// Simulates one chain of services under one disturbance.
class Chain
{
public:
    Chain(const Control &control, const Workload &workload, Clock &clock, Random &random, Totals &totals)
        : m_control(control)
        , m_workload(workload)
        , m_clock(clock)
        , m_random(random)
        , m_totals(totals)
    {
        for (std::size_t hop = 0; hop < workload.services.size(); ++hop) {
            for (std::size_t n = 0; n < kUpstreamsPerService; ++n) {
                m_servers.push_back(makeServer(hop, n));
                m_routers.push_back(makeRouter(hop + 1));
            }
        }
        for (std::size_t n = 0; n < kUpstreamsPerService; ++n) {
            m_routers.push_back(makeRouter(0));
        }
        m_entryLevels.resize(kUpstreamsPerService);
        m_ratioBudgets.resize(m_routers.size(), RatioBudget(now()));
    }

    /// Called at the end of a client's attempt with the root request, the number of the attempt, its answer and the retry tokens left.
    std::function<void(Root &, std::uint16_t, const Answer &, std::uint16_t)> onAttemptEnd;

    /// Sends a client's attempt to a random entry node.
    void attempt(Root &root)
    {
        const auto node = drawBelow(m_random, kUpstreamsPerService);
        const auto tokens = m_control.hasBudget ? root.tokens : kRetryTokens;
        const auto id = allocateCall({.root = &root, .node = node, .budget = RetryBudget(tokens), .attempt = root.attempt});
        if (m_control.pushBack > 0 && !m_entryLevels[node].admit(now(), kLevelKey, makeRank(root.context))) {
            endClientAttempt(id, {.reason = Reason::EntryLevel});
            return;
        }
        m_ratioBudgets[nodeIndex(-1, node)].onFirstAttempt();
        callChild(id);
    }

private:
    /// Simulated backend server with its gate. Calls beyond its slots queue inside it, up to its connection limit.
    struct Server
    {
        std::unique_ptr<GateDriver> gate;
        std::uint32_t slots = 0;
        std::uint32_t busy = 0;
        std::deque<std::uint32_t> queue;
    };

    Server makeServer(std::size_t hop, std::size_t n)
    {
        Server server{.slots = m_workload.services[hop].slots};
        if (m_control.hasGate) {
            const auto slots = m_workload.announcedSlots(hop, n);
            const GateOptions options{.algorithm = m_control.algorithm, .slots = slots, .pushBack = m_control.pushBack};
            server.gate = std::make_unique<GateDriver>(m_clock, m_totals, options);
            server.gate->onDecision = [this, gate = server.gate.get()](const GateDecision &decision) { onGateDecision(*gate, decision); };
        }
        return server;
    }

    Router makeRouter(std::size_t hop) const
    {
        Router router(now(), {});
        std::vector<Candidate> candidates;
        for (std::size_t n = 0; hop < m_workload.services.size() && n < kUpstreamsPerService; ++n) {
            const auto slots = m_workload.announcedSlots(hop, n);
            candidates.push_back({.node = nodeOf(hop, n), .slots = slots, .loadHint = static_cast<std::uint8_t>(n * 10)});
        }
        router.setCandidates(now(), candidates);
        return router;
    }

    std::size_t nodeIndex(int hop, std::size_t node) const
    {
        return (hop < 0 ? m_workload.services.size() : static_cast<std::size_t>(hop)) * kUpstreamsPerService + node;
    }

    static NodeId nodeOf(std::size_t hop, std::size_t n)
    {
        return {1 + hop * kUpstreamsPerService + n};
    }

    Server &serverOf(const Call &call)
    {
        return m_servers[nodeIndex(call.hop, call.node)];
    }

    TimePoint now() const
    {
        return m_clock.now();
    }

    std::uint32_t allocateCall(const Call &call)
    {
        if (m_freeCalls.empty()) {
            m_calls.push_back(call);
            return static_cast<std::uint32_t>(m_calls.size() - 1);
        }
        const auto id = m_freeCalls.back();
        m_freeCalls.pop_back();
        m_calls[id] = call;
        return id;
    }

    void endClientAttempt(std::uint32_t id, const Answer &answer)
    {
        const auto call = m_calls[id];
        m_freeCalls.push_back(id);
        onAttemptEnd(*call.root, call.attempt, answer, call.budget.left());
    }

    void callChild(std::uint32_t id)
    {
        auto &call = m_calls[id];
        auto &root = *call.root;
        const auto nextHop = call.hop + 1;
        const auto hop = static_cast<std::size_t>(nextHop);
        auto &router = m_routers[nodeIndex(call.hop, call.node)];
        auto context = root.context;
        context.depth = static_cast<std::uint8_t>(hop);
        RouteDecision decision{.node = nodeOf(hop, drawBelow(m_random, kUpstreamsPerService))};
        if (m_control.hasGate) {
            const auto tried = std::span(&call.tried, call.tried.isValid() ? 1 : 0);
            decision = router.choose(now(), m_random, {.rank = makeRank(context)}, tried);
        }
        if (!decision.node.isValid()) {
            call.descendantLevel = std::max(call.descendantLevel, levelAtParentDepth(router.level(now())));
            onChildEnd(id, {.reason = decision.refusal, .retryAfter = decision.retryAfter});
            return;
        }
        call.tried = decision.node;
        router.onSent(now(), decision.node);
        root.attempts[hop] += 1;
        m_totals.maxAttempts = std::max(m_totals.maxAttempts, root.attempts[hop]);
        Call child{.root = &root, .parent = id, .hop = nextHop, .node = (decision.node.value - 1) % kUpstreamsPerService, .sentAt = now()};
        const auto childId = allocateCall(child);
        m_calls[childId].budget = RetryBudget(m_control.hasBudget ? m_calls[id].budget.grant(childId) : kRetryTokens);
        m_clock.after(kHopDelay, [this, childId] { arrive(childId); });
    }

    void onReply(std::uint32_t id, const Answer &answer, Level level)
    {
        const auto call = m_calls[id];
        m_freeCalls.push_back(id);
        auto &parent = m_calls[call.parent];
        auto &router = m_routers[nodeIndex(parent.hop, parent.node)];
        const auto outcome = call.isAdmitted ? Outcome::Answer : Outcome::NotRun;
        const auto reason = call.isAdmitted ? Reason::None : answer.reason;
        router.onResult(now(), nodeOf(static_cast<std::size_t>(call.hop), call.node),
                        {.latency = now() - call.sentAt, .outcome = outcome, .reason = reason, .level = level});
        parent.budget.returnTokens(id, call.budget.left());
        if (parent.hop >= 0) {
            parent.descendantLevel =
                std::max(parent.descendantLevel, levelAtParentDepth(std::max(router.level(now()), call.descendantLevel)));
        } else if (call.isAdmitted) {
            m_entryLevels[parent.node].record(now(), kLevelKey, call.descendantLevel);
        }
        onChildEnd(call.parent, answer);
    }

    void onChildEnd(std::uint32_t id, const Answer &answer)
    {
        auto &call = m_calls[id];
        auto &ratioBudget = m_ratioBudgets[nodeIndex(call.hop, call.node)];
        bool isRetried = !answer.isComplete && ++call.retries < kRetryTokens;
        if (m_control.hasBudget) {
            isRetried = !answer.isComplete && mayRetry(Outcome::NotRun, answer.reason, true) && call.budget.left() > 0
                && ratioBudget.takeRetry(now()) && call.budget.takeRetry();
        }
        if (isRetried) {
            const auto delay = m_control.hasBudget ? backoffDelay(m_random, {}, call.retries, answer.retryAfter) : BackoffOptions{}.base;
            m_clock.after(delay, [this, id] { callChild(id); });
        } else if (call.hop < 0) {
            endClientAttempt(id, answer);
        } else {
            finishService(id, answer);
        }
    }

    void arrive(std::uint32_t id)
    {
        const auto &call = m_calls[id];
        auto &server = serverOf(call);
        m_ratioBudgets[nodeIndex(call.hop, call.node)].onFirstAttempt();
        if (!server.gate) {
            startOrQueue(id);
            return;
        }
        auto context = call.root->context;
        context.depth = static_cast<std::uint8_t>(call.hop);
        context.remaining = call.root->deadline - now();
        server.gate->offer(id, context);
    }

    void onGateDecision(GateDriver &gate, const GateDecision &decision)
    {
        const auto id = static_cast<std::uint32_t>(decision.ticket);
        gate.audit(m_calls[id].root->context.requestClass, decision);
        if (decision.verdict == GateVerdict::Admitted) {
            startOrQueue(id);
        } else {
            reply(id, {.reason = decision.reason, .retryAfter = decision.retryAfter});
        }
    }

    void startOrQueue(std::uint32_t id)
    {
        auto &call = m_calls[id];
        auto &server = serverOf(call);
        call.isAdmitted = true;
        call.admittedAt = now();
        if (server.busy < server.slots) {
            startService(id);
        } else if (server.busy + server.queue.size() < m_workload.services[static_cast<std::size_t>(call.hop)].connections) {
            server.queue.push_back(id);
        } else {
            call.isAdmitted = false;
            reply(id, {.reason = Reason::QueueFull});
        }
    }

    void startService(std::uint32_t id)
    {
        const auto &call = m_calls[id];
        const auto hop = static_cast<std::size_t>(call.hop);
        auto &server = serverOf(call);
        ++server.busy;
        const auto contentionFactor = 1 + m_workload.disturbance.contention * static_cast<double>(server.queue.size()) / server.slots;
        const auto meanSeconds = m_workload.meanServiceSeconds(hop) * m_workload.slowdownFactor(hop, call.node, now());
        const auto seconds = meanSeconds * contentionFactor * -std::log(1 - drawUnit(m_random));
        call.root->serviceSeconds += seconds;
        const bool isLast = hop + 1 == m_workload.services.size();
        m_clock.after(Duration(static_cast<std::int64_t>(seconds * 1e6)),
                      [this, id, isLast] { isLast ? finishService(id, {.isComplete = true}) : callChild(id); });
    }

    /// Ends a call at its backend server and releases its slot, which was held while its child calls ran.
    void finishService(std::uint32_t id, const Answer &answer)
    {
        const auto &call = m_calls[id];
        auto &server = serverOf(call);
        --server.busy;
        if (!server.queue.empty()) {
            const auto next = server.queue.front();
            server.queue.pop_front();
            startService(next);
        }
        if (server.gate) {
            server.gate->finish(id, now() - call.admittedAt, answer.isComplete ? GateResult::Success : GateResult::Failure);
        }
        reply(id, answer);
    }

    void reply(std::uint32_t id, const Answer &answer)
    {
        const auto &gate = serverOf(m_calls[id]).gate;
        const auto level = gate ? gate->level() : Level{};
        m_clock.after(kHopDelay, [this, id, answer, level] { onReply(id, answer, level); });
    }

    Control m_control;
    const Workload &m_workload;
    Clock &m_clock;
    Random &m_random;
    Totals &m_totals;
    std::deque<Server> m_servers;
    std::vector<Router> m_routers;
    std::vector<LevelCache> m_entryLevels;
    std::vector<RatioBudget> m_ratioBudgets;
    std::deque<Call> m_calls;
    std::vector<std::uint32_t> m_freeCalls;
};

} // namespace chicoryspar::rig
