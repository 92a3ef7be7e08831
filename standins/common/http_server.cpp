#include "standins/common/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <sstream>

namespace chicoryspar::standin {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::uint64_t kMaxRequestBytes = 64U << 20U;

Tcp::endpoint parseListenAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        throw std::system_error(std::make_error_code(std::errc::invalid_argument), address);
    }
    const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
    return {asio::ip::make_address(address.substr(0, colon)), port};
}

/// Serializes an HTTP/1.1 response.
std::string serializeAnswer(ExchangeResponse &response, bool keepAlive)
{
    http::response<http::string_body> it;
    it.version(11);
    it.result(static_cast<unsigned>(response.status));
    for (const auto &header : response.headers) {
        it.set(header.name, header.value);
    }
    it.keep_alive(keepAlive);
    it.body() = std::move(response.body);
    it.prepare_payload();
    std::ostringstream buf;
    buf << it;
    return buf.str();
}

} // namespace

struct HttpServerState
{
    HttpServerState(asio::io_context &io, const Tcp::endpoint &endpoint, std::size_t maxConnections, ServerHandler handler)
        : acceptor(io, endpoint)
        , maxConnections(maxConnections)
        , handler(std::move(handler))
    {
    }

    Tcp::acceptor acceptor;
    std::size_t maxConnections;
    std::size_t connections = 0;
    bool isStopping = false;
    ServerHandler handler;
};

namespace {

class Session;

/// One request of a session; each request on a connection has its own exchange.
class SessionExchange : public ServerExchange
{
public:
    SessionExchange(std::shared_ptr<Session> session, ExchangeRequest request)
        : m_session(std::move(session))
        , m_request(std::move(request))
    {
    }

    const ExchangeRequest &request() const override
    {
        return m_request;
    }

    void answer(ExchangeResponse response, AnswerFault fault) override;

    void onClosed(std::function<void()> handler) override
    {
        m_closeHandler = std::move(handler);
    }

    void reportClosed();

private:
    std::shared_ptr<Session> m_session;
    ExchangeRequest m_request;
    std::function<void()> m_closeHandler;
};

/// One connection; handles one request at a time.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(std::shared_ptr<HttpServerState> state, Tcp::socket socket)
        : m_state(std::move(state))
        , m_stream(std::move(socket))
    {
        ++m_state->connections;
        ErrorCode ec;
        m_stream.socket().set_option(Tcp::no_delay(true), ec);
        m_stream.socket().non_blocking(true, ec);
    }

    ~Session()
    {
        --m_state->connections;
    }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(kMaxRequestBytes);
        http::async_read(m_stream, m_buffer, *m_parser,
                         [self = shared_from_this()](const ErrorCode &ec, std::size_t) { self->onRead(ec); });
    }

    void write(ExchangeResponse response, AnswerFault fault)
    {
        ++m_finishedExchanges;
        m_exchange.reset();
        m_keepAlive = m_keepAlive && !m_state->isStopping && fault != AnswerFault::Truncated;
        m_output = serializeAnswer(response, m_keepAlive);
        if (fault == AnswerFault::Truncated) {
            m_output.resize(m_output.size() / 2);
        } else if (fault == AnswerFault::Doubled) {
            m_output += std::string(m_output);
        } else if (fault == AnswerFault::Closed) {
            m_output.clear();
            m_keepAlive = false;
        }
        asio::async_write(m_stream, asio::buffer(m_output),
                          [self = shared_from_this()](const ErrorCode &ec, std::size_t) { self->onWrite(ec); });
    }

private:
    void onRead(const ErrorCode &ec)
    {
        if (ec) {
            close();
            return;
        }
        auto message = m_parser->release();
        m_keepAlive = message.keep_alive();
        ExchangeRequest request{.method = std::string(message.method_string()), .target = std::string(message.target())};
        for (const auto &it : message) {
            request.headers.push_back({std::string(it.name_string()), std::string(it.value())});
        }
        request.body = std::move(message.body());
        auto exchange = std::make_shared<SessionExchange>(shared_from_this(), std::move(request));
        m_exchange = exchange;
        watchForClose();
        m_state->handler(exchange);
    }

    /// Waits for the peer to close the connection while a request is in progress.
    void watchForClose()
    {
        m_stream.socket().async_wait(Tcp::socket::wait_read,
                                     [weak = weak_from_this(), finishedExchanges = m_finishedExchanges](const ErrorCode &ec) {
                                         if (auto self = weak.lock()) {
                                             self->onReadable(ec, finishedExchanges);
                                         }
                                     });
    }

    void onReadable(const ErrorCode &ec, std::uint64_t finishedExchanges)
    {
        if (finishedExchanges != m_finishedExchanges) {
            return;
        }
        char byte = 0;
        ErrorCode peekError = ec;
        if (!ec) {
            m_stream.socket().receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, peekError);
        }
        if (!peekError || peekError == asio::error::would_block) {
            return;
        }
        ++m_finishedExchanges;
        if (const auto exchange = m_exchange.lock()) {
            exchange->reportClosed();
        }
        close();
    }

    void onWrite(const ErrorCode &ec)
    {
        if (ec || !m_keepAlive) {
            close();
            return;
        }
        read();
    }

    void close()
    {
        ErrorCode ignored;
        m_stream.socket().shutdown(Tcp::socket::shutdown_both, ignored);
        m_stream.close();
    }

    std::shared_ptr<HttpServerState> m_state;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::weak_ptr<SessionExchange> m_exchange;
    std::string m_output;
    /// Number of finished exchanges, to ignore the close notification of an earlier one.
    std::uint64_t m_finishedExchanges = 0;
    bool m_keepAlive = true;
};

void SessionExchange::answer(ExchangeResponse response, AnswerFault fault)
{
    if (m_session) {
        m_closeHandler = nullptr;
        m_session->write(std::move(response), fault);
        m_session.reset();
    }
}

void SessionExchange::reportClosed()
{
    m_session.reset();
    if (m_closeHandler) {
        const auto handler = std::move(m_closeHandler);
        m_closeHandler = nullptr;
        handler();
    }
}

void acceptNext(const std::shared_ptr<HttpServerState> &state)
{
    state->acceptor.async_accept([state](const ErrorCode &ec, Tcp::socket socket) {
        if (state->isStopping) {
            return;
        }
        if (!ec && state->connections < state->maxConnections) {
            std::make_shared<Session>(state, std::move(socket))->read();
        }
        acceptNext(state);
    });
}

} // namespace

HttpServer::HttpServer(asio::io_context &io, const std::string &address, std::size_t maxConnections, ServerHandler handler)
    : m_state(std::make_shared<HttpServerState>(io, parseListenAddress(address), maxConnections, std::move(handler)))
{
    acceptNext(m_state);
}

HttpServer::~HttpServer()
{
    stop();
    m_state->handler = [](const ServerExchangePtr &) {};
}

std::uint16_t HttpServer::port() const
{
    return m_state->acceptor.local_endpoint().port();
}

void HttpServer::stop()
{
    m_state->isStopping = true;
    ErrorCode ec;
    m_state->acceptor.close(ec);
}

} // namespace chicoryspar::standin
