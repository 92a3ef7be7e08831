#include "caller/call_state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace chicoryspar;

namespace {

AttemptEnd drawEnd()
{
    const auto outcome = static_cast<Outcome>(*rc::gen::inRange(0, static_cast<int>(Outcome::Count)));
    const auto reason = static_cast<Reason>(*rc::gen::inRange(0, static_cast<int>(Reason::Count)));
    AttemptEnd it{.outcome = outcome, .reason = reason, .retryAfter = std::chrono::milliseconds(*rc::gen::inRange(0, 200))};
    if (*rc::gen::arbitrary<bool>()) {
        it.tokensLeft = *rc::gen::inRange<std::uint16_t>(0, 12);
    }
    return it;
}

CallInit drawInit()
{
    CallInit init{.entryCount = *rc::gen::inRange<std::size_t>(1, 5),
                  .isRetrySafe = *rc::gen::arbitrary<bool>(),
                  .timeout = std::chrono::milliseconds(*rc::gen::inRange(1, 3000))};
    init.firstEntry = *rc::gen::inRange<std::size_t>(0, init.entryCount);
    init.retry.budget = *rc::gen::inRange<std::uint16_t>(0, 12);
    init.retry.honourRetryAfter = *rc::gen::arbitrary<bool>();
    return init;
}

/// Attempts of one simulated call, and how it ended.
struct Trace
{
    std::vector<CallDecision> sends;
    std::vector<TimePoint> sentAt;
    std::vector<TimePoint> endedAt;
    std::vector<AttemptEnd> ends;
    CallDecision last;
};

Trace runCall(const CallInit &init)
{
    constexpr int kMaxSteps = 100;
    Random random(1);
    Trace trace;
    TimePoint now{};
    auto state = beginCall(init, now);
    for (int step = 0; step < kMaxSteps; ++step) {
        const auto decision = decideCall(state, now);
        if (decision.step == CallStep::Finish) {
            trace.last = decision;
            return trace;
        }
        if (decision.step == CallStep::Wait) {
            now = decision.until;
            continue;
        }
        trace.sends.push_back(decision);
        trace.sentAt.push_back(now);
        now += Duration(*rc::gen::inRange(0, 500000));
        trace.endedAt.push_back(now);
        trace.ends.push_back(drawEnd());
        endAttempt(state, trace.ends.back(), now, random);
    }
    RC_FAIL("the call did not end within kMaxSteps decisions");
    return trace;
}

} // namespace

RC_GTEST_PROP(CallState, RetriesOfTheWholeCallTreeStayWithinTheBudget, ())
{
    const auto init = drawInit();
    const auto trace = runCall(init);
    // Nodes spend at most the tokens sent with an attempt; tokens that its answer doesn't return count as spent.
    std::size_t used = trace.sends.size() - 1;
    for (std::size_t it = 0; it < trace.sends.size(); ++it) {
        used += trace.sends[it].tokens - std::min(trace.sends[it].tokens, trace.ends[it].tokensLeft.value_or(0));
    }
    RC_ASSERT(used <= init.retry.budget);
}

RC_GTEST_PROP(CallState, NotRunIsReportedOnlyWhenEveryAttemptWasNotRun, ())
{
    const auto trace = runCall(drawInit());
    if (trace.last.outcome == Outcome::NotRun) {
        for (const auto &it : trace.ends) {
            RC_ASSERT(it.outcome == Outcome::NotRun);
        }
    }
    if (!trace.ends.empty() && trace.ends.back().outcome == Outcome::Answer) {
        RC_ASSERT(trace.last.outcome == Outcome::Answer);
    }
}

RC_GTEST_PROP(CallState, OnlySafeRequestsAreRetriedAfterAnUnknownOutcome, ())
{
    const auto init = drawInit();
    const auto trace = runCall(init);
    for (std::size_t it = 0; it + 1 < trace.sends.size(); ++it) {
        RC_ASSERT(trace.ends[it].outcome != Outcome::Answer);
        RC_ASSERT(init.isRetrySafe || trace.ends[it].outcome == Outcome::NotRun);
        RC_ASSERT(isRetryable(trace.ends[it].reason));
    }
}

RC_GTEST_PROP(CallState, AttemptsKeepToBackoffAndDeadline, ())
{
    const auto init = drawInit();
    const auto trace = runCall(init);
    const auto deadline = TimePoint{} + init.timeout;
    for (std::size_t it = 0; it < trace.sends.size(); ++it) {
        RC_ASSERT(trace.sentAt[it] < deadline);
        RC_ASSERT(trace.sentAt[it] + trace.sends[it].timeout <= deadline);
        RC_ASSERT(trace.sends[it].entry == (init.firstEntry + it) % init.entryCount);
        if (it > 0) {
            const auto earliest = init.retry.honourRetryAfter ? trace.ends[it - 1].retryAfter : Duration(0);
            RC_ASSERT(trace.sentAt[it] - trace.endedAt[it - 1] >= std::max(earliest, init.retry.backoff / 2));
        }
    }
}

RC_GTEST_PROP(CallState, FirstAttemptsAvoidEntriesThatDidNotAnswer, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(1, 6);
    std::vector<TimePoint> avoidUntil;
    bool isAnyFree = false;
    const TimePoint now(Duration(5));
    for (std::size_t it = 0; it < count; ++it) {
        avoidUntil.emplace_back(Duration(*rc::gen::inRange(0, 10)));
        isAnyFree = isAnyFree || avoidUntil.back() <= now;
    }
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    const auto entry = chooseEntry(avoidUntil, now, random);
    RC_ASSERT(entry < count);
    RC_ASSERT(!isAnyFree || avoidUntil[entry] <= now);
}

TEST(CallState, CancelDuringAnAttemptIsUnknown)
{
    auto state = beginCall({}, TimePoint{});
    auto waiting = state;
    EXPECT_EQ(decideCall(state, TimePoint{}).step, CallStep::Send);
    cancelCall(state);
    cancelCall(waiting);
    EXPECT_EQ(decideCall(state, TimePoint{}).outcome, Outcome::Unknown);
    EXPECT_EQ(decideCall(waiting, TimePoint{}).outcome, Outcome::NotRun);
}
