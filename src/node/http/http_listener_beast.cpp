/// @file
/// HTTP server of the call path on Boost.Beast.

#include "node/http/http_listener.h"

#include "node/http/message_beast.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <unordered_set>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace chicoryspar {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t kMaxReadBytes = 4 * 1024;
/// Maximum number of requests of one connection in progress; further ones stay unread in the socket.
constexpr std::size_t kMaxPipelinedRequests = 16;
/// Largest header limit that the parser takes.
constexpr std::uint64_t kMaxHeaderLimit = std::numeric_limits<std::uint32_t>::max();
/// Interval between checks for connections that have timed out.
constexpr Duration kTimeoutCheckInterval = std::chrono::seconds(1);
/// How long a closing connection still reads and discards what the caller sends.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);

} // namespace

/// State shared by a listener and its sessions.
struct HttpListener::Shared
{
    asio::io_context &io;
    HttpListenerOptions options;
    HttpHandler &handler;
    ByteBudget &budget;
    std::unordered_set<Session *> sessions;
    std::size_t requests = 0;
    bool isDraining = false;
    bool isStopping = false;
};

/// One connection of a caller. Requests are served concurrently; answers are sent in the order of the requests.
class HttpListener::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(std::shared_ptr<Shared> shared, tcp::socket socket)
        : m_shared(std::move(shared))
        , m_socket(std::move(socket))
        , m_deadline(std::chrono::steady_clock::now() + m_shared->options.limits.idleTimeout)
    {
        m_shared->sessions.insert(this);
    }

    ~Session()
    {
        for (const auto &it : m_exchanges) {
            releaseExchange(it);
        }
        m_shared->budget.release(m_reservedBytes);
        m_shared->sessions.erase(this);
    }

    void begin()
    {
        beast::error_code ec;
        m_socket.set_option(tcp::no_delay(true), ec);
        read();
    }

    void refuseConnection()
    {
        refuse(Reason::TooManyConnections);
    }

    /// Takes no further request behind those in progress. A connection whose answers are all on their way serves the next request, whose
    /// answer can announce the close.
    void beginDrain()
    {
        const std::size_t answersBeingWritten = m_isWriting ? 1 : 0;
        if (m_exchanges.size() > answersBeingWritten) {
            endRequests();
        }
    }

    void closeIfIdle()
    {
        if (m_exchanges.empty() && !m_parser) {
            close();
        }
    }

    void closeIfTimedOut(std::chrono::steady_clock::time_point now)
    {
        const bool isServing = !m_exchanges.empty() && !m_isWriting;
        if (!isServing && now >= m_deadline) {
            close();
        }
    }

    void close()
    {
        // Lives until the end of this function.
        const auto self = std::move(m_self);
        m_isClosed = true;
        beast::error_code ec;
        m_socket.shutdown(tcp::socket::shutdown_both, ec);
        m_socket.close(ec);
    }

private:
    /// A request from the end of its body until its answer has been sent.
    struct Exchange
    {
        std::uint64_t number = 0;
        /// Id that HttpHandler::beginRequest() returned.
        std::uint64_t handlerId = 0;
        std::uint64_t reservedBytes = 0;
        bool isHead = false;
        bool isServing = false;
        bool keepAlive = true;
        std::optional<HttpResponse> response;
    };

    // Reading

    bool isReadingPaused() const
    {
        return m_isClosed || m_exchanges.size() >= kMaxPipelinedRequests;
    }

    void read()
    {
        m_self = hasUnansweredRequests() ? shared_from_this() : nullptr;
        if (m_isReading || m_isInputClosed || isReadingPaused()) {
            return;
        }
        m_isReading = true;
        m_socket.async_read_some(m_buf.prepare(kMaxReadBytes), [self = shared_from_this()](beast::error_code ec, std::size_t n) {
            self->m_isReading = false;
            self->m_buf.commit(n);
            if (ec == asio::error::eof && self->isOnlyWriting()) {
                self->m_isInputClosed = true;
                self->m_isLastRequestRead = true;
                return;
            }
            if (ec) {
                self->onCallerDisconnected();
                return;
            }
            self->parse();
        });
    }

    /// Returns whether a request hasn't been answered. With many of them nothing is read, so that no operation keeps this session alive.
    bool hasUnansweredRequests() const
    {
        return !m_isClosed && !m_exchanges.empty();
    }

    /// Returns whether no request is being served and at least one answer hasn't been sent completely.
    bool isOnlyWriting() const
    {
        return !m_exchanges.empty()
            && std::none_of(m_exchanges.begin(), m_exchanges.end(), [](const Exchange &it) { return it.isServing; });
    }

    /// Closes the connection and abandons the requests that are being served.
    void onCallerDisconnected()
    {
        if (m_isClosed) {
            return;
        }
        const auto self = shared_from_this();
        close();
        for (auto &it : m_exchanges) {
            if (it.isServing) {
                releaseExchange(it);
                it.isServing = false;
                it.reservedBytes = 0;
                m_shared->handler.abandonRequest(it.handlerId);
            }
        }
    }

    void parse()
    {
        if (m_isLastRequestRead) {
            // Discards the bytes; reading continues only to detect that the caller disconnects.
            m_buf.clear();
        }
        while (m_buf.size() > 0 && !isReadingPaused() && !m_isLastRequestRead) {
            if (!m_parser) {
                skipEmptyLines();
                if (m_buf.size() == 0) {
                    break;
                }
                m_parser.emplace();
                m_parser->header_limit(static_cast<std::uint32_t>(std::min(limits().maxHeaderBytes, kMaxHeaderLimit)));
                m_parser->body_limit(std::min(limits().maxBodyBytes, m_shared->options.maxBufferedBodyBytes));
                m_isBodyAdmitted = false;
                setTimeout(limits().headerTimeout);
            }
            beast::error_code ec;
            m_buf.consume(parseBytes(*m_parser, m_buf.data(), ec));
            if (ec && ec != http::error::need_more) {
                refuseParseError(ec);
                break;
            }
            if (m_parser->is_header_done() && !m_isBodyAdmitted && !admitBody()) {
                break;
            }
            // The buffer of a body in chunks grows beyond what has arrived.
            const auto &body = m_parser->get().body();
            if (!body.empty() && !reserveUpTo(body.capacity())) {
                break;
            }
            if (m_parser->is_done()) {
                serve();
            } else if (ec == http::error::need_more) {
                // The lines of chunks and the trailer, which the parser takes only as a whole.
                if (m_buf.size() > limits().maxHeaderBytes) {
                    refuse(Reason::HeaderTooLarge);
                }
                break;
            }
        }
        read();
    }

    /// Some callers send an empty line after a body; RFC 9112 has servers ignore it.
    void skipEmptyLines()
    {
        const auto bytes = m_buf.data();
        const std::string_view text(static_cast<const char *>(bytes.data()), bytes.size());
        m_buf.consume(std::min(text.find_first_not_of("\r\n"), text.size()));
    }

    bool admitBody()
    {
        m_isBodyAdmitted = true;
        setTimeout(m_shared->options.transferTimeout);
        if (!reserveUpTo(m_parser->content_length().value_or(0))) {
            return false;
        }
        const bool isExpecting = beast::iequals(m_parser->get()[http::field::expect], "100-continue");
        if (isExpecting && m_exchanges.empty() && !m_parser->is_done()) {
            writeContinue();
        }
        return true;
    }

    /// Reserves memory for the body that is being read, @a bytes in all; refuses the request when there is none. A body in chunks is
    /// reserved as it arrives.
    bool reserveUpTo(std::uint64_t bytes)
    {
        if (bytes <= m_reservedBytes) {
            return true;
        }
        if (!m_shared->budget.tryReserve(bytes - m_reservedBytes)) {
            refuse(Reason::MemoryLimit);
            return false;
        }
        m_reservedBytes = bytes;
        return true;
    }

    const CallerLimits &limits() const
    {
        return m_shared->options.limits;
    }

    /// Returns why a body can't be buffered: a body in chunks, whose length isn't known, is taken for one within the caller's limit if the
    /// buffer is smaller than that.
    Reason reasonOfBodyLimit() const
    {
        const auto stated = m_parser->get()[http::field::content_length];
        const auto length = parseWholeNumber({stated.data(), stated.size()}).value_or(0);
        const bool isWithinLimit = m_shared->options.maxBufferedBodyBytes < limits().maxBodyBytes && length <= limits().maxBodyBytes;
        return isWithinLimit ? Reason::MemoryLimit : Reason::BodyTooLarge;
    }

    void writeContinue()
    {
        auto message = std::make_shared<http::response<http::empty_body>>(http::status::continue_, 11);
        http::async_write(m_socket, *message, [self = shared_from_this(), message](beast::error_code ec, std::size_t) {
            if (ec) {
                self->close();
            }
        });
    }

    void refuseParseError(beast::error_code ec)
    {
        if (ec == http::error::body_limit) {
            refuse(reasonOfBodyLimit());
        } else if (ec == http::error::header_limit) {
            refuse(Reason::HeaderTooLarge);
        } else if (isSyntaxError(ec)) {
            refuse(Reason::MalformedRequest);
        } else {
            close();
        }
    }

    /// Reads no further requests and drops the one that is being read; the last answer closes the connection.
    void endRequests()
    {
        m_isLastRequestRead = true;
        m_parser.reset();
        m_shared->budget.release(std::exchange(m_reservedBytes, 0));
    }

    /// Answers a request that can't be read or isn't accepted, and reads no further requests: the start of the next one may be unknown.
    void refuse(Reason reason)
    {
        endRequests();
        m_exchanges.push_back({.number = ++m_lastNumber, .keepAlive = false, .response = m_shared->handler.makeRefusalResponse(reason)});
        write();
    }

    // Serving

    void serve()
    {
        if (m_shared->isStopping) {
            // Too late to be sure of an answer before the process ends.
            refuse(Reason::Stopping);
            return;
        }
        auto &exchange = m_exchanges.emplace_back();
        exchange.number = ++m_lastNumber;
        exchange.isHead = m_parser->get().method() == http::verb::head;
        exchange.isServing = true;
        exchange.keepAlive = m_parser->keep_alive();
        exchange.reservedBytes = std::exchange(m_reservedBytes, 0);
        // While draining, a caller that always has a request in progress would otherwise keep its connection until the process ends.
        m_isLastRequestRead = !exchange.keepAlive || m_shared->isDraining;
        ++m_shared->requests;
        auto request = toRequest(m_parser->get());
        m_parser.reset();
        const auto number = exchange.number;
        const auto id = m_shared->handler.beginRequest(std::move(request), [weak = weak_from_this(), number](HttpResponse response) {
            if (const auto self = weak.lock()) {
                self->finish(number, std::move(response));
            }
        });
        if (auto *it = find(number)) {
            it->handlerId = id;
        }
    }

    Exchange *find(std::uint64_t number)
    {
        const auto it =
            std::find_if(m_exchanges.begin(), m_exchanges.end(), [number](const Exchange &exchange) { return exchange.number == number; });
        return it == m_exchanges.end() ? nullptr : &*it;
    }

    void releaseExchange(const Exchange &exchange)
    {
        m_shared->requests -= exchange.isServing ? 1 : 0;
        m_shared->budget.release(exchange.reservedBytes);
    }

    void finish(std::uint64_t number, HttpResponse response)
    {
        auto *exchange = find(number);
        if (!exchange || !exchange->isServing) {
            return;
        }
        releaseExchange(*exchange);
        exchange->isServing = false;
        exchange->reservedBytes = 0;
        exchange->response = std::move(response);
        write();
    }

    // Writing

    void write()
    {
        if (m_isWriting || m_isClosed || m_exchanges.empty() || !m_exchanges.front().response) {
            return;
        }
        auto &exchange = m_exchanges.front();
        const bool keepAlive = !(m_isLastRequestRead && m_exchanges.size() == 1);
        m_message = toMessage(std::move(*exchange.response), keepAlive, exchange.isHead);
        m_serializer.emplace(m_message);
        m_serializer->split(false);
        m_isWriting = true;
        setTimeout(m_shared->options.transferTimeout);
        const auto onWritten = [self = shared_from_this(), keepAlive](beast::error_code ec, std::size_t) { self->endWrite(ec, keepAlive); };
        if (exchange.isHead) {
            http::async_write_header(m_socket, *m_serializer, onWritten);
        } else {
            http::async_write(m_socket, *m_serializer, onWritten);
        }
    }

    void endWrite(beast::error_code ec, bool keepAlive)
    {
        m_isWriting = false;
        m_serializer.reset();
        m_message = {};
        if (m_isClosed) {
            return;
        }
        if (ec) {
            onCallerDisconnected();
            return;
        }
        m_exchanges.pop_front();
        if (!keepAlive || (m_isLastRequestRead && m_exchanges.empty())) {
            closeGracefully();
            return;
        }
        setTimeout(limits().idleTimeout);
        write();
        parse();
        if (m_shared->isStopping) {
            closeIfIdle();
        }
    }

    /// Shuts down the sending side and discards what the caller still sends: closing a socket with unread bytes
    /// would send a reset, and the caller could lose the answer.
    void closeGracefully()
    {
        beast::error_code ec;
        m_socket.shutdown(tcp::socket::shutdown_send, ec);
        if (ec) {
            close();
            return;
        }
        setTimeout(kLingerTimeout);
        m_isLastRequestRead = true;
        parse();
    }

    void setTimeout(Duration timeout)
    {
        m_deadline = std::chrono::steady_clock::now() + timeout;
    }

    std::shared_ptr<Shared> m_shared;
    /// This session while requests are being served.
    std::shared_ptr<Session> m_self;
    tcp::socket m_socket;
    beast::flat_buffer m_buf;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_message;
    std::optional<http::response_serializer<http::string_body>> m_serializer;
    std::deque<Exchange> m_exchanges;
    std::chrono::steady_clock::time_point m_deadline;
    std::uint64_t m_lastNumber = 0;
    /// Bytes reserved in the budget for the request that is being read.
    std::uint64_t m_reservedBytes = 0;
    bool m_isBodyAdmitted = false;
    bool m_isReading = false;
    bool m_isWriting = false;
    /// True when no further request is read; the connection closes after the last answer.
    bool m_isLastRequestRead = false;
    /// True when the caller has shut down its sending side but may still read answers.
    bool m_isInputClosed = false;
    bool m_isClosed = false;
};

HttpListener::HttpListener(asio::io_context &io, HttpListenerOptions options, HttpHandler &handler, ByteBudget &budget)
    : m_shared(std::make_shared<Shared>(Shared{io, std::move(options), handler, budget, {}, 0, false, false}))
    , m_acceptor(io)
    , m_timer(io)
{
}

HttpListener::~HttpListener()
{
    closeAll();
}

std::error_code HttpListener::start()
{
    const auto ec = openAcceptor(m_acceptor, m_shared->options.address);
    if (!ec) {
        acceptNext();
        startTimeoutTimer();
    }
    return ec;
}

void HttpListener::setLimits(const CallerLimits &limits)
{
    m_shared->options.limits = limits;
}

void HttpListener::startTimeoutTimer()
{
    m_timer.expires_after(kTimeoutCheckInterval);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (ec) {
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        for (const auto it : std::vector<Session *>(m_shared->sessions.begin(), m_shared->sessions.end())) {
            it->closeIfTimedOut(now);
        }
        startTimeoutTimer();
    });
}

void HttpListener::acceptNext()
{
    m_acceptor.async_accept([this, shared = m_shared](boost::system::error_code ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted || shared->isStopping) {
            return;
        }
        if (!ec) {
            const bool isFull = shared->sessions.size() >= shared->options.maxConnections;
            const auto session = std::make_shared<Session>(shared, std::move(socket));
            if (isFull) {
                session->refuseConnection();
            } else {
                session->begin();
            }
        }
        acceptNext();
    });
}

void HttpListener::beginDrain()
{
    m_shared->isDraining = true;
    for (const auto it : std::vector<Session *>(m_shared->sessions.begin(), m_shared->sessions.end())) {
        it->beginDrain();
    }
}

void HttpListener::beginStop()
{
    beginDrain();
    m_shared->isStopping = true;
    boost::system::error_code ec;
    m_acceptor.close(ec);
    for (const auto it : std::vector<Session *>(m_shared->sessions.begin(), m_shared->sessions.end())) {
        it->closeIfIdle();
    }
}

void HttpListener::closeAll()
{
    m_timer.cancel();
    m_shared->isStopping = true;
    boost::system::error_code ec;
    m_acceptor.close(ec);
    for (const auto it : std::vector<Session *>(m_shared->sessions.begin(), m_shared->sessions.end())) {
        it->close();
    }
}

std::uint16_t HttpListener::port() const
{
    return portOf(m_acceptor);
}

std::size_t HttpListener::connectionCount() const
{
    return m_shared->sessions.size();
}

std::size_t HttpListener::requestCount() const
{
    return m_shared->requests;
}

} // namespace chicoryspar
