/// @file
/// What the backend server states in its answers: requests per second that it accepts, and that it leaves.

#include "node/gate/gate_service.h"
#include "node/log.h"

namespace chicoryspar {
namespace {

/// A limit counts as withdrawn when answers have come without it for this long. Answers arrive in another order than they were made in.
constexpr Duration kRateLimitHold = std::chrono::seconds(1);

} // namespace

void GateService::applySignals(TimePoint now, const std::string &instance, const AnswerSignals &signals)
{
    if (instance.empty() || instance != m_announcement.instance) {
        return;
    }
    if (signals.load && signals.load->pacePercent) {
        if (!m_loadMeter.hasPace(now) && tryTakeDecisionLogToken()) {
            writeLog(LogLevel::Info, "the backend server states its pace; answers report the load of this gate",
                     {{"instance", instance}, {"pacePercent", std::to_string(*signals.load->pacePercent)}});
        }
        m_loadMeter.setPace(now, *signals.load->pacePercent);
    }
    if (signals.rateLimit) {
        m_rateLimitStatedAt = now;
        setRateLimit(now, signals.rateLimit, "backend server");
    } else if (m_rateLimit && now - m_rateLimitStatedAt >= kRateLimitHold) {
        setRateLimit(now, std::nullopt, "backend server");
    }
    if (signals.load && signals.load->pacePercent && !m_repeats.hasStatedPace()) {
        m_repeats.onPaceStated();
        m_gate.configure(now, gateOptions());
    }
    if (signals.isLeaving && !m_hasStatedLeave) {
        m_hasStatedLeave = true;
        writeLog(LogLevel::Info, "the backend server states that it leaves", {{"instance", instance}});
        applyDeparture(now, instance);
    }
}

void GateService::adoptKnownBackend(TimePoint now, const BackendState &known)
{
    const bool isAnnounced = known.instance == m_announcement.instance && known.processStartMs == m_announcement.processStartMs;
    if (!isAnnounced || known.instance.empty()) {
        return;
    }
    if (known.rateLimit && !m_rateLimit && !m_hasAnswered) {
        // The first answer that this process receives decides.
        m_rateLimitStatedAt = TimePoint{};
        setRateLimit(now, known.rateLimit, "caller");
    }
    if (known.isLeaving && !m_hasStatedLeave) {
        m_hasStatedLeave = true;
        writeLog(LogLevel::Info, "a caller knows that the backend server leaves", {{"instance", known.instance}});
        applyDeparture(now, known.instance);
    }
}

void GateService::setRateLimit(TimePoint now, std::optional<double> rate, const char *source)
{
    if (rate == m_rateLimit) {
        return;
    }
    const bool isNew = rate.has_value() != m_rateLimit.has_value();
    m_rateLimit = rate;
    m_gate.setRateLimit(now, rate);
    if (isNew || tryTakeDecisionLogToken()) {
        writeLog(LogLevel::Info, rate ? "the backend server limits its requests" : "the backend server no longer limits its requests",
                 {{"instance", m_announcement.instance},
                  {"requestsPerSecond", rate ? std::to_string(*rate) : std::string()},
                  {"statedBy", source}});
    }
}

std::optional<BackendState> GateService::backendState() const
{
    if (m_announcement.instance.empty() || (!m_rateLimit && !m_hasStatedLeave)) {
        return std::nullopt;
    }
    return BackendState{.instance = m_announcement.instance,
                        .processStartMs = m_announcement.processStartMs,
                        .rateLimit = m_rateLimit,
                        .isLeaving = m_hasStatedLeave};
}

} // namespace chicoryspar
