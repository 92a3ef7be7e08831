/// @file
/// Tests of the membership driver with several nodes on loopback: join, planned leave, end without an announcement, wrong fleet key,
/// clock synchronization.

#include "node/clock.h"
#include "node/peers/membership_driver.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>

using namespace chicoryspar;
namespace asio = boost::asio;

namespace {

constexpr Duration kWaitTimeout = std::chrono::seconds(20);

/// A node with only its membership driver.
struct TestNode
{
    TestNode(asio::io_context &io, const std::string &name, const std::string &key, const std::vector<std::string> &seeds)
        : settings{.name = name, .region = "maine-north", .zone = "a", .seeds = seeds, .fleetKey = key}
        , acceptor(io, {asio::ip::make_address("127.0.0.1"), 0})
        , context(io, settings, *nativeEdgeDialect(), static_cast<std::uint64_t>(toMilliseconds(wallNow().time_since_epoch())),
                  hashBytes(name))
        , driver(context)
    {
        // Like a node, the test node holds the TCP port with the same number as its UDP port.
        context.peersAddress = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        startError = driver.start(acceptor.local_endpoint().port());
    }

    std::size_t presentCount() const
    {
        return driver.membership().presentCount();
    }

    NodeSettings settings;
    asio::ip::tcp::acceptor acceptor;
    NodeContext context;
    MembershipDriver driver;
    std::error_code startError;
};

class MembershipDriverTest : public testing::Test
{
protected:
    TestNode &addNode(const std::string &name, const std::string &key = "fleet key")
    {
        std::vector<std::string> seeds;
        if (!m_nodes.empty()) {
            seeds.push_back(m_nodes.front()->context.peersAddress);
        }
        m_nodes.push_back(std::make_unique<TestNode>(m_io, name, key, seeds));
        EXPECT_FALSE(m_nodes.back()->startError);
        return *m_nodes.back();
    }

    /// Runs all nodes until @a condition holds.
    /// @returns whether it held within kWaitTimeout
    template<typename Condition>
    bool runUntil(Condition condition)
    {
        const auto end = steadyNow() + kWaitTimeout;
        while (!condition()) {
            if (steadyNow() > end) {
                return false;
            }
            m_io.run_for(std::chrono::milliseconds(10));
            m_io.restart();
        }
        return true;
    }

    bool allHavePresentCount(std::size_t count) const
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [count](const auto &it) { return it->presentCount() == count; });
    }

    asio::io_context m_io{1};
    std::vector<std::unique_ptr<TestNode>> m_nodes;
};

} // namespace

TEST_F(MembershipDriverTest, NodesConvergeAndReceiveALeave)
{
    for (int n = 0; n < 5; ++n) {
        addNode("node-" + std::to_string(n));
    }
    ASSERT_TRUE(runUntil([this] { return allHavePresentCount(5); }));
    auto &leaving = m_nodes.back()->driver;
    const auto id = leaving.membership().self().id;
    leaving.beginLeave();
    EXPECT_TRUE(runUntil([this, id] {
        return std::all_of(m_nodes.begin(), m_nodes.end() - 1,
                           [id](const auto &it) { return it->driver.membership().find(id)->state == MemberState::Left; });
    }));
}

TEST_F(MembershipDriverTest, NodeThatStopsWithoutLeavingIsDeclaredDead)
{
    for (int n = 0; n < 3; ++n) {
        addNode("node-" + std::to_string(n));
    }
    ASSERT_TRUE(runUntil([this] { return allHavePresentCount(3); }));
    const auto id = m_nodes.back()->driver.membership().self().id;
    m_nodes.back()->driver.stop();
    EXPECT_TRUE(runUntil([this, id] {
        return std::all_of(m_nodes.begin(), m_nodes.end() - 1,
                           [id](const auto &it) { return it->driver.membership().find(id)->state == MemberState::Dead; });
    }));
    const auto page = m_nodes.front()->context.events.read(0, 100);
    EXPECT_TRUE(std::any_of(page.events.begin(), page.events.end(), [](const Event &it) { return it.kind == EventKind::MemberDead; }));
}

TEST_F(MembershipDriverTest, DatagramsWithAnotherFleetKeyAreRejected)
{
    addNode("node-0");
    addNode("node-1");
    auto &stranger = addNode("stranger", "another key");
    ASSERT_TRUE(runUntil([&] { return m_nodes[0]->presentCount() == 2 && m_nodes[1]->presentCount() == 2; }));
    ASSERT_TRUE(runUntil([&] { return m_nodes[0]->driver.datagrams().rejected >= 3; }));
    EXPECT_EQ(stranger.presentCount(), 1U);
    EXPECT_EQ(m_nodes[0]->presentCount(), 2U);
    EXPECT_EQ(m_nodes[0]->driver.membership().find(makeNodeId("stranger")), nullptr);
}

TEST_F(MembershipDriverTest, ClockOfAReceivedMessageAdvancesTheOwnClock)
{
    auto &first = addNode("node-0");
    auto &second = addNode("node-1");
    const auto ahead = makeHybridTime(wallNow() + std::chrono::minutes(5));
    first.context.clock.observe(ahead, wallNow());
    EXPECT_TRUE(runUntil([&] { return second.context.clock.last() > ahead; }));
}
