#pragma once

/// @file
/// One HTTP call on a connection of its own. The connection isn't kept: a kept one may have gone silent, or close while the next request is
/// on its way.

#include <chicoryspar/core.h>

#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>

namespace chicoryspar {

struct HttpCallRequest
{
    /// "ip:port" or "host:port".
    std::string address;
    std::string verb;
    /// Path and query. Bytes that a request target can't hold are percent-encoded.
    std::string target;
    /// Sent as JSON unless empty.
    std::string body;
    /// The call ends once nothing has been received for this long.
    Duration timeout = std::chrono::seconds(3);
};

enum class HttpCallEnd : std::uint8_t {
    /// A whole answer has arrived.
    Answered,
    Unreachable,
    TimedOut,
    /// The connection broke, or was cut in the middle of an answer.
    Lost,
    /// The answer isn't valid HTTP, or too large.
    Malformed,
    Cancelled,
    Count,
};

struct HttpCallEndRow
{
    std::string_view name;
};

const HttpCallEndRow &rowOf(HttpCallEnd value);

struct HttpCallAnswer
{
    HttpCallEnd end = HttpCallEnd::Answered;
    int status = 0;
    /// Name and value of each field of the head.
    std::vector<std::pair<std::string, std::string>> headers;
    /// Empty if a BodyHandler got it.
    std::string body;
};

/// Returns the value of the field @a name, without regard to case; empty if there is none.
std::string_view findHeader(const HttpCallAnswer &answer, std::string_view name);

/// A call in progress, which keeps itself alive until its end.
class HttpCall
{
public:
    using EndHandler = std::function<void(HttpCallAnswer answer)>;
    /// Gets the head without body, then each part of the body. The end of the call follows.
    /// @returns false to end the call as HttpCallEnd::Cancelled
    using BodyHandler = std::function<bool(const HttpCallAnswer &head, std::string_view part)>;

    /// Begins a call. The handlers are called on the thread that runs @a io, @a onEnd exactly once, unless @a io is stopped before.
    /// @param onBody empty to get the whole body with the end of the call
    static std::shared_ptr<HttpCall> begin(boost::asio::io_context &io, HttpCallRequest request, EndHandler onEnd, BodyHandler onBody = {});

    virtual ~HttpCall() = default;
};

/// Runs a call and blocks until its end.
HttpCallAnswer runHttpCall(HttpCallRequest request);

} // namespace chicoryspar
