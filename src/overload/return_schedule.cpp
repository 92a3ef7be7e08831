/// @file
/// Delays after which refused requests should return.

#include "overload/return_schedule.h"

#include <algorithm>

#include "overload/rank_layout.h"

namespace chicoryspar {
namespace {

/// Refusals further apart belong to different overloads. Levels expire at entry nodes after the same time.
constexpr Duration kOverloadGap = std::chrono::seconds(1);
/// Shortest expected length of an overload. With 200 ms, more requests than before were refused again after a burst of 500 ms.
constexpr Duration kMinDelay = std::chrono::milliseconds(500);
/// Share of the longest delay over which the returns that don't fit are spread.
constexpr double kJitterShare = 0.25;
/// Percentage of the remaining time: a third, less the time that the refusal takes to the client.
constexpr int kMaxDelayPercent = 32;
constexpr int kPercent = 100;
constexpr double kMicrosPerSecond = 1e6;

/// Maps the hash of a rank to [0, 1), independent of the order of ranks.
double jitterOf(Rank rank)
{
    constexpr std::uint32_t kMultiplier = 0x9E3779B1;
    return static_cast<double>((rank.value * kMultiplier) >> (32 - kHashBits)) / kHashSpan;
}

} // namespace

Duration maxReturnDelay(Duration remaining)
{
    return std::max(Duration{0}, remaining * kMaxDelayPercent / kPercent);
}

void ReturnSchedule::onRefusal(TimePoint now)
{
    if (m_refusedAt == TimePoint{} || now - m_refusedAt >= kOverloadGap) {
        m_startedAt = now;
    }
    m_refusedAt = now;
}

Duration ReturnSchedule::overloadTime(TimePoint now) const
{
    const bool isCurrent = m_refusedAt != TimePoint{} && now - m_refusedAt < kOverloadGap;
    return isCurrent ? Duration(now - m_startedAt) : Duration{0};
}

Duration ReturnSchedule::returnDelay(TimePoint now, const RefusedRequest &request) const
{
    const auto honoured = maxReturnDelay(request.remaining);
    const auto longest = request.timely >= kMinDelay ? std::min(honoured, request.timely) : honoured;
    const auto lasted = overloadTime(now);
    // Only those refused within the longest delay still wait to return.
    const std::chrono::duration<double> refusedFor = std::min(lasted, longest);
    const auto ahead = request.aheadPerSecond * refusedFor.count();
    const auto delay = static_cast<double>((std::max(kMinDelay, lasted) + request.backlog).count())
        + (ahead > 0 ? ahead / std::max(request.roomPerSecond, 1e-3) * kMicrosPerSecond : 0);
    if (delay < static_cast<double>(longest.count())) {
        return Duration(static_cast<std::int64_t>(delay));
    }
    return Duration(static_cast<std::int64_t>(static_cast<double>(longest.count()) * (1 - kJitterShare * jitterOf(request.rank))));
}

} // namespace chicoryspar
