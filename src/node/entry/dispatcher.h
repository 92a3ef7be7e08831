#pragma once

/// @file
/// Chooses an upstream for each attempt at a call, sends it, and repeats it where that is safe and within the budgets.

#include "node/context.h"

#include <unordered_map>

#include <boost/asio/steady_timer.hpp>

namespace chicoryspar {

/// One call to route.
struct RoutedRequest
{
    CallRequest request;
    TimePoint deadline;
    /// True when running it twice does no harm.
    bool isIdempotent = false;
    /// Upstreams on which the call may run; 0 for no bound.
    std::uint32_t maxBackendAttempts = 0;
    /// Hash of service and method: calls of one key use the same services below.
    std::uint64_t methodKey = 0;
    /// Called just before an attempt is written, with its upstream; may complete the request.
    std::function<void(NodeId, CallRequest &)> onDispatch;
};

/// Returns RoutedRequest::methodKey.
std::uint64_t methodKeyOf(std::string_view service, std::string_view method);

/// Routing decisions of one node, with one router for each service.
class Dispatcher
{
public:
    explicit Dispatcher(NodeContext &context);
    ~Dispatcher();

    /// Begins a call.
    /// @returns a number for cancelCall(), 0 when the handler was called already
    std::uint64_t beginCall(RoutedRequest request, AnswerHandler handler);

    /// Ends a call that nobody waits for. The handler is still called, with the outcome that is known here.
    void cancelCall(std::uint64_t id);

    /// Number of calls in progress.
    std::size_t callCount() const;

    /// Takes over the present members and policies.
    void refreshRouters(TimePoint now);

    /// What the router of @a service knows of its upstreams.
    std::vector<CandidateView> explainRoutes(TimePoint now, const std::string &service);

    /// Level below which calls of @a service are refused here at once.
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
    bool reserveRetry(TimePoint now, Call &call, const CallAnswer &answer);
    void scheduleRetry(std::uint64_t id, Call &call, const CallAnswer &answer);
    void finish(std::uint64_t id, CallAnswer answer);
    void refuse(std::uint64_t id, Reason reason, Duration retryAfter);

    NodeContext &m_context;
    RatioBudget m_retryRatio;
    LevelCache m_levelCache;
    std::unordered_map<std::string, std::unique_ptr<Service>> m_services;
    std::unordered_map<std::uint64_t, std::unique_ptr<Call>> m_calls;
    std::uint64_t m_lastCall = 0;
};

} // namespace chicoryspar
