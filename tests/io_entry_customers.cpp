/// @file
/// Guards against requests that run without a valid key of a customer, against valid ones that are refused, and against keys that leave the
/// entry node: the parts of one node between a client's socket and that of a backend server.

#include "node/clock.h"
#include "node/control/operator_views.h"
#include "node/customer/customer_limits.h"
#include "node/entry/dispatcher.h"
#include "node/entry/entry_service.h"
#include "node/keys/key_service.h"
#include "node/log.h"
#include "node/peers/membership_driver.h"
#include "node/peers/peer_set.h"
#include "platform/platform.h"

#include <fstream>
#include <sstream>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <boost/asio.hpp>

using namespace chicoryspar;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

const std::string kKey = "key-of-a-0123456789";
const std::string kUnknownKey = "key-of-nobody-01234";

/// Configuration as the platform stores it.
/// @param customers the members that state customers
std::string makeConfig(std::uint64_t version, const std::string &customers)
{
    const auto route = [](const std::string &name, const std::string &more) {
        return R"({"name":")" + name + R"(","hostname":"a","pathPrefix":"/)" + name
            + R"(/","routeType":"safe","timeout":"5s","targetLatency":"1s","priority":2,"service":"orders","maxAttempts":2)" + more + "}";
    };
    return R"({"metadata":{"name":"main","modRevision":)" + std::to_string(version) + R"(},"spec":{"version":"r)" + std::to_string(version)
        + R"(","routes":[)" + route("own", "") + "," + route("open", R"(,"public":true)")
        + R"(],"services":[{"name":"orders","healthPath":"/health","maxConnections":8}])" + customers + "}}";
}

std::string customersWith(const std::string &key)
{
    return R"(,"tenants":[{"name":"customer-a","apiKeys":[")" + key + R"("],"priority":0}])";
}

std::string readLine(const std::string &head, const std::string &name)
{
    const auto at = head.find("\r\n" + name + ": ");
    return at == std::string::npos ? std::string() : head.substr(at + 2, head.find("\r\n", at + 2) - at - 2);
}

/// Backend server that keeps the head of each request and answers all but those for "/own/hold".
class FakeBackend
{
public:
    explicit FakeBackend(asio::io_context &io)
        : m_acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    /// Heads of the requests, health checks excluded.
    std::vector<std::string> heads;

private:
    struct Session
    {
        tcp::socket socket;
        std::string input;
        std::string answer;
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
            if (!ec) {
                serve(std::make_shared<Session>(Session{.socket = std::move(socket)}));
                accept();
            }
        });
    }

    void serve(const std::shared_ptr<Session> &session)
    {
        asio::async_read_until(session->socket, asio::dynamic_buffer(session->input), "\r\n\r\n",
                               [this, session](boost::system::error_code ec, std::size_t n) {
                                   if (!ec) {
                                       answer(session, session->input.substr(0, n));
                                       session->input.erase(0, n);
                                   }
                               });
    }

    void answer(const std::shared_ptr<Session> &session, const std::string &head)
    {
        if (head.find("/health") == std::string::npos) {
            heads.push_back(head);
        }
        if (head.find("/own/hold") != std::string::npos) {
            m_held.push_back(session);
            return;
        }
        session->answer = "HTTP/1.1 200 OK\r\n" + readLine(head, "X-Request-Id")
            + "\r\nX-Response-Signature: s\r\nX-Instance-Id: i\r\nContent-Length: 0\r\n\r\n";
        asio::async_write(session->socket, asio::buffer(session->answer), [this, session](boost::system::error_code ec, std::size_t) {
            if (!ec) {
                serve(session);
            }
        });
    }

    /// Sessions of requests that are never answered.
    std::vector<std::shared_ptr<Session>> m_held;
    tcp::acceptor m_acceptor;
};

class EntryCustomers : public testing::Test
{
protected:
    EntryCustomers()
        : context(io, settings, *sidecarEdgeDialect(), 1, 1)
        , gate(context)
        , peers(context)
        , membership(context)
        , dispatcher(context)
        , keys(context)
        , entry(context)
        , budget(1 << 20)
        , listener(io, {.address = "127.0.0.1:0", .limits = {1024, 4096}, .maxBufferedBodyBytes = 1024, .maxConnections = 8},
                   entry.handler(EntryRole::Callers), budget)
        , backend(io)
    {
        context.gate = &gate;
        context.peers = &peers;
        context.dispatcher = &dispatcher;
        context.keys = &keys;
        context.entry = &entry;
        // The calls of an earlier process have ended.
        context.startedAt -= 1h;
        EXPECT_FALSE(peers.start() || membership.start(peers.port()) || listener.start());
    }

    ~EntryCustomers() override
    {
        listener.closeAll();
        io.restart();
        io.run_for(10ms);
    }

    /// Brings a configuration into force as the store's answer does.
    void configure(const std::string &customers)
    {
        const auto text = sidecarStoreDialect()->readObject(ObjectKind::RouteTable, makeConfig(++version, customers));
        ASSERT_EQ(context.config.applyParsed(steadyNow(), parseObject(*text)), ApplyResult::InForce);
        EXPECT_EQ(context.config.find(ObjectKind::RouteTable, "main")->object->text.find(kKey), std::string::npos);
        context.configChanged.emitChange(steadyNow());
        announce();
    }

    /// Announces the backend server twice, which confirms it.
    void announce()
    {
        for (std::uint64_t sequence = 1; sequence <= 2; ++sequence) {
            gate.applyAnnouncement(steadyNow(),
                                   {.service = "orders",
                                    .address = backend.address(),
                                    .slots = 8,
                                    .readiness = BackendReadiness::Ready,
                                    .instance = instance,
                                    .processStartMs = 1,
                                    .sequence = 2 * ++announcements + sequence});
            io.restart();
            io.run_for(20ms);
        }
    }

    tcp::socket connect()
    {
        tcp::socket socket(io);
        socket.connect(tcp::endpoint(asio::ip::address_v4::loopback(), listener.port()));
        return socket;
    }

    void send(tcp::socket &socket, const std::string &path, const std::string &id, const std::string &headers)
    {
        asio::write(socket, asio::buffer("GET " + path + " HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id + "\r\n" + headers + "\r\n"));
        io.restart();
        io.run_for(50ms);
    }

    /// Sends a request and returns the head of the answer.
    std::string call(tcp::socket &socket, const std::string &path, const std::string &headers, const std::string &id = {})
    {
        send(socket, path, id.empty() ? "r" + std::to_string(++lastRequest) : id, headers);
        std::string answer(4096, ' ');
        answer.resize(socket.available() > 0 ? socket.read_some(asio::buffer(answer)) : 0);
        return answer;
    }

    std::string call(const std::string &path, const std::string &headers, const std::string &id = {})
    {
        auto socket = connect();
        return call(socket, path, headers, id);
    }

    asio::io_context io{1};
    NodeSettings settings{.name = "node", .region = "r", .zone = "z"};
    NodeContext context;
    GateService gate;
    PeerSet peers;
    MembershipDriver membership;
    Dispatcher dispatcher;
    KeyService keys;
    EntryService entry;
    ByteBudget budget;
    HttpListener listener;
    FakeBackend backend;
    std::uint64_t version = 0;
    std::uint64_t announcements = 0;
    std::string instance = "i";
    std::uint64_t lastRequest = 0;
};

/// The same with rate limits.
class EntryLimits : public EntryCustomers
{
protected:
    EntryLimits()
        : limits(context, membership)
    {
        context.customers = &limits;
        configure(R"(,"tenants":[{"name":"customer-a","apiKeys":[")" + kKey + R"("],"priority":0,"ratePerS":1,"burst":1}])");
    }

    /// Runs the node with the ticks of its gate, which takes a gap between them for a pause of the process.
    void runFor(Duration time)
    {
        for (const auto end = steadyNow() + time; steadyNow() < end;) {
            io.restart();
            io.run_for(10ms);
            gate.onTick(bootNow());
        }
    }

    CustomerLimits limits;
};

const std::string kValid = "Authorization: Bearer " + kKey + "\r\n";
const std::string kUnknown = "Authorization: Bearer " + kUnknownKey + "\r\n";
const std::string kForgedName = "X-Tenant: somebody-else\r\n";

bool isOk(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 200");
}

bool isUnauthorized(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 401") && answer.find("WWW-Authenticate: Bearer") != std::string::npos;
}

} // namespace

TEST_F(EntryCustomers, OnlyARequestWithAValidKeyRuns)
{
    configure(customersWith(kKey));
    for (const auto &it : {std::string(), kUnknown, kForgedName, std::string("Authorization: Basic " + kKey + "\r\n")}) {
        EXPECT_TRUE(isUnauthorized(call("/own/x", it))) << it;
    }
    EXPECT_TRUE(backend.heads.empty());
    EXPECT_EQ(context.metrics.reasonCount(RequestClass::Lookup, Reason::CustomerUnknown), 4U);
    EXPECT_TRUE(isOk(call("/own/x", kValid)));
    EXPECT_EQ(context.metrics.outcomeCount(RequestClass::Order, Outcome::Answer), 1U) << "the customer's priority determines the class";
}

TEST_F(EntryCustomers, BackendServerGetsTheNameFromTheNodeAndNoKey)
{
    configure(customersWith(kKey));
    EXPECT_TRUE(isOk(call("/own/x", kValid + kForgedName)));
    EXPECT_TRUE(isOk(call("/open/x", kValid + kForgedName)));
    EXPECT_TRUE(isOk(call("/open/x", kUnknown)));
    EXPECT_TRUE(isOk(call("/open/x", kForgedName)));
    ASSERT_EQ(backend.heads.size(), 4U);
    EXPECT_EQ(readLine(backend.heads[0], "X-Tenant"), "X-Tenant: customer-a");
    for (const auto &it : backend.heads) {
        EXPECT_EQ(it.find("Bearer"), std::string::npos) << it;
        EXPECT_EQ(it.find("somebody-else"), std::string::npos) << it;
    }
    EXPECT_EQ(readLine(backend.heads[1], "X-Tenant"), "");
}

TEST_F(EntryCustomers, WithoutCustomersNothingChanges)
{
    configure("");
    EXPECT_TRUE(isOk(call("/own/x", kUnknown + kForgedName)));
    ASSERT_EQ(backend.heads.size(), 1U);
    EXPECT_EQ(readLine(backend.heads[0], "X-Tenant") + "\r\n", kForgedName);
    EXPECT_EQ(readLine(backend.heads[0], "Authorization") + "\r\n", kUnknown);
}

TEST_F(EntryCustomers, ChangesApplyToOpenConnections)
{
    configure(customersWith(kKey));
    auto socket = connect();
    EXPECT_TRUE(isOk(call(socket, "/own/x", kValid)));
    configure(customersWith(kUnknownKey));
    EXPECT_TRUE(isUnauthorized(call(socket, "/own/x", kValid)));
    EXPECT_TRUE(isOk(call(socket, "/own/x", kUnknown)));
    configure(customersWith(kKey));
    EXPECT_TRUE(isOk(call(socket, "/own/x", kValid)));
}

// After a restart the backend server announced itself last: its node had made the router of its service before and left it out for good.
TEST_F(EntryCustomers, RouterFollowsTheAnnouncementsOfTheNodesOwnBackendServer)
{
    configure(customersWith(kKey));
    gate.applyDeparture(steadyNow(), "i");
    EXPECT_TRUE(call("/own/x", kValid).starts_with("HTTP/1.1 503"));
    EXPECT_EQ(dispatcher.explainRoutes(steadyNow(), "orders").front().ready, false);
    instance = "j";
    announce();
    EXPECT_TRUE(dispatcher.explainRoutes(steadyNow(), "orders").front().ready);
    EXPECT_TRUE(isOk(call("/own/x", kValid)));
}

// A node that has just started knows no customers: its 401 would tell valid clients that their keys are wrong.
TEST_F(EntryCustomers, UnconfiguredNodeAnswers503)
{
    EXPECT_TRUE(call("/own/x", kValid).starts_with("HTTP/1.1 503"));
    EXPECT_TRUE(call("/own/x", "").starts_with("HTTP/1.1 503"));
}

TEST_F(EntryCustomers, CallOfTheBackendServerNeedsAKnownParentAndNoKey)
{
    configure(customersWith(kKey));
    auto socket = connect();
    send(socket, "/own/hold", "p", kValid);
    ASSERT_EQ(backend.heads.size(), 1U);
    EXPECT_TRUE(isOk(call("/own/x", "", "p.1")));
    EXPECT_EQ(readLine(backend.heads.back(), "X-Tenant"), "");
    EXPECT_EQ(context.metrics.outcomeCount(RequestClass::Order, Outcome::Answer), 1U) << "the call ranks as its root";
    EXPECT_TRUE(isUnauthorized(call("/own/x", "", "q.1")));
    EXPECT_TRUE(isUnauthorized(call("/own/x", kUnknown, "p.2"))) << "a key must not be ignored because the identifier fits";
    EXPECT_TRUE(isOk(call("/own/x", kValid, "p.3")));
    EXPECT_EQ(readLine(backend.heads.back(), "X-Tenant"), "X-Tenant: customer-a");
}

// Backend servers run on for a while after the client has gone; their calls were never sent with a wrong key.
TEST_F(EntryCustomers, CallForAParentThatWasGivenUpIsNotTakenForOneWithoutAKey)
{
    configure(customersWith(kKey));
    {
        auto socket = connect();
        send(socket, "/own/hold", "p", kValid);
    }
    ASSERT_EQ(backend.heads.size(), 1U);
    EXPECT_TRUE(call("/own/x", "", "p.1").starts_with("HTTP/1.1 503"));
    EXPECT_TRUE(isUnauthorized(call("/own/x", "", "q.1")));
    EXPECT_EQ(backend.heads.size(), 1U);
}

// A restarted node answered the calls of all running requests with 401, which says that they may never be made.
TEST_F(EntryCustomers, StartedNodeDoesNotRefuseCallsOfAnEarlierProcessForGood)
{
    context.startedAt = steadyNow();
    configure(customersWith(kKey));
    EXPECT_TRUE(call("/own/x", "", "q.1").starts_with("HTTP/1.1 503"));
    EXPECT_EQ(context.metrics.reasonCount(RequestClass::Lookup, Reason::ParentUnknown), 1U);
    EXPECT_TRUE(isUnauthorized(call("/own/x", "", "q"))) << "an identifier that no call has";
    EXPECT_TRUE(isUnauthorized(call("/own/x", kUnknown, "q.2"))) << "calls of backend servers carry no key";
    EXPECT_TRUE(backend.heads.empty());
    EXPECT_FALSE(gate.knowsAllCalls(context.startedAt + 5s)) << "the timeout of the route";
    EXPECT_TRUE(gate.knowsAllCalls(context.startedAt + 5s + 30s));
}

// Beyond the number of calls that a node remembers, calls for those that were given up were answered with 401.
TEST(AbandonedCalls, ForgottenOnesAreNotTakenForUnknownOnes)
{
    const TimePoint start{1h};
    AbandonedCalls calls;
    EXPECT_TRUE(calls.isComplete(start));
    for (std::size_t n = 0; n < AbandonedCalls::kMaxCalls; ++n) {
        calls.add(start, std::to_string(n));
    }
    EXPECT_TRUE(calls.contains(start, "0"));
    EXPECT_TRUE(calls.isComplete(start));
    calls.add(start + 1s, "more");
    EXPECT_FALSE(calls.contains(start + 1s, "0"));
    EXPECT_FALSE(calls.isComplete(start + 1s));
    EXPECT_TRUE(calls.contains(start + 1s, "more"));
    EXPECT_TRUE(calls.isComplete(start + AbandonedCalls::kRetention));
    EXPECT_FALSE(calls.contains(start + 1s + AbandonedCalls::kRetention, "more"));
}

TEST_F(EntryCustomers, ExplanationStatesWhatARequestWouldMeet)
{
    configure(customersWith(kKey));
    const auto explain = [this](const std::string &path, const std::string &customer) {
        const auto answer = describeWhere(context, steadyNow(), {{"method", "GET"}, {"host", "A"}, {"path", path}, {"customer", customer}});
        return nlohmann::json::parse(answer.body);
    };
    const auto own = explain("/own/x", "customer-a");
    EXPECT_EQ(own["class"], "order");
    EXPECT_EQ(own["services"][0]["choice"]["node"], "node");
    EXPECT_EQ(own["services"][0]["candidates"].size(), 1U);
    EXPECT_FALSE(own.contains("refusal"));
    EXPECT_EQ(explain("/own/x", "")["refusal"], "customer-unknown");
    EXPECT_FALSE(explain("/open/x", "").contains("refusal"));
    EXPECT_EQ(explain("/none/x", "")["refusal"], "unknown-service");
    EXPECT_EQ(explain("/own/x", "nobody")["status"], 404);
    EXPECT_TRUE(backend.heads.empty()) << "nothing is sent";
}

TEST_F(EntryCustomers, KeysAppearInNoLogLineEventOrMetric)
{
    const auto path = testing::TempDir() + "entry_customers.log";
    std::remove(path.c_str());
    beginLogging("TRACE", path, "node");
    setDecisionLogRate(1e6);
    configure(customersWith(kKey));
    for (const auto &it : {kValid, kUnknown, "Authorization: Basic " + kUnknownKey + "\r\n"}) {
        for (const auto *target : {"/own/x", "/open/x", "/none/x", "/own/hold"}) {
            call(target, it);
        }
    }
    std::ostringstream text;
    text << std::ifstream(path).rdbuf() << formatPage(context.events.read(0, 1000)) << context.metrics.renderText("node");
    EXPECT_NE(text.str().find("customer-unknown"), std::string::npos);
    EXPECT_EQ(text.str().find(kKey), std::string::npos);
    EXPECT_EQ(text.str().find(kUnknownKey), std::string::npos);
}

// Guards against requests beyond the limit that run, and against refusals without a time.
TEST_F(EntryLimits, RequestBeyondTheLimitIsRefusedWithATime)
{
    // Until then the node grants nothing, since it may not know the other nodes yet.
    runFor(2s);
    int answered = 0;
    std::string answer;
    for (answer = call("/own/x", kValid); isOk(answer) && answered < 100; answer = call("/own/x", kValid)) {
        ++answered;
    }
    EXPECT_GE(answered, 2);
    EXPECT_LE(answered, (1 * 5 + 1) * 1.1 + 20);
    EXPECT_EQ(backend.heads.size(), static_cast<std::size_t>(answered));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 429")) << answer;
    EXPECT_NE(readLine(answer, "Retry-After"), "");
    EXPECT_TRUE(isOk(call("/open/x", ""))) << "requests without a customer have no limit";
}

// Guards against waiting requests that a stopping node doesn't wait for, or that run although their client has gone.
TEST_F(EntryLimits, WaitingRequestIsCountedAndCanBeGivenUp)
{
    auto kept = connect();
    auto closed = connect();
    send(kept, "/own/x", "a", kValid);
    send(closed, "/own/x", "b", kValid);
    EXPECT_EQ(entry.requestCount(), 2U);
    closed.close();
    runFor(50ms);
    EXPECT_EQ(entry.requestCount(), 1U);
    EXPECT_EQ(limits.waitingCount(), 1U);
    runFor(kCustomerHold);
    EXPECT_EQ(entry.requestCount(), 0U);
    std::string answer(4096, ' ');
    answer.resize(kept.read_some(asio::buffer(answer)));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 429")) << answer;
    EXPECT_TRUE(backend.heads.empty());
}
