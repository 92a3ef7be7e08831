#include "caller/call_state.h"

#include <algorithm>
#include <cassert>

namespace chicoryspar {

namespace {

/// Number of doublings after which the backoff no longer grows.
constexpr unsigned kMaxDoublings = 16;

/// Returns a wait between half and one and a half times the mean for retry number @a retry, counted from 0.
Duration drawBackoff(const CallRetryInit &init, unsigned retry, Random &random)
{
    const auto doublings = std::min(retry, kMaxDoublings);
    const auto mean = std::min<std::int64_t>(init.maxBackoff.count(), init.backoff.count() << doublings);
    return Duration(static_cast<std::int64_t>(static_cast<double>(mean) * (0.5 + drawUnit(random))));
}

void finishCall(CallState &state, Outcome outcome, Reason reason)
{
    state.isFinished = true;
    state.outcome = outcome == Outcome::NotRun && state.hadUnknownOutcome ? Outcome::Unknown : outcome;
    state.reason = reason;
}

CallDecision makeFinishDecision(const CallState &state)
{
    return {.step = CallStep::Finish, .outcome = state.outcome, .reason = state.reason};
}

CallDecision makeSendDecision(CallState &state, TimePoint now)
{
    auto timeout = state.deadline - now;
    if (state.init.retry.attemptTimeout.count() > 0) {
        timeout = std::min(timeout, state.init.retry.attemptTimeout);
    }
    state.sentTokens = static_cast<std::uint16_t>(state.tokens / 2);
    state.tokens = static_cast<std::uint16_t>(state.tokens - state.sentTokens);
    state.isAttemptRunning = true;
    const auto entry = (state.init.firstEntry + state.attempts) % state.init.entryCount;
    ++state.attempts;
    return {.step = CallStep::Send, .entry = entry, .tokens = state.sentTokens, .timeout = timeout};
}

} // namespace

bool isRetryable(Reason reason)
{
    switch (reason) {
    case Reason::DeadlineExpired:
    case Reason::DeadlineTooShort:
    case Reason::RetryBudgetSpent:
    case Reason::Cancelled:
    case Reason::UnknownService:
    case Reason::KeyMissing:
    case Reason::KeyMalformed:
    case Reason::KeyExpired:
    case Reason::KeyFromFuture:
    case Reason::KeyMismatch:
    case Reason::KeyAnswerEvicted:
    case Reason::BodyTooLarge:
    case Reason::HeaderTooLarge:
    case Reason::MalformedRequest:
    case Reason::CustomerUnknown:
        return false;
    default:
        return true;
    }
}

std::size_t chooseEntry(std::span<const TimePoint> avoidUntil, TimePoint now, Random &random)
{
    assert(!avoidUntil.empty());
    const auto first = static_cast<std::size_t>(drawBelow(random, avoidUntil.size()));
    for (std::size_t it = 0; it < avoidUntil.size(); ++it) {
        const auto entry = (first + it) % avoidUntil.size();
        if (avoidUntil[entry] <= now) {
            return entry;
        }
    }
    return first;
}

CallState beginCall(const CallInit &init, TimePoint now)
{
    assert(init.entryCount > 0);
    CallState state;
    state.init = init;
    state.deadline = now + init.timeout;
    state.sendAt = now;
    state.tokens = init.retry.budget;
    return state;
}

CallDecision decideCall(CallState &state, TimePoint now)
{
    assert(!state.isAttemptRunning);
    if (state.isFinished) {
        return makeFinishDecision(state);
    }
    if (now >= state.deadline || state.sendAt >= state.deadline) {
        finishCall(state, Outcome::NotRun, state.reason);
        return makeFinishDecision(state);
    }
    if (now < state.sendAt) {
        return {.step = CallStep::Wait, .until = state.sendAt};
    }
    if (state.attempts > 0) {
        assert(state.tokens > 0);
        --state.tokens;
    }
    return makeSendDecision(state, now);
}

void endAttempt(CallState &state, const AttemptEnd &end, TimePoint now, Random &random)
{
    assert(state.isAttemptRunning);
    state.isAttemptRunning = false;
    state.tokens = static_cast<std::uint16_t>(state.tokens + std::min(state.sentTokens, end.tokensLeft.value_or(0)));
    state.sentTokens = 0;
    state.reason = end.reason;
    state.hadUnknownOutcome = state.hadUnknownOutcome || end.outcome == Outcome::Unknown;
    const bool isSafe = end.outcome == Outcome::NotRun || state.init.isRetrySafe;
    if (end.outcome == Outcome::Answer || !isSafe || !isRetryable(end.reason) || state.tokens == 0) {
        finishCall(state, end.outcome, end.reason);
        return;
    }
    auto wait = drawBackoff(state.init.retry, state.attempts - 1, random);
    if (state.init.retry.honourRetryAfter) {
        wait = std::max(wait, end.retryAfter);
    }
    state.sendAt = now + wait;
}

void cancelCall(CallState &state)
{
    if (state.isFinished) {
        return;
    }
    state.hadUnknownOutcome = state.hadUnknownOutcome || state.isAttemptRunning;
    state.isAttemptRunning = false;
    finishCall(state, Outcome::NotRun, Reason::Cancelled);
}

} // namespace chicoryspar
