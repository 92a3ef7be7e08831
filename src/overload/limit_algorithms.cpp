/// @file
/// Algorithms that adapt a concurrency limit.

#include "overload/limit.h"

#include <algorithm>
#include <cmath>

namespace chicoryspar {
namespace {

constexpr double kDecrease = 0.9;
constexpr double kLatencyTolerance = 1.5;
constexpr double kSmoothing = 0.2;
/// Share of the limit that a trial takes away or adds.
constexpr double kTrialStep = 0.3;
/// Growth of throughput over growth of the limit, in logarithms, from which a higher limit is worth its latency.
constexpr double kMinElasticity = 0.5;
/// Standard errors by which a trial must be clear in favour of the lower or the higher limit.
constexpr double kLowerConfidence = 2;
constexpr double kHigherConfidence = 0.5;
constexpr std::uint32_t kMinArmAnswers = 300;
constexpr std::uint32_t kMaxTrialAnswers = 1000;
/// Windows between trials: after one that moved the limit, and after the first that didn't.
constexpr std::uint32_t kMovedSpacing = 2;
constexpr std::uint32_t kMinTrialSpacing = 32;
constexpr std::uint32_t kMaxTrialSpacing = 512;
/// Answers in one sample of the latency, and how far the base follows a lower and a higher sample.
constexpr std::uint32_t kSampleAnswers = 100;
constexpr double kBaseFall = 0.1;
constexpr double kBaseRise = 0.001;

LimitStep shedStep(const LimitWindow &window, double limit)
{
    const auto running = std::max(1.0, static_cast<double>(window.peakInFlight) * kDecrease);
    return {std::min(limit * kDecrease, running), LimitReason::Shedding};
}

LimitStep stepStatic(LimitMemory &, const LimitWindow &, double, double highest)
{
    return {highest, LimitReason::Slots};
}

LimitStep stepAimd(LimitMemory &memory, const LimitWindow &window, double limit, double highest)
{
    if (window.sheds > 0) {
        return shedStep(window, limit);
    }
    if (memory.isQueueing) {
        return {limit * kDecrease, LimitReason::Queueing};
    }
    return growStep(limit, highest);
}

LimitStep stepGradient(LimitMemory &memory, const LimitWindow &window, double limit, double highest)
{
    if (window.sheds > 0) {
        return shedStep(window, limit);
    }
    const std::chrono::duration<double> mean = window.meanLatency();
    const auto gradient = std::clamp(memory.baseSeconds * kLatencyTolerance / mean.count(), 0.5, 1.0);
    const auto target = limit * gradient + std::sqrt(limit);
    const auto next = std::min(highest, limit + (target - limit) * kSmoothing);
    if (next >= highest) {
        return {highest, LimitReason::Slots};
    }
    return {next, next < limit ? LimitReason::Queueing : LimitReason::Growing};
}

/// Begins a trial of a limit one step below or above the present one.
LimitStep beginTrial(LimitMemory &memory, double limit, double highest)
{
    const auto size = std::max(1.0, std::floor(limit * kTrialStep));
    const bool isLower = (memory.isNextTrialLower || limit >= highest) && limit - size >= 1;
    const auto next = isLower ? limit - size : std::min(highest, limit + size);
    memory.trial = {.limit = next};
    memory.ignoredAnswers = static_cast<std::uint32_t>(limit);
    return {next, LimitReason::Queueing};
}

/// Ends a trial in favour of one of its two limits.
LimitStep endTrial(LimitMemory &memory, bool isTrialKept, double highest)
{
    memory.trialSpacing = isTrialKept ? 0 : std::clamp(memory.trialSpacing * 2, kMinTrialSpacing, kMaxTrialSpacing);
    memory.trialWait = isTrialKept ? kMovedSpacing : memory.trialSpacing;
    memory.ignoredAnswers = static_cast<std::uint32_t>(memory.trial.limit);
    // A direction that helped is tried again.
    memory.isNextTrialLower = (memory.trial.limit < memory.present.limit) == isTrialKept;
    memory.present = isTrialKept ? memory.trial : LimitArm{.limit = memory.present.limit};
    memory.trial = {};
    return {memory.present.limit, memory.present.limit < highest ? LimitReason::Queueing : LimitReason::Slots};
}

/// Compares the two limits of a trial: the higher one is kept unless less than half of its surplus shows in throughput.
LimitStep judgeTrial(LimitMemory &memory, double highest)
{
    const auto &trial = memory.trial;
    if (const auto isHigher = isHigherWorthIt(memory.present, trial)) {
        return endTrial(memory, *isHigher == (trial.limit > memory.present.limit), highest);
    }
    if (trial.answers >= kMaxTrialAnswers) {
        return endTrial(memory, false, highest);
    }
    return {trial.limit, LimitReason::Queueing};
}

LimitStep stepThroughput(LimitMemory &memory, const LimitWindow &window, double limit, double highest)
{
    if (window.sheds > 0) {
        memory.trial = {};
        memory.present = {};
        memory.knee.upper = {};
        return shedStep(window, limit);
    }
    if (!memory.isQueueing) {
        memory.trial = {};
        memory.present = {};
        memory.trialSpacing = 0;
        memory.trialWait = kMovedSpacing;
        return stepKnee(memory, window, limit, highest);
    }
    memory.knee.upper = {};
    if (memory.ignoredAnswers > 0) {
        memory.ignoredAnswers -= std::min(memory.ignoredAnswers, window.answers);
        return {limit, limit < highest ? LimitReason::Queueing : LimitReason::Slots};
    }
    if (memory.trial.limit > 0) {
        memory.trial.add(window);
        return judgeTrial(memory, highest);
    }
    if (memory.present.limit != limit) {
        memory.present = {.limit = limit};
    }
    memory.present.add(window);
    if (memory.trialWait > 0) {
        --memory.trialWait;
    }
    if (memory.trialWait > 0 || memory.present.answers < kMinArmAnswers) {
        return {limit, limit < highest ? LimitReason::Queueing : LimitReason::Slots};
    }
    return beginTrial(memory, limit, highest);
}

constexpr std::array<LimitFunction, static_cast<std::size_t>(LimitAlgorithm::Count)> kFunctions{
    &stepStatic,
    &stepAimd,
    &stepGradient,
    &stepThroughput,
};

} // namespace

void LimitArm::add(const LimitWindow &window)
{
    const std::chrono::duration<double> total = window.totalLatency;
    answers += window.answers;
    seconds += total.count();
    squaredSeconds += window.squaredSeconds;
}

double LimitArm::meanSeconds() const
{
    return seconds / answers;
}

double LimitArm::relativeVariance() const
{
    const auto mean = meanSeconds();
    const auto variance = std::max(0.0, squaredSeconds / answers - mean * mean);
    return variance / (mean * mean) / answers;
}

std::optional<bool> isHigherWorthIt(const LimitArm &first, const LimitArm &second)
{
    const auto limitChange = std::log(second.limit / first.limit);
    const auto latencyChange = std::log(second.meanSeconds() / first.meanSeconds());
    const auto elasticity = 1 - latencyChange / limitChange;
    const auto error = std::sqrt(first.relativeVariance() + second.relativeVariance()) / std::abs(limitChange);
    if (elasticity + kLowerConfidence * error < kMinElasticity) {
        return false;
    }
    return elasticity - kHigherConfidence * error > kMinElasticity ? std::optional(true) : std::nullopt;
}

void observe(LimitMemory &memory, const LimitWindow &window, bool wasReached)
{
    memory.sample.add(window);
    memory.isSampleSaturated = memory.isSampleSaturated || wasReached;
    if (memory.sample.answers < kSampleAnswers) {
        return;
    }
    const auto mean = memory.sample.meanSeconds();
    if (memory.baseSeconds == 0) {
        memory.baseSeconds = mean;
    }
    if (mean < memory.baseSeconds) {
        memory.baseSeconds += (mean - memory.baseSeconds) * kBaseFall;
    } else if (!memory.isSampleSaturated) {
        memory.baseSeconds += (mean - memory.baseSeconds) * kBaseRise;
    }
    memory.sample = {};
    memory.isSampleSaturated = false;
    memory.isQueueing = mean > memory.baseSeconds * kLatencyTolerance;
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
