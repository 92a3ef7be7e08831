#pragma once

/// @file
/// What the parts of a node share. Everything here is used on the thread of the io_context only.

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

class Dispatcher;
class EntryService;
class GateService;
class KeyService;
class PeerSet;

/// Receives the end of a call, exactly once.
using AnswerHandler = std::function<void(CallAnswer)>;

/// Functions that run when something changed.
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

/// Shared state and the parts of one node.
struct NodeContext
{
    NodeContext(boost::asio::io_context &ioContext, const NodeSettings &nodeSettings, const EdgeDialect &edgeDialect,
                std::uint64_t bootTimeMs, std::uint64_t seed);

    /// Adds an event to the buffer of this node.
    void recordEvent(Event event);

    /// Returns a hybrid time for a message that leaves this node.
    HybridTime tick();

    /// Takes in the hybrid time of a message that another node sent.
    void observeClock(std::uint64_t value);

    boost::asio::io_context &io;
    const NodeSettings &settings;
    const EdgeDialect &edge;
    NodeId self;
    /// Start of this process in milliseconds since the Unix epoch.
    std::uint64_t boot;
    Random random;
    HybridClock clock;
    EventBuffer events;
    Metrics metrics;
    ConfigSet config;
    /// Set by the membership driver; null before it starts.
    const Membership *membership = nullptr;
    /// Ports taken, for status and the advertised address.
    std::string peersAddress;
    /// Address of the operators' port; empty until it listens.
    std::string operatorsAddress;
    bool isStopping = false;

    GateService *gate = nullptr;
    PeerSet *peers = nullptr;
    Dispatcher *dispatcher = nullptr;
    EntryService *entry = nullptr;
    KeyService *keys = nullptr;

    ChangeSignal configChanged;
    ChangeSignal membersChanged;
    ChangeSignal backendChanged;
};

} // namespace chicoryspar
