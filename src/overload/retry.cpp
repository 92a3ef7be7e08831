/// @file
/// Retry tokens of a call tree, the retry ratio budget of a node, and backoff.

#include <chicoryspar/overload.h>

#include <algorithm>
#include <cassert>

namespace chicoryspar {
namespace {

constexpr std::uint32_t kMaxDoublings = 20;

/// Returns whether a retry would be refused for the same reason.
bool isPermanent(Reason reason)
{
    switch (reason) {
    case Reason::LevelTooLow:
    case Reason::EntryLevel:
    case Reason::DeadlineExpired:
    case Reason::DeadlineTooShort:
    case Reason::RetryBudgetSpent:
    case Reason::Cancelled:
    case Reason::CrossRegionCap:
        return true;
    default:
        return false;
    }
}

} // namespace

bool mayRetry(Outcome outcome, Reason reason, bool isIdempotent)
{
    if (outcome == Outcome::Answer || isPermanent(reason)) {
        return false;
    }
    return outcome == Outcome::NotRun || isIdempotent;
}

RetryBudget::RetryBudget(std::uint16_t tokens)
    : m_left(tokens)
{
}

std::uint16_t RetryBudget::grant(std::uint64_t attempt, std::uint16_t siblings)
{
    assert(siblings > 0);
    if (m_left == 0 || m_grantCount == kMaxGrants) {
        return 0;
    }
    const auto reserve = m_left > siblings ? 1 : 0;
    const auto tokens = static_cast<std::uint16_t>((m_left - reserve + siblings - 1) / siblings);
    m_grants[m_grantCount++] = {attempt, tokens};
    m_left = static_cast<std::uint16_t>(m_left - tokens);
    return tokens;
}

void RetryBudget::returnTokens(std::uint64_t attempt, std::uint16_t remaining)
{
    const auto last = m_grants.begin() + m_grantCount;
    const auto it = std::find_if(m_grants.begin(), last, [attempt](const Grant &grant) { return grant.attempt == attempt; });
    if (it == last) {
        return;
    }
    m_left = static_cast<std::uint16_t>(m_left + std::min(remaining, it->tokens));
    *it = m_grants[--m_grantCount];
}

void RetryBudget::forfeitTokens(std::uint64_t attempt)
{
    returnTokens(attempt, 0);
}

bool RetryBudget::takeRetry()
{
    if (m_left == 0) {
        return false;
    }
    --m_left;
    return true;
}

std::uint16_t RetryBudget::left() const
{
    return m_left;
}

RatioBudget::RatioBudget(TimePoint now, const RatioBudgetOptions &options)
    : m_options(options)
    , m_refilledAt(now)
    , m_tokens(options.burst)
{
}

void RatioBudget::configure(const RatioBudgetOptions &options)
{
    m_options = options;
    m_tokens = std::min(m_tokens, options.burst);
}

void RatioBudget::onFirstAttempt()
{
    m_tokens = std::min(m_options.burst, m_tokens + m_options.ratioPercent / 100.0);
}

bool RatioBudget::takeRetry(TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_refilledAt = now;
    m_tokens = std::min(m_options.burst, m_tokens + elapsed.count() * m_options.minRetriesPerSecond);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

Duration backoffDelay(Random &random, const BackoffOptions &options, std::uint32_t retry, Duration retryAfter)
{
    assert(retry > 0);
    const auto doublings = std::min(retry - 1, kMaxDoublings);
    const auto ceiling = std::min(options.max.count(), options.base.count() << doublings);
    const auto jitter = static_cast<std::int64_t>(drawUnit(random) * static_cast<double>(ceiling));
    return retryAfter + Duration(jitter);
}

} // namespace chicoryspar
