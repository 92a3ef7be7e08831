#pragma once

/// @file
/// Turns HTTP requests of callers and of the local backend server into calls, and the ends of calls into HTTP responses.

#include "node/context.h"
#include "node/gate/gate_service.h"
#include "node/http/http_listener.h"

#include <unordered_map>

namespace chicoryspar {

/// Purpose of an HTTP port: requests of callers, requests and notices of the local backend server, or readiness checks.
enum class EntryRole : std::uint8_t {
    Callers,
    Backend,
    Readiness,
    Count,
};

/// Handles the requests of the caller, backend and readiness ports.
class EntryService
{
public:
    explicit EntryService(NodeContext &context);
    ~EntryService();

    /// Returns the request handler of the port with this role.
    HttpHandler &handler(EntryRole role);

    /// Cancels a call of the local backend server whose parent call has ended.
    void cancelChild(std::uint64_t id);

    /// Number of requests in progress.
    std::size_t requestCount() const;

private:
    class PortHandler;
    struct Entry
    {
        TimePoint startedAt;
        RequestClass requestClass = RequestClass::Lookup;
        RequestId root;
        std::string service;
        /// Token of the parent call; empty for requests of callers.
        std::string parent;
        /// Identifier that the caller gave the request; empty when there is none.
        std::string requestId;
        std::string method;
        /// Answers that take longer count as late; zero for no objective.
        Duration latencyObjective{0};
        HttpHandler::Respond respond;
        /// Identifier for Dispatcher::cancelCall(); 0 for keyed calls.
        std::uint64_t callId = 0;
        /// Ticket of a request that waits for the rate limit of its customer; 0 for none.
        std::uint64_t limitTicket = 0;
        bool isKeyed = false;
    };

    /// Service and method of a request, or the reason why none was found.
    struct Target
    {
        std::string service;
        MethodSpec method;
        /// As RoutedRequest::maxBackendAttempts.
        std::uint32_t maxBackendAttempts = 0;
        Duration latencyObjective{0};
        /// As RouteSpec::priority.
        std::uint32_t priority = 0;
        /// Requests need no key of a customer.
        bool isPublic = false;
        Reason reason = Reason::None;
    };

    /// Whose request it is: a customer's, a call of the local backend server, or neither.
    struct Origin
    {
        const CustomerSpec *customer = nullptr;
        std::optional<GateService::Parent> parent;
        /// None, or the reason for refusing the request.
        Reason reason = Reason::None;
    };

    std::uint64_t beginRequest(EntryRole role, HttpRequest request, HttpHandler::Respond respond);
    void abandonRequest(std::uint64_t id);
    void beginLimitedCall(TimePoint now, std::uint64_t id, const CustomerSpec *customer, CallRequest request, const Target &target,
                          TimePoint deadline);
    void refuseLimited(std::uint64_t id, Reason reason, Duration retryAfter);
    void beginCall(std::uint64_t id, Entry &entry, CallRequest request, const Target &target, TimePoint deadline);
    void onAnswer(std::uint64_t id, CallAnswer answer);
    void logOutcome(const Entry &entry, const CallAnswer &answer, Duration elapsed) const;
    void detachFromParent(const Entry &entry, std::uint64_t id, const CallAnswer &answer);
    /// A refusal before a call was started.
    struct Refusal
    {
        Reason reason = Reason::None;
        /// NotRun, or Unknown when an earlier attempt with the same key may have run.
        Outcome outcome = Outcome::NotRun;
        RequestClass requestClass = RequestClass::Lookup;
        std::string_view service;
        std::string detail;
        /// Host and path of the request, for the log; empty if they weren't read.
        std::string target;
    };

    HttpResponse refuseBeforeCall(const Refusal &refusal);
    HttpResponse handleNotice(BackendNotice notice);
    HttpResponse answerReadiness() const;
    Target findTarget(const EntryFields &fields, const HttpRequest &request);
    std::optional<GateService::Parent> findParent(EntryRole role, const EntryFields &fields) const;
    Reason reasonWithoutKey(TimePoint now, const EntryFields &fields) const;
    Origin findOrigin(TimePoint now, EntryRole role, const EntryFields &fields, const Target &target) const;

    NodeContext &m_context;
    std::array<std::unique_ptr<PortHandler>, static_cast<std::size_t>(EntryRole::Count)> m_handlers;
    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::uint64_t m_lastEntry = 0;
    WeightedRoundRobin m_routeWeights;
};

} // namespace chicoryspar
