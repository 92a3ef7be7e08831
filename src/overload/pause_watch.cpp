/// @file
/// Detection of pauses of the process.

#include "overload/pause_watch.h"

namespace chicoryspar {

PauseWatch::PauseWatch(TimePoint now, const PauseWatchOptions &options)
    : m_options(options)
    , m_tickedAt(now)
    , m_settledAt(now)
{
}

Duration PauseWatch::onTick(TimePoint now)
{
    const Duration gap = now - m_tickedAt;
    m_tickedAt = now;
    if (gap <= m_options.maxGap) {
        return Duration{0};
    }
    m_settledAt = now + m_options.settleTime;
    return gap;
}

bool PauseWatch::isWaking(TimePoint now) const
{
    return now - m_tickedAt > m_options.maxGap || now < m_settledAt;
}

} // namespace chicoryspar
