#pragma once

/// @file
/// Actions of the nodes, executors and callers of the outcome model.

#include "tests/outcome_model.h"

namespace chicoryspar::model {

// Nodes

inline void Simulation::start(std::size_t n)
{
    auto &node = m_nodes[n];
    if (node.owner) {
        return;
    }
    log({}, "node" + std::to_string(n) + " starts");
    node.partitionBits = m_random();
    ++node.boot;
    KeyOwnerOptions options{
        .self = node.id,
        .incarnation = static_cast<std::uint64_t>(toMilliseconds(m_now.time_since_epoch())),
        .limits = {.lifetime = kKeyLifetime, .futureTolerance = kFutureTolerance, .maxSkew = kSkew},
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

inline void Simulation::stop(std::size_t n)
{
    log({}, "node" + std::to_string(n) + " stops");
    auto &node = m_nodes[n];
    node.owner.reset();
    node.gate.reset();
    node.waiters.clear();
    node.dispatches.clear();
    node.pausedUntil = {};
    ++node.boot;
}

inline void Simulation::tick(std::size_t n, std::uint64_t boot)
{
    runInProcess(n, boot, [this, n, boot] {
        m_nodes[n].owner->onTimer(m_now, wall(m_nodes[n]));
        schedule(50ms, [this, n, boot] { tick(n, boot); });
    });
}

/// Delivers the queued messages and events of the record owner of node @a n.
inline void Simulation::flush(std::size_t n)
{
    auto &node = m_nodes[n];
    if (!node.owner) {
        return;
    }
    for (auto &it : node.owner->takeMessages()) {
        const auto to = indexOf(it.to);
        deliver(node.partitionBits, to, false,
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
            sendReply(n, waiter, it.decision);
        }
    }
}

inline std::size_t Simulation::drawRunningNode()
{
    for (;;) {
        const auto n = drawBelow(m_random, m_nodes.size());
        if (m_nodes[n].owner || drawBool(0.02)) {
            return n;
        }
    }
}

inline void Simulation::injectFault()
{
    schedule(drawDuration(0ms, 2 * m_options.faultInterval), [this] { injectFault(); });
    if (m_now > TimePoint(m_options.duration)) {
        return;
    }
    std::discrete_distribution<int> pick(m_options.faultWeights.begin(), m_options.faultWeights.end());
    const auto kind = static_cast<Fault>(pick(m_random));
    const auto n = drawRunningNode();
    auto &node = m_nodes[n];
    switch (kind) {
    case LongCrash:
        stop(n);
        schedule(drawDuration(8s, 15s), [this, n] { start(n); });
        break;
    case Crash:
        stop(n);
        schedule(drawDuration(50ms, 3s), [this, n] { start(n); });
        break;
    case Pause:
        log({}, "node" + std::to_string(n) + " pauses");
        node.pausedUntil = m_now + (drawBool(0.5) ? drawDuration(100ms, 1s) : drawDuration(1s, 10s));
        break;
    case Partition:
        startPartition();
        break;
    case Leave:
        beginLeave(n);
        break;
    case ClockStep:
        node.skew = drawDuration(0ms, kSkew) - kSkew / 2;
        break;
    }
}

inline void Simulation::startPartition()
{
    if (m_partitionBit != 0 && drawBool(0.5)) {
        return;
    }
    m_partitionBit = std::uint64_t{1} << drawBelow(m_random, 64);
    m_isOneWay = drawBool(0.3);
    log({}, m_isOneWay ? "one-way partition begins" : "partition begins");
    schedule(drawBool(0.5) ? drawDuration(100ms, 2s) : drawDuration(2s, 12s), [this, bit = m_partitionBit] {
        if (m_partitionBit == bit) {
            m_partitionBit = 0;
            log({}, "partition ends");
        }
    });
}

inline void Simulation::beginLeave(std::size_t n)
{
    const auto boot = m_nodes[n].boot;
    runInProcess(n, boot, [this, n, boot] {
        log({}, "node" + std::to_string(n) + " begins to leave");
        m_nodes[n].owner->beginLeave(m_now, wall(m_nodes[n]));
        awaitLeave(n, boot, m_now + 3s);
    });
}

inline void Simulation::awaitLeave(std::size_t n, std::uint64_t boot, TimePoint until)
{
    runInProcess(n, boot, [this, n, boot, until] {
        if (!m_nodes[n].owner->hasLeft() && m_now < until) {
            schedule(50ms, [this, n, boot, until] { awaitLeave(n, boot, until); });
            return;
        }
        stop(n);
        schedule(drawDuration(50ms, 2s), [this, n] { start(n); });
    });
}

// Callers and entry nodes

inline void Simulation::startKey()
{
    if (m_now > TimePoint(m_options.duration)) {
        return;
    }
    schedule(drawDuration(0ms, 2 * m_options.keyInterval), [this] { startKey(); });
    auto clockAhead = drawDuration(0ms, 2 * kSkew) - kSkew + m_options.callerClockAhead;
    if (drawBool(0.03)) {
        clockAhead = drawDuration(0ms, 4s) - 2s;
    }
    attempt(makeRequestId(WallTime(m_now.time_since_epoch() + 1000s + clockAhead), m_random), true, 5);
}

inline void Simulation::attempt(const RequestId &key, bool isOnlyAttempt, int attemptsLeft)
{
    auto it = std::make_shared<Attempt>(
        Attempt{.key = key, .isOnlyAttempt = isOnlyAttempt, .attemptsLeft = attemptsLeft, .partitionBits = m_random()});
    it->deadline = m_now + kAttemptTimeout;
    m_history[key];
    schedule(kAttemptTimeout, [this, it] { receiveDecision(it, {KeyVerdict::Unknown, Reason::DeadlineExpired}); });
    schedule(drawBool(0.03) ? drawDuration(0ms, 10s) : 0ms, [this, it] { sendToOwner(it); });
    if (isOnlyAttempt && drawBool(0.1)) {
        schedule(drawDuration(1ms, 300ms), [this, key] { attempt(key, false, 1); });
        it->isOnlyAttempt = false;
    }
}

inline void Simulation::sendToOwner(const std::shared_ptr<Attempt> &attempt)
{
    std::vector<NodeId> view;
    for (const auto &it : m_nodes) {
        const bool up = it.owner && isConnected(attempt->partitionBits, it.partitionBits);
        if (drawBool(up ? 0.95 : 0.1)) {
            view.push_back(it.id);
        }
    }
    sendRequest(attempt, chooseOwner(view, attempt->key));
}

inline void Simulation::sendRequest(const std::shared_ptr<Attempt> &attempt, NodeId to)
{
    if (!to.isValid()) {
        return;
    }
    const auto n = indexOf(to);
    const auto sendNumber = ++attempt->sendCount;
    const KeyRequest request{attempt->key, 1, attempt->isOnlyAttempt && !attempt->isUnresolved};
    deliver(attempt->partitionBits, n, true,
            [this, n, attempt, request] { applyDecision(n, attempt, m_nodes[n].owner->onRequest(m_now, wall(m_nodes[n]), request)); });
    schedule(700ms, [this, attempt, sendNumber] {
        if (attempt->sendCount == sendNumber && m_now < attempt->deadline) {
            attempt->isUnresolved = true;
            sendToOwner(attempt);
        }
    });
}

/// Acts on the decision of the record owner of node @a n: starts a dispatch, waits, or replies.
inline void Simulation::applyDecision(std::size_t n, const std::shared_ptr<Attempt> &attempt, const KeyDecision &decision)
{
    log(attempt->key, "node" + std::to_string(n) + " decides " + std::string(nameOf(decision.verdict)));
    if (decision.verdict == KeyVerdict::Run || decision.verdict == KeyVerdict::Join) {
        m_nodes[n].waiters.emplace(attempt->key, attempt);
    }
    if (decision.verdict == KeyVerdict::Run) {
        dispatch(n, attempt->key);
    } else if (decision.verdict != KeyVerdict::Join) {
        sendReply(n, attempt, decision);
    }
}

/// Delivers a decision of node @a n to the entry node.
inline void Simulation::sendReply(std::size_t n, const std::shared_ptr<Attempt> &attempt, const KeyDecision &decision)
{
    if (drawBool(m_options.lossShare)) {
        return;
    }
    schedule(drawBool(m_options.lateShare) ? drawDuration(20ms, 5s) : drawDuration(1ms, 20ms),
             [this, bits = m_nodes[n].partitionBits, attempt, decision] {
                 if (isConnected(bits, attempt->partitionBits)) {
                     receiveDecision(attempt, decision);
                 }
             });
}

/// Processes a decision at the entry node: sends the request again, or reports the outcome to the caller.
inline void Simulation::receiveDecision(const std::shared_ptr<Attempt> &attempt, const KeyDecision &decision)
{
    if (attempt->isClosed) {
        return;
    }
    auto &history = m_history[attempt->key];
    const bool isRedirected = decision.verdict == KeyVerdict::Forward || decision.verdict == KeyVerdict::Later;
    if (isRedirected && m_now < attempt->deadline) {
        ++attempt->sendCount;
        schedule(decision.verdict == KeyVerdict::Later ? 50ms : 0ms,
                 [this, attempt, node = decision.node] { node.isValid() ? sendRequest(attempt, node) : sendToOwner(attempt); });
        return;
    }
    log(attempt->key, "caller receives " + std::string(nameOf(decision.verdict)) + " " + std::string(rowOf(decision.reason).name));
    switch (decision.verdict) {
    case KeyVerdict::Answer:
        history.answers.push_back(decision.answer->body);
        break;
    case KeyVerdict::NotRun:
        // No proof when the entry node also sent the request to another node that didn't reply.
        if (attempt->isUnresolved) {
            ++history.unknown;
        } else {
            ++history.notRun;
        }
        break;
    default:
        ++history.unknown;
        break;
    }
    ++attempt->sendCount;
    attempt->isClosed = true;
    retry(attempt, decision.reason);
}

/// Retries an attempt with an unknown outcome, and some with a known one. A key whose first attempt was dropped as uncertain isn't retried:
/// it may run on a retry although it was reported as not run.
inline void Simulation::retry(const std::shared_ptr<Attempt> &attempt, Reason reason)
{
    const auto &history = m_history[attempt->key];
    const bool known = history.notRun > 0 || !history.answers.empty();
    const bool uncertain = reason == Reason::KeyOwnerUncertain || reason == Reason::KeyFromFuture || reason == Reason::Stopping;
    const bool dropped = history.notRun > 0 && uncertain;
    if (attempt->attemptsLeft == 0 || dropped || (known && !drawBool(0.1))) {
        return;
    }
    schedule(drawDuration(20ms, 1500ms),
             [this, key = attempt->key, attemptsLeft = attempt->attemptsLeft] { this->attempt(key, false, attemptsLeft - 1); });
}

// Dispatch

inline void Simulation::dispatch(std::size_t n, const RequestId &key)
{
    const auto boot = m_nodes[n].boot;
    schedule(drawBool(0.02) ? drawDuration(0ms, 8s) : 0ms, [this, n, boot, key] {
        runInProcess(n, boot, [this, n, key] {
            auto &node = m_nodes[n];
            const auto to = drawRunningNode();
            const auto dispatch = node.owner->beginDispatch(wall(node), key, m_nodes[to].id, wall(node) + kAttemptTimeout);
            node.dispatches[key] = dispatch;
            sendDispatch(n, to, dispatch);
        });
    });
}

inline void Simulation::sendDispatch(std::size_t n, std::size_t to, const KeyDispatch &dispatch)
{
    const auto boot = m_nodes[n].boot;
    deliver(m_nodes[n].partitionBits, to, false, [this, n, to, boot, dispatch] {
        auto &executor = m_nodes[to];
        const auto verdict = executor.gate->admit(wall(executor), dispatch);
        if (verdict == DispatchVerdict::Started) {
            return;
        }
        if (verdict != DispatchVerdict::Start || drawBool(m_options.refusedShare)) {
            if (verdict == DispatchVerdict::Start) {
                executor.gate->withdraw(dispatch);
            }
            reportResult(to, n, boot, dispatch, verdict == DispatchVerdict::Start ? DispatchVerdict::NotRun : verdict, {});
            return;
        }
        const auto text = "answer " + std::to_string(++m_executions);
        auto &history = m_history[dispatch.key];
        history.executions.push_back(text);
        history.lateStarts += wall(executor) > dispatch.notAfter ? 1 : 0;
        log(dispatch.key, "node" + std::to_string(to) + " starts it for node" + std::to_string(n));
        schedule(drawDuration(5ms, 400ms), [this, n, to, boot, dispatch, text, executorBoot = executor.boot] {
            runInProcess(to, executorBoot,
                         [this, n, to, boot, dispatch, text] { reportResult(to, n, boot, dispatch, DispatchVerdict::Start, text); });
        });
    });
    schedule(800ms, [this, n, to, boot, dispatch] {
        runInProcess(n, boot, [this, n, to, dispatch] {
            if (m_nodes[n].dispatches.contains(dispatch.key)) {
                resolveDispatch(n, to, dispatch);
            }
        });
    });
}

/// Queries the executor about a dispatch without a result.
inline void Simulation::resolveDispatch(std::size_t n, std::size_t to, const KeyDispatch &dispatch)
{
    const auto boot = m_nodes[n].boot;
    deliver(m_nodes[n].partitionBits, to, false, [this, n, to, boot, dispatch] {
        reportResult(to, n, boot, dispatch, m_nodes[to].gate->resolve(wall(m_nodes[to]), dispatch), {});
    });
    schedule(500ms, [this, n, boot, dispatch] {
        runInProcess(n, boot, [this, n, dispatch] {
            if (m_nodes[n].dispatches.contains(dispatch.key)) {
                m_nodes[n].owner->onLost(dispatch.key, Reason::ConnectionSilent);
            }
        });
    });
}

/// Delivers the result of a dispatch to its owner. The verdict Start means that the executor returned the answer @a text.
inline void Simulation::reportResult(std::size_t from, std::size_t n, std::uint64_t boot, const KeyDispatch &dispatch,
                                     DispatchVerdict verdict, const std::string &text)
{
    deliver(m_nodes[from].partitionBits, n, false, [this, n, boot, dispatch, verdict, text] {
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
