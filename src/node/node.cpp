/// @file
/// Composition of a node: parts, ports, timers and the planned stop.

#include <chicoryspar/node.h>

#include "config/store_timeouts.h"
#include "node/clock.h"
#include "node/context.h"
#include "node/control/config_driver.h"
#include "node/control/contact_directory.h"
#include "node/control/operator_api.h"
#include "node/control/status_reporter.h"
#include "node/customer/customer_limits.h"
#include "node/entry/dispatcher.h"
#include "node/entry/entry_service.h"
#include "node/gate/gate_service.h"
#include "node/http/http_listener.h"
#include "node/keys/key_service.h"
#include "node/log.h"
#include "node/peers/membership_driver.h"
#include "node/peers/peer_set.h"

#include <csignal>
#include <fstream>
#include <limits>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <openssl/rand.h>

namespace chicoryspar {
namespace {

constexpr Duration kHousekeepingPeriod = std::chrono::milliseconds(200);
/// Time between the end of a planned stop and the time at which the platform kills the process.
constexpr Duration kKillMargin = std::chrono::milliseconds(500);

std::uint64_t makeRandomSeed()
{
    std::uint64_t seed = 0;
    RAND_bytes(reinterpret_cast<unsigned char *>(&seed), sizeof seed);
    return seed;
}

std::uint64_t bootTimeMs()
{
    return static_cast<std::uint64_t>(toMilliseconds(wallNow().time_since_epoch()));
}

std::string advertisedAddress(const NodeSettings &settings, std::uint16_t port)
{
    if (!settings.advertisePeers.empty()) {
        return settings.advertisePeers;
    }
    return settings.listenPeers.substr(0, settings.listenPeers.rfind(':')) + ":" + std::to_string(port);
}

std::unique_ptr<ObjectStore> createStore(const NodeSettings &settings, std::shared_ptr<const StoreDialect> dialect)
{
    if (settings.platformAddress.empty()) {
        return nullptr;
    }
    const auto timeouts = storeTimeoutsFor(settings.changeBound);
    return createStoreClient({.address = settings.platformAddress,
                              .callTimeout = timeouts.callTimeout,
                              .watchGrace = timeouts.watchGrace,
                              .dialect = std::move(dialect)});
}

/// Returns the address of the operator API that membership advertises to other nodes. A wildcard listening address is replaced by the host
/// of @a peersAddress.
std::string operatorsAddress(const NodeSettings &settings, const std::string &peersAddress, std::uint16_t port)
{
    const auto listening = settings.listenOperators.substr(0, settings.listenOperators.rfind(':'));
    const bool isAny = listening == "0.0.0.0" || listening == "[::]";
    const auto host = isAny ? peersAddress.substr(0, peersAddress.rfind(':')) : listening;
    return host + ":" + std::to_string(port);
}

HttpListenerOptions listenerOptions(const NodeSettings &settings, const std::string &address)
{
    return HttpListenerOptions{.address = address,
                               .limits = {.maxBodyBytes = settings.maxBodyBytes, .maxHeaderBytes = settings.maxHeaderBytes},
                               .maxBufferedBodyBytes = settings.maxBodyBytes,
                               .maxConnections = settings.maxCallerConnections};
}

/// Returns the options of the callers' port. Where the operator limits bodies in the route table, only what can be buffered limits them
/// until a table is known.
HttpListenerOptions callerListenerOptions(const NodeSettings &settings, const EdgeDialect &edge)
{
    auto options = listenerOptions(settings, settings.listenCallers);
    if (edge.usesRoutes()) {
        options.limits.maxBodyBytes = std::numeric_limits<std::uint64_t>::max();
    }
    return options;
}

} // namespace

Duration maxDrainTime(const NodeSettings &settings)
{
    return settings.stopKillTime > Duration{0} ? std::max(Duration{0}, settings.stopKillTime - kLeaveTime - kKillMargin)
                                               : settings.drainTime;
}

/// Parts of a node, each declared after the parts that it depends on.
class Node::Parts
{
public:
    Parts(NodeSettings nodeSettings, Dialects dialects)
        : m_settings(std::move(nodeSettings))
        , m_dialects(std::move(dialects))
        , m_context(m_io, m_settings, *m_dialects.edge, bootTimeMs(), makeRandomSeed())
        , m_bufferBudget(m_settings.maxBufferedBytes)
        , m_gate(m_context)
        , m_peers(m_context)
        , m_membership(m_context)
        , m_customers(m_context, m_membership)
        , m_store(m_io, createStore(m_settings, m_dialects.store))
        , m_config(m_context, m_membership, m_store, m_dialects.store->kinds())
        , m_contacts(m_context, m_membership, m_store, m_dialects.store->storesContacts())
        , m_operators(m_context, m_config)
        , m_statusReporter(m_context, m_config, m_store)
        , m_dispatcher(m_context)
        , m_keys(m_context)
        , m_entry(m_context)
        , m_callerListener(m_io, callerListenerOptions(m_settings, *m_dialects.edge), m_entry.handler(EntryRole::Callers), m_bufferBudget)
        , m_backendListener(m_io, listenerOptions(m_settings, m_settings.listenBackend), m_entry.handler(EntryRole::Backend),
                            m_bufferBudget)
        , m_readinessListener(m_io, listenerOptions(m_settings, m_settings.listenReadiness), m_entry.handler(EntryRole::Readiness),
                              m_bufferBudget)
        , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
        , m_timer(m_io)
    {
        m_context.gate = &m_gate;
        m_context.peers = &m_peers;
        m_context.dispatcher = &m_dispatcher;
        m_context.entry = &m_entry;
        m_context.keys = &m_keys;
        m_context.customers = &m_customers;
        m_gate.setCancelChild([this](std::uint64_t id) { m_entry.cancelChild(id); });
        m_peers.setCallHandler(
            [this](CallRequest request, AnswerHandler handler) { return m_keys.serveCall(std::move(request), std::move(handler)); },
            [this](std::uint64_t id) { m_gate.cancelCall(id); });
        m_context.configChanged.connect([this](TimePoint now) {
            m_gate.applyPolicy(now);
            applyLimits();
        });
    }

    std::error_code start()
    {
        setDecisionLogRate(static_cast<double>(m_settings.logDecisionsPerSecond));
        std::vector<std::error_code> startErrors{m_peers.start(), m_callerListener.start(), m_backendListener.start()};
        if (!m_settings.listenReadiness.empty()) {
            startErrors.push_back(m_readinessListener.start());
        }
        for (const auto ec : startErrors) {
            if (ec) {
                return ec;
            }
        }
        m_context.peersAddress = advertisedAddress(m_settings, m_peers.port());
        if (const auto ec = m_operators.start()) {
            return ec;
        }
        m_context.operatorsAddress = operatorsAddress(m_settings, m_context.peersAddress, m_operators.port());
        if (const auto ec = m_membership.start(m_peers.port())) {
            return ec;
        }
        m_config.start();
        m_contacts.start();
        m_keys.start();
        m_statusReporter.start();
        if (const auto ec = writePortsFile()) {
            return ec;
        }
        awaitSignal();
        m_context.recordEvent(Event{.kind = EventKind::NodeStarted, .subject = m_settings.name});
        writeLog(LogLevel::Info, "node started",
                 {{"callers", std::to_string(m_callerListener.port())},
                  {"backend", std::to_string(m_backendListener.port())},
                  {"peers", m_context.peersAddress}});
        armTimer();
        return {};
    }

    void run()
    {
        m_io.run();
    }

private:
    std::error_code writePortsFile()
    {
        if (m_settings.portsFile.empty()) {
            return {};
        }
        const auto temporaryPath = m_settings.portsFile + ".new";
        std::ofstream file(temporaryPath);
        file << "callers=" << m_callerListener.port() << "\n";
        file << "backend=" << m_backendListener.port() << "\n";
        file << "peers=" << m_peers.port() << "\n";
        file << "operators=" << m_operators.port() << "\n";
        file.close();
        if (!file || std::rename(temporaryPath.c_str(), m_settings.portsFile.c_str()) != 0) {
            return std::make_error_code(std::errc::io_error);
        }
        return {};
    }

    /// Applies the traffic limits of the route table, which take precedence over the settings.
    void applyLimits()
    {
        if (m_context.config.hasRoutes()) {
            const auto &limits = m_context.config.trafficLimits();
            m_callerListener.setLimits({.maxBodyBytes = limits.maxBodyBytes,
                                        .maxHeaderBytes = limits.maxHeaderBytes,
                                        .headerTimeout = limits.headerTimeout,
                                        .idleTimeout = limits.idleTimeout});
        }
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](boost::system::error_code ec, int signal) {
            if (ec) {
                return;
            }
            if (signal == SIGHUP) {
                // Settings can't be reloaded while the node runs: ports, names and addresses are fixed at the start.
                writeLog(LogLevel::Info, "SIGHUP ignored: settings are read at the start only");
                awaitSignal();
            } else if (!m_context.isStopping) {
                beginStop();
            }
        });
    }

    void armTimer()
    {
        m_timer.expires_after(kHousekeepingPeriod);
        m_timer.async_wait([this](boost::system::error_code ec) {
            if (ec) {
                return;
            }
            const auto now = steadyNow();
            m_gate.onTick(bootNow());
            m_gate.checkAnnouncement(now);
            if (m_context.isStopping) {
                continueStop(now);
            }
            if (!m_isStopped) {
                armTimer();
            }
        });
    }

    void beginStop()
    {
        const auto now = steadyNow();
        m_context.isStopping = true;
        m_stopDeadline = now + maxDrainTime(m_settings);
        m_acceptDeadline = now + m_settings.stopAcceptTime;
        m_context.recordEvent(Event{.kind = EventKind::NodeStopping, .subject = m_settings.name});
        writeLog(LogLevel::Info, "planned stop begun");
        m_keys.beginLeave();
        m_callerListener.beginDrain();
        m_peers.beginStop();
        m_context.backendChanged.emitChange(now);
        continueStop(now);
    }

    bool hasUnfinishedWork() const
    {
        return !m_keys.hasLeft() || m_entry.requestCount() > 0 || m_gate.callCount() > 0 || m_peers.incomingCallCount() > 0
            || m_callerListener.connectionCount() > 0;
    }

    void continueStop(TimePoint now)
    {
        if (!m_isCallerPortClosed && now >= m_acceptDeadline) {
            m_isCallerPortClosed = true;
            m_callerListener.beginStop();
        }
        if (!m_isCallerPortClosed) {
            return;
        }
        if (!m_isLeaving && hasUnfinishedWork() && now < m_stopDeadline) {
            return;
        }
        if (!m_isLeaving) {
            m_isLeaving = true;
            m_stopDeadline = now + kLeaveTime;
            m_membership.beginLeave();
        }
        if (now < m_stopDeadline) {
            return;
        }
        m_isStopped = true;
        m_statusReporter.stop();
        m_operators.stop();
        m_config.stop();
        m_contacts.stop();
        m_store.close();
        m_membership.stop();
        writeLog(LogLevel::Info, "planned stop ended", {{"callsLeft", std::to_string(m_entry.requestCount() + m_gate.callCount())}});
        m_io.stop();
    }

    NodeSettings m_settings;
    Dialects m_dialects;
    boost::asio::io_context m_io{1};
    NodeContext m_context;
    ByteBudget m_bufferBudget;
    GateService m_gate;
    PeerSet m_peers;
    MembershipDriver m_membership;
    CustomerLimits m_customers;
    StoreLink m_store;
    ConfigDriver m_config;
    ContactDirectory m_contacts;
    OperatorApi m_operators;
    StatusReporter m_statusReporter;
    Dispatcher m_dispatcher;
    KeyService m_keys;
    EntryService m_entry;
    HttpListener m_callerListener;
    HttpListener m_backendListener;
    HttpListener m_readinessListener;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    /// Time at which the current phase of the planned stop ends: first the drain, then the leave of the membership.
    TimePoint m_stopDeadline{};
    /// Time until which a planned stop accepts further requests of callers.
    TimePoint m_acceptDeadline{};
    bool m_isCallerPortClosed = false;
    bool m_isLeaving = false;
    bool m_isStopped = false;
};

Node::Node(NodeSettings settings, Dialects dialects)
    : m_parts(std::make_unique<Parts>(std::move(settings), std::move(dialects)))
{
}

Node::~Node() = default;

std::error_code Node::start()
{
    return m_parts->start();
}

void Node::run()
{
    m_parts->run();
}

} // namespace chicoryspar
