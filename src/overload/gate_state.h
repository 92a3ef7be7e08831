#pragma once

/// @file
/// State of a gate.

#include <chicoryspar/overload.h>

#include <optional>
#include <vector>

#include "overload/gate_queue.h"
#include "overload/level_control.h"
#include "overload/limit.h"

namespace chicoryspar {

struct GateState
{
    GateState(TimePoint now, const GateOptions &gateOptions);

    GateOptions options;
    LimitControl limit;
    LevelControl level;
    /// Calls below the class Order.
    CallQueue waiting;
    CallQueue orders;
    std::vector<std::uint64_t> running;
    /// Decisions that poll() hands out.
    std::vector<GateDecision> outbox;

    TimePoint periodStart;
    TimePoint integratedAt;
    TimePoint sweptAt;
    /// Calls times seconds in this period: waiting calls less free places.
    double backlogSeconds = 0;
    /// Since when more calls wait than twice the target, until no more wait than the target.
    std::optional<TimePoint> backlogExceededSince;
    std::optional<TimePoint> lookupAdmittedAt;
    std::optional<TimePoint> orderRefusedAt;
    Duration queueingDelay{0};
    std::uint64_t admitted = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(RequestClass::Count)> refused{};
};

/// Runs the periods that ended by @a now.
void advanceGate(GateState &state, TimePoint now);

/// Number of waiting calls that the gate aims at.
double targetBacklog(const GateState &state, TimePoint now);

/// More calls than twice the target have waited for the queue interval.
bool isOverloadSustained(const GateState &state, TimePoint now);

/// Lookups are refused for some time after an order was.
bool areLookupsRefused(const GateState &state, TimePoint now);

/// No lookup was admitted for so long that an order may be refused by overload.
bool mayRefuseOrders(const GateState &state, TimePoint now);

/// Level for callers, or the one that the gate itself applies.
Level publishedLevel(const GateState &state, TimePoint now);
Level enforcedLevel(const GateState &state, TimePoint now);

} // namespace chicoryspar
