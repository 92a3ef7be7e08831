#pragma once

/// @file
/// Node process: its settings and the object that runs all parts of a node on one thread.

#include <chicoryspar/http.h>
#include <chicoryspar/store.h>

#include <memory>

namespace chicoryspar {

/// Who holds the budget that bounds the retries of the deployment at one service.
enum class RepeatHolder : std::uint8_t {
    /// The gates, once customers are configured or a backend server of the deployment has stated its pace; before that the senders.
    Auto,
    Gates,
    Senders,
    Count,
};

struct RepeatHolderRow
{
    std::string_view name;
};

const RepeatHolderRow &rowOf(RepeatHolder value);

/// When refusals state an expected time of return instead of a constant.
enum class ReturnScheduleMode : std::uint8_t {
    /// Once customers are configured or a backend server of the deployment has stated its pace.
    Auto,
    On,
    Off,
    Count,
};

struct ReturnScheduleModeRow
{
    std::string_view name;
};

const ReturnScheduleModeRow &rowOf(ReturnScheduleMode value);

/// Settings of one node, as read from its INI file.
struct NodeSettings
{
    std::string name;
    std::string region;
    std::string zone;
    /// Service of the local backend server, sent as the caller of every request that enters at this node; empty to use the caller name of
    /// each request.
    std::string service;

    /// Listening addresses as "address:port"; port 0 selects a free port.
    std::string listenCallers = "127.0.0.1:0";
    std::string listenBackend = "127.0.0.1:0";
    std::string listenPeers = "127.0.0.1:0";
    std::string listenOperators = "127.0.0.1:0";
    /// Address of the port that only answers whether the node accepts new requests; empty for none.
    std::string listenReadiness;
    /// Address "address:port" at which other nodes reach this one; empty for the listening address.
    std::string advertisePeers;
    /// Operator API requests that change anything are accepted from loopback addresses only.
    bool operatorChangesFromLoopbackOnly = true;

    /// Address of the platform's object API as "host:port"; empty for none.
    std::string platformAddress;
    /// Name of the dialect spoken with the store, callers and backend servers.
    std::string platformDialect = "native";
    /// Number of nodes in each zone that watch the store. The others receive changes from peers.
    std::uint64_t watchersPerZone = 2;
    /// Window over which nodes that start at the same time spread their first request to the store.
    Duration storeStartWindow = std::chrono::seconds(4);
    /// Time within which a change of the configuration has to be in force, also where a connection to the store has gone silent.
    Duration changeBound = std::chrono::seconds(11);
    /// Peer addresses "ip:port" through which the node joins.
    std::vector<std::string> seeds;
    /// Key shared by all nodes for authenticating peers, as raw bytes; empty for no authentication.
    std::string fleetKey;

    /// Largest accepted request body, in bytes.
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    /// Largest accepted request header, in bytes.
    std::uint64_t maxHeaderBytes = 64 * 1024;
    std::uint64_t maxCallerConnections = 1024;
    /// Limit on the bodies buffered for calls in progress, in bytes.
    std::uint64_t maxBufferedBytes = 64 * 1024 * 1024;
    /// Limit on connections to the backend server. The smaller of this limit and the one announced or configured for the service applies.
    std::uint64_t maxBackendConnections = 256;

    /// Maximum retries that reach the backend servers of one service in the deployment, as a fraction of the requests for it; 0 to apply
    /// the RetryPolicy only.
    double fleetRetryFraction = 0;
    /// Retries of the deployment allowed on top of that fraction in each fleetRetryWindow.
    std::uint64_t fleetRetryExtra = 0;
    Duration fleetRetryWindow = std::chrono::seconds(10);
    RepeatHolder repeatsHeldBy = RepeatHolder::Auto;

    ReturnScheduleMode returnSchedule = ReturnScheduleMode::Auto;

    /// Time for which the record of an idempotency key is kept.
    Duration keyLifetime = std::chrono::seconds(30);
    /// Largest accepted difference between the clocks of caller and node.
    Duration keyClockTolerance = std::chrono::seconds(2);
    /// Minimum number of nodes of a service that must be in contact before its first order runs. Has to be more than half of all nodes that
    /// may be in the service at the same time.
    std::uint64_t keyFounders = 1;
    std::uint64_t maxKeyEntries = 65536;
    /// Limit on the answers kept for idempotency keys, in bytes.
    std::uint64_t maxKeyBytes = 24 * 1024 * 1024;

    /// Limit on the events kept for the timeline, in bytes.
    std::uint64_t maxEventBytes = 1024 * 1024;

    /// Maximum time that a planned stop waits for calls in flight, if stopKillTime is 0.
    Duration drainTime = std::chrono::seconds(10);
    /// Time after which the platform kills a process that it has asked to stop; 0 if it doesn't. The stop waits for calls in flight as long
    /// as this allows; see maxDrainTime().
    Duration stopKillTime{0};
    /// Time for which a planned stop still accepts requests of callers, until they have noticed the stop.
    Duration stopAcceptTime{0};

    /// Level name of log4cplus.
    std::string logLevel = "INFO";
    /// Maximum average rate of log lines about decisions on requests, per second. Further decisions are counted only.
    std::uint64_t logDecisionsPerSecond = 20;
    /// Log file; empty for the standard output.
    std::string logFile;
    /// File to which the listening ports are written, one "name=port" per line; empty for none.
    std::string portsFile;
};

/// Returns how long a planned stop waits for calls in flight, so that the process ends before it is killed.
Duration maxDrainTime(const NodeSettings &settings);

/// Settings, and all findings of their validation.
struct LoadedSettings
{
    NodeSettings settings;
    std::vector<Finding> findings;
};

/// Reads and validates an INI file.
/// @param path the file; also stated in each finding
LoadedSettings loadNodeSettings(const std::string &path);

/// Reads and validates INI text.
/// @param place name of the source, stated in each finding
LoadedSettings parseNodeSettings(const std::string &text, const std::string &place);

/// Protocol dialects of a deployment: of its callers and backend servers (edge) and of its object store.
struct Dialects
{
    std::shared_ptr<const EdgeDialect> edge = nativeEdgeDialect();
    std::shared_ptr<const StoreDialect> store = nativeStoreDialect();
};

/// A node: all of its parts, run on the thread that calls run().
class Node
{
public:
    explicit Node(NodeSettings settings, Dialects dialects = {});
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Opens all ports, starts all parts and writes the ports file.
    /// @returns the first system error, or none
    std::error_code start();

    /// Runs the node until a planned stop has completed. SIGTERM and SIGINT start one.
    void run();

private:
    class Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace chicoryspar
