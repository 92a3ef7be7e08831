/// @file
/// Monotonic and wall clock of the process.

#include "node/clock.h"

#include <ctime>

namespace chicoryspar {

TimePoint steadyNow()
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

TimePoint bootNow()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

WallTime wallNow()
{
    return WallTime(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
}

} // namespace chicoryspar
