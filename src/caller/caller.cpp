#include "chicoryspar/caller.h"

#include "caller/call_state.h"
#include "caller/http_client.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cassert>
#include <charconv>
#include <future>
#include <thread>
#include <unordered_map>

namespace chicoryspar {

namespace {

namespace asio = boost::asio;

/// Time for which first attempts avoid an entry node that didn't answer.
constexpr Duration kAvoidDuration = std::chrono::seconds(2);

TimePoint readTime()
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

WallTime readWallTime()
{
    return WallTime(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
}

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || ec != std::errc() || end != text.data() + text.size() || value < 0) {
        return std::nullopt;
    }
    return value;
}

/// Returns whether HTTP defines the method as idempotent (RFC 9110, section 9.2.2).
bool isIdempotentMethod(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "PUT" || method == "DELETE";
}

/// Returns the outcome of an attempt from the end of its exchange and the headers of the response.
AttemptEnd readAttemptEnd(ExchangeEnd end, const ExchangeResponse &response)
{
    switch (end) {
    case ExchangeEnd::NotSent:
        return {.outcome = Outcome::NotRun, .reason = Reason::ConnectFailed, .tokensLeft = UINT16_MAX};
    case ExchangeEnd::Lost:
        return {.outcome = Outcome::Unknown, .reason = Reason::ConnectionLost};
    case ExchangeEnd::TimedOut:
        return {.outcome = Outcome::Unknown, .reason = Reason::ConnectionSilent};
    case ExchangeEnd::Cancelled:
        return {.outcome = Outcome::Unknown, .reason = Reason::Cancelled};
    default:
        break;
    }
    AttemptEnd it;
    it.outcome = findOutcome(findHeader(response.headers, "Chicoryspar-Outcome")).value_or(Outcome::Answer);
    it.reason = findReason(findHeader(response.headers, "Chicoryspar-Reason")).value_or(Reason::None);
    it.retryAfter = std::chrono::seconds(parseNumber(findHeader(response.headers, "Retry-After")).value_or(0));
    const auto left = parseNumber(findHeader(response.headers, "Chicoryspar-Retry-Tokens-Left"));
    if (left) {
        it.tokensLeft = static_cast<std::uint16_t>(std::min<std::int64_t>(*left, UINT16_MAX));
    }
    return it;
}

/// One call in progress.
struct RunningCall
{
    explicit RunningCall(asio::io_context &io)
        : timer(io)
    {
    }

    CallerRequest request;
    CallerDone done;
    CallState state;
    CallerResult result;
    ExchangeId exchange;
    /// Index of the entry node of the running attempt.
    std::size_t entry = 0;
    asio::steady_timer timer;
};

ExchangeRequest makeExchangeRequest(const RunningCall &call, const std::string &callerName, const CallDecision &decision)
{
    ExchangeRequest it{.method = call.request.method, .target = call.request.target, .body = call.request.body};
    for (const auto &header : call.request.headers) {
        it.headers.push_back({header.name, header.value});
    }
    it.headers.push_back({"Chicoryspar-Service", call.request.service});
    it.headers.push_back({"Chicoryspar-Caller", callerName});
    it.headers.push_back({"Chicoryspar-Root", toString(call.result.root)});
    it.headers.push_back({"Chicoryspar-Timeout-Ms", std::to_string(std::max<std::int64_t>(1, toMilliseconds(decision.timeout)))});
    it.headers.push_back({"Chicoryspar-Retry-Tokens", std::to_string(decision.tokens)});
    if (call.result.key.isValid()) {
        it.headers.push_back({"Idempotency-Key", "\"" + toString(call.result.key) + "\""});
    }
    return it;
}

} // namespace

struct Caller::State
{
    explicit State(const CallerInit &init)
        : init(init)
        , client(io)
        , random(init.seed)
        , avoidUntil(init.entries.size())
        , work(asio::make_work_guard(io))
        , thread([this] { io.run(); })
    {
        assert(!init.entries.empty());
    }

    ~State()
    {
        io.stop();
        thread.join();
    }

    void start(std::uint64_t id, CallerRequest request, CallerDone done);
    void advance(std::uint64_t id);
    void send(std::uint64_t id, RunningCall &call, const CallDecision &decision);
    void onExchangeEnd(std::uint64_t id, ExchangeEnd end, ExchangeResponse &response);
    void finish(std::uint64_t id, const CallDecision &decision);
    void cancel(std::uint64_t id);

    CallerInit init;
    asio::io_context io{1};
    HttpClient client;
    Random random;
    std::atomic<std::uint64_t> lastId{0};
    /// For each entry node, the time until which first attempts avoid it.
    std::vector<TimePoint> avoidUntil;
    std::unordered_map<std::uint64_t, std::unique_ptr<RunningCall>> calls;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::thread thread;
};

void Caller::State::start(std::uint64_t id, CallerRequest request, CallerDone done)
{
    auto it = std::make_unique<RunningCall>(io);
    it->request = std::move(request);
    it->done = std::move(done);
    if (it->request.once) {
        it->result.key = it->request.key.value_or(makeRequestId(readWallTime(), random));
    }
    it->result.root = it->result.key.isValid() ? it->result.key : makeRequestId(readWallTime(), random);
    it->state = beginCall({.retry = init.retry,
                           .entryCount = init.entries.size(),
                           .firstEntry = chooseEntry(avoidUntil, readTime(), random),
                           .isRetrySafe = it->request.once || isIdempotentMethod(it->request.method),
                           .timeout = it->request.timeout},
                          readTime());
    calls.emplace(id, std::move(it));
    advance(id);
}

void Caller::State::advance(std::uint64_t id)
{
    const auto it = calls.find(id);
    if (it == calls.end()) {
        return;
    }
    auto &call = *it->second;
    const auto now = readTime();
    const auto decision = decideCall(call.state, now);
    switch (decision.step) {
    case CallStep::Send:
        send(id, call, decision);
        break;
    case CallStep::Wait:
        call.timer.expires_after(decision.until - now);
        call.timer.async_wait([this, id](const boost::system::error_code &ec) {
            if (!ec) {
                advance(id);
            }
        });
        break;
    default:
        finish(id, decision);
        break;
    }
}

void Caller::State::send(std::uint64_t id, RunningCall &call, const CallDecision &decision)
{
    call.entry = decision.entry;
    call.exchange = client.begin(init.entries[decision.entry], makeExchangeRequest(call, init.name, decision), decision.timeout,
                                 [this, id](ExchangeEnd end, ExchangeResponse &response) { onExchangeEnd(id, end, response); });
}

void Caller::State::onExchangeEnd(std::uint64_t id, ExchangeEnd end, ExchangeResponse &response)
{
    const auto it = calls.find(id);
    if (it == calls.end()) {
        return;
    }
    auto &call = *it->second;
    const auto attempt = readAttemptEnd(end, response);
    if (end == ExchangeEnd::NotSent || end == ExchangeEnd::TimedOut) {
        avoidUntil[call.entry] = readTime() + kAvoidDuration;
    }
    call.result.status = response.status;
    call.result.retryAfter = attempt.retryAfter;
    call.result.body = std::move(response.body);
    call.result.headers.clear();
    for (auto &header : response.headers) {
        call.result.headers.push_back({std::move(header.name), std::move(header.value)});
    }
    endAttempt(call.state, attempt, readTime(), random);
    advance(id);
}

void Caller::State::finish(std::uint64_t id, const CallDecision &decision)
{
    const auto it = calls.find(id);
    const auto call = std::move(it->second);
    calls.erase(it);
    call->result.outcome = decision.outcome;
    call->result.reason = decision.reason;
    call->result.attempts = call->state.attempts;
    call->done(call->result);
}

void Caller::State::cancel(std::uint64_t id)
{
    const auto it = calls.find(id);
    if (it == calls.end()) {
        return;
    }
    auto &call = *it->second;
    const auto exchange = call.exchange;
    cancelCall(call.state);
    const auto decision = decideCall(call.state, readTime());
    finish(id, decision);
    client.cancel(exchange);
}

Caller::Caller(const CallerInit &init)
    : m_state(std::make_shared<State>(init))
{
}

Caller::~Caller() = default;

CallId Caller::begin(CallerRequest request, CallerDone done)
{
    const auto id = ++m_state->lastId;
    asio::post(m_state->io, [state = m_state.get(), id, request = std::move(request), done = std::move(done)]() mutable {
        state->start(id, std::move(request), std::move(done));
    });
    return {id};
}

void Caller::cancel(CallId id)
{
    asio::post(m_state->io, [state = m_state.get(), id] { state->cancel(id.value); });
}

CallerResult Caller::call(CallerRequest request)
{
    std::promise<CallerResult> promise;
    auto future = promise.get_future();
    begin(std::move(request), [&promise](CallerResult &result) { promise.set_value(std::move(result)); });
    return future.get();
}

} // namespace chicoryspar
