/// @file
/// Schedule of status writes, and choice of the reporter.

#include "config/status_schedule.h"

#include <algorithm>

namespace chicoryspar {

StatusSchedule::StatusSchedule(const StatusScheduleOptions &options)
    : m_options(options)
{
}

bool StatusSchedule::shouldWrite(TimePoint now, bool isReporter, std::uint64_t contentHash) const
{
    return isReporter && !m_isWriting && now >= m_nextWriteAt && contentHash != m_writtenHash;
}

void StatusSchedule::beginWrite(std::uint64_t contentHash)
{
    m_isWriting = true;
    m_pendingHash = contentHash;
}

void StatusSchedule::endWrite(TimePoint now, bool hasSucceeded)
{
    m_isWriting = false;
    if (hasSucceeded) {
        m_writtenHash = m_pendingHash;
        m_backoff = m_options.period;
    } else {
        m_backoff = std::clamp(2 * m_backoff, m_options.period, m_options.maxBackoff);
    }
    m_nextWriteAt = now + m_backoff;
}

NodeId chooseReporter(std::vector<NodeId> members, std::string_view service)
{
    if (members.empty()) {
        return {};
    }
    sortByRank(members, hashBytes(service));
    return members.front();
}

} // namespace chicoryspar
