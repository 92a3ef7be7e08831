/// @file
/// Load of the gate as its answers report it to the senders of calls.

#include "node/gate/gate_service.h"

#include <algorithm>

namespace chicoryspar {
namespace {

/// Bounds the time spent on summing up the calls to 500 sums per second.
constexpr Duration kMaxRemainingAge = std::chrono::milliseconds(2);

} // namespace

Duration GateService::remainingWork(TimePoint now)
{
    if (now - m_remainingWorkAt >= kMaxRemainingAge) {
        m_remainingWorkAt = now;
        m_remainingWork = Duration{0};
        for (const auto &[ticket, call] : m_calls) {
            const auto startedAt = call.exchangeId == 0 ? std::nullopt : std::optional(call.dispatchedAt);
            m_remainingWork += m_loadMeter.remainingOf(now, {.expectedWork = call.expectedWork, .startedAt = startedAt});
        }
    }
    return m_remainingWork;
}

void GateService::fillLoad(TimePoint now, CallAnswer &answer)
{
    if (!m_loadMeter.hasPace(now)) {
        return;
    }
    const auto report = m_loadMeter.report(now, remainingWork(now), m_announcement.slots);
    auto &load = answer.load ? *answer.load : answer.load.emplace();
    load.outstandingWork = report.outstandingWork;
    load.pacePercent = report.pacePercent;
    load.paceAge = report.paceAge;
}

} // namespace chicoryspar
