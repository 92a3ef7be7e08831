/// @file
/// Routing, attempts and retries of calls.

#include "node/entry/dispatcher.h"

#include "node/clock.h"
#include "node/entry/placement.h"
#include "node/gate/gate_service.h"
#include "node/keys/key_service.h"
#include "node/peers/peer_set.h"

#include <algorithm>
#include <unordered_set>

#include <boost/asio/post.hpp>

namespace chicoryspar {
namespace {

std::uint32_t hashName(std::string_view name)
{
    return static_cast<std::uint32_t>(hashBytes(name));
}

/// With a route table an entry node sees few requests of each route. A level must therefore stay valid until the next answer, and the
/// probes of all entry nodes together must stay a small fraction of the traffic.
constexpr LevelCacheOptions kRouteLevelCacheOptions{
    .expiry = std::chrono::seconds(3), .orderExpiry = std::chrono::seconds(1), .probeInterval = std::chrono::seconds(1), .weight = 0.2};

/// Number of services in a chain of calls that may each retry: one more than the longest chain in known deployments.
constexpr double kMaxRetryingServices = 5;
/// Fraction of the deployment's extra retries that its nodes divide. The rest covers restarted nodes, which start with a full budget.
constexpr double kDividedExtraFraction = 0.8;
constexpr double kPercent = 100;
/// Percentage of the time until the objective after which a refused request may return; the rest is for the service.
constexpr int kTimelyPercent = 75;

/// Number of nodes of whose backend servers something is kept, from which those that have gone are dropped.
constexpr std::size_t kMaxKnownBackends = 1024;

/// Maximum number of attempts at a call of a route when the last one didn't reach a backend server.
constexpr std::uint32_t kMaxAttemptsBeforeBackend = 6;

/// Returns whether the attempt that ended with @a answer may have reached a backend server.
bool hasReachedBackend(const CallAnswer &answer)
{
    return answer.outcome != Outcome::NotRun || answer.reason == Reason::ShedByBackend;
}

Candidate toCandidate(const MemberInfo &info)
{
    return Candidate{.node = info.id,
                     .zone = hashName(info.zone),
                     .region = hashName(info.region),
                     .slots = std::max<std::uint32_t>(info.slots, 1),
                     .ready = info.readiness == BackendReadiness::Ready};
}

} // namespace

std::uint64_t methodKeyOf(std::string_view service, std::string_view method)
{
    return hashBytes(method, hashBytes(service));
}

/// Router and retry budget of one service.
struct Dispatcher::Service
{
    Router router;
    /// Retry budget of this node for the service, used when the settings bound retries by service.
    RatioBudget retryRatio;
    /// Ready upstreams.
    std::uint32_t readyGates = 0;
    /// The last gate that answered bounds the repeats that it dispatches.
    bool gatesBoundRepeats = false;
    /// Gates whose last answer reported no tokens, so that they may not bound repeats.
    std::unordered_set<NodeId> unboundGates{};
    /// Expected work of requests, learned where answers report the pace at which they were served.
    WorkEstimator work;
};

/// A call in progress and the state of its attempts.
struct Dispatcher::Call
{
    explicit Call(boost::asio::io_context &io)
        : timer(io)
    {
    }

    RoutedRequest routed;
    AnswerHandler handler;
    RetryBudget budget;
    std::vector<NodeId> triedNodes;
    boost::asio::steady_timer timer;
    /// Upstream of the last attempt.
    NodeId node;
    /// Identifier for cancelling the last attempt, at the gate of this node or at the peer.
    std::uint64_t attemptCallId = 0;
    TimePoint sentAt;
    /// Expected work of the last attempt.
    Duration expectedWork{0};
    std::uint32_t attempt = 0;
    std::uint32_t retries = 0;
    /// Attempts that may have reached a backend server.
    std::uint32_t backendAttempts = 0;
    /// Reason why the last of these failed.
    Reason backendFailure = Reason::None;
    /// Highest admission level of descendant calls that the answers reported.
    Level descendantLevel;
    bool isAttemptPending = false;
    bool isCancelled = false;
    /// An earlier attempt ended with an unknown outcome, so the call can't end as not run.
    bool mayHaveRun = false;
    /// The retry was left to the budget of the gates and didn't count against that of this node.
    bool isRetryUncounted = false;
};

Dispatcher::Dispatcher(NodeContext &context)
    : m_context(context)
    , m_retryRatio(steadyNow())
    , m_levels(context.edge.usesRoutes() ? kRouteLevelCacheOptions : LevelCacheOptions{})
{
    context.membersChanged.connect([this](TimePoint now) { refreshRouters(now); });
    context.configChanged.connect([this](TimePoint now) { refreshRouters(now); });
}

Dispatcher::~Dispatcher() = default;

// Retry budgets

/// Returns this node's part of the deployment's retry limits at one service. Each service of a call chain may retry, and each retry
/// causes further calls and retries along the rest of the chain, so the ratio is divided by the length of the chain.
RatioBudgetOptions Dispatcher::retryRatioOptions() const
{
    const auto &settings = m_context.settings;
    const auto nodes = static_cast<double>(m_context.membership ? m_context.membership->presentCount() : 1);
    const std::chrono::duration<double> window = settings.fleetRetryWindow;
    const auto extra = static_cast<double>(settings.fleetRetryExtra) * kDividedExtraFraction / nodes;
    return RatioBudgetOptions{.ratioPercent = settings.fleetRetryFraction * kPercent / kMaxRetryingServices,
                              .minRetriesPerSecond = extra / 2 / std::max(window.count(), 1.0),
                              .burst = std::max(1.0, extra / 2)};
}

RatioBudget &Dispatcher::retryRatioOf(TimePoint now, const Call &call)
{
    const bool isByService = m_context.settings.fleetRetryFraction > 0;
    return isByService ? serviceOf(now, call.routed.request.service).retryRatio : m_retryRatio;
}

// Routers

Dispatcher::Service &Dispatcher::serviceOf(TimePoint now, const std::string &name)
{
    auto &service = m_services[name];
    if (!service) {
        service = std::make_unique<Service>(
            Service{.router = Router(now, RouterOptions{}), .retryRatio = RatioBudget(now, retryRatioOptions()), .work = {}});
        refreshRouter(now, name, *service);
    }
    return *service;
}

void Dispatcher::refreshRouters(TimePoint now)
{
    m_levels.setGrouped(m_context.config.requiresCustomers());
    for (auto &[name, service] : m_services) {
        refreshRouter(now, name, *service);
    }
    if (m_context.membership && m_knownBackends.size() > kMaxKnownBackends) {
        std::erase_if(m_knownBackends, [this](const auto &it) { return m_context.membership->find(it.first) == nullptr; });
    }
}

void Dispatcher::refreshRouter(TimePoint now, const std::string &name, Service &service)
{
    const auto &policy = m_context.config.routePolicyOf(name);
    service.router.configure(now,
                             RouterOptions{.zone = hashName(m_context.settings.zone),
                                           .region = hashName(m_context.settings.region),
                                           .crossRegionBytesPerSecond = policy.crossRegionBytesPerSecond,
                                           .spillAtPercent = policy.spillAtPercent,
                                           .ejectSharePercent = policy.ejectSharePercent,
                                           .slowStart = policy.slowStart,
                                           .subsetKey = m_context.self.value});
    std::vector<Candidate> candidates;
    service.readyGates = 0;
    if (m_context.membership) {
        for (const auto it : m_context.membership->members()) {
            if (it->state == MemberState::Alive && it->info.service == name) {
                candidates.push_back(toCandidate(it->info));
                service.readyGates += candidates.back().ready ? 1 : 0;
            }
        }
    }
    service.router.setCandidates(now, candidates);
    service.retryRatio.configure(retryRatioOptions());
    if (m_context.membership) {
        std::erase_if(service.unboundGates, [this](NodeId it) { return m_context.membership->find(it) == nullptr; });
    }
}

std::vector<CandidateView> Dispatcher::explainRoutes(TimePoint now, const std::string &service) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end()) {
        return {};
    }
    std::vector<CandidateView> views(Router::kMaxCandidates);
    views.resize(it->second->router.explain(now, views));
    return views;
}

std::string Dispatcher::renderPlacementMetrics(TimePoint now) const
{
    std::string text;
    for (const auto &[name, service] : m_services) {
        text += renderPlacement(m_context.settings.name, name, service->work, explainRoutes(now, name));
    }
    return text;
}

RouteDecision Dispatcher::previewRoute(TimePoint now, const std::string &service, Rank rank)
{
    auto random = m_context.random;
    return serviceOf(now, service).router.preview(now, random, RouteRequest{.rank = rank});
}

Level Dispatcher::entryLevel(TimePoint now, std::uint64_t methodKey) const
{
    return m_levels.level(now, methodKey);
}

// Calls

std::uint64_t Dispatcher::beginCall(RoutedRequest request, AnswerHandler handler)
{
    const auto id = ++m_lastCall;
    auto call = std::make_unique<Call>(m_context.io);
    call->budget = RetryBudget(request.request.context.retryTokens);
    call->routed = std::move(request);
    call->handler = std::move(handler);
    m_calls[id] = std::move(call);
    const auto now = steadyNow();
    retryRatioOf(now, *m_calls[id]).onFirstAttempt();
    const auto &sent = m_calls[id]->routed.request;
    if (sent.context.depth > 0) {
        m_context.gate->repeats().onChildCall(now, sent.service);
    }
    startAttempt(id);
    return m_calls.contains(id) ? id : 0;
}

bool Dispatcher::refuseAtEntry(TimePoint now, std::uint64_t id, Call &call)
{
    if (now >= call.routed.deadline) {
        refuse(id, Reason::DeadlineExpired, Duration{0});
        return true;
    }
    const auto &request = call.routed.request;
    // Child calls aren't refused here: their root request was admitted, and refusing them would waste the work done for it.
    if (request.context.depth == 0 && !m_levels.admit(now, call.routed.methodKey, makeRank(request.context))) {
        refuse(id, Reason::EntryLevel, Duration{0});
        return true;
    }
    return false;
}

void Dispatcher::startAttempt(std::uint64_t id)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end()) {
        return;
    }
    auto &call = *it->second;
    const auto now = steadyNow();
    if (refuseAtEntry(now, id, call)) {
        return;
    }
    const auto &request = call.routed.request;
    const auto bytes = static_cast<std::uint32_t>(request.body.size());
    auto &service = serviceOf(now, request.service);
    auto &router = service.router;
    call.expectedWork = service.work.expected(workKeyOf(call.routed.methodKey, bytes));
    const auto decision = router.choose(now, m_context.random,
                                        RouteRequest{.rank = makeRank(request.context),
                                                     .bytes = bytes,
                                                     .isRootAdmitted = isRootAdmitted(request.context),
                                                     .isRepeat = service.gatesBoundRepeats && call.backendAttempts > 0,
                                                     .expectedWork = call.expectedWork},
                                        call.triedNodes);
    if (!decision.node.isValid()) {
        refuse(id, decision.refusal, decision.retryAfter);
        return;
    }
    if (call.isRetryUncounted && service.unboundGates.contains(decision.node)) {
        if (!takeOwnRetry(now, call)) {
            // The call ends as its last attempt at a backend server did.
            finishFailed(id, call, CallAnswer{.outcome = Outcome::NotRun, .reason = call.backendFailure, .node = m_context.settings.name});
            return;
        }
        call.isRetryUncounted = false;
    }
    router.onSent(now, decision.node, bytes, call.expectedWork);
    sendAttempt(now, id, call, decision.node);
}

void Dispatcher::sendAttempt(TimePoint now, std::uint64_t id, Call &call, NodeId node)
{
    const auto attempt = ++call.attempt;
    call.node = node;
    call.sentAt = now;
    call.isAttemptPending = true;
    if (call.triedNodes.size() < Router::kMaxCandidates) {
        call.triedNodes.push_back(node);
    }
    auto request = call.routed.request;
    request.context.remaining = call.routed.deadline - now;
    request.context.retryTokens = call.budget.grant(attempt);
    request.context.isRepeat = request.context.isRepeat || call.backendAttempts > 0;
    const auto known = m_knownBackends.find(node);
    request.knownBackend = known == m_knownBackends.end() ? std::nullopt : std::optional(known->second);
    if (call.routed.onDispatch) {
        call.routed.onDispatch(node, request);
    }
    auto handler = [this, id, attempt](CallAnswer answer) { onAnswer(id, attempt, std::move(answer)); };
    if (node == m_context.self) {
        const auto attemptCallId = m_context.keys->serveCall(std::move(request), std::move(handler));
        const auto it = m_calls.find(id);
        if (it != m_calls.end() && it->second->attempt == attempt) {
            it->second->attemptCallId = attemptCallId;
        }
        return;
    }
    call.attemptCallId = m_context.peers->beginCall(node, std::move(request), std::move(handler));
}

void Dispatcher::recordResult(TimePoint now, Call &call, const CallAnswer &answer)
{
    RouteResult result;
    result.rank = makeRank(call.routed.request.context);
    result.latency = now - call.sentAt;
    result.outcome = answer.outcome;
    result.reason = answer.reason;
    result.answerBytes = static_cast<std::uint32_t>(answer.body.size());
    result.isRepeat = call.backendAttempts > 0;
    const auto &service = call.routed.request.service;
    recordBackendState(call.node, answer);
    if (answer.backend) {
        result.rateLimit = answer.backend->rateLimit;
    }
    if (answer.hasLevels) {
        result.level = Level{answer.level};
        call.descendantLevel = std::max(call.descendantLevel, Level{answer.levelBelow});
        m_levels.record(now, call.routed.methodKey, Level{answer.levelBelow}, makeRank(call.routed.request.context));
    }
    auto &target = serviceOf(now, service);
    recordLoad(call.routed, call.expectedWork, answer, target.work, result);
    m_context.hasSeenPace = m_context.hasSeenPace || (answer.load && answer.load->pacePercent > 0);
    target.router.onResult(now, call.node, result);
    recordRepeatTokens(now, call, answer);
    if (answer.tokensReturned) {
        call.budget.returnTokens(call.attempt, answer.retryTokensLeft);
    } else {
        call.budget.forfeitTokens(call.attempt);
    }
}

void Dispatcher::recordRepeatTokens(TimePoint now, const Call &call, const CallAnswer &answer)
{
    if (!answer.hasLevels) {
        return;
    }
    const auto tokens = answer.load ? answer.load->repeatTokens : std::nullopt;
    const auto &name = call.routed.request.service;
    auto &service = serviceOf(now, name);
    service.gatesBoundRepeats = tokens && m_context.settings.repeatsHeldBy != RepeatHolder::Senders;
    if (!tokens) {
        service.unboundGates.insert(call.node);
    } else {
        service.unboundGates.erase(call.node);
        m_context.gate->repeats().onTokens(now, name, *tokens, service.readyGates);
    }
}

/// Keeps what @a answer states about the backend server of @a node. A node that has restarted learns it from the next call.
void Dispatcher::recordBackendState(NodeId node, const CallAnswer &answer)
{
    if (answer.backend) {
        m_knownBackends[node] = *answer.backend;
    } else if (answer.hasLevels) {
        m_knownBackends.erase(node);
    }
}

void Dispatcher::onAnswer(std::uint64_t id, std::uint32_t attempt, CallAnswer answer)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end() || it->second->attempt != attempt || !it->second->isAttemptPending) {
        return;
    }
    auto &call = *it->second;
    const auto now = steadyNow();
    call.isAttemptPending = false;
    recordResult(now, call, answer);
    call.mayHaveRun = call.mayHaveRun || answer.outcome == Outcome::Unknown;
    if (hasReachedBackend(answer)) {
        ++call.backendAttempts;
        call.backendFailure = answer.reason;
    } else if (answer.reason == Reason::RetryBudgetSpent && call.backendAttempts > 0) {
        // The call ends as its last attempt at a backend server did.
        answer.reason = call.backendFailure;
        answer.retryAfter = Duration{0};
        finishFailed(id, call, std::move(answer));
        return;
    }
    if (answer.outcome != Outcome::Answer && reserveRetry(now, call, answer)) {
        scheduleRetry(id, call, answer);
        return;
    }
    finishFailed(id, call, std::move(answer));
}

void Dispatcher::finishFailed(std::uint64_t id, const Call &call, CallAnswer answer)
{
    if (answer.outcome == Outcome::NotRun && call.mayHaveRun) {
        answer.outcome = Outcome::Unknown;
    }
    finish(id, std::move(answer));
}

bool Dispatcher::reserveRetry(TimePoint now, Call &call, const CallAnswer &answer)
{
    if (call.isCancelled || now >= call.routed.deadline || !mayRetry(answer.outcome, answer.reason, call.routed.isIdempotent)) {
        return false;
    }
    if (!hasReachedBackend(answer) && call.routed.maxBackendAttempts > 0) {
        // The attempt didn't reach a backend server, so another one adds no load and doesn't count against the budgets.
        return call.attempt < kMaxAttemptsBeforeBackend;
    }
    if (call.routed.maxBackendAttempts > 0 && call.backendAttempts >= call.routed.maxBackendAttempts) {
        return false;
    }
    if (hasReachedBackend(answer) && serviceOf(now, call.routed.request.service).gatesBoundRepeats) {
        call.isRetryUncounted = call.routed.maxBackendAttempts > 0 || call.attempt < kMaxAttemptsBeforeBackend;
        return call.isRetryUncounted;
    }
    call.isRetryUncounted = false;
    return takeOwnRetry(now, call);
}

bool Dispatcher::takeOwnRetry(TimePoint now, Call &call)
{
    return retryRatioOf(now, call).takeRetry(now) && call.budget.takeRetry();
}

void Dispatcher::scheduleRetry(std::uint64_t id, Call &call, const CallAnswer &answer)
{
    if (!hasReachedBackend(answer) && call.routed.maxBackendAttempts > 0) {
        boost::asio::post(m_context.io, [this, id] { startAttempt(id); });
        return;
    }
    const auto retryAfter = answer.retryAfter;
    const bool isBoundedByGate = hasReachedBackend(answer) && serviceOf(steadyNow(), call.routed.request.service).gatesBoundRepeats;
    if (isBoundedByGate && retryAfter == Duration{0}) {
        // The budget of the gates bounds the retries, so spreading them over time would only cost latency.
        m_context.metrics.countRetry();
        boost::asio::post(m_context.io, [this, id] { startAttempt(id); });
        return;
    }
    const auto &policy = m_context.config.retryPolicyOf(call.routed.request.service);
    const auto delay =
        backoffDelay(m_context.random, BackoffOptions{.base = policy.backoff, .max = policy.maxBackoff}, ++call.retries, retryAfter);
    m_context.metrics.countRetry();
    call.timer.expires_after(delay);
    call.timer.async_wait([this, id](boost::system::error_code ec) {
        if (!ec) {
            startAttempt(id);
        }
    });
}

void Dispatcher::refuse(std::uint64_t id, Reason reason, Duration retryAfter)
{
    const auto &call = *m_calls.at(id);
    CallAnswer answer;
    answer.outcome = call.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    answer.reason = reason;
    answer.retryAfter = returnDelay(steadyNow(), call, reason, retryAfter);
    answer.node = m_context.settings.name;
    const auto &request = call.routed.request;
    m_context.events.countRefusal(request.service, request.context.requestClass, reason, request.context.root);
    finish(id, std::move(answer));
}

Duration Dispatcher::returnDelay(TimePoint now, const Call &call, Reason reason, Duration retryAfter)
{
    const bool isLackOfRoom = reason == Reason::EntryLevel || reason == Reason::LimitReached;
    if (!isLackOfRoom || !m_context.gate->spacesReturns()) {
        return retryAfter;
    }
    const auto &routed = call.routed;
    const auto timely = routed.objective == TimePoint::max() ? Duration::max() : Duration((routed.objective - now) * kTimelyPercent / 100);
    m_levels.onRefusal(now, routed.methodKey);
    return m_levels.returnDelay(now, routed.methodKey, makeRank(routed.request.context), routed.deadline - now, timely);
}

void Dispatcher::finish(std::uint64_t id, CallAnswer answer)
{
    const auto it = m_calls.find(id);
    const auto call = std::move(it->second);
    m_calls.erase(it);
    call->timer.cancel();
    answer.retryTokensLeft = call->budget.left();
    answer.tokensReturned = true;
    const auto now = steadyNow();
    const auto &router = serviceOf(now, call->routed.request.service).router;
    answer.levelBelow = std::max(router.level(now), call->descendantLevel).value;
    call->handler(std::move(answer));
}

void Dispatcher::cancelCall(std::uint64_t id)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end()) {
        return;
    }
    auto &call = *it->second;
    call.isCancelled = true;
    if (!call.isAttemptPending) {
        refuse(id, Reason::Cancelled, Duration{0});
        return;
    }
    if (call.node == m_context.self) {
        m_context.gate->cancelCall(call.attemptCallId);
    } else {
        m_context.peers->cancelCall(call.attemptCallId);
    }
}

std::size_t Dispatcher::callCount() const
{
    return m_calls.size();
}

} // namespace chicoryspar
