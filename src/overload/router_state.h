#pragma once

/// @file
/// Internal state of a Router and the signals that it derives for each upstream.

#include "overload/router_load.h"

namespace chicoryspar {

/// Signals that this node has gathered about one upstream from its own attempts.
struct Upstream
{
    Candidate candidate;
    std::uint32_t inFlight = 0;
    /// Moving average of answer latencies; 0 before the first answer.
    double latencyMicros = 0;
    /// Moving average of the share of failed attempts, 0 to 1.
    double failureRate = 0;
    /// Moving average of the share of repeats that the gate refused for want of tokens, 0 to 1.
    double repeatRefusalRate = 0;
    TimePoint lastRepeatAt;
    /// Attempts that ended since the last ejection.
    std::uint32_t sampleCount = 0;
    /// Admission level that came back last.
    Level level;
    TimePoint levelUpdatedAt;
    /// Last refusal that is specific to this upstream, such as a full queue.
    TimePoint lastRefusalAt;
    /// Highest rank among such refusals, each within RouterOptions::levelExpiry of the one before.
    Rank maxRefusedRank;
    TimePoint lastResultAt;
    TimePoint lastSentAt;
    TimePoint lastProbeAt;
    TimePoint ejectedUntil;
    std::uint32_t ejectionMultiplier = 0;
    TimePoint joinedAt;
    /// Calls per second that the backend server accepts; nothing for no limit.
    std::optional<double> rateLimit;
    LoadSignals load;
};

/// Subset of RouterState::upstreams, by index.
struct Pool
{
    std::array<std::uint8_t, Router::kMaxCandidates> indexes{};
    std::size_t size = 0;

    void add(std::size_t index)
    {
        indexes[size++] = static_cast<std::uint8_t>(index);
    }
};

struct RouterState
{
    RouterOptions options;
    std::array<Upstream, Router::kMaxCandidates> upstreams{};
    std::size_t count = 0;
    TimePoint startedAt;
    /// Bytes left in the token bucket for cross-region traffic; negative after a message that exceeded them.
    double crossRegionBytesLeft = 0;
    TimePoint crossRegionRefilledAt;

    Upstream *find(NodeId node);
};

/// Updates the signals of @a upstream with the result of an attempt, and ejects it if it is an outlier.
void recordResult(RouterState &state, TimePoint now, Upstream &upstream, const RouteResult &result);

bool isEjected(const Upstream &upstream, TimePoint now);

/// Returns the last known level of @a upstream; after RouterOptions::levelExpiry, the level that admits every call.
Level levelOf(const RouterState &state, const Upstream &upstream, TimePoint now);

/// Returns whether @a upstream is expected to refuse calls of @a rank: it refused such a rank recently, its level excludes the rank, or
/// this node has twice its slots in flight there.
bool isSaturated(const RouterState &state, const Upstream &upstream, TimePoint now, Rank rank);

/// Returns the share of its full weight that a new upstream has reached during slow start, 0 to 1.
double slowStartWeight(const RouterState &state, const Upstream &upstream, TimePoint now);

/// Returns the expected cost of one more call: latency times calls in flight per slot, raised by the failure rate; lower is better.
double costOf(const Upstream &upstream, TimePoint now);

/// Returns the chance that @a upstream answers a repeat: its gate has a token left and the attempt doesn't fail.
double repeatChance(const Upstream &upstream, TimePoint now);

/// Returns whether the cost of an upstream is based on its load reports. Such a cost is never compared with one of costOf().
bool hasLoadCost(const Upstream &upstream, TimePoint now);

/// Returns the use that a request with @a expectedWork would make of an upstream, for placementCost() and zoneCost().
LoadUse loadUseOf(const Upstream &upstream, Duration expectedWork);

/// Refills the token bucket for cross-region bytes up to @a now.
/// @returns whether the bucket holds at least @a bytes; nothing is taken from it
bool refillCrossRegionBudget(RouterState &state, TimePoint now, std::uint32_t bytes);

} // namespace chicoryspar
