#include "chicoryspar/caller.h"
#include "standins/common/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <future>
#include <gtest/gtest.h>
#include <thread>

using namespace chicoryspar;
using namespace chicoryspar::standin;

namespace {

namespace asio = boost::asio;

/// Fake entry node that answers requests with a handler of the test.
class FakeEntry
{
public:
    explicit FakeEntry(ServerHandler handler)
        : m_server(m_io, "127.0.0.1:0", 100, std::move(handler))
        , m_thread([this] { m_io.run(); })
    {
    }

    ~FakeEntry()
    {
        m_io.stop();
        m_thread.join();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_server.port());
    }

private:
    asio::io_context m_io{1};
    HttpServer m_server;
    std::thread m_thread;
};

ExchangeResponse makeEcho(const ServerExchangePtr &exchange)
{
    return {.status = 200, .headers = {{"Chicoryspar-Outcome", "answer"}}, .body = exchange->request().target + exchange->request().body};
}

ExchangeResponse makeNotRun(const std::string &retryAfter)
{
    return {.status = 503,
            .headers = {{"Chicoryspar-Outcome", "not-run"}, {"Chicoryspar-Reason", "queue-full"}, {"Retry-After", retryAfter}}};
}

/// Returns an address that refuses connections.
std::string findClosedAddress()
{
    asio::io_context io;
    asio::ip::tcp::acceptor it(io, {asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(it.local_endpoint().port());
}

Caller makeCaller(const std::vector<std::string> &entries)
{
    return Caller({.entries = entries, .retry = {.backoff = std::chrono::milliseconds(1)}});
}

} // namespace

TEST(Caller, RefusedConnectionIsNotRun)
{
    auto caller = makeCaller({findClosedAddress()});
    const auto result = caller.call({.service = "orders", .method = "POST"});
    EXPECT_EQ(result.outcome, Outcome::NotRun);
    EXPECT_EQ(result.reason, Reason::ConnectFailed);
    EXPECT_EQ(result.attempts, 4U);
}

TEST(Caller, OnceRequestIsRetriedAtAnotherEntryWithTheSameKey)
{
    std::vector<std::string> keys;
    FakeEntry truncatingEntry([&keys](const ServerExchangePtr &it) {
        keys.emplace_back(findHeader(it->request().headers, "Idempotency-Key"));
        it->answer(makeEcho(it), AnswerFault::Truncated);
    });
    FakeEntry workingEntry([&keys](const ServerExchangePtr &it) {
        keys.emplace_back(findHeader(it->request().headers, "Idempotency-Key"));
        it->answer(makeEcho(it));
    });
    auto caller = makeCaller({truncatingEntry.address(), workingEntry.address()});
    for (int it = 0; it < 8; ++it) {
        keys.clear();
        const auto result = caller.call({.service = "orders", .method = "POST", .target = "/orders", .body = "body", .once = true});
        EXPECT_EQ(result.outcome, Outcome::Answer);
        EXPECT_EQ(result.body, "/ordersbody");
        ASSERT_EQ(keys.size(), result.attempts);
        for (const auto &key : keys) {
            EXPECT_EQ(key, "\"" + toString(result.key) + "\"");
        }
        EXPECT_TRUE(creationTime(result.key).has_value());
    }
}

TEST(Caller, TruncatedAnswerOfAnUnsafeRequestIsUnknownAndNotRetried)
{
    FakeEntry entry([](const ServerExchangePtr &it) { it->answer(makeEcho(it), AnswerFault::Truncated); });
    auto caller = makeCaller({entry.address()});
    const auto result = caller.call({.service = "orders", .method = "POST", .target = "/orders"});
    EXPECT_EQ(result.outcome, Outcome::Unknown);
    EXPECT_EQ(result.reason, Reason::ConnectionLost);
    EXPECT_EQ(result.attempts, 1U);
    EXPECT_TRUE(result.body.empty());
}

TEST(Caller, DuplicateAnswerIsNeverGivenToTheNextRequest)
{
    FakeEntry entry([](const ServerExchangePtr &it) { it->answer(makeEcho(it), AnswerFault::Doubled); });
    auto caller = makeCaller({entry.address()});
    for (int it = 0; it < 50; ++it) {
        const auto target = "/titles?n=" + std::to_string(it);
        const auto result = caller.call({.service = "catalogue", .target = target});
        EXPECT_EQ(result.outcome, Outcome::Answer);
        EXPECT_EQ(result.body, target);
    }
}

TEST(Caller, RetryAfterAndTheBudgetAreHonoured)
{
    std::atomic<unsigned> requests{0};
    FakeEntry entry([&requests](const ServerExchangePtr &it) {
        ++requests;
        it->answer(makeNotRun("1"));
    });
    auto caller = makeCaller({entry.address()});
    const auto begin = std::chrono::steady_clock::now();
    const auto result = caller.call({.service = "orders", .method = "POST", .timeout = std::chrono::milliseconds(1500)});
    EXPECT_EQ(result.outcome, Outcome::NotRun);
    EXPECT_EQ(result.reason, Reason::QueueFull);
    EXPECT_EQ(requests, 2U);
    EXPECT_GE(std::chrono::steady_clock::now() - begin, std::chrono::seconds(1));
}

TEST(Caller, SilentEntryIsUnknownAfterTheTimeout)
{
    std::vector<ServerExchangePtr> heldExchanges;
    FakeEntry entry([&heldExchanges](const ServerExchangePtr &it) { heldExchanges.push_back(it); });
    auto caller = makeCaller({entry.address()});
    const auto result = caller.call({.service = "orders", .method = "POST", .timeout = std::chrono::milliseconds(100)});
    EXPECT_EQ(result.outcome, Outcome::Unknown);
    EXPECT_EQ(result.reason, Reason::ConnectionSilent);
}

TEST(Caller, CancelClosesTheConnectionAndIsUnknown)
{
    std::promise<void> arrived;
    std::promise<void> closed;
    std::vector<ServerExchangePtr> heldExchanges;
    FakeEntry entry([&](const ServerExchangePtr &it) {
        it->onClosed([&closed] { closed.set_value(); });
        heldExchanges.push_back(it);
        arrived.set_value();
    });
    auto caller = makeCaller({entry.address()});
    std::promise<Outcome> ended;
    const auto id = caller.begin({.service = "catalogue"}, [&ended](CallerResult &result) { ended.set_value(result.outcome); });
    arrived.get_future().wait();
    caller.cancel(id);
    EXPECT_EQ(ended.get_future().get(), Outcome::Unknown);
    EXPECT_EQ(closed.get_future().wait_for(std::chrono::seconds(5)), std::future_status::ready);
}
