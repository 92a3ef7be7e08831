/// @file
/// What the gate believes of its backend server: announcements, departures, the check of a first announcement.

#include "node/clock.h"
#include "node/gate/gate_service.h"
#include "node/log.h"

#include <algorithm>

namespace chicoryspar {
namespace {

/// Without an announcement for this long the backend server is taken for gone.
constexpr Duration kAnnouncementTimeout = std::chrono::seconds(5);
/// A health check waits for a slot like any other request.
constexpr Duration kHealthTimeout = std::chrono::seconds(1);
/// Departed instances that are remembered.
constexpr std::size_t kMaxDeparted = 16;

} // namespace

bool GateService::isOutdated(const Announcement &announcement) const
{
    const auto isSame = [&](const Announcement &it) {
        return it.instance == announcement.instance && it.processStartMs == announcement.processStartMs;
    };
    if (std::any_of(m_departed.begin(), m_departed.end(), isSame)) {
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

void GateService::announce(TimePoint now, Announcement announcement)
{
    if (isOutdated(announcement)) {
        writeLog(LogLevel::Info, "outdated announcement ignored",
                 {{"instance", announcement.instance}, {"sequence", std::to_string(announcement.sequence)}});
        return;
    }
    const auto before = readiness();
    const bool isNewInstance =
        announcement.instance != m_announcement.instance || announcement.processStartMs != m_announcement.processStartMs;
    const bool isChanged = isNewInstance || announcement.slots != m_announcement.slots || announcement.service != m_announcement.service;
    const bool isRepeated = !isNewInstance && !m_isConfirmed;
    m_announcement = std::move(announcement);
    m_announcedAt = now;
    m_backend.setTarget(m_announcement.address, connectionLimit());
    if (isNewInstance) {
        m_gate.restart(now);
        m_isConfirmed = false;
        m_isChecking = false;
    }
    if (isChanged) {
        applyPolicy(now);
    }
    if (isRepeated) {
        onConfirmed(now, m_announcement.instance, "second announcement");
    }
    recordReadiness(before);
    m_context.backendChanged.emitChange(now);
}

/// The first announcement that this process sees may be a late one, of an instance that has left since.
void GateService::confirmInstance(TimePoint now)
{
    const auto *service = m_context.config.findRoutedService(m_announcement.service);
    auto request = m_context.edge.healthRequest(service ? service->healthPath : std::string());
    if (!request) {
        m_isConfirmed = true;
        return;
    }
    if (!service || m_announcement.readiness != BackendReadiness::Ready) {
        // The next announcement confirms this one.
        return;
    }
    m_isChecking = true;
    m_backend.send(std::move(*request), kHealthTimeout, [this, instance = m_announcement.instance](const BackendResult &result) {
        m_isChecking = false;
        if (result.outcome == Outcome::Answer && m_context.edge.isHealthyResponse(instance, result.response)) {
            onConfirmed(steadyNow(), instance, "health check");
        }
    });
    writeLog(LogLevel::Info, "first announcement of an instance is checked",
             {{"instance", m_announcement.instance}, {"ageMs", std::to_string(toMilliseconds(now - m_announcedAt))}});
}

void GateService::onConfirmed(TimePoint now, const std::string &instance, const char *how)
{
    if (m_isConfirmed || instance != m_announcement.instance) {
        return;
    }
    const auto before = readiness();
    m_isConfirmed = true;
    writeLog(LogLevel::Info, "instance confirmed", {{"instance", instance}, {"by", how}});
    recordReadiness(before);
    m_context.backendChanged.emitChange(now);
}

void GateService::depart(TimePoint now, const std::string &instance)
{
    if (instance != m_announcement.instance) {
        writeLog(LogLevel::Info, "departure of another instance ignored", {{"instance", instance}});
        return;
    }
    const auto before = readiness();
    m_departed.push_back(m_announcement);
    if (m_departed.size() > kMaxDeparted) {
        m_departed.pop_front();
    }
    m_announcement.readiness = BackendReadiness::Draining;
    recordReadiness(before);
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
        recordReadiness(before);
        m_context.backendChanged.emitChange(now);
    }
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
        // Nothing is announced as ready before the configuration is known.
        return BackendReadiness::Starting;
    }
    if (!m_isConfirmed && m_announcement.readiness == BackendReadiness::Ready) {
        return BackendReadiness::Starting;
    }
    const bool isLeaving = m_isDrained || m_context.isStopping;
    return isLeaving && m_announcement.readiness == BackendReadiness::Ready ? BackendReadiness::Draining : m_announcement.readiness;
}

void GateService::recordReadiness(BackendReadiness before)
{
    const auto after = readiness();
    if (after == before) {
        return;
    }
    const auto kind = after == BackendReadiness::Ready ? EventKind::BackendReady
        : after == BackendReadiness::Draining          ? EventKind::DrainBegun
                                                       : EventKind::BackendLost;
    m_context.recordEvent(
        Event{.kind = kind, .service = m_announcement.service, .subject = m_announcement.address, .text = std::string(rowOf(after).name)});
    writeLog(LogLevel::Info, "backend server changed", {{"service", m_announcement.service}, {"state", std::string(rowOf(after).name)}});
}

} // namespace chicoryspar
