/// @file
/// Tests of the HTTP listener over raw sockets: limits, malformed and random input, callers that disconnect.

#include "node/http/http_listener.h"

#include <atomic>
#include <chrono>
#include <future>
#include <string>
#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

using namespace chicoryspar;
namespace asio = boost::asio;
using boost::asio::ip::tcp;

namespace {

constexpr std::uint64_t kMaxBody = 2 * 1024 * 1024;
constexpr std::uint64_t kMaxHeader = 8 * 1024;

/// Echoes the body, and each header under the name "Seen-" + name. "/hold" is never answered; "/later" is answered by "/release".
class EchoHandler : public HttpHandler
{
public:
    std::uint64_t beginRequest(HttpRequest request, Respond respond) override
    {
        ++m_begun;
        if (request.target == "/hold") {
            return 1;
        }
        if (request.target == "/later") {
            m_deferred.push_back(std::move(respond));
            return 2;
        }
        if (request.target == "/release") {
            for (const auto &it : m_deferred) {
                it({.body = "released"});
            }
            m_deferred.clear();
        }
        HttpResponse response;
        for (const auto &it : request.headers) {
            response.headers.push_back({"Seen-" + it.name, it.value});
        }
        response.body = std::move(request.body);
        respond(std::move(response));
        return 0;
    }

    void abandonRequest(std::uint64_t) override
    {
        ++m_abandoned;
    }

    HttpResponse makeRefusalResponse(Reason reason) override
    {
        HttpResponse response;
        response.status = static_cast<std::uint16_t>(rowOf(reason).status);
        response.body = std::string(rowOf(reason).name);
        return response;
    }

    std::atomic<int> m_begun = 0;
    std::atomic<int> m_abandoned = 0;

private:
    std::vector<Respond> m_deferred;
};

/// Runs a listener on its own thread.
class Server
{
public:
    explicit Server(std::uint64_t maxConnections = 64, std::uint64_t maxBytes = 4 * kMaxBody)
        : m_budget(maxBytes)
        , m_listener(m_io,
                     HttpListenerOptions{.address = "127.0.0.1:0",
                                         .limits = {.maxBodyBytes = kMaxBody, .maxHeaderBytes = kMaxHeader},
                                         .maxBufferedBodyBytes = kMaxBody,
                                         .maxConnections = maxConnections},
                     m_handler, m_budget)
    {
        EXPECT_FALSE(m_listener.start());
        m_port = m_listener.port();
        m_thread = std::thread([this] { m_io.run(); });
    }

    ~Server()
    {
        asio::post(m_io, [this] { m_listener.closeAll(); });
        m_work.reset();
        m_thread.join();
    }

    /// Runs @a change on the listener's thread.
    void apply(const std::function<void(HttpListener &)> &change)
    {
        std::promise<void> done;
        asio::post(m_io, [&] {
            change(m_listener);
            done.set_value();
        });
        done.get_future().wait();
    }

    void setLimits(const CallerLimits &limits)
    {
        apply([&](HttpListener &it) { it.setLimits(limits); });
    }

    EchoHandler m_handler;
    std::uint16_t m_port = 0;

private:
    asio::io_context m_io{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work{m_io.get_executor()};
    ByteBudget m_budget;
    HttpListener m_listener;
    std::thread m_thread;
};

/// A raw TCP connection to the listener.
class Client
{
public:
    explicit Client(std::uint16_t port)
    {
        m_socket.connect(tcp::endpoint(asio::ip::address_v4::loopback(), port));
    }

    void send(const std::string &bytes)
    {
        boost::system::error_code ec;
        asio::write(m_socket, asio::buffer(bytes), ec);
    }

    void endSending()
    {
        boost::system::error_code ec;
        m_socket.shutdown(tcp::socket::shutdown_send, ec);
    }

    /// Reads until the server closes the connection.
    std::string readAll()
    {
        std::string text;
        boost::system::error_code ec;
        asio::read(m_socket, asio::dynamic_buffer(text), ec);
        return text;
    }

    /// Reads until @a text has arrived.
    std::string readUntil(const std::string &text)
    {
        std::string bytes;
        boost::system::error_code ec;
        asio::read_until(m_socket, asio::dynamic_buffer(bytes), text, ec);
        return bytes;
    }

    void close()
    {
        m_socket.close();
    }

private:
    asio::io_context m_io;
    tcp::socket m_socket{m_io};
};

std::string callOnce(std::uint16_t port, const std::string &bytes)
{
    Client client(port);
    client.send(bytes);
    client.endSending();
    return client.readAll();
}

std::string post(const std::string &body, const std::string &headers = "")
{
    return "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

void waitFor(const std::atomic<int> &value, int expected)
{
    constexpr int kMaxPolls = 500;
    for (int n = 0; n < kMaxPolls && value != expected; ++n) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    EXPECT_EQ(value, expected);
}

} // namespace

TEST(HttpListener, BodyAndHeadersArriveUnchanged)
{
    Server server;
    std::string body(1024 * 1024, '\0');
    for (std::size_t n = 0; n < body.size(); ++n) {
        body[n] = static_cast<char>(n * 31);
    }
    const auto answer = callOnce(server.m_port, post(body, "X-Mixed: a  b;c\r\nX-Mixed: second\r\n"));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200"));
    EXPECT_NE(answer.find("Seen-X-Mixed: a  b;c\r\n"), std::string::npos);
    EXPECT_NE(answer.find("Seen-X-Mixed: second\r\n"), std::string::npos);
    EXPECT_TRUE(answer.ends_with("\r\n\r\n" + body));
}

TEST(HttpListener, OversizedBodyGets413AndIsNotRun)
{
    Server server;
    EXPECT_TRUE(callOnce(server.m_port, post(std::string(kMaxBody + 1, 'a'))).starts_with("HTTP/1.1 413"));
    std::string chunked = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::uint64_t n = 0; n <= kMaxBody; n += 65536) {
        chunked += "10000\r\n" + std::string(65536, 'c') + "\r\n";
    }
    EXPECT_TRUE(callOnce(server.m_port, chunked + "0\r\n\r\n").starts_with("HTTP/1.1 413"));
    EXPECT_EQ(server.m_handler.m_begun, 0);
}

TEST(HttpListener, LongHeaderGets431)
{
    Server server;
    EXPECT_TRUE(callOnce(server.m_port, post("", "X: " + std::string(2 * kMaxHeader, 'h') + "\r\n")).starts_with("HTTP/1.1 431"));
    EXPECT_EQ(server.m_handler.m_begun, 0);
}

TEST(HttpListener, MalformedRequestClosesOnlyItsConnection)
{
    Server server;
    Client other(server.m_port);
    EXPECT_TRUE(callOnce(server.m_port, "no HTTP at all\r\n\r\n").starts_with("HTTP/1.1 400"));
    other.send(post("still served"));
    EXPECT_TRUE(other.readAll().ends_with("still served"));
}

TEST(HttpListener, TruncatedRequestIsNotRun)
{
    Server server;
    const auto complete = post("a whole body");
    for (std::size_t n = 1; n < complete.size(); n += 7) {
        callOnce(server.m_port, complete.substr(0, n));
    }
    EXPECT_EQ(server.m_handler.m_begun, 0);
}

TEST(HttpListener, ServesRequestsAfterMutatedRequests)
{
    constexpr int kRounds = 300;
    Server server;
    Random random(20261204);
    for (int round = 0; round < kRounds; ++round) {
        auto bytes = post(std::string(drawBelow(random, 300), 'b'), "X-Test: 1\r\n");
        const auto changes = 1 + drawBelow(random, 10);
        for (std::uint64_t n = 0; n < changes; ++n) {
            bytes[drawBelow(random, bytes.size())] = static_cast<char>(drawBelow(random, 256));
        }
        callOnce(server.m_port, bytes);
    }
    EXPECT_TRUE(callOnce(server.m_port, post("after the noise")).ends_with("after the noise"));
}

TEST(HttpListener, DisconnectOfTheCallerAbandonsItsRequest)
{
    Server server;
    Client client(server.m_port);
    client.send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
    waitFor(server.m_handler.m_begun, 1);
    client.close();
    waitFor(server.m_handler.m_abandoned, 1);
}

TEST(HttpListener, ConnectionsAndBufferedBytesAreLimited)
{
    Server server(1, 1024);
    Client first(server.m_port);
    first.send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
    waitFor(server.m_handler.m_begun, 1);
    EXPECT_TRUE(callOnce(server.m_port, post("")).starts_with("HTTP/1.1 503"));
    first.close();
    waitFor(server.m_handler.m_abandoned, 1);
    EXPECT_NE(callOnce(server.m_port, post(std::string(2048, 'b'))).find("memory-limit"), std::string::npos);
    EXPECT_EQ(server.m_handler.m_begun, 1);
}

TEST(HttpListener, PipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder)
{
    Server server;
    Client client(server.m_port);
    // The third request makes the handler answer the first, so this ends only if all three run at once.
    client.send("GET /later HTTP/1.1\r\nHost: a\r\n\r\nPOST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nsecond"
                "GET /release HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const auto answers = client.readAll();
    const auto first = answers.find("released");
    const auto second = answers.find("second");
    ASSERT_NE(first, std::string::npos);
    ASSERT_NE(second, std::string::npos);
    EXPECT_LT(first, second);
    EXPECT_EQ(server.m_handler.m_begun, 3);
}

TEST(HttpListener, DisconnectIsDetectedWhilePipelinedRequestsAreInProgress)
{
    Server server;
    Client client(server.m_port);
    client.send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\nGET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
    waitFor(server.m_handler.m_begun, 2);
    client.close();
    waitFor(server.m_handler.m_abandoned, 2);
}

TEST(HttpListener, KeepAliveConnectionServesSeveralRequests)
{
    Server server;
    Client client(server.m_port);
    for (int n = 0; n < 3; ++n) {
        const auto body = "number " + std::to_string(n);
        client.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        EXPECT_TRUE(client.readUntil(body).ends_with(body));
    }
}

/// Guards against limits that are read only when a connection opens: an operator may tighten them while connections are open.
TEST(HttpListener, NewLimitsApplyToTheNextRequestAndToConnectionsThatBecomeIdle)
{
    Server server;
    Client kept(server.m_port);
    kept.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_TRUE(kept.readUntil("\r\n\r\n").starts_with("HTTP/1.1 200"));
    // The client may read the answer before the server has processed the end of its write. The first setLimits() waits for a
    // round of the server's loop, so the tighter limits are set after it.
    server.setLimits({.maxBodyBytes = kMaxBody, .maxHeaderBytes = kMaxHeader});
    server.setLimits({.maxBodyBytes = kMaxBody,
                      .maxHeaderBytes = 512,
                      .headerTimeout = std::chrono::milliseconds(200),
                      .idleTimeout = std::chrono::milliseconds(100)});
    EXPECT_TRUE(callOnce(server.m_port, post("", "X: " + std::string(1024, 'h') + "\r\n")).starts_with("HTTP/1.1 431"));
    // The header is incomplete; the connection must close well before the former time limit of 10 s.
    Client slow(server.m_port);
    const auto begin = std::chrono::steady_clock::now();
    slow.send("GET /b HTTP/1.1\r\nHost:");
    EXPECT_EQ(slow.readAll(), "");
    kept.send("GET /c HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_TRUE(kept.readAll().starts_with("HTTP/1.1 200"));
    EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(8));
}

// An operator's limit on bodies above what the node buffers: 413 would tell the caller that its request is wrong, and it isn't.
TEST(HttpListener, BodyWithinTheOperatorsLimitIsNotAnsweredAsTooLarge)
{
    Server server;
    server.setLimits({.maxBodyBytes = 4 * kMaxBody, .maxHeaderBytes = kMaxHeader});
    EXPECT_TRUE(callOnce(server.m_port, post(std::string(kMaxBody + 1, 'a'))).starts_with("HTTP/1.1 503"));
    EXPECT_TRUE(callOnce(server.m_port, post(std::string(4 * kMaxBody + 1, 'a'))).starts_with("HTTP/1.1 413"));
    server.setLimits({.maxBodyBytes = 100, .maxHeaderBytes = kMaxHeader});
    EXPECT_TRUE(callOnce(server.m_port, post(std::string(101, 'a'))).starts_with("HTTP/1.1 413"));
    EXPECT_TRUE(callOnce(server.m_port, post(std::string(100, 'a'))).starts_with("HTTP/1.1 200"));
    EXPECT_EQ(server.m_handler.m_begun, 1);
}

// A body in chunks must not hold memory for the largest possible body: a few of them would exhaust the node's limit.
TEST(HttpListener, BodiesInChunksReserveWhatTheyHold)
{
    constexpr int kRequests = 32;
    Server server(64, kMaxBody);
    std::vector<std::unique_ptr<Client>> clients;
    for (int n = 0; n < kRequests; ++n) {
        clients.push_back(std::make_unique<Client>(server.m_port));
        clients.back()->send("POST /hold HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    }
    waitFor(server.m_handler.m_begun, kRequests);
    EXPECT_EQ(server.m_handler.m_begun, kRequests);
}

// As many requests as the listener reads ahead: nothing is read or written until the first is answered.
TEST(HttpListener, ConnectionWithManyRequestsInProgressIsKept)
{
    constexpr int kRequests = 17;
    Server server;
    Client client(server.m_port);
    std::string requests;
    for (int n = 0; n < kRequests - 1; ++n) {
        requests += "GET /later HTTP/1.1\r\nHost: a\r\n\r\n";
    }
    client.send(requests + "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    waitFor(server.m_handler.m_begun, kRequests - 1);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    callOnce(server.m_port, "GET /release HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const auto answers = client.readAll();
    int count = 0;
    for (auto at = answers.find("HTTP/1.1 200"); at != std::string::npos; at = answers.find("HTTP/1.1 200", at + 1)) {
        ++count;
    }
    EXPECT_EQ(count, kRequests);
    EXPECT_EQ(server.m_handler.m_abandoned, 0);
}

// The memory of a refused body must be free at once, also while earlier requests of its connection are still served.
TEST(HttpListener, RefusedBodyReleasesItsMemory)
{
    constexpr std::uint64_t kBudget = 256 * 1024;
    Server server(64, kBudget);
    Client client(server.m_port);
    std::string requests = "GET /hold HTTP/1.1\r\nHost: a\r\n\r\nPOST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::uint64_t n = 0; n <= kBudget; n += 16384) {
        requests += "4000\r\n" + std::string(16384, 'c') + "\r\n";
    }
    client.send(requests);
    waitFor(server.m_handler.m_begun, 1);
    std::string answer;
    for (int n = 0; n < 100 && !answer.starts_with("HTTP/1.1 200"); ++n) {
        answer = callOnce(server.m_port, post(std::string(kBudget * 3 / 4, 'b')));
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200"));
}

// Forms of a request that HTTP/1.1 allows and few callers use.
TEST(HttpListener, ProperRequestsOfRareFormAreNotAnsweredWithA4xx)
{
    Server server;
    const std::string chunkedHead = "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n";
    auto fullHeader = post("", "X: \r\n");
    fullHeader = post("", "X: " + std::string(kMaxHeader - fullHeader.size(), 'h') + "\r\n");
    const std::vector<std::string> requests{
        chunkedHead + "\r\n4;name=value\r\nbody\r\n0\r\n\r\n",
        chunkedHead + "\r\n4 ;n=\"a;b\"\r\nbody\r\n0\r\n\r\n",
        chunkedHead + "Trailer: X-Sum\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 7\r\n\r\n",
        chunkedHead + "\r\n0004\r\nbody\r\n000\r\n\r\n",
        chunkedHead + "\r\n4\r\nBODY\r\n000000\r\n\r\n",
        "\r\nGET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
        "GET http://a/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
        "GET /x HTTP/1.1\r\nhost:a\r\nX-Empty:\r\nconnection:  close  \r\n\r\n",
        "GET /x?q=%20&r=[1] HTTP/1.1\r\nHost: a\r\nConnection: keep-alive, close\r\n\r\n",
        "REPORT /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody",
        "GET /x HTTP/1.0\r\nHost: a\r\n\r\n",
        fullHeader,
    };
    for (const auto &it : requests) {
        auto answer = callOnce(server.m_port, it);
        const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
        answer = answer.starts_with(interim) ? answer.substr(interim.size()) : answer;
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << it.substr(0, 120) << "\n" << answer.substr(0, 200);
        const bool hasBody = it.find("\r\nbody") != std::string::npos;
        EXPECT_TRUE(!hasBody || answer.ends_with("\r\n\r\nbody")) << it.substr(0, 120) << "\n" << answer;
    }
}

TEST(HttpListener, EmptyLineAfterABodyIsNotTheStartOfARequest)
{
    Server server;
    Client client(server.m_port);
    const std::string first = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none";
    client.send(first + "\r\n" + first + "\r");
    EXPECT_TRUE(client.readUntil("one").ends_with("one"));
    client.send("\n" + post("three"));
    EXPECT_TRUE(client.readAll().ends_with("three"));
    EXPECT_EQ(server.m_handler.m_begun, 3);
}

// A planned stop cut the requests of a caller that always had one in progress: its connection was drained only at a moment without one.
TEST(HttpListener, DrainEndsAConnectionThatAlwaysHasARequestInProgress)
{
    Server server;
    Client client(server.m_port);
    client.send("GET /later HTTP/1.1\r\nHost: a\r\n\r\nGET /later HTTP/1.1\r\nHost: a\r\n\r\n");
    waitFor(server.m_handler.m_begun, 2);
    server.apply([](HttpListener &it) { it.beginDrain(); });
    client.send("GET /later HTTP/1.1\r\nHost: a\r\n\r\n");
    callOnce(server.m_port, "GET /release HTTP/1.1\r\nHost: a\r\n\r\n");
    const auto answers = client.readAll();
    const auto second = answers.find("HTTP/1.1 200", 1);
    ASSERT_NE(second, std::string::npos) << answers;
    EXPECT_EQ(answers.substr(0, second).find("Connection: close"), std::string::npos);
    EXPECT_NE(answers.find("Connection: close", second), std::string::npos);
    EXPECT_EQ(answers.find("HTTP/1.1 200", second + 1), std::string::npos);
    EXPECT_EQ(server.m_handler.m_begun, 3) << "two requests and the release";
}

TEST(HttpListener, DrainServesTheNextRequestOfAnIdleConnectionAndNoneBehindIt)
{
    Server server;
    Client client(server.m_port);
    client.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_EQ(client.readUntil("\r\n\r\n").find("Connection: close"), std::string::npos);
    server.apply([](HttpListener &it) { it.beginDrain(); });
    client.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\nGET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    const auto answers = client.readAll();
    EXPECT_NE(answers.find("Connection: close"), std::string::npos);
    EXPECT_EQ(answers.find("HTTP/1.1", 1), std::string::npos) << answers;
    EXPECT_EQ(server.m_handler.m_begun, 2);
}

// Reported by other operators: a request that came late in the grace of a planned stop was passed on, and cut when the process ended.
TEST(HttpListener, RequestWhoseEndArrivesAfterThePortClosedIsRefusedAsNotRun)
{
    Server server;
    Client client(server.m_port);
    client.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n");
    EXPECT_TRUE(client.readUntil("\r\n\r\n").starts_with("HTTP/1.1 100"));
    server.apply([](HttpListener &it) { it.beginStop(); });
    client.send("body");
    const auto answer = client.readAll();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_NE(answer.find("stopping"), std::string::npos) << answer;
    EXPECT_EQ(server.m_handler.m_begun, 0);
}

// The library throws for a field longer than it can store: such a request ended the process.
TEST(HttpListener, FieldLongerThanTheLibraryStoresEndsOnlyItsConnection)
{
    constexpr std::uint64_t kHighLimit = 256 * 1024;
    const std::string field = "X: " + std::string(66'000, 'f') + "\r\n";
    Server server;
    Client other(server.m_port);
    server.setLimits({.maxBodyBytes = kMaxBody, .maxHeaderBytes = kHighLimit});
    EXPECT_TRUE(callOnce(server.m_port, post("", field)).starts_with("HTTP/1.1 431"));
    const std::string chunked = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n";
    EXPECT_TRUE(callOnce(server.m_port, chunked + field + "\r\n").starts_with("HTTP/1.1 431"));
    EXPECT_EQ(server.m_handler.m_begun, 0);
    other.send(post("still served"));
    EXPECT_TRUE(other.readAll().ends_with("still served"));
}

// Only time limited the lines that a caller sends between the parts of a body.
TEST(HttpListener, LinesWithoutEndInABodyAreRefused)
{
    const std::string head = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string start : {"4;name=", "0\r\nX-Sum: ", "000000"}) {
        Server server;
        Client client(server.m_port);
        client.send(head + start + std::string(4 * kMaxHeader, '0'));
        EXPECT_TRUE(client.readAll().starts_with("HTTP/1.1 431")) << start;
        EXPECT_EQ(server.m_handler.m_begun, 0);
    }
}
