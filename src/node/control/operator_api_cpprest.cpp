/// @file
/// HTTP server of the operators' port on cpprestsdk.

#define _TURN_OFF_PLATFORM_STRING

#include "node/control/operator_api.h"

#include "node/clock.h"
#include "node/customer/customer_limits.h"
#include "node/entry/dispatcher.h"
#include "node/gate/gate_service.h"
#include "node/log.h"
#include "store/listener_cpprest.h"

#include <algorithm>
#include <mutex>

#include <boost/asio/post.hpp>

namespace chicoryspar {
namespace {

constexpr int kStatusForbidden = 403;
constexpr int kStatusNotFound = 404;
constexpr int kStatusServiceUnavailable = 503;
constexpr std::size_t kDefaultEventLimit = 500;
constexpr std::size_t kMaxEventLimit = 5000;
constexpr std::size_t kMaxPathSegments = 8;

std::uint64_t numberField(const QueryFields &query, const std::string &key, std::uint64_t fallback)
{
    const auto it = query.find(key);
    return it == query.end() || it->second.empty() ? fallback : std::strtoull(it->second.c_str(), nullptr, 10);
}

std::string textField(const QueryFields &query, const std::string &key)
{
    const auto it = query.find(key);
    return it == query.end() ? std::string() : it->second;
}

QueryFields readQuery(const std::string &query)
{
    QueryFields fields;
    for (const auto &[key, value] : web::uri::split_query(query)) {
        fields[web::uri::decode(key)] = web::uri::decode(value);
    }
    return fields;
}

OperatorRequest readRequest(const web::http::http_request &message)
{
    OperatorRequest request{.verb = message.method(), .client = message.remote_address()};
    request.path = web::uri::split_path(web::uri::decode(message.relative_uri().path()));
    request.path.resize(std::min(request.path.size(), kMaxPathSegments));
    request.query = readQuery(message.relative_uri().query());
    return request;
}

std::string joinPath(const std::vector<std::string> &path, std::size_t count)
{
    std::string text;
    for (std::size_t n = 0; n < std::min(count, path.size()); ++n) {
        text += "/" + path[n];
    }
    return text;
}

bool isLoopback(const std::string &client)
{
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(client, ec);
    if (ec) {
        return false;
    }
    const bool isMapped = address.is_v6() && address.to_v6().is_v4_mapped();
    return isMapped ? boost::asio::ip::make_address_v4(boost::asio::ip::v4_mapped, address.to_v6()).is_loopback() : address.is_loopback();
}

} // namespace

const std::array<OperatorApi::Route, 11> OperatorApi::kRoutes{{
    {"GET", "/v1/status", &OperatorApi::answerStatus, false},
    {"GET", "/v1/members", &OperatorApi::answerMembers, false},
    {"GET", "/v1/config", &OperatorApi::answerConfig, false},
    {"GET", "/v1/history", &OperatorApi::answerHistory, false},
    {"GET", "/v1/inforce", &OperatorApi::answerInForce, false},
    {"GET", "/v1/explain/where", &OperatorApi::answerExplainWhere, false},
    {"GET", "/v1/explain", &OperatorApi::answerExplain, false},
    {"GET", "/v1/events", &OperatorApi::answerEvents, false},
    {"GET", "/metrics", &OperatorApi::answerMetrics, false},
    {"POST", "/v1/drain", &OperatorApi::answerDrain, true},
    {"POST", "/v1/undrain", &OperatorApi::answerUndrain, true},
}};

/// Listener of the HTTP library, and the requests that it has passed to the node's thread.
struct OperatorApi::Listener
{
    std::unique_ptr<web::http::experimental::listener::http_listener> http;
    std::uint16_t port = 0;
    std::mutex mutex;
    // The members below are guarded by mutex.
    bool isOpen = true;
    /// Requests without an answer, in order of arrival.
    std::map<std::uint64_t, web::http::http_request> pending;
    std::uint64_t lastId = 0;

    /// Stores a request until it is answered.
    /// @returns its id, or 0 when the port is closed
    std::uint64_t addRequest(const web::http::http_request &message)
    {
        const std::lock_guard lock(mutex);
        if (isOpen) {
            pending.emplace(++lastId, message);
        }
        return isOpen ? lastId : 0;
    }

    /// Removes and returns a request; std::nullopt when stop() has already answered it.
    std::optional<web::http::http_request> takeRequest(std::uint64_t id)
    {
        const std::lock_guard lock(mutex);
        const auto it = pending.find(id);
        if (it == pending.end()) {
            return std::nullopt;
        }
        auto message = it->second;
        pending.erase(it);
        return message;
    }
};

OperatorApi::OperatorApi(NodeContext &context, ConfigDriver &config)
    : m_context(context)
    , m_sources{context, config}
    , m_listener(std::make_shared<Listener>())
{
}

OperatorApi::~OperatorApi()
{
    stop();
}

std::error_code OperatorApi::start()
{
    limitHttpThreads();
    const auto &listen = m_context.settings.listenOperators;
    const auto colon = listen.rfind(':');
    m_listener->port = static_cast<std::uint16_t>(std::strtoul(listen.c_str() + colon + 1, nullptr, 10));
    const auto handler = [this, listener = m_listener](const web::http::http_request &message) {
        const auto id = listener->addRequest(message);
        if (id == 0) {
            message.reply(web::http::status_codes::ServiceUnavailable);
            return;
        }
        boost::asio::post(m_context.io, [this, listener, id] {
            if (const auto pending = listener->takeRequest(id)) {
                const auto result = answer(steadyNow(), readRequest(*pending));
                pending->reply(static_cast<web::http::status_code>(result.status), result.body, std::string(result.contentType));
            }
        });
    };
    try {
        m_listener->http = openHttpListener(listen.substr(0, colon), m_listener->port, handler);
    } catch (const std::exception &error) {
        writeLog(LogLevel::Error, "can't open the operators' port", {{"address", listen}, {"error", error.what()}});
        return std::make_error_code(std::errc::address_not_available);
    }
    return {};
}

void OperatorApi::stop()
{
    std::map<std::uint64_t, web::http::http_request> pending;
    {
        const std::lock_guard lock(m_listener->mutex);
        m_listener->isOpen = false;
        pending.swap(m_listener->pending);
    }
    // close() waits until every request has been answered.
    for (const auto &[id, message] : pending) {
        message.reply(web::http::status_codes::ServiceUnavailable);
    }
    if (m_listener->http) {
        m_listener->http->close().wait();
        m_listener->http.reset();
    }
}

std::uint16_t OperatorApi::port() const
{
    return m_listener->port;
}

OperatorAnswer OperatorApi::answer(TimePoint now, const OperatorRequest &request)
{
    for (const auto &it : kRoutes) {
        const auto segmentCount = static_cast<std::size_t>(std::count(it.path.begin(), it.path.end(), '/'));
        if (it.verb != request.verb || joinPath(request.path, segmentCount) != it.path) {
            continue;
        }
        if (it.modifiesNode && m_context.settings.operatorChangesFromLoopbackOnly && !isLoopback(request.client)) {
            return makeProblem(kStatusForbidden, "changes are limited to loopback",
                               "the node's settings accept changes from its own host only");
        }
        return (this->*it.answer)(now, request);
    }
    return makeProblem(kStatusNotFound, "no such call", request.verb + " " + joinPath(request.path, request.path.size()));
}

OperatorAnswer OperatorApi::answerStatus(TimePoint now, const OperatorRequest &)
{
    return describeStatus(m_sources, now);
}

OperatorAnswer OperatorApi::answerMembers(TimePoint now, const OperatorRequest &)
{
    return describeMembers(m_sources, now);
}

OperatorAnswer OperatorApi::answerConfig(TimePoint now, const OperatorRequest &request)
{
    constexpr std::size_t kKindSegment = 2;
    constexpr std::size_t kNameSegment = 3;
    if (request.path.size() <= kKindSegment) {
        return describeConfig(m_sources, now);
    }
    const auto kind = findObjectKind(request.path[kKindSegment]);
    if (!kind || request.path.size() <= kNameSegment) {
        return makeProblem(kStatusNotFound, "no such kind", "GET /v1/config/{kind}/{name}");
    }
    return describeObject(m_sources, now, *kind, request.path[kNameSegment]);
}

OperatorAnswer OperatorApi::answerHistory(TimePoint now, const OperatorRequest &)
{
    return describeHistory(m_sources, now);
}

OperatorAnswer OperatorApi::answerInForce(TimePoint, const OperatorRequest &request)
{
    return describeInForce(m_sources, request.query);
}

OperatorAnswer OperatorApi::answerExplain(TimePoint now, const OperatorRequest &request)
{
    return describeDecision(m_sources, now, request.query);
}

OperatorAnswer OperatorApi::answerExplainWhere(TimePoint now, const OperatorRequest &request)
{
    return describeWhere(m_context, now, request.query);
}

OperatorAnswer OperatorApi::answerEvents(TimePoint, const OperatorRequest &request)
{
    const auto limit = std::min<std::uint64_t>(numberField(request.query, "limit", kDefaultEventLimit), kMaxEventLimit);
    return {.body = formatPage(m_context.events.read(numberField(request.query, "after", 0), limit))};
}

OperatorAnswer OperatorApi::answerMetrics(TimePoint now, const OperatorRequest &)
{
    auto text = m_context.metrics.renderText(m_context.settings.name);
    text += "chicoryspar_customers{node=\"" + m_context.settings.name + "\"} " + std::to_string(m_context.config.customers().size()) + "\n";
    text += "chicoryspar_config_unused_parts{node=\"" + m_context.settings.name + "\"} "
        + std::to_string(m_context.config.unusedParts().size()) + "\n";
    if (m_context.customers) {
        text += m_context.customers->renderMetrics();
    }
    if (m_context.gate) {
        text += m_context.gate->repeats().renderMetrics(m_context.settings.name);
    }
    text += m_context.dispatcher ? m_context.dispatcher->renderPlacementMetrics(now) : std::string();
    return {.body = std::move(text), .contentType = "text/plain; version=0.0.4"};
}

OperatorAnswer OperatorApi::answerDrain(TimePoint now, const OperatorRequest &request)
{
    return setDrained(now, request, true);
}

OperatorAnswer OperatorApi::answerUndrain(TimePoint now, const OperatorRequest &request)
{
    return setDrained(now, request, false);
}

OperatorAnswer OperatorApi::setDrained(TimePoint now, const OperatorRequest &request, bool isDrained)
{
    if (!m_context.gate) {
        return makeProblem(kStatusServiceUnavailable, "no gate", "this node has no backend server");
    }
    m_context.recordEvent(Event{.kind = EventKind::Decision,
                                .service = m_context.gate->announcement().service,
                                .subject = m_context.settings.name,
                                .text = std::string(isDrained ? "drain" : "undrain") + " by " + textField(request.query, "by") + ": "
                                    + textField(request.query, "reason")});
    m_context.gate->setDrained(now, isDrained);
    return describeStatus(m_sources, now);
}

} // namespace chicoryspar
