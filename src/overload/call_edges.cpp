/// @file
/// Calls per execution for each service that the local backend server calls, and the repeats that these services can take.

#include <chicoryspar/overload.h>

#include <algorithm>
#include <cmath>

namespace chicoryspar {
namespace {

/// Time constant of the counts: some seconds of traffic, so that a new version of the backend server is known soon.
constexpr double kCountSeconds = 10;
constexpr Duration kDecayPeriod = std::chrono::milliseconds(100);
/// Executions below which the ratio isn't known.
constexpr double kMinExecutions = 10;
/// Services that get fewer calls per execution don't restrict repeats.
constexpr double kMinCallsPerExecution = 0.01;
/// Each report moves the average tokens of a service by this fraction of the difference.
constexpr double kTokenWeight = 0.2;
/// Reports older than this are ignored: buckets change within milliseconds.
constexpr Duration kTokenExpiry = std::chrono::seconds(1);

} // namespace

CallEdges::CallEdges(TimePoint now)
    : m_decayedAt(now)
{
}

CallEdges::Edge *CallEdges::find(std::string_view service)
{
    const auto last = m_edges.begin() + static_cast<std::ptrdiff_t>(m_edgeCount);
    const auto it = std::find_if(m_edges.begin(), last, [service](const Edge &edge) { return edge.service == service; });
    return it == last ? nullptr : &*it;
}

void CallEdges::decay(TimePoint now)
{
    if (now - m_decayedAt < kDecayPeriod) {
        return;
    }
    const std::chrono::duration<double> elapsed = now - m_decayedAt;
    m_decayedAt = now;
    const auto factor = std::exp(-elapsed.count() / kCountSeconds);
    m_executions *= factor;
    for (std::size_t n = 0; n < m_edgeCount; ++n) {
        m_edges[n].calls *= factor;
    }
}

void CallEdges::onExecution(TimePoint now)
{
    decay(now);
    m_executions += 1;
}

void CallEdges::onCall(TimePoint now, std::string_view service)
{
    decay(now);
    auto *edge = find(service);
    if (!edge) {
        const auto last = m_edges.begin() + static_cast<std::ptrdiff_t>(m_edgeCount);
        edge = m_edgeCount < kMaxEdges
            ? &m_edges[m_edgeCount++]
            : &*std::min_element(m_edges.begin(), last, [](const Edge &a, const Edge &b) { return a.calls < b.calls; });
        *edge = {.service = std::string(service)};
    }
    edge->calls += 1;
}

void CallEdges::onTokens(TimePoint now, std::string_view service, std::uint32_t tokens, std::uint32_t gates)
{
    auto *edge = find(service);
    if (!edge) {
        return;
    }
    const bool isFirst = edge->gates == 0 || now - edge->tokensReportedAt >= kTokenExpiry;
    edge->tokensPerGate = isFirst ? tokens : edge->tokensPerGate + (tokens - edge->tokensPerGate) * kTokenWeight;
    edge->gates = std::max(1U, gates);
    edge->tokensReportedAt = now;
}

std::optional<double> CallEdges::repeatableExecutions(TimePoint now) const
{
    std::optional<double> least;
    for (const auto &it : edges()) {
        const auto calls = callsPerExecution(it);
        if (calls < kMinCallsPerExecution || it.gates == 0 || now - it.tokensReportedAt >= kTokenExpiry) {
            continue;
        }
        const auto executions = it.tokensPerGate * it.gates / calls;
        least = std::min(least.value_or(executions), executions);
    }
    return least;
}

std::span<const CallEdges::Edge> CallEdges::edges() const
{
    return {m_edges.data(), m_edgeCount};
}

double CallEdges::callsPerExecution(const Edge &edge) const
{
    return m_executions < kMinExecutions ? 0 : edge.calls / m_executions;
}

} // namespace chicoryspar
