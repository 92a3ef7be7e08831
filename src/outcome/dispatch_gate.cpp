/// @file
/// The executor's record of dispatches.

#include <chicoryspar/outcome.h>

namespace chicoryspar {

DispatchGate::DispatchGate(WallTime startedAt, const DispatchGateOptions &options)
    : m_options(options)
    , m_startedAt(startedAt)
{
}

DispatchVerdict DispatchGate::admit(WallTime wall, const KeyDispatch &dispatch)
{
    expire(wall);
    if (const auto recorded = findRecorded(dispatch)) {
        return *recorded;
    }
    if (isUndecidable(wall, dispatch)) {
        return DispatchVerdict::Uncertain;
    }
    if (m_options.checksDeadline && wall > dispatch.notAfter) {
        return DispatchVerdict::NotRun;
    }
    return record(dispatch, true) ? DispatchVerdict::Start : DispatchVerdict::NotRun;
}

void DispatchGate::withdraw(const KeyDispatch &dispatch)
{
    if (const auto it = m_entries.find(dispatch.key); it != m_entries.end()) {
        it->second.started = false;
    }
}

DispatchVerdict DispatchGate::resolve(WallTime wall, const KeyDispatch &dispatch)
{
    expire(wall);
    if (const auto recorded = findRecorded(dispatch)) {
        return *recorded;
    }
    if (isUndecidable(wall, dispatch)) {
        return DispatchVerdict::Uncertain;
    }
    record(dispatch, false);
    return DispatchVerdict::NotRun;
}

std::optional<DispatchVerdict> DispatchGate::findRecorded(const KeyDispatch &dispatch) const
{
    const auto it = m_entries.find(dispatch.key);
    if (it != m_entries.end() && m_options.recordsDispatches) {
        if (it->second.started) {
            return DispatchVerdict::Started;
        }
        if (dispatch.attempt <= it->second.attempt) {
            return DispatchVerdict::NotRun;
        }
    }
    if (dispatch.decidedAt <= m_refusedUntil) {
        return DispatchVerdict::NotRun;
    }
    return std::nullopt;
}

bool DispatchGate::isUndecidable(WallTime wall, const KeyDispatch &dispatch) const
{
    const bool beforeStart = m_options.checksProcessStart && dispatch.decidedAt <= m_startedAt + m_options.maxSkew;
    return beforeStart || wall > dispatch.notAfter + m_options.retention;
}

void DispatchGate::expire(WallTime wall)
{
    while (!m_expiry.empty() && m_expiry.begin()->first < wall) {
        m_entries.erase(m_expiry.begin()->second);
        m_expiry.erase(m_expiry.begin());
    }
}

bool DispatchGate::record(const KeyDispatch &dispatch, bool started)
{
    auto it = m_entries.find(dispatch.key);
    if (it == m_entries.end()) {
        if (m_entries.size() >= m_options.maxEntries) {
            m_refusedUntil = std::max(m_refusedUntil, dispatch.decidedAt);
            return false;
        }
        it = m_entries.emplace(dispatch.key, Entry{}).first;
        m_expiry.emplace(dispatch.notAfter + m_options.retention, dispatch.key);
    }
    it->second = Entry{dispatch.attempt, started};
    return true;
}

} // namespace chicoryspar
