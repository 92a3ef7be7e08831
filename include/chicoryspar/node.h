#pragma once

/// @file
/// The node process: settings and the object that runs every part of a node on one thread.

#include <chicoryspar/http.h>
#include <chicoryspar/store.h>

#include <memory>

namespace chicoryspar {

/// Settings of one node, as read from its INI file.
struct NodeSettings
{
    std::string name;
    std::string region;
    std::string zone;
    /// Service of the backend server on this host, stated to the backend servers that it calls; empty when callers state their names.
    std::string service;

    /// Listening addresses as "address:port"; port 0 takes a free one.
    std::string listenCallers = "127.0.0.1:0";
    std::string listenBackend = "127.0.0.1:0";
    std::string listenPeers = "127.0.0.1:0";
    std::string listenOperators = "127.0.0.1:0";
    /// Port that only tells whether the node takes new work; empty for none.
    std::string listenReadiness;
    /// Address that other nodes use; empty for the listening one.
    std::string advertisePeers;
    /// True when only loopback clients of the operators' port may change anything.
    bool operatorChangesFromLoopbackOnly = true;

    /// Address of the platform's object API as "host:port"; empty for none.
    std::string platformAddress;
    /// Name of the dialect of store, callers and backend servers.
    std::string platformDialect = "native";
    /// Nodes of each zone that watch the store; the others learn of changes from peers.
    std::uint64_t watchersPerZone = 2;
    /// Nodes that start at once spread their first call to the store over this time.
    Duration storeStartWindow = std::chrono::seconds(4);
    /// Peer addresses of nodes for the first contact.
    std::vector<std::string> seeds;
    /// Shared key of all nodes, as raw bytes; empty when peers aren't authenticated.
    std::string fleetKey;

    /// Longest request body accepted, in bytes.
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    /// Longest request header accepted, in bytes.
    std::uint64_t maxHeaderBytes = 64 * 1024;
    std::uint64_t maxCallerConnections = 1024;
    /// Bytes of bodies held for calls in progress.
    std::uint64_t maxBufferedBytes = 64 * 1024 * 1024;
    /// Connections to the backend server; its own announced limit is kept too.
    std::uint64_t maxBackendConnections = 256;

    /// Repeats of an installation that reach the backend servers of one service, as a share of the requests for it; 0 for the
    /// RetryPolicy alone.
    double fleetRetryShare = 0;
    /// Repeats beyond that share in each window of fleetRetryWindow.
    std::uint64_t fleetRetryExtra = 0;
    Duration fleetRetryWindow = std::chrono::seconds(10);

    /// How long an idempotency key is remembered.
    Duration keyLifetime = std::chrono::seconds(30);
    /// Largest difference of the clocks of caller and node that is accepted.
    Duration keyClockTolerance = std::chrono::seconds(2);
    /// Nodes of a service that must see each other before its first order runs: more than half of all that may be in it at once.
    std::uint64_t keyFounders = 1;
    std::uint64_t maxKeyEntries = 65536;
    /// Bytes of kept answers.
    std::uint64_t maxKeyBytes = 24 * 1024 * 1024;

    /// Bytes of events that are kept for the time line.
    std::uint64_t maxEventBytes = 1024 * 1024;

    /// Longest time that a planned stop waits for calls in flight.
    Duration drainTime = std::chrono::seconds(10);
    /// How long a planned stop still accepts requests of callers, which need that long to notice it.
    Duration stopAcceptTime{0};

    /// One of log4cplus's level names.
    std::string logLevel = "INFO";
    /// Lines about decisions on requests, on average a second; the rest is counted only.
    std::uint64_t logDecisionsPerSecond = 20;
    /// Log file; empty for the standard output.
    std::string logFile;
    /// File that receives the ports taken, one "name=port" a line; empty for none.
    std::string portsFile;
};

/// Settings and every fault found while reading them.
struct LoadedSettings
{
    NodeSettings settings;
    std::vector<Finding> findings;
};

/// Reads and checks an INI file.
/// @param path also the first word of each finding's place
LoadedSettings loadNodeSettings(const std::string &path);

/// Reads and checks INI text.
LoadedSettings parseNodeSettings(const std::string &text, const std::string &place);

/// How an installation speaks on the ports that it shares with nodes.
struct Dialects
{
    std::shared_ptr<const EdgeDialect> edge = nativeEdgeDialect();
    std::shared_ptr<const StoreDialect> store = nativeStoreDialect();
};

/// One running node.
class Node
{
public:
    explicit Node(NodeSettings settings, Dialects dialects = {});
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Opens all ports and writes the ports file.
    /// @returns the first error of the system, or none
    std::error_code start();

    /// Runs until a planned stop has ended. SIGTERM and SIGINT begin one.
    void run();

private:
    class Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace chicoryspar
