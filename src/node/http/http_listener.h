#pragma once

/// @file
/// HTTP server of the call path: one listening port with limits on connections, headers and bodies.

#include "node/http/endpoint.h"
#include <chicoryspar/http.h>

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace chicoryspar {

/// Serves the requests that an HttpListener has read.
class HttpHandler
{
public:
    using Respond = std::function<void(HttpResponse)>;

    virtual ~HttpHandler() = default;

    /// Starts to serve a request.
    /// @param respond must be called exactly once, unless abandonRequest() is called first
    /// @returns an id for abandonRequest(), or 0 when @a respond was already called
    virtual std::uint64_t beginRequest(HttpRequest request, Respond respond) = 0;

    /// Called when the caller has disconnected and the answer is no longer needed.
    /// @param id as returned by beginRequest()
    virtual void abandonRequest(std::uint64_t id) = 0;

    /// Returns the answer to a request that the listener refuses before passing it to beginRequest().
    virtual HttpResponse makeRefusalResponse(Reason reason) = 0;
};

/// Limits the total size of the request bodies that all listeners of a node buffer.
class ByteBudget
{
public:
    explicit ByteBudget(std::uint64_t limitBytes);

    /// Reserves @a bytes.
    /// @returns false, with nothing reserved, when the limit would be exceeded
    bool tryReserve(std::uint64_t bytes);
    void release(std::uint64_t bytes);
    std::uint64_t used() const;

private:
    std::uint64_t m_limitBytes;
    std::uint64_t m_usedBytes = 0;
};

/// Limits on what a caller may send.
struct CallerLimits
{
    /// A request with a larger body is refused with Reason::BodyTooLarge.
    std::uint64_t maxBodyBytes = 0;
    std::uint64_t maxHeaderBytes = 0;
    /// Maximum time from the first byte of a request to the end of its header.
    Duration headerTimeout = std::chrono::seconds(10);
    /// Maximum time that a connection may stay open without a request.
    Duration idleTimeout = std::chrono::seconds(60);
};

struct HttpListenerOptions
{
    std::string address;
    CallerLimits limits;
    /// Size of the largest body that is buffered. A larger one within the caller's limit is refused with Reason::MemoryLimit.
    std::uint64_t maxBufferedBodyBytes = 0;
    std::uint64_t maxConnections = 0;
    /// Maximum time from the end of a request's header to the end of its body, and for sending an answer.
    Duration transferTimeout = std::chrono::seconds(10);
};

/// Accepts HTTP connections. Pipelined requests of a connection are served concurrently and answered in the order of arrival.
class HttpListener
{
public:
    HttpListener(boost::asio::io_context &io, HttpListenerOptions options, HttpHandler &handler, ByteBudget &budget);
    ~HttpListener();

    /// Opens the port and starts to accept connections.
    std::error_code start();

    /// Changes the limits. They apply to requests whose first byte arrives later, and to connections that become idle later.
    void setLimits(const CallerLimits &limits);

    /// Closes each connection after the requests in progress, or after the next one if there is none. Requests behind those are discarded
    /// unread. New connections are still accepted.
    void beginDrain();

    /// Closes the port. Idle connections close at once, the others after the requests in progress. A request whose end arrives later is
    /// refused with Reason::Stopping.
    void beginStop();

    /// Closes the port and every connection at once.
    void closeAll();

    std::uint16_t port() const;
    std::size_t connectionCount() const;

    /// Number of requests in progress.
    std::size_t requestCount() const;

private:
    struct Shared;
    class Session;
    void acceptNext();
    void startTimeoutTimer();

    std::shared_ptr<Shared> m_shared;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_timer;
};

} // namespace chicoryspar
