#pragma once

/// @file
/// Parses socket addresses and opens listening sockets.

#include <optional>
#include <string>
#include <system_error>

#include <boost/asio/ip/tcp.hpp>

namespace chicoryspar {

/// Parses "address:port"; host names aren't resolved.
/// @returns std::nullopt unless the address is an IP address and the port is at most 65535
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &text);

/// Opens @a acceptor, binds it and starts to listen.
/// @param address "address:port"; port 0 lets the system choose a free port
/// @returns the first error; invalid_argument when @a address can't be parsed
std::error_code openAcceptor(boost::asio::ip::tcp::acceptor &acceptor, const std::string &address);

/// Returns the local port of an open acceptor.
std::uint16_t portOf(const boost::asio::ip::tcp::acceptor &acceptor);

} // namespace chicoryspar
