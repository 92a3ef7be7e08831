#pragma once

/// @file
/// HTTP client towards the backend server beside the node: reused connections, bounded in number.

#include <chicoryspar/http.h>

#include <deque>
#include <functional>
#include <list>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace chicoryspar {

/// How an exchange with the backend server ended.
struct BackendResult
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    HttpResponse response;
};

struct BackendClientOptions
{
    Duration connectTimeout = std::chrono::seconds(1);
    /// Longest header of an answer, in bytes.
    std::uint32_t maxHeaderBytes = 64 * 1024;
    /// Longest body of an answer, in bytes.
    std::uint64_t maxBodyBytes = 7 * 1024 * 1024;
    /// A connection that was idle for longer isn't used again, unless the backend server states a time of its own.
    Duration idleTimeout = std::chrono::seconds(60);
    /// Returns what the answer to a request with these headers repeats.
    std::function<std::string(const std::vector<HeaderField> &headers)> correlationId;
    /// Returns whether a response answers the request with this correlation.
    std::function<bool(const std::string &correlation, const HttpResponse &response)> isAnswerTo;
};

/// Connections to one backend server. Exchanges beyond the connection limit wait in order.
class BackendClient
{
public:
    using Done = std::function<void(BackendResult)>;

    BackendClient(boost::asio::io_context &io, BackendClientOptions options);
    ~BackendClient();

    /// Sets the address of the backend server; connections to another one close as they become idle.
    void setTarget(const std::string &address, std::size_t maxConnections);

    /// Sends a request.
    /// @param timeout after it the exchange ends with Reason::BackendSilent
    /// @returns a number for cancel()
    std::uint64_t send(HttpRequest request, Duration timeout, Done done);

    /// Cancels an exchange: one that still waits for a connection ends as not run, any other by closing its connection.
    void cancel(std::uint64_t id);

    std::size_t connectionCount() const;

private:
    class Connection;
    friend class Connection;
    struct Waiting
    {
        std::uint64_t id = 0;
        HttpRequest request;
        Duration timeout{0};
        Done done;
    };

    void startWaiting();
    void onIdle(const std::shared_ptr<Connection> &connection);
    void onClosed(const std::shared_ptr<Connection> &connection);
    /// Remembers that the backend server had forgotten a connection that was idle for @a idle.
    void onForgotten(Duration idle);
    /// Longest time that a connection may have been idle to be used again, as learned lately.
    Duration idleLimit() const;

    boost::asio::io_context &m_io;
    BackendClientOptions m_options;
    std::string m_address;
    std::size_t m_maxConnections = 0;
    std::uint64_t m_lastId = 0;
    Duration m_learnedIdle = Duration::max();
    std::chrono::steady_clock::time_point m_learnedAt;
    std::list<std::shared_ptr<Connection>> m_idle;
    std::list<std::shared_ptr<Connection>> m_busy;
    std::deque<Waiting> m_waiting;
};

} // namespace chicoryspar
