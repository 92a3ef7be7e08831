#pragma once

/// @file
/// Clients of the rig: open-loop arrivals, repeats, and the count of whole answers.

#include "bench/rig_chain.h"

namespace chicoryspar::rig {

constexpr std::uint16_t kUnboundedRepeats = 10;
constexpr Duration kPatience = std::chrono::seconds(2);
constexpr Duration kHardTimeout = std::chrono::seconds(1);
constexpr Duration kRepeatDelay = std::chrono::milliseconds(10);
constexpr Duration kGentleRepeatDelay = std::chrono::milliseconds(200);

/// Sends requests to a chain under one cause.
class Client
{
public:
    Client(const Control &control, const Workload &workload, std::uint64_t seed)
        : m_control(control)
        , m_workload(workload)
        , m_random(seed)
        , m_chain(control, m_workload, m_clock, m_random, m_totals)
    {
        m_totals.offeredByTenth.resize(static_cast<std::size_t>(workload.cause.stop / kTenth) + 100);
        m_totals.wholeByTenth.resize(m_totals.offeredByTenth.size());
        m_chain.onEnd = [this](Root &root, std::uint16_t number, const Answer &answer, std::uint16_t tokens) {
            endAttempt(root, number, answer, tokens);
        };
    }

    const Totals &run()
    {
        m_clock.after(Duration{0}, [this] { arrive(); });
        m_clock.run();
        for (const auto &it : m_roots) {
            (it.isWhole ? m_totals.usefulWork : m_totals.wastedWork) += it.work;
        }
        return m_totals;
    }

private:
    std::size_t tenth() const
    {
        return static_cast<std::size_t>(m_clock.now().time_since_epoch() / kTenth);
    }

    void arrive()
    {
        if (m_clock.now().time_since_epoch() >= m_workload.cause.stop) {
            return;
        }
        const auto kind = drawBelow(m_random, 100);
        const auto requestClass = kind < 75 ? RequestClass::Lookup : kind < 85 ? RequestClass::Standard : RequestClass::Order;
        const auto importance = static_cast<std::uint8_t>(2 + drawBelow(m_random, 3) * 3);
        const CallContext context{{m_random(), m_random()}, requestClass, importance};
        m_roots.push_back({.context = context, .deadline = m_clock.now() + kPatience});
        ++m_totals.offered[static_cast<std::size_t>(requestClass)];
        ++m_totals.offeredByTenth[tenth()];
        attempt(m_roots.back());
        const auto seconds = -std::log(1 - drawUnit(m_random)) / m_workload.offeredRate(m_clock.now());
        m_clock.after(Duration(static_cast<std::int64_t>(seconds * 1e6)), [this] { arrive(); });
    }

    void attempt(Root &root)
    {
        const auto number = ++root.attempt;
        if (m_workload.cause.hardRetries && m_workload.isInCause(m_clock.now())) {
            m_clock.after(kHardTimeout, [this, &root, number] { repeat(root, number, 0); });
        }
        m_chain.attempt(root);
    }

    /// Gives up on attempt @a number and makes another, as far as the client may.
    void repeat(Root &root, std::uint16_t number, std::uint16_t tokens)
    {
        if (root.isDone || root.attempt != number || m_clock.now() >= root.deadline) {
            return;
        }
        root.tokens = tokens;
        const bool mayRetry = m_control.hasBudget ? root.tokens > 0 : root.attempt <= kUnboundedRepeats;
        if (!mayRetry) {
            root.isDone = true;
            return;
        }
        root.tokens -= root.tokens > 0 ? 1 : 0;
        ++root.attempt;
        m_clock.after(m_workload.cause.hardRetries ? kRepeatDelay : kGentleRepeatDelay, [this, &root] { attempt(root); });
    }

    void endAttempt(Root &root, std::uint16_t number, const Answer &answer, std::uint16_t tokens)
    {
        if (!answer.isWhole || m_clock.now() > root.deadline || root.isWhole) {
            repeat(root, number, tokens);
            return;
        }
        root.isDone = true;
        root.isWhole = true;
        ++m_totals.whole[static_cast<std::size_t>(root.context.requestClass)];
        ++m_totals.wholeByTenth[tenth()];
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
