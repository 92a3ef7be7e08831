#pragma once

/// @file
/// Counters and latency statistics of one node.

#include <chicoryspar/core.h>

#include <map>
#include <memory>

namespace chicoryspar {

/// Summary of the latencies of one request class.
struct LatencySummary
{
    std::uint64_t count = 0;
    /// Milliseconds.
    double meanMs = 0;
    /// The mean, as long as there are too few answers to estimate quantiles.
    double medianMs = 0;
    /// The maximum, as long as there are too few answers.
    double p99Ms = 0;
};

/// Statistics since the start of the process.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /// Counts one request of a caller that ended.
    void countOutcome(RequestClass requestClass, Outcome outcome, Reason reason, Duration latency);

    /// Counts a repeat of an attempt.
    void countRetry();

    /// Returns how many requests of @a requestClass ended with @a outcome.
    std::uint64_t outcomeCount(RequestClass requestClass, Outcome outcome) const;

    /// Returns how many requests of @a requestClass ended for @a reason.
    std::uint64_t reasonCount(RequestClass requestClass, Reason reason) const;

    std::uint64_t retryCount() const;

    /// Returns the latencies of whole answers of @a requestClass.
    LatencySummary latency(RequestClass requestClass) const;

    /// Returns all figures in the text format that metrics collectors read.
    /// @param node value of the label "node"
    std::string renderText(std::string_view node) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace chicoryspar
