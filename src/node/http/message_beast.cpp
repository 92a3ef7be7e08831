/// @file
/// Conversions between Boost.Beast messages and HttpRequest and HttpResponse.

#include "node/http/message_beast.h"

namespace chicoryspar {

namespace beast = boost::beast;
namespace http = boost::beast::http;

HttpRequest toRequest(http::request<http::string_body> &message)
{
    HttpRequest request;
    request.verb = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &it : message) {
        const auto name = it.name_string();
        if (!isHopByHop({name.data(), name.size()}) && it.name() != http::field::content_length) {
            request.headers.push_back({std::string(name), std::string(it.value())});
        }
    }
    request.body = std::move(message.body());
    return request;
}

http::response<http::string_body> toMessage(HttpResponse response, bool keepAlive, bool isHead)
{
    http::response<http::string_body> message;
    message.version(11);
    message.result(response.status);
    for (const auto &it : response.headers) {
        message.insert(it.name, it.value);
    }
    message.keep_alive(keepAlive);
    if (isHead) {
        return message;
    }
    message.body() = std::move(response.body);
    const bool hasNoBody = response.status == 204 || response.status == 304 || response.status < 200;
    if (!hasNoBody) {
        message.content_length(message.body().size());
    }
    return message;
}

bool isSyntaxError(const beast::error_code &ec)
{
    return ec.category() == http::make_error_code(http::error::bad_method).category() && ec != http::error::end_of_stream
        && ec != http::error::partial_message;
}

http::request<http::string_body> toMessage(HttpRequest request, const std::string &host)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.verb);
    message.target(request.target);
    for (const auto &it : request.headers) {
        message.insert(it.name, it.value);
    }
    if (message.find(http::field::host) == message.end()) {
        message.set(http::field::host, host);
    }
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

HttpResponse toResponse(http::response<http::string_body> &message, bool isHead)
{
    HttpResponse response;
    response.status = static_cast<std::uint16_t>(message.result_int());
    for (const auto &it : message) {
        const auto name = it.name_string();
        const bool isLength = it.name() == http::field::content_length && !isHead;
        if (!isHopByHop({name.data(), name.size()}) && !isLength) {
            response.headers.push_back({std::string(name), std::string(it.value())});
        }
    }
    response.body = std::move(message.body());
    return response;
}

} // namespace chicoryspar
