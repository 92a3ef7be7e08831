/// @file
/// Socket addresses and listening sockets on Boost.Asio.

#include "node/http/endpoint.h"

#include <chicoryspar/http.h>

#include <limits>

#include <boost/asio/ip/address.hpp>

namespace chicoryspar {

namespace asio = boost::asio;
using boost::asio::ip::tcp;

std::optional<tcp::endpoint> parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    const auto port = parseWholeNumber(std::string_view(text).substr(colon + 1));
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(text.substr(0, colon), ec);
    if (ec || !port || *port > std::numeric_limits<std::uint16_t>::max()) {
        return std::nullopt;
    }
    return tcp::endpoint(address, static_cast<std::uint16_t>(*port));
}

std::error_code openAcceptor(tcp::acceptor &acceptor, const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return std::make_error_code(std::errc::invalid_argument);
    }
    boost::system::error_code ec;
    acceptor.open(endpoint->protocol(), ec);
    if (!ec) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(*endpoint, ec);
    }
    if (!ec) {
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    return ec;
}

std::uint16_t portOf(const tcp::acceptor &acceptor)
{
    boost::system::error_code ec;
    return acceptor.local_endpoint(ec).port();
}

} // namespace chicoryspar
