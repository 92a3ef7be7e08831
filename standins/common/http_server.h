#pragma once

/// @file
/// HTTP/1.1 server of the stand-ins, on an io_context. Passes each request to a handler that may answer later, and reports
/// connections closed by the peer.

#include "caller/http_client.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace chicoryspar::standin {

/// Fault injected into an answer when it is written.
enum class AnswerFault : std::uint8_t {
    None,
    /// Half of the bytes are sent, then the connection is closed.
    Truncated,
    /// The answer is sent twice.
    Doubled,
    /// The connection is closed without an answer.
    Closed,
    Count,
};

/// A received request and the means to answer it.
class ServerExchange
{
public:
    virtual ~ServerExchange() = default;

    virtual const ExchangeRequest &request() const = 0;
    /// Sends the answer. Further calls have no effect.
    virtual void answer(ExchangeResponse response, AnswerFault fault = AnswerFault::None) = 0;
    /// Sets the handler that is called when the peer closes the connection before the answer.
    virtual void onClosed(std::function<void()> handler) = 0;
};

using ServerExchangePtr = std::shared_ptr<ServerExchange>;
using ServerHandler = std::function<void(const ServerExchangePtr &exchange)>;

struct HttpServerState;

/// Listens on a TCP port and serves connections until it is stopped or destroyed.
class HttpServer
{
public:
    /// @param address IP address and port; port 0 selects a free one
    /// @throws std::system_error when the address can't be listened on
    HttpServer(boost::asio::io_context &io, const std::string &address, std::size_t maxConnections, ServerHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    std::uint16_t port() const;
    /// Stops accepting connections. Open ones are closed after their next answer.
    void stop();

private:
    std::shared_ptr<HttpServerState> m_state;
};

} // namespace chicoryspar::standin
