/// @file
/// Test of the rate limits of customers with two nodes on loopback, which exchange datagrams on the membership port.

#include "node/clock.h"
#include "node/customer/customer_limits.h"
#include "node/peers/membership_driver.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>

using namespace chicoryspar;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// A node with only its membership and its rate limits.
struct TestNode
{
    TestNode(asio::io_context &io, const std::string &name, const std::vector<std::string> &seeds)
        : settings{.name = name, .region = "maine-north", .zone = "a", .seeds = seeds, .fleetKey = "fleet key"}
        , acceptor(io, {asio::ip::make_address("127.0.0.1"), 0})
        , context(io, settings, *nativeEdgeDialect(), static_cast<std::uint64_t>(toMilliseconds(wallNow().time_since_epoch())),
                  hashBytes(name))
        , driver(context)
        , limits(context, driver)
    {
        context.peersAddress = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        EXPECT_FALSE(driver.start(acceptor.local_endpoint().port()));
    }

    void configure(const std::vector<CustomerSpec> &customers)
    {
        auto object = std::make_shared<ConfigObject>();
        object->kind = ObjectKind::RouteTable;
        object->name = "routes";
        object->version = 1;
        object->spec = RouteTableSpec{.customers = customers};
        EXPECT_EQ(context.config.applyObject(steadyNow(), object), ApplyResult::InForce);
        context.configChanged.emitChange(steadyNow());
    }

    NodeSettings settings;
    asio::ip::tcp::acceptor acceptor;
    NodeContext context;
    MembershipDriver driver;
    CustomerLimits limits;
};

} // namespace

// Guards against nodes that don't exchange their counts, refusals without a time, and requests that are never decided.
TEST(CustomerLimits, TwoNodesShareALimit)
{
    asio::io_context io{1};
    const std::vector<CustomerSpec> customers{
        {.name = "small", .requestsPerSecond = 40, .burst = 40}, {.name = "other", .requestsPerSecond = 40, .burst = 40}, {.name = "free"}};
    TestNode first(io, "node-0", {});
    TestNode second(io, "node-1", {first.context.peersAddress});
    first.configure(customers);
    second.configure(customers);
    const auto runFor = [&io](Duration time) {
        io.restart();
        io.run_for(time);
    };
    // Long enough for a node to count as settled and for its buckets to fill.
    runFor(4s);
    ASSERT_EQ(first.driver.membership().presentCount(), 2U);

    std::array<int, 2> admitted{};
    int refused = 0;
    int decided = 0;
    const auto send = [&](TestNode &node, std::size_t customer) {
        node.limits.admit(steadyNow(), customers[customer], [&, customer](const RateLimitDecision &decision) {
            ++decided;
            if (decision.verdict == RateLimitVerdict::Admitted) {
                ++admitted.at(customer);
            } else {
                ++refused;
                EXPECT_GT(decision.retryAfter, Duration{0});
            }
        });
    };
    const auto begin = steadyNow();
    for (int n = 0; n < 300; ++n) {
        send(n % 2 == 0 ? first : second, static_cast<std::size_t>(n / 2 % 2));
        runFor(3ms);
    }
    runFor(300ms);
    EXPECT_EQ(decided, 300);
    EXPECT_GT(refused, 0);
    const auto seconds = std::chrono::duration<double>(steadyNow() - begin).count();
    for (const auto it : admitted) {
        EXPECT_LE(it, (40 * seconds + 40) * 1.1 + 20);
        EXPECT_GE(it, 40);
    }
    EXPECT_GT(first.limits.use(steadyNow(), "small"), 1);
    EXPECT_EQ(first.limits.use(steadyNow(), "free"), 0);
    EXPECT_EQ(first.driver.datagrams().rejected + second.driver.datagrams().rejected, 0U);
    EXPECT_NE(first.limits.renderMetrics().find("chicoryspar_customer_messages_total"), std::string::npos);

    // One node ends without a leave; the other one decides on every request although an owner may be gone.
    second.driver.stop();
    decided = 0;
    for (int n = 0; n < 100; ++n) {
        send(first, static_cast<std::size_t>(n % 2));
        runFor(10ms);
    }
    runFor(300ms);
    EXPECT_EQ(decided, 100);
    EXPECT_EQ(first.limits.waitingCount(), 0U);
}

// Guards against a decision on a request that its caller has given up.
TEST(CustomerLimits, AbandonedRequestIsNotDecided)
{
    asio::io_context io{1};
    TestNode node(io, "node-0", {});
    const CustomerSpec customer{.name = "small", .requestsPerSecond = 5, .burst = 5};
    node.configure({customer});
    bool isDecided = false;
    // Just after the start the node doesn't answer token requests, not even its own.
    const auto ticket = node.limits.admit(steadyNow(), customer, [&](const RateLimitDecision &) { isDecided = true; });
    ASSERT_NE(ticket, 0U);
    node.limits.abandon(ticket);
    io.run_for(400ms);
    EXPECT_FALSE(isDecided);
}

// Guards against refusals of all requests until a node that has just started knows the other members, although its store lists them.
TEST(CustomerLimits, StartingNodeSpendsItsShareOfTheListedNodes)
{
    asio::io_context io{1};
    TestNode node(io, "node-0", {});
    const CustomerSpec customer{.name = "small", .requestsPerSecond = 40, .burst = 40};
    node.configure({customer});
    node.driver.setContacts({"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"});
    std::array<int, 2> counts{};
    for (int n = 0; n < 100; ++n) {
        node.limits.admit(steadyNow(), customer,
                          [&](const RateLimitDecision &decision) { ++counts.at(decision.verdict == RateLimitVerdict::Admitted ? 0 : 1); });
    }
    io.run_for(400ms);
    EXPECT_EQ(counts[0] + counts[1], 100);
    EXPECT_GE(counts[0], 3);
    // A quarter of the rate since the start, and of the tokens at the start.
    EXPECT_LE(counts[0], 10);
}
