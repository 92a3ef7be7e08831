/// @file
/// Monotonic and wall clock of the process.

#include "node/clock.h"

namespace chicoryspar {

TimePoint steadyNow()
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

WallTime wallNow()
{
    return WallTime(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
}

} // namespace chicoryspar
