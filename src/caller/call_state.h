#pragma once

/// @file
/// State machine of one call, without input or output: decides whether to send an attempt, wait, or finish.

#include "chicoryspar/caller.h"

#include <span>

namespace chicoryspar {

/// Options of one call.
struct CallInit
{
    CallRetryInit retry;
    /// Number of entry nodes to choose from, above 0.
    std::size_t entryCount = 1;
    /// Index of the entry node for the first attempt; each further attempt uses the next one.
    std::size_t firstEntry = 0;
    /// Whether a retry after an unknown outcome can't cause the request's effect twice.
    bool isRetrySafe = false;
    Duration timeout = std::chrono::seconds(2);
};

/// How one attempt ended.
struct AttemptEnd
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    Duration retryAfter{0};
    /// Unused retry tokens that the answer returned; nothing when it didn't state them.
    std::optional<std::uint16_t> tokensLeft;
};

/// Steps of a call.
enum class CallStep : std::uint8_t {
    Send,
    Wait,
    Finish,
    Count,
};

/// A step with its parameters; each field belongs to the step that its comment names.
struct CallDecision
{
    CallStep step = CallStep::Finish;
    /// Send: index of the entry node, retry tokens that the attempt may spend, and its time limit.
    std::size_t entry = 0;
    std::uint16_t tokens = 0;
    Duration timeout{0};
    /// Wait: time of the next decision.
    TimePoint until;
    /// Finish: how the call ended.
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
};

/// State of one call.
struct CallState
{
    CallInit init;
    TimePoint deadline;
    /// Earliest time of the next attempt.
    TimePoint sendAt;
    /// Retry tokens that this caller still has.
    std::uint16_t tokens = 0;
    /// Retry tokens that were sent with the running attempt.
    std::uint16_t sentTokens = 0;
    unsigned attempts = 0;
    /// An attempt was sent and has not ended.
    bool isAttemptRunning = false;
    bool isFinished = false;
    /// An attempt ended with an unknown outcome, so no later refusal proves that the call was not run.
    bool hadUnknownOutcome = false;
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::DeadlineExpired;
};

/// Returns whether a retry of the same request may succeed after it ended with @a reason.
bool isRetryable(Reason reason);

/// Chooses the entry node of a first attempt at random among those not avoided at @a now, or among all when all are avoided.
/// @param avoidUntil for each entry node, the time until which it is avoided because it didn't answer; not empty
std::size_t chooseEntry(std::span<const TimePoint> avoidUntil, TimePoint now, Random &random);

/// Returns the state of a call that starts at @a now.
CallState beginCall(const CallInit &init, TimePoint now);

/// Decides the next step. A returned Send starts an attempt, which endAttempt() must end before the next decision.
CallDecision decideCall(CallState &state, TimePoint now);

/// Records the end of the running attempt and plans a retry if one is safe, useful and within the budget.
void endAttempt(CallState &state, const AttemptEnd &end, TimePoint now, Random &random);

/// Cancels the call. Its outcome is Unknown when an attempt is running or an earlier one ended Unknown, otherwise NotRun.
void cancelCall(CallState &state);

} // namespace chicoryspar
