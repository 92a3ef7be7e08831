/// @file
/// Distinguishes sheds that a lower concurrency limit would avoid from those that are independent of the limit.

#include <algorithm>

#include "overload/limit.h"

namespace chicoryspar {
namespace {

/// Windows with a limit of at least kStartShare of the compared limit count as measured at it; those with a limit of at most kHalfShare
/// of it count as measured at half of it.
constexpr double kStartShare = 0.75;
constexpr double kHalfShare = 0.5;
/// Answered and shed calls at the lower limit before the two limits are compared.
constexpr std::uint32_t kMinCompletions = 60;
/// Share of the answers that the lower limit must keep. Half the slots give half the answers if the load isn't the cause of the sheds, and
/// as many as all slots if it is; the threshold is midway.
constexpr double kMinThroughputShare = 0.75;
/// Windows without a shed after which an episode ends.
constexpr std::uint32_t kEpisodeEndWindows = 10;

} // namespace

double ShedWatch::Counts::answersPerSecond() const
{
    const std::chrono::duration<double> seconds = length;
    return seconds.count() > 0 ? answers / seconds.count() : 0;
}

void ShedWatch::add(const LimitWindow &window, double limit)
{
    m_windowsWithoutShed = window.sheds > 0 ? 0 : m_windowsWithoutShed + 1;
    if (m_windowsWithoutShed >= kEpisodeEndWindows) {
        *this = {};
    }
    if (window.sheds > 0 && m_startLimit == 0) {
        m_startLimit = m_comparedLimit = limit;
    }
    if (m_startLimit == 0 || m_isIndependentOfLimit) {
        return;
    }
    const bool isHalf = limit <= std::max(1.0, m_comparedLimit * kHalfShare);
    if (!isHalf && limit < m_comparedLimit * kStartShare) {
        return;
    }
    auto &counts = isHalf ? m_atHalf : m_atStart;
    counts.answers += window.answers;
    counts.completions += window.sheds + window.answers;
    counts.length += window.length;
    if (isHalf && m_atHalf.completions >= kMinCompletions) {
        compareThroughput(limit);
    }
}

void ShedWatch::compareThroughput(double limit)
{
    if (m_atHalf.answersPerSecond() < m_atStart.answersPerSecond() * kMinThroughputShare) {
        m_isIndependentOfLimit = true;
        return;
    }
    // The lower limit cost no answers, so the next comparison starts from it.
    m_comparedLimit = limit;
    m_atStart = m_atHalf;
    m_atHalf = {};
}

bool ShedWatch::isIndependentOfLimit() const
{
    return m_isIndependentOfLimit;
}

double ShedWatch::startLimit() const
{
    return m_startLimit;
}

double ShedWatch::lowestLimit() const
{
    return m_comparedLimit * kHalfShare;
}

} // namespace chicoryspar
