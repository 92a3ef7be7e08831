/// @file
/// Guards against calls that wait on a connection to the store which has gone silent while new connections work.

#include <chicoryspar/store.h>

#include <future>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

using namespace chicoryspar;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using boost::asio::ip::tcp;

namespace {

constexpr Duration kCallTimeout = 1s;
constexpr Duration kWatchDuration = 300ms;
constexpr Duration kWatchGrace = 200ms;
/// Delay that is tolerated on a busy machine.
constexpr Duration kSlack = 500ms;

/// A store that answers each request with an empty list. Connections that were open at a call of silence() swallow all later requests.
class Store
{
public:
    Store()
    {
        accept();
        m_thread = std::thread([this] { m_io.run(); });
    }

    ~Store()
    {
        asio::post(m_io, [this] { m_io.stop(); });
        m_thread.join();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    void silence()
    {
        std::promise<void> done;
        asio::post(m_io, [&] {
            ++m_generation;
            done.set_value();
        });
        done.get_future().wait();
    }

private:
    struct Peer
    {
        explicit Peer(tcp::socket it)
            : socket(std::move(it))
        {
        }
        tcp::socket socket;
        std::string request;
        int generation = 0;
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
            if (!ec) {
                const auto peer = std::make_shared<Peer>(std::move(socket));
                peer->generation = m_generation;
                m_peers.push_back(peer);
                serve(peer);
                accept();
            }
        });
    }

    void serve(const std::shared_ptr<Peer> &peer)
    {
        asio::async_read_until(peer->socket, asio::dynamic_buffer(peer->request), "\r\n\r\n",
                               [this, peer](boost::system::error_code ec, std::size_t) {
                                   const bool isWatch = peer->request.find("watch") != std::string::npos;
                                   peer->request.clear();
                                   if (ec || isWatch || peer->generation != m_generation) {
                                       return;
                                   }
                                   static const std::string s_body = R"({"metadata":{"resourceVersion":"1"},"items":[]})";
                                   asio::write(peer->socket,
                                               asio::buffer("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                                            + std::to_string(s_body.size()) + "\r\n\r\n" + s_body),
                                               ec);
                                   serve(peer);
                               });
    }

    asio::io_context m_io{1};
    tcp::acceptor m_acceptor{m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    std::vector<std::shared_ptr<Peer>> m_peers;
    int m_generation = 0;
    std::thread m_thread;
};

std::error_code list(ObjectStore &store)
{
    return readObjects(store, ObjectKind::RetryPolicy).ec;
}

} // namespace

// A list waited on a kept connection that had gone silent, for the whole timeout of a call, before another connection was tried.
TEST(SilentStore, CallAfterTheConnectionsWentSilentIsAnswered)
{
    Store server;
    const auto client = createStoreClient({.address = server.address(), .callTimeout = kCallTimeout});
    for (int n = 0; n < 3; ++n) {
        EXPECT_FALSE(list(*client));
        server.silence();
    }
}

TEST(SilentStore, SilentWatchEndsAsTimedOutSoonAfterItsDuration)
{
    Store server;
    const auto client = createStoreClient({.address = server.address(), .watchGrace = kWatchGrace});
    std::promise<std::error_code> end;
    const auto startedAt = std::chrono::steady_clock::now();
    client->watchObjects(
        {.kind = ObjectKind::RetryPolicy, .version = 1, .duration = kWatchDuration}, [](const StoreEvent &) {},
        [&end](std::error_code ec) { end.set_value(ec); });
    EXPECT_EQ(end.get_future().get(), StoreError::TimedOut);
    const auto elapsed = std::chrono::steady_clock::now() - startedAt;
    EXPECT_GE(elapsed, kWatchDuration);
    EXPECT_LE(elapsed, kWatchDuration + kWatchGrace + kSlack);
}
