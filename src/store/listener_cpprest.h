#pragma once

/// @file
/// Opens an HTTP listener of cpprestsdk. The library's headers take long to compile, so include this file in few source files only.

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cpprest/http_listener.h>

namespace chicoryspar {

/// Opens a listener at @a address and @a port.
/// @param port 0 chooses a free port and stores its number here
/// @throws std::exception when the port can't be opened
inline std::unique_ptr<web::http::experimental::listener::http_listener>
openHttpListener(const std::string &address, std::uint16_t &port, const std::function<void(web::http::http_request)> &handler)
{
    using web::http::experimental::listener::http_listener;
    constexpr int kMaxPortRetries = 16;
    const bool usesAnyPort = port == 0;
    for (int n = 0;; ++n) {
        if (usesAnyPort) {
            // The library doesn't report the port of a listener, so a free one is found first. Another process may take it in between.
            boost::asio::io_context context;
            const boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::make_address(address), 0});
            port = acceptor.local_endpoint().port();
        }
        try {
            auto listener = std::make_unique<http_listener>(web::uri("http://" + address + ":" + std::to_string(port)));
            listener->support(handler);
            listener->open().wait();
            return listener;
        } catch (const std::exception &) {
            if (!usesAnyPort || n >= kMaxPortRetries) {
                throw;
            }
        }
    }
}

} // namespace chicoryspar
