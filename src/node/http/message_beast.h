#pragma once

/// @file
/// Conversions between Boost.Beast messages and HttpRequest and HttpResponse. Hop-by-hop headers are dropped.

#include <chicoryspar/http.h>

#include <stdexcept>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http.hpp>

namespace chicoryspar {

/// Converts a received request; the body is moved out of @a message.
HttpRequest toRequest(boost::beast::http::request<boost::beast::http::string_body> &message);

/// Converts a request for sending.
/// @param host value of the Host header when @a request has none
boost::beast::http::request<boost::beast::http::string_body> toMessage(HttpRequest request, const std::string &host);

/// Converts a received response; the body is moved out of @a message.
/// @param isHead whether it answers a HEAD request; its Content-Length is kept, as there is no body to derive it from
HttpResponse toResponse(boost::beast::http::response<boost::beast::http::string_body> &message, bool isHead);

/// Converts a response for sending.
/// @param isHead whether it answers a HEAD request; its body isn't sent
boost::beast::http::response<boost::beast::http::string_body> toMessage(HttpResponse response, bool keepAlive, bool isHead);

/// Passes @a bytes to the put() of @a parser. The library throws for a header or trailer field longer than it can store; here that is the
/// error http::error::header_limit, after which the parser can't be used.
/// @returns the number of bytes consumed
template<typename Parser>
std::size_t parseBytes(Parser &parser, boost::asio::const_buffer bytes, boost::beast::error_code &ec)
{
    try {
        return parser.put(bytes, ec);
    } catch (const std::length_error &) {
        ec = boost::beast::http::error::header_limit;
        return 0;
    }
}

/// Returns whether @a ec is an HTTP syntax error; false for connections that were closed or timed out.
bool isSyntaxError(const boost::beast::error_code &ec);

} // namespace chicoryspar
