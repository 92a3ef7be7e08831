/// @file
/// Policy in force at the gate, its state for status and explain, and the log of its changes.

#include "node/clock.h"
#include "node/gate/gate_service.h"
#include "node/log.h"

#include <algorithm>

namespace chicoryspar {
namespace {

/// Queue capacity for orders per slot of the backend server: more than can run before the callers time out.
constexpr std::uint32_t kOrderQueueLengthPerSlot = 32;
constexpr std::uint32_t kMinOrderQueueLength = 256;
/// A call may wait at one gate for the latency objective of its route divided by this: a chain of calls passes several gates, some of them
/// many times.
constexpr int kQueueDelayDivisor = 10;
constexpr Duration kRecordInterval = std::chrono::seconds(1);
constexpr int kPercent = 100;

/// Formats an admission level as the request class that it lies in and the percentage of that class's ranks below it, which are refused.
std::string describeLevel(Level level)
{
    // The lower 20 bits of a rank are the hash of its root.
    constexpr std::uint32_t kHashSpan = 1U << 20U;
    return std::string(rowOf(classOf(level)).name) + "+" + std::to_string(level.value % kHashSpan * std::uint64_t{kPercent} / kHashSpan)
        + "%";
}

} // namespace

bool GateService::usesObjectives() const
{
    return m_context.config.requiresCustomers() || m_repeats.hasStatedPace();
}

bool GateService::spacesReturns() const
{
    const auto mode = m_context.settings.returnSchedule;
    return mode == ReturnScheduleMode::Auto ? usesObjectives() : mode == ReturnScheduleMode::On;
}

GateOptions GateService::gateOptions() const
{
    const auto &policy = m_context.config.overloadPolicyOf(m_announcement.service);
    GateOptions options;
    options.algorithm = findLimitAlgorithm(policy.algorithm).value_or(options.algorithm);
    options.minLimit = policy.minLimit;
    options.maxLimit = policy.maxLimit == 0 ? m_announcement.slots : policy.maxLimit;
    options.slots = m_announcement.slots;
    options.queueTarget = policy.queueTarget;
    options.queueInterval = policy.queueInterval;
    options.queueLength = policy.queueLength;
    options.orderQueueLength = std::clamp(m_announcement.slots * kOrderQueueLengthPerSlot, kMinOrderQueueLength, options.orderQueueLength);
    options.coldStart = m_announcement.warmupRemaining.value_or(policy.coldStart);
    options.pushBack = policy.pushBack;
    if (const auto target = m_context.config.shortestLatencyObjective(m_announcement.service)) {
        options.maxQueueDelay = *target / kQueueDelayDivisor;
        options.prefersObjective = usesObjectives();
    }
    options.hasManyGroups = m_context.config.requiresCustomers();
    options.spacesReturns = spacesReturns();
    return options;
}

void GateService::applyPolicy(TimePoint now)
{
    m_backend.setTarget(m_announcement.address, connectionLimit());
    if (!m_announcement.instance.empty() && !m_isConfirmed && !m_isHealthCheckRunning) {
        // The configuration that names the health check path may have arrived after the announcement.
        startHealthCheck(now);
    }
    m_gate.configure(now, gateOptions());
    pollGate(now);
}

void GateService::recordGateChanges()
{
    const auto now = steadyNow();
    if (now - m_recordedAt < kRecordInterval) {
        return;
    }
    const auto snapshot = m_gate.snapshot();
    if (snapshot.limit != m_recordedSnapshot.limit) {
        m_context.recordEvent(Event{.kind = EventKind::LimitChanged,
                                    .service = m_announcement.service,
                                    .value = snapshot.limit,
                                    .text = std::string(rowOf(snapshot.limitReason).name)});
    }
    if (snapshot.level != m_recordedSnapshot.level) {
        m_context.recordEvent(Event{.kind = EventKind::LevelChanged, .service = m_announcement.service, .value = snapshot.level.value});
    }
    if (snapshot.limit != m_recordedSnapshot.limit || snapshot.level != m_recordedSnapshot.level) {
        writeLog(LogLevel::Info, "gate limit or admission level changed",
                 {{"service", m_announcement.service},
                  {"limit", std::to_string(snapshot.limit)},
                  {"limitReason", std::string(rowOf(snapshot.limitReason).name)},
                  {"running", std::to_string(snapshot.inFlight)},
                  {"queued", std::to_string(snapshot.queued)},
                  {"queuedOrders", std::to_string(snapshot.queuedOrders)},
                  {"queueingMs", std::to_string(toMilliseconds(snapshot.queueingDelay))},
                  {"serviceMs", std::to_string(toMilliseconds(snapshot.serviceTime))},
                  {"capacity", std::to_string(snapshot.capacity)},
                  {"admitted", std::to_string(snapshot.admitted)},
                  {"admissionLevel", describeLevel(snapshot.level)}});
    }
    m_recordedSnapshot = snapshot;
    m_recordedAt = now;
}

const Announcement &GateService::announcement() const
{
    return m_announcement;
}

GateSnapshot GateService::snapshot() const
{
    return m_gate.snapshot();
}

GateRepeats &GateService::repeats()
{
    return m_repeats;
}

const GateRepeats &GateService::repeats() const
{
    return m_repeats;
}

bool GateService::boundsRepeats() const
{
    return m_repeats.isBounding();
}

std::size_t GateService::callCount() const
{
    return m_calls.size();
}

GateDecision GateService::explain(TimePoint now, const CallContext &callContext) const
{
    return m_gate.explain(now, makeGateRequest(now, 0, callContext));
}

} // namespace chicoryspar
