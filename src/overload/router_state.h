#pragma once

/// @file
/// State of a router.

#include <chicoryspar/overload.h>

namespace chicoryspar {

/// What this node knows first-hand about one upstream.
struct Upstream
{
    Candidate candidate;
    std::uint32_t inFlight = 0;
    double latencyMicros = 0;
    /// Moving average of failed attempts, 0 to 1.
    double failureRate = 0;
    /// Attempts that ended since the last ejection.
    std::uint32_t sampleCount = 0;
    /// Admission level that came back last.
    Level level;
    TimePoint levelUpdatedAt;
    /// Last refusal that another upstream may not share, such as a full queue.
    TimePoint lastRefusalAt;
    /// Highest rank that was refused so within the expiry of a level.
    Rank maxRefusedRank;
    TimePoint lastResultAt;
    TimePoint lastSentAt;
    TimePoint lastProbeAt;
    TimePoint ejectedUntil;
    std::uint32_t ejectionMultiplier = 0;
    TimePoint joinedAt;
};

/// Upstreams that a choice may use, by index.
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
    /// Token bucket of bytes to other regions.
    double crossRegionBytesLeft = 0;
    TimePoint crossRegionRefilledAt;

    Upstream *find(NodeId node);
};

/// Records how an attempt ended in the signals of its upstream.
void recordResult(RouterState &state, TimePoint now, Upstream &upstream, const RouteResult &result);

bool isEjected(const Upstream &upstream, TimePoint now);

/// Level in force at an upstream; the lowest once it is too old.
Level levelOf(const RouterState &state, const Upstream &upstream, TimePoint now);

/// Refuses calls of that rank, as far as this node has seen.
bool isSaturated(const RouterState &state, const Upstream &upstream, TimePoint now, Rank rank);

/// Share of its weight that a new upstream has reached, 0 to 1.
double slowStartWeight(const RouterState &state, const Upstream &upstream, TimePoint now);

/// Expected time until an answer; lower is better.
double costOf(const Upstream &upstream, TimePoint now);

/// Fills the bucket of cross-region bytes and tells whether @a bytes fit.
bool refillCrossRegionBudget(RouterState &state, TimePoint now, std::uint32_t bytes);

} // namespace chicoryspar
