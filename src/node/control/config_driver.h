#pragma once

/// @file
/// Carries out what ConfigSync decides: calls to the store, pulls from peers, digests on the probes; publishes what came in force.

#include "config/config_sync.h"
#include "node/context.h"
#include "node/control/store_link.h"
#include "node/peers/membership_driver.h"

#include <boost/asio/steady_timer.hpp>

namespace chicoryspar {

/// How many members have a change in force, as far as this node knows.
struct InForceCount
{
    std::size_t members = 0;
    std::size_t inForce = 0;
    /// Names of members that aren't known to have it.
    std::vector<std::string> waiting;
};

/// Keeps the configuration of this node in step.
class ConfigDriver
{
public:
    /// @param kinds that the store holds; empty for all
    ConfigDriver(NodeContext &context, MembershipDriver &membership, StoreLink &store, std::vector<ObjectKind> kinds = {});

    /// Begins; the membership must have been started.
    void start();
    void stop();

    const ConfigSync &sync() const;

    /// Counts the members that have this version of the object, or a later one, in force, and asks the others for their state.
    /// @param version version of the object, or of its deletion
    /// @param contentHash of the object, which a write of its status alone doesn't change; 0 when unknown
    InForceCount countInForce(const ObjectKey &key, std::uint64_t version, std::uint64_t contentHash);

private:
    void armTimer();
    void onTimer(TimePoint now);
    void refreshMembers(TimePoint now);
    void beginStoreCalls(TimePoint now);
    void beginList(const StoreCall &call);
    void beginWatch(const StoreCall &call);
    void beginPull(TimePoint now);
    void onPull(NodeId from, std::string_view payload);
    void onPullAnswer(NodeId from, std::string_view payload);
    void publish(TimePoint now);
    void recordChanges();
    void recordRefusedObjects();
    void recordStoreState();

    NodeContext &m_context;
    MembershipDriver &m_membership;
    StoreLink &m_store;
    ConfigSync m_sync;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_publishedDigest = 0;
    std::uint64_t m_recordedChanges = 0;
    std::map<ObjectKey, std::uint64_t> m_recordedRefusals;
    bool m_isStoreDown = false;
    bool m_isStopped = false;
};

} // namespace chicoryspar
