#pragma once

/// @file
/// Calls that must run at most once. As an entry node, queries the record owner of the key; as the record owner, decides on the key; as an
/// executor, keeps track of dispatches.

#include "node/context.h"

#include <chicoryspar/outcome.h>

#include <unordered_map>

#include <boost/asio/steady_timer.hpp>

namespace chicoryspar {

/// A call with an idempotency key, as an entry node receives it.
struct KeyedCall
{
    /// Request with a valid key.
    CallRequest request;
    TimePoint deadline;
    /// The caller states that it hasn't sent this key before.
    bool firstAttempt = false;
};

/// Idempotency key handling of one node in all three roles.
class KeyService
{
public:
    explicit KeyService(NodeContext &context);
    ~KeyService();

    /// Starts to handle messages of other record owners and the periodic timer.
    void start();

    /// Starts a keyed call of a caller. The handler is called once, no later than at the deadline.
    void beginCall(KeyedCall call, AnswerHandler handler);

    /// Handles a call that a node, this one included, sends to this node, keyed or not.
    /// @returns the ticket for GateService::cancelCall(), 0 when there is nothing to cancel
    std::uint64_t serveCall(CallRequest request, AnswerHandler handler);

    /// Starts to hand the key records over to other members before a planned stop.
    void beginLeave();
    /// Returns whether the hand-over has ended, or this node owns no keys.
    bool hasLeft() const;

    /// Number of keyed calls in progress at this entry node.
    std::size_t callCount() const;

    /// Returns the status of the record owner, or nothing when this node owns no keys.
    std::optional<KeyOwnerStatus> status(TimePoint now) const;

private:
    struct EntryCall;
    /// Requests that wait at the record owner for the decision on one key.
    struct PendingKey
    {
        /// Request to dispatch if the record owner decides to run it later.
        CallRequest request;
        std::vector<AnswerHandler> handlers;
        std::uint32_t descendantLevel = 0;
        std::uint16_t retryTokensLeft = 0;
    };

    void queryOwner(std::uint64_t id);
    void queryNode(std::uint64_t id, NodeId node);
    void scheduleQuery(std::uint64_t id);
    void onOwnerAnswer(std::uint64_t id, CallAnswer answer);
    void onDeadline(std::uint64_t id);
    void finish(std::uint64_t id, CallAnswer answer);

    void decideAsOwner(CallRequest request, AnswerHandler handler);
    void dispatch(CallRequest request);
    void onDispatchEnd(const RequestId &key, CallAnswer answer);
    std::uint64_t executeDispatch(CallRequest request, AnswerHandler handler);
    CallAnswer makeAnswer(const KeyDecision &decision) const;

    void onFrame(NodeId from, std::string_view payload);
    void onTick();
    void armTimer();
    void createOwner();
    void updateContacts();
    /// Returns the number of members that must be in contact before the group runs its first key: a majority of the upstreams that the
    /// Service object states, and at least NodeSettings::keyFounders.
    std::size_t founders() const;
    /// Sends the messages and answers the waiting requests that the last call to the record owner produced.
    void flushOwnerOutput();

    NodeContext &m_context;
    boost::asio::steady_timer m_timer;
    std::string m_service;
    std::unique_ptr<KeyOwner> m_owner;
    DispatchGate m_dispatches;
    std::unordered_map<std::uint64_t, std::unique_ptr<EntryCall>> m_calls;
    std::unordered_map<RequestId, PendingKey> m_pendingKeys;
    std::uint64_t m_lastCall = 0;
};

} // namespace chicoryspar
