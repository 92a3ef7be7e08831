/// @file
/// Periodic update of a gate: backlog, admission level, and the precedence of orders over lookups.

#include <algorithm>
#include <cmath>

#include "overload/gate_state.h"

namespace chicoryspar {
namespace {

/// Time before and after an order is refused by overload in which no lookup may be admitted.
constexpr Duration kOrderGuardTime = std::chrono::seconds(1);
/// Random variation of arrivals that the target backlog absorbs, in standard deviations of the arrivals of one second. The standard
/// deviation is the square root of the rate.
constexpr double kArrivalDeviations = 2;

std::size_t queueCapacity(const GateOptions &options)
{
    constexpr std::uint32_t kMinCapacity = 64;
    const auto capacity = options.queueLength > 0 ? options.queueLength : options.slots * 4;
    return std::max(capacity, kMinCapacity);
}

/// Adds the time since the last update to the integral of the backlog.
void integrateBacklog(GateState &state, TimePoint now)
{
    const auto waiting = static_cast<double>(state.waiting.size() + state.orders.size());
    const auto unusedSlots = std::max(0.0, static_cast<double>(state.limit.limit(now)) - static_cast<double>(state.running.size()));
    const auto freeSlots = state.rateLimit.hasToken(now) ? unusedSlots : 0;
    const std::chrono::duration<double> elapsed = now - state.integratedAt;
    state.backlogSeconds += (waiting - freeSlots) * elapsed.count();
    state.integratedAt = now;
}

void closePeriod(GateState &state, TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - state.periodStart;
    const LevelInput input{
        .capacity = capacityOf(state, now),
        .backlog = state.backlogSeconds / elapsed.count(),
        .waitingOrders = static_cast<double>(state.orders.size()),
        .target = targetBacklog(state, now),
        .pushBack = state.options.pushBack / 100.0,
    };
    state.level.update(now, input);
    state.periodStart = now;
    state.backlogSeconds = 0;
    const auto level = publishedLevel(state, now);
    if (level.value > lowestRank(RequestClass::Order).value) {
        state.orderRefusedAt = now;
    }
}

/// Bounds a level so that no order is refused shortly after a lookup was admitted, and no lookup admitted shortly after an order was
/// refused.
Level applyOrderPrecedence(const GateState &state, TimePoint now, Level level)
{
    if (!mayRefuseOrders(state, now)) {
        level = std::min(level, Level{lowestRank(RequestClass::Order).value});
    }
    if (areLookupsRefused(state, now)) {
        level = std::max(level, Level{lowestRank(RequestClass::Standard).value});
    }
    return level;
}

} // namespace

GateState::GateState(TimePoint now, const GateOptions &gateOptions)
    : options(gateOptions)
    , limit(now, gateOptions)
    , level(now)
    , waiting(queueCapacity(gateOptions))
    , orders(gateOptions.orderQueueLength)
    , periodStart(now)
    , integratedAt(now)
    , sweptAt(now)
{
    level.setManyGroups(gateOptions.hasManyGroups);
    running.reserve(std::max(1U, std::min(gateOptions.maxLimit, gateOptions.slots)));
    outbox.reserve(queueCapacity(gateOptions) + gateOptions.orderQueueLength);
}

void advanceGate(GateState &state, TimePoint now)
{
    integrateBacklog(state, now);
    if (now - state.periodStart >= LevelControl::kPeriod) {
        closePeriod(state, now);
    }
    const auto waiting = static_cast<double>(state.waiting.size());
    const auto target = targetBacklog(state, now);
    if (waiting <= target) {
        state.backlogExceededSince.reset();
    } else if (waiting > 2 * target && !state.backlogExceededSince) {
        state.backlogExceededSince = now;
    }
}

double capacityOf(const GateState &state, TimePoint now)
{
    const auto capacity = state.limit.capacity(now);
    const auto rate = state.rateLimit.rate();
    if (!rate) {
        return capacity;
    }
    return capacity > 0 ? std::min(capacity, *rate) : *rate;
}

double targetBacklog(const GateState &state, TimePoint now)
{
    const auto capacity = capacityOf(state, now);
    const std::chrono::duration<double> target = state.options.queueTarget;
    const auto unboundedTarget = std::max({1.0, capacity * target.count(), kArrivalDeviations * std::sqrt(capacity)});
    if (state.options.maxQueueDelay <= Duration{0}) {
        return unboundedTarget;
    }
    const std::chrono::duration<double> maxDelay = state.options.maxQueueDelay;
    return std::clamp(capacity * maxDelay.count(), 1.0, unboundedTarget);
}

bool isOverloadSustained(const GateState &state, TimePoint now)
{
    return state.backlogExceededSince && now - *state.backlogExceededSince >= state.options.queueInterval;
}

bool areLookupsRefused(const GateState &state, TimePoint now)
{
    return state.orderRefusedAt && now - *state.orderRefusedAt <= kOrderGuardTime;
}

bool mayRefuseOrders(const GateState &state, TimePoint now)
{
    return !state.lookupAdmittedAt || now - *state.lookupAdmittedAt > kOrderGuardTime;
}

Level publishedLevel(const GateState &state, TimePoint now)
{
    return applyOrderPrecedence(state, now, state.level.level());
}

Level enforcedLevel(const GateState &state, TimePoint now)
{
    return applyOrderPrecedence(state, now, state.level.enforced());
}

} // namespace chicoryspar
