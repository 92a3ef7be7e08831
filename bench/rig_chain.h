#pragma once

/// @file
/// A fake backend server, put into a chain of calls behind the core's own gates, budgets and routers, in virtual time.

#include <chicoryspar/overload.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>

#include "bench/rig_gate.h"
#include "bench/rig_scenario.h"

namespace chicoryspar::rig {

constexpr Duration kHopDelay = std::chrono::microseconds(500);
/// Key of the levels of the one method that clients call.
constexpr std::uint64_t kLevelKey = 1;

/// Runs one chain under one cause.
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
            for (std::size_t n = 0; n < kUpstreams; ++n) {
                m_servers.push_back(makeServer(hop, n));
                m_routers.push_back(makeRouter(hop + 1));
            }
        }
        for (std::size_t n = 0; n < kUpstreams; ++n) {
            m_routers.push_back(makeRouter(0));
        }
        m_entryLevels.resize(kUpstreams);
        m_ratios.resize(m_routers.size(), RatioBudget(now()));
    }

    /// Called with the root, the number of the attempt, how it ended and the tokens that are left.
    std::function<void(Root &, std::uint16_t, const Answer &, std::uint16_t)> onEnd;

    /// Sends an attempt of a client to one of the entry nodes.
    void attempt(Root &root)
    {
        const auto node = drawBelow(m_random, kUpstreams);
        const auto tokens = m_control.hasBudget ? root.tokens : kBudget;
        const auto id = makeCall({.root = &root, .node = node, .budget = RetryBudget(tokens), .attempt = root.attempt});
        if (m_control.pushBack > 0 && !m_entryLevels[node].admit(now(), kLevelKey, makeRank(root.context))) {
            endRoot(id, {.reason = Reason::EntryLevel});
            return;
        }
        m_ratios[placeOf(-1, node)].onFirstAttempt();
        callChild(id);
    }

private:
    /// Fake of a backend server: slots, a queue up to its connections, and the gate before it.
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
            server.gate->onDecision = [this, gate = server.gate.get()](const GateDecision &decision) { handle(*gate, decision); };
        }
        return server;
    }

    Router makeRouter(std::size_t hop) const
    {
        Router router(now(), {});
        std::vector<Candidate> candidates;
        for (std::size_t n = 0; hop < m_workload.services.size() && n < kUpstreams; ++n) {
            const auto slots = m_workload.announcedSlots(hop, n);
            candidates.push_back({.node = nodeOf(hop, n), .slots = slots, .loadHint = static_cast<std::uint8_t>(n * 10)});
        }
        router.setCandidates(now(), candidates);
        return router;
    }

    std::size_t placeOf(int hop, std::size_t node) const
    {
        return (hop < 0 ? m_workload.services.size() : static_cast<std::size_t>(hop)) * kUpstreams + node;
    }

    static NodeId nodeOf(std::size_t hop, std::size_t n)
    {
        return {1 + hop * kUpstreams + n};
    }

    Server &serverOf(const Call &call)
    {
        return m_servers[placeOf(call.hop, call.node)];
    }

    TimePoint now() const
    {
        return m_clock.now();
    }

    std::uint32_t makeCall(const Call &call)
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

    void endRoot(std::uint32_t id, const Answer &answer)
    {
        const auto call = m_calls[id];
        m_freeCalls.push_back(id);
        onEnd(*call.root, call.attempt, answer, call.budget.left());
    }

    void callChild(std::uint32_t id)
    {
        auto &call = m_calls[id];
        auto &root = *call.root;
        const auto nextHop = call.hop + 1;
        const auto hop = static_cast<std::size_t>(nextHop);
        auto &router = m_routers[placeOf(call.hop, call.node)];
        auto context = root.context;
        context.depth = static_cast<std::uint8_t>(hop);
        RouteDecision decision{.node = nodeOf(hop, drawBelow(m_random, kUpstreams))};
        if (m_control.hasGate) {
            const auto tried = std::span(&call.tried, call.tried.isValid() ? 1 : 0);
            decision = router.choose(now(), m_random, {.rank = makeRank(context)}, tried);
        }
        if (!decision.node.isValid()) {
            call.below = std::max(call.below, levelAtParentDepth(router.level(now())));
            endChild(id, {.reason = decision.refusal, .retryAfter = decision.retryAfter});
            return;
        }
        call.tried = decision.node;
        router.onSent(now(), decision.node);
        root.attempts[hop] += 1;
        m_totals.maxAttempts = std::max(m_totals.maxAttempts, root.attempts[hop]);
        Call child{.root = &root, .parent = id, .hop = nextHop, .node = (decision.node.value - 1) % kUpstreams, .sentAt = now()};
        const auto childId = makeCall(child);
        m_calls[childId].budget = RetryBudget(m_control.hasBudget ? m_calls[id].budget.grant(childId) : kBudget);
        m_clock.after(kHopDelay, [this, childId] { reach(childId); });
    }

    void replied(std::uint32_t id, const Answer &answer, Level level)
    {
        const auto call = m_calls[id];
        m_freeCalls.push_back(id);
        auto &parent = m_calls[call.parent];
        auto &router = m_routers[placeOf(parent.hop, parent.node)];
        const auto outcome = call.isAdmitted ? Outcome::Answer : Outcome::NotRun;
        const auto reason = call.isAdmitted ? Reason::None : answer.reason;
        router.onResult(now(), nodeOf(static_cast<std::size_t>(call.hop), call.node),
                        {.latency = now() - call.sentAt, .outcome = outcome, .reason = reason, .level = level});
        parent.budget.returnTokens(id, call.budget.left());
        if (parent.hop >= 0) {
            parent.below = std::max(parent.below, levelAtParentDepth(std::max(router.level(now()), call.below)));
        } else if (call.isAdmitted) {
            m_entryLevels[parent.node].record(now(), kLevelKey, call.below);
        }
        endChild(call.parent, answer);
    }

    void endChild(std::uint32_t id, const Answer &answer)
    {
        auto &call = m_calls[id];
        auto &ratio = m_ratios[placeOf(call.hop, call.node)];
        bool isRepeated = !answer.isWhole && ++call.repeats < kBudget;
        if (m_control.hasBudget) {
            isRepeated = !answer.isWhole && mayRetry(Outcome::NotRun, answer.reason, true) && call.budget.left() > 0
                && ratio.takeRetry(now()) && call.budget.takeRetry();
        }
        if (isRepeated) {
            const auto delay = m_control.hasBudget ? backoffDelay(m_random, {}, call.repeats, answer.retryAfter) : BackoffOptions{}.base;
            m_clock.after(delay, [this, id] { callChild(id); });
        } else if (call.hop < 0) {
            endRoot(id, answer);
        } else {
            leave(id, answer);
        }
    }

    void reach(std::uint32_t id)
    {
        const auto &call = m_calls[id];
        auto &server = serverOf(call);
        m_ratios[placeOf(call.hop, call.node)].onFirstAttempt();
        if (!server.gate) {
            enter(id);
            return;
        }
        auto context = call.root->context;
        context.depth = static_cast<std::uint8_t>(call.hop);
        context.remaining = call.root->deadline - now();
        server.gate->offer(id, context);
    }

    void handle(GateDriver &gate, const GateDecision &decision)
    {
        const auto id = static_cast<std::uint32_t>(decision.ticket);
        gate.audit(m_calls[id].root->context.requestClass, decision);
        if (decision.verdict == GateVerdict::Admitted) {
            enter(id);
        } else {
            reply(id, {.reason = decision.reason, .retryAfter = decision.retryAfter});
        }
    }

    void enter(std::uint32_t id)
    {
        auto &call = m_calls[id];
        auto &server = serverOf(call);
        call.isAdmitted = true;
        call.admittedAt = now();
        if (server.busy < server.slots) {
            begin(id);
        } else if (server.busy + server.queue.size() < m_workload.services[static_cast<std::size_t>(call.hop)].connections) {
            server.queue.push_back(id);
        } else {
            call.isAdmitted = false;
            reply(id, {.reason = Reason::QueueFull});
        }
    }

    void begin(std::uint32_t id)
    {
        const auto &call = m_calls[id];
        const auto hop = static_cast<std::size_t>(call.hop);
        auto &server = serverOf(call);
        ++server.busy;
        const auto crowding = 1 + m_workload.cause.contention * static_cast<double>(server.queue.size()) / server.slots;
        const auto usual = m_workload.workSeconds(hop) * m_workload.slowness(hop, call.node, now());
        const auto seconds = usual * crowding * -std::log(1 - drawUnit(m_random));
        call.root->work += seconds;
        const bool isLast = hop + 1 == m_workload.services.size();
        m_clock.after(Duration(static_cast<std::int64_t>(seconds * 1e6)),
                      [this, id, isLast] { isLast ? leave(id, {.isWhole = true}) : callChild(id); });
    }

    /// Ends a call at its backend server; the slot was held while calls below ran.
    void leave(std::uint32_t id, const Answer &answer)
    {
        const auto &call = m_calls[id];
        auto &server = serverOf(call);
        --server.busy;
        if (!server.queue.empty()) {
            const auto next = server.queue.front();
            server.queue.pop_front();
            begin(next);
        }
        if (server.gate) {
            server.gate->finish(id, now() - call.admittedAt, answer.isWhole ? GateResult::Success : GateResult::Failure);
        }
        reply(id, answer);
    }

    void reply(std::uint32_t id, const Answer &answer)
    {
        const auto &gate = serverOf(m_calls[id]).gate;
        const auto level = gate ? gate->level() : Level{};
        m_clock.after(kHopDelay, [this, id, answer, level] { replied(id, answer, level); });
    }

    Control m_control;
    const Workload &m_workload;
    Clock &m_clock;
    Random &m_random;
    Totals &m_totals;
    std::deque<Server> m_servers;
    std::vector<Router> m_routers;
    std::vector<LevelCache> m_entryLevels;
    std::vector<RatioBudget> m_ratios;
    std::deque<Call> m_calls;
    std::vector<std::uint32_t> m_freeCalls;
};

} // namespace chicoryspar::rig
