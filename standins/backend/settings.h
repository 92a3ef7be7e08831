#pragma once

/// @file
/// Settings and faults of the stand-in backend server.

#include "caller/http_client.h"

#include <string>
#include <vector>

namespace chicoryspar::standin {

/// Distribution of service times.
enum class ServiceTimeDistribution : std::uint8_t {
    Fixed,
    Exponential,
    Uniform,
    Count,
};

/// Finds a distribution by its name: fixed, exponential, uniform.
std::optional<ServiceTimeDistribution> findServiceTimeDistribution(std::string_view name);

/// Child call made for each request.
struct ChildCall
{
    std::string service;
    std::string target;
};

/// Parses a list such as "treasury:/ledger,catalogue:/titles".
/// @returns none when an item isn't service:/path
std::optional<std::vector<ChildCall>> parseChildren(std::string_view text);

/// Options of a stand-in backend server.
struct BackendInit
{
    std::string service;
    /// Address of the node's port for backend servers; empty for no announcements.
    std::string nodeAddress;
    std::string listenAddress = "127.0.0.1:0";
    unsigned slots = 36;
    unsigned queueLength = 64;
    unsigned connections = 300;
    Duration serviceTime = std::chrono::milliseconds(10);
    ServiceTimeDistribution distribution = ServiceTimeDistribution::Fixed;
    /// Duration of the cold start, in which the service time falls linearly from coldFactor times to its normal value.
    Duration coldStart{0};
    double coldFactor = 8.0;
    std::vector<ChildCall> children;
    /// Padding added to each answer.
    std::size_t answerBytes = 0;
    /// Delay with which the health and load endpoints report the state.
    Duration endpointLag{0};
    /// Minimum time from the start of a drain to the exit of the process.
    Duration drainTime = std::chrono::milliseconds(2500);
    std::string executionLog;
    std::uint64_t seed = 1;
};

/// Injected faults; can be changed at run time.
struct Faults
{
    /// Factor on each service time.
    double slow = 1.0;
    /// Requests start, but get no answer until the fault is cleared.
    bool isHanging = false;
    /// Fraction of answers that are truncated to half their bytes, 0 to 1.
    double truncated = 0.0;
    /// Fraction of answers that are sent twice, 0 to 1.
    double doubled = 0.0;
    /// Delay between the end of a run and its answer.
    Duration late{0};
    /// Fraction of answers that are delayed, 0 to 1.
    double lateShare = 1.0;
    /// Refuses all requests as not run.
    bool isShedding = false;
    /// The health and load endpoints report a healthy, idle server regardless of its state.
    bool reportsIdle = false;
    /// Accepts connections and requests, but answers none, health checks included.
    bool isSilent = false;
};

/// Parses @a json and overwrites the fields of @a faults that it contains. On a finding, @a faults stays unchanged.
/// @returns findings; empty on success
std::vector<Finding> parseFaults(std::string_view json, Faults &faults);

/// Returns @a faults as a JSON object.
std::string formatFaults(const Faults &faults);

} // namespace chicoryspar::standin
