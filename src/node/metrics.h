#pragma once

/// @file
/// Request counters and latency statistics of one node.

#include <chicoryspar/core.h>

#include <map>
#include <memory>

namespace chicoryspar {

/// Latencies of one request class.
struct LatencySummary
{
    std::uint64_t count = 0;
    double meanMs = 0;
    /// Equals the mean while there are too few answers to estimate quantiles.
    double medianMs = 0;
    /// Equals the maximum while there are too few answers to estimate quantiles.
    double p99Ms = 0;
};

/// Statistics since the start of the process.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /// Counts a request of a caller or of the local backend server that has ended. The latency is recorded only for Outcome::Answer.
    void countOutcome(RequestClass requestClass, Outcome outcome, Reason reason, Duration latency);

    /// Counts a retry of a call.
    void countRetry();

    /// Returns the number of requests of @a requestClass that ended with @a outcome.
    std::uint64_t outcomeCount(RequestClass requestClass, Outcome outcome) const;

    /// Returns the number of requests of @a requestClass that ended for @a reason.
    std::uint64_t reasonCount(RequestClass requestClass, Reason reason) const;

    std::uint64_t retryCount() const;

    /// Returns the latencies of requests of @a requestClass that ended with Outcome::Answer.
    LatencySummary latency(RequestClass requestClass) const;

    /// Returns all metrics in the Prometheus text format.
    /// @param node value of the label "node"
    std::string renderText(std::string_view node) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace chicoryspar
