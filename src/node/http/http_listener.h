#pragma once

/// @file
/// HTTP server of the call path: one listening port, bounded connections, headers and bodies.

#include "node/http/endpoint.h"
#include <chicoryspar/http.h>

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace chicoryspar {

/// Receives the requests of a listener.
class HttpHandler
{
public:
    using Respond = std::function<void(HttpResponse)>;

    virtual ~HttpHandler() = default;

    /// Begins to serve a request.
    /// @param respond to be called exactly once, unless abandonRequest() comes first
    /// @returns a number that identifies the request, 0 when it was answered already
    virtual std::uint64_t beginRequest(HttpRequest request, Respond respond) = 0;

    /// Tells that nobody waits for the answer any more.
    virtual void abandonRequest(std::uint64_t id) = 0;

    /// Returns the answer to a request that the listener itself refuses, always before anything was run.
    virtual HttpResponse makeRefusalResponse(Reason reason) = 0;
};

/// Bytes of bodies that all listeners of a node hold, against one limit.
class ByteBudget
{
public:
    explicit ByteBudget(std::uint64_t limitBytes);

    /// Takes @a bytes, or nothing when the limit would be passed.
    bool tryReserve(std::uint64_t bytes);
    void release(std::uint64_t bytes);
    std::uint64_t used() const;

private:
    std::uint64_t m_limitBytes;
    std::uint64_t m_usedBytes = 0;
};

struct HttpListenerOptions
{
    std::string address;
    std::uint64_t maxBodyBytes = 0;
    std::uint64_t maxHeaderBytes = 0;
    std::uint64_t maxConnections = 0;
    /// Longest time for a request's header to arrive after its first byte.
    Duration headerTimeout = std::chrono::seconds(10);
    /// Longest time for a request's body to arrive after its header, and for an answer to be taken.
    Duration transferTimeout = std::chrono::seconds(10);
    /// How long a connection may stay without a request.
    Duration idleTimeout = std::chrono::seconds(60);
};

/// Accepts connections and serves the requests of each side by side; answers keep the order of the requests.
class HttpListener
{
public:
    HttpListener(boost::asio::io_context &io, HttpListenerOptions options, HttpHandler &handler, ByteBudget &budget);
    ~HttpListener();

    /// Opens the port.
    std::error_code start();

    /// Puts new limits in force: for requests whose first byte comes later, and for connections that become idle later.
    void setLimits(std::uint64_t maxHeaderBytes, Duration headerTimeout, Duration idleTimeout);

    /// Closes each connection after its next answer, and accepts further ones.
    void beginDrain();

    /// Closes the port. Connections finish the request in progress and close.
    void beginStop();

    /// Closes every connection at once.
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
