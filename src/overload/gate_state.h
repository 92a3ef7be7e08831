#pragma once

/// @file
/// State of a gate and the functions that its source files share.

#include <chicoryspar/overload.h>

#include <optional>
#include <vector>

#include "overload/gate_queue.h"
#include "overload/level_control.h"
#include "overload/limit.h"
#include "overload/rate_limit.h"
#include "overload/return_schedule.h"

namespace chicoryspar {

struct GateState
{
    GateState(TimePoint now, const GateOptions &gateOptions);

    GateOptions options;
    LimitControl limit;
    RateLimit rateLimit;
    LevelControl level;
    /// Calls below the class Order.
    CallQueue waiting;
    CallQueue orders;
    std::vector<std::uint64_t> running;
    /// Decisions that poll() has yet to return.
    std::vector<GateDecision> outbox;

    TimePoint periodStart;
    /// Time of the last advanceGate().
    TimePoint integratedAt;
    TimePoint sweptAt;
    /// Integral of waiting calls minus free slots over this period, in call-seconds.
    double backlogSeconds = 0;
    /// Time when the calls below the class Order first exceeded twice the target backlog; reset once they are back at the target.
    std::optional<TimePoint> backlogExceededSince;
    std::optional<TimePoint> lookupAdmittedAt;
    std::optional<TimePoint> orderRefusedAt;
    ReturnSchedule returns;
    /// Calls per second offered while there was no overload, averaged over several seconds; 0 while unknown.
    double usualRate = 0;
    Duration queueingDelay{0};
    std::uint64_t admitted = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(RequestClass::Count)> refused{};
};

/// Advances the state to @a now and closes the period if it has ended.
void advanceGate(GateState &state, TimePoint now);

/// Returns the calls per second that can be served: the answers per second at the concurrency limit, or the rate limit if that is lower.
/// 0 while unknown.
double capacityOf(const GateState &state, TimePoint now);

/// Returns the target number of waiting calls.
double targetBacklog(const GateState &state, TimePoint now);

/// Returns whether the backlog exceeded twice its target at least the queue interval ago and hasn't returned to the target since.
bool isOverloadSustained(const GateState &state, TimePoint now);

/// Returns whether lookups are refused because an order was refused shortly before.
bool areLookupsRefused(const GateState &state, TimePoint now);

/// Returns whether orders may be refused by overload: only if no lookup was admitted shortly before.
bool mayRefuseOrders(const GateState &state, TimePoint now);

/// Returns the delay after which a call that was refused for lack of room should return.
Duration returnDelay(const GateState &state, TimePoint now, const GateRequest &request);

/// Returns the level to send to callers.
Level publishedLevel(const GateState &state, TimePoint now);

/// Returns the level that the gate itself applies.
Level enforcedLevel(const GateState &state, TimePoint now);

} // namespace chicoryspar
