#pragma once

/// @file
/// Scenarios and results of the overload rig.

#include <chicoryspar/overload.h>

#include <algorithm>
#include <limits>
#include <string>
#include <vector>

namespace chicoryspar::rig {

constexpr std::size_t kUpstreamsPerService = 6;
constexpr Duration kSampleInterval = std::chrono::milliseconds(100);
constexpr std::uint16_t kRetryTokens = 3;
constexpr std::size_t kRequestClassCount = static_cast<std::size_t>(RequestClass::Count);

/// Overload control between callers and backend servers.
struct Control
{
    std::string name;
    /// Without a gate, calls queue inside the backend server, up to its connection limit.
    bool hasGate = true;
    LimitAlgorithm algorithm = GateOptions{}.algorithm;
    std::uint32_t pushBack = 100;
    bool hasBudget = true;
};

/// Size of one service of the chain; all its upstreams are equal.
struct ServiceSize
{
    std::uint32_t slots = 36;
    std::uint32_t connections = 300;
    /// Mean of the exponentially distributed service time of a call.
    Duration meanServiceTime = std::chrono::milliseconds(5);
};

/// Load and faults of one run. Surge and slowdowns apply from start to end; arrivals stop at stop.
struct Disturbance
{
    std::string name;
    /// Offered load as a share of the capacity of the bottleneck.
    double load = 0.7;
    /// Factor on the offered load.
    double surge = 1;
    /// Factor on the service times of the last service.
    double slowdown = 1;
    /// Clients retry after kAggressiveRetryDelay, and abandon an attempt sent during the disturbance after kAttemptTimeout.
    bool aggressiveRetries = false;
    /// The first upstream of the last service announces four times its slots.
    bool overstatesSlots = false;
    /// Relative increase of the service time while as many calls queue inside the backend server as it has slots; proportional to the
    /// length of that queue.
    double contention = 0;
    /// Additional factor on the service times of the first upstream of the last service.
    double slowUpstream = 1;
    Duration start = std::chrono::seconds(10);
    Duration end = std::chrono::seconds(40);
    Duration stop = std::chrono::seconds(55);
};

/// A chain of services under one disturbance.
struct Workload
{
    Disturbance disturbance;
    std::vector<ServiceSize> services;

    bool isDisturbed(TimePoint now) const
    {
        return now.time_since_epoch() >= disturbance.start && now.time_since_epoch() < disturbance.end;
    }

    double meanServiceSeconds(std::size_t hop) const
    {
        return std::chrono::duration<double>(services[hop].meanServiceTime).count();
    }

    /// Returns the factor on the service time at upstream @a n of the service at @a hop.
    double slowdownFactor(std::size_t hop, std::size_t n, TimePoint now) const
    {
        const bool isLastService = hop + 1 == services.size();
        return isLastService && isDisturbed(now) ? disturbance.slowdown * (n == 0 ? disturbance.slowUpstream : 1) : 1;
    }

    std::uint32_t announcedSlots(std::size_t hop, std::size_t n) const
    {
        const bool isOverstating = disturbance.overstatesSlots && n == 0 && hop + 1 == services.size();
        return services[hop].slots * (isOverstating ? 4 : 1);
    }

    /// Returns the requests per second that the slots of the bottleneck can complete.
    double capacity(TimePoint now) const
    {
        double lowest = std::numeric_limits<double>::max();
        for (std::size_t hop = 0; hop < services.size(); ++hop) {
            double sum = 0;
            for (std::size_t n = 0; n < kUpstreamsPerService; ++n) {
                sum += services[hop].slots / (meanServiceSeconds(hop) * slowdownFactor(hop, n, now));
            }
            lowest = std::min(lowest, sum);
        }
        return lowest;
    }

    double offeredRate(TimePoint now) const
    {
        return capacity(TimePoint{}) * disturbance.load * (isDisturbed(now) ? disturbance.surge : 1);
    }
};

/// One request of a client, with all its attempts.
struct Root
{
    CallContext context;
    TimePoint deadline;
    std::uint16_t retries = 0;
    std::uint16_t tokens = kRetryTokens;
    /// Number of the client's current attempt.
    std::uint16_t attempt = 0;
    bool isDone = false;
    bool isComplete = false;
    double serviceSeconds = 0;
    /// Attempts sent to each service, by hop.
    std::array<std::uint16_t, 16> attempts{};
};

/// One call between two hops of a chain.
struct Call
{
    Root *root = nullptr;
    /// Parent call; unused at the entry node.
    std::uint32_t parent = 0;
    /// -1 at the entry node.
    int hop = -1;
    /// Index of the node among those of its service, or among the entry nodes.
    std::size_t node = 0;
    RetryBudget budget;
    std::uint16_t retries = 0;
    std::uint16_t attempt = 0;
    Level descendantLevel;
    /// Node of the last attempt at the child call.
    NodeId tried;
    TimePoint sentAt;
    TimePoint admittedAt;
    bool isAdmitted = false;
};

/// How a call ended.
struct Answer
{
    bool isComplete = false;
    Reason reason = Reason::None;
    Duration retryAfter{0};
};

/// Counts of one run.
struct Totals
{
    double usefulServiceSeconds = 0;
    double wastedServiceSeconds = 0;
    std::array<std::uint64_t, kRequestClassCount> offered{};
    std::array<std::uint64_t, kRequestClassCount> completed{};
    /// Refusals at gates.
    std::array<std::uint64_t, kRequestClassCount> refused{};
    /// Highest number of attempts of one root request at one service.
    std::uint16_t maxAttempts = 0;
    std::uint64_t orderPrecedenceViolations = 0;
    /// Requests offered and completed in each kSampleInterval.
    std::vector<std::uint32_t> offeredPerInterval;
    std::vector<std::uint32_t> completedPerInterval;
};

} // namespace chicoryspar::rig
