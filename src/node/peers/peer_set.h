#pragma once

/// @file
/// Connections to other nodes: calls sent over them, their answers, and frames of other parts.

#include "node/context.h"
#include "node/peers/peer_connection.h"

#include <unordered_map>
#include <unordered_set>

namespace chicoryspar {

/// Outgoing connections by node, and the accepted ones.
class PeerSet
{
public:
    /// Handles a frame of another part that came from an authenticated node.
    using FrameHandler = std::function<void(NodeId from, std::string_view payload)>;
    /// Handles a call that another node sent; the returned number is passed to CancelHandler.
    using CallHandler = std::function<std::uint64_t(CallRequest, AnswerHandler)>;
    using CancelHandler = std::function<void(std::uint64_t)>;

    PeerSet(NodeContext &context, PeerConnectionOptions options = {});
    ~PeerSet();

    /// Opens the peers' port.
    std::error_code start();
    std::uint16_t port() const;

    /// Closes the port and refuses new calls of other nodes as not run; calls in progress are finished.
    void beginStop();

    /// Sends a call.
    /// @returns a number for cancelCall()
    std::uint64_t beginCall(NodeId node, CallRequest request, AnswerHandler handler);

    /// Tells the other node that nobody waits any more. The handler is still called, with the outcome that is known here.
    void cancelCall(std::uint64_t id);

    /// Sends a frame of another part, without an answer.
    /// @returns false when it can't be queued
    bool sendFrame(NodeId node, std::string frame);

    void setFrameHandler(FrameType type, FrameHandler handler);
    void setCallHandler(CallHandler begin, CancelHandler cancel);

    std::size_t connectionCount() const;
    /// Number of calls of other nodes in progress.
    std::size_t incomingCallCount() const;

private:
    struct OutgoingConnection;
    struct IncomingConnection;
    struct PendingCall
    {
        NodeId node;
        std::uint64_t frameNumber = 0;
        AnswerHandler handler;
    };

    void acceptNext();
    void addIncoming(boost::asio::ip::tcp::socket socket);
    std::shared_ptr<OutgoingConnection> findOrConnect(NodeId node);
    PeerIdentity makeIdentity();
    std::string makeNonce();
    void onAnswer(std::string_view payload);
    void onOutgoingClosed(const std::shared_ptr<OutgoingConnection> &outgoing, Reason reason);
    void onIncomingFrame(const std::shared_ptr<IncomingConnection> &incoming, const Frame &frame);
    void onCallRequest(const std::shared_ptr<IncomingConnection> &incoming, std::string_view payload);
    void onCallCancel(const std::shared_ptr<IncomingConnection> &incoming, std::string_view payload);
    void onIncomingClosed(const std::shared_ptr<IncomingConnection> &incoming, Reason reason);
    void dispatchFrame(NodeId from, const Frame &frame);
    void failCall(std::uint64_t id, Outcome outcome, Reason reason);
    void recordRetiredConnection(NodeId node, Reason reason);

    NodeContext &m_context;
    PeerConnectionOptions m_options;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::unordered_map<NodeId, std::shared_ptr<OutgoingConnection>> m_outgoing;
    std::unordered_set<std::shared_ptr<IncomingConnection>> m_incoming;
    std::unordered_map<std::uint64_t, PendingCall> m_calls;
    std::array<FrameHandler, static_cast<std::size_t>(FrameType::Count)> m_frameHandlers;
    CallHandler m_beginCall;
    CancelHandler m_cancelCall;
    std::uint64_t m_lastCallId = 0;
};

} // namespace chicoryspar
