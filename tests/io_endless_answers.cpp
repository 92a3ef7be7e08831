/// @file
/// Guards against backend servers that send bytes without end until the caller closes: in a head, a chunk, a trailer, interim answers or a
/// body. Each exchange must end by its time limit, hold bounded memory and leave other exchanges alone.

#include "node/gate/backend_client.h"
#include "tests/heap_size.h"

#include <array>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

using namespace chicoryspar;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using boost::asio::ip::tcp;

namespace {

constexpr Duration kTimeLimit = 400ms;
/// Delay of timers that is tolerated on a busy machine.
constexpr Duration kTimerSlack = 250ms;
constexpr std::uint64_t kMaxBodyBytes = 256 * 1024;
/// Largest heap that one exchange may add: a body at its limit, which a string doubles while it grows, its head and read buffers.
constexpr std::size_t kMaxHeldBytes = 3 * kMaxBodyBytes;
/// Unfinished bodies of several exchanges at once.
constexpr int kExchanges = 24;
constexpr std::uint64_t kMaxTotalBodyBytes = 1024 * 1024;
/// Buffers of one connection, on both sides.
constexpr std::size_t kConnectionBytes = 192 * 1024;

/// What a backend server sends, once and then again and again.
struct Endless
{
    const char *name;
    std::string start;
    std::string rest;
};

const std::string kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

const std::array kCases{
    Endless{"status line", "HTTP/1.1 200 ", std::string(4096, 'x')},
    Endless{"header line", "HTTP/1.1 200 OK\r\nX-A: ", std::string(4096, 'x')},
    Endless{"header lines", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
    Endless{"no answer", "", std::string(4096, '\0')},
    Endless{"empty lines", "", "\r\n\r\n\r\n\r\n"},
    Endless{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    Endless{"chunk size", kChunkedHead, std::string(4096, '0')},
    Endless{"chunk extension", kChunkedHead + "5;", std::string(4096, 'x')},
    Endless{"chunks", kChunkedHead, "5\r\nhello\r\n"},
    Endless{"trailer line", kChunkedHead + "0\r\nX-A: ", std::string(4096, 'x')},
    Endless{"trailer lines", kChunkedHead + "0\r\n", "X-A: b\r\n"},
    Endless{"trailer line longer than a field can be", kChunkedHead + "0\r\nX-A: " + std::string(66'000, 'x') + "\r\n\r\n", ""},
    Endless{"body without a length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", std::string(4096, 'x')},
    Endless{"body of a huge length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", std::string(4096, 'x')},
};

/// A backend server that answers the path "/good" and sends an endless answer to all others.
class EndlessServer
{
public:
    /// @param pause between two writes; zero for full speed
    EndlessServer(asio::io_context &io, const Endless &bytes, Duration pause)
        : m_acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_bytes(bytes)
        , m_pause(pause)
    {
        accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    struct Peer
    {
        explicit Peer(tcp::socket it)
            : socket(std::move(it))
            , timer(socket.get_executor())
        {
        }
        tcp::socket socket;
        asio::steady_timer timer;
        std::string request;
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
            if (!ec) {
                serve(std::make_shared<Peer>(std::move(socket)));
                accept();
            }
        });
    }

    void serve(const std::shared_ptr<Peer> &peer)
    {
        asio::async_read_until(peer->socket, asio::dynamic_buffer(peer->request), "\r\n\r\n",
                               [this, peer](boost::system::error_code ec, std::size_t) {
                                   static const std::string s_good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                                   if (ec) {
                                       return;
                                   }
                                   const bool isGood = peer->request.find(" /good ") != std::string::npos;
                                   peer->request.clear();
                                   asio::async_write(peer->socket, asio::buffer(isGood ? s_good : m_bytes.start),
                                                     [this, peer, isGood](boost::system::error_code writeError, std::size_t) {
                                                         if (!writeError && isGood) {
                                                             serve(peer);
                                                         } else if (!writeError) {
                                                             writeRest(peer);
                                                         }
                                                     });
                               });
    }

    void writeRest(const std::shared_ptr<Peer> &peer)
    {
        asio::async_write(peer->socket, asio::buffer(m_bytes.rest), [this, peer](boost::system::error_code ec, std::size_t) {
            if (ec) {
                return;
            }
            peer->timer.expires_after(m_pause);
            peer->timer.async_wait([this, peer](boost::system::error_code waitError) {
                if (!waitError) {
                    writeRest(peer);
                }
            });
        });
    }

    tcp::acceptor m_acceptor;
    const Endless &m_bytes;
    Duration m_pause;
};

struct Played
{
    std::optional<BackendResult> end;
    Duration elapsed{0};
    std::size_t heldBytes = 0;
    /// Outcome of an exchange that was begun on the same client at the same time.
    std::optional<BackendResult> other;
};

Played play(const Endless &bytes, Duration pause)
{
    asio::io_context io{1};
    EndlessServer server(io, bytes, pause);
    BackendClient client(io, {.maxBodyBytes = kMaxBodyBytes});
    client.setTarget(server.address(), 8);
    Played played;
    const auto startedAt = std::chrono::steady_clock::now();
    played.heldBytes = peakOf([&] {
        client.send({.verb = "GET", .target = "/endless"}, kTimeLimit, [&](BackendResult result) {
            played.end = std::move(result);
            played.elapsed = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - startedAt);
        });
        client.send({.verb = "GET", .target = "/good"}, kTimeLimit, [&](BackendResult result) { played.other = std::move(result); });
        io.run_for(kTimeLimit + 2 * kTimerSlack);
    });
    return played;
}

void check(Duration pause)
{
    for (const auto &it : kCases) {
        const auto played = play(it, pause);
        ASSERT_TRUE(played.end) << it.name << ": the exchange hasn't ended";
        EXPECT_EQ(played.end->outcome, Outcome::Unknown) << it.name;
        EXPECT_LE(played.elapsed, kTimeLimit + kTimerSlack) << it.name;
        EXPECT_LE(played.heldBytes, kMaxHeldBytes) << it.name;
        ASSERT_TRUE(played.other) << it.name;
        EXPECT_EQ(played.other->response.body, "ok") << it.name;
    }
}

} // namespace

TEST(EndlessAnswers, AtFullSpeed)
{
    check(Duration{0});
}

TEST(EndlessAnswers, Slowly)
{
    check(20ms);
}

// Endless answers to many requests at once held a body at its limit each, more together than a node may use.
TEST(EndlessAnswers, ManyAtOnceHoldBoundedMemoryAndLeaveSoundAnswersAlone)
{
    const Endless endless{"body without a length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", std::string(4096, 'x')};
    asio::io_context io{1};
    EndlessServer server(io, endless, 1ms);
    BackendClient client(io, {.maxTotalBodyBytes = kMaxTotalBodyBytes});
    client.setTarget(server.address(), kExchanges + 1);
    int ended = 0;
    std::optional<BackendResult> good;
    const auto held = peakOf([&] {
        for (int n = 0; n < kExchanges; ++n) {
            client.send({.verb = "GET", .target = "/endless"}, 2 * kTimeLimit, [&](const BackendResult &result) {
                EXPECT_EQ(result.outcome, Outcome::Unknown);
                ++ended;
            });
        }
        io.run_for(kTimeLimit);
        client.send({.verb = "GET", .target = "/good"}, kTimeLimit, [&](BackendResult result) { good = std::move(result); });
        io.run_for(2 * kTimeLimit + kTimerSlack);
    });
    EXPECT_EQ(ended, kExchanges);
    EXPECT_LE(held, 2 * kMaxTotalBodyBytes + kExchanges * kConnectionBytes);
    ASSERT_TRUE(good);
    EXPECT_EQ(good->response.body, "ok");
}
