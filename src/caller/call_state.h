#pragma once

/// @file
/// Decides, without input or output, what a caller does next with one call: send, wait, or finish.

#include "chicoryspar/caller.h"

#include <span>

namespace chicoryspar {

/// Options of one call.
struct CallInit
{
    CallRetryInit retry;
    /// Number of entry nodes to choose from, above 0.
    std::size_t entryCount = 1;
    /// Entry of the first attempt.
    std::size_t firstEntry = 0;
    /// A repeat after an unknown outcome can't run the request's effect twice.
    bool isRetrySafe = false;
    Duration timeout = std::chrono::seconds(2);
};

/// How one attempt ended.
struct AttemptEnd
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    Duration retryAfter{0};
    /// Tokens that the system reports as unused; none when it said nothing.
    std::optional<std::uint16_t> tokensLeft;
};

/// What to do next.
enum class CallStep : std::uint8_t {
    Send,
    Wait,
    Finish,
    Count,
};

/// A step with what it needs.
struct CallDecision
{
    CallStep step = CallStep::Finish;
    /// Send: index of the entry node, tokens that go with the attempt, and its time limit.
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
    TimePoint sendAt;
    /// Extra attempts that nobody has been given yet.
    std::uint16_t tokens = 0;
    /// Tokens that went with the running attempt.
    std::uint16_t lentTokens = 0;
    unsigned attempts = 0;
    bool isRunning = false;
    bool isFinished = false;
    /// An attempt ended unknown, so no later refusal proves that the call was not run.
    bool hadUnknownOutcome = false;
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::DeadlineExpired;
};

/// Tells whether the same request may fare better when sent again.
bool isRetryable(Reason reason);

/// Draws the entry node of a first attempt: one that isn't avoided any more, or any one when all are.
/// @param avoidUntil for each entry node, the time until which it is avoided because it didn't answer; not empty
std::size_t chooseEntry(std::span<const TimePoint> avoidUntil, TimePoint now, Random &random);

/// Returns the state of a call that starts at @a now.
CallState beginCall(const CallInit &init, TimePoint now);

/// Decides the next step; Send counts as begun.
CallDecision decideCall(CallState &state, TimePoint now);

/// Takes the end of the running attempt.
void endAttempt(CallState &state, const AttemptEnd &end, TimePoint now, Random &random);

/// Ends the call on the application's wish; a running attempt leaves it unknown.
void cancelCall(CallState &state);

} // namespace chicoryspar
