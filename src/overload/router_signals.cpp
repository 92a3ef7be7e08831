/// @file
/// Signals about upstreams from this node's own attempts: latency, failure rate, levels and outlier ejection.

#include <algorithm>
#include <cmath>
#include <limits>

#include "overload/router_state.h"

namespace chicoryspar {
namespace {

constexpr double kLatencyRiseWeight = 0.3;
constexpr double kLatencyFallWeight = 0.1;
constexpr double kFailureWeight = 0.1;
/// Weight of one repeat in the rate of refused ones: a sender makes a few repeats per second at one upstream.
constexpr double kRepeatWeight = 0.2;
constexpr Duration kRepeatHalfLife = std::chrono::milliseconds(500);
constexpr std::uint32_t kMinEjectionSamples = 20;
constexpr double kMinEjectionFailureRate = 0.5;
/// An upstream is ejected only when its failure rate exceeds the median of its service by this factor.
constexpr double kMinEjectionRatio = 3;
constexpr Duration kBaseEjectionTime = std::chrono::seconds(5);
constexpr std::uint32_t kMaxEjectionMultiplier = 6;
/// Time without a result after which a recorded latency counts half.
constexpr Duration kLatencyHalfLife = std::chrono::seconds(1);
/// Capacity of the token bucket for cross-region bytes, in seconds at the configured rate.
constexpr double kCrossRegionBurstSeconds = 0.25;
constexpr double kMinLatencyMicros = 50;
constexpr Rank kHighestRank{std::numeric_limits<std::uint32_t>::max()};

double medianFailureRate(const RouterState &state)
{
    std::array<double, Router::kMaxCandidates> values{};
    for (std::size_t n = 0; n < state.count; ++n) {
        values[n] = state.upstreams[n].failureRate;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(state.count / 2);
    std::nth_element(values.begin(), middle, values.begin() + static_cast<std::ptrdiff_t>(state.count));
    return *middle;
}

/// Returns whether one more ejection stays within RouterOptions::ejectSharePercent.
bool mayEject(const RouterState &state, TimePoint now)
{
    std::size_t ejected = 0;
    for (std::size_t n = 0; n < state.count; ++n) {
        ejected += isEjected(state.upstreams[n], now) ? 1 : 0;
    }
    return (ejected + 1) * 100 <= state.count * state.options.ejectSharePercent;
}

/// Ejects an upstream whose failure rate is high both in absolute terms and against the median of its service. Each further ejection lasts
/// longer, up to kMaxEjectionMultiplier times the base.
void ejectIfOutlier(RouterState &state, TimePoint now, Upstream &upstream)
{
    const bool isFailing = upstream.sampleCount >= kMinEjectionSamples && upstream.failureRate > kMinEjectionFailureRate;
    if (!isFailing || isEjected(upstream, now) || !mayEject(state, now)) {
        return;
    }
    if (upstream.failureRate <= medianFailureRate(state) * kMinEjectionRatio) {
        return;
    }
    upstream.ejectionMultiplier = std::min(upstream.ejectionMultiplier + 1, kMaxEjectionMultiplier);
    upstream.ejectedUntil = now + kBaseEjectionTime * upstream.ejectionMultiplier;
    upstream.failureRate = 0;
    upstream.sampleCount = 0;
}

bool isFailure(const RouteResult &result)
{
    switch (result.reason) {
    case Reason::ConnectFailed:
    case Reason::ConnectionLost:
    case Reason::ConnectionSilent:
    case Reason::BackendFailed:
    case Reason::BackendSilent:
        return true;
    default:
        return result.outcome == Outcome::Unknown && result.reason != Reason::Cancelled;
    }
}

/// Returns the highest rank that the upstream would have refused for the same reason; nothing if the refusal isn't specific to it.
std::optional<Rank> refusedRankOf(const RouteResult &result)
{
    switch (result.reason) {
    case Reason::QueueFull:
    case Reason::QueueTimeout:
        // A gate evicts the lowest ranks from its queue first, so a higher rank may still be admitted.
        return result.rank;
    case Reason::LimitReached:
    case Reason::ShedByBackend:
    case Reason::Draining:
    case Reason::Stopping:
        return kHighestRank;
    default:
        return std::nullopt;
    }
}

bool wasRefusedRecently(const RouterState &state, const Upstream &upstream, TimePoint now)
{
    return upstream.lastRefusalAt > TimePoint{} && now - upstream.lastRefusalAt < state.options.levelExpiry;
}

/// Returns the slots that calls can occupy: with a rate limit, those of the calls that start during one latency.
double usableSlots(const Upstream &upstream)
{
    const double slots = upstream.candidate.slots;
    if (!upstream.rateLimit || upstream.latencyMicros <= 0) {
        return slots;
    }
    constexpr double kMicrosPerSecond = 1e6;
    return std::clamp(*upstream.rateLimit * upstream.latencyMicros / kMicrosPerSecond, 1.0, slots);
}

/// Returns the rate of refused repeats, halved for each kRepeatHalfLife without a repeat, so that the upstream is tried again.
double repeatRefusalRate(const Upstream &upstream, TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - upstream.lastRepeatAt;
    return upstream.repeatRefusalRate * std::exp2(-elapsed / kRepeatHalfLife);
}

} // namespace

Upstream *RouterState::find(NodeId node)
{
    const auto last = upstreams.begin() + static_cast<std::ptrdiff_t>(count);
    const auto it = std::find_if(upstreams.begin(), last, [node](const Upstream &upstream) { return upstream.candidate.node == node; });
    return it == last ? nullptr : &*it;
}

void recordResult(RouterState &state, TimePoint now, Upstream &upstream, const RouteResult &result)
{
    if (result.level) {
        upstream.level = *result.level;
        upstream.levelUpdatedAt = now;
        upstream.rateLimit = result.rateLimit;
    }
    if (result.outcome == Outcome::Answer) {
        const auto sample = static_cast<double>(result.latency.count());
        const auto weight = sample > upstream.latencyMicros ? kLatencyRiseWeight : kLatencyFallWeight;
        upstream.latencyMicros += upstream.latencyMicros > 0 ? (sample - upstream.latencyMicros) * weight : sample;
    }
    if (const auto rank = refusedRankOf(result)) {
        upstream.maxRefusedRank = wasRefusedRecently(state, upstream, now) ? std::max(upstream.maxRefusedRank, *rank) : *rank;
        upstream.lastRefusalAt = now;
    }
    upstream.lastResultAt = now;
    upstream.failureRate += ((isFailure(result) ? 1.0 : 0.0) - upstream.failureRate) * kFailureWeight;
    if (result.isRepeat) {
        const auto rate = repeatRefusalRate(upstream, now);
        upstream.repeatRefusalRate = rate + ((result.reason == Reason::RetryBudgetSpent ? 1.0 : 0.0) - rate) * kRepeatWeight;
        upstream.lastRepeatAt = now;
    }
    ++upstream.sampleCount;
    recordLoadResult(upstream.load, now, result);
    ejectIfOutlier(state, now, upstream);
}

bool isEjected(const Upstream &upstream, TimePoint now)
{
    return now < upstream.ejectedUntil;
}

Level levelOf(const RouterState &state, const Upstream &upstream, TimePoint now)
{
    return now - upstream.levelUpdatedAt < state.options.levelExpiry ? upstream.level : Level{};
}

bool isSaturated(const RouterState &state, const Upstream &upstream, TimePoint now, Rank rank)
{
    const bool isRefused = wasRefusedRecently(state, upstream, now) && rank <= upstream.maxRefusedRank;
    return isRefused || !levelOf(state, upstream, now).admits(rank) || upstream.inFlight >= usableSlots(upstream) * 2;
}

double slowStartWeight(const RouterState &state, const Upstream &upstream, TimePoint now)
{
    constexpr double kInitialWeight = 0.1;
    if (upstream.joinedAt <= state.startedAt || state.options.slowStart <= Duration{0}) {
        return 1;
    }
    const auto share = std::chrono::duration<double>(now - upstream.joinedAt) / state.options.slowStart;
    return std::clamp(share, kInitialWeight, 1.0);
}

double costOf(const Upstream &upstream, TimePoint now)
{
    const auto halvings = std::max<std::int64_t>(0, (now - upstream.lastResultAt) / kLatencyHalfLife);
    const auto latency = std::ldexp(upstream.latencyMicros, -static_cast<int>(std::min<std::int64_t>(halvings, 30)));
    const auto failurePenalty = 1 + upstream.failureRate * 4;
    return std::max(latency, kMinLatencyMicros) * (upstream.inFlight + 1.0) / usableSlots(upstream) * failurePenalty;
}

double repeatChance(const Upstream &upstream, TimePoint now)
{
    return (1 - upstream.failureRate) * (1 - repeatRefusalRate(upstream, now));
}

bool hasLoadCost(const Upstream &upstream, TimePoint now)
{
    return reportsLoad(upstream.load, now);
}

LoadUse loadUseOf(const Upstream &upstream, Duration expectedWork)
{
    return {.slots = upstream.candidate.slots, .inFlight = upstream.inFlight, .expectedWork = expectedWork};
}

bool refillCrossRegionBudget(RouterState &state, TimePoint now, std::uint32_t bytes)
{
    const auto rate = static_cast<double>(state.options.crossRegionBytesPerSecond);
    const std::chrono::duration<double> elapsed = now - state.crossRegionRefilledAt;
    state.crossRegionRefilledAt = now;
    state.crossRegionBytesLeft = std::min(rate * kCrossRegionBurstSeconds, state.crossRegionBytesLeft + elapsed.count() * rate);
    return state.crossRegionBytesLeft >= std::max(bytes, 1U);
}

} // namespace chicoryspar
