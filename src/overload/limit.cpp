/// @file
/// Measurement windows, cold-start ramp and bounds of the limit algorithms.

#include "overload/limit.h"

#include <algorithm>
#include <cmath>

namespace chicoryspar {
namespace {

constexpr Duration kMinWindow = std::chrono::milliseconds(100);
constexpr Duration kMaxWindow = std::chrono::seconds(2);
constexpr std::uint32_t kMinWindowAnswers = 20;
/// Weight of one answer in the averaged service time.
constexpr double kServiceWeight = 0.02;
/// Weight of one answer in the recent service time, and the ratio of the two from which the recent one replaces the averaged one.
constexpr double kRecentWeight = 0.1;
constexpr double kChangeRatio = 1.8;
/// Half-life of the averaged service time while no answer arrives.
constexpr Duration kServiceTimeHalfLife = std::chrono::milliseconds(250);
/// Share of the highest limit at which the cold-start ramp begins.
constexpr double kColdStartShare = 0.25;

} // namespace

Duration LimitWindow::meanLatency() const
{
    return answers > 0 ? totalLatency / answers : Duration{0};
}

LimitControl::LimitControl(TimePoint now, const GateOptions &options)
    : m_options(options)
    , m_windowStart(now)
    , m_startedAt(now)
    , m_sampledAt(now)
    , m_limit(highest())
{
}

double LimitControl::highest() const
{
    return std::max(1U, std::min(m_options.maxLimit, m_options.slots));
}

void LimitControl::configure(const GateOptions &options)
{
    const bool wasHighest = m_limit >= highest();
    m_options = options;
    m_limit = wasHighest ? highest() : std::min(m_limit, highest());
}

void LimitControl::restart(TimePoint now)
{
    m_state = {};
    m_window = {};
    m_sheds = {};
    m_windowStart = now;
    m_startedAt = now;
    m_limit = highest();
    m_serviceMicros = 0;
    m_recentServiceMicros = 0;
}

double LimitControl::rampShare(TimePoint now) const
{
    if (m_options.coldStart <= Duration{0}) {
        return 1;
    }
    const auto share = std::chrono::duration<double>(now - m_startedAt) / m_options.coldStart;
    return std::min(1.0, kColdStartShare + (1 - kColdStartShare) * share);
}

std::uint32_t LimitControl::limit(TimePoint now) const
{
    const auto lowest = std::min<double>(std::max(1U, m_options.minLimit), highest());
    const auto value = std::min(m_limit, highest() * rampShare(now));
    return static_cast<std::uint32_t>(std::max(lowest, value));
}

LimitReason LimitControl::reason(TimePoint now) const
{
    if (highest() * rampShare(now) < m_limit) {
        return LimitReason::ColdStart;
    }
    return m_limit <= m_options.minLimit ? LimitReason::Minimum : m_reason;
}

void LimitControl::onStart(std::uint32_t inFlight)
{
    m_window.peakInFlight = std::max(m_window.peakInFlight, inFlight);
}

void LimitControl::onEnd(TimePoint now, Duration latency, GateResult result, std::uint32_t inFlight)
{
    if (result == GateResult::Success) {
        ++m_window.answers;
        const std::chrono::duration<double> seconds = latency;
        m_window.totalLatency += latency;
        m_window.squaredSeconds += seconds.count() * seconds.count();
        const auto latencyMicros = static_cast<double>(latency.count());
        const auto currentMicros = static_cast<double>(serviceTime(now).count());
        m_recentServiceMicros =
            m_recentServiceMicros > 0 ? m_recentServiceMicros + (latencyMicros - m_recentServiceMicros) * kRecentWeight : latencyMicros;
        m_serviceMicros = m_serviceMicros > 0 ? currentMicros + (latencyMicros - currentMicros) * kServiceWeight : latencyMicros;
        const auto ratio = m_recentServiceMicros / m_serviceMicros;
        if (ratio > kChangeRatio || ratio < 1 / kChangeRatio) {
            m_serviceMicros = m_recentServiceMicros;
        }
        m_sampledAt = now;
    } else if (result == GateResult::Shed) {
        ++m_window.sheds;
    } else {
        ++m_window.failures;
    }
    if (now - m_windowStart >= kMinWindow) {
        closeWindow(now, inFlight);
    }
}

void LimitControl::closeWindow(TimePoint now, std::uint32_t inFlight)
{
    m_window.length = now - m_windowStart;
    const bool hasEnoughAnswers = m_window.answers >= kMinWindowAnswers || m_window.sheds > 0;
    if (!hasEnoughAnswers && m_window.length < kMaxWindow) {
        return;
    }
    const bool isRamping = highest() * rampShare(now) < m_limit;
    const bool wasReached = m_window.peakInFlight >= limit(now) && !isRamping;
    observeWindow(m_state, m_window, wasReached || isRamping);
    const bool wasIndependentOfLimit = m_sheds.isIndependentOfLimit();
    m_sheds.add(m_window, limit(now));
    if (m_sheds.isIndependentOfLimit()) {
        m_limit = wasIndependentOfLimit ? m_limit : std::min(m_sheds.startLimit(), highest());
        m_reason = LimitReason::SheddingAnyway;
        m_window.sheds = 0;
    }
    if (m_window.sheds > 0 || (m_window.answers > 0 && wasReached)) {
        const auto step = functionOf(m_options.algorithm)(m_state, m_window, m_limit, highest());
        const auto lowest = m_window.sheds > 0 ? std::max<double>(m_options.minLimit, m_sheds.lowestLimit()) : m_options.minLimit;
        m_limit = std::clamp(step.limit, std::min(lowest, highest()), highest());
        m_reason = step.reason;
    }
    m_window = {.peakInFlight = inFlight};
    m_windowStart = now;
}

Duration LimitControl::serviceTime(TimePoint now) const
{
    const auto idleMicros = std::max<std::int64_t>(0, (now - m_sampledAt).count() - static_cast<std::int64_t>(m_serviceMicros));
    const auto halvings = static_cast<int>(std::min<std::int64_t>(idleMicros / kServiceTimeHalfLife.count(), 60));
    return Duration(static_cast<std::int64_t>(std::ldexp(m_serviceMicros, -halvings)));
}

double LimitControl::capacity(TimePoint now) const
{
    return m_serviceMicros > 0 ? limit(now) * 1e6 / m_serviceMicros : 0;
}

} // namespace chicoryspar
