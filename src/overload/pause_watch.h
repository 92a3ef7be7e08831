#pragma once

/// @file
/// Detects that the process was paused. Load pattern: a process wakes after seconds with calls and announcements waiting in its sockets,
/// and must not act on the calls before it has read what was announced meanwhile.

#include <chicoryspar/core.h>

namespace chicoryspar {

struct PauseWatchOptions
{
    /// A longer time between two ticks is a pause.
    Duration maxGap = std::chrono::seconds(1);
    /// Time after the first tick that follows a pause in which the waiting messages are read.
    Duration settleTime = std::chrono::milliseconds(100);
};

/// Tells whether permissions given before may be outdated because of a pause. The present time must advance while the process is suspended.
class PauseWatch
{
public:
    explicit PauseWatch(TimePoint now, const PauseWatchOptions &options = {});

    /// To be called regularly, several times within PauseWatchOptions::maxGap.
    /// @returns the length of the pause that ended with this tick; zero when there was none
    Duration onTick(TimePoint now);

    /// Returns whether the process is in a pause that no tick has ended, or has just come out of one.
    bool isWaking(TimePoint now) const;

private:
    PauseWatchOptions m_options;
    TimePoint m_tickedAt;
    TimePoint m_settledAt;
};

} // namespace chicoryspar
