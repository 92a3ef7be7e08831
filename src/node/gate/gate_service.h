#pragma once

/// @file
/// Gate of the backend server on this host: admits calls, runs them and reports their outcome.

#include "node/context.h"
#include "node/gate/abandoned_calls.h"
#include "node/gate/backend_client.h"
#include "node/gate/gate_repeats.h"
#include "overload/pause_watch.h"

#include <deque>
#include <unordered_map>
#include <unordered_set>

#include <boost/asio/steady_timer.hpp>

namespace chicoryspar {

/// Admits, queues or refuses calls to the local backend server, runs the admitted ones and tracks the state of the backend server.
class GateService
{
public:
    /// A call that the backend server is running, as needed for the child calls that it makes.
    struct Parent
    {
        CallContext context;
        TimePoint deadline;
        std::string caller;
    };

    /// Checks just before dispatch whether a keyed call may start.
    /// @returns Reason::None, or the reason for refusing it
    using DispatchCheck = std::function<Reason(const CallRequest &)>;

    explicit GateService(NodeContext &context);
    ~GateService();

    /// Offers a call to the gate and runs it when it is admitted.
    /// @param handler called once with the end of the call
    /// @returns the ticket for cancelCall(), 0 when the handler has been called already
    std::uint64_t beginCall(CallRequest request, AnswerHandler handler);

    /// Cancels a call whose result is no longer needed. A keyed call that has been dispatched runs on, so that its answer can be kept.
    void cancelCall(std::uint64_t ticket);

    /// Applies an announcement of the backend server. Ignores one that is older than the last, or of a departed instance.
    void applyAnnouncement(TimePoint now, Announcement announcement);

    /// Handles the departure of a backend server instance: sets its readiness to draining. Ignored unless @a instance is the announced one.
    void applyDeparture(TimePoint now, const std::string &instance);

    /// Begins or ends a drain by an operator, during which new calls are refused.
    void setDrained(TimePoint now, bool isDrained);
    bool isDrained() const;

    void setDispatchCheck(DispatchCheck check);

    /// Returns the running call with this token, or nothing when it has ended.
    std::optional<Parent> findParent(const std::string &token) const;

    /// Returns whether the call with this token ended a short time ago without an answer, so that the backend server may still run it.
    bool hasAbandoned(TimePoint now, std::string_view token) const;

    /// Returns whether findParent() and hasAbandoned() cover every call that the backend server may run. They don't at first: the backend
    /// server goes on with the calls of an earlier process of this node until their deadlines.
    bool knowsAllCalls(TimePoint now) const;

    /// Takes retry tokens of a running call for one of its child calls.
    /// @param token identifies the running call
    /// @param child identifies the child call; also for returnTokens(), addChild() and removeChild()
    /// @returns the tokens that the child call carries, 0 when the running call has ended
    std::uint16_t grantTokens(const std::string &token, std::uint64_t child);
    void returnTokens(const std::string &token, std::uint64_t child, std::uint16_t left);

    /// Registers a child call, which is cancelled when its parent ends.
    void addChild(const std::string &token, std::uint64_t child);
    /// Removes a child call that has ended.
    /// @param descendantLevel highest admission level reported for the child call and its descendant calls
    void removeChild(const std::string &token, std::uint64_t child, Level descendantLevel);

    /// Sets the function that cancels a child call.
    void setCancelChild(std::function<void(std::uint64_t)> cancel);

    /// Readiness of the backend server as reported to other nodes.
    BackendReadiness readiness() const;
    const Announcement &announcement() const;
    GateSnapshot snapshot() const;
    GateRepeats &repeats();
    const GateRepeats &repeats() const;
    /// As GateRepeats::isBounding().
    bool boundsRepeats() const;
    /// Number of calls that are queued or running.
    std::size_t callCount() const;

    /// Returns the decision that the gate would take on a call with this context, without offering it.
    GateDecision explain(TimePoint now, const CallContext &callContext) const;

    /// Returns whether refusals state an expected time of return instead of a constant, see ReturnScheduleMode.
    bool spacesReturns() const;

    /// Applies the current OverloadPolicy and connection limit of the announced service.
    void applyPolicy(TimePoint now);

    /// Periodic work: expires the last announcement when it is too old, refuses calls that have waited since the backend server left, and
    /// flushes the counted refusals to the events.
    void checkAnnouncement(TimePoint now);

    /// Tells the gate that the process runs; to be called several times a second. After a pause, calls are refused as not run until the
    /// messages that waited in the sockets have been read.
    /// @param bootTime as returned by bootNow()
    void onTick(TimePoint bootTime);

private:
    struct Call
    {
        CallRequest request;
        AnswerHandler handler;
        RetryBudget budget;
        TimePoint deadline;
        TimePoint offeredAt;
        TimePoint dispatchedAt;
        std::uint64_t exchangeId = 0;
        std::string token;
        /// Instance of the backend server to which the call was dispatched.
        std::string instance;
        /// Name of the route in the route table; empty when there is none.
        std::string routeName;
        std::unordered_set<std::uint64_t> children;
        /// Highest admission level reported by child calls that have ended.
        Level descendantLevel;
        /// For the load report, see LoadMeter.
        std::uint64_t workKey = 0;
        Duration expectedWork{0};
        /// Time during which at least one child call was in progress, and the start of the current such period.
        Duration childTime{0};
        TimePoint childrenSince{};
    };

    /// Returns the route of the route table; null when there is none.
    const RouteSpec *routeOf(const CallRequest &request) const;
    /// Returns whether objectives count: customers are configured or the backend server states its pace. Others are served as before.
    bool usesObjectives() const;
    void recordServiceTime(const Call &call, Duration sample);
    void startHealthCheck(TimePoint now);
    void onConfirmed(TimePoint now, const std::string &instance, const char *evidence);
    /// Applies what @a instance stated in an answer.
    void applySignals(TimePoint now, const std::string &instance, const AnswerSignals &signals);
    /// Applies what the sender of a call knows of the backend server, as far as this process hasn't learned it from answers.
    void adoptKnownBackend(TimePoint now, const BackendState &known);
    void setRateLimit(TimePoint now, std::optional<double> rate, const char *source);
    /// Returns what the announced instance has stated, for the senders of calls; nothing if it neither limits its requests nor leaves.
    std::optional<BackendState> backendState() const;
    bool isOutdated(const Announcement &announcement) const;
    std::optional<Reason> refusalReason(const CallRequest &request) const;
    void dispatch(TimePoint now, std::uint64_t ticket);
    void logRefusal(TimePoint now, const Call &call, Reason reason) const;
    /// Refuses the calls that still wait some time after the backend server stated that it leaves.
    void refuseWaitingCalls(TimePoint now);
    void endUndispatched(TimePoint now, std::uint64_t ticket, Reason reason, Duration retryAfter);
    void onResult(std::uint64_t ticket, BackendResult result);
    void finish(std::uint64_t ticket, CallAnswer answer);
    void cancelChildren(const Call &call);
    BackendOutcome judgeResponse(const Call &call, const HttpResponse &response) const;
    HttpRequest makeBackendRequest(TimePoint now, Call &call) const;
    Duration exchangeTimeout(TimePoint now, const Call &call) const;
    void pollGate(TimePoint now);
    void armTimer();
    void fillLevels(CallAnswer &answer, Level descendantLevel) const;
    /// States the outstanding work of this gate, if the backend server states its pace.
    void fillLoad(TimePoint now, CallAnswer &answer);
    /// Returns the sum of the expected remaining work of all calls, from at most kMaxRemainingAge ago.
    Duration remainingWork(TimePoint now);
    GateOptions gateOptions() const;
    /// Returns the limit on connections to the backend server: the smaller of the service's and this node's.
    std::uint64_t connectionLimit() const;
    void recordReadinessChange(BackendReadiness before);
    void recordGateChanges();

    NodeContext &m_context;
    BackendClient m_backend;
    Gate m_gate;
    GateRepeats m_repeats;
    boost::asio::steady_timer m_timer;
    Announcement m_announcement;
    TimePoint m_announcedAt{};
    bool m_isDrained = false;
    PauseWatch m_pauseWatch;
    /// This process has confirmed that the announced instance is running, by a health check or by a second announcement. Set at once
    /// in dialects without a health check.
    bool m_isConfirmed = false;
    bool m_isHealthCheckRunning = false;
    /// Whether a call of this process was answered by the announced instance.
    bool m_hasAnswered = false;
    bool m_hasStatedLeave = false;
    /// usesObjectives() as the gate was last configured.
    bool m_isObjectiveApplied = false;
    /// Since when the announced instance is leaving.
    std::optional<TimePoint> m_leavingSince;
    std::optional<double> m_rateLimit;
    TimePoint m_rateLimitStatedAt{};
    /// Departed instances, latest last. A delayed announcement must not make one of them ready again.
    std::deque<Announcement> m_departedInstances;
    DispatchCheck m_dispatchCheck;
    std::function<void(std::uint64_t)> m_cancelChild;
    std::unordered_map<std::uint64_t, Call> m_calls;
    std::unordered_map<std::string, std::uint64_t> m_ticketsByToken;
    std::uint64_t m_lastTicket = 0;
    AbandonedCalls m_abandonedCalls;
    std::unordered_map<std::string, Duration> m_meanServiceTimes;
    LoadMeter m_loadMeter;
    Duration m_remainingWork{0};
    TimePoint m_remainingWorkAt{};
    /// Snapshot at the last comparison in recordGateChanges().
    GateSnapshot m_recordedSnapshot;
    TimePoint m_recordedAt{};
};

} // namespace chicoryspar
