#pragma once

/// @file
/// Capacity of a customer's token bucket, used by its owner and by nodes without one.

#include <algorithm>

namespace chicoryspar {

/// Tokens beyond the burst. With random arrivals a bucket of a few tokens runs empty also below the limit; the bound on executed requests
/// allows 20 more, of which the rest covers requests admitted before the owner knows of them.
constexpr double kGraceTokens = 14;

/// Requests that nodes without an owner may admit all together on top of the rate: less than the bound allows beyond the grace.
constexpr double kDetachedTokens = 3;
constexpr double kDetachedFraction = 0.05;
/// Tokens of a bucket whose owner has just started: half of what the bound allows beyond rate and burst, less the grace of the bucket
/// that the owner had before, which may have been spent in the same window.
constexpr double kStartTokens = 3;
constexpr double kStartFraction = 0.05;
/// Window of the bound, in seconds.
constexpr double kBoundSeconds = 5;

inline double bucketCapacity(double burst)
{
    return burst + kGraceTokens;
}

inline double startTokens(double requestsPerSecond, double burst)
{
    return kStartFraction * (requestsPerSecond * kBoundSeconds + burst) + kStartTokens;
}

inline double detachedTokens(double requestsPerSecond, double burst)
{
    return kDetachedFraction * (requestsPerSecond * kBoundSeconds + burst) + kDetachedTokens;
}

} // namespace chicoryspar
