#pragma once

/// @file
/// Calls that must run at most once: asks their record owner as an entry node, decides as a record owner, and remembers dispatches as an
/// executor.

#include "node/context.h"

#include <chicoryspar/outcome.h>

#include <unordered_map>

#include <boost/asio/steady_timer.hpp>

namespace chicoryspar {

/// A keyed call at its entry node.
struct KeyedCall
{
    /// With a valid key.
    CallRequest request;
    TimePoint deadline;
    /// The caller states that it has sent this key once only.
    bool firstAttempt = false;
};

/// Idempotency keys of one node.
class KeyService
{
public:
    explicit KeyService(NodeContext &context);
    ~KeyService();

    void start();

    /// Begins a keyed call of a caller. The handler is called once, at the deadline at the latest.
    void beginCall(KeyedCall call, AnswerHandler handler);

    /// Takes a call of another node, keyed or not.
    /// @returns a number for GateService::cancelCall(), 0 when there is nothing to cancel
    std::uint64_t serveCall(CallRequest request, AnswerHandler handler);

    /// Hands the records over before a planned stop.
    void beginLeave();
    bool hasLeft() const;

    /// Calls of callers that wait for a record owner.
    std::size_t callCount() const;

    /// Figures of the record owner, or nothing when this node owns no keys.
    std::optional<KeyOwnerStatus> status(TimePoint now) const;

private:
    struct EntryCall;
    /// Who waits for a key at its record owner.
    struct PendingKey
    {
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
    /// Members without which the group doesn't run unseen keys: a majority of the upstreams that the Service states.
    std::size_t founders() const;
    /// Sends the messages and ends the waits that the last call of the record owner brought.
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
