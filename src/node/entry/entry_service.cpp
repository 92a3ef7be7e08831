/// @file
/// Conversion of HTTP requests into calls and of the ends of calls into HTTP responses.

#include "node/entry/entry_service.h"

#include "node/clock.h"
#include "node/customer/customer_limits.h"
#include "node/entry/dispatcher.h"
#include "node/entry/entry_request.h"
#include "node/gate/gate_service.h"
#include "node/http/endpoint.h"
#include "node/keys/key_service.h"
#include "node/log.h"

#include <algorithm>

namespace chicoryspar {
namespace {

constexpr std::uint16_t kStatusOk = 200;
constexpr std::uint16_t kStatusNotFound = 404;
constexpr std::uint16_t kStatusServiceUnavailable = 503;

/// Returns the outcome of a refusal by the entry node. The record owner of a keyed request hasn't been asked for earlier attempts.
Outcome outcomeOfEntryRefusal(const HttpRequest &request, Reason reason)
{
    const bool isKeyed = findHeader(request.headers, "Idempotency-Key").has_value();
    const bool isFirst = findHeader(request.headers, "Chicoryspar-Attempt") == "1";
    return outcomeOfRefusal(reason, isKeyed, isFirst);
}

} // namespace

/// Request handler of one port; passes the port's role on.
class EntryService::PortHandler : public HttpHandler
{
public:
    PortHandler(EntryService &entry, EntryRole role)
        : m_entry(entry)
        , m_role(role)
    {
    }

    std::uint64_t beginRequest(HttpRequest request, Respond respond) override
    {
        return m_entry.beginRequest(m_role, std::move(request), std::move(respond));
    }

    void abandonRequest(std::uint64_t id) override
    {
        m_entry.abandonRequest(id);
    }

    HttpResponse makeRefusalResponse(Reason reason) override
    {
        // The request wasn't read to its end, so it may be a retry under an idempotency key of one that has run. Routes have no keys:
        // there, each attempt is a request of its own.
        const auto outcome = m_entry.m_context.edge.usesRoutes() ? Outcome::NotRun : Outcome::Unknown;
        return m_entry.refuseBeforeCall({.reason = reason, .outcome = outcome});
    }

private:
    EntryService &m_entry;
    EntryRole m_role;
};

EntryService::EntryService(NodeContext &context)
    : m_context(context)
{
    for (std::size_t n = 0; n < m_handlers.size(); ++n) {
        m_handlers.at(n) = std::make_unique<PortHandler>(*this, static_cast<EntryRole>(n));
    }
}

EntryService::~EntryService() = default;

HttpHandler &EntryService::handler(EntryRole role)
{
    return *m_handlers.at(static_cast<std::size_t>(role));
}

std::size_t EntryService::requestCount() const
{
    return m_entries.size();
}

// Start of requests

EntryService::Target EntryService::findTarget(const EntryFields &fields, const HttpRequest &request)
{
    const auto path = pathOf(request.target);
    Target target{.service = fields.service};
    if (m_context.edge.usesRoutes()) {
        const auto *route = m_context.config.findRoute(fields.host, path);
        if (!route || !route->isUsable) {
            target.reason = !route && m_context.config.knowsAllRoutes() ? Reason::UnknownService : Reason::NotConfigured;
            return target;
        }
        target.service = m_routeWeights.pick(*route);
        target.method = MethodSpec{
            .name = route->name, .requestClass = route->requestClass(), .idempotent = route->idempotent, .defaultTimeout = route->timeout};
        target.maxBackendAttempts = route->maxAttempts;
        target.latencyObjective = route->latencyObjective;
        target.priority = route->priority;
        target.isPublic = route->isPublic;
        return target;
    }
    const auto *method = m_context.config.findMethod(fields.service, request.verb, path);
    if (!method) {
        target.reason = m_context.config.size() == 0 ? Reason::NotConfigured : Reason::UnknownService;
        return target;
    }
    target.method = *method;
    target.priority = static_cast<std::uint32_t>(RequestClass::Order) - static_cast<std::uint32_t>(method->requestClass);
    return target;
}

std::optional<GateService::Parent> EntryService::findParent(EntryRole role, const EntryFields &fields) const
{
    const bool mayHaveParent = role == EntryRole::Backend || fields.isParentInferred;
    return mayHaveParent && !fields.parentToken.empty() ? m_context.gate->findParent(fields.parentToken) : std::nullopt;
}

/// Returns why a request without a key is refused. 401 would tell a backend server that goes on with a call which was given up, or which an
/// earlier process of this node sent, that it may not make its calls at all.
Reason EntryService::reasonWithoutKey(TimePoint now, const EntryFields &fields) const
{
    if (fields.parentToken.empty()) {
        return Reason::CustomerUnknown;
    }
    if (m_context.gate->hasAbandoned(now, fields.parentToken)) {
        return Reason::Cancelled;
    }
    return m_context.gate->knowsAllCalls(now) ? Reason::CustomerUnknown : Reason::ParentUnknown;
}

/// Finds out whose request it is. Only a request without a key can be a call of the backend server if its parent was inferred from a field
/// that clients may set as well.
EntryService::Origin EntryService::findOrigin(TimePoint now, EntryRole role, const EntryFields &fields, const Target &target) const
{
    auto parent = findParent(role, fields);
    if (role == EntryRole::Backend && !fields.parentToken.empty() && !parent && !fields.isParentInferred) {
        return {.reason = Reason::Cancelled};
    }
    const bool isBackendCall = parent && (!fields.isParentInferred || !fields.credential);
    if (!m_context.config.requiresCustomers() || isBackendCall) {
        return {.parent = std::move(parent)};
    }
    if (target.isPublic) {
        return {};
    }
    if (!fields.credential) {
        return {.reason = reasonWithoutKey(now, fields)};
    }
    const auto *customer = m_context.config.findCustomerByDigest(*fields.credential);
    const auto reasonIfUnknown = m_context.config.knowsAllKeys() ? Reason::CustomerUnknown : Reason::NotConfigured;
    return {.customer = customer, .reason = customer ? Reason::None : reasonIfUnknown};
}

std::uint64_t EntryService::beginRequest(EntryRole role, HttpRequest request, HttpHandler::Respond respond)
{
    const auto now = steadyNow();
    if (role == EntryRole::Readiness) {
        respond(m_context.edge.isReadinessCheck(request) ? answerReadiness() : HttpResponse{.status = kStatusNotFound});
        return 0;
    }
    if (role == EntryRole::Backend) {
        if (auto notice = m_context.edge.readNotice(request)) {
            respond(handleNotice(std::move(*notice)));
            return 0;
        }
    }
    auto fields = m_context.edge.readEntry(request);
    if (!fields.findings.empty()) {
        respond(refuseBeforeCall({.reason = Reason::MalformedRequest,
                                  .outcome = outcomeOfEntryRefusal(request, Reason::MalformedRequest),
                                  .service = fields.service,
                                  .detail = toString(fields.findings)}));
        return 0;
    }
    const auto target = findTarget(fields, request);
    const auto &method = target.method;
    if (target.reason != Reason::None) {
        respond(refuseBeforeCall({.reason = target.reason,
                                  .outcome = outcomeOfEntryRefusal(request, target.reason),
                                  .service = fields.service,
                                  .target = fields.host + std::string(pathOf(request.target))}));
        return 0;
    }
    if (m_context.edge.usesRoutes()) {
        // The route's timeout, set by the operator, caps the caller's.
        fields.timeout = std::min(fields.timeout.value_or(method.defaultTimeout), method.defaultTimeout);
    }
    auto origin = findOrigin(now, role, fields, target);
    if (origin.reason != Reason::None) {
        respond(refuseBeforeCall({.reason = origin.reason,
                                  .outcome = outcomeOfEntryRefusal(request, origin.reason),
                                  .requestClass = method.requestClass,
                                  .service = target.service,
                                  .detail = origin.reason == Reason::Cancelled ? "the parent call has ended" : "",
                                  .target = fields.host + std::string(pathOf(request.target))}));
        return 0;
    }
    ContextInput input{fields,
                       method,
                       m_context.config,
                       std::move(origin.parent),
                       makeRequestId(wallNow(), m_context.random),
                       m_context.edge.usesRoutes(),
                       origin.customer,
                       target.priority,
                       origin.customer && m_context.customers ? m_context.customers->use(now, origin.customer->name) : 0};
    const auto key = method.once ? checkKeyHeader(findHeader(request.headers, "Idempotency-Key").value_or("")) : KeyCheck{};
    if (!key.isValid()) {
        respond(refuseBeforeCall({.reason = key.reason,
                                  .outcome = outcomeOfEntryRefusal(request, key.reason),
                                  .requestClass = method.requestClass,
                                  .service = target.service}));
        return 0;
    }
    const auto id = ++m_lastEntry;
    const bool isFirstAttempt = findHeader(request.headers, "Chicoryspar-Attempt") == "1";
    if (key.key.isValid()) {
        input.newRoot = key.key;
    }
    CallRequest call;
    call.context = makeContext(now, input);
    call.service = target.service;
    call.caller = input.parent ? input.parent->caller : fields.caller;
    if (!m_context.settings.service.empty()) {
        call.caller = m_context.settings.service;
    }
    call.verb = std::move(request.verb);
    call.target = std::move(request.target);
    call.headers = std::move(request.headers);
    call.body = std::move(request.body);
    m_context.edge.removeReservedHeaders(call.headers);
    if (m_context.config.requiresCustomers()) {
        m_context.edge.removeCustomerHeaders(call.headers);
        call.customer = origin.customer ? origin.customer->name : std::string();
    }
    call.key = key.key;
    call.firstAttempt = isFirstAttempt;
    auto &entry = m_entries[id];
    entry.startedAt = now;
    entry.requestClass = input.parent ? call.context.requestClass : ownClassOf(input);
    entry.root = call.context.root;
    entry.service = call.service;
    entry.requestId = m_context.edge.callToken(call);
    entry.method = method.name;
    entry.latencyObjective = target.latencyObjective;
    entry.respond = std::move(respond);
    if (input.parent) {
        entry.parent = fields.parentToken;
        call.context.retryTokens = m_context.gate->grantTokens(entry.parent, id);
        m_context.gate->addChild(entry.parent, id);
    }
    const auto deadline = now + call.context.remaining;
    beginLimitedCall(now, id, input.customer, std::move(call), target, deadline);
    return m_entries.contains(id) ? id : 0;
}

/// Begins the call once the rate limit of @a customer, if there is one, admits it. The deadline keeps running meanwhile.
void EntryService::beginLimitedCall(TimePoint now, std::uint64_t id, const CustomerSpec *customer, CallRequest request,
                                    const Target &target, TimePoint deadline)
{
    if (!customer || customer->requestsPerSecond <= 0 || !m_context.customers) {
        beginCall(id, m_entries.at(id), std::move(request), target, deadline);
        return;
    }
    auto held = std::make_shared<CallRequest>(std::move(request));
    const auto ticket = m_context.customers->admit(now, *customer, [this, id, held, target, deadline](const RateLimitDecision &decision) {
        const auto it = m_entries.find(id);
        if (it == m_entries.end()) {
            return;
        }
        it->second.limitTicket = 0;
        if (decision.verdict == RateLimitVerdict::Admitted) {
            beginCall(id, it->second, std::move(*held), target, deadline);
        } else {
            refuseLimited(id, Reason::CustomerRateLimit, decision.retryAfter);
        }
    });
    const auto it = m_entries.find(id);
    if (it != m_entries.end()) {
        it->second.limitTicket = ticket;
    }
}

/// Ends a request that the rate limit of its customer refused, or that was cancelled while it waited.
void EntryService::refuseLimited(std::uint64_t id, Reason reason, Duration retryAfter)
{
    const auto &entry = m_entries.at(id);
    m_context.events.countRefusal(entry.service, entry.requestClass, reason, entry.root);
    CallAnswer answer;
    answer.outcome = Outcome::NotRun;
    answer.reason = reason;
    answer.retryAfter = retryAfter;
    answer.node = m_context.settings.name;
    onAnswer(id, std::move(answer));
}

void EntryService::beginCall(std::uint64_t id, Entry &entry, CallRequest request, const Target &target, TimePoint deadline)
{
    auto handler = [this, id](CallAnswer answer) { onAnswer(id, std::move(answer)); };
    const auto &method = target.method;
    if (method.once) {
        const bool isFirst = request.firstAttempt;
        m_context.keys->beginCall({.request = std::move(request), .deadline = deadline, .firstAttempt = isFirst}, std::move(handler));
        return;
    }
    RoutedRequest routed;
    routed.request = std::move(request);
    routed.deadline = deadline;
    routed.isIdempotent = method.idempotent && !method.once;
    routed.maxBackendAttempts = target.maxBackendAttempts;
    routed.methodKey = methodKeyOf(routed.request.service, method.name);
    if (target.latencyObjective > Duration{0}) {
        routed.objective = m_entries.at(id).startedAt + target.latencyObjective;
    }
    const auto callId = m_context.dispatcher->beginCall(std::move(routed), std::move(handler));
    if (m_entries.contains(id)) {
        entry.callId = callId;
    }
}

HttpResponse EntryService::handleNotice(BackendNotice notice)
{
    const auto now = steadyNow();
    auto &it = notice.announcement;
    if (notice.kind == NoticeKind::Announcement && !it.address.empty() && !parseEndpoint(it.address)) {
        notice.findings.push_back({"address", "expected ip:port, got '" + it.address + "'"});
    }
    auto response = m_context.edge.answerNotice(
        {.node = m_context.settings.name, .isConfigured = m_context.config.size() > 0, .findings = notice.findings});
    if (!notice.findings.empty()) {
        writeLog(LogLevel::Warning, "rejected a malformed notice of the backend server", {{"findings", toString(notice.findings)}});
    } else if (notice.kind == NoticeKind::Departure) {
        m_context.gate->applyDeparture(now, it.instance);
    } else {
        m_context.gate->applyAnnouncement(now, std::move(it));
    }
    return response;
}

HttpResponse EntryService::answerReadiness() const
{
    const bool isConfigured = m_context.edge.usesRoutes() ? m_context.config.hasRoutes() : m_context.config.size() > 0;
    return {.status = isConfigured && !m_context.isStopping ? kStatusOk : kStatusServiceUnavailable};
}

// End of requests

void EntryService::onAnswer(std::uint64_t id, CallAnswer answer)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end()) {
        return;
    }
    auto entry = std::move(it->second);
    m_entries.erase(it);
    detachFromParent(entry, id, answer);
    const auto elapsed = steadyNow() - entry.startedAt;
    m_context.metrics.countOutcome(entry.requestClass, answer.outcome, answer.reason, elapsed);
    logOutcome(entry, answer, elapsed);
    const auto respond = std::move(entry.respond);
    if (respond) {
        respond(m_context.edge.makeResponse(entry.root, std::move(answer)));
    }
}

/// Logs a request that failed, was refused or was answered after its latency objective. Rate-limited.
void EntryService::logOutcome(const Entry &entry, const CallAnswer &answer, Duration elapsed) const
{
    const bool isLate = answer.outcome == Outcome::Answer && entry.latencyObjective > Duration{0} && elapsed > entry.latencyObjective;
    if ((answer.outcome == Outcome::Answer && !isLate) || !tryTakeDecisionLogToken()) {
        return;
    }
    writeLog(LogLevel::Info,
             isLate                                  ? "request answered late"
                 : answer.outcome == Outcome::NotRun ? "request refused"
                                                     : "request failed",
             {{"request", entry.requestId},
              {"root", toString(entry.root)},
              {"method", entry.method},
              {"service", entry.service},
              {"class", std::string(rowOf(entry.requestClass).name)},
              {"outcome", std::string(rowOf(answer.outcome).name)},
              {"reason", std::string(rowOf(answer.reason).name)},
              {"by", answer.node},
              {"isChild", entry.parent.empty() ? "false" : "true"},
              {"levelBelow", std::to_string(answer.levelBelow)},
              {"elapsedMs", std::to_string(toMilliseconds(elapsed))},
              {"backendMs", std::to_string(toMilliseconds(answer.serviceTime))}});
}

void EntryService::detachFromParent(const Entry &entry, std::uint64_t id, const CallAnswer &answer)
{
    if (entry.parent.empty()) {
        return;
    }
    m_context.gate->returnTokens(entry.parent, id, answer.retryTokensLeft);
    m_context.gate->removeChild(entry.parent, id, Level{answer.levelBelow});
}

void EntryService::abandonRequest(std::uint64_t id)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end()) {
        return;
    }
    it->second.respond = nullptr;
    if (it->second.limitTicket != 0) {
        m_context.customers->abandon(it->second.limitTicket);
        refuseLimited(id, Reason::Cancelled, Duration{0});
        return;
    }
    const auto callId = it->second.callId;
    m_context.dispatcher->cancelCall(callId);
}

void EntryService::cancelChild(std::uint64_t id)
{
    const auto it = m_entries.find(id);
    if (it != m_entries.end()) {
        const auto callId = it->second.callId;
        m_context.dispatcher->cancelCall(callId);
    }
}

HttpResponse EntryService::refuseBeforeCall(const Refusal &refusal)
{
    CallAnswer answer;
    answer.outcome = refusal.outcome;
    answer.reason = refusal.reason;
    answer.node = m_context.settings.name;
    answer.body = refusal.detail;
    m_context.metrics.countOutcome(refusal.requestClass, answer.outcome, answer.reason, Duration{0});
    m_context.events.countRefusal(refusal.service, refusal.requestClass, answer.reason, {});
    if (tryTakeDecisionLogToken()) {
        writeLog(LogLevel::Info, "request refused before its call",
                 {{"reason", std::string(rowOf(answer.reason).name)},
                  {"outcome", std::string(rowOf(answer.outcome).name)},
                  {"target", refusal.target},
                  {"service", std::string(refusal.service)},
                  {"detail", refusal.detail}});
    }
    return m_context.edge.makeResponse({}, std::move(answer));
}

} // namespace chicoryspar
