/// @file
/// Guards the limits that a backend server states in its answers: requests per second that it accepts, and that it leaves. Also guards the
/// bound on repeats, which a gate holds where its backend server states its pace.

#include "node/clock.h"
#include "node/gate/gate_service.h"
#include "platform/platform.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>

using namespace chicoryspar;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

const std::string kTable =
    R"({"apiVersion":"chicoryspar.io/v1","kind":"RouteTable","metadata":{"name":"main","resourceVersion":"1"},"spec":{"routes":[{"name":"r",)"
    R"("host":"a","pathPrefix":"/","backends":[{"service":"orders","weight":1}],"idempotent":true,"timeoutMs":800,"latencyObjectiveMs":500,)"
    R"("priority":2,"maxAttempts":2}],"services":[{"name":"orders","healthPath":"/health","maxConnections":64}]}})";

/// Backend server that answers every request at once, with @a signals added to the header.
class FakeBackend
{
public:
    explicit FakeBackend(boost::asio::io_context &io)
        : m_acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        acceptNext();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    /// Header lines, each ended by CR LF.
    std::string signals;
    std::size_t requestCount = 0;

private:
    struct Session
    {
        tcp::socket socket;
        std::string input;
        std::string output;
    };

    void acceptNext()
    {
        m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
            if (!ec) {
                answerNext(std::make_shared<Session>(Session{.socket = std::move(socket)}));
                acceptNext();
            }
        });
    }

    void answerNext(const std::shared_ptr<Session> &session)
    {
        boost::asio::async_read_until(session->socket, boost::asio::dynamic_buffer(session->input), "\r\n\r\n",
                                      [this, session](boost::system::error_code ec, std::size_t n) {
                                          if (!ec) {
                                              answer(session, session->input.substr(0, n));
                                              session->input.erase(0, n);
                                          }
                                      });
    }

    void answer(const std::shared_ptr<Session> &session, const std::string &head)
    {
        constexpr std::string_view kIdHeader = "X-Request-Id: ";
        requestCount += head.find("/health") == std::string::npos ? 1 : 0;
        const auto at = head.find(kIdHeader);
        const auto id = at == std::string::npos ? std::string() : head.substr(at, head.find("\r\n", at) + 2 - at);
        session->output = "HTTP/1.1 200 OK\r\n" + id + signals + "X-Response-Signature: s\r\nX-Instance-Id: i\r\nContent-Length: 0\r\n\r\n";
        boost::asio::async_write(session->socket, boost::asio::buffer(session->output),
                                 [this, session](boost::system::error_code ec, std::size_t) {
                                     if (!ec) {
                                         answerNext(session);
                                     }
                                 });
    }

    tcp::acceptor m_acceptor;
};

class BackendSignals : public testing::Test
{
protected:
    BackendSignals()
        : context(io, settings, *sidecarEdgeDialect(), 1, 1)
        , backend(io)
    {
        context.config.applyParsed(steadyNow(), parseObject(kTable));
        restartNode();
    }

    /// Replaces the gate, as a restart of the node does while the backend server runs on.
    void restartNode()
    {
        gate = std::make_unique<GateService>(context);
        announce();
        announce();
        ASSERT_EQ(gate->readiness(), BackendReadiness::Ready);
    }

    void announce()
    {
        gate->applyAnnouncement(steadyNow(),
                                {.service = "orders",
                                 .address = backend.address(),
                                 .slots = 36,
                                 .readiness = BackendReadiness::Ready,
                                 .instance = "i",
                                 .processStartMs = 100,
                                 .sequence = ++sequence});
        run(50ms);
    }

    void run(Duration duration)
    {
        gate->onTick(bootNow());
        gate->checkAnnouncement(steadyNow());
        io.restart();
        io.run_for(duration);
    }

    CallRequest makeRequest()
    {
        CallRequest request;
        request.service = "orders";
        request.verb = "GET";
        request.target = "/";
        request.headers = {{"Host", "a"}, {"X-Request-Id", std::to_string(++lastRequest)}};
        request.context.remaining = 500ms;
        request.context.requestClass = RequestClass::Lookup;
        request.knownBackend = known;
        return request;
    }

    CallAnswer call(bool isRepeat)
    {
        auto request = makeRequest();
        request.context.isRepeat = isRepeat;
        CallAnswer end;
        gate->beginCall(std::move(request), [&](CallAnswer answer) { end = std::move(answer); });
        run(50ms);
        return end;
    }

    /// Offers calls at a constant rate; the answers are added to @a answers.
    void offer(int callsPerSecond, Duration duration)
    {
        const auto end = steadyNow() + duration;
        while (steadyNow() < end) {
            gate->beginCall(makeRequest(), [this](CallAnswer answer) { answers.push_back(std::move(answer)); });
            run(Duration(1s) / callsPerSecond);
        }
    }

    boost::asio::io_context io{1};
    NodeSettings settings{.name = "node", .region = "r", .zone = "z"};
    NodeContext context;
    FakeBackend backend;
    std::unique_ptr<GateService> gate;
    std::vector<CallAnswer> answers;
    /// Sent with each call.
    std::optional<BackendState> known;
    std::uint64_t sequence = 0;
    std::uint64_t lastRequest = 0;
};

constexpr int kLimit = 10;
constexpr auto kWindow = 4s;
/// Most requests in any kWindow that a backend server tolerates under kLimit.
constexpr std::size_t kMostInWindow = kLimit * 4 * 3 / 2 + 5;

} // namespace

TEST_F(BackendSignals, BackendGetsNoMoreRequestsThanTheLimitItStates)
{
    backend.signals = "Server-Limit: 10.0\r\n";
    offer(20, 200ms);
    backend.requestCount = 0;
    offer(60, kWindow);
    EXPECT_LE(backend.requestCount, kMostInWindow);
    EXPECT_GE(backend.requestCount, kLimit * 4 * 8 / 10U);
}

// Guards against load reports of earlier deployments, whose backend servers state no pace, and against a pace of an instance that has gone.
TEST_F(BackendSignals, AnswersReportTheLoadOnlyWhileAPaceIsStated)
{
    for (const auto *it : {"", "X-Server-Load: 3,0,8\r\n", "X-Server-Load: 3,0,8,0\r\n"}) {
        backend.signals = it;
        offer(20, 100ms);
        ASSERT_FALSE(answers.empty());
        EXPECT_FALSE(answers.back().load) << it;
    }
    backend.signals = "X-Server-Load: 3,0,8,250\r\n";
    offer(20, 200ms);
    const auto load = answers.back().load;
    ASSERT_TRUE(load);
    EXPECT_EQ(load->pacePercent, 250U);
    EXPECT_LT(load->paceAge, Duration(200ms));
    EXPECT_LT(load->outstandingWork, Duration(100ms));
    restartNode();
    backend.signals.clear();
    offer(20, 100ms);
    EXPECT_FALSE(answers.back().load);
}

// A new instance states its pace only in answers, so the rules that depend on it must not end with the old one.
TEST_F(BackendSignals, RulesForAPaceOutlastARestartOfTheBackendServer)
{
    EXPECT_FALSE(gate->spacesReturns());
    backend.signals = "X-Server-Load: 3,0,8,100\r\n";
    offer(20, 100ms);
    EXPECT_TRUE(gate->spacesReturns());
    gate->applyAnnouncement(steadyNow(),
                            {.service = "orders",
                             .address = backend.address(),
                             .slots = 36,
                             .readiness = BackendReadiness::Ready,
                             .instance = "j",
                             .processStartMs = 200,
                             .sequence = ++sequence});
    EXPECT_TRUE(gate->spacesReturns());
}

TEST_F(BackendSignals, LimitEndsWhenAnswersNoLongerStateIt)
{
    backend.signals = "Server-Limit: 10\r\n";
    offer(20, 200ms);
    ASSERT_EQ(gate->snapshot().rateLimit, 10.0);
    backend.signals.clear();
    offer(20, 1500ms);
    EXPECT_EQ(gate->snapshot().rateLimit, std::nullopt);
}

TEST_F(BackendSignals, MalformedLimitIsNoLimit)
{
    for (const auto *it : {"-1", "nan", "inf", "1e999", "10 ", "", "ten"}) {
        backend.signals = std::string("Server-Limit: ") + it + "x\r\n";
        offer(20, 50ms);
        EXPECT_EQ(gate->snapshot().rateLimit, std::nullopt) << it;
    }
}

// The backend server runs on while its node restarts, and its limit counts from its first answer on.
TEST_F(BackendSignals, RestartedNodeLearnsTheLimitFromItsCallers)
{
    backend.signals = "Server-Limit: 10\r\n";
    offer(20, 200ms);
    ASSERT_FALSE(answers.empty());
    known = answers.back().backend;
    ASSERT_TRUE(known);
    restartNode();
    gate->beginCall(makeRequest(), [](const CallAnswer &) {});
    EXPECT_EQ(gate->snapshot().rateLimit, 10.0);
}

TEST_F(BackendSignals, RestartedNodeLearnsTheLeaveFromItsCallers)
{
    backend.signals = "Server-Leaving: 1\r\n";
    offer(20, 100ms);
    ASSERT_FALSE(answers.empty());
    known = answers.back().backend;
    ASSERT_TRUE(known);
    backend.signals.clear();
    restartNode();
    backend.requestCount = 0;
    offer(20, 100ms);
    EXPECT_EQ(backend.requestCount, 0U);
    EXPECT_EQ(gate->readiness(), BackendReadiness::Draining);
}

// Calls wait at the gate where the backend server limits its requests, and the wait may outlast the time for which it serves on.
TEST_F(BackendSignals, WaitingCallsAreNotDispatchedLongAfterTheLeave)
{
    backend.signals = "Server-Limit: 2\r\n";
    offer(20, 200ms);
    answers.clear();
    for (int n = 0; n < 8; ++n) {
        auto request = makeRequest();
        request.context.remaining = 4s;
        request.context.requestClass = RequestClass::Order;
        gate->beginCall(std::move(request), [this](CallAnswer answer) { answers.push_back(std::move(answer)); });
    }
    gate->applyDeparture(steadyNow(), "i");
    for (int n = 0; n < 16; ++n) {
        run(100ms);
    }
    backend.requestCount = 0;
    for (int n = 0; n < 20; ++n) {
        run(100ms);
    }
    EXPECT_EQ(backend.requestCount, 0U);
    EXPECT_EQ(gate->callCount(), 0U);
    ASSERT_GE(answers.size(), 8U);
    EXPECT_EQ(answers.back().outcome, Outcome::NotRun);
    EXPECT_EQ(answers.back().reason, Reason::Draining);
}

// An instance may start again under the identifier that it had.
TEST_F(BackendSignals, WhatIsKnownOfAnEarlierStartIsIgnored)
{
    known = BackendState{.instance = "i", .processStartMs = 99, .rateLimit = 10, .isLeaving = true};
    offer(20, 100ms);
    EXPECT_EQ(gate->readiness(), BackendReadiness::Ready);
    EXPECT_EQ(gate->snapshot().rateLimit, std::nullopt);
}

TEST_F(BackendSignals, LeavingBackendGetsNoFurtherRequests)
{
    backend.signals = "Server-Leaving: 1\r\n";
    offer(20, 100ms);
    run(100ms);
    backend.requestCount = 0;
    offer(20, 300ms);
    EXPECT_EQ(backend.requestCount, 0U);
    ASSERT_FALSE(answers.empty());
    EXPECT_EQ(answers.back().outcome, Outcome::NotRun);
    EXPECT_EQ(answers.back().reason, Reason::Draining);
    EXPECT_EQ(gate->readiness(), BackendReadiness::Draining);
}

// Repeats that each sender bounds by itself use a fraction of what the deployment allows.
TEST_F(BackendSignals, GateRefusesRepeatsBeyondItsTokens)
{
    settings.fleetRetryFraction = 0.2;
    settings.fleetRetryExtra = 10;
    settings.repeatsHeldBy = RepeatHolder::Gates;
    run(1ms);
    EXPECT_EQ(call(true).reason, Reason::RetryBudgetSpent);
    for (int n = 0; n < 11; ++n) {
        EXPECT_EQ(call(false).outcome, Outcome::Answer);
    }
    backend.requestCount = 0;
    EXPECT_EQ(call(true).outcome, Outcome::Answer);
    const auto refused = call(true);
    EXPECT_EQ(refused.outcome, Outcome::NotRun);
    EXPECT_EQ(refused.reason, Reason::RetryBudgetSpent);
    ASSERT_TRUE(refused.load);
    EXPECT_EQ(refused.load->repeatTokens, 0U);
    EXPECT_EQ(backend.requestCount, 1U);
    EXPECT_EQ(gate->repeats().counts().refused, 2U);
}

// Deployments whose backend servers state no pace, or whose senders hold the budget, are served as before.
TEST_F(BackendSignals, GateBoundsNoRepeatsElsewhere)
{
    settings.fleetRetryFraction = 0.2;
    for (const auto holder : {RepeatHolder::Auto, RepeatHolder::Senders}) {
        settings.repeatsHeldBy = holder;
        for (int n = 0; n < 3; ++n) {
            const auto answer = call(true);
            EXPECT_EQ(answer.outcome, Outcome::Answer);
            EXPECT_FALSE(answer.load);
        }
    }
}
