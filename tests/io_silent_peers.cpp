/// @file
/// Guards against calls that are lost on connections between nodes which have gone silent for good while new ones work, and against taking
/// a paused node for a silent connection.

#include "node/peers/membership_driver.h"
#include "node/peers/peer_set.h"

#include "node/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

using namespace chicoryspar;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using boost::asio::ip::tcp;

namespace {

constexpr Duration kWaitTimeout = 10s;
/// Within this time of the silence, new calls have to take another connection.
constexpr Duration kNoticeBound = 1s;
constexpr Duration kCallInterval = 50ms;

/// Passes TCP connections on. Those that are open at a call of silence() stay open and pass nothing more on.
class Relay
{
public:
    Relay(asio::io_context &io, std::uint16_t target)
        : m_io(io)
        , m_target(target)
        , m_acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

    void silence()
    {
        ++m_generation;
    }

private:
    struct Link
    {
        explicit Link(tcp::socket it)
            : near(std::move(it))
            , far(near.get_executor())
        {
        }
        tcp::socket near;
        tcp::socket far;
        int generation = 0;
        std::array<std::array<char, 4096>, 2> bufs{};
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
            if (ec) {
                return;
            }
            const auto link = std::make_shared<Link>(std::move(socket));
            link->generation = m_generation;
            link->far.connect(tcp::endpoint(asio::ip::address_v4::loopback(), m_target), ec);
            m_links.push_back(link);
            copy(link, link->near, link->far, 0);
            copy(link, link->far, link->near, 1);
            accept();
        });
    }

    void copy(const std::shared_ptr<Link> &link, tcp::socket &from, tcp::socket &to, std::size_t n)
    {
        from.async_read_some(asio::buffer(link->bufs.at(n)), [this, link, &from, &to, n](boost::system::error_code ec, std::size_t bytes) {
            if (link->generation != m_generation) {
                return;
            }
            if (ec) {
                to.close(ec);
                return;
            }
            asio::write(to, asio::buffer(link->bufs.at(n), bytes), ec);
            copy(link, from, to, n);
        });
    }

    asio::io_context &m_io;
    std::uint16_t m_target;
    tcp::acceptor m_acceptor;
    std::vector<std::shared_ptr<Link>> m_links;
    int m_generation = 0;
};

NodeSettings makeSettings(const std::string &name, std::vector<std::string> seeds)
{
    return {.name = name, .region = "r", .zone = "z", .seeds = std::move(seeds)};
}

/// A node with membership and connections only; calls are answered by the test. It is reached through a relay.
struct TestNode
{
    TestNode(asio::io_context &io, const std::string &name, const std::vector<std::string> &seeds)
        : settings(makeSettings(name, seeds))
        , context(io, settings, *nativeEdgeDialect(), 1, hashBytes(name))
        , peers(context)
        , membership(context)
    {
        context.peers = &peers;
        EXPECT_FALSE(peers.start());
        relay = std::make_unique<Relay>(io, peers.port());
        context.peersAddress = "127.0.0.1:" + std::to_string(relay->port());
        EXPECT_FALSE(membership.start(relay->port()));
        peers.setCallHandler(
            [this](const CallRequest &, AnswerHandler handler) {
                ++calls;
                if (holdsCalls) {
                    held.push_back(std::move(handler));
                } else {
                    handler(CallAnswer{.outcome = Outcome::Answer, .status = 200});
                }
                return calls;
            },
            [](std::uint64_t) {});
    }

    NodeSettings settings;
    NodeContext context;
    PeerSet peers;
    MembershipDriver membership;
    std::unique_ptr<Relay> relay;
    std::uint64_t calls = 0;
    bool holdsCalls = false;
    std::vector<AnswerHandler> held;
};

class SilentPeers : public testing::Test
{
protected:
    void SetUp() override
    {
        m_b = std::make_unique<TestNode>(m_ioB, "b", std::vector<std::string>{});
        m_a = std::make_unique<TestNode>(m_ioA, "a", std::vector<std::string>{m_b->context.peersAddress});
        m_idB = makeNodeId("b");
        ASSERT_TRUE(runUntil([this] { return m_a->membership.membership().presentCount() == 2; }));
        ASSERT_EQ(call().outcome, Outcome::Answer);
    }

    template<typename Condition>
    bool runUntil(Condition condition, bool runsB = true)
    {
        const auto end = steadyNow() + kWaitTimeout;
        while (!condition() && steadyNow() < end) {
            m_ioA.run_for(1ms);
            m_ioA.restart();
            if (runsB) {
                m_ioB.run_for(1ms);
                m_ioB.restart();
            }
        }
        return condition();
    }

    void run(Duration duration, bool runsB = true)
    {
        const auto end = steadyNow() + duration;
        runUntil([end] { return steadyNow() >= end; }, runsB);
    }

    std::shared_ptr<std::optional<CallAnswer>> beginCall()
    {
        auto end = std::make_shared<std::optional<CallAnswer>>();
        m_a->peers.beginCall(m_idB, CallRequest{}, [end](CallAnswer answer) { *end = std::move(answer); });
        return end;
    }

    CallAnswer call()
    {
        const auto end = beginCall();
        EXPECT_TRUE(runUntil([&] { return end->has_value(); }));
        return end->value_or(CallAnswer());
    }

    asio::io_context m_ioA{1};
    asio::io_context m_ioB{1};
    std::unique_ptr<TestNode> m_a;
    std::unique_ptr<TestNode> m_b;
    NodeId m_idB;
};

} // namespace

// Calls went on over a silent connection until it was retired, after more than two seconds.
TEST_F(SilentPeers, CallsTakeAnotherConnectionSoonAfterTheSilence)
{
    m_b->relay->silence();
    const auto silentSince = steadyNow();
    while (steadyNow() < silentSince + kNoticeBound) {
        beginCall();
        run(kCallInterval);
    }
    const auto begunAt = steadyNow();
    EXPECT_EQ(call().outcome, Outcome::Answer);
    EXPECT_LT(steadyNow() - begunAt, 500ms);
}

// An idle connection was found silent only by the calls that it lost.
TEST_F(SilentPeers, IdleConnectionsAreProbedAfterOneWasFoundSilent)
{
    m_b->relay->silence();
    m_a->peers.probeAll();
    run(kNoticeBound);
    EXPECT_EQ(call().outcome, Outcome::Answer);
}

// The reply to a configuration pull went over another connection, which could be silent without a sign of it.
TEST_F(SilentPeers, ReplyArrivesOverTheConnectionOfItsRequest)
{
    bool hasReply = false;
    m_b->peers.setFrameHandler(FrameType::ConfigPull, [this](const PeerSet::FrameSource &from, std::string_view) {
        EXPECT_TRUE(m_b->peers.sendReply(from, encodeFrame(ConfigPullAnswer{})));
    });
    m_a->peers.setFrameHandler(FrameType::ConfigPullAnswer, [&](const PeerSet::FrameSource &, std::string_view) { hasReply = true; });
    // Opens the connection of the other direction.
    ASSERT_TRUE(runUntil([this] { return m_b->membership.membership().presentCount() == 2; }));
    ASSERT_TRUE(m_b->peers.sendFrame(makeNodeId("a"), encodeFrame(CallCancel{})));
    run(200ms);
    m_a->relay->silence();
    ASSERT_TRUE(m_a->peers.sendRequest(m_idB, encodeFrame(ConfigPull{})));
    EXPECT_TRUE(runUntil([&] { return hasReply; }));
}

// A node that is paused for less than the silence timeout keeps its calls, also those on a connection that was replaced meanwhile.
TEST_F(SilentPeers, PausedNodeKeepsItsCalls)
{
    constexpr bool kRunsB = false;
    m_b->holdsCalls = true;
    const auto first = beginCall();
    ASSERT_TRUE(runUntil([this] { return m_b->held.size() == 1; }));
    run(900ms, kRunsB);
    const auto second = beginCall();
    EXPECT_EQ(m_a->peers.connectionCount(), 2U);
    run(300ms, kRunsB);
    EXPECT_FALSE(first->has_value() || second->has_value());
    ASSERT_TRUE(runUntil([this] { return m_b->held.size() == 2; }));
    for (const auto &it : m_b->held) {
        it(CallAnswer{.outcome = Outcome::Answer, .status = 200});
    }
    ASSERT_TRUE(runUntil([&] { return first->has_value() && second->has_value(); }));
    EXPECT_EQ((*first)->outcome, Outcome::Answer);
    EXPECT_EQ((*second)->outcome, Outcome::Answer);
    EXPECT_EQ(m_a->peers.connectionCount(), 1U);
}
