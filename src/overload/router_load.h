#pragma once

/// @file
/// Expected completion time of a request at an upstream that reports its load.

#include <chicoryspar/overload.h>

namespace chicoryspar {

/// What one upstream reports about its load, and how its answers compare with that. Kept small: a router holds one for each upstream.
struct LoadSignals
{
    /// Pace as a factor, 1 is usual.
    AgedFigure pace{.mean = 1};
    /// Outstanding work per slot in microseconds.
    AgedFigure outstanding;
    /// When the last call ended, with or without a report.
    TimePoint lastResultAt;
    /// Since when calls in flight have waited without any result; valid while there are some.
    TimePoint awaitingSince;
    /// Expected work in microseconds that this node has sent since the last report and that hasn't come back.
    float sentSinceMicros = 0;
    /// Service time divided by pace and expected work, and the same without the pace: decayed means.
    float pacedRatio = 1;
    float plainRatio = 1;
    /// Mean errors of both, as the logarithm of the factor between prediction and measured service time.
    float pacedError = 0;
    float plainError = 0;
    /// Short-term mean of measured service time divided by its prediction.
    float recentRatio = 1;
    /// Decayed share of calls that were lost or shed.
    float lossRate = 0;
    /// Lowest latency beyond the service time lately, in microseconds: the network and the nodes.
    float transferMicros = 0;
    std::uint32_t samples = 0;
};

/// Returns whether the upstream has reported its load lately.
bool reportsLoad(const LoadSignals &load, TimePoint now);

void recordSent(LoadSignals &load, TimePoint now, std::uint32_t inFlight, Duration expectedWork);
void recordLoadResult(LoadSignals &load, TimePoint now, const RouteResult &result);

/// Returns whether the stated pace predicts service times no worse than the long-run ratio alone.
bool isPaceTrusted(const LoadSignals &load);

/// Returns the factor by which a request takes longer at this upstream now than its expected work.
double serviceFactor(const LoadSignals &load, TimePoint now);

/// Returns the outstanding work per slot in microseconds, with what this node has sent since the report.
double outstandingMicros(const LoadSignals &load, TimePoint now, std::uint32_t slots);

/// Use that a request would make of an upstream, and what this node has in flight there.
struct LoadUse
{
    std::uint32_t slots = 1;
    std::uint32_t inFlight = 0;
    Duration expectedWork{0};
};

/// Returns the cost by which upstreams of one pool are compared: expected completion in microseconds, in which outstanding work counts more
/// than the service time of the request so that fast upstreams don't fill up, raised by the expected cost of a loss and by the calls of
/// this node there.
double placementCost(const LoadSignals &load, TimePoint now, const LoadUse &use);

/// Returns the cost whose mean decides whether calls leave the own zone: the calls of this node raise it less, so that fewer calls leave.
double zoneCost(const LoadSignals &load, TimePoint now, const LoadUse &use);

} // namespace chicoryspar
