#pragma once

/// @file
/// HTTP server of the operators' port. Requests arrive on threads of the HTTP library and are answered on the node's thread.

#include "node/control/operator_views.h"
#include "node/control/store_link.h"

namespace chicoryspar {

/// One request of an operator.
struct OperatorRequest
{
    /// HTTP method.
    std::string verb;
    std::vector<std::string> path;
    QueryFields query;
    /// Address of the client.
    std::string client;
};

class OperatorApi
{
public:
    OperatorApi(NodeContext &context, ConfigDriver &config);
    ~OperatorApi();
    OperatorApi(const OperatorApi &) = delete;
    OperatorApi &operator=(const OperatorApi &) = delete;

    /// Opens the port.
    std::error_code start();
    /// Answers pending requests with 503 and closes the port.
    void stop();
    std::uint16_t port() const;

    /// Answers one request. Must be called on the node's thread.
    OperatorAnswer answer(TimePoint now, const OperatorRequest &request);

private:
    struct Listener;

    OperatorAnswer answerStatus(TimePoint now, const OperatorRequest &request);
    OperatorAnswer answerMembers(TimePoint now, const OperatorRequest &request);
    OperatorAnswer answerConfig(TimePoint now, const OperatorRequest &request);
    OperatorAnswer answerHistory(TimePoint now, const OperatorRequest &request);
    OperatorAnswer answerInForce(TimePoint now, const OperatorRequest &request);
    OperatorAnswer answerExplain(TimePoint now, const OperatorRequest &request);
    OperatorAnswer answerExplainWhere(TimePoint now, const OperatorRequest &request);
    OperatorAnswer answerEvents(TimePoint now, const OperatorRequest &request);
    OperatorAnswer answerMetrics(TimePoint now, const OperatorRequest &request);
    OperatorAnswer answerDrain(TimePoint now, const OperatorRequest &request);
    OperatorAnswer answerUndrain(TimePoint now, const OperatorRequest &request);
    OperatorAnswer setDrained(TimePoint now, const OperatorRequest &request, bool isDrained);

    /// Handler of one method and path.
    struct Route
    {
        std::string_view verb;
        std::string_view path;
        OperatorAnswer (OperatorApi::*answer)(TimePoint now, const OperatorRequest &request);
        /// Whether the call changes the node's state; the settings can limit such calls to loopback clients.
        bool modifiesNode;
    };
    static const std::array<Route, 11> kRoutes;

    NodeContext &m_context;
    OperatorSources m_sources;
    std::shared_ptr<Listener> m_listener;
};

} // namespace chicoryspar
