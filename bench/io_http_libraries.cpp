/// @file
/// Measures the latency of HTTP exchanges on loopback for the four combinations of client and server on Boost.Beast and cpprestsdk. Prints
/// p50 and p99 and checks no limit.

#define _TURN_OFF_PLATFORM_STRING

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cpprest/http_client.h>
#include <cpprest/http_listener.h>

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kBodyBytes = 64;
constexpr int kWarmUpExchanges = 300;
constexpr int kMeasuredExchanges = 3000;

/// Answers every request with a body of kBodyBytes, on one thread for each connection.
class BeastServer
{
public:
    BeastServer()
        : m_acceptor(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_thread([this] { acceptAll(); })
    {
    }

    ~BeastServer()
    {
        m_isStopping = true;
        // One more connection unblocks accept(), so that the thread ends.
        asio::io_context io;
        tcp::socket socket(io);
        socket.connect(m_acceptor.local_endpoint());
        m_thread.join();
        for (const auto &it : m_sockets) {
            beast::error_code ec;
            it->shutdown(tcp::socket::shutdown_both, ec);
        }
        for (auto &it : m_connections) {
            it.join();
        }
    }

    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

private:
    void acceptAll()
    {
        while (!m_isStopping) {
            auto socket = std::make_shared<tcp::socket>(m_io);
            m_acceptor.accept(*socket);
            m_sockets.push_back(socket);
            m_connections.emplace_back([socket] { serve(*socket); });
        }
    }

    static void serve(tcp::socket &socket)
    {
        beast::flat_buffer buf;
        beast::error_code ec;
        socket.set_option(tcp::no_delay(true), ec);
        while (!ec) {
            http::request<http::string_body> request;
            http::read(socket, buf, request, ec);
            if (ec) {
                return;
            }
            http::response<http::string_body> response(http::status::ok, 11);
            response.body().assign(kBodyBytes, 'x');
            response.prepare_payload();
            http::write(socket, response, ec);
        }
    }

    asio::io_context m_io;
    tcp::acceptor m_acceptor;
    std::atomic<bool> m_isStopping = false;
    std::vector<std::shared_ptr<tcp::socket>> m_sockets;
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

/// The same server on cpprestsdk.
class CpprestServer
{
public:
    CpprestServer()
        : m_listener("http://127.0.0.1:" + std::to_string(m_port))
    {
        m_listener.support(
            [](const web::http::http_request &request) { request.reply(web::http::status_codes::OK, std::string(kBodyBytes, 'x')); });
        m_listener.open().wait();
    }

    ~CpprestServer()
    {
        m_listener.close().wait();
    }

    std::uint16_t port() const
    {
        return m_port;
    }

private:
    static std::uint16_t findFreePort()
    {
        asio::io_context io;
        return tcp::acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)).local_endpoint().port();
    }

    std::uint16_t m_port = findFreePort();
    web::http::experimental::listener::http_listener m_listener;
};

class BeastClient
{
public:
    explicit BeastClient(std::uint16_t port)
        : m_socket(m_io)
    {
        m_socket.connect(tcp::endpoint(asio::ip::address_v4::loopback(), port));
        m_socket.set_option(tcp::no_delay(true));
    }

    void exchange()
    {
        http::request<http::string_body> request(http::verb::post, "/", 11);
        request.set(http::field::host, "127.0.0.1");
        request.body().assign(kBodyBytes, 'y');
        request.prepare_payload();
        http::write(m_socket, request);
        http::response<http::string_body> response;
        http::read(m_socket, m_buf, response);
    }

private:
    asio::io_context m_io;
    tcp::socket m_socket;
    beast::flat_buffer m_buf;
};

class CpprestClient
{
public:
    explicit CpprestClient(std::uint16_t port)
        : m_client("http://127.0.0.1:" + std::to_string(port))
    {
    }

    void exchange()
    {
        m_client.request(web::http::methods::POST, "/", std::string(kBodyBytes, 'y'))
            .then([](const web::http::http_response &response) { return response.extract_string(true); })
            .wait();
    }

private:
    web::http::client::http_client m_client;
};

template<typename Server, typename Client>
void measure(const char *client, const char *server)
{
    std::vector<double> latencies;
    Server listener;
    {
        Client sender(listener.port());
        for (int n = 0; n < kWarmUpExchanges + kMeasuredExchanges; ++n) {
            const auto begin = Clock::now();
            sender.exchange();
            if (n >= kWarmUpExchanges) {
                latencies.push_back(std::chrono::duration<double, std::micro>(Clock::now() - begin).count());
            }
        }
    }
    std::sort(latencies.begin(), latencies.end());
    std::printf("%-10s %-10s %8.0f %8.0f\n", client, server, latencies[latencies.size() / 2], latencies[latencies.size() * 99 / 100]);
    std::fflush(stdout);
}

} // namespace

int main()
{
    std::printf("%-10s %-10s %8s %8s   microseconds, %d exchanges of %zu bytes\n", "client", "server", "p50", "p99", kMeasuredExchanges,
                kBodyBytes);
    measure<BeastServer, BeastClient>("beast", "beast");
    measure<CpprestServer, BeastClient>("beast", "cpprestsdk");
    measure<BeastServer, CpprestClient>("cpprestsdk", "beast");
    measure<CpprestServer, CpprestClient>("cpprestsdk", "cpprestsdk");
    return 0;
}
