#pragma once

/// @file
/// Connections to other nodes. Carries calls and their answers, and frames of other components.

#include "node/context.h"
#include "node/peers/peer_connection.h"

#include <unordered_map>
#include <unordered_set>

namespace chicoryspar {

/// Outgoing connections, by node, and accepted connections.
class PeerSet
{
public:
    /// Origin of a frame: an authenticated node, and the connection over which the frame came.
    struct FrameSource
    {
        NodeId node;
        std::shared_ptr<PeerConnection> connection;
    };
    /// Handles a frame of another component.
    using FrameHandler = std::function<void(const FrameSource &from, std::string_view payload)>;
    /// Handles a call received from another node; the returned id is passed to CancelHandler.
    using CallHandler = std::function<std::uint64_t(CallRequest, AnswerHandler)>;
    using CancelHandler = std::function<void(std::uint64_t)>;

    PeerSet(NodeContext &context, PeerConnectionOptions options = {});
    ~PeerSet();

    /// Opens the peers' port and starts to accept connections.
    std::error_code start();
    std::uint16_t port() const;

    /// Closes the port. Open connections stay, so that calls in progress finish; the call handler refuses new calls as not run.
    void beginStop();

    /// Sends a call, connecting to @a node first if necessary.
    /// @param handler called once with the answer, or with the reason of the failure; never before beginCall() returns
    /// @returns an id for cancelCall()
    std::uint64_t beginCall(NodeId node, CallRequest request, AnswerHandler handler);

    /// Cancels a call. Its handler is called at once: with Outcome::NotRun when the request hasn't been sent, else with
    /// Outcome::Unknown, and the other node receives a cancellation.
    void cancelCall(std::uint64_t id);

    /// Sends a frame of another component, for which no answer is expected.
    /// @returns false when the address of @a node is unknown or the send queue is full
    bool sendFrame(NodeId node, std::string frame);

    /// Sends a frame of another component that expects a reply, and a heartbeat, so that a silent connection is suspected soon.
    /// @returns as sendFrame()
    bool sendRequest(NodeId node, std::string frame);

    /// Sends a frame over the connection of the frame that it answers. Another one may be silent without a sign of it.
    bool sendReply(const FrameSource &to, std::string frame);

    /// Sends a heartbeat over every outgoing connection. After one has been found silent, others may be for the same cause.
    void probeAll();

    void setFrameHandler(FrameType type, FrameHandler handler);
    void setCallHandler(CallHandler begin, CancelHandler cancel);

    std::size_t connectionCount() const;
    /// Returns the number of calls from other nodes in progress.
    std::size_t incomingCallCount() const;

private:
    struct OutgoingConnection;
    struct IncomingConnection;
    struct PendingCall
    {
        /// Null when no connection could be opened.
        std::shared_ptr<OutgoingConnection> outgoing;
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
    void dispatchFrame(const FrameSource &from, const Frame &frame);
    /// Removes a call from the calls in progress.
    PendingCall takeCall(std::uint64_t id);
    void failCall(std::uint64_t id, Outcome outcome, Reason reason);
    void recordRetiredConnection(NodeId node, Reason reason);

    NodeContext &m_context;
    PeerConnectionOptions m_options;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::unordered_map<NodeId, std::shared_ptr<OutgoingConnection>> m_outgoing;
    /// Suspected connections beside which another one was opened, until their calls have ended.
    std::unordered_set<std::shared_ptr<OutgoingConnection>> m_replaced;
    std::unordered_set<std::shared_ptr<IncomingConnection>> m_incoming;
    std::unordered_map<std::uint64_t, PendingCall> m_calls;
    std::array<FrameHandler, static_cast<std::size_t>(FrameType::Count)> m_frameHandlers;
    CallHandler m_beginCall;
    CancelHandler m_cancelCall;
    std::uint64_t m_lastCallId = 0;
};

} // namespace chicoryspar
