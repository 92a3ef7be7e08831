/// @file
/// Tells sheds that fewer calls at once would avoid from those that they wouldn't.

#include <algorithm>

#include "overload/limit.h"

namespace chicoryspar {
namespace {

/// Share of the first limit down to which windows count for it, and the share at which both are compared.
constexpr double kStartShare = 0.75;
constexpr double kHalfShare = 0.5;
/// Ends of calls at the lower limit before they are compared.
constexpr std::uint32_t kMinCompletions = 60;
/// Half the places give half the answers where the load isn't the cause, and as many where it is: the middle decides.
constexpr double kMinThroughputShare = 0.75;
/// Windows without a shed that end an episode.
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
    // Lowering the limit cost no answers: go on from here.
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
