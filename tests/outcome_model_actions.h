#pragma once

/// @file
/// Actions of the nodes, executors and callers of the outcome model.

#include "tests/outcome_model.h"

namespace chicoryspar::model {

// Nodes

inline void World::start(std::size_t n)
{
    auto &node = m_nodes[n];
    if (node.owner) {
        return;
    }
    note({}, "node" + std::to_string(n) + " starts");
    node.side = m_random();
    ++node.boot;
    KeyOwnerOptions options{
        .self = node.id,
        .incarnation = static_cast<std::uint64_t>(toMilliseconds(m_now.time_since_epoch())),
        .limits = {.lifetime = kLifetime, .futureTolerance = kFutureTolerance, .maxSkew = kSkew},
        .founders = m_options.founders,
        .helloInterval = 100ms,
        .supportDuration = 300ms,
        .silenceTimeout = 600ms,
        .foundingDelay = 300ms,
        .queryTimeout = 200ms,
        .runTimeout = 4s,
        .maxEntries = m_options.maxEntries,
        .rules = m_options.rules,
    };
    node.owner = std::make_unique<KeyOwner>(m_now, options);
    node.gate = std::make_unique<DispatchGate>(wall(node), m_options.gate);
    std::vector<NodeId> contacts;
    for (const auto &it : m_nodes) {
        contacts.push_back(it.id);
    }
    node.owner->setContacts(contacts);
    tick(n, node.boot);
}

inline void World::stop(std::size_t n)
{
    note({}, "node" + std::to_string(n) + " stops");
    auto &node = m_nodes[n];
    node.owner.reset();
    node.gate.reset();
    node.waiters.clear();
    node.dispatches.clear();
    node.pausedUntil = {};
    ++node.boot;
}

inline void World::tick(std::size_t n, std::uint64_t boot)
{
    inside(n, boot, [this, n, boot] {
        m_nodes[n].owner->onTimer(m_now, wall(m_nodes[n]));
        after(50ms, [this, n, boot] { tick(n, boot); });
    });
}

/// Delivers the queued messages and events of the record owner of node @a n.
inline void World::flush(std::size_t n)
{
    auto &node = m_nodes[n];
    if (!node.owner) {
        return;
    }
    for (auto &it : node.owner->takeMessages()) {
        const auto to = indexOf(it.to);
        carry(node.side, to, false,
              [this, to, message = std::move(it.message)] { m_nodes[to].owner->onMessage(m_now, wall(m_nodes[to]), message); });
    }
    for (const auto &it : node.owner->takeEvents()) {
        const auto [begin, end] = node.waiters.equal_range(it.key);
        std::vector<std::shared_ptr<Attempt>> waiting;
        for (auto waiter = begin; waiter != end; ++waiter) {
            waiting.push_back(waiter->second);
        }
        if (it.decision.verdict == KeyVerdict::Run) {
            dispatch(n, it.key);
            continue;
        }
        node.waiters.erase(begin, end);
        for (const auto &waiter : waiting) {
            reply(n, waiter, it.decision);
        }
    }
}

inline std::size_t World::drawUp()
{
    for (;;) {
        const auto n = drawBelow(m_random, m_nodes.size());
        if (m_nodes[n].owner || chance(0.02)) {
            return n;
        }
    }
}

inline void World::fault()
{
    after(draw(0ms, 2 * m_options.faultInterval), [this] { fault(); });
    if (m_now > TimePoint(m_options.length)) {
        return;
    }
    std::discrete_distribution<int> pick(m_options.faultWeights.begin(), m_options.faultWeights.end());
    const auto kind = static_cast<Fault>(pick(m_random));
    const auto n = drawUp();
    auto &node = m_nodes[n];
    switch (kind) {
    case CrashForGood:
        stop(n);
        after(draw(8s, 15s), [this, n] { start(n); });
        break;
    case Crash:
        stop(n);
        after(draw(50ms, 3s), [this, n] { start(n); });
        break;
    case Pause:
        note({}, "node" + std::to_string(n) + " pauses");
        node.pausedUntil = m_now + (chance(0.5) ? draw(100ms, 1s) : draw(1s, 10s));
        break;
    case Cut:
        cut();
        break;
    case Leave:
        leave(n);
        break;
    case ClockStep:
        node.skew = draw(0ms, kSkew) - kSkew / 2;
        break;
    }
}

inline void World::cut()
{
    if (m_cut != 0 && chance(0.5)) {
        return;
    }
    m_cut = std::uint64_t{1} << drawBelow(m_random, 64);
    m_oneWay = chance(0.3);
    note({}, m_oneWay ? "one-way cut begins" : "cut begins");
    after(chance(0.5) ? draw(100ms, 2s) : draw(2s, 12s), [this, cut = m_cut] {
        if (m_cut == cut) {
            m_cut = 0;
            note({}, "cut ends");
        }
    });
}

inline void World::leave(std::size_t n)
{
    const auto boot = m_nodes[n].boot;
    inside(n, boot, [this, n, boot] {
        note({}, "node" + std::to_string(n) + " begins to leave");
        m_nodes[n].owner->beginLeave(m_now, wall(m_nodes[n]));
        awaitLeft(n, boot, m_now + 3s);
    });
}

inline void World::awaitLeft(std::size_t n, std::uint64_t boot, TimePoint until)
{
    inside(n, boot, [this, n, boot, until] {
        if (!m_nodes[n].owner->hasLeft() && m_now < until) {
            after(50ms, [this, n, boot, until] { awaitLeft(n, boot, until); });
            return;
        }
        stop(n);
        after(draw(50ms, 2s), [this, n] { start(n); });
    });
}

// Callers and entry nodes

inline void World::newKey()
{
    if (m_now > TimePoint(m_options.length)) {
        return;
    }
    after(draw(0ms, 2 * m_options.keyInterval), [this] { newKey(); });
    auto ahead = draw(0ms, 2 * kSkew) - kSkew + m_options.callerClockAhead;
    if (chance(0.03)) {
        ahead = draw(0ms, 4s) - 2s;
    }
    attempt(makeRequestId(WallTime(m_now.time_since_epoch() + 1000s + ahead), m_random), true, 5);
}

inline void World::attempt(const RequestId &key, bool first, int left)
{
    auto it = std::make_shared<Attempt>(Attempt{.key = key, .first = first, .left = left, .side = m_random()});
    it->deadline = m_now + kAttemptTime;
    m_history[key];
    after(kAttemptTime, [this, it] { tell(it, {KeyVerdict::Unknown, Reason::DeadlineExpired}); });
    after(chance(0.03) ? draw(0ms, 10s) : 0ms, [this, it] { askAny(it); });
    if (first && chance(0.1)) {
        after(draw(1ms, 300ms), [this, key] { attempt(key, false, 1); });
        it->first = false;
    }
}

inline void World::askAny(const std::shared_ptr<Attempt> &attempt)
{
    std::vector<NodeId> view;
    for (const auto &it : m_nodes) {
        const bool up = it.owner && isConnected(attempt->side, it.side);
        if (chance(up ? 0.95 : 0.1)) {
            view.push_back(it.id);
        }
    }
    ask(attempt, chooseOwner(view, attempt->key));
}

inline void World::ask(const std::shared_ptr<Attempt> &attempt, NodeId to)
{
    if (!to.isValid()) {
        return;
    }
    const auto n = indexOf(to);
    const auto asked = ++attempt->asked;
    const KeyRequest request{attempt->key, 1, attempt->first && !attempt->unresolved};
    carry(attempt->side, n, true,
          [this, n, attempt, request] { decide(n, attempt, m_nodes[n].owner->onRequest(m_now, wall(m_nodes[n]), request)); });
    after(700ms, [this, attempt, asked] {
        if (attempt->asked == asked && m_now < attempt->deadline) {
            attempt->unresolved = true;
            askAny(attempt);
        }
    });
}

inline void World::decide(std::size_t n, const std::shared_ptr<Attempt> &attempt, const KeyDecision &decision)
{
    note(attempt->key, "node" + std::to_string(n) + " decides " + std::string(nameOf(decision.verdict)));
    if (decision.verdict == KeyVerdict::Run || decision.verdict == KeyVerdict::Join) {
        m_nodes[n].waiters.emplace(attempt->key, attempt);
    }
    if (decision.verdict == KeyVerdict::Run) {
        dispatch(n, attempt->key);
    } else if (decision.verdict != KeyVerdict::Join) {
        reply(n, attempt, decision);
    }
}

/// Delivers a decision of node @a n to the entry node.
inline void World::reply(std::size_t n, const std::shared_ptr<Attempt> &attempt, const KeyDecision &decision)
{
    if (chance(m_options.lossShare)) {
        return;
    }
    after(chance(m_options.lateShare) ? draw(20ms, 5s) : draw(1ms, 20ms), [this, side = m_nodes[n].side, attempt, decision] {
        if (isConnected(side, attempt->side)) {
            tell(attempt, decision);
        }
    });
}

inline void World::tell(const std::shared_ptr<Attempt> &attempt, const KeyDecision &decision)
{
    if (attempt->closed) {
        return;
    }
    auto &history = m_history[attempt->key];
    const bool again = decision.verdict == KeyVerdict::Forward || decision.verdict == KeyVerdict::Later;
    if (again && m_now < attempt->deadline) {
        ++attempt->asked;
        after(decision.verdict == KeyVerdict::Later ? 50ms : 0ms,
              [this, attempt, node = decision.node] { node.isValid() ? ask(attempt, node) : askAny(attempt); });
        return;
    }
    note(attempt->key, "caller is told " + std::string(nameOf(decision.verdict)) + " " + std::string(rowOf(decision.reason).name));
    switch (decision.verdict) {
    case KeyVerdict::Answer:
        history.answers.push_back(decision.answer->body);
        break;
    case KeyVerdict::NotRun:
        // No proof when the entry node also sent the request to another node that didn't reply.
        if (attempt->unresolved) {
            ++history.unknown;
        } else {
            ++history.notRun;
        }
        break;
    default:
        ++history.unknown;
        break;
    }
    ++attempt->asked;
    attempt->closed = true;
    repeat(attempt, decision.reason);
}

/// Retries an attempt with an unknown outcome, and some with a known one. A key whose first attempt was dropped as uncertain isn't retried:
/// it may run on a retry although it was reported as not run.
inline void World::repeat(const std::shared_ptr<Attempt> &attempt, Reason reason)
{
    const auto &history = m_history[attempt->key];
    const bool known = history.notRun > 0 || !history.answers.empty();
    const bool uncertain = reason == Reason::KeyOwnerUncertain || reason == Reason::KeyFromFuture || reason == Reason::Stopping;
    const bool dropped = history.notRun > 0 && uncertain;
    if (attempt->left == 0 || dropped || (known && !chance(0.1))) {
        return;
    }
    after(draw(20ms, 1500ms), [this, key = attempt->key, left = attempt->left] { this->attempt(key, false, left - 1); });
}

// Dispatch

inline void World::dispatch(std::size_t n, const RequestId &key)
{
    const auto boot = m_nodes[n].boot;
    after(chance(0.02) ? draw(0ms, 8s) : 0ms, [this, n, boot, key] {
        inside(n, boot, [this, n, key] {
            auto &node = m_nodes[n];
            const auto to = drawUp();
            const auto dispatch = node.owner->beginDispatch(wall(node), key, m_nodes[to].id, wall(node) + kAttemptTime);
            node.dispatches[key] = dispatch;
            send(n, to, dispatch);
        });
    });
}

inline void World::send(std::size_t n, std::size_t to, const KeyDispatch &dispatch)
{
    const auto boot = m_nodes[n].boot;
    carry(m_nodes[n].side, to, false, [this, n, to, boot, dispatch] {
        auto &executor = m_nodes[to];
        const auto verdict = executor.gate->admit(wall(executor), dispatch);
        if (verdict == DispatchVerdict::Started) {
            return;
        }
        if (verdict != DispatchVerdict::Start || chance(m_options.refusedShare)) {
            if (verdict == DispatchVerdict::Start) {
                executor.gate->withdraw(dispatch);
            }
            report(to, n, boot, dispatch, verdict == DispatchVerdict::Start ? DispatchVerdict::NotRun : verdict, {});
            return;
        }
        const auto text = "answer " + std::to_string(++m_executions);
        auto &history = m_history[dispatch.key];
        history.executions.push_back(text);
        history.lateStarts += wall(executor) > dispatch.notAfter ? 1 : 0;
        note(dispatch.key, "node" + std::to_string(to) + " starts it for node" + std::to_string(n));
        after(draw(5ms, 400ms), [this, n, to, boot, dispatch, text, executorBoot = executor.boot] {
            inside(to, executorBoot, [this, n, to, boot, dispatch, text] { report(to, n, boot, dispatch, DispatchVerdict::Start, text); });
        });
    });
    after(800ms, [this, n, to, boot, dispatch] {
        inside(n, boot, [this, n, to, dispatch] {
            if (m_nodes[n].dispatches.contains(dispatch.key)) {
                resolve(n, to, dispatch);
            }
        });
    });
}

/// Queries the executor about a dispatch without a result.
inline void World::resolve(std::size_t n, std::size_t to, const KeyDispatch &dispatch)
{
    const auto boot = m_nodes[n].boot;
    carry(m_nodes[n].side, to, false,
          [this, n, to, boot, dispatch] { report(to, n, boot, dispatch, m_nodes[to].gate->resolve(wall(m_nodes[to]), dispatch), {}); });
    after(500ms, [this, n, boot, dispatch] {
        inside(n, boot, [this, n, dispatch] {
            if (m_nodes[n].dispatches.contains(dispatch.key)) {
                m_nodes[n].owner->onLost(dispatch.key, Reason::ConnectionSilent);
            }
        });
    });
}

/// Delivers the result of a dispatch to its owner. The verdict Start means that the executor returned the answer @a text.
inline void World::report(std::size_t from, std::size_t n, std::uint64_t boot, const KeyDispatch &dispatch, DispatchVerdict verdict,
                          const std::string &text)
{
    carry(m_nodes[from].side, n, false, [this, n, boot, dispatch, verdict, text] {
        auto &node = m_nodes[n];
        const auto it = node.dispatches.find(dispatch.key);
        if (node.boot != boot || it == node.dispatches.end() || it->second.attempt != dispatch.attempt) {
            return;
        }
        if (verdict == DispatchVerdict::Start) {
            node.dispatches.erase(it);
            node.owner->onAnswer(dispatch.key, {200, {}, text});
        } else if (verdict == DispatchVerdict::NotRun) {
            node.dispatches.erase(it);
            dispatch.attempt < 3 ? this->dispatch(n, dispatch.key) : node.owner->onNotRun(dispatch.key, Reason::ShedByBackend);
        } else {
            node.owner->onLost(dispatch.key, Reason::ConnectionLost);
        }
    });
}

} // namespace chicoryspar::model
