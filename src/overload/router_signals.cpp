/// @file
/// First-hand signals about upstreams: latency, failures, levels, ejection.

#include <algorithm>
#include <cmath>
#include <limits>

#include "overload/router_state.h"

namespace chicoryspar {
namespace {

constexpr double kLatencyRise = 0.3;
constexpr double kLatencyFall = 0.1;
constexpr double kFailureWeight = 0.1;
constexpr std::uint32_t kMinSamples = 20;
constexpr double kEjectFailures = 0.5;
/// An upstream is ejected only when it fails this many times as often as the median of its service.
constexpr double kEjectRatio = 3;
constexpr Duration kEjection = std::chrono::seconds(5);
constexpr std::uint32_t kMaxEjections = 6;
/// Time without a sample after which a latency counts half.
constexpr Duration kLatencyHalving = std::chrono::seconds(1);
/// Seconds of the cross-region rate that the bucket holds.
constexpr double kCrossSeconds = 0.25;
constexpr double kMinLatencyMicros = 50;
constexpr Rank kHighestRank{std::numeric_limits<std::uint32_t>::max()};

double medianFailures(const RouterState &state)
{
    std::array<double, Router::kMaxCandidates> values{};
    for (std::size_t n = 0; n < state.count; ++n) {
        values[n] = state.upstreams[n].failures;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(state.count / 2);
    std::nth_element(values.begin(), middle, values.begin() + static_cast<std::ptrdiff_t>(state.count));
    return *middle;
}

bool mayEject(const RouterState &state, TimePoint now)
{
    std::size_t ejected = 0;
    for (std::size_t n = 0; n < state.count; ++n) {
        ejected += isEjected(state.upstreams[n], now) ? 1 : 0;
    }
    return (ejected + 1) * 100 <= state.count * state.options.ejectSharePercent;
}

void considerEjection(RouterState &state, TimePoint now, Upstream &upstream)
{
    const bool isBad = upstream.samples >= kMinSamples && upstream.failures > kEjectFailures;
    if (!isBad || isEjected(upstream, now) || !mayEject(state, now)) {
        return;
    }
    if (upstream.failures <= medianFailures(state) * kEjectRatio) {
        return;
    }
    upstream.ejections = std::min(upstream.ejections + 1, kMaxEjections);
    upstream.ejectedUntil = now + kEjection * upstream.ejections;
    upstream.failures = 0;
    upstream.samples = 0;
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

/// Highest rank that would have met the same refusal at the same upstream; nothing for a refusal that another one shares.
std::optional<Rank> refusedRank(const RouteResult &result)
{
    switch (result.reason) {
    case Reason::QueueFull:
    case Reason::QueueTimeout:
        // A gate gives up the lowest ranks that wait.
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

bool wasRefusedLately(const RouterState &state, const Upstream &upstream, TimePoint now)
{
    return upstream.refusedAt > TimePoint{} && now - upstream.refusedAt < state.options.levelExpiry;
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
        upstream.levelAt = now;
    }
    if (result.outcome == Outcome::Answer) {
        const auto sample = static_cast<double>(result.latency.count());
        const auto weight = sample > upstream.latencyMicros ? kLatencyRise : kLatencyFall;
        upstream.latencyMicros += upstream.latencyMicros > 0 ? (sample - upstream.latencyMicros) * weight : sample;
    }
    if (const auto rank = refusedRank(result)) {
        upstream.refusedRank = wasRefusedLately(state, upstream, now) ? std::max(upstream.refusedRank, *rank) : *rank;
        upstream.refusedAt = now;
    }
    upstream.heardAt = now;
    upstream.failures += ((isFailure(result) ? 1.0 : 0.0) - upstream.failures) * kFailureWeight;
    ++upstream.samples;
    considerEjection(state, now, upstream);
}

bool isEjected(const Upstream &upstream, TimePoint now)
{
    return now < upstream.ejectedUntil;
}

Level levelOf(const RouterState &state, const Upstream &upstream, TimePoint now)
{
    return now - upstream.levelAt < state.options.levelExpiry ? upstream.level : Level{};
}

bool isSaturated(const RouterState &state, const Upstream &upstream, TimePoint now, Rank rank)
{
    const bool isRefused = wasRefusedLately(state, upstream, now) && rank <= upstream.refusedRank;
    return isRefused || !levelOf(state, upstream, now).admits(rank) || upstream.inFlight >= upstream.candidate.slots * 2;
}

double startWeight(const RouterState &state, const Upstream &upstream, TimePoint now)
{
    constexpr double kFirstWeight = 0.1;
    if (upstream.joinedAt <= state.startedAt || state.options.slowStart <= Duration{0}) {
        return 1;
    }
    const auto share = std::chrono::duration<double>(now - upstream.joinedAt) / state.options.slowStart;
    return std::clamp(share, kFirstWeight, 1.0);
}

double costOf(const Upstream &upstream, TimePoint now)
{
    const auto halvings = std::max<std::int64_t>(0, (now - upstream.heardAt) / kLatencyHalving);
    const auto latency = std::ldexp(upstream.latencyMicros, -static_cast<int>(std::min<std::int64_t>(halvings, 30)));
    const auto penalty = 1 + upstream.failures * 4;
    return std::max(latency, kMinLatencyMicros) * (upstream.inFlight + 1.0) / upstream.candidate.slots * penalty;
}

bool fitsCrossRegion(RouterState &state, TimePoint now, std::uint32_t bytes)
{
    const auto rate = static_cast<double>(state.options.crossRegionBytesPerSecond);
    const std::chrono::duration<double> elapsed = now - state.crossFilledAt;
    state.crossFilledAt = now;
    state.crossBytes = std::min(rate * kCrossSeconds, state.crossBytes + elapsed.count() * rate);
    return state.crossBytes >= std::max(bytes, 1U);
}

} // namespace chicoryspar
