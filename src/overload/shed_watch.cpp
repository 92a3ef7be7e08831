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
constexpr std::uint32_t kMinEnds = 60;
/// Half the places give half the answers where the load isn't the cause, and as many where it is: the middle decides.
constexpr double kKeepsAnswers = 0.75;
/// Windows without a shed that end an episode.
constexpr std::uint32_t kQuietWindows = 10;

} // namespace

double ShedWatch::Counts::answersPerSecond() const
{
    const std::chrono::duration<double> seconds = length;
    return seconds.count() > 0 ? answers / seconds.count() : 0;
}

void ShedWatch::add(const LimitWindow &window, double limit)
{
    m_quietWindows = window.sheds > 0 ? 0 : m_quietWindows + 1;
    if (m_quietWindows >= kQuietWindows) {
        *this = {};
    }
    if (window.sheds > 0 && m_startLimit == 0) {
        m_startLimit = m_comparedLimit = limit;
    }
    if (m_startLimit == 0 || m_isUnrelated) {
        return;
    }
    const bool isHalf = limit <= std::max(1.0, m_comparedLimit * kHalfShare);
    if (!isHalf && limit < m_comparedLimit * kStartShare) {
        return;
    }
    auto &counts = isHalf ? m_atHalf : m_atStart;
    counts.answers += window.answers;
    counts.ends += window.sheds + window.answers;
    counts.length += window.length;
    if (isHalf && m_atHalf.ends >= kMinEnds) {
        judge(limit);
    }
}

void ShedWatch::judge(double limit)
{
    if (m_atHalf.answersPerSecond() < m_atStart.answersPerSecond() * kKeepsAnswers) {
        m_isUnrelated = true;
        return;
    }
    // Lowering the limit cost no answers: go on from here.
    m_comparedLimit = limit;
    m_atStart = m_atHalf;
    m_atHalf = {};
}

bool ShedWatch::isUnrelated() const
{
    return m_isUnrelated;
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
