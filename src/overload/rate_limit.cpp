/// @file
/// Token bucket of requests per second.

#include "overload/rate_limit.h"

#include <algorithm>

namespace chicoryspar {
namespace {

/// Lowest rate in force, in requests per second.
constexpr double kMinRate = 0.25;
/// Tokens that accumulate while no requests start, as time at the full rate.
constexpr double kBurstSeconds = 0.25;

} // namespace

void RateLimit::setRate(TimePoint now, std::optional<double> rate)
{
    m_tokens = m_rate ? tokensAt(now) : 1;
    m_refilledAt = now;
    m_rate = rate ? std::optional(std::max(*rate, kMinRate)) : std::nullopt;
}

std::optional<double> RateLimit::rate() const
{
    return m_rate;
}

double RateLimit::tokensAt(TimePoint now) const
{
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    return std::min(std::max(1.0, *m_rate * kBurstSeconds), m_tokens + elapsed.count() * *m_rate);
}

bool RateLimit::hasToken(TimePoint now) const
{
    return !m_rate || tokensAt(now) >= 1;
}

void RateLimit::takeToken(TimePoint now)
{
    if (m_rate) {
        m_tokens = tokensAt(now) - 1;
        m_refilledAt = now;
    }
}

} // namespace chicoryspar
