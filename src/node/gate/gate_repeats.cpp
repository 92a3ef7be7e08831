/// @file
/// Repeat budget of the gate of this node: who holds it, its share, its report on answers, and its metrics.

#include "node/gate/gate_repeats.h"

#include "node/clock.h"
#include "node/log.h"

#include <algorithm>
#include <sstream>

namespace chicoryspar {

GateRepeats::GateRepeats(NodeContext &context)
    : m_context(context)
    , m_budget(steadyNow())
    , m_callEdges(steadyNow())
{
}

bool GateRepeats::isBounding() const
{
    const auto &settings = m_context.settings;
    const bool isHere = settings.repeatsHeldBy == RepeatHolder::Gates || (settings.repeatsHeldBy == RepeatHolder::Auto && m_hasStatedPace);
    return isHere && settings.fleetRetryFraction > 0;
}

void GateRepeats::onPaceStated()
{
    m_hasStatedPace = true;
}

bool GateRepeats::hasStatedPace() const
{
    return m_hasStatedPace;
}

void GateRepeats::refresh(TimePoint now, const std::string &service)
{
    std::uint32_t gates = 0;
    for (const auto *it : m_context.membership ? m_context.membership->members() : std::vector<const Member *>()) {
        gates += it->isPresent() && it->info.service == service && it->info.readiness == BackendReadiness::Ready ? 1 : 0;
    }
    m_budget.configure(now,
                       {.ratio = m_context.settings.fleetRetryFraction,
                        .extra = static_cast<double>(m_context.settings.fleetRetryExtra),
                        .gates = std::max(1U, gates)});
}

Reason GateRepeats::admit(TimePoint now, const CallContext &call)
{
    if (call.isRepeat && isBounding()) {
        const auto repeatable = m_callEdges.repeatableExecutions(now);
        const bool isForCallees = repeatable && *repeatable < 1;
        if (isForCallees || !m_budget.takeRepeat(now, {.rank = makeRank(call), .isDescendant = call.descendsFromRepeat})) {
            ++m_counts.refused;
            m_counts.refusedForCallees += isForCallees ? 1 : 0;
            logRefusal(call, isForCallees);
            return Reason::RetryBudgetSpent;
        }
    }
    m_callEdges.onExecution(now);
    if (call.isRepeat) {
        ++m_counts.dispatched;
    } else {
        m_budget.onFirstArrival(now);
    }
    return Reason::None;
}

void GateRepeats::logRefusal(const CallContext &call, bool isForCallees) const
{
    if (!tryTakeDecisionLogToken()) {
        return;
    }
    writeLog(LogLevel::Info, "repeat refused: the repeat budget is spent",
             {{"root", toString(call.root)},
              {"of", isForCallees ? "called services" : "this gate"},
              {"descends", call.descendsFromRepeat ? "true" : "false"},
              {"tokens", std::to_string(m_budget.tokens())},
              {"capacity", std::to_string(m_budget.capacity())},
              {"servedShare", std::to_string(m_budget.servedShare())},
              {"dispatched", std::to_string(m_counts.dispatched)},
              {"refused", std::to_string(m_counts.refused)}});
}

void GateRepeats::report(TimePoint now, CallAnswer &answer) const
{
    if (!isBounding()) {
        return;
    }
    if (!answer.load) {
        answer.load.emplace();
    }
    const auto own = m_budget.tokens();
    answer.load->repeatTokens = static_cast<std::uint32_t>(std::min(own, m_callEdges.repeatableExecutions(now).value_or(own)));
}

void GateRepeats::onChildCall(TimePoint now, const std::string &service)
{
    m_callEdges.onCall(now, service);
}

void GateRepeats::onTokens(TimePoint now, const std::string &service, std::uint32_t tokens, std::uint32_t gates)
{
    m_callEdges.onTokens(now, service, tokens, gates);
}

const RepeatBudget &GateRepeats::budget() const
{
    return m_budget;
}

const CallEdges &GateRepeats::callEdges() const
{
    return m_callEdges;
}

const RepeatCounts &GateRepeats::counts() const
{
    return m_counts;
}

std::string GateRepeats::renderMetrics(std::string_view node) const
{
    std::ostringstream text;
    const auto count = [&](std::string_view result, std::uint64_t value) {
        text << "chicoryspar_gate_repeats_total{node=\"" << node << "\",result=\"" << result << "\"} " << value << "\n";
    };
    count("dispatched", m_counts.dispatched);
    count("refused", m_counts.refused);
    text << "chicoryspar_gate_repeat_tokens{node=\"" << node << "\"} " << m_budget.tokens() << "\n";
    for (const auto &it : m_callEdges.edges()) {
        text << "chicoryspar_calls_per_execution{node=\"" << node << "\",service=\"" << it.service << "\"} "
             << m_callEdges.callsPerExecution(it) << "\n";
    }
    return text.str();
}

} // namespace chicoryspar
