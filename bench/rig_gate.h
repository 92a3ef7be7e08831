#pragma once

/// @file
/// Drives one gate in virtual time and counts violations of the precedence of orders over lookups.

#include <algorithm>
#include <functional>

#include "bench/rig_clock.h"
#include "bench/rig_scenario.h"

namespace chicoryspar::rig {

/// A gate and the timer that polls it.
class GateDriver
{
public:
    GateDriver(Clock &clock, Totals &totals, const GateOptions &options)
        : m_clock(clock)
        , m_totals(totals)
        , m_gate(clock.now(), options)
    {
    }

    /// Called with the final decision on each call, during offer() or later.
    std::function<void(const GateDecision &)> onDecision;

    void offer(std::uint32_t id, const CallContext &context)
    {
        reportDecision(m_gate.offer(m_clock.now(), makeGateRequest(m_clock.now(), id, context)));
        pollDecisions();
    }

    void finish(std::uint32_t id, Duration latency, GateResult result)
    {
        m_gate.finish(m_clock.now(), id, latency, result);
        pollDecisions();
    }

    Level level() const
    {
        return m_gate.level();
    }

    /// Counts a decision on a call of @a requestClass, and a violation of the precedence of orders if it is one.
    void audit(RequestClass requestClass, const GateDecision &decision)
    {
        const auto now = m_clock.now();
        if (decision.verdict == GateVerdict::Admitted) {
            if (requestClass == RequestClass::Lookup) {
                m_totals.orderPrecedenceViolations += now - m_orderRefusedAt < kOrderGuardTime ? 1 : 0;
                m_lookupAdmittedAt = now;
            }
            return;
        }
        ++m_totals.refused[static_cast<std::size_t>(requestClass)];
        const bool isDeadlineRefusal = decision.reason == Reason::DeadlineExpired || decision.reason == Reason::DeadlineTooShort;
        if (requestClass == RequestClass::Order && !isDeadlineRefusal) {
            m_totals.orderPrecedenceViolations += now - m_lookupAdmittedAt < kOrderGuardTime ? 1 : 0;
            m_orderRefusedAt = now;
        }
    }

private:
    /// Time between a refused order and an admitted lookup under which the precedence of orders is violated.
    static constexpr Duration kOrderGuardTime = std::chrono::seconds(1);

    void reportDecision(const GateDecision &decision)
    {
        if (decision.verdict != GateVerdict::Queued) {
            onDecision(decision);
        }
    }

    void pollDecisions()
    {
        std::array<GateDecision, 16> buf;
        while (const auto n = m_gate.poll(m_clock.now(), buf)) {
            std::for_each(buf.begin(), buf.begin() + static_cast<std::ptrdiff_t>(n), [this](const auto &it) { reportDecision(it); });
        }
        const auto next = m_gate.nextEvent();
        if (next >= m_wakeAt) {
            return;
        }
        m_wakeAt = next;
        m_clock.after(std::max(Duration{1}, next - m_clock.now()), [this] {
            m_wakeAt = TimePoint::max();
            pollDecisions();
        });
    }

    Clock &m_clock;
    Totals &m_totals;
    Gate m_gate;
    TimePoint m_wakeAt = TimePoint::max();
    TimePoint m_lookupAdmittedAt{-kOrderGuardTime};
    TimePoint m_orderRefusedAt{-kOrderGuardTime};
};

} // namespace chicoryspar::rig
