/// @file
/// HTTP client of the backend server, on Boost.Beast.

#include "node/gate/backend_client.h"

#include "node/http/endpoint.h"
#include "node/http/message_beast.h"
#include "node/log.h"

#include <algorithm>
#include <utility>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace chicoryspar {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

/// Subtracted from the backend server's idle timeout, so that a connection isn't reused while the backend server is closing it.
constexpr Duration kIdleMargin = std::chrono::milliseconds(1200);
/// A reset of a reused connection within this time of the start of the exchange is taken for a stale connection: no request runs in less
/// time.
constexpr Duration kStaleResetWindow = std::chrono::milliseconds(5);
/// The learned idle limit is this fraction of the idle time at which a connection was stale, and at least kMinLearnedIdleLimit.
constexpr double kLearnedIdleFactor = 0.7;
constexpr Duration kMinLearnedIdleLimit = std::chrono::milliseconds(50);
/// The learned idle limit is dropped when no connection has been stale for this long.
constexpr Duration kLearnedIdleLimitExpiry = std::chrono::seconds(10);
/// Responses to other requests that are skipped before the connection is closed.
constexpr int kMaxMismatchedAnswers = 4;
/// Interim responses (1xx) to one request that are skipped before the connection is closed.
constexpr int kMaxInterimAnswers = 16;
/// A longer keep-alive timeout counts as this one, an hour.
constexpr std::uint64_t kMaxKeepAliveSeconds = 3600;
/// Bytes of a body that one read may take from the socket.
constexpr std::size_t kBodyReadBytes = 64 * 1024;

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr unsigned kSwitchingProtocols = 101;

bool isInterim(unsigned status)
{
    return status >= 100 && status < 200;
}

/// Returns the timeout parameter of a Keep-Alive header field, or nothing when it has none.
std::optional<Duration> parseKeepAliveTimeout(std::string_view field)
{
    constexpr std::string_view kName = "timeout=";
    const auto at = field.find(kName);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto value = field.substr(at + kName.size());
    const auto seconds = parseWholeNumber(value.substr(0, value.find_first_not_of("0123456789")));
    return seconds ? std::optional<Duration>(std::chrono::seconds(std::min(*seconds, kMaxKeepAliveSeconds))) : std::nullopt;
}

} // namespace

/// One connection, either idle or running one exchange.
class BackendClient::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(BackendClient &client, std::string address)
        : m_client(&client)
        , m_address(std::move(address))
        , m_stream(client.m_io)
        , m_timer(client.m_io)
        , m_buf(client.m_options.maxHeaderBytes + kBodyReadBytes)
    {
    }

    std::uint64_t exchangeId() const
    {
        return m_exchangeId;
    }

    const std::string &address() const
    {
        return m_address;
    }

    /// Returns the memory that the unfinished body of a response holds.
    std::size_t bodyBytes() const
    {
        return m_bodyBytes;
    }

    void begin(PendingExchange exchange)
    {
        m_exchangeId = exchange.id;
        m_done = std::move(exchange.done);
        m_mismatchedAnswers = 0;
        m_interimAnswers = 0;
        m_isRequestWritten = false;
        if (m_client->m_options.correlationId) {
            m_correlation = m_client->m_options.correlationId(exchange.request.headers);
        }
        m_isHeadRequest = exchange.request.verb == "HEAD";
        m_message = toMessage(std::move(exchange.request), m_address);
        m_isWriteStarted = false;
        m_timer.expires_after(exchange.timeout);
        m_timer.async_wait([weak = weak_from_this(), id = m_exchangeId](boost::system::error_code ec) {
            const auto self = weak.lock();
            if (!ec && self && self->m_exchangeId == id) {
                if (self->m_isReused && !self->m_parser->got_some()) {
                    self->m_client->closeIdleSince(self->m_startedAt);
                }
                self->fail(Outcome::Unknown, Reason::BackendSilent);
            }
        });
        m_startedAt = std::chrono::steady_clock::now();
        m_isReused = m_isOpen;
        if (m_isOpen) {
            stopIdleWatch();
            write();
            return;
        }
        connect();
    }

    /// Returns whether the connection has been idle too long to be reused: the backend server may have closed it.
    bool isExpired() const
    {
        const auto limit = std::min(m_idleTimeout, m_client ? m_client->learnedIdleLimit() : Duration::max());
        return std::chrono::steady_clock::now() - m_idleSince >= limit;
    }

    /// Gives up a response that can't be held.
    void endForMemory()
    {
        fail(Outcome::Unknown, Reason::BackendFailed);
    }

    std::chrono::steady_clock::time_point idleSince() const
    {
        return m_idleSince;
    }

    void cancel()
    {
        fail(m_isWriteStarted ? Outcome::Unknown : Outcome::NotRun, Reason::Cancelled);
    }

    /// Ends the exchange without a result; handlers that are still queued find another identifier and return.
    void detach()
    {
        m_client = nullptr;
        m_done = nullptr;
        m_exchangeId = 0;
        close();
    }

    /// Closes the idle connection as soon as the backend server closes it or sends anything.
    void startIdleWatch()
    {
        m_idleSince = std::chrono::steady_clock::now();
        m_isIdleWatchActive = true;
        m_stream.socket().async_wait(tcp::socket::wait_read, [weak = weak_from_this()](beast::error_code ec) {
            const auto self = weak.lock();
            if (self && self->m_isIdleWatchActive && ec != asio::error::operation_aborted) {
                self->m_isIdleWatchActive = false;
                self->close();
                self->notifyClosed();
            }
        });
    }

private:
    void stopIdleWatch()
    {
        m_isIdleWatchActive = false;
        beast::error_code ec;
        m_stream.socket().cancel(ec);
    }

    void connect()
    {
        const auto endpoint = parseEndpoint(m_address);
        if (!endpoint) {
            asio::post(m_stream.get_executor(), [self = shared_from_this()] { self->fail(Outcome::NotRun, Reason::ConnectFailed); });
            return;
        }
        m_stream.expires_after(m_client->m_options.connectTimeout);
        m_stream.async_connect(*endpoint, [self = shared_from_this(), id = m_exchangeId](beast::error_code ec) {
            if (self->m_exchangeId != id) {
                return;
            }
            if (ec) {
                self->fail(Outcome::NotRun, Reason::ConnectFailed);
                return;
            }
            self->m_stream.expires_never();
            self->m_stream.socket().set_option(tcp::no_delay(true), ec);
            self->m_isOpen = true;
            self->write();
        });
    }

    /// Reads the response while the request is being written: the backend server may answer before it has read the whole body.
    void write()
    {
        m_isWriteStarted = true;
        read();
        http::async_write(m_stream, m_message, [self = shared_from_this(), id = m_exchangeId](beast::error_code ec, std::size_t) {
            if (self->m_exchangeId != id) {
                return;
            }
            self->m_isRequestWritten = !ec;
            if (ec && !self->m_buf.size()) {
                self->reportStaleReset();
                self->fail(Outcome::Unknown, Reason::ConnectionLost);
            }
        });
    }

    void read()
    {
        m_parser.emplace();
        m_parser->header_limit(m_client->m_options.maxHeaderBytes);
        m_parser->body_limit(m_client->m_options.maxBodyBytes);
        m_parser->skip(m_isHeadRequest);
        // An eager parser goes on after a stated length over the limit, and allocates that length.
        m_parser->eager(false);
        m_isHeadChecked = false;
        m_head.reset();
        setBodyBytes(0);
        parse();
    }

    /// Checks the head once all of it has arrived. The parser accepts more than the grammar allows.
    /// @returns false for a malformed head
    bool checkHead()
    {
        if (m_isHeadChecked) {
            return true;
        }
        const auto bytes = m_buf.data();
        const std::string_view text(static_cast<const char *>(bytes.data()), bytes.size());
        const auto end = text.find(kHeadEnd);
        if (end == std::string_view::npos) {
            return true;
        }
        m_isHeadChecked = true;
        const auto fault = checkResponseHead(text.substr(0, end + kHeadEnd.size()));
        if (!fault.empty() && tryTakeDecisionLogToken()) {
            writeLog(LogLevel::Warning, "malformed answer of the backend server", {{"address", m_address}, {"fault", std::string(fault)}});
        }
        return fault.empty();
    }

    void readSome()
    {
        const auto onRead = [self = shared_from_this(), id = m_exchangeId](beast::error_code ec, std::size_t n) {
            if (self->m_exchangeId != id) {
                return;
            }
            self->m_buf.commit(n);
            if (ec == asio::error::eof && self->m_parser->got_some()) {
                // Ends a body without a length; any other response is incomplete.
                ec = {};
                self->m_parser->put_eof(ec);
            }
            if (ec) {
                self->reportStaleReset();
                self->fail(Outcome::Unknown, Reason::BackendFailed);
            } else {
                self->parse();
            }
        };
        m_stream.async_read_some(m_buf.prepare(beast::read_size(m_buf, kBodyReadBytes)), onRead);
    }

    /// Parses what has arrived, then reads on until the response is complete. The parser's limits cover the head and the body; the lines of
    /// chunks and the trailer, which the parser takes only as a whole, are limited like the head.
    void parse()
    {
        if (!checkHead()) {
            fail(Outcome::Unknown, Reason::BackendFailed);
            return;
        }
        beast::error_code ec;
        while (m_buf.size() > 0 && !m_parser->is_done() && !ec) {
            m_buf.consume(parseBytes(*m_parser, m_buf.data(), ec));
            if (m_parser->is_header_done() && !m_head) {
                // The parser adds the fields of a trailer to those of the head, where they could change what the answer means.
                m_head = makeHead();
            }
        }
        const bool isWaiting = !ec || ec == http::error::need_more;
        if (!isWaiting || (!m_parser->is_done() && m_buf.size() > m_client->m_options.maxHeaderBytes)) {
            fail(Outcome::Unknown, Reason::BackendFailed);
        } else if (m_parser->is_done()) {
            receive();
        } else if (setBodyBytes(m_parser->get().body().capacity())) {
            readSome();
        }
    }

    /// What the head of a response states.
    struct Head
    {
        HttpResponse response;
        bool isKeptAlive = false;
        /// The response ends with its connection.
        bool endsWithConnection = false;
        std::optional<Duration> keepAliveTimeout;
    };

    Head makeHead()
    {
        auto &message = m_parser->get();
        const auto field = message[http::field::keep_alive];
        return {.response = toResponse(message, m_isHeadRequest),
                .isKeptAlive = message.keep_alive(),
                .endsWithConnection = message.need_eof(),
                .keepAliveTimeout = parseKeepAliveTimeout({field.data(), field.size()})};
    }

    /// Records the memory that the body holds.
    /// @returns false when the client ended this exchange because the unfinished bodies together hold too much
    bool setBodyBytes(std::size_t bytes)
    {
        const auto id = m_exchangeId;
        m_client->onBodyBytesChanged(std::exchange(m_bodyBytes, bytes), bytes);
        return m_exchangeId == id;
    }

    void receive()
    {
        if (isInterim(m_head->response.status)) {
            skipInterimAnswer();
            return;
        }
        // Not reused with unread bytes after the response, which belong to no request, or with an unsent rest of the request body, which
        // the backend server would read as the next request.
        const bool canReadNextAnswer = m_head->isKeptAlive && !m_head->endsWithConnection;
        const bool isReusable = canReadNextAnswer && m_buf.size() == 0 && m_isRequestWritten;
        m_idleTimeout = m_head->keepAliveTimeout.value_or(m_client->m_options.idleTimeout + kIdleMargin) - kIdleMargin;
        BackendResult result;
        result.outcome = Outcome::Answer;
        result.response = std::move(m_head->response);
        result.response.body = std::move(m_parser->get().body());
        if (m_client->m_options.isAnswerTo && !m_client->m_options.isAnswerTo(m_correlation, result.response)) {
            if (!canReadNextAnswer || ++m_mismatchedAnswers > kMaxMismatchedAnswers) {
                fail(Outcome::Unknown, Reason::BackendFailed);
                return;
            }
            read();
            return;
        }
        auto done = endExchange();
        if (isReusable) {
            m_client->onIdle(shared_from_this());
        } else {
            close();
            notifyClosed();
        }
        done(std::move(result));
    }

    /// Goes on to the response that follows an interim one. This client never asks for another protocol, so 101 is a fault.
    void skipInterimAnswer()
    {
        if (m_head->response.status == kSwitchingProtocols || ++m_interimAnswers > kMaxInterimAnswers) {
            fail(Outcome::Unknown, Reason::BackendFailed);
            return;
        }
        read();
    }

    /// Reports to the client that a reused connection was reset at once: the backend server had dropped it while it was idle.
    void reportStaleReset()
    {
        const auto now = std::chrono::steady_clock::now();
        if (m_isReused && m_client && m_buf.size() == 0 && now - m_startedAt < kStaleResetWindow) {
            m_client->onStaleReset(std::chrono::duration_cast<Duration>(m_startedAt - m_idleSince));
        }
    }

    void fail(Outcome outcome, Reason reason)
    {
        if (m_exchangeId == 0) {
            return;
        }
        auto done = endExchange();
        close();
        notifyClosed();
        if (done) {
            done(BackendResult{.outcome = outcome, .reason = reason});
        }
    }

    Done endExchange()
    {
        m_exchangeId = 0;
        setBodyBytes(0);
        m_timer.cancel();
        return std::exchange(m_done, nullptr);
    }

    void close()
    {
        m_isOpen = false;
        m_stream.close();
    }

    void notifyClosed()
    {
        if (m_client) {
            m_client->onClosed(shared_from_this());
        }
    }

    BackendClient *m_client;
    std::string m_address;
    beast::tcp_stream m_stream;
    asio::steady_timer m_timer;
    beast::flat_buffer m_buf;
    http::request<http::string_body> m_message;
    std::optional<http::response_parser<http::string_body>> m_parser;
    /// Set when the parser has read the head.
    std::optional<Head> m_head;
    bool m_isHeadChecked = false;
    std::size_t m_bodyBytes = 0;
    Done m_done;
    std::uint64_t m_exchangeId = 0;
    bool m_isOpen = false;
    bool m_isHeadRequest = false;
    bool m_isIdleWatchActive = false;
    bool m_isWriteStarted = false;
    /// The request was written completely.
    bool m_isRequestWritten = false;
    int m_mismatchedAnswers = 0;
    int m_interimAnswers = 0;
    std::string m_correlation;
    Duration m_idleTimeout{0};
    std::chrono::steady_clock::time_point m_idleSince;
    std::chrono::steady_clock::time_point m_startedAt;
    /// The current exchange runs on a connection that was open before it.
    bool m_isReused = false;
};

BackendClient::BackendClient(asio::io_context &io, BackendClientOptions options)
    : m_io(io)
    , m_options(std::move(options))
{
}

BackendClient::~BackendClient()
{
    for (const auto &it : m_busy) {
        it->detach();
    }
    for (const auto &it : m_idle) {
        it->detach();
    }
}

void BackendClient::setTarget(const std::string &address, std::size_t maxConnections)
{
    m_address = address;
    m_maxConnections = maxConnections;
    startPendingExchanges();
}

std::uint64_t BackendClient::send(HttpRequest request, Duration timeout, Done done)
{
    const auto id = ++m_lastId;
    m_pending.push_back({id, std::move(request), timeout, std::move(done)});
    startPendingExchanges();
    return id;
}

void BackendClient::cancel(std::uint64_t id)
{
    const auto pending = std::find_if(m_pending.begin(), m_pending.end(), [id](const PendingExchange &it) { return it.id == id; });
    if (pending != m_pending.end()) {
        auto done = std::move(pending->done);
        m_pending.erase(pending);
        done(BackendResult{.outcome = Outcome::NotRun, .reason = Reason::Cancelled});
        return;
    }
    const auto busy = std::find_if(m_busy.begin(), m_busy.end(), [id](const auto &it) { return it->exchangeId() == id; });
    if (busy != m_busy.end()) {
        const auto connection = *busy;
        connection->cancel();
    }
}

std::size_t BackendClient::connectionCount() const
{
    return m_idle.size() + m_busy.size();
}

void BackendClient::startPendingExchanges()
{
    while (!m_pending.empty()) {
        std::shared_ptr<Connection> connection;
        if (!m_idle.empty()) {
            connection = m_idle.back();
            m_idle.pop_back();
            if (connection->address() != m_address || connection->isExpired()) {
                connection->detach();
                continue;
            }
        } else if (m_busy.size() < m_maxConnections) {
            connection = std::make_shared<Connection>(*this, m_address);
        } else {
            return;
        }
        auto exchange = std::move(m_pending.front());
        m_pending.pop_front();
        m_busy.push_back(connection);
        connection->begin(std::move(exchange));
    }
}

void BackendClient::closeIdleSince(std::chrono::steady_clock::time_point time)
{
    m_idle.remove_if([time](const std::shared_ptr<Connection> &it) {
        const bool isClosed = it->idleSince() < time;
        if (isClosed) {
            it->detach();
        }
        return isClosed;
    });
}

void BackendClient::onBodyBytesChanged(std::size_t before, std::size_t after)
{
    m_bodyBytes = m_bodyBytes - before + after;
    if (m_bodyBytes <= m_options.maxTotalBodyBytes) {
        return;
    }
    // The largest one is the most likely not to end.
    const auto largest =
        std::max_element(m_busy.begin(), m_busy.end(), [](const auto &a, const auto &b) { return a->bodyBytes() < b->bodyBytes(); });
    const auto connection = *largest;
    writeLog(LogLevel::Warning, "unfinished responses of the backend server hold too much memory; the largest is given up",
             {{"address", m_address}, {"bytes", std::to_string(connection->bodyBytes())}, {"bytesOfAll", std::to_string(m_bodyBytes)}});
    connection->endForMemory();
}

void BackendClient::onStaleReset(Duration idle)
{
    const auto limit =
        std::max(kMinLearnedIdleLimit, Duration(static_cast<Duration::rep>(static_cast<double>(idle.count()) * kLearnedIdleFactor)));
    m_learnedIdleLimit = std::min(learnedIdleLimit(), limit);
    m_idleLimitLearnedAt = std::chrono::steady_clock::now();
    writeLog(LogLevel::Info, "reused connection was reset by the backend server; idle limit shortened",
             {{"address", m_address},
              {"idleMs", std::to_string(toMilliseconds(idle))},
              {"limitMs", std::to_string(toMilliseconds(m_learnedIdleLimit))}});
}

Duration BackendClient::learnedIdleLimit() const
{
    const bool isFresh = std::chrono::steady_clock::now() - m_idleLimitLearnedAt < kLearnedIdleLimitExpiry;
    return isFresh ? m_learnedIdleLimit : Duration::max();
}

void BackendClient::onIdle(const std::shared_ptr<Connection> &connection)
{
    m_busy.remove(connection);
    m_idle.push_back(connection);
    connection->startIdleWatch();
    startPendingExchanges();
}

void BackendClient::onClosed(const std::shared_ptr<Connection> &connection)
{
    m_busy.remove(connection);
    m_idle.remove(connection);
    startPendingExchanges();
}

} // namespace chicoryspar
