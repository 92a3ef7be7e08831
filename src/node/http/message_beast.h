#pragma once

/// @file
/// Messages of Boost.Beast to and from those of the product, without the headers that concern one connection only.

#include <chicoryspar/http.h>

#include <boost/beast/core/error.hpp>
#include <boost/beast/http.hpp>

namespace chicoryspar {

/// Takes the body out of a request that was read.
HttpRequest toRequest(boost::beast::http::request<boost::beast::http::string_body> &message);

/// Returns the request as it is written.
/// @param host for a request without one
boost::beast::http::request<boost::beast::http::string_body> toMessage(HttpRequest request, const std::string &host);

/// Takes the body out of an answer that was read.
/// @param isHead whether it answers a HEAD request, whose length stays
HttpResponse toResponse(boost::beast::http::response<boost::beast::http::string_body> &message, bool isHead);

/// Returns the answer as it is written.
boost::beast::http::response<boost::beast::http::string_body> toMessage(HttpResponse response, bool keepAlive, bool isHead);

/// Returns whether @a ec says that the bytes aren't HTTP; false for closed, silent and timed-out connections.
bool isSyntaxError(const boost::beast::error_code &ec);

} // namespace chicoryspar
