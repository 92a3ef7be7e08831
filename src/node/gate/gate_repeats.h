#pragma once

/// @file
/// Repeat budget of the gate of this node, and what the backend server's own calls need of the services below.

#include "node/context.h"

#include <string>

namespace chicoryspar {

/// Dispatches at this gate, and the state of its budget, for status and metrics.
struct RepeatCounts
{
    std::uint64_t dispatched = 0;
    std::uint64_t refused = 0;
    /// Refusals because the services below couldn't take the calls of a repeated execution; included in refused.
    std::uint64_t refusedForCallees = 0;
};

/// Decides which repeats the gate of this node dispatches.
class GateRepeats
{
public:
    explicit GateRepeats(NodeContext &context);

    /// Returns whether this gate bounds repeats: the settings state a bound, and they or the pace that the backend server states in its
    /// answers put it at the gates.
    bool isBounding() const;

    /// The backend server stated its pace in an answer.
    void onPaceStated();

    /// Returns whether the backend server has stated its pace. Kept when it restarts, because its new instance states its pace only in
    /// answers: until the first one, nothing would bound repeats here.
    bool hasStatedPace() const;

    /// Updates the share of this gate to the ready gates of @a service that are present.
    void refresh(TimePoint now, const std::string &service);

    /// Counts a call that is about to be dispatched; takes a token if it is a repeat and this gate bounds them.
    /// @returns Reason::RetryBudgetSpent if it must not be dispatched
    Reason admit(TimePoint now, const CallContext &call);

    /// Sets GateLoad::repeatTokens if this gate bounds repeats.
    void report(TimePoint now, CallAnswer &answer) const;

    /// A call of the local backend server begins.
    void onChildCall(TimePoint now, const std::string &service);

    /// An answer reported the tokens of a gate of @a service.
    /// @param gates ready gates of the service
    void onTokens(TimePoint now, const std::string &service, std::uint32_t tokens, std::uint32_t gates);

    const RepeatBudget &budget() const;
    const CallEdges &callEdges() const;
    const RepeatCounts &counts() const;

    /// Returns the metrics in the Prometheus text format.
    std::string renderMetrics(std::string_view node) const;

private:
    void logRefusal(const CallContext &call, bool isForCallees) const;

    NodeContext &m_context;
    RepeatBudget m_budget;
    CallEdges m_callEdges;
    RepeatCounts m_counts;
    bool m_hasStatedPace = false;
};

} // namespace chicoryspar
