#pragma once

/// @file
/// Performs the I/O that ConfigSync asks for (calls to the store, pulls from peers, digests on probes) and publishes
/// configuration changes to the node.

#include "config/config_sync.h"
#include "node/context.h"
#include "node/control/store_link.h"
#include "node/peers/membership_driver.h"
#include "node/peers/peer_set.h"

#include <boost/asio/steady_timer.hpp>

namespace chicoryspar {

/// Number of members that have a version in force, according to the digests that this node has received.
struct InForceCount
{
    std::size_t members = 0;
    std::size_t inForce = 0;
    /// Names of the members whose digest doesn't show the version.
    std::vector<std::string> waiting;
};

/// Keeps the configuration of this node synchronised with the store and the peers.
class ConfigDriver
{
public:
    /// @param kinds kinds of objects to read from the store; empty for all
    ConfigDriver(NodeContext &context, MembershipDriver &membership, StoreLink &store, std::vector<ObjectKind> kinds = {});

    /// Starts the synchronisation; the membership must have been started.
    void start();
    void stop();

    const ConfigSync &sync() const;

    /// Counts the members that have this version of an object, or a later one, in force, and requests the digests of the others.
    /// @param version version of the object, or of its deletion
    /// @param contentHash hash of the object without its status; 0 when unknown
    InForceCount countInForce(const ObjectKey &key, std::uint64_t version, std::uint64_t contentHash);

private:
    /// A pull that has neither been answered nor timed out.
    struct OpenPull
    {
        NodeId peer;
        TimePoint startedAt;
        /// Size of the answers so far.
        std::size_t bytes = 0;
    };

    void armTimer();
    void onTimer(TimePoint now);
    void refreshMembers(TimePoint now);
    void beginStoreCalls(TimePoint now);
    void beginList(const StoreCall &call);
    void beginWatch(const StoreCall &call);
    void beginPull(TimePoint now);
    void onPull(const PeerSet::FrameSource &from, std::string_view payload);
    void onPullAnswer(NodeId from, std::string_view payload);
    void publish(TimePoint now);
    void recordChanges();
    void recordUnusedParts(const ObjectKey &key);
    void recordRefusedObjects();
    void recordIgnoredObjects();
    void recordStoreState();
    void recordWatcherRole();
    /// Logs how the open pull ended.
    void recordPullEnd(TimePoint now, std::string_view result);
    /// Logs a store call, unless it is a watch that ended as planned.
    void recordStoreCall(TimePoint startedAt, const StoreCall &call, std::error_code ec);
    std::string memberName(NodeId node) const;

    NodeContext &m_context;
    MembershipDriver &m_membership;
    StoreLink &m_store;
    ConfigSync m_sync;
    boost::asio::steady_timer m_timer;
    std::optional<OpenPull> m_openPull;
    std::uint64_t m_publishedDigest = 0;
    std::uint64_t m_recordedChanges = 0;
    std::map<ObjectKey, StoreRevision> m_recordedRefusals;
    std::map<ObjectKey, VersionOrder> m_recordedIgnored;
    std::uint64_t m_recordedStoreEra = 0;
    bool m_isStoreDown = false;
    bool m_isRecordedWatcher = false;
    bool m_isStopped = false;
};

} // namespace chicoryspar
