/// @file
/// Connections to other nodes.

#include "node/peers/peer_set.h"

#include "node/clock.h"
#include "node/http/endpoint.h"
#include "node/log.h"

#include <algorithm>

#include <boost/asio/post.hpp>
#include <openssl/rand.h>

namespace chicoryspar {

namespace asio = boost::asio;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t kNonceBytes = 16;

CallAnswer makeFailureAnswer(const std::string &node, std::uint64_t id, Outcome outcome, Reason reason)
{
    CallAnswer answer;
    answer.id = id;
    answer.outcome = outcome;
    answer.reason = reason;
    answer.node = node;
    return answer;
}

} // namespace

/// A connection that this node opened, with its calls that have no answer yet.
struct PeerSet::OutgoingConnection
{
    NodeId node;
    std::shared_ptr<PeerConnection> connection;
    std::unordered_set<std::uint64_t> calls;
};

/// A connection that another node opened, with its calls in progress.
struct PeerSet::IncomingConnection
{
    NodeId node;
    std::shared_ptr<PeerConnection> connection;
    /// Ids that the call handler returned, by the ids that the other node assigned.
    std::unordered_map<std::uint64_t, std::uint64_t> calls;
};

PeerSet::PeerSet(NodeContext &context, PeerConnectionOptions options)
    : m_context(context)
    , m_options(options)
    , m_acceptor(context.io)
{
}

PeerSet::~PeerSet()
{
    const auto incoming = std::exchange(m_incoming, {});
    for (const auto &it : incoming) {
        it->connection->close(Reason::Stopping);
    }
    const auto outgoing = std::exchange(m_outgoing, {});
    for (const auto &[node, it] : outgoing) {
        it->connection->close(Reason::Stopping);
    }
    const auto replaced = std::exchange(m_replaced, {});
    for (const auto &it : replaced) {
        it->connection->close(Reason::Stopping);
    }
}

std::error_code PeerSet::start()
{
    const auto ec = openAcceptor(m_acceptor, m_context.settings.listenPeers);
    if (!ec) {
        acceptNext();
    }
    return ec;
}

std::uint16_t PeerSet::port() const
{
    return portOf(m_acceptor);
}

void PeerSet::beginStop()
{
    boost::system::error_code ec;
    m_acceptor.close(ec);
}

void PeerSet::acceptNext()
{
    m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted) {
            return;
        }
        if (!ec) {
            addIncoming(std::move(socket));
        }
        acceptNext();
    });
}

PeerIdentity PeerSet::makeIdentity()
{
    return PeerIdentity{.node = m_context.settings.name,
                        .boot = m_context.boot,
                        .fleetKey = m_context.settings.fleetKey,
                        .makeNonce = [this] { return makeNonce(); }};
}

std::string PeerSet::makeNonce()
{
    std::string nonce(kNonceBytes, '\0');
    RAND_bytes(reinterpret_cast<unsigned char *>(nonce.data()), static_cast<int>(nonce.size()));
    return nonce;
}

void PeerSet::addIncoming(tcp::socket socket)
{
    const auto incoming = std::make_shared<IncomingConnection>();
    PeerConnection::Callbacks callbacks;
    callbacks.onOpen = [incoming](const std::string &name) { incoming->node = makeNodeId(name); };
    callbacks.onFrame = [this, incoming](const Frame &frame) { onIncomingFrame(incoming, frame); };
    callbacks.onClosed = [this, incoming](Reason reason) { onIncomingClosed(incoming, reason); };
    callbacks.isAwaitingAnswer = [] { return false; };
    incoming->connection = std::make_shared<PeerConnection>(std::move(socket), makeIdentity(), m_options, std::move(callbacks));
    m_incoming.insert(incoming);
    incoming->connection->beginAccepted();
}

std::shared_ptr<PeerSet::OutgoingConnection> PeerSet::findOrConnect(NodeId node)
{
    const auto it = m_outgoing.find(node);
    if (it != m_outgoing.end()) {
        if (!it->second->connection->isSuspected(steadyNow())) {
            return it->second;
        }
        const auto suspected = it->second;
        m_outgoing.erase(it);
        if (suspected->calls.empty()) {
            suspected->connection->close(Reason::ConnectionSilent);
        } else {
            m_replaced.insert(suspected);
        }
        probeAll();
    }
    const auto member = m_context.membership ? m_context.membership->find(node) : nullptr;
    const auto endpoint = member ? parseEndpoint(member->info.address) : std::nullopt;
    if (!endpoint) {
        return nullptr;
    }
    auto outgoing = std::make_shared<OutgoingConnection>();
    outgoing->node = node;
    PeerConnection::Callbacks callbacks;
    callbacks.onOpen = [outgoing](const std::string &name) {
        if (makeNodeId(name) != outgoing->node) {
            outgoing->connection->close(Reason::ConnectFailed);
        }
    };
    callbacks.onFrame = [this, node, outgoing](const Frame &frame) {
        if (frame.type == FrameType::CallAnswer) {
            onAnswer(frame.payload);
        } else {
            dispatchFrame({node, outgoing->connection}, frame);
        }
    };
    callbacks.onClosed = [this, outgoing](Reason reason) { onOutgoingClosed(outgoing, reason); };
    callbacks.onSuspected = [this] { probeAll(); };
    callbacks.isAwaitingAnswer = [outgoing] { return !outgoing->calls.empty(); };
    outgoing->connection = std::make_shared<PeerConnection>(tcp::socket(m_context.io), makeIdentity(), m_options, std::move(callbacks));
    m_outgoing[node] = outgoing;
    outgoing->connection->beginConnect(*endpoint);
    return outgoing;
}

std::uint64_t PeerSet::beginCall(NodeId node, CallRequest request, AnswerHandler handler)
{
    const auto id = ++m_lastCallId;
    request.id = id;
    request.clock = m_context.tick().value;
    const auto outgoing = findOrConnect(node);
    const auto frame = outgoing ? outgoing->connection->send(encodeFrame(request)) : 0;
    m_calls[id] = PendingCall{outgoing, frame, std::move(handler)};
    if (frame == 0) {
        asio::post(m_context.io, [this, id] { failCall(id, Outcome::NotRun, Reason::ConnectFailed); });
        return id;
    }
    outgoing->calls.insert(id);
    return id;
}

void PeerSet::cancelCall(std::uint64_t id)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end()) {
        return;
    }
    const auto &call = it->second;
    if (!call.outgoing || call.outgoing->connection->withdraw(call.frameNumber)) {
        failCall(id, Outcome::NotRun, Reason::Cancelled);
        return;
    }
    call.outgoing->connection->send(encodeFrame(CallCancel{.id = id}));
    failCall(id, Outcome::Unknown, Reason::Cancelled);
}

PeerSet::PendingCall PeerSet::takeCall(std::uint64_t id)
{
    const auto it = m_calls.find(id);
    auto call = std::move(it->second);
    m_calls.erase(it);
    if (call.outgoing) {
        call.outgoing->calls.erase(id);
        if (call.outgoing->calls.empty() && m_replaced.contains(call.outgoing)) {
            call.outgoing->connection->close(Reason::None);
        }
    }
    return call;
}

void PeerSet::failCall(std::uint64_t id, Outcome outcome, Reason reason)
{
    if (m_calls.contains(id)) {
        const auto call = takeCall(id);
        call.handler(makeFailureAnswer(m_context.settings.name, id, outcome, reason));
    }
}

void PeerSet::onAnswer(std::string_view payload)
{
    auto answer = decodePayload<CallAnswer>(payload);
    if (!answer) {
        return;
    }
    m_context.observeClock(answer->clock);
    // A late or duplicate answer belongs to a call that has already ended.
    if (m_calls.contains(answer->id)) {
        const auto call = takeCall(answer->id);
        call.handler(std::move(*answer));
    }
}

void PeerSet::onOutgoingClosed(const std::shared_ptr<OutgoingConnection> &outgoing, Reason reason)
{
    const auto it = m_outgoing.find(outgoing->node);
    if (it != m_outgoing.end() && it->second == outgoing) {
        m_outgoing.erase(it);
    }
    m_replaced.erase(outgoing);
    if (reason != Reason::None && reason != Reason::Stopping) {
        recordRetiredConnection(outgoing->node, reason);
    }
    const std::vector<std::uint64_t> calls(outgoing->calls.begin(), outgoing->calls.end());
    for (const auto id : calls) {
        const auto call = m_calls.find(id);
        if (call == m_calls.end()) {
            continue;
        }
        const bool mayBeSent = outgoing->connection->mayBeSent(call->second.frameNumber);
        failCall(id, mayBeSent ? Outcome::Unknown : Outcome::NotRun, mayBeSent ? reason : Reason::ConnectFailed);
    }
}

bool PeerSet::sendFrame(NodeId node, std::string frame)
{
    const auto outgoing = findOrConnect(node);
    return outgoing && outgoing->connection->send(std::move(frame)) != 0;
}

bool PeerSet::sendRequest(NodeId node, std::string frame)
{
    const auto outgoing = findOrConnect(node);
    if (!outgoing || outgoing->connection->send(std::move(frame)) == 0) {
        return false;
    }
    outgoing->connection->probe();
    return true;
}

bool PeerSet::sendReply(const FrameSource &to, std::string frame)
{
    return to.connection->send(std::move(frame)) != 0;
}

void PeerSet::probeAll()
{
    for (const auto &[node, it] : m_outgoing) {
        it->connection->probe();
    }
}

void PeerSet::setFrameHandler(FrameType type, FrameHandler handler)
{
    m_frameHandlers.at(static_cast<std::size_t>(type)) = std::move(handler);
}

void PeerSet::setCallHandler(CallHandler begin, CancelHandler cancel)
{
    m_beginCall = std::move(begin);
    m_cancelCall = std::move(cancel);
}

void PeerSet::onIncomingFrame(const std::shared_ptr<IncomingConnection> &incoming, const Frame &frame)
{
    if (frame.type == FrameType::CallRequest) {
        onCallRequest(incoming, frame.payload);
    } else if (frame.type == FrameType::CallCancel) {
        onCallCancel(incoming, frame.payload);
    } else {
        dispatchFrame({incoming->node, incoming->connection}, frame);
    }
}

void PeerSet::dispatchFrame(const FrameSource &from, const Frame &frame)
{
    const auto &handler = m_frameHandlers.at(static_cast<std::size_t>(frame.type));
    if (handler) {
        handler(from, frame.payload);
    }
}

void PeerSet::onCallRequest(const std::shared_ptr<IncomingConnection> &incoming, std::string_view payload)
{
    auto request = decodePayload<CallRequest>(payload);
    if (!request) {
        incoming->connection->close(Reason::MalformedRequest);
        return;
    }
    m_context.observeClock(request->clock);
    const auto id = request->id;
    incoming->calls[id] = 0;
    const auto handlerCallId =
        m_beginCall(std::move(*request), [this, weak = std::weak_ptr<IncomingConnection>(incoming), id](CallAnswer answer) {
            const auto it = weak.lock();
            if (!it) {
                return;
            }
            it->calls.erase(id);
            answer.id = id;
            answer.clock = m_context.tick().value;
            if (answer.node.empty()) {
                answer.node = m_context.settings.name;
            }
            it->connection->send(encodeFrame(answer));
        });
    const auto call = incoming->calls.find(id);
    if (call != incoming->calls.end()) {
        call->second = handlerCallId;
    }
}

void PeerSet::onCallCancel(const std::shared_ptr<IncomingConnection> &incoming, std::string_view payload)
{
    const auto cancel = decodePayload<CallCancel>(payload);
    const auto it = cancel ? incoming->calls.find(cancel->id) : incoming->calls.end();
    if (it == incoming->calls.end()) {
        return;
    }
    const auto handlerCallId = it->second;
    m_cancelCall(handlerCallId);
}

void PeerSet::onIncomingClosed(const std::shared_ptr<IncomingConnection> &incoming, Reason reason)
{
    m_incoming.erase(incoming);
    if (reason == Reason::ConnectionSilent) {
        recordRetiredConnection(incoming->node, reason);
    }
    const auto calls = std::exchange(incoming->calls, {});
    for (const auto &[id, handlerCallId] : calls) {
        m_cancelCall(handlerCallId);
    }
}

void PeerSet::recordRetiredConnection(NodeId node, Reason reason)
{
    const auto member = m_context.membership ? m_context.membership->find(node) : nullptr;
    const auto name = member ? member->info.name : std::string();
    m_context.recordEvent(Event{.kind = EventKind::ConnectionRetired, .reason = reason, .subject = name});
    writeLog(LogLevel::Warning, "connection to a peer retired", {{"peer", name}, {"reason", std::string(rowOf(reason).name)}});
}

std::size_t PeerSet::connectionCount() const
{
    return m_outgoing.size() + m_replaced.size() + m_incoming.size();
}

std::size_t PeerSet::incomingCallCount() const
{
    std::size_t n = 0;
    for (const auto &it : m_incoming) {
        n += it->calls.size();
    }
    return n;
}

} // namespace chicoryspar
