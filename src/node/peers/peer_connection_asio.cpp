/// @file
/// TCP connection between two nodes on Boost.Asio.

#include "node/peers/peer_connection.h"

#include "node/clock.h"
#include "node/peers/signature.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace chicoryspar {

namespace asio = boost::asio;
using boost::asio::ip::tcp;

namespace {

/// Kept small: a node may have a connection to and one from every other node, and each has a buffer of this size.
constexpr std::size_t kReadBufferBytes = 8 * 1024;
/// A write takes no further frame once it has this size.
constexpr std::size_t kMaxWriteBytes = 64 * 1024;
constexpr std::size_t kMaxHandshakeBytes = 4096;

} // namespace

PeerConnection::PeerConnection(tcp::socket socket, PeerIdentity identity, PeerConnectionOptions options, Callbacks callbacks)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_identity(std::move(identity))
    , m_options(options)
    , m_callbacks(std::move(callbacks))
    , m_decoder(kMaxFrameBytes)
    , m_readBuf(kReadBufferBytes)
    , m_startedAt(steadyNow())
    , m_lastReceivedAt(m_startedAt)
    , m_lastBusyAt(m_startedAt)
    , m_lastCheckAt(m_startedAt)
{
}

void PeerConnection::beginConnect(const tcp::endpoint &endpoint)
{
    startTimer();
    m_socket.async_connect(endpoint, [self = shared_from_this()](boost::system::error_code ec) {
        if (ec) {
            self->close(Reason::ConnectFailed);
            return;
        }
        self->beginHandshake();
    });
}

void PeerConnection::beginAccepted()
{
    startTimer();
    beginHandshake();
}

void PeerConnection::beginHandshake()
{
    if (m_isClosed) {
        return;
    }
    boost::system::error_code ec;
    m_socket.set_option(tcp::no_delay(true), ec);
    m_isConnected = true;
    m_lastReceivedAt = steadyNow();
    m_nonce = m_identity.makeNonce();
    sendControlFrame(encodeFrame(Hello{.version = kWireVersion, .node = m_identity.node, .boot = m_identity.boot, .nonce = m_nonce}));
    read();
}

void PeerConnection::sendControlFrame(std::string bytes)
{
    m_controlQueue.push_back(std::move(bytes));
    startWrite();
}

std::uint64_t PeerConnection::send(std::string frame)
{
    if (m_isClosed || m_queuedBytes + frame.size() > m_options.maxQueuedBytes) {
        return 0;
    }
    m_queuedBytes += frame.size();
    m_queue.push_back({++m_lastFrameNumber, std::move(frame)});
    startWrite();
    return m_lastFrameNumber;
}

bool PeerConnection::mayBeSent(std::uint64_t number) const
{
    return number < m_firstUnsentNumber;
}

bool PeerConnection::withdraw(std::uint64_t number)
{
    const auto it = std::find_if(m_queue.begin(), m_queue.end(), [number](const QueuedFrame &frame) { return frame.number == number; });
    if (it == m_queue.end()) {
        return false;
    }
    m_queuedBytes -= it->bytes.size();
    m_queue.erase(it);
    return true;
}

void PeerConnection::startWrite()
{
    if (m_isWriting || m_isClosed || !m_isConnected) {
        return;
    }
    m_writeBuf.clear();
    for (auto &it : m_controlQueue) {
        m_writeBuf += it;
    }
    m_controlQueue.clear();
    while (m_isOpen && !m_queue.empty() && m_writeBuf.size() < kMaxWriteBytes) {
        m_writeBuf += m_queue.front().bytes;
        m_queuedBytes -= m_queue.front().bytes.size();
        m_firstUnsentNumber = m_queue.front().number + 1;
        m_queue.pop_front();
    }
    if (m_writeBuf.empty()) {
        return;
    }
    m_isWriting = true;
    m_writeStartedAt = steadyNow();
    if (std::exchange(m_isHeartbeatQueued, false)) {
        // Counts from here: the heartbeat may have waited for the end of a long write.
        m_probedAt = m_probedAt.value_or(m_writeStartedAt);
    }
    const auto recordProgress = [self = shared_from_this()](boost::system::error_code ec, std::size_t written) {
        self->m_writeProgressAt = steadyNow();
        return ec ? 0 : self->m_writeBuf.size() - written;
    };
    asio::async_write(m_socket, asio::buffer(m_writeBuf), recordProgress,
                      [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
                          self->m_isWriting = false;
                          if (ec) {
                              self->close(Reason::ConnectionLost);
                              return;
                          }
                          self->startWrite();
                      });
}

void PeerConnection::read()
{
    m_socket.async_read_some(asio::buffer(m_readBuf), [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
        if (self->m_isClosed) {
            return;
        }
        if (ec) {
            self->close(Reason::ConnectionLost);
            return;
        }
        self->recordSignOfLife(steadyNow());
        self->m_decoder.append({self->m_readBuf.data(), n});
        self->handleReceivedFrames();
        if (!self->m_isClosed) {
            self->read();
        }
    });
}

void PeerConnection::handleReceivedFrames()
{
    while (!m_isClosed) {
        if (!m_isOpen && m_decoder.heldBytes() > kMaxHandshakeBytes && m_peerNode.empty()) {
            close(Reason::MalformedRequest);
            return;
        }
        const auto frame = m_decoder.next();
        if (!frame) {
            break;
        }
        if (!m_isOpen) {
            handleHandshake(*frame);
        } else if (frame->type == FrameType::Heartbeat) {
            const auto heartbeat = decodePayload<Heartbeat>(frame->payload);
            sendControlFrame(encodeFrame(HeartbeatReply{.sequence = heartbeat ? heartbeat->sequence : 0}));
        } else if (frame->type != FrameType::HeartbeatReply) {
            m_callbacks.onFrame(*frame);
        }
    }
    if (m_decoder.error() != FrameError::None) {
        close(Reason::MalformedRequest);
    }
}

void PeerConnection::handleHandshake(const Frame &frame)
{
    const bool isValid = frame.type == FrameType::Hello ? handleHello(frame) : frame.type == FrameType::HelloProof && handleProof(frame);
    if (!isValid) {
        close(Reason::MalformedRequest);
    }
}

bool PeerConnection::handleHello(const Frame &frame)
{
    const auto hello = decodePayload<Hello>(frame.payload);
    if (!hello || hello->version != kWireVersion || hello->node.empty() || !m_peerNode.empty()) {
        return false;
    }
    m_peerNode = hello->node;
    sendControlFrame(encodeFrame(HelloProof{.signature = sign(hello->nonce, m_identity.node)}));
    return true;
}

bool PeerConnection::handleProof(const Frame &frame)
{
    const auto proof = decodePayload<HelloProof>(frame.payload);
    const auto expected = sign(m_nonce, m_peerNode);
    if (!proof || m_peerNode.empty() || !equalSignatures(proof->signature, expected)) {
        return false;
    }
    m_isOpen = true;
    m_callbacks.onOpen(m_peerNode);
    startWrite();
    return true;
}

std::string PeerConnection::sign(const std::string &nonce, const std::string &node) const
{
    if (m_identity.fleetKey.empty()) {
        return {};
    }
    return signBytes(m_identity.fleetKey, nonce + node);
}

void PeerConnection::startTimer()
{
    m_timer.expires_after(m_options.heartbeatInterval);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
        const auto self = weak.lock();
        if (!ec && self && !self->m_isClosed) {
            self->checkSilence();
        }
    });
}

TimePoint PeerConnection::lastSignOfLife() const
{
    // The socket takes the bytes of a short write also when the peer is gone.
    const bool isLongWrite = m_isWriting && m_writeProgressAt - m_writeStartedAt >= m_options.heartbeatInterval;
    return isLongWrite ? std::max(m_lastReceivedAt, m_writeProgressAt) : m_lastReceivedAt;
}

void PeerConnection::checkSilence()
{
    const auto now = steadyNow();
    if (now - m_lastCheckAt > m_options.silenceTimeout) {
        // This process was paused: bytes that the peer sent meanwhile may still be unread in the socket.
        recordSignOfLife(now);
    }
    m_lastCheckAt = now;
    if (!m_isConnected && now - m_startedAt > m_options.connectTimeout) {
        close(Reason::ConnectFailed);
        return;
    }
    if (!m_isOpen && now - m_startedAt > m_options.handshakeTimeout) {
        close(Reason::ConnectFailed);
        return;
    }
    const bool isBusy = m_isWriting || !m_queue.empty() || m_callbacks.isAwaitingAnswer();
    if (!isBusy) {
        // The silence timeout starts when the connection becomes busy, not at the last byte before.
        m_busySince = now;
    } else {
        m_lastBusyAt = now;
    }
    if (m_isOpen && isBusy && now - std::max(lastSignOfLife(), m_busySince) > m_options.silenceTimeout) {
        close(Reason::ConnectionSilent);
        return;
    }
    if (m_isOpen && now - m_lastBusyAt > m_options.idleTimeout && now - m_lastReceivedAt > m_options.idleTimeout) {
        close(Reason::None);
        return;
    }
    if (isSuspected(now) && !std::exchange(m_isSuspicionReported, true) && m_callbacks.onSuspected) {
        m_callbacks.onSuspected();
    }
    if (isBusy && now - m_lastReceivedAt > m_options.heartbeatInterval) {
        sendHeartbeat();
    }
    startTimer();
}

void PeerConnection::recordSignOfLife(TimePoint now)
{
    m_lastReceivedAt = now;
    m_probedAt.reset();
    m_isSuspicionReported = false;
}

void PeerConnection::sendHeartbeat()
{
    if (m_isOpen) {
        m_isHeartbeatQueued = true;
        sendControlFrame(encodeFrame(Heartbeat{.sequence = ++m_heartbeatSequence}));
    }
}

void PeerConnection::probe()
{
    if (!m_probedAt && !m_isHeartbeatQueued) {
        sendHeartbeat();
    }
}

bool PeerConnection::isSuspected(TimePoint now) const
{
    return m_isOpen && m_probedAt && now - std::max(*m_probedAt, lastSignOfLife()) > m_options.probeTimeout;
}

void PeerConnection::close(Reason reason)
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    m_isOpen = false;
    m_timer.cancel();
    boost::system::error_code ec;
    m_socket.shutdown(tcp::socket::shutdown_both, ec);
    m_socket.close(ec);
    const auto self = shared_from_this();
    if (m_callbacks.onClosed) {
        m_callbacks.onClosed(reason);
    }
    // close() may have been called from one of the callbacks, so they are destroyed later.
    asio::post(m_socket.get_executor(), [self] { self->m_callbacks = {}; });
}

bool PeerConnection::isOpen() const
{
    return m_isOpen;
}

} // namespace chicoryspar
