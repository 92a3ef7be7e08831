#pragma once

/// @file
/// Chooses an upstream for each attempt at a call, sends the attempt, and retries where that is safe and within the retry budgets.

#include "node/context.h"
#include "node/entry/entry_levels.h"

#include <unordered_map>

#include <boost/asio/steady_timer.hpp>

namespace chicoryspar {

/// A call to route, with the limits on its retries.
struct RoutedRequest
{
    CallRequest request;
    TimePoint deadline;
    /// Running the call twice has the same effect as running it once, so it may be retried after an unknown outcome.
    bool isIdempotent = false;
    /// Maximum number of attempts that may reach a backend server; 0 for no limit.
    std::uint32_t maxBackendAttempts = 0;
    /// Hash of service and method. Calls with the same key make the same child calls, so they share an entry in the level cache.
    std::uint64_t methodKey = 0;
    /// Time after which the answer is worth less.
    TimePoint objective = TimePoint::max();
    /// Called just before an attempt is sent, with the chosen upstream. May modify the request of this attempt.
    std::function<void(NodeId, CallRequest &)> onDispatch;
};

/// Computes RoutedRequest::methodKey.
std::uint64_t methodKeyOf(std::string_view service, std::string_view method);

/// Runs the outgoing calls of one node, with one router per service. Enforces the retry budgets, and refuses calls early whose rank is
/// below the admission levels that recent answers reported.
class Dispatcher
{
public:
    explicit Dispatcher(NodeContext &context);
    ~Dispatcher();

    /// Starts a call.
    /// @param handler called once with the end of the call
    /// @returns the identifier for cancelCall(), 0 when the handler has been called already
    std::uint64_t beginCall(RoutedRequest request, AnswerHandler handler);

    /// Cancels a call whose result is no longer needed. The handler is still called, with the outcome as far as this node can tell.
    void cancelCall(std::uint64_t id);

    /// Number of calls in progress.
    std::size_t callCount() const;

    /// Updates all routers to the current members and policies.
    void refreshRouters(TimePoint now);

    /// Returns the state of each upstream of @a service as its router has it; empty if this node hasn't called the service.
    std::vector<CandidateView> explainRoutes(TimePoint now, const std::string &service) const;

    /// Returns metrics of the placement of calls in the Prometheus text format; empty where no upstream reports its load.
    std::string renderPlacementMetrics(TimePoint now) const;

    /// Returns the choice that the router of @a service would make now for a root request, without making it.
    RouteDecision previewRoute(TimePoint now, const std::string &service, Rank rank);

    /// Returns the admission level below which this node refuses root requests before routing them.
    /// @param methodKey as in RoutedRequest
    Level entryLevel(TimePoint now, std::uint64_t methodKey) const;

private:
    struct Call;
    struct Service;

    Service &serviceOf(TimePoint now, const std::string &name);
    RatioBudgetOptions retryRatioOptions() const;
    RatioBudget &retryRatioOf(TimePoint now, const Call &call);
    void refreshRouter(TimePoint now, const std::string &name, Service &service);
    void startAttempt(std::uint64_t id);
    bool refuseAtEntry(TimePoint now, std::uint64_t id, Call &call);
    void sendAttempt(TimePoint now, std::uint64_t id, Call &call, NodeId node);
    void onAnswer(std::uint64_t id, std::uint32_t attempt, CallAnswer answer);
    void recordResult(TimePoint now, Call &call, const CallAnswer &answer);
    void recordRepeatTokens(TimePoint now, const Call &call, const CallAnswer &answer);
    void recordBackendState(NodeId node, const CallAnswer &answer);
    /// Returns whether the call is to be tried again, and takes the retry from the budgets if it counts against them.
    bool reserveRetry(TimePoint now, Call &call, const CallAnswer &answer);
    /// Takes the retry from the budgets of this node and of the call.
    bool takeOwnRetry(TimePoint now, Call &call);
    void scheduleRetry(std::uint64_t id, Call &call, const CallAnswer &answer);
    void finishFailed(std::uint64_t id, const Call &call, CallAnswer answer);
    void finish(std::uint64_t id, CallAnswer answer);
    void refuse(std::uint64_t id, Reason reason, Duration retryAfter);
    /// Returns the delay to state with a refusal by this node.
    /// @param retryAfter delay without a return schedule
    Duration returnDelay(TimePoint now, const Call &call, Reason reason, Duration retryAfter);

    NodeContext &m_context;
    /// Retry budget of the whole node, used when the settings have no bound by service.
    RatioBudget m_retryRatio;
    EntryLevels m_levels;
    /// What the backend server of each node stated last, if it limits its requests or leaves.
    std::unordered_map<NodeId, BackendState> m_knownBackends;
    std::unordered_map<std::string, std::unique_ptr<Service>> m_services;
    std::unordered_map<std::uint64_t, std::unique_ptr<Call>> m_calls;
    std::uint64_t m_lastCall = 0;
};

} // namespace chicoryspar
