/// @file
/// Routing, attempts and repeats.

#include "node/entry/dispatcher.h"

#include "node/clock.h"
#include "node/gate/gate_service.h"
#include "node/keys/key_service.h"
#include "node/peers/peer_set.h"

#include <algorithm>

#include <boost/asio/post.hpp>

namespace chicoryspar {
namespace {

std::uint32_t hashName(std::string_view name)
{
    return static_cast<std::uint32_t>(hashBytes(name));
}

/// An entry node of a routed installation sees few requests of each route: what it was told must hold until the next answer, and
/// probes of all entry nodes together must stay a small share of the traffic.
constexpr LevelCacheOptions kRouteLevels{
    .expiry = std::chrono::seconds(3), .orderExpiry = std::chrono::seconds(1), .probeInterval = std::chrono::seconds(1), .weight = 0.2};

/// Services in a row below a request that may each repeat: one more than the longest chain of the installations known.
constexpr double kChainLevels = 5;
/// Part of the extra repeats of an installation that its nodes divide; the rest covers restarts, which begin with a full budget.
constexpr double kExtraShare = 0.8;
constexpr double kPercent = 100;

/// Attempts at a call that no backend server saw.
constexpr std::uint32_t kMaxAttempts = 6;

/// Tells whether a backend server may have seen the attempt that ended with @a answer.
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

/// Router of one service and the upstreams that it was given.
struct Dispatcher::Service
{
    Router router;
    /// Repeats of this node at the service, where the installation bounds them by service.
    RatioBudget repeats;
};

/// One call with its attempts.
struct Dispatcher::Call
{
    explicit Call(boost::asio::io_context &io)
        : timer(io)
    {
    }

    RoutedRequest routed;
    AnswerHandler handler;
    RetryBudget budget;
    std::vector<NodeId> tried;
    boost::asio::steady_timer timer;
    NodeId node;
    std::uint64_t remote = 0;
    TimePoint sentAt;
    std::uint32_t attempt = 0;
    std::uint32_t repeats = 0;
    /// Attempts that may have reached a backend server.
    std::uint32_t runs = 0;
    Level levelBelow;
    bool isPending = false;
    bool isCancelled = false;
    /// True once an attempt may have been run.
    bool mayHaveRun = false;
};

Dispatcher::Dispatcher(NodeContext &context)
    : m_context(context)
    , m_ratio(steadyNow())
    , m_levels(context.edge.usesRoutes() ? kRouteLevels : LevelCacheOptions{})
{
    context.membersChanged.connect([this](TimePoint now) { refreshRouters(now); });
    context.configChanged.connect([this](TimePoint now) { refreshRouters(now); });
}

Dispatcher::~Dispatcher() = default;

// --- Repeats ---------------------------------------------------------------------------------------------------------

/// Share of the installation's bounds that this node may use at one service. Each service of a chain may repeat, and its repeats make
/// those below it repeat too, so that the levels of a chain divide the ratio.
RatioBudgetOptions Dispatcher::repeatOptions() const
{
    const auto &settings = m_context.settings;
    const auto nodes = static_cast<double>(m_context.membership ? m_context.membership->presentCount() : 1);
    const std::chrono::duration<double> window = settings.fleetRetryWindow;
    const auto extra = static_cast<double>(settings.fleetRetryExtra) * kExtraShare / nodes;
    return RatioBudgetOptions{.ratioPercent = settings.fleetRetryShare * kPercent / kChainLevels,
                              .minPerSecond = extra / 2 / std::max(window.count(), 1.0),
                              .burst = std::max(1.0, extra / 2)};
}

RatioBudget &Dispatcher::repeatsOf(TimePoint now, const Call &call)
{
    const bool isByService = m_context.settings.fleetRetryShare > 0;
    return isByService ? serviceOf(now, call.routed.request.service).repeats : m_ratio;
}

// --- Routers ---------------------------------------------------------------------------------------------------------

Dispatcher::Service &Dispatcher::serviceOf(TimePoint now, const std::string &name)
{
    auto &service = m_services[name];
    if (!service) {
        service = std::make_unique<Service>(Service{Router(now, RouterOptions{}), RatioBudget(now, repeatOptions())});
        refreshRouter(now, name, *service);
    }
    return *service;
}

void Dispatcher::refreshRouters(TimePoint now)
{
    for (auto &[name, service] : m_services) {
        refreshRouter(now, name, *service);
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
                                           .slowStart = policy.slowStart});
    std::vector<Candidate> candidates;
    if (m_context.membership) {
        for (const auto it : m_context.membership->members()) {
            if (it->state == MemberState::Alive && it->info.service == name) {
                candidates.push_back(toCandidate(it->info));
            }
        }
    }
    service.router.setCandidates(now, candidates);
    service.repeats.configure(repeatOptions());
}

std::vector<CandidateView> Dispatcher::explainRoutes(TimePoint now, const std::string &service)
{
    std::vector<CandidateView> views(Router::kMaxCandidates);
    views.resize(serviceOf(now, service).router.explain(now, views));
    return views;
}

Level Dispatcher::entryLevel(TimePoint now, std::uint64_t methodKey) const
{
    return m_levels.level(now, methodKey);
}

// --- Calls -----------------------------------------------------------------------------------------------------------

std::uint64_t Dispatcher::beginCall(RoutedRequest request, AnswerHandler handler)
{
    const auto id = ++m_lastCall;
    auto call = std::make_unique<Call>(m_context.io);
    call->budget = RetryBudget(request.request.context.retryTokens);
    call->routed = std::move(request);
    call->handler = std::move(handler);
    m_calls[id] = std::move(call);
    repeatsOf(steadyNow(), *m_calls[id]).onFirstAttempt();
    startAttempt(id);
    return m_calls.contains(id) ? id : 0;
}

bool Dispatcher::refuseEarly(TimePoint now, std::uint64_t id, Call &call)
{
    if (now >= call.routed.deadline) {
        refuse(id, Reason::DeadlineExpired, Duration{0});
        return true;
    }
    const auto &request = call.routed.request;
    // Deeper calls have passed their entry node, and work has been done for them.
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
    if (refuseEarly(now, id, call)) {
        return;
    }
    const auto &request = call.routed.request;
    const auto bytes = static_cast<std::uint32_t>(request.body.size());
    auto &router = serviceOf(now, request.service).router;
    const auto decision = router.choose(
        now, m_context.random,
        RouteRequest{.rank = makeRank(request.context), .bytes = bytes, .isRootAdmitted = isRootAdmitted(request.context)}, call.tried);
    if (!decision.node.isValid()) {
        refuse(id, decision.refusal, decision.retryAfter);
        return;
    }
    router.onSent(now, decision.node, bytes);
    sendAttempt(now, id, call, decision.node);
}

void Dispatcher::sendAttempt(TimePoint now, std::uint64_t id, Call &call, NodeId node)
{
    const auto attempt = ++call.attempt;
    call.node = node;
    call.sentAt = now;
    call.isPending = true;
    if (call.tried.size() < Router::kMaxCandidates) {
        call.tried.push_back(node);
    }
    auto request = call.routed.request;
    request.context.remaining = call.routed.deadline - now;
    request.context.retryTokens = call.budget.grant(attempt);
    if (call.routed.onDispatch) {
        call.routed.onDispatch(node, request);
    }
    auto handler = [this, id, attempt](CallAnswer answer) { onAnswer(id, attempt, std::move(answer)); };
    if (node == m_context.self) {
        const auto remote = m_context.keys->serveCall(std::move(request), std::move(handler));
        const auto it = m_calls.find(id);
        if (it != m_calls.end() && it->second->attempt == attempt) {
            it->second->remote = remote;
        }
        return;
    }
    call.remote = m_context.peers->beginCall(node, std::move(request), std::move(handler));
}

void Dispatcher::noteResult(TimePoint now, Call &call, const CallAnswer &answer)
{
    RouteResult result;
    result.rank = makeRank(call.routed.request.context);
    result.latency = now - call.sentAt;
    result.outcome = answer.outcome;
    result.reason = answer.reason;
    result.answerBytes = static_cast<std::uint32_t>(answer.body.size());
    const auto &service = call.routed.request.service;
    if (answer.hasLevels) {
        result.level = Level{answer.level};
        call.levelBelow = std::max(call.levelBelow, Level{answer.levelBelow});
        m_levels.record(now, call.routed.methodKey, Level{answer.levelBelow}, makeRank(call.routed.request.context));
    }
    serviceOf(now, service).router.onResult(now, call.node, result);
    if (answer.tokensReturned) {
        call.budget.giveBack(call.attempt, answer.retryTokensLeft);
    } else {
        call.budget.lose(call.attempt);
    }
}

void Dispatcher::onAnswer(std::uint64_t id, std::uint32_t attempt, CallAnswer answer)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end() || it->second->attempt != attempt || !it->second->isPending) {
        return;
    }
    auto &call = *it->second;
    const auto now = steadyNow();
    call.isPending = false;
    noteResult(now, call, answer);
    call.mayHaveRun = call.mayHaveRun || answer.outcome == Outcome::Unknown;
    call.runs += hasReachedBackend(answer) ? 1 : 0;
    if (answer.outcome != Outcome::Answer && mayTryAgain(now, call, answer)) {
        scheduleRepeat(id, call, answer);
        return;
    }
    if (answer.outcome == Outcome::NotRun && call.mayHaveRun) {
        answer.outcome = Outcome::Unknown;
    }
    finish(id, std::move(answer));
}

bool Dispatcher::mayTryAgain(TimePoint now, Call &call, const CallAnswer &answer)
{
    if (call.isCancelled || now >= call.routed.deadline || !mayRepeat(answer.outcome, answer.reason, call.routed.isSafe)) {
        return false;
    }
    if (!hasReachedBackend(answer) && call.routed.maxRuns > 0) {
        // No backend server saw the attempt, so another costs none of them anything.
        return call.attempt < kMaxAttempts;
    }
    if (call.routed.maxRuns > 0 && call.runs >= call.routed.maxRuns) {
        return false;
    }
    return repeatsOf(now, call).takeRepeat(now) && call.budget.takeRepeat();
}

void Dispatcher::scheduleRepeat(std::uint64_t id, Call &call, const CallAnswer &answer)
{
    if (!hasReachedBackend(answer) && call.routed.maxRuns > 0) {
        boost::asio::post(m_context.io, [this, id] { startAttempt(id); });
        return;
    }
    const auto retryAfter = answer.retryAfter;
    const auto &policy = m_context.config.retryPolicyOf(call.routed.request.service);
    const auto delay =
        backoffDelay(m_context.random, BackoffOptions{.base = policy.backoff, .max = policy.maxBackoff}, ++call.repeats, retryAfter);
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
    answer.retryAfter = retryAfter;
    answer.node = m_context.settings.name;
    const auto &request = call.routed.request;
    m_context.events.countRefusal(request.service, request.context.requestClass, reason, request.context.root);
    finish(id, std::move(answer));
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
    answer.levelBelow = std::max(router.level(now), call->levelBelow).value;
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
    if (!call.isPending) {
        refuse(id, Reason::Cancelled, Duration{0});
        return;
    }
    if (call.node == m_context.self) {
        m_context.gate->cancelCall(call.remote);
    } else {
        m_context.peers->cancelCall(call.remote);
    }
}

std::size_t Dispatcher::callCount() const
{
    return m_calls.size();
}

} // namespace chicoryspar
