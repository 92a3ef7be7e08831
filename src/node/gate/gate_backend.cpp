/// @file
/// State of the local backend server as the gate tracks it: announcements, departures and the health check of a new instance.

#include "node/clock.h"
#include "node/gate/gate_service.h"
#include "node/log.h"

#include <algorithm>

namespace chicoryspar {
namespace {

/// The backend server counts as lost when it hasn't announced itself for this long.
constexpr Duration kAnnouncementTimeout = std::chrono::seconds(5);
/// Includes the wait for a free slot at the backend server, where a health check waits like any other request.
constexpr Duration kHealthCheckTimeout = std::chrono::seconds(1);
/// Departed instances that are kept, so that late announcements of them are recognised.
constexpr std::size_t kMaxDepartedInstances = 16;

} // namespace

bool GateService::isOutdated(const Announcement &announcement) const
{
    const auto isSame = [&](const Announcement &it) {
        return it.instance == announcement.instance && it.processStartMs == announcement.processStartMs;
    };
    if (std::any_of(m_departedInstances.begin(), m_departedInstances.end(), isSame)) {
        return true;
    }
    if (m_announcement.instance.empty() || announcement.sequence == 0) {
        return false;
    }
    if (isSame(m_announcement)) {
        return announcement.sequence <= m_announcement.sequence;
    }
    return announcement.processStartMs != 0 && announcement.processStartMs < m_announcement.processStartMs;
}

void GateService::applyAnnouncement(TimePoint now, Announcement announcement)
{
    if (isOutdated(announcement)) {
        writeLog(LogLevel::Info, "ignored an announcement of a departed instance or older than the last one",
                 {{"instance", announcement.instance}, {"sequence", std::to_string(announcement.sequence)}});
        return;
    }
    const auto before = readiness();
    const bool isNewInstance =
        announcement.instance != m_announcement.instance || announcement.processStartMs != m_announcement.processStartMs;
    const bool isChanged = isNewInstance || announcement.slots != m_announcement.slots || announcement.service != m_announcement.service;
    const bool isSecondAnnouncement = !isNewInstance && !m_isConfirmed;
    m_announcement = std::move(announcement);
    m_announcedAt = now;
    m_backend.setTarget(m_announcement.address, connectionLimit());
    if (isNewInstance) {
        m_gate.restart(now);
        m_loadMeter.restart();
        m_hasAnswered = false;
        m_hasStatedLeave = false;
        m_rateLimit.reset();
        m_isConfirmed = false;
        m_isHealthCheckRunning = false;
    }
    if (isChanged) {
        applyPolicy(now);
    }
    if (isSecondAnnouncement) {
        onConfirmed(now, m_announcement.instance, "second announcement");
    }
    recordReadinessChange(before);
    m_context.backendChanged.emitChange(now);
}

/// Verifies an instance by a health check: the first announcement that this process receives may be a delayed one, of an instance that has
/// departed since.
void GateService::startHealthCheck(TimePoint now)
{
    const auto *service = m_context.config.findRoutedService(m_announcement.service);
    auto request = m_context.edge.healthRequest(service ? service->healthPath : std::string());
    if (!request) {
        m_isConfirmed = true;
        return;
    }
    if (!service || m_announcement.readiness != BackendReadiness::Ready) {
        // Without a health check the next announcement confirms the instance.
        return;
    }
    m_isHealthCheckRunning = true;
    m_backend.send(std::move(*request), kHealthCheckTimeout, [this, instance = m_announcement.instance](const BackendResult &result) {
        m_isHealthCheckRunning = false;
        const auto signals = m_context.edge.readSignals(result.response);
        if (signals.rateLimit || signals.isLeaving) {
            // Without signals, an answer to a health check doesn't show that there is no limit.
            applySignals(steadyNow(), instance, signals);
        }
        if (result.outcome == Outcome::Answer && m_context.edge.isHealthyResponse(instance, result.response)) {
            onConfirmed(steadyNow(), instance, "health check");
        }
    });
    writeLog(LogLevel::Info, "checking the health of a newly announced instance",
             {{"instance", m_announcement.instance}, {"ageMs", std::to_string(toMilliseconds(now - m_announcedAt))}});
}

void GateService::onConfirmed(TimePoint now, const std::string &instance, const char *evidence)
{
    if (m_isConfirmed || instance != m_announcement.instance) {
        return;
    }
    const auto before = readiness();
    m_isConfirmed = true;
    writeLog(LogLevel::Info, "backend server instance confirmed", {{"instance", instance}, {"by", evidence}});
    recordReadinessChange(before);
    m_context.backendChanged.emitChange(now);
}

void GateService::applyDeparture(TimePoint now, const std::string &instance)
{
    if (instance != m_announcement.instance) {
        writeLog(LogLevel::Info, "ignored a departure: the announced instance is another one", {{"instance", instance}});
        return;
    }
    const auto before = readiness();
    m_departedInstances.push_back(m_announcement);
    if (m_departedInstances.size() > kMaxDepartedInstances) {
        m_departedInstances.pop_front();
    }
    m_announcement.readiness = BackendReadiness::Draining;
    recordReadinessChange(before);
    m_context.backendChanged.emitChange(now);
}

std::uint64_t GateService::connectionLimit() const
{
    const auto *service = m_context.config.findRoutedService(m_announcement.service);
    const std::uint64_t accepted = service ? service->maxConnections : m_announcement.connections;
    return std::min(accepted, m_context.settings.maxBackendConnections);
}

void GateService::checkAnnouncement(TimePoint now)
{
    if (!m_announcement.instance.empty() && now - m_announcedAt > kAnnouncementTimeout) {
        const auto before = readiness();
        m_announcement = {};
        recordReadinessChange(before);
        m_context.backendChanged.emitChange(now);
    }
    refuseWaitingCalls(now);
    m_repeats.refresh(now, m_announcement.service);
    m_context.events.flushRefusals(now, m_context.tick());
}

void GateService::setDrained(TimePoint now, bool isDrained)
{
    if (m_isDrained == isDrained) {
        return;
    }
    m_isDrained = isDrained;
    m_context.recordEvent(Event{
        .kind = isDrained ? EventKind::DrainBegun : EventKind::DrainEnded, .service = m_announcement.service, .text = "by an operator"});
    m_context.backendChanged.emitChange(now);
}

bool GateService::isDrained() const
{
    return m_isDrained;
}

BackendReadiness GateService::readiness() const
{
    if (m_announcement.instance.empty()) {
        return BackendReadiness::None;
    }
    if (m_announcement.readiness == BackendReadiness::Ready && m_context.config.size() == 0) {
        // The backend server isn't reported as ready before this node has received its configuration.
        return BackendReadiness::Starting;
    }
    if (!m_isConfirmed && m_announcement.readiness == BackendReadiness::Ready) {
        return BackendReadiness::Starting;
    }
    const bool isLeaving = m_isDrained || m_context.isStopping;
    return isLeaving && m_announcement.readiness == BackendReadiness::Ready ? BackendReadiness::Draining : m_announcement.readiness;
}

void GateService::recordReadinessChange(BackendReadiness before)
{
    const auto after = readiness();
    if (m_announcement.readiness != BackendReadiness::Draining) {
        m_leavingSince.reset();
    } else if (!m_leavingSince) {
        m_leavingSince = steadyNow();
    }
    if (after == before) {
        return;
    }
    const auto kind = after == BackendReadiness::Ready ? EventKind::BackendReady
        : after == BackendReadiness::Draining          ? EventKind::DrainBegun
                                                       : EventKind::BackendLost;
    m_context.recordEvent(
        Event{.kind = kind, .service = m_announcement.service, .subject = m_announcement.address, .text = std::string(rowOf(after).name)});
    writeLog(LogLevel::Info, "backend server readiness changed",
             {{"service", m_announcement.service}, {"state", std::string(rowOf(after).name)}});
}

} // namespace chicoryspar
