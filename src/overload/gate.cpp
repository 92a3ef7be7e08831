/// @file
/// Admission gate before one backend server.

#include <algorithm>
#include <cassert>
#include <tuple>

#include "overload/gate_state.h"
#include "overload/rank_layout.h"

namespace chicoryspar {
namespace {

constexpr Duration kSweepInterval = std::chrono::milliseconds(10);
constexpr Duration kLevelRetryAfter = std::chrono::milliseconds(500);
/// Longest wait of a call below the class Order under sustained overload, as a multiple of the time in which the target backlog is served.
constexpr double kMaxWaitFactor = 4;
/// Waiting calls below the class Order under sustained overload, as a multiple of the target backlog.
constexpr double kMaxBacklogFactor = 2;

bool isOrder(Rank rank)
{
    return classOf(rank) == RequestClass::Order;
}

bool hasFreeSlot(const GateState &state, TimePoint now)
{
    return state.running.size() < state.limit.limit(now) && state.rateLimit.hasToken(now);
}

Duration expectedWait(const GateState &state, TimePoint now)
{
    const auto capacity = capacityOf(state, now);
    const auto waiting = static_cast<double>(state.waiting.size() + state.orders.size());
    return capacity > 0 ? Duration(static_cast<std::int64_t>(waiting / capacity * 1e6)) : Duration{0};
}

Duration minServiceTime(const GateState &state, TimePoint now, const GateRequest &request)
{
    return request.minServiceTime > Duration{0} ? request.minServiceTime : state.limit.serviceTime(now);
}

/// Checks the deadline and the rank of a call, but not the queue.
/// @returns None if the call may be dispatched or queued
Reason checkAdmission(const GateState &state, TimePoint now, const GateRequest &request)
{
    if (request.deadline <= now) {
        return Reason::DeadlineExpired;
    }
    if (request.deadline - now < minServiceTime(state, now, request)) {
        return Reason::DeadlineTooShort;
    }
    if (!request.isRootAdmitted && !enforcedLevel(state, now).admits(request.rank)) {
        return Reason::LevelTooLow;
    }
    return Reason::None;
}

/// Returns whether the call would be answered within its objective if it were dispatched now.
bool canMeetObjective(const GateState &state, TimePoint now, const GateRequest &request)
{
    return request.objective - now >= minServiceTime(state, now, request);
}

/// Returns whether the calls that will be served first take longer than the call can wait. Answers slow backend servers, behind which calls
/// would wait only to be refused at their deadline.
bool isWaitTooLong(const GateState &state, TimePoint now, const GateRequest &request)
{
    const auto capacity = capacityOf(state, now);
    if (capacity <= 0) {
        return false;
    }
    const auto ahead = state.orders.size()
        + (isOrder(request.rank) ? 0 : state.waiting.count([&](const WaitingCall &it) { return it.request.rank >= request.rank; }));
    const auto wait = Duration(static_cast<std::int64_t>(static_cast<double>(ahead) / capacity * 1e6));
    return request.deadline - now < wait + minServiceTime(state, now, request);
}

/// Counts a refusal and returns its decision.
GateDecision recordRefusal(GateState &state, TimePoint now, const GateRequest &request, Reason reason)
{
    ++state.refused[static_cast<std::size_t>(classOf(request.rank))];
    const bool isDeadlineRefusal = reason == Reason::DeadlineExpired || reason == Reason::DeadlineTooShort;
    if (isOrder(request.rank) && !isDeadlineRefusal) {
        state.orderRefusedAt = now;
    }
    if (isDeadlineRefusal) {
        return {request.ticket, GateVerdict::Refused, reason, Duration{0}};
    }
    state.returns.onRefusal(now);
    const auto retryAfter = state.options.spacesReturns ? returnDelay(state, now, request)
        : reason == Reason::LevelTooLow                 ? kLevelRetryAfter
                                                        : expectedWait(state, now);
    return {request.ticket, GateVerdict::Refused, reason, retryAfter};
}

void start(GateState &state, TimePoint now, const GateRequest &request)
{
    state.running.push_back(request.ticket);
    state.rateLimit.takeToken(now);
    state.limit.onStart(static_cast<std::uint32_t>(state.running.size()));
    ++state.admitted;
    if (classOf(request.rank) == RequestClass::Lookup) {
        state.lookupAdmittedAt = now;
    }
}

bool hasOutboxRoom(const GateState &state)
{
    return state.outbox.size() < state.outbox.capacity();
}

/// Makes room for @a request by refusing the waiting call of the lowest rank, if that rank is lower.
/// @returns whether there is room now
bool evictLowerRank(GateState &state, TimePoint now, const GateRequest &request)
{
    const auto *lowest = state.waiting.lowest();
    if (!lowest || lowest->request.rank >= request.rank || !hasOutboxRoom(state)) {
        return false;
    }
    state.outbox.push_back(recordRefusal(state, now, lowest->request, Reason::QueueFull));
    state.waiting.remove(lowest);
    return true;
}

GateDecision enqueue(GateState &state, TimePoint now, const GateRequest &request)
{
    auto &queue = isOrder(request.rank) ? state.orders : state.waiting;
    if (state.options.prefersObjective && isOverloadSustained(state, now) && !isOrder(request.rank) && isWaitTooLong(state, now, request)) {
        return recordRefusal(state, now, request, Reason::QueueFull);
    }
    // Under sustained overload a longer queue only adds delay, so the lowest ranks are evicted at once.
    const bool isBacklogTooLong = !isOrder(request.rank) && isOverloadSustained(state, now)
        && static_cast<double>(queue.size()) >= kMaxBacklogFactor * targetBacklog(state, now);
    if ((queue.isFull() || isBacklogTooLong) && (isOrder(request.rank) || !evictLowerRank(state, now, request))) {
        return recordRefusal(state, now, request, Reason::QueueFull);
    }
    queue.push({request, now});
    return {request.ticket, GateVerdict::Queued, Reason::None, Duration{0}};
}

/// Returns the longest useful wait of a call below the class Order under sustained overload.
Duration maxQueueTime(const GateState &state, TimePoint now)
{
    const auto capacity = std::max(1.0, capacityOf(state, now));
    const auto seconds = kMaxWaitFactor * targetBacklog(state, now) / capacity;
    return std::max(state.options.queueInterval, Duration(static_cast<std::int64_t>(seconds * 1e6)));
}

/// Refuses waiting calls that can't meet their deadline, that the level refuses, or that waited too long under sustained overload.
void sweep(GateState &state, TimePoint now)
{
    const bool isSustained = isOverloadSustained(state, now);
    const auto maxWait = maxQueueTime(state, now);
    const auto level = enforcedLevel(state, now);
    const auto refuseIfDue = [&](const WaitingCall &call) {
        auto reason = Reason::None;
        if (call.request.deadline <= now) {
            reason = Reason::DeadlineExpired;
        } else if (call.request.deadline - now < minServiceTime(state, now, call.request)) {
            reason = Reason::DeadlineTooShort;
        } else if (isOrder(call.request.rank)) {
            return false;
        } else if (!call.request.isRootAdmitted && !level.admits(call.request.rank)) {
            reason = Reason::LevelTooLow;
        } else if (isSustained && now - call.queuedAt > maxWait) {
            reason = Reason::QueueTimeout;
        }
        if (reason == Reason::None || !hasOutboxRoom(state)) {
            return false;
        }
        state.outbox.push_back(recordRefusal(state, now, call.request, reason));
        return true;
    };
    state.orders.removeIf(refuseIfDue);
    state.waiting.removeIf(refuseIfDue);
    state.sweptAt = now;
}

/// Returns the call to dispatch next: the oldest order; without orders, the highest rank if the backlog is over its target, else the
/// oldest call.
const WaitingCall *nextCall(const GateState &state, TimePoint now)
{
    if (const auto *order = state.orders.oldest()) {
        return order;
    }
    const bool isOverTarget = static_cast<double>(state.waiting.size()) > targetBacklog(state, now);
    if (!isOverTarget) {
        return state.waiting.oldest();
    }
    if (!state.options.prefersObjective) {
        return state.waiting.highest();
    }
    return state.waiting.highestBy([&](const WaitingCall &call) {
        return std::tuple(groupOf(call.request.rank), canMeetObjective(state, now, call.request), call.request.rank);
    });
}

/// Dispatches waiting calls while slots are free.
void dispatch(GateState &state, TimePoint now)
{
    while (hasFreeSlot(state, now) && hasOutboxRoom(state)) {
        const auto *next = nextCall(state, now);
        if (!next) {
            return;
        }
        const auto call = *next;
        (isOrder(call.request.rank) ? state.orders : state.waiting).remove(next);
        const auto reason = checkAdmission(state, now, call.request);
        // As in sweep(), the level doesn't refuse an order that was queued.
        const bool isDispatchable = reason == Reason::None || (reason == Reason::LevelTooLow && isOrder(call.request.rank));
        if (!isDispatchable) {
            state.outbox.push_back(recordRefusal(state, now, call.request, reason));
            continue;
        }
        state.queueingDelay = now - call.queuedAt;
        start(state, now, call.request);
        state.outbox.push_back({call.request.ticket, GateVerdict::Admitted, Reason::None, Duration{0}});
    }
}

bool removeRunning(GateState &state, std::uint64_t ticket)
{
    const auto it = std::find(state.running.begin(), state.running.end(), ticket);
    if (it == state.running.end()) {
        return false;
    }
    *it = state.running.back();
    state.running.pop_back();
    return true;
}

} // namespace

bool isRootAdmitted(const CallContext &context)
{
    return context.ranksAsRoot && context.depth > 0;
}

GateRequest makeGateRequest(TimePoint now, std::uint64_t ticket, const CallContext &context)
{
    return {.ticket = ticket, .rank = makeRank(context), .deadline = now + context.remaining, .isRootAdmitted = isRootAdmitted(context)};
}

Gate::Gate(TimePoint now, const GateOptions &options)
    : m_state(std::make_unique<GateState>(now, options))
{
}

Gate::~Gate() = default;
Gate::Gate(Gate &&other) noexcept = default;
Gate &Gate::operator=(Gate &&other) noexcept = default;

void Gate::configure(TimePoint now, const GateOptions &options)
{
    auto &state = *m_state;
    advanceGate(state, now);
    const GateState fresh(now, options);
    state.options = options;
    state.level.setManyGroups(options.hasManyGroups);
    state.limit.configure(options);
    state.waiting.resize(fresh.waiting.capacity());
    state.orders.resize(fresh.orders.capacity());
    state.running.reserve(fresh.running.capacity());
    state.outbox.reserve(fresh.outbox.capacity());
}

void Gate::restart(TimePoint now)
{
    advanceGate(*m_state, now);
    m_state->limit.restart(now);
    m_state->rateLimit.setRate(now, std::nullopt);
}

void Gate::setRateLimit(TimePoint now, std::optional<double> rate)
{
    advanceGate(*m_state, now);
    m_state->rateLimit.setRate(now, rate);
}

GateDecision Gate::offer(TimePoint now, const GateRequest &request)
{
    auto &state = *m_state;
    advanceGate(state, now);
    state.level.onOffer(request.rank);
    const auto reason = checkAdmission(state, now, request);
    if (reason != Reason::None) {
        return recordRefusal(state, now, request, reason);
    }
    const bool isQueueEmpty = state.orders.size() == 0 && state.waiting.size() == 0;
    if (!isQueueEmpty || !hasFreeSlot(state, now)) {
        return enqueue(state, now, request);
    }
    state.queueingDelay = Duration{0};
    start(state, now, request);
    return {request.ticket, GateVerdict::Admitted, Reason::None, Duration{0}};
}

void Gate::finish(TimePoint now, std::uint64_t ticket, Duration latency, GateResult result)
{
    auto &state = *m_state;
    advanceGate(state, now);
    const bool wasRunning = removeRunning(state, ticket);
    assert(wasRunning);
    if (wasRunning) {
        state.limit.onEnd(now, latency, result, static_cast<std::uint32_t>(state.running.size()));
    }
}

bool Gate::cancel(TimePoint now, std::uint64_t ticket)
{
    auto &state = *m_state;
    advanceGate(state, now);
    if (removeRunning(state, ticket)) {
        return true;
    }
    for (auto *queue : {&state.waiting, &state.orders}) {
        if (const auto *call = queue->find(ticket)) {
            queue->remove(call);
            return true;
        }
    }
    return false;
}

std::size_t Gate::poll(TimePoint now, std::span<GateDecision> out)
{
    auto &state = *m_state;
    advanceGate(state, now);
    if (now - state.sweptAt >= kSweepInterval) {
        sweep(state, now);
    }
    dispatch(state, now);
    const auto n = std::min(out.size(), state.outbox.size());
    const auto end = state.outbox.begin() + static_cast<std::ptrdiff_t>(n);
    std::copy(state.outbox.begin(), end, out.begin());
    state.outbox.erase(state.outbox.begin(), end);
    return n;
}

TimePoint Gate::nextEvent() const
{
    const auto &state = *m_state;
    if (!state.outbox.empty()) {
        return state.integratedAt;
    }
    if (state.waiting.size() + state.orders.size() > 0) {
        return state.sweptAt + kSweepInterval;
    }
    const bool isIdle = level() == Level{} && !state.backlogExceededSince;
    return isIdle ? TimePoint::max() : state.periodStart + LevelControl::kPeriod;
}

Level Gate::level() const
{
    return publishedLevel(*m_state, m_state->integratedAt);
}

GateDecision Gate::explain(TimePoint now, const GateRequest &request) const
{
    const auto &state = *m_state;
    const auto reason = checkAdmission(state, now, request);
    if (reason != Reason::None) {
        return {request.ticket, GateVerdict::Refused, reason, Duration{0}};
    }
    const bool wouldQueue = !hasFreeSlot(state, now) || state.waiting.size() + state.orders.size() > 0;
    return {request.ticket, wouldQueue ? GateVerdict::Queued : GateVerdict::Admitted, Reason::None, expectedWait(state, now)};
}

GateSnapshot Gate::snapshot() const
{
    const auto &state = *m_state;
    const auto now = state.integratedAt;
    return {
        .limit = state.limit.limit(now),
        .limitReason = state.limit.reason(now),
        .inFlight = static_cast<std::uint32_t>(state.running.size()),
        .queued = static_cast<std::uint32_t>(state.waiting.size() + state.orders.size()),
        .queuedOrders = static_cast<std::uint32_t>(state.orders.size()),
        .level = level(),
        .queueingDelay = state.queueingDelay,
        .serviceTime = state.limit.serviceTime(now),
        .capacity = capacityOf(state, now),
        .rateLimit = state.rateLimit.rate(),
        .lookupsHeld = areLookupsRefused(state, now),
        .overloadTime = state.returns.overloadTime(now),
        .usualRate = state.usualRate,
        .admitted = state.admitted,
        .refused = state.refused,
    };
}

std::size_t Gate::bytes() const
{
    const auto &state = *m_state;
    return sizeof(state) + state.waiting.bytes() + state.orders.bytes() + state.running.capacity() * sizeof(std::uint64_t)
        + state.outbox.capacity() * sizeof(GateDecision);
}

} // namespace chicoryspar
