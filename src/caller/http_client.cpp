#include "caller/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cassert>
#include <unordered_map>

namespace chicoryspar {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t kMaxResponseBytes = 64U << 20U;
/// Largest head of a response, and bytes that one read may take beyond it.
constexpr std::size_t kMaxHeadBytes = 64U << 10U;
constexpr std::size_t kReadBytes = 64U << 10U;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::array<std::string_view, static_cast<std::size_t>(ExchangeEnd::Count)> kExchangeEndNames = {
    "answered", "not-sent", "lost", "timed-out", "cancelled",
};

/// One TCP connection, with the bytes received after the end of the last response.
struct Connection
{
    explicit Connection(asio::io_context &io)
        : stream(io)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer{kMaxHeadBytes + kReadBytes};
};

using ConnectionPtr = std::unique_ptr<Connection>;

/// Returns whether an idle connection can be used for another request: the peer neither closed it nor sent bytes without a request.
bool isReusable(Connection &it)
{
    if (it.buffer.size() != 0) {
        return false;
    }
    char byte = 0;
    ErrorCode ec;
    auto &socket = it.stream.socket();
    socket.non_blocking(true, ec);
    socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, ec);
    return ec == asio::error::would_block;
}

std::optional<Tcp::endpoint> parseAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    ErrorCode ec;
    const auto ip = asio::ip::make_address(address.substr(0, colon), ec);
    const int port = std::atoi(address.c_str() + colon + 1);
    if (ec || port <= 0 || port > UINT16_MAX) {
        return std::nullopt;
    }
    return Tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

http::request<http::string_body> makeMessage(const std::string &address, ExchangeRequest &request)
{
    http::request<http::string_body> it;
    it.version(11);
    it.method_string(request.method);
    it.target(request.target);
    it.set(http::field::host, address);
    for (const auto &header : request.headers) {
        it.set(header.name, header.value);
    }
    it.body() = std::move(request.body);
    it.prepare_payload();
    return it;
}

} // namespace

std::string_view nameOf(ExchangeEnd value)
{
    assert(value < ExchangeEnd::Count);
    return kExchangeEndNames[static_cast<std::size_t>(value)];
}

std::string_view findHeader(const std::vector<ExchangeHeader> &headers, std::string_view name)
{
    for (const auto &it : headers) {
        if (beast::iequals({it.name.data(), it.name.size()}, {name.data(), name.size()})) {
            return it.value;
        }
    }
    return {};
}

struct HttpClientState
{
    HttpClientState(asio::io_context &io, const HttpClientInit &init)
        : io(io)
        , init(init)
    {
    }

    asio::io_context &io;
    HttpClientInit init;
    std::uint64_t lastId = 0;
    bool isClosed = false;
    std::unordered_map<std::string, std::vector<ConnectionPtr>> idle;
    std::unordered_map<std::uint64_t, std::function<void()>> running;

    /// Takes a reusable idle connection to @a address out of the pool; returns null when there is none.
    ConnectionPtr acquireIdleConnection(const std::string &address)
    {
        auto &list = idle[address];
        while (!list.empty()) {
            auto it = std::move(list.back());
            list.pop_back();
            if (isReusable(*it)) {
                return it;
            }
        }
        return nullptr;
    }

    void releaseConnection(const std::string &address, ConnectionPtr connection)
    {
        auto &list = idle[address];
        if (!isClosed && list.size() < init.maxIdle) {
            list.push_back(std::move(connection));
        }
    }
};

namespace {

/// One request and its response on one connection.
class RunningExchange : public std::enable_shared_from_this<RunningExchange>
{
public:
    RunningExchange(std::shared_ptr<HttpClientState> state, std::string address, ExchangeRequest &request, Duration timeout,
                    ExchangeHandler done)
        : m_state(std::move(state))
        , m_address(std::move(address))
        , m_message(makeMessage(m_address, request))
        , m_deadline(std::chrono::steady_clock::now() + timeout)
        , m_done(std::move(done))
    {
        m_parser.body_limit(kMaxResponseBytes);
        if (request.method == "HEAD") {
            m_parser.skip(true);
        }
    }

    void start(std::uint64_t id)
    {
        m_id = id;
        m_connection = m_state->acquireIdleConnection(m_address);
        if (m_connection) {
            write();
        } else {
            connect();
        }
    }

    void cancel()
    {
        m_cancelled = true;
        if (m_connection) {
            m_connection->stream.close();
        }
    }

private:
    void connect()
    {
        const auto endpoint = parseAddress(m_address);
        if (!endpoint) {
            asio::post(m_state->io, [self = shared_from_this()] { self->finish(ExchangeEnd::NotSent); });
            return;
        }
        m_connection = std::make_unique<Connection>(m_state->io);
        auto &stream = m_connection->stream;
        stream.expires_at(std::min(m_deadline, std::chrono::steady_clock::now() + m_state->init.connectTimeout));
        stream.async_connect(*endpoint, [self = shared_from_this()](const ErrorCode &ec) { self->onConnect(ec); });
    }

    void onConnect(const ErrorCode &ec)
    {
        if (ec || m_cancelled) {
            finish(ExchangeEnd::NotSent);
            return;
        }
        ErrorCode ignored;
        m_connection->stream.socket().set_option(Tcp::no_delay(true), ignored);
        write();
    }

    void write()
    {
        auto &stream = m_connection->stream;
        stream.expires_at(m_deadline);
        http::async_write(stream, m_message, [self = shared_from_this()](const ErrorCode &ec, std::size_t) { self->onWrite(ec); });
    }

    void onWrite(const ErrorCode &ec)
    {
        // A server may answer and close before it has read the whole request, so the response is read even after a failed write.
        if (ec == beast::error::timeout || m_cancelled) {
            finish(m_cancelled ? ExchangeEnd::Cancelled : ExchangeEnd::TimedOut);
            return;
        }
        m_writeFailed = static_cast<bool>(ec);
        readHead();
    }

    void readHead()
    {
        auto &buffer = m_connection->buffer;
        m_connection->stream.async_read_some(buffer.prepare(beast::read_size(buffer, kReadBytes)),
                                             [self = shared_from_this()](const ErrorCode &ec, std::size_t n) { self->onHeadBytes(ec, n); });
    }

    /// Checks the head against the grammar before the parser, which accepts more, gets it.
    void onHeadBytes(const ErrorCode &ec, std::size_t n)
    {
        if (ec || m_cancelled) {
            onRead(ec);
            return;
        }
        auto &buffer = m_connection->buffer;
        buffer.commit(n);
        const std::string_view text(static_cast<const char *>(buffer.data().data()), buffer.size());
        const auto end = text.find(kHeadEnd);
        if (end == std::string_view::npos && text.size() < kMaxHeadBytes) {
            readHead();
            return;
        }
        if (end == std::string_view::npos || !checkResponseHead(text.substr(0, end + kHeadEnd.size())).empty()) {
            onRead(http::error::bad_field);
            return;
        }
        http::async_read(m_connection->stream, m_connection->buffer, m_parser,
                         [self = shared_from_this()](const ErrorCode &ec, std::size_t) { self->onRead(ec); });
    }

    void onRead(const ErrorCode &ec)
    {
        if (m_cancelled) {
            finish(ExchangeEnd::Cancelled);
        } else if (ec) {
            finish(ec == beast::error::timeout ? ExchangeEnd::TimedOut : ExchangeEnd::Lost);
        } else {
            storeResponse();
            finish(ExchangeEnd::Answered);
        }
    }

    void storeResponse()
    {
        const bool canReuse = m_parser.get().keep_alive() && !m_writeFailed;
        auto message = m_parser.release();
        m_response.status = static_cast<int>(message.result_int());
        for (const auto &it : message) {
            m_response.headers.push_back({std::string(it.name_string()), std::string(it.value())});
        }
        m_response.body = std::move(message.body());
        if (canReuse) {
            m_connection->stream.expires_never();
            m_state->releaseConnection(m_address, std::move(m_connection));
        }
    }

    void finish(ExchangeEnd end)
    {
        m_state->running.erase(m_id);
        m_connection.reset();
        if (m_done) {
            auto done = std::move(m_done);
            m_done = nullptr;
            done(end, m_response);
        }
    }

    std::shared_ptr<HttpClientState> m_state;
    std::string m_address;
    http::request<http::string_body> m_message;
    std::chrono::steady_clock::time_point m_deadline;
    ExchangeHandler m_done;
    ConnectionPtr m_connection;
    http::response_parser<http::string_body> m_parser;
    ExchangeResponse m_response;
    std::uint64_t m_id = 0;
    bool m_cancelled = false;
    bool m_writeFailed = false;
};

} // namespace

HttpClient::HttpClient(asio::io_context &io, const HttpClientInit &init)
    : m_state(std::make_shared<HttpClientState>(io, init))
{
}

HttpClient::~HttpClient()
{
    closeIdle();
    m_state->isClosed = true;
}

ExchangeId HttpClient::begin(const std::string &address, ExchangeRequest request, Duration timeout, ExchangeHandler done)
{
    auto run = std::make_shared<RunningExchange>(m_state, address, request, timeout, std::move(done));
    const auto id = ++m_state->lastId;
    m_state->running.emplace(id, [weak = std::weak_ptr(run)] {
        if (auto it = weak.lock()) {
            it->cancel();
        }
    });
    run->start(id);
    return {id};
}

void HttpClient::cancel(ExchangeId id)
{
    const auto it = m_state->running.find(id.value);
    if (it != m_state->running.end()) {
        const auto cancelRun = it->second;
        cancelRun();
    }
}

void HttpClient::closeIdle()
{
    m_state->idle.clear();
}

} // namespace chicoryspar
