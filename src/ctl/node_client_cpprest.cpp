/// @file
/// HTTP client of the operators' port of a node, implemented with cpprestsdk.

#define _TURN_OFF_PLATFORM_STRING

#include "ctl/ctl.h"

#include <cpprest/http_client.h>

namespace chicoryspar::ctl {
namespace {

constexpr std::chrono::seconds kRequestTimeout(5);

class HttpNodeClient : public NodeClient
{
public:
    explicit HttpNodeClient(const std::string &address)
        : m_client(web::uri("http://" + address), makeConfig())
    {
    }

    NodeAnswer get(const std::string &path) override
    {
        return call(web::http::methods::GET, path);
    }

    NodeAnswer post(const std::string &path) override
    {
        return call(web::http::methods::POST, path);
    }

private:
    static web::http::client::http_client_config makeConfig()
    {
        web::http::client::http_client_config config;
        config.set_timeout(kRequestTimeout);
        return config;
    }

    NodeAnswer call(const web::http::method &verb, const std::string &path)
    {
        try {
            const auto response = m_client.request(verb, path).get();
            return {response.status_code(), response.extract_utf8string(true).get()};
        } catch (const std::exception &error) {
            return {0, error.what()};
        }
    }

    web::http::client::http_client m_client;
};

} // namespace

std::unique_ptr<NodeClient> createNodeClient(const std::string &address)
{
    limitHttpThreads();
    return std::make_unique<HttpNodeClient>(address);
}

std::string encodeQuery(const std::string &value)
{
    return web::uri::encode_data_string(value);
}

} // namespace chicoryspar::ctl
