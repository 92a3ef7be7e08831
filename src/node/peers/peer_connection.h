#pragma once

/// @file
/// One TCP connection between two nodes: handshake, frames, heartbeats and timeouts.

#include <chicoryspar/wire.h>

#include <deque>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace chicoryspar {

/// Identity that a node presents on all of its connections.
struct PeerIdentity
{
    std::string node;
    /// Start time of the process, in milliseconds since the Unix epoch.
    std::uint64_t boot = 0;
    /// Shared secret as raw bytes; empty when peers aren't authenticated.
    std::string fleetKey;
    /// Returns cryptographically random bytes.
    std::function<std::string()> makeNonce;
};

struct PeerConnectionOptions
{
    Duration connectTimeout = std::chrono::seconds(1);
    Duration handshakeTimeout = std::chrono::seconds(2);
    /// Interval between timeout checks; a heartbeat is sent when nothing arrived for this long while something is outstanding.
    Duration heartbeatInterval = std::chrono::milliseconds(300);
    /// The connection is suspected to be dead when a heartbeat has had no answer for this long.
    Duration probeTimeout = std::chrono::milliseconds(300);
    /// The connection closes with Reason::ConnectionSilent when no byte arrives for this long while something is outstanding, and the peer
    /// takes no further bytes of a long write either.
    Duration silenceTimeout = std::chrono::milliseconds(2000);
    /// Time after which a connection with nothing outstanding closes.
    Duration idleTimeout = std::chrono::seconds(60);
    /// Maximum size of the send queue.
    std::size_t maxQueuedBytes = 32 * 1024 * 1024;
};

/// Authenticated connection to another node. All calls and callbacks run on the thread of the socket's executor.
class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
    /// Events of a connection.
    struct Callbacks
    {
        /// The handshake succeeded; the argument is the name of the other node.
        std::function<void(const std::string &)> onOpen;
        std::function<void(const Frame &)> onFrame;
        /// The connection closed; the argument is the reason. No other callback follows.
        std::function<void(Reason)> onClosed;
        /// Returns whether a call on this connection has no answer yet.
        std::function<bool()> isAwaitingAnswer;
        /// The connection has become suspected. May be empty.
        std::function<void()> onSuspected;
    };

    PeerConnection(boost::asio::ip::tcp::socket socket, PeerIdentity identity, PeerConnectionOptions options, Callbacks callbacks);

    /// Connects to @a endpoint, then starts the handshake.
    void beginConnect(const boost::asio::ip::tcp::endpoint &endpoint);

    /// Starts the handshake on an accepted socket.
    void beginAccepted();

    /// Queues a frame. Nothing is sent before the handshake has succeeded.
    /// @returns a number for mayBeSent() and withdraw(), or 0 when the queue is full or the connection is closed
    std::uint64_t send(std::string frame);

    /// Returns whether any byte of the frame may have been sent.
    bool mayBeSent(std::uint64_t number) const;

    /// Removes a frame from the queue.
    /// @returns false when it may have been sent, or was removed before
    bool withdraw(std::uint64_t number);

    /// Sends a heartbeat at once, unless one is unanswered.
    void probe();

    /// Returns whether the connection may be dead: new frames are better sent over another one. The other node may as well be paused, so
    /// calls in progress keep waiting until the silence timeout.
    bool isSuspected(TimePoint now) const;

    void close(Reason reason);
    bool isOpen() const;

private:
    struct QueuedFrame
    {
        std::uint64_t number = 0;
        std::string bytes;
    };

    void beginHandshake();
    void sendControlFrame(std::string bytes);
    void startWrite();
    void read();
    void handleReceivedFrames();
    void handleHandshake(const Frame &frame);
    bool handleHello(const Frame &frame);
    bool handleProof(const Frame &frame);
    void startTimer();
    void checkSilence();
    void recordSignOfLife(TimePoint now);
    void sendHeartbeat();
    /// Returns when the peer last showed that it works, by sending bytes or by taking those of a long write.
    TimePoint lastSignOfLife() const;
    std::string sign(const std::string &nonce, const std::string &node) const;

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    PeerIdentity m_identity;
    PeerConnectionOptions m_options;
    Callbacks m_callbacks;
    FrameDecoder m_decoder;
    std::vector<char> m_readBuf;
    std::deque<std::string> m_controlQueue;
    std::deque<QueuedFrame> m_queue;
    std::string m_writeBuf;
    std::size_t m_queuedBytes = 0;
    std::uint64_t m_lastFrameNumber = 0;
    std::uint64_t m_firstUnsentNumber = 1;
    std::uint64_t m_heartbeatSequence = 0;
    std::string m_nonce;
    std::string m_peerNode;
    TimePoint m_startedAt{};
    TimePoint m_lastReceivedAt{};
    /// Start of the write in progress, and when the socket last took bytes of it.
    TimePoint m_writeStartedAt{};
    TimePoint m_writeProgressAt{};
    TimePoint m_lastBusyAt{};
    TimePoint m_busySince{};
    TimePoint m_lastCheckAt{};
    /// When the first heartbeat since the last received byte was handed to the socket.
    std::optional<TimePoint> m_probedAt;
    bool m_isHeartbeatQueued = false;
    bool m_isSuspicionReported = false;
    bool m_isConnected = false;
    bool m_isOpen = false;
    bool m_isClosed = false;
    bool m_isWriting = false;
};

} // namespace chicoryspar
