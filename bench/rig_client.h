#pragma once

/// @file
/// Clients of the overload rig: open-loop arrivals, retries, and counts of completed requests.

#include "bench/rig_chain.h"

namespace chicoryspar::rig {

/// Highest attempt number that is retried without a budget. Each retry raises the number by two: once when the earlier attempt is
/// abandoned, and once when the next one is sent.
constexpr std::uint16_t kMaxRetriedAttemptNumber = 10;
constexpr Duration kRequestTimeout = std::chrono::seconds(2);
constexpr Duration kAttemptTimeout = std::chrono::seconds(1);
constexpr Duration kAggressiveRetryDelay = std::chrono::milliseconds(10);
constexpr Duration kDefaultRetryDelay = std::chrono::milliseconds(200);

/// Sends requests to a chain under one disturbance.
class Client
{
public:
    Client(const Control &control, const Workload &workload, std::uint64_t seed)
        : m_control(control)
        , m_workload(workload)
        , m_random(seed)
        , m_chain(control, m_workload, m_clock, m_random, m_totals)
    {
        m_totals.offeredPerInterval.resize(static_cast<std::size_t>(workload.disturbance.stop / kSampleInterval) + 100);
        m_totals.completedPerInterval.resize(m_totals.offeredPerInterval.size());
        m_chain.onAttemptEnd = [this](Root &root, std::uint16_t number, const Answer &answer, std::uint16_t tokens) {
            endAttempt(root, number, answer, tokens);
        };
    }

    const Totals &run()
    {
        m_clock.after(Duration{0}, [this] { arrive(); });
        m_clock.run();
        for (const auto &it : m_roots) {
            (it.isComplete ? m_totals.usefulServiceSeconds : m_totals.wastedServiceSeconds) += it.serviceSeconds;
        }
        return m_totals;
    }

private:
    std::size_t intervalIndex() const
    {
        return static_cast<std::size_t>(m_clock.now().time_since_epoch() / kSampleInterval);
    }

    void arrive()
    {
        if (m_clock.now().time_since_epoch() >= m_workload.disturbance.stop) {
            return;
        }
        const auto kind = drawBelow(m_random, 100);
        const auto requestClass = kind < 75 ? RequestClass::Lookup : kind < 85 ? RequestClass::Standard : RequestClass::Order;
        const auto importance = static_cast<std::uint8_t>(2 + drawBelow(m_random, 3) * 3);
        const CallContext context{{m_random(), m_random()}, requestClass, importance};
        m_roots.push_back({.context = context, .deadline = m_clock.now() + kRequestTimeout});
        ++m_totals.offered[static_cast<std::size_t>(requestClass)];
        ++m_totals.offeredPerInterval[intervalIndex()];
        attempt(m_roots.back());
        const auto seconds = -std::log(1 - drawUnit(m_random)) / m_workload.offeredRate(m_clock.now());
        m_clock.after(Duration(static_cast<std::int64_t>(seconds * 1e6)), [this] { arrive(); });
    }

    void attempt(Root &root)
    {
        const auto number = ++root.attempt;
        if (m_workload.disturbance.aggressiveRetries && m_workload.isDisturbed(m_clock.now())) {
            m_clock.after(kAttemptTimeout, [this, &root, number] { retryAttempt(root, number, 0); });
        }
        m_chain.attempt(root);
    }

    /// Abandons attempt @a number and starts another if the deadline and the retry budget allow it.
    void retryAttempt(Root &root, std::uint16_t number, std::uint16_t tokens)
    {
        if (root.isDone || root.attempt != number || m_clock.now() >= root.deadline) {
            return;
        }
        root.tokens = tokens;
        const bool mayRetry = m_control.hasBudget ? root.tokens > 0 : root.attempt <= kMaxRetriedAttemptNumber;
        if (!mayRetry) {
            root.isDone = true;
            return;
        }
        root.tokens -= root.tokens > 0 ? 1 : 0;
        ++root.attempt;
        m_clock.after(m_workload.disturbance.aggressiveRetries ? kAggressiveRetryDelay : kDefaultRetryDelay,
                      [this, &root] { attempt(root); });
    }

    void endAttempt(Root &root, std::uint16_t number, const Answer &answer, std::uint16_t tokens)
    {
        if (!answer.isComplete || m_clock.now() > root.deadline || root.isComplete) {
            retryAttempt(root, number, tokens);
            return;
        }
        root.isDone = true;
        root.isComplete = true;
        ++m_totals.completed[static_cast<std::size_t>(root.context.requestClass)];
        ++m_totals.completedPerInterval[intervalIndex()];
    }

    Control m_control;
    Workload m_workload;
    Random m_random;
    Clock m_clock;
    Totals m_totals;
    Chain m_chain;
    std::deque<Root> m_roots;
};

} // namespace chicoryspar::rig
