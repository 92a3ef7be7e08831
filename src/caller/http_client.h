#pragma once

/// @file
/// HTTP/1.1 client with a connection pool, on an io_context of its owner. Not thread-safe: use it on the io_context's thread only.

#include "chicoryspar/core.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryspar {

/// One header field of an HTTP message.
struct ExchangeHeader
{
    std::string name;
    std::string value;
};

/// Request of one exchange. The client adds Host and Content-Length.
struct ExchangeRequest
{
    std::string method = "GET";
    std::string target = "/";
    std::vector<ExchangeHeader> headers;
    std::string body;
};

/// Complete response of one exchange.
struct ExchangeResponse
{
    int status = 0;
    std::vector<ExchangeHeader> headers;
    std::string body;
};

/// Returns the value of the first field named @a name, compared without regard to case, or an empty text.
std::string_view findHeader(const std::vector<ExchangeHeader> &headers, std::string_view name);

/// How an exchange ended.
enum class ExchangeEnd : std::uint8_t {
    /// A complete response arrived.
    Answered,
    /// No byte of the request was written.
    NotSent,
    /// The connection broke or brought no valid response after bytes were written.
    Lost,
    /// No complete response arrived in time, after bytes were written.
    TimedOut,
    /// The owner cancelled it after bytes were written.
    Cancelled,
    Count,
};

std::string_view nameOf(ExchangeEnd value);

/// Identifies an exchange of a HttpClient.
struct ExchangeId
{
    std::uint64_t value = 0;

    constexpr bool isValid() const
    {
        return value != 0;
    }
};

/// Options of a client.
struct HttpClientInit
{
    /// Time limit for opening a TCP connection.
    Duration connectTimeout = std::chrono::seconds(1);
    /// Maximum number of idle connections kept for each address.
    std::size_t maxIdle = 256;
};

using ExchangeHandler = std::function<void(ExchangeEnd end, ExchangeResponse &response)>;

struct HttpClientState;

/// Sends requests and passes each response to the handler of its request.
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &io, const HttpClientInit &init = {});
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts an exchange; @a done is called exactly once, never from inside begin().
    /// @param address IP number and port, as "127.0.0.1:80"
    /// @param timeout time limit until the complete response has arrived
    ExchangeId begin(const std::string &address, ExchangeRequest request, Duration timeout, ExchangeHandler done);

    /// Cancels an exchange by closing its connection.
    void cancel(ExchangeId id);

    /// Closes the connections that no exchange uses.
    void closeIdle();

private:
    std::shared_ptr<HttpClientState> m_state;
};

} // namespace chicoryspar
