/// @file
/// Admission and execution of calls at the gate of the local backend server.

#include "node/gate/gate_service.h"

#include "node/clock.h"
#include "node/log.h"

#include <algorithm>

namespace chicoryspar {
namespace {

constexpr std::size_t kPollBatch = 64;
/// Percentage of a route's mean service time that is taken as the minimum: with less time left, a call can't be answered by its deadline.
constexpr int kMinServiceTimePercent = 60;
constexpr int kPercent = 100;
/// A leaving backend server serves on for a short time; calls that still wait after this one are refused as not run.
constexpr Duration kMaxWaitAfterLeave = std::chrono::seconds(1);
/// Each answer moves the mean service time of its route by 1 / kServiceTimeSamples of the difference.
constexpr int kServiceTimeSamples = 20;
/// Maximum number of routes whose mean service times are kept.
constexpr std::size_t kMaxRoutes = 256;
/// Number of child calls among which a running call is assumed to divide its retry tokens.
constexpr std::uint16_t kChildTokenSiblings = 2;

std::string makeCallToken(Random &random)
{
    return toString(RequestId{random(), random()});
}

} // namespace

GateService::GateService(NodeContext &context)
    : m_context(context)
    , m_backend(
          context.io,
          BackendClientOptions{
              .correlationId = [&edge = context.edge](const auto &headers) { return edge.correlationId(headers); },
              .isAnswerTo = [&edge = context.edge](const auto &correlation, const auto &it) { return edge.isAnswerTo(correlation, it); },
          })
    , m_gate(steadyNow(), GateOptions{})
    , m_repeats(context)
    , m_timer(context.io)
    , m_pauseWatch(bootNow())
{
}

GateService::~GateService() = default;

// Admission

std::optional<Reason> GateService::refusalReason(const CallRequest &request) const
{
    if (m_context.isStopping) {
        return Reason::Stopping;
    }
    if (m_pauseWatch.isWaking(bootNow())) {
        return Reason::NoUpstream;
    }
    if (m_announcement.service != request.service) {
        return Reason::NoUpstream;
    }
    switch (readiness()) {
    case BackendReadiness::Ready:
        return std::nullopt;
    case BackendReadiness::Draining:
        return Reason::Draining;
    default:
        return Reason::NoUpstream;
    }
}

std::uint64_t GateService::beginCall(CallRequest request, AnswerHandler handler)
{
    const auto now = steadyNow();
    if (request.knownBackend) {
        adoptKnownBackend(now, *request.knownBackend);
    }
    if (const auto reason = refusalReason(request)) {
        CallAnswer answer;
        answer.backend = backendState();
        answer.outcome = Outcome::NotRun;
        answer.reason = *reason;
        answer.node = m_context.settings.name;
        answer.retryTokensLeft = request.context.retryTokens;
        answer.tokensReturned = true;
        handler(std::move(answer));
        return 0;
    }
    const auto ticket = ++m_lastTicket;
    auto gateRequest = makeGateRequest(now, ticket, request.context);
    auto &call = m_calls[ticket];
    if (const auto *route = routeOf(request)) {
        call.routeName = route->name;
        gateRequest.objective = now + route->latencyObjective;
    }
    if (const auto mean = m_meanServiceTimes.find(call.routeName); mean != m_meanServiceTimes.end()) {
        gateRequest.minServiceTime = mean->second * kMinServiceTimePercent / kPercent;
    }
    call.workKey = workKeyOf(hashBytes(call.routeName), request.body.size());
    call.expectedWork = m_loadMeter.expectedWork(call.workKey);
    call.budget = RetryBudget(request.context.retryTokens);
    call.deadline = now + request.context.remaining;
    call.offeredAt = now;
    call.request = std::move(request);
    call.handler = std::move(handler);
    const auto decision = m_gate.offer(now, gateRequest);
    if (decision.verdict == GateVerdict::Admitted) {
        dispatch(now, ticket);
    } else if (decision.verdict == GateVerdict::Refused) {
        endUndispatched(now, ticket, decision.reason, decision.retryAfter);
    }
    pollGate(now);
    return m_calls.contains(ticket) ? ticket : 0;
}

void GateService::pollGate(TimePoint now)
{
    std::array<GateDecision, kPollBatch> decisions;
    while (const auto n = m_gate.poll(now, decisions)) {
        for (std::size_t i = 0; i < n; ++i) {
            const auto &it = decisions.at(i);
            if (it.verdict == GateVerdict::Admitted) {
                dispatch(now, it.ticket);
            } else {
                endUndispatched(now, it.ticket, it.reason, it.retryAfter);
            }
        }
    }
    recordGateChanges();
    armTimer();
}

void GateService::armTimer()
{
    const auto next = m_gate.nextEvent();
    if (next == TimePoint::max()) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_at(std::chrono::steady_clock::time_point(next.time_since_epoch()));
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            pollGate(steadyNow());
        }
    });
}

void GateService::onTick(TimePoint bootTime)
{
    if (const auto pause = m_pauseWatch.onTick(bootTime); pause > Duration{0}) {
        writeLog(LogLevel::Warning, "process was paused; calls are refused until waiting messages are read",
                 {{"pauseMs", std::to_string(toMilliseconds(pause))}});
    }
}

void GateService::refuseWaitingCalls(TimePoint now)
{
    if (!m_leavingSince || now - *m_leavingSince < kMaxWaitAfterLeave) {
        return;
    }
    std::vector<std::uint64_t> waiting;
    for (const auto &[ticket, call] : m_calls) {
        if (call.exchangeId == 0) {
            waiting.push_back(ticket);
        }
    }
    for (const auto ticket : waiting) {
        // The handler of another call may have cancelled this one.
        if (m_calls.contains(ticket)) {
            m_gate.cancel(now, ticket);
            endUndispatched(now, ticket, Reason::Draining, Duration{0});
        }
    }
}

void GateService::endUndispatched(TimePoint now, std::uint64_t ticket, Reason reason, Duration retryAfter)
{
    logRefusal(now, m_calls.at(ticket), reason);
    CallAnswer answer;
    answer.outcome = Outcome::NotRun;
    answer.reason = reason;
    answer.retryAfter = retryAfter;
    finish(ticket, std::move(answer));
}

void GateService::logRefusal(TimePoint now, const Call &call, Reason reason) const
{
    if (reason == Reason::Cancelled || !tryTakeDecisionLogToken()) {
        return;
    }
    const auto state = m_gate.snapshot();
    writeLog(LogLevel::Info, "call refused at the gate",
             {{"request", m_context.edge.callToken(call.request)},
              {"root", toString(call.request.context.root)},
              {"service", call.request.service},
              {"reason", std::string(rowOf(reason).name)},
              {"waitedMs", std::to_string(toMilliseconds(now - call.offeredAt))},
              {"leftMs", std::to_string(toMilliseconds(call.deadline - now))},
              {"limit", std::to_string(state.limit)},
              {"limitReason", std::string(rowOf(state.limitReason).name)},
              {"running", std::to_string(state.inFlight)},
              {"queued", std::to_string(state.queued)},
              {"serviceMs", std::to_string(toMilliseconds(state.serviceTime))},
              {"admissionLevel", std::to_string(state.level.value)}});
}

// Dispatch

void GateService::dispatch(TimePoint, std::uint64_t ticket)
{
    auto &call = m_calls.at(ticket);
    // Reads the clock again, because this process may have been suspended since the admission decision.
    const auto now = steadyNow();
    auto reason = now >= call.deadline ? Reason::DeadlineExpired : Reason::None;
    if (reason == Reason::None && m_pauseWatch.isWaking(bootNow())) {
        // The backend server may have announced its leave during the pause.
        reason = Reason::NoUpstream;
    }
    if (reason == Reason::None && m_leavingSince && now - *m_leavingSince >= kMaxWaitAfterLeave) {
        reason = Reason::Draining;
    }
    if (reason == Reason::None && call.request.dispatchBefore > 0 && wallNow().time_since_epoch().count() >= call.request.dispatchBefore) {
        reason = Reason::DeadlineExpired;
    }
    if (reason == Reason::None && m_dispatchCheck && call.request.key.isValid()) {
        reason = m_dispatchCheck(call.request);
    }
    if (reason == Reason::None) {
        reason = m_repeats.admit(now, call.request.context);
    }
    if (reason != Reason::None) {
        m_gate.cancel(now, ticket);
        endUndispatched(now, ticket, reason, Duration{0});
        return;
    }
    call.dispatchedAt = now;
    call.instance = m_announcement.instance;
    call.token = m_context.edge.callToken(call.request);
    if (call.token.empty() || m_ticketsByToken.contains(call.token)) {
        call.token = makeCallToken(m_context.random);
    }
    m_ticketsByToken[call.token] = ticket;
    auto request = makeBackendRequest(now, call);
    const auto timeout = exchangeTimeout(now, call);
    call.exchangeId =
        m_backend.send(std::move(request), timeout, [this, ticket](BackendResult result) { onResult(ticket, std::move(result)); });
}

Duration GateService::exchangeTimeout(TimePoint now, const Call &call) const
{
    const Duration remaining = call.deadline - now;
    // A keyed call continues past its caller's deadline, so that a retry with the same key gets its answer.
    return call.request.key.isValid() ? std::max(remaining, m_context.settings.keyLifetime) : remaining;
}

HttpRequest GateService::makeBackendRequest(TimePoint now, Call &call) const
{
    HttpRequest request;
    request.verb = call.request.verb;
    request.target = call.request.target;
    request.headers = call.request.headers;
    request.body = call.request.body;
    if (m_context.config.requiresCustomers() || !call.request.customer.empty()) {
        // The sender has removed them if it had this configuration already.
        m_context.edge.removeCustomerHeaders(request.headers);
    }
    const Duration remaining = call.deadline - now;
    m_context.edge.describeCall({.request = call.request,
                                 .instance = m_announcement.instance,
                                 .token = call.token,
                                 .remaining = remaining,
                                 .deadline = wallNow() + remaining},
                                request.headers);
    return request;
}

BackendOutcome GateService::judgeResponse(const Call &call, const HttpResponse &response) const
{
    const auto verdict = m_context.edge.classifyAnswer(response);
    const auto service = m_context.config.findService(call.request.service);
    const bool isRefusal = service
        && std::find(service->notRunStatuses.begin(), service->notRunStatuses.end(), response.status) != service->notRunStatuses.end();
    return verdict.outcome == Outcome::Answer && isRefusal ? BackendOutcome{Outcome::NotRun, Reason::ShedByBackend} : verdict;
}

void GateService::onResult(std::uint64_t ticket, BackendResult result)
{
    const auto it = m_calls.find(ticket);
    if (it == m_calls.end()) {
        return;
    }
    const auto now = steadyNow();
    auto &call = it->second;
    CallAnswer answer;
    answer.outcome = result.outcome;
    answer.reason = result.reason;
    answer.serviceTime = now - call.dispatchedAt;
    auto gateResult = GateResult::Failure;
    if (result.outcome == Outcome::Answer) {
        m_hasAnswered = m_hasAnswered || call.instance == m_announcement.instance;
        applySignals(now, call.instance, m_context.edge.readSignals(result.response));
        const auto verdict = judgeResponse(call, result.response);
        answer.outcome = verdict.outcome;
        answer.reason = verdict.reason;
    }
    if (answer.outcome == Outcome::NotRun && answer.reason == Reason::ShedByBackend) {
        gateResult = GateResult::Shed;
    } else if (answer.outcome == Outcome::Answer) {
        answer.status = result.response.status;
        answer.headers = std::move(result.response.headers);
        answer.body = std::move(result.response.body);
        gateResult = GateResult::Success;
    }
    if (answer.outcome == Outcome::Answer) {
        recordServiceTime(call, answer.serviceTime);
        m_loadMeter.recordService(now, call.workKey, answer.serviceTime, call.childTime);
    }
    if (result.reason == Reason::Cancelled) {
        m_gate.cancel(now, ticket);
    } else {
        m_gate.finish(now, ticket, answer.serviceTime, gateResult);
    }
    finish(ticket, std::move(answer));
    pollGate(now);
}

const RouteSpec *GateService::routeOf(const CallRequest &request) const
{
    return m_context.edge.usesRoutes() ? m_context.config.findRoute(hostOf(request.target, request.headers), pathOf(request.target))
                                       : nullptr;
}

void GateService::recordServiceTime(const Call &call, Duration sample)
{
    if (call.routeName.empty()) {
        return;
    }
    if (m_meanServiceTimes.size() >= kMaxRoutes && !m_meanServiceTimes.contains(call.routeName)) {
        m_meanServiceTimes.clear();
    }
    auto &mean = m_meanServiceTimes.try_emplace(call.routeName, sample).first->second;
    mean += (sample - mean) / kServiceTimeSamples;
}

void GateService::finish(std::uint64_t ticket, CallAnswer answer)
{
    const auto it = m_calls.find(ticket);
    auto call = std::move(it->second);
    m_calls.erase(it);
    m_ticketsByToken.erase(call.token);
    cancelChildren(call);
    if (call.exchangeId != 0 && answer.outcome == Outcome::Unknown) {
        m_abandonedCalls.add(steadyNow(), call.token);
    }
    answer.retryTokensLeft = call.budget.left();
    answer.tokensReturned = true;
    answer.node = m_context.settings.name;
    answer.backend = backendState();
    fillLevels(answer, call.descendantLevel);
    const auto now = steadyNow();
    fillLoad(now, answer);
    m_repeats.report(now, answer);
    if (answer.outcome != Outcome::Answer) {
        m_context.events.countRefusal(call.request.service, call.request.context.requestClass, answer.reason, call.request.context.root);
    }
    call.handler(std::move(answer));
}

void GateService::fillLevels(CallAnswer &answer, Level descendantLevel) const
{
    answer.level = m_gate.level().value;
    answer.levelBelow = descendantLevel.value;
    answer.hasLevels = true;
}

// Cancellation and child calls

void GateService::cancelCall(std::uint64_t ticket)
{
    const auto it = m_calls.find(ticket);
    if (it == m_calls.end()) {
        return;
    }
    auto &call = it->second;
    if (call.exchangeId == 0) {
        const auto now = steadyNow();
        m_gate.cancel(now, ticket);
        endUndispatched(now, ticket, Reason::Cancelled, Duration{0});
        pollGate(now);
        return;
    }
    if (!call.request.key.isValid()) {
        m_backend.cancel(call.exchangeId);
    }
}

void GateService::cancelChildren(const Call &call)
{
    for (const auto it : std::vector<std::uint64_t>(call.children.begin(), call.children.end())) {
        m_cancelChild(it);
    }
}

std::optional<GateService::Parent> GateService::findParent(const std::string &token) const
{
    const auto it = m_ticketsByToken.find(token);
    if (it == m_ticketsByToken.end()) {
        return std::nullopt;
    }
    const auto &call = m_calls.at(it->second);
    return Parent{call.request.context, call.deadline, call.request.caller};
}

bool GateService::hasAbandoned(TimePoint now, std::string_view token) const
{
    return m_abandonedCalls.contains(now, token);
}

bool GateService::knowsAllCalls(TimePoint now) const
{
    // A call ends by the timeout of its route, and a slow backend server runs on for a while.
    const auto earlierCallsEndAt = m_context.startedAt + m_context.config.longestRouteTimeout() + AbandonedCalls::kRetention;
    return now >= earlierCallsEndAt && m_abandonedCalls.isComplete(now);
}

std::uint16_t GateService::grantTokens(const std::string &token, std::uint64_t child)
{
    const auto it = m_ticketsByToken.find(token);
    return it == m_ticketsByToken.end() ? 0 : m_calls.at(it->second).budget.grant(child, kChildTokenSiblings);
}

void GateService::returnTokens(const std::string &token, std::uint64_t child, std::uint16_t left)
{
    const auto it = m_ticketsByToken.find(token);
    if (it != m_ticketsByToken.end()) {
        m_calls.at(it->second).budget.returnTokens(child, left);
    }
}

void GateService::addChild(const std::string &token, std::uint64_t child)
{
    const auto it = m_ticketsByToken.find(token);
    if (it != m_ticketsByToken.end()) {
        auto &call = m_calls.at(it->second);
        if (call.children.empty()) {
            call.childrenSince = steadyNow();
        }
        call.children.insert(child);
    }
}

void GateService::removeChild(const std::string &token, std::uint64_t child, Level descendantLevel)
{
    const auto it = m_ticketsByToken.find(token);
    if (it == m_ticketsByToken.end()) {
        return;
    }
    auto &call = m_calls.at(it->second);
    if (call.children.erase(child) > 0 && call.children.empty()) {
        call.childTime += steadyNow() - call.childrenSince;
    }
    call.descendantLevel =
        std::max(call.descendantLevel, call.request.context.ranksAsRoot ? descendantLevel : levelAtParentDepth(descendantLevel));
}

void GateService::setCancelChild(std::function<void(std::uint64_t)> cancel)
{
    m_cancelChild = std::move(cancel);
}

void GateService::setDispatchCheck(DispatchCheck check)
{
    m_dispatchCheck = std::move(check);
}

} // namespace chicoryspar
