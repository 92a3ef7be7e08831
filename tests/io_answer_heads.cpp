/// @file
/// Guards against answers with a malformed head that pass for answers, at the readers beside the node's client of its backend server: the
/// store client, the client of the operators' port and the caller library.

#include "caller/http_client.h"
#include "platform/platform.h"
#include "store/http_call.h"

#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

using namespace chicoryspar;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::string_view kBody = R"({"items":[],"hasMore":false,"at":12})";

/// Answers the request on each connection with @a answer and closes it.
class RawServer
{
public:
    explicit RawServer(std::string answer)
        : m_answer(std::move(answer))
        , m_acceptor(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        accept();
        m_thread = std::thread([this] { m_io.run(); });
    }

    ~RawServer()
    {
        m_io.stop();
        m_thread.join();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    /// Start line of the last request.
    std::string request;

private:
    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
            std::string buf;
            asio::read_until(socket, asio::dynamic_buffer(buf), "\r\n\r\n", ec);
            request = buf.substr(0, buf.find("\r\n"));
            asio::write(socket, asio::buffer(m_answer), ec);
            socket.shutdown(tcp::socket::shutdown_send, ec);
            accept();
        });
    }

    std::string m_answer;
    asio::io_context m_io{1};
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

std::string makeAnswer(const std::string &statusLine, const std::string &field = {})
{
    return statusLine + "\r\n" + field + "Content-Length: " + std::to_string(kBody.size()) + "\r\n\r\n" + std::string(kBody);
}

const std::array kMalformed{
    makeAnswer("HTTP/1.1 000 OK"),
    makeAnswer("HTTP/1.1 099 OK"),
    makeAnswer("HTTP/1.1 777 OK"),
    makeAnswer("HTTP/2.0 200 OK"),
    makeAnswer("HTTP/1.1 2000 OK"),
    makeAnswer("HTTP/1.1 200 O\x01K"),
    makeAnswer("HTTP/1.1 200 OK", "X Y: 1\r\n"),
    makeAnswer("HTTP/1.1 200 OK", "X-Y : 1\r\n"),
    makeAnswer("HTTP/1.1 200 OK", " X-Y: 1\r\n"),
    makeAnswer("HTTP/1.1 200 OK", "X\x02Y: 1\r\n"),
    makeAnswer("HTTP/1.1 200 OK", "X-Y\r\n"),
    makeAnswer("HTTP/1.1 200 OK", "X-Y: a\x7F\r\n"),
    makeAnswer("HTTP/1.1 200 OK", "Content-Length: 5\r\n"),
    makeAnswer("HTTP/1.1 200 OK", "Transfer-Encoding: gzip\r\n"),
};

std::error_code listFrom(const RawServer &server)
{
    const auto client = createStoreClient({.address = server.address(), .callTimeout = 500ms, .dialect = sidecarStoreDialect()});
    return readObjects(*client, ObjectKind::Contact).ec;
}

/// Returns how a request of the caller library to @a server ends.
ExchangeEnd exchangeWith(const RawServer &server)
{
    asio::io_context io{1};
    HttpClient client(io);
    auto end = ExchangeEnd::Count;
    client.begin(server.address(), {}, 500ms, [&end](ExchangeEnd it, ExchangeResponse &) { end = it; });
    io.run_for(2s);
    return end;
}

} // namespace

TEST(AnswerHeads, MalformedOnesAreNoAnswers)
{
    for (const auto &it : kMalformed) {
        RawServer server(it);
        EXPECT_EQ(listFrom(server), StoreError::Malformed) << it;
        EXPECT_EQ(runHttpCall({.address = server.address(), .verb = "GET", .target = "/"}).end, HttpCallEnd::Malformed) << it;
        EXPECT_EQ(exchangeWith(server), ExchangeEnd::Lost) << it;
    }
}

TEST(AnswerHeads, SoundOnesAreRead)
{
    RawServer server(makeAnswer("HTTP/1.1 200 ", "X-Y: a\tb\xC3\xA4\r\nX-Z:\r\n"));
    EXPECT_FALSE(listFrom(server));
    const auto answer = runHttpCall({.address = server.address(), .verb = "GET", .target = "/"});
    EXPECT_EQ(answer.end, HttpCallEnd::Answered);
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, kBody);
    EXPECT_EQ(findHeader(answer, "x-y"), "a\tb\xC3\xA4");
    EXPECT_EQ(exchangeWith(server), ExchangeEnd::Answered);
}

// A write that ended with a status below 200 counted as done.
TEST(AnswerHeads, StatusesThatEndNoCallAreNoSuccess)
{
    for (const auto &dialect : {sidecarStoreDialect(), nativeStoreDialect()}) {
        for (const int status : {0, 99, 100, 101, 199, 600, 999}) {
            EXPECT_EQ(dialect->errorOf(status, ""), StoreError::Malformed) << status;
        }
        EXPECT_FALSE(dialect->errorOf(201, ""));
    }
}

// A name with a blank made the library throw, and the process end.
TEST(AnswerHeads, NamesThatAPathCannotHoldAreEncoded)
{
    RawServer server(makeAnswer("HTTP/1.1 200 OK"));
    const auto client = createStoreClient({.address = server.address(), .dialect = sidecarStoreDialect()});
    readObject(*client, ObjectKind::Contact, "a b\r\n\x01\xC3\xA4");
    EXPECT_EQ(server.request, "GET /chicoryspar/objects/node-contacts/a%20b%0D%0A%01%C3%A4 HTTP/1.1");
}
