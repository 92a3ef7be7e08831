#pragma once

/// @file
/// Sends requests to entry nodes, either at a rate or with a fixed number of outstanding requests, and retries orders with unknown
/// outcome.

#include "tools/load/load_report.h"

namespace chicoryspar::load {

/// Service and path of one request class.
struct Target
{
    std::string service;
    std::string path;

    bool isValid() const
    {
        return !service.empty() && !path.empty();
    }
};

/// Parses "orders:/orders"; the result is invalid when a part is missing.
Target parseTarget(std::string_view text);

/// Options of a run.
struct LoadInit
{
    CallerInit caller;
    /// Key sent with each request; empty for none.
    std::string customerKey;
    Target lookup;
    Target order;
    /// Mean arrival rate, requests per second; arrivals are a Poisson process.
    double rate = 100;
    /// Number of requests kept outstanding; 0 for arrivals at the rate.
    unsigned outstanding = 0;
    /// Fraction of requests that are orders, 0 to 1.
    double orderShare = 0.3;
    Duration duration = std::chrono::seconds(10);
    /// The rate is multiplied by surgeFactor from surgeBegin to surgeEnd.
    Duration surgeBegin{0};
    Duration surgeEnd{0};
    double surgeFactor = 1;
    Duration timeout = std::chrono::seconds(2);
    /// Time after its arrival in which an order with unknown outcome is retried with its key.
    Duration resolveTime{0};
    /// Body size of an order.
    std::size_t bodyBytes = 64;
    /// Arrivals are dropped while this many requests are outstanding.
    std::size_t maxOutstanding = 20000;
    std::uint64_t seed = 1;
    /// Path of a log with one JSON line per request; empty for none.
    std::string outcomesLog;
};

/// Runs the load; returns when every request has its final result.
void runLoad(const LoadInit &init, Report &report);

} // namespace chicoryspar::load
