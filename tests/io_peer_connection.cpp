/// @file
/// Tests of connections between nodes: authentication, silent peers, invalid input and the state of queued frames.

#include "node/peers/peer_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

using namespace chicoryspar;
namespace asio = boost::asio;
using boost::asio::ip::tcp;

namespace {

constexpr Duration kWaitLimit = std::chrono::seconds(5);

PeerConnectionOptions fastOptions()
{
    return PeerConnectionOptions{.connectTimeout = std::chrono::milliseconds(200),
                                 .handshakeTimeout = std::chrono::milliseconds(300),
                                 .heartbeatInterval = std::chrono::milliseconds(50),
                                 .silenceTimeout = std::chrono::milliseconds(250)};
}

/// One end of a connection; records what its callbacks receive.
struct TestEndpoint
{
    std::shared_ptr<PeerConnection> connection;
    std::string openedPeer;
    std::vector<std::string> payloads;
    std::optional<Reason> closedFor;
    bool isAwaitingAnswer = false;

    void create(tcp::socket socket, const std::string &name, const std::string &key)
    {
        PeerConnection::Callbacks callbacks;
        callbacks.onOpen = [this](const std::string &other) { openedPeer = other; };
        callbacks.onFrame = [this](const Frame &frame) { payloads.emplace_back(frame.payload); };
        callbacks.onClosed = [this](Reason reason) { closedFor = reason; };
        callbacks.isAwaitingAnswer = [this] { return isAwaitingAnswer; };
        const PeerIdentity identity{.node = name, .boot = 1, .fleetKey = key, .makeNonce = [name] { return "nonce of " + name; }};
        connection = std::make_shared<PeerConnection>(std::move(socket), identity, fastOptions(), std::move(callbacks));
    }
};

/// Both ends run on one thread. Each has its own io_context, so that a test can stall one of them.
class PeerConnectionTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_acceptor.open(tcp::v4());
        m_acceptor.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        m_acceptor.listen();
    }

    /// @param sendBufferBytes size of the send buffer of end A; 0 for the system's default
    void connect(const std::string &keyA, const std::string &keyB, int sendBufferBytes = 0)
    {
        m_acceptor.async_accept(m_ioB, [this, keyB](boost::system::error_code ec, tcp::socket socket) {
            ASSERT_FALSE(ec);
            m_b.create(std::move(socket), "b", keyB);
            m_b.connection->beginAccepted();
        });
        tcp::socket socket(m_ioA, tcp::v4());
        if (sendBufferBytes > 0) {
            socket.set_option(tcp::socket::send_buffer_size(sendBufferBytes));
        }
        m_a.create(std::move(socket), "a", keyA);
        m_a.connection->beginConnect(m_acceptor.local_endpoint());
    }

    /// Runs both ends, or only end A, until @a isDone returns true or kWaitLimit has passed.
    template<typename Condition>
    bool runUntil(Condition isDone, bool runsBoth = true)
    {
        const auto end = std::chrono::steady_clock::now() + kWaitLimit;
        while (!isDone() && std::chrono::steady_clock::now() < end) {
            m_ioA.run_for(std::chrono::milliseconds(1));
            m_ioA.restart();
            if (runsBoth) {
                m_ioB.run_for(std::chrono::milliseconds(1));
                m_ioB.restart();
            }
        }
        return isDone();
    }

    bool runUntilOpen()
    {
        return runUntil([this] { return m_a.openedPeer == "b" && m_b.openedPeer == "a"; });
    }

    asio::io_context m_ioA;
    asio::io_context m_ioB;
    tcp::acceptor m_acceptor{m_ioB};
    TestEndpoint m_a;
    TestEndpoint m_b;
};

constexpr auto kKey = "a fleet key of 16 bytes";

} // namespace

TEST_F(PeerConnectionTest, CarriesFramesInOrder)
{
    connect(kKey, kKey);
    for (std::uint64_t n = 1; n <= 100; ++n) {
        EXPECT_EQ(m_a.connection->send(encodeFrame(CallCancel{.id = n})), n);
    }
    ASSERT_TRUE(runUntil([this] { return m_b.payloads.size() == 100; }));
    for (std::uint64_t n = 1; n <= 100; ++n) {
        EXPECT_EQ(decodePayload<CallCancel>(m_b.payloads[n - 1])->id, n);
    }
}

TEST_F(PeerConnectionTest, WrongKeyIsRefusedBeforeAnyFrameIsSent)
{
    connect(kKey, "another key of 16 bytes");
    m_a.connection->send(encodeFrame(CallCancel{.id = 1}));
    ASSERT_TRUE(runUntil([this] { return m_a.closedFor && m_b.closedFor; }));
    EXPECT_TRUE(m_a.openedPeer.empty());
    EXPECT_TRUE(m_b.openedPeer.empty());
    EXPECT_TRUE(m_b.payloads.empty());
    EXPECT_FALSE(m_a.connection->mayBeSent(1));
}

TEST_F(PeerConnectionTest, MissingKeyIsRefused)
{
    connect("", kKey);
    ASSERT_TRUE(runUntil([this] { return m_a.closedFor && m_b.closedFor; }));
    EXPECT_TRUE(m_b.openedPeer.empty());
}

TEST_F(PeerConnectionTest, SilentPeerIsRetiredWhileAnAnswerIsAwaited)
{
    connect(kKey, kKey);
    ASSERT_TRUE(runUntilOpen());
    m_a.isAwaitingAnswer = true;
    ASSERT_TRUE(runUntil([this] { return m_a.closedFor.has_value(); }, false));
    EXPECT_EQ(m_a.closedFor, Reason::ConnectionSilent);
}

TEST_F(PeerConnectionTest, HeartbeatsKeepTheConnectionOpenDuringASlowCall)
{
    connect(kKey, kKey);
    ASSERT_TRUE(runUntilOpen());
    m_a.isAwaitingAnswer = true;
    const auto end = std::chrono::steady_clock::now() + 4 * fastOptions().silenceTimeout;
    runUntil([end] { return std::chrono::steady_clock::now() > end; });
    EXPECT_FALSE(m_a.closedFor);
    EXPECT_TRUE(m_a.connection->isOpen());
}

TEST_F(PeerConnectionTest, FramesCanBeWithdrawnUntilTheyAreSent)
{
    connect(kKey, kKey);
    const auto first = m_a.connection->send(encodeFrame(CallCancel{.id = 1}));
    const auto second = m_a.connection->send(encodeFrame(CallCancel{.id = 2}));
    EXPECT_TRUE(m_a.connection->withdraw(first));
    EXPECT_FALSE(m_a.connection->withdraw(first));
    ASSERT_TRUE(runUntil([this] { return m_b.payloads.size() == 1; }));
    EXPECT_EQ(decodePayload<CallCancel>(m_b.payloads[0])->id, 2U);
    EXPECT_FALSE(m_a.connection->withdraw(second));
    EXPECT_TRUE(m_a.connection->mayBeSent(second));
}

TEST_F(PeerConnectionTest, RandomBytesCloseTheConnection)
{
    Random random(4);
    for (int round = 0; round < 50; ++round) {
        m_b = {};
        m_acceptor.async_accept(m_ioB, [this](boost::system::error_code, tcp::socket socket) {
            m_b.create(std::move(socket), "b", kKey);
            m_b.connection->beginAccepted();
        });
        asio::io_context io;
        tcp::socket stranger(io);
        stranger.connect(m_acceptor.local_endpoint());
        std::string bytes(1 + drawBelow(random, 8000), '\0');
        for (auto &it : bytes) {
            it = static_cast<char>(drawBelow(random, 256));
        }
        boost::system::error_code ec;
        asio::write(stranger, asio::buffer(bytes), ec);
        ASSERT_TRUE(runUntil([this] { return m_b.closedFor.has_value(); }));
        EXPECT_TRUE(m_b.openedPeer.empty());
    }
}

TEST_F(PeerConnectionTest, PeerThatStallsMidFrameIsRetired)
{
    connect(kKey, kKey);
    ASSERT_TRUE(runUntilOpen());
    // The peer sends the first five bytes of a frame and then stalls.
    m_b.connection->send(encodeFrame(CallCancel{.id = 9}).substr(0, 5));
    m_a.isAwaitingAnswer = true;
    for (int n = 0; n < 5; ++n) {
        m_ioB.run_for(std::chrono::milliseconds(1));
        m_ioB.restart();
    }
    ASSERT_TRUE(runUntil([this] { return m_a.closedFor.has_value(); }, false));
    EXPECT_EQ(m_a.closedFor, Reason::ConnectionSilent);
    EXPECT_TRUE(m_a.payloads.empty());
}

// A frame that takes longer than the silence timeout to send: the peer reads steadily, but can answer no heartbeat before its end.
TEST_F(PeerConnectionTest, LongFrameToASlowReaderIsSentToItsEnd)
{
    constexpr int kBufferBytes = 64 * 1024;
    constexpr std::size_t kFrameBytes = 5 * 1024 * 1024;
    m_acceptor.set_option(tcp::acceptor::receive_buffer_size(kBufferBytes));
    connect(kKey, kKey, kBufferBytes);
    ASSERT_TRUE(runUntilOpen());
    const auto startedAt = std::chrono::steady_clock::now();
    ASSERT_NE(m_a.connection->send(encodeFrame(CallAnswer{.id = 1, .body = std::string(kFrameBytes, 'x')})), 0U);
    while (m_b.payloads.empty() && !m_a.closedFor && !m_b.closedFor && std::chrono::steady_clock::now() < startedAt + kWaitLimit) {
        m_ioA.run_for(std::chrono::milliseconds(1));
        m_ioA.restart();
        m_ioB.poll_one();
        m_ioB.restart();
    }
    EXPECT_GT(std::chrono::steady_clock::now() - startedAt, 2 * fastOptions().silenceTimeout);
    EXPECT_EQ(m_b.payloads.size(), 1U);
    EXPECT_FALSE(m_a.closedFor);
}

// A peer whose process hangs takes no more bytes once its buffers are full.
TEST_F(PeerConnectionTest, LongFrameToAPeerThatStopsReadingIsGivenUp)
{
    constexpr int kBufferBytes = 64 * 1024;
    constexpr std::size_t kFrameBytes = 5 * 1024 * 1024;
    m_acceptor.set_option(tcp::acceptor::receive_buffer_size(kBufferBytes));
    connect(kKey, kKey, kBufferBytes);
    ASSERT_TRUE(runUntilOpen());
    m_a.connection->send(encodeFrame(CallAnswer{.id = 1, .body = std::string(kFrameBytes, 'x')}));
    EXPECT_TRUE(runUntil([this] { return m_a.closedFor.has_value(); }, false));
    EXPECT_EQ(m_a.closedFor, Reason::ConnectionSilent);
}

TEST_F(PeerConnectionTest, SilenceTimeoutStartsWhenAnIdleConnectionAwaitsAnAnswer)
{
    connect(kKey, kKey);
    ASSERT_TRUE(runUntilOpen());
    const auto idleEnd = std::chrono::steady_clock::now() + 2 * fastOptions().silenceTimeout;
    runUntil([idleEnd] { return std::chrono::steady_clock::now() > idleEnd; });
    m_a.isAwaitingAnswer = true;
    const auto end = std::chrono::steady_clock::now() + 2 * fastOptions().silenceTimeout;
    runUntil([end] { return std::chrono::steady_clock::now() > end; });
    EXPECT_FALSE(m_a.closedFor);
}
