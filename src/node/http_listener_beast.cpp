/// @file
/// HTTP server of the call path on Boost.Beast.

#include "node/http_listener.h"

#include <unordered_set>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace chicoryspar {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t kReadBufferBytes = 64 * 1024;

HttpRequest toRequest(http::request<http::string_body> &message)
{
    HttpRequest request;
    request.verb = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &it : message) {
        const auto name = it.name_string();
        if (!isHopByHop({name.data(), name.size()}) && it.name() != http::field::content_length) {
            request.headers.push_back({std::string(name), std::string(it.value())});
        }
    }
    request.body = std::move(message.body());
    return request;
}

http::response<http::string_body> toMessage(HttpResponse response, bool keepAlive, bool isHead)
{
    http::response<http::string_body> message;
    message.version(11);
    message.result(response.status);
    for (const auto &it : response.headers) {
        message.insert(it.name, it.value);
    }
    message.keep_alive(keepAlive);
    if (isHead) {
        return message;
    }
    message.body() = std::move(response.body);
    const bool hasNoBody = response.status == 204 || response.status == 304 || response.status < 200;
    if (!hasNoBody) {
        message.content_length(message.body().size());
    }
    return message;
}

/// Returns whether @a ec says that the bytes aren't HTTP; false for closed, silent and timed-out connections.
bool isSyntaxError(const beast::error_code &ec)
{
    return ec.category() == http::make_error_code(http::error::bad_method).category() && ec != http::error::end_of_stream
        && ec != http::error::partial_message;
}

} // namespace

ByteBudget::ByteBudget(std::uint64_t limit)
    : m_limit(limit)
{
}

bool ByteBudget::take(std::uint64_t bytes)
{
    if (bytes > m_limit - m_used) {
        return false;
    }
    m_used += bytes;
    return true;
}

void ByteBudget::give(std::uint64_t bytes)
{
    m_used -= bytes;
}

std::uint64_t ByteBudget::used() const
{
    return m_used;
}

/// What a listener and its sessions share.
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

/// One connection of a caller.
class HttpListener::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(std::shared_ptr<Shared> shared, tcp::socket socket)
        : m_shared(std::move(shared))
        , m_stream(std::move(socket))
    {
        m_shared->sessions.insert(this);
    }

    ~Session()
    {
        releaseBytes();
        m_shared->sessions.erase(this);
    }

    void begin()
    {
        beast::error_code ec;
        m_stream.socket().set_option(tcp::no_delay(true), ec);
        waitForRequest();
    }

    void refuseConnection()
    {
        m_keepAlive = false;
        writeResponse(m_shared->handler.refuseRequest(Reason::TooManyConnections));
    }

    void closeIfIdle()
    {
        if (!m_isBusy) {
            close();
        }
    }

    void close()
    {
        beast::error_code ec;
        m_stream.socket().shutdown(tcp::socket::shutdown_both, ec);
        m_stream.close();
    }

private:
    void waitForRequest()
    {
        m_isBusy = false;
        if (m_shared->isStopping) {
            close();
            return;
        }
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(m_shared->options.maxHeaderBytes));
        m_parser->body_limit(m_shared->options.maxBodyBytes);
        if (m_buf.size() > 0) {
            readHeader();
            return;
        }
        m_stream.expires_after(m_shared->options.idleTimeout);
        m_stream.async_read_some(m_buf.prepare(kReadBufferBytes), [self = shared_from_this()](beast::error_code ec, std::size_t n) {
            self->m_buf.commit(n);
            if (!ec) {
                self->readHeader();
            }
        });
    }

    void readHeader()
    {
        m_isBusy = true;
        m_stream.expires_after(m_shared->options.transferTimeout);
        http::async_read_header(m_stream, m_buf, *m_parser, [self = shared_from_this()](beast::error_code ec, std::size_t) {
            if (ec) {
                self->refuseTransfer(ec);
                return;
            }
            self->admitBody();
        });
    }

    void admitBody()
    {
        const auto length = m_parser->content_length();
        if (length && *length > m_shared->options.maxBodyBytes) {
            refuse(Reason::BodyTooLarge);
            return;
        }
        const bool isChunked = m_parser->chunked();
        const std::uint64_t bytes = isChunked ? m_shared->options.maxBodyBytes : length.value_or(0);
        if (!m_shared->budget.take(bytes)) {
            refuse(Reason::MemoryLimit);
            return;
        }
        m_heldBytes = bytes;
        if (beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
            writeContinue();
            return;
        }
        readBody();
    }

    void writeContinue()
    {
        auto message = std::make_shared<http::response<http::empty_body>>(http::status::continue_, 11);
        http::async_write(m_stream, *message, [self = shared_from_this(), message](beast::error_code ec, std::size_t) {
            if (!ec) {
                self->readBody();
            }
        });
    }

    void readBody()
    {
        http::async_read(m_stream, m_buf, *m_parser, [self = shared_from_this()](beast::error_code ec, std::size_t) {
            if (ec) {
                self->refuseTransfer(ec);
                return;
            }
            self->serve();
        });
    }

    void refuseTransfer(beast::error_code ec)
    {
        if (ec == http::error::body_limit) {
            refuse(Reason::BodyTooLarge);
        } else if (ec == http::error::header_limit) {
            refuse(Reason::HeaderTooLarge);
        } else if (isSyntaxError(ec)) {
            refuse(Reason::MalformedRequest);
        } else {
            close();
        }
    }

    void refuse(Reason reason)
    {
        m_keepAlive = false;
        writeResponse(m_shared->handler.refuseRequest(reason));
    }

    void serve()
    {
        m_stream.expires_never();
        m_keepAlive = m_parser->keep_alive();
        m_isHead = m_parser->get().method() == http::verb::head;
        ++m_shared->requests;
        m_isServing = true;
        const auto id = m_shared->handler.beginRequest(toRequest(m_parser->get()), [weak = weak_from_this()](HttpResponse response) {
            if (const auto self = weak.lock()) {
                self->finish(std::move(response));
            }
        });
        if (m_isServing) {
            m_request = id;
            watchForClose();
        }
    }

    void watchForClose()
    {
        m_isWatching = true;
        m_stream.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this()](beast::error_code ec) {
            self->m_isWatching = false;
            if (!ec && self->m_isServing) {
                self->checkForClose();
            }
        });
    }

    void checkForClose()
    {
        char byte = 0;
        beast::error_code ec;
        m_stream.socket().non_blocking(true, ec);
        const auto n = m_stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
        if (ec == asio::error::would_block) {
            watchForClose();
            return;
        }
        if (!ec && n > 0) {
            // The next request has arrived early; it waits in the socket until this one is answered.
            return;
        }
        endServing();
        m_shared->handler.abandonRequest(m_request);
        close();
    }

    void endServing()
    {
        m_isServing = false;
        --m_shared->requests;
        releaseBytes();
    }

    void finish(HttpResponse response)
    {
        if (!m_isServing) {
            return;
        }
        endServing();
        if (m_isWatching) {
            beast::error_code ec;
            m_stream.socket().cancel(ec);
        }
        writeResponse(std::move(response));
    }

    void writeResponse(HttpResponse response)
    {
        const bool keepAlive = m_keepAlive && !m_shared->isStopping && !m_shared->isDraining;
        m_message = toMessage(std::move(response), keepAlive, m_isHead);
        m_serializer.emplace(m_message);
        m_serializer->split(false);
        m_stream.expires_after(m_shared->options.transferTimeout);
        if (m_isHead) {
            http::async_write_header(m_stream, *m_serializer, [self = shared_from_this(), keepAlive](beast::error_code ec, std::size_t) {
                self->endWrite(ec, keepAlive);
            });
            return;
        }
        http::async_write(m_stream, *m_serializer,
                          [self = shared_from_this(), keepAlive](beast::error_code ec, std::size_t) { self->endWrite(ec, keepAlive); });
    }

    void endWrite(beast::error_code ec, bool keepAlive)
    {
        if (!ec && keepAlive) {
            waitForRequest();
            return;
        }
        closeGracefully();
    }

    /// Sends the end of the stream and reads what the caller still sends, so that no reset destroys the answer on its way.
    void closeGracefully()
    {
        beast::error_code ec;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ec);
        if (ec) {
            close();
            return;
        }
        m_stream.expires_after(std::chrono::seconds(1));
        discardInput();
    }

    void discardInput()
    {
        m_buf.clear();
        m_stream.async_read_some(m_buf.prepare(kReadBufferBytes), [self = shared_from_this()](beast::error_code ec, std::size_t) {
            if (ec) {
                self->close();
                return;
            }
            self->discardInput();
        });
    }

    void releaseBytes()
    {
        m_shared->budget.give(m_heldBytes);
        m_heldBytes = 0;
    }

    std::shared_ptr<Shared> m_shared;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buf;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_message;
    std::optional<http::response_serializer<http::string_body>> m_serializer;
    std::uint64_t m_request = 0;
    std::uint64_t m_heldBytes = 0;
    bool m_isBusy = false;
    bool m_isServing = false;
    bool m_isWatching = false;
    bool m_isHead = false;
    bool m_keepAlive = true;
};

HttpListener::HttpListener(asio::io_context &io, HttpListenerOptions options, HttpHandler &handler, ByteBudget &budget)
    : m_shared(std::make_shared<Shared>(Shared{io, std::move(options), handler, budget, {}, 0, false, false}))
    , m_acceptor(io)
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
    }
    return ec;
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
}

void HttpListener::beginStop()
{
    m_shared->isStopping = true;
    boost::system::error_code ec;
    m_acceptor.close(ec);
    for (const auto it : std::vector<Session *>(m_shared->sessions.begin(), m_shared->sessions.end())) {
        it->closeIfIdle();
    }
}

void HttpListener::closeAll()
{
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
