#pragma once

/// @file
/// State shared by the parts of a node. Not thread-safe: used only on the thread that runs the io_context.

#include <chicoryspar/config.h>
#include <chicoryspar/membership.h>
#include <chicoryspar/node.h>
#include <chicoryspar/overload.h>
#include <chicoryspar/timeline.h>
#include <chicoryspar/wire.h>

#include "node/metrics.h"

#include <functional>

#include <boost/asio/io_context.hpp>

namespace chicoryspar {

class CustomerLimits;
class Dispatcher;
class EntryService;
class GateService;
class KeyService;
class PeerSet;

/// Called exactly once, with the end of a call.
using AnswerHandler = std::function<void(CallAnswer)>;

/// List of handlers that are called, in the order of connection, on each change.
class ChangeSignal
{
public:
    using Handler = std::function<void(TimePoint)>;

    void connect(Handler handler)
    {
        m_handlers.push_back(std::move(handler));
    }

    void emitChange(TimePoint now) const
    {
        for (const auto &it : m_handlers) {
            it(now);
        }
    }

private:
    std::vector<Handler> m_handlers;
};

/// Shared state of one node and pointers to its parts, which are set before the node starts.
struct NodeContext
{
    NodeContext(boost::asio::io_context &ioContext, const NodeSettings &nodeSettings, const EdgeDialect &edgeDialect,
                std::uint64_t bootTimeMs, std::uint64_t seed);

    /// Adds an event with the current hybrid time to the event buffer of this node.
    void recordEvent(Event event);

    /// Returns whether the deployment calls for what serves customers and uneven backend servers: gates hold the budget of repeats, waiting
    /// calls are served by their objectives, and refusals state when to return. One answer for the whole node, because the services at the
    /// end of a call chain need it even if only backend servers at its start state their pace.
    bool hasCustomersOrPace() const;

    /// Advances the hybrid clock and returns its time, for an event or an outgoing message.
    HybridTime tick();

    /// Merges the hybrid time of a message received from another node into the clock.
    void observeClock(std::uint64_t value);

    boost::asio::io_context &io;
    const NodeSettings &settings;
    const EdgeDialect &edge;
    NodeId self;
    /// Start time of this process, in milliseconds since the Unix epoch.
    std::uint64_t boot;
    /// The same on the steady clock.
    TimePoint startedAt;
    Random random;
    HybridClock clock;
    EventBuffer events;
    Metrics metrics;
    ConfigSet config;
    /// Set by the membership driver; null before it starts.
    const Membership *membership = nullptr;
    /// Advertised "address:port" of the peers' port; empty until it listens.
    std::string peersAddress;
    /// Advertised "address:port" of the operator API; empty until it listens.
    std::string operatorsAddress;
    bool isStopping = false;
    /// A backend server of the deployment has stated its pace, the local one or that of an upstream.
    bool hasSeenPace = false;

    GateService *gate = nullptr;
    PeerSet *peers = nullptr;
    Dispatcher *dispatcher = nullptr;
    EntryService *entry = nullptr;
    KeyService *keys = nullptr;
    CustomerLimits *customers = nullptr;

    ChangeSignal configChanged;
    /// The record or state of a member, this node included, or the list of contacts.
    ChangeSignal membersChanged;
    /// The store returned from an older copy: what this node wrote there may be gone.
    ChangeSignal storeRestored;
    ChangeSignal backendChanged;
};

} // namespace chicoryspar
