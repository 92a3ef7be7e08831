/// @file
/// HTTP client towards the backend server on Boost.Beast.

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

/// Margin before the time at which the backend server closes an idle connection.
constexpr Duration kIdleMargin = std::chrono::milliseconds(1200);
/// A reset within this time of the request's first byte shows a connection that was forgotten: no request runs so briefly.
constexpr Duration kForgottenReset = std::chrono::milliseconds(5);
/// Part of the idle time of a forgotten connection after which others aren't used again, and the least such time.
constexpr double kLearnedPart = 0.7;
constexpr Duration kMinLearnedIdle = std::chrono::milliseconds(50);
/// Time without a forgotten connection after which connections may be idle as long as before.
constexpr Duration kLearnedExpiry = std::chrono::seconds(10);
/// Answers to other requests that are read past before the connection is given up.
constexpr int kMaxForeignAnswers = 4;

/// Returns the idle timeout that a Keep-Alive field states.
std::optional<Duration> readIdleTimeout(std::string_view field)
{
    constexpr std::string_view kName = "timeout=";
    const auto at = field.find(kName);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto value = field.substr(at + kName.size());
    const auto seconds = parseWholeNumber(value.substr(0, value.find_first_not_of("0123456789")));
    return seconds ? std::optional<Duration>(std::chrono::seconds(*seconds)) : std::nullopt;
}

} // namespace

/// One connection, idle or with one exchange.
class BackendClient::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(BackendClient &client, std::string address)
        : m_client(&client)
        , m_address(std::move(address))
        , m_stream(client.m_io)
        , m_timer(client.m_io)
    {
    }

    std::uint64_t exchangeId() const
    {
        return m_id;
    }

    const std::string &address() const
    {
        return m_address;
    }

    void begin(Waiting exchange)
    {
        m_id = exchange.id;
        m_done = std::move(exchange.done);
        m_foreignAnswers = 0;
        m_isWritten = false;
        if (m_client->m_options.correlationId) {
            m_correlation = m_client->m_options.correlationId(exchange.request.headers);
        }
        m_isHead = exchange.request.verb == "HEAD";
        m_message = toMessage(std::move(exchange.request), m_address);
        m_bytesWritten = false;
        m_timer.expires_after(exchange.timeout);
        m_timer.async_wait([weak = weak_from_this(), id = m_id](boost::system::error_code ec) {
            const auto self = weak.lock();
            if (!ec && self && self->m_id == id) {
                self->fail(Outcome::Unknown, Reason::BackendSilent);
            }
        });
        m_begunAt = std::chrono::steady_clock::now();
        m_isReused = m_isOpen;
        if (m_isOpen) {
            stopWatching();
            write();
            return;
        }
        connect();
    }

    /// Returns whether the backend server may have closed the idle connection by now.
    bool isExpired() const
    {
        const auto limit = std::min(m_idleTimeout, m_client ? m_client->idleLimit() : Duration::max());
        return std::chrono::steady_clock::now() - m_idleSince >= limit;
    }

    void cancel()
    {
        fail(m_bytesWritten ? Outcome::Unknown : Outcome::NotRun, Reason::Cancelled);
    }

    void detach()
    {
        m_client = nullptr;
        m_done = nullptr;
        close();
    }

    /// Closes the connection when the backend server closes it.
    void watchWhileIdle()
    {
        m_idleSince = std::chrono::steady_clock::now();
        m_isWatching = true;
        m_stream.socket().async_wait(tcp::socket::wait_read, [weak = weak_from_this()](beast::error_code ec) {
            const auto self = weak.lock();
            if (self && self->m_isWatching && ec != asio::error::operation_aborted) {
                self->m_isWatching = false;
                self->close();
                self->notifyClosed();
            }
        });
    }

private:
    void stopWatching()
    {
        m_isWatching = false;
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
        m_stream.async_connect(*endpoint, [self = shared_from_this(), id = m_id](beast::error_code ec) {
            if (self->m_id != id) {
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

    /// The answer is read while the request is written: it may come before the whole body is taken.
    void write()
    {
        m_bytesWritten = true;
        read();
        http::async_write(m_stream, m_message, [self = shared_from_this(), id = m_id](beast::error_code ec, std::size_t) {
            if (self->m_id != id) {
                return;
            }
            self->m_isWritten = !ec;
            if (ec && !self->m_buf.size()) {
                self->noteReset();
                self->fail(Outcome::Unknown, Reason::ConnectionLost);
            }
        });
    }

    void read()
    {
        m_parser.emplace();
        m_parser->header_limit(m_client->m_options.maxHeaderBytes);
        m_parser->body_limit(m_client->m_options.maxBodyBytes);
        m_parser->skip(m_isHead);
        http::async_read(m_stream, m_buf, *m_parser, [self = shared_from_this(), id = m_id](beast::error_code ec, std::size_t) {
            if (self->m_id != id) {
                return;
            }
            if (ec) {
                self->noteReset();
                self->fail(Outcome::Unknown, Reason::BackendFailed);
                return;
            }
            self->receive();
        });
    }

    void receive()
    {
        const auto &message = m_parser->get();
        // Bytes behind the answer belong to no request, and the rest of an unsent body to none either.
        const bool isReusable = message.keep_alive() && !message.need_eof() && m_buf.size() == 0 && m_isWritten;
        const auto field = message[http::field::keep_alive];
        m_idleTimeout = readIdleTimeout({field.data(), field.size()}).value_or(m_client->m_options.idleTimeout + kIdleMargin) - kIdleMargin;
        BackendResult result;
        result.outcome = Outcome::Answer;
        const bool mayFollow = message.keep_alive() && !message.need_eof();
        result.response = toResponse(m_parser->get(), m_isHead);
        if (m_client->m_options.isAnswerTo && !m_client->m_options.isAnswerTo(m_correlation, result.response)) {
            if (!mayFollow || ++m_foreignAnswers > kMaxForeignAnswers) {
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

    /// Tells the client about a connection that the backend server had forgotten while it was idle.
    void noteReset()
    {
        const auto now = std::chrono::steady_clock::now();
        if (m_isReused && m_client && m_buf.size() == 0 && now - m_begunAt < kForgottenReset) {
            m_client->onForgotten(std::chrono::duration_cast<Duration>(m_begunAt - m_idleSince));
        }
    }

    void fail(Outcome outcome, Reason reason)
    {
        if (m_id == 0) {
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
        m_id = 0;
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
    Done m_done;
    std::uint64_t m_id = 0;
    bool m_isOpen = false;
    bool m_isHead = false;
    bool m_isWatching = false;
    bool m_bytesWritten = false;
    /// The whole request was written.
    bool m_isWritten = false;
    int m_foreignAnswers = 0;
    std::string m_correlation;
    Duration m_idleTimeout{0};
    std::chrono::steady_clock::time_point m_idleSince;
    std::chrono::steady_clock::time_point m_begunAt;
    /// The exchange uses a connection that was idle before.
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
    startWaiting();
}

std::uint64_t BackendClient::send(HttpRequest request, Duration timeout, Done done)
{
    const auto id = ++m_lastId;
    m_waiting.push_back({id, std::move(request), timeout, std::move(done)});
    startWaiting();
    return id;
}

void BackendClient::cancel(std::uint64_t id)
{
    const auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(), [id](const Waiting &it) { return it.id == id; });
    if (waiting != m_waiting.end()) {
        auto done = std::move(waiting->done);
        m_waiting.erase(waiting);
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

void BackendClient::startWaiting()
{
    while (!m_waiting.empty()) {
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
        auto exchange = std::move(m_waiting.front());
        m_waiting.pop_front();
        m_busy.push_back(connection);
        connection->begin(std::move(exchange));
    }
}

void BackendClient::onForgotten(Duration idle)
{
    const auto learned = std::max(kMinLearnedIdle, Duration(static_cast<Duration::rep>(static_cast<double>(idle.count()) * kLearnedPart)));
    m_learnedIdle = std::min(idleLimit(), learned);
    m_learnedAt = std::chrono::steady_clock::now();
    writeLog(LogLevel::Info, "backend server forgot an idle connection",
             {{"address", m_address},
              {"idleMs", std::to_string(toMilliseconds(idle))},
              {"limitMs", std::to_string(toMilliseconds(m_learnedIdle))}});
}

Duration BackendClient::idleLimit() const
{
    const bool isFresh = std::chrono::steady_clock::now() - m_learnedAt < kLearnedExpiry;
    return isFresh ? m_learnedIdle : Duration::max();
}

void BackendClient::onIdle(const std::shared_ptr<Connection> &connection)
{
    m_busy.remove(connection);
    m_idle.push_back(connection);
    connection->watchWhileIdle();
    startWaiting();
}

void BackendClient::onClosed(const std::shared_ptr<Connection> &connection)
{
    m_busy.remove(connection);
    m_idle.remove(connection);
    startWaiting();
}

} // namespace chicoryspar
