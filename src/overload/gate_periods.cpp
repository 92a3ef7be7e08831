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
/// Time constant of the usual rate.
constexpr double kUsualRateSeconds = 10;
/// Smallest share of the capacity that is taken to become free when an overload ends. A full service may stay so.
constexpr double kMinRoomShare = 0.1;
/// Percentage of the time until the objective after which a refused call may return; the rest is for its way and its wait at the gate.
constexpr int kTimelyPercent = 85;
constexpr int kPercent = 100;

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

/// Averages the offered rate while nothing is refused and no backlog forms.
void recordUsualRate(GateState &state, double seconds)
{
    if (state.level.level() == Level{} && !state.backlogExceededSince) {
        const auto weight = std::min(1.0, seconds / kUsualRateSeconds);
        state.usualRate += (state.level.offeredRate() - state.usualRate) * (state.usualRate > 0 ? weight : 1);
    }
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
    recordUsualRate(state, elapsed.count());
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

/// Returns the longest delay after which a refused call can still be answered within its objective.
Duration timelyDelay(const GateState &state, TimePoint now, const GateRequest &request)
{
    if (request.objective == TimePoint::max()) {
        return Duration::max();
    }
    return (request.objective - now - state.limit.serviceTime(now)) * kTimelyPercent / kPercent;
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

Duration returnDelay(const GateState &state, TimePoint now, const GateRequest &request)
{
    const auto capacity = capacityOf(state, now);
    const auto waiting = static_cast<double>(state.waiting.size() + state.orders.size());
    return state.returns.returnDelay(
        now,
        RefusedRequest{
            .rank = request.rank,
            .remaining = request.deadline - now,
            .timely = timelyDelay(state, now, request),
            .aheadPerSecond = state.level.offeredRateBetween(request.rank, publishedLevel(state, now)),
            .roomPerSecond = std::max(capacity * kMinRoomShare, capacity - state.usualRate),
            .backlog = capacity > 0 ? Duration(static_cast<std::int64_t>(waiting / capacity * 1e6)) : Duration{0},
        });
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
