/// @file
/// Durations of store calls.

#include "config/store_timeouts.h"

#include "config/config_sync.h"

#include <algorithm>

namespace chicoryspar {
namespace {

/// Time for the list that follows a silent call, until the change is in force.
constexpr Duration kListTime = std::chrono::milliseconds(300);
constexpr Duration kMaxWatchGrace = std::chrono::milliseconds(1500);
constexpr Duration kMaxCallTimeout = std::chrono::seconds(3);
/// The grace is the time within which a silent watch is noticed, divided by this.
constexpr int kGraceDivisor = 5;

} // namespace

StoreTimeouts storeTimeoutsFor(Duration changeBound)
{
    const ConfigSyncOptions limits;
    const auto noticedWithin = std::max(changeBound - kListTime, changeBound / 2);
    StoreTimeouts timeouts;
    timeouts.watchGrace = std::min(kMaxWatchGrace, noticedWithin / kGraceDivisor);
    timeouts.watchDuration = std::min(limits.watchDuration, noticedWithin - timeouts.watchGrace);
    timeouts.callTimeout = std::min(kMaxCallTimeout, noticedWithin);
    return timeouts;
}

} // namespace chicoryspar
