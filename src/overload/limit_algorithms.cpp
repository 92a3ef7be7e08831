/// @file
/// Algorithms that adapt a concurrency limit.

#include "overload/limit.h"

#include <algorithm>
#include <cmath>

namespace chicoryspar {
namespace {

constexpr double kDecreaseFactor = 0.9;
constexpr double kLatencyTolerance = 1.5;
constexpr double kSmoothingWeight = 0.2;
/// Share of the limit by which a trial lowers or raises it.
constexpr double kTrialStepShare = 0.3;
/// Elasticity from which a higher limit is worth its latency: growth of throughput over growth of the limit, both in logarithms.
constexpr double kMinElasticity = 0.5;
/// Standard errors by which the elasticity must be under or over kMinElasticity to decide for the lower or the higher limit.
constexpr double kLowerStandardErrors = 2;
constexpr double kHigherStandardErrors = 0.5;
/// Answers at the current limit before a trial begins, and answers after which a trial without a clear result ends.
constexpr std::uint32_t kMinTrialAnswers = 300;
constexpr std::uint32_t kMaxTrialAnswers = 1000;
/// Windows between trials: after a trial that moved the limit; after the first that didn't, doubled by each further one up to a maximum.
constexpr std::uint32_t kMovedSpacingWindows = 2;
constexpr std::uint32_t kMinTrialSpacingWindows = 32;
constexpr std::uint32_t kMaxTrialSpacingWindows = 512;
/// Answers in one latency sample, and the weight of a lower and of a higher sample in the base latency.
constexpr std::uint32_t kSampleAnswers = 100;
constexpr double kBaseFallWeight = 0.1;
constexpr double kBaseRiseWeight = 0.001;

LimitStep shedStep(const LimitWindow &window, double limit)
{
    const auto reducedLimit = std::max(1.0, static_cast<double>(window.peakInFlight) * kDecreaseFactor);
    return {std::min(limit * kDecreaseFactor, reducedLimit), LimitReason::Shedding};
}

LimitStep stepStatic(LimitState &, const LimitWindow &, double, double highest)
{
    return {highest, LimitReason::Slots};
}

LimitStep stepAimd(LimitState &state, const LimitWindow &window, double limit, double highest)
{
    if (window.sheds > 0) {
        return shedStep(window, limit);
    }
    if (state.isQueueing) {
        return {limit * kDecreaseFactor, LimitReason::Queueing};
    }
    return growStep(limit, highest);
}

LimitStep stepGradient(LimitState &state, const LimitWindow &window, double limit, double highest)
{
    if (window.sheds > 0) {
        return shedStep(window, limit);
    }
    const std::chrono::duration<double> mean = window.meanLatency();
    const auto gradient = std::clamp(state.baseLatencySeconds * kLatencyTolerance / mean.count(), 0.5, 1.0);
    const auto target = limit * gradient + std::sqrt(limit);
    const auto next = std::min(highest, limit + (target - limit) * kSmoothingWeight);
    if (next >= highest) {
        return {highest, LimitReason::Slots};
    }
    return {next, next < limit ? LimitReason::Queueing : LimitReason::Growing};
}

/// Begins a trial of a limit one step below or above the current one.
LimitStep beginTrial(LimitState &state, double limit, double highest)
{
    const auto size = std::max(1.0, std::floor(limit * kTrialStepShare));
    const bool isLower = (state.isNextTrialLower || limit >= highest) && limit - size >= 1;
    const auto next = isLower ? limit - size : std::min(highest, limit + size);
    state.trial = {.limit = next};
    state.answersToIgnore = static_cast<std::uint32_t>(limit);
    return {next, LimitReason::Queueing};
}

/// Ends a trial and keeps one of its two limits.
LimitStep endTrial(LimitState &state, bool isTrialKept, double highest)
{
    state.trialSpacingWindows =
        isTrialKept ? 0 : std::clamp(state.trialSpacingWindows * 2, kMinTrialSpacingWindows, kMaxTrialSpacingWindows);
    state.windowsUntilTrial = isTrialKept ? kMovedSpacingWindows : state.trialSpacingWindows;
    state.answersToIgnore = static_cast<std::uint32_t>(state.trial.limit);
    // Continues in a direction that helped, else tries the opposite one.
    state.isNextTrialLower = (state.trial.limit < state.current.limit) == isTrialKept;
    state.current = isTrialKept ? state.trial : LimitStats{.limit = state.current.limit};
    state.trial = {};
    return {state.current.limit, state.current.limit < highest ? LimitReason::Queueing : LimitReason::Slots};
}

/// Compares the two limits of a trial. The higher one is kept unless less than half of its increase shows in throughput.
LimitStep evaluateTrial(LimitState &state, double highest)
{
    const auto &trial = state.trial;
    if (const auto isHigher = isHigherLimitWorthwhile(state.current, trial)) {
        return endTrial(state, *isHigher == (trial.limit > state.current.limit), highest);
    }
    if (trial.answers >= kMaxTrialAnswers) {
        return endTrial(state, false, highest);
    }
    return {trial.limit, LimitReason::Queueing};
}

LimitStep stepThroughput(LimitState &state, const LimitWindow &window, double limit, double highest)
{
    if (window.sheds > 0) {
        state.trial = {};
        state.current = {};
        state.knee.upper = {};
        return shedStep(window, limit);
    }
    if (!state.isQueueing) {
        state.trial = {};
        state.current = {};
        state.trialSpacingWindows = 0;
        state.windowsUntilTrial = kMovedSpacingWindows;
        return stepKneeSearch(state, window, limit, highest);
    }
    state.knee.upper = {};
    if (state.answersToIgnore > 0) {
        state.answersToIgnore -= std::min(state.answersToIgnore, window.answers);
        return {limit, limit < highest ? LimitReason::Queueing : LimitReason::Slots};
    }
    if (state.trial.limit > 0) {
        state.trial.add(window);
        return evaluateTrial(state, highest);
    }
    if (state.current.limit != limit) {
        state.current = {.limit = limit};
    }
    state.current.add(window);
    if (state.windowsUntilTrial > 0) {
        --state.windowsUntilTrial;
    }
    if (state.windowsUntilTrial > 0 || state.current.answers < kMinTrialAnswers) {
        return {limit, limit < highest ? LimitReason::Queueing : LimitReason::Slots};
    }
    return beginTrial(state, limit, highest);
}

constexpr std::array<LimitFunction, static_cast<std::size_t>(LimitAlgorithm::Count)> kFunctions{
    &stepStatic,
    &stepAimd,
    &stepGradient,
    &stepThroughput,
};

} // namespace

void LimitStats::add(const LimitWindow &window)
{
    const std::chrono::duration<double> total = window.totalLatency;
    answers += window.answers;
    seconds += total.count();
    squaredSeconds += window.squaredSeconds;
}

double LimitStats::meanSeconds() const
{
    return seconds / answers;
}

double LimitStats::relativeVariance() const
{
    const auto mean = meanSeconds();
    const auto variance = std::max(0.0, squaredSeconds / answers - mean * mean);
    return variance / (mean * mean) / answers;
}

std::optional<bool> isHigherLimitWorthwhile(const LimitStats &first, const LimitStats &second)
{
    const auto limitChange = std::log(second.limit / first.limit);
    const auto latencyChange = std::log(second.meanSeconds() / first.meanSeconds());
    const auto elasticity = 1 - latencyChange / limitChange;
    const auto standardError = std::sqrt(first.relativeVariance() + second.relativeVariance()) / std::abs(limitChange);
    if (elasticity + kLowerStandardErrors * standardError < kMinElasticity) {
        return false;
    }
    return elasticity - kHigherStandardErrors * standardError > kMinElasticity ? std::optional(true) : std::nullopt;
}

void observeWindow(LimitState &state, const LimitWindow &window, bool wasReached)
{
    state.sample.add(window);
    state.isSampleSaturated = state.isSampleSaturated || wasReached;
    if (state.sample.answers < kSampleAnswers) {
        return;
    }
    const auto mean = state.sample.meanSeconds();
    if (state.baseLatencySeconds == 0) {
        state.baseLatencySeconds = mean;
    }
    if (mean < state.baseLatencySeconds) {
        state.baseLatencySeconds += (mean - state.baseLatencySeconds) * kBaseFallWeight;
    } else if (!state.isSampleSaturated) {
        state.baseLatencySeconds += (mean - state.baseLatencySeconds) * kBaseRiseWeight;
    }
    state.sample = {};
    state.isSampleSaturated = false;
    state.isQueueing = mean > state.baseLatencySeconds * kLatencyTolerance;
}

LimitStep growStep(double limit, double highest)
{
    const auto next = std::min(highest, limit + std::max(1.0, limit * 0.05));
    return {next, next < highest ? LimitReason::Growing : LimitReason::Slots};
}

LimitFunction functionOf(LimitAlgorithm algorithm)
{
    return kFunctions[static_cast<std::size_t>(algorithm)];
}

} // namespace chicoryspar
