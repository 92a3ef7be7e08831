#pragma once

/// @file
/// The last hop: admits calls to the backend server on this host, runs them and states how they ended.

#include "node/context.h"
#include "node/gate/backend_client.h"

#include <deque>
#include <unordered_map>
#include <unordered_set>

#include <boost/asio/steady_timer.hpp>

namespace chicoryspar {

/// Decides and runs the calls that reach the backend server beside this node.
class GateService
{
public:
    /// A call that the backend server runs, as seen by the calls that it makes meanwhile.
    struct Parent
    {
        CallContext context;
        TimePoint deadline;
        std::string caller;
    };

    /// Proof, just before dispatch, that a keyed call may start: None, or the reason why it must not.
    using DispatchCheck = std::function<Reason(const CallRequest &)>;

    explicit GateService(NodeContext &context);
    ~GateService();

    /// Decides on a call and runs it if admitted.
    /// @returns a number for cancelCall(), 0 when the handler was called already
    std::uint64_t beginCall(CallRequest request, AnswerHandler handler);

    /// Ends a call that nobody waits for. A keyed call that was dispatched goes on, so that its answer can be kept.
    void cancelCall(std::uint64_t ticket);

    /// Takes an announcement of the backend server, unless it is older than what is known.
    void announce(TimePoint now, Announcement announcement);

    /// The backend server of this instance ends: no new work from now on.
    void depart(TimePoint now, const std::string &instance);

    /// Begins or ends the refusal of new work by an operator.
    void setDrained(TimePoint now, bool isDrained);
    bool isDrained() const;

    void setDispatchCheck(DispatchCheck check);

    /// Finds the call that a backend server's own call belongs to.
    std::optional<Parent> findParent(const std::string &token) const;

    /// Takes retry tokens of a running call for one of its own calls.
    std::uint16_t grantTokens(const std::string &token, std::uint64_t child);
    void giveBackTokens(const std::string &token, std::uint64_t child, std::uint16_t left);

    /// Notes a child call, which ends when its parent does.
    void addChild(const std::string &token, std::uint64_t child);
    void removeChild(const std::string &token, std::uint64_t child, Level below);

    /// Sets the function that cancels a child call.
    void setCancelChild(std::function<void(std::uint64_t)> cancel);

    /// Readiness that other nodes are told.
    BackendReadiness readiness() const;
    const Announcement &announcement() const;
    GateSnapshot snapshot() const;
    /// Calls that wait or run.
    std::size_t callCount() const;

    /// Returns what the gate would decide on such a call now.
    GateDecision explain(TimePoint now, const CallContext &callContext) const;

    /// Puts the OverloadPolicy of the announced service in force.
    void applyPolicy(TimePoint now);

    /// Checks the age of the last announcement.
    void checkAnnouncement(TimePoint now);

private:
    struct Call
    {
        CallRequest request;
        AnswerHandler handler;
        RetryBudget budget;
        TimePoint deadline;
        TimePoint offeredAt;
        TimePoint dispatchedAt;
        std::uint64_t exchange = 0;
        std::string token;
        /// Route that the call came by; empty for none.
        std::string method;
        std::unordered_set<std::uint64_t> children;
        Level below;
    };

    std::string methodOf(const CallRequest &request) const;
    void noteServiceTime(const Call &call, Duration sample);
    void confirmInstance(TimePoint now);
    void onConfirmed(TimePoint now, const std::string &instance, const char *how);
    bool isOutdated(const Announcement &announcement) const;
    std::optional<Reason> refusalReason(const CallRequest &request) const;
    void dispatch(TimePoint now, std::uint64_t ticket);
    void logRefusal(TimePoint now, const Call &call, Reason reason) const;
    void endUndispatched(TimePoint now, std::uint64_t ticket, Reason reason, Duration retryAfter);
    void onResult(std::uint64_t ticket, BackendResult result);
    void finish(std::uint64_t ticket, CallAnswer answer);
    void cancelChildren(const Call &call);
    BackendOutcome judge(const Call &call, const HttpResponse &response) const;
    HttpRequest makeBackendRequest(TimePoint now, Call &call) const;
    Duration exchangeTimeout(TimePoint now, const Call &call) const;
    void pollGate(TimePoint now);
    void armTimer();
    void fillLevels(CallAnswer &answer, Level below) const;
    GateOptions gateOptions() const;
    /// Connections that the backend server accepts.
    std::uint64_t connectionLimit() const;
    void recordReadiness(BackendReadiness before);
    void recordChanges();

    NodeContext &m_context;
    BackendClient m_backend;
    Gate m_gate;
    boost::asio::steady_timer m_timer;
    Announcement m_announcement;
    TimePoint m_announcedAt{};
    bool m_isDrained = false;
    /// The announced instance was seen alive by this process: by a health check, or by a second announcement.
    bool m_isConfirmed = false;
    bool m_isChecking = false;
    /// Departed instances, latest last: a late announcement must not bring one back.
    std::deque<Announcement> m_departed;
    DispatchCheck m_dispatchCheck;
    std::function<void(std::uint64_t)> m_cancelChild;
    std::unordered_map<std::uint64_t, Call> m_calls;
    std::unordered_map<std::string, std::uint64_t> m_tokens;
    std::uint64_t m_lastTicket = 0;
    std::unordered_map<std::string, Duration> m_serviceTimes;
    GateSnapshot m_recorded;
    TimePoint m_recordedAt{};
};

} // namespace chicoryspar
