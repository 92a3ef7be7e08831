#pragma once

/// @file
/// HTTP client of the local backend server, with a bounded pool of keep-alive connections.

#include <chicoryspar/http.h>

#include <deque>
#include <functional>
#include <list>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace chicoryspar {

/// Outcome of one request to the backend server. The response is set only when the outcome is Outcome::Answer.
struct BackendResult
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    HttpResponse response;
};

struct BackendClientOptions
{
    Duration connectTimeout = std::chrono::seconds(1);
    /// Largest accepted response header, in bytes.
    std::uint32_t maxHeaderBytes = 64 * 1024;
    /// Largest accepted response body, in bytes.
    std::uint64_t maxBodyBytes = 7 * 1024 * 1024;
    /// Limit on the memory that unfinished response bodies hold together, in bytes. Beyond it, the largest one is given up.
    std::uint64_t maxTotalBodyBytes = 32 * 1024 * 1024;
    /// Idle time after which a connection is no longer reused. A Keep-Alive timeout in a response takes precedence.
    Duration idleTimeout = std::chrono::seconds(60);
    /// Returns the value that a response to a request with these headers has to echo. May be empty.
    std::function<std::string(const std::vector<HeaderField> &headers)> correlationId;
    /// Returns whether a response belongs to the request with this correlation value. If not set, every response does.
    std::function<bool(const std::string &correlation, const HttpResponse &response)> isAnswerTo;
};

/// Pool of connections to one backend server, with one exchange per connection at a time. Requests beyond the connection limit wait in
/// FIFO order.
class BackendClient
{
public:
    using Done = std::function<void(BackendResult)>;

    BackendClient(boost::asio::io_context &io, BackendClientOptions options);
    ~BackendClient();

    /// Sets the address and the connection limit. Idle connections to a previous address are closed instead of reused.
    /// @param address "ip:port"
    void setTarget(const std::string &address, std::size_t maxConnections);

    /// Sends a request, or queues it until a connection is free.
    /// @param timeout counts from the start of the exchange, after any wait for a connection; on expiry the exchange ends with
    /// Reason::BackendSilent
    /// @param done called once with the result, unless the client is destroyed before
    /// @returns the identifier for cancel()
    std::uint64_t send(HttpRequest request, Duration timeout, Done done);

    /// Cancels an exchange. One that waits for a connection ends with Outcome::NotRun. Any other loses its connection, and ends with
    /// Outcome::Unknown once the request has begun to be written.
    void cancel(std::uint64_t id);

    /// Number of open or connecting connections, idle ones included.
    std::size_t connectionCount() const;

private:
    class Connection;
    friend class Connection;
    struct PendingExchange
    {
        std::uint64_t id = 0;
        HttpRequest request;
        Duration timeout{0};
        Done done;
    };

    void startPendingExchanges();
    void onIdle(const std::shared_ptr<Connection> &connection);
    void onClosed(const std::shared_ptr<Connection> &connection);
    /// Accounts for a body whose memory has changed from @a before to @a after, in bytes.
    void onBodyBytesChanged(std::size_t before, std::size_t after);
    /// Closes the connections that have been idle since before @a time: one that was in use since then has gone silent, and they may have
    /// for the same cause.
    void closeIdleSince(std::chrono::steady_clock::time_point time);
    /// Shortens the idle limit after the backend server has reset a reused connection that had been idle for @a idle.
    void onStaleReset(Duration idle);
    /// Returns the idle limit learned from recent stale connections, or Duration::max() when there were none.
    Duration learnedIdleLimit() const;

    boost::asio::io_context &m_io;
    BackendClientOptions m_options;
    std::string m_address;
    std::size_t m_maxConnections = 0;
    std::uint64_t m_lastId = 0;
    /// Memory that the unfinished response bodies hold.
    std::size_t m_bodyBytes = 0;
    Duration m_learnedIdleLimit = Duration::max();
    std::chrono::steady_clock::time_point m_idleLimitLearnedAt;
    std::list<std::shared_ptr<Connection>> m_idle;
    std::list<std::shared_ptr<Connection>> m_busy;
    std::deque<PendingExchange> m_pending;
};

} // namespace chicoryspar
