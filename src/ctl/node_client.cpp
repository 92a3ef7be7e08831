/// @file
/// HTTP client of the operators' port of a node.

#include "ctl/ctl.h"

#include "store/http_call.h"

namespace chicoryspar::ctl {
namespace {

constexpr std::chrono::seconds kRequestTimeout(5);
constexpr std::string_view kUnreservedSymbols = "-._~";

class HttpNodeClient : public NodeClient
{
public:
    explicit HttpNodeClient(std::string address)
        : m_address(std::move(address))
    {
    }

    NodeAnswer get(const std::string &path) override
    {
        return call("GET", path);
    }

    NodeAnswer post(const std::string &path) override
    {
        return call("POST", path);
    }

private:
    NodeAnswer call(const std::string &verb, const std::string &path) const
    {
        auto answer = runHttpCall({.address = m_address, .verb = verb, .target = path, .timeout = kRequestTimeout});
        if (answer.end != HttpCallEnd::Answered) {
            return {0, "the call to " + m_address + " ended as " + std::string(rowOf(answer.end).name)};
        }
        return {answer.status, std::move(answer.body)};
    }

    std::string m_address;
};

} // namespace

std::unique_ptr<NodeClient> createNodeClient(const std::string &address)
{
    return std::make_unique<HttpNodeClient>(address);
}

std::string encodeQuery(const std::string &value)
{
    return percentEncode(value, kUnreservedSymbols);
}

} // namespace chicoryspar::ctl
