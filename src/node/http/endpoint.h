#pragma once

/// @file
/// Addresses as text, and listening sockets opened on them.

#include <optional>
#include <string>
#include <system_error>

#include <boost/asio/ip/tcp.hpp>

namespace chicoryspar {

/// Parses "address:port".
/// @returns nothing when the address isn't an IP number
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &text);

/// Opens, binds and listens.
/// @param address "address:port"; port 0 takes a free one
std::error_code openAcceptor(boost::asio::ip::tcp::acceptor &acceptor, const std::string &address);

/// Returns the port of an open acceptor.
std::uint16_t portOf(const boost::asio::ip::tcp::acceptor &acceptor);

} // namespace chicoryspar
