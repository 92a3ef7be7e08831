/// @file
/// HTTP calls on Boost.Beast. The head of an answer is checked against the grammar before the library's parser, which accepts more, gets
/// it.

#include "store/http_call.h"

#include <algorithm>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace chicoryspar {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kMaxHeadBytes = 64 * 1024;
constexpr std::size_t kMaxBodyBytes = 64 * 1024 * 1024;
constexpr std::size_t kReadBytes = 16 * 1024;
constexpr int kHttpVersion = 11;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
/// Characters of a path and query beside letters and digits (RFC 3986), and the sign of bytes that are encoded already.
constexpr std::string_view kTargetSymbols = "-._~!$&'()*+,;=:@/?%";

constexpr std::array<HttpCallEndRow, static_cast<std::size_t>(HttpCallEnd::Count)> kEnds{{
    {"answered"},
    {"unreachable"},
    {"timed-out"},
    {"lost"},
    {"malformed"},
    {"cancelled"},
}};

class BeastHttpCall : public HttpCall, public std::enable_shared_from_this<BeastHttpCall>
{
public:
    BeastHttpCall(asio::io_context &io, HttpCallRequest request, EndHandler onEnd, BodyHandler onBody)
        : m_stream(io)
        , m_resolver(m_stream.get_executor())
        , m_request(std::move(request))
        , m_onEnd(std::move(onEnd))
        , m_onBody(std::move(onBody))
        , m_buf(kMaxHeadBytes + kReadBytes)
    {
        m_message.version(kHttpVersion);
        m_message.method_string(m_request.verb);
        m_message.target(percentEncode(m_request.target, kTargetSymbols));
        m_message.set(http::field::host, m_request.address);
        if (!m_request.body.empty()) {
            m_message.set(http::field::content_type, "application/json");
        }
        m_message.body() = std::move(m_request.body);
        m_message.prepare_payload();
        m_parser.header_limit(kMaxHeadBytes);
        m_parser.body_limit(kMaxBodyBytes);
        // An eager parser would go on after the head before it has been looked at.
        m_parser.eager(false);
    }

    void start()
    {
        const auto colon = m_request.address.rfind(':');
        const auto host = m_request.address.substr(0, colon);
        const auto port = colon == std::string::npos ? std::string() : m_request.address.substr(colon + 1);
        error_code ec;
        const auto ip = asio::ip::make_address(host, ec);
        const auto number = std::strtoul(port.c_str(), nullptr, 10);
        if (!ec && number > 0 && number <= UINT16_MAX) {
            connect(tcp::endpoint(ip, static_cast<std::uint16_t>(number)));
            return;
        }
        m_resolver.async_resolve(host, port, [self = shared_from_this()](error_code it, const tcp::resolver::results_type &results) {
            if (it || results.empty()) {
                self->end(HttpCallEnd::Unreachable);
            } else {
                self->connect(results.begin()->endpoint());
            }
        });
    }

private:
    void connect(const tcp::endpoint &endpoint)
    {
        m_stream.expires_after(m_request.timeout);
        m_stream.async_connect(endpoint, [self = shared_from_this()](error_code ec) {
            if (ec) {
                self->end(ec == beast::error::timeout ? HttpCallEnd::TimedOut : HttpCallEnd::Unreachable);
                return;
            }
            self->write();
        });
    }

    void write()
    {
        m_stream.expires_after(m_request.timeout);
        http::async_write(m_stream, m_message, [self = shared_from_this()](error_code ec, std::size_t) {
            // A store may answer and close before it has read the whole request, so the answer is read even after a failed write.
            if (ec == beast::error::timeout) {
                self->end(HttpCallEnd::TimedOut);
            } else {
                self->read();
            }
        });
    }

    void read()
    {
        m_stream.expires_after(m_request.timeout);
        m_stream.async_read_some(m_buf.prepare(std::min(kReadBytes, m_buf.max_size() - m_buf.size())),
                                 [self = shared_from_this()](error_code ec, std::size_t n) { self->onRead(ec, n); });
    }

    void onRead(error_code ec, std::size_t n)
    {
        m_buf.commit(n);
        if (ec == asio::error::eof && m_parser.got_some()) {
            // Ends a body without a length; any other answer is incomplete.
            ec = {};
            m_parser.put_eof(ec);
        }
        if (ec) {
            end(ec == beast::error::timeout ? HttpCallEnd::TimedOut : HttpCallEnd::Lost);
            return;
        }
        parse();
    }

    void parse()
    {
        if (!checkHead()) {
            end(HttpCallEnd::Malformed);
            return;
        }
        error_code ec;
        while (m_buf.size() > 0 && !m_parser.is_done() && !ec) {
            m_buf.consume(put(ec));
            if (m_parser.is_header_done() && m_answer.status == 0) {
                takeHead();
            }
        }
        const bool isFaulty = (ec && ec != http::error::need_more) || (!m_parser.is_done() && m_buf.size() > kMaxHeadBytes);
        if (isFaulty) {
            end(HttpCallEnd::Malformed);
        } else if (!passBody()) {
            end(HttpCallEnd::Cancelled);
        } else if (!m_parser.is_done()) {
            read();
        } else {
            m_answer.body = std::move(m_parser.get().body());
            end(HttpCallEnd::Answered);
        }
    }

    /// The library throws for a field that is longer than it can store.
    std::size_t put(error_code &ec)
    {
        try {
            return m_parser.put(m_buf.data(), ec);
        } catch (const std::length_error &) {
            ec = http::error::header_limit;
            return 0;
        }
    }

    bool checkHead()
    {
        if (m_isHeadChecked) {
            return true;
        }
        const auto bytes = m_buf.data();
        const std::string_view text(static_cast<const char *>(bytes.data()), bytes.size());
        const auto headEnd = text.find(kHeadEnd);
        if (headEnd == std::string_view::npos) {
            return true;
        }
        m_isHeadChecked = true;
        return checkResponseHead(text.substr(0, headEnd + kHeadEnd.size())).empty();
    }

    /// Copies the head before the parser adds the fields of a trailer.
    void takeHead()
    {
        const auto &message = m_parser.get();
        m_answer.status = static_cast<int>(message.result_int());
        for (const auto &it : message) {
            m_answer.headers.emplace_back(std::string(it.name_string()), std::string(it.value()));
        }
    }

    /// Passes on what has arrived of the body.
    /// @returns false if its handler ends the call
    bool passBody()
    {
        if (!m_onBody || m_answer.status == 0) {
            return true;
        }
        const auto part = std::exchange(m_parser.get().body(), std::string());
        return m_onBody(m_answer, part);
    }

    void end(HttpCallEnd result)
    {
        m_stream.close();
        if (auto onEnd = std::exchange(m_onEnd, nullptr)) {
            m_onBody = nullptr;
            m_answer.end = result;
            onEnd(std::move(m_answer));
        }
    }

    beast::tcp_stream m_stream;
    tcp::resolver m_resolver;
    HttpCallRequest m_request;
    EndHandler m_onEnd;
    BodyHandler m_onBody;
    http::request<http::string_body> m_message;
    http::response_parser<http::string_body> m_parser;
    beast::flat_buffer m_buf;
    HttpCallAnswer m_answer;
    bool m_isHeadChecked = false;
};

} // namespace

const HttpCallEndRow &rowOf(HttpCallEnd value)
{
    return kEnds.at(static_cast<std::size_t>(value));
}

std::string_view findHeader(const HttpCallAnswer &answer, std::string_view name)
{
    const auto it = std::find_if(answer.headers.begin(), answer.headers.end(), [name](const auto &field) {
        return beast::iequals(field.first, {name.data(), name.size()});
    });
    return it == answer.headers.end() ? std::string_view() : it->second;
}

std::shared_ptr<HttpCall> HttpCall::begin(asio::io_context &io, HttpCallRequest request, EndHandler onEnd, BodyHandler onBody)
{
    auto call = std::make_shared<BeastHttpCall>(io, std::move(request), std::move(onEnd), std::move(onBody));
    call->start();
    return call;
}

HttpCallAnswer runHttpCall(HttpCallRequest request)
{
    asio::io_context io{1};
    HttpCallAnswer answer;
    HttpCall::begin(io, std::move(request), [&answer](HttpCallAnswer it) { answer = std::move(it); });
    io.run();
    return answer;
}

} // namespace chicoryspar
