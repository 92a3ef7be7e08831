/// @file
/// JSON view of where a request would go now, and why.

#include "node/control/operator_views.h"

#include "node/entry/dispatcher.h"
#include "node/entry/entry_request.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace chicoryspar {
namespace {

using Json = nlohmann::json;

constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;

std::string textField(const QueryFields &query, const std::string &key)
{
    const auto it = query.find(key);
    return it == query.end() ? std::string() : it->second;
}

std::string nameOf(const NodeContext &context, NodeId node)
{
    const auto *member = context.membership ? context.membership->find(node) : nullptr;
    return member ? member->info.name : std::string();
}

Json describeCustomer(const CustomerSpec *customer)
{
    if (!customer) {
        return {};
    }
    return {{"name", customer->name},
            {"priority", customer->priority ? Json(*customer->priority) : Json()},
            {"requestsPerSecond", customer->requestsPerSecond},
            {"burst", customer->burst}};
}

Json describeCandidate(const NodeContext &context, const CandidateView &view, Rank rank)
{
    return {{"node", nameOf(context, view.node)},
            {"tier", rowOf(view.tier).name},
            {"ready", view.ready},
            {"ejected", view.ejected},
            {"admits", view.level.admits(rank)},
            {"level", view.level.value},
            {"inFlight", view.inFlight},
            {"latencyMs", toMilliseconds(view.latency)},
            {"weight", view.weight},
            {"outstandingWorkMs", view.reportsLoad ? Json(toMilliseconds(view.outstandingWork)) : Json()},
            {"pace", view.reportsLoad ? Json(view.pace) : Json()}};
}

Json describeChoice(const NodeContext &context, const RouteDecision &decision)
{
    if (decision.refusal != Reason::None) {
        return {{"refusal", rowOf(decision.refusal).name}};
    }
    return {{"node", nameOf(context, decision.node)}, {"why", rowOf(decision.route).name}};
}

/// Describes what happens to a request of @a rank that a route sends to @a backend.
Json describeBackend(NodeContext &context, TimePoint now, const RouteSpec &route, const RouteBackend &backend, const CallContext &call)
{
    const auto rank = makeRank(call);
    // First, because it creates the router of a service that this node hasn't called yet.
    const auto choice = context.dispatcher->previewRoute(now, backend.service, rank);
    const auto entryLevel = context.dispatcher->entryLevel(now, methodKeyOf(backend.service, route.name));
    auto candidates = Json::array();
    for (const auto &it : context.dispatcher->explainRoutes(now, backend.service)) {
        candidates.push_back(describeCandidate(context, it, rank));
    }
    return {{"service", backend.service},     {"weight", backend.weight},
            {"entryLevel", entryLevel.value}, {"entryAdmits", entryLevel.admits(rank)},
            {"candidates", candidates},       {"choice", describeChoice(context, choice)}};
}

Json describeRoute(const RouteSpec &route)
{
    return {{"name", route.name},         {"pathPrefix", route.pathPrefix}, {"public", route.isPublic},
            {"priority", route.priority}, {"idempotent", route.idempotent}, {"timeoutMs", toMilliseconds(route.timeout)}};
}

} // namespace

OperatorAnswer describeWhere(NodeContext &context, TimePoint now, const QueryFields &query)
{
    const auto host = textField(query, "host");
    const auto path = textField(query, "path");
    if (host.empty() || !path.starts_with('/')) {
        return makeProblem(kStatusBadRequest, "host and path are needed", "GET /v1/explain/where?method=&host=&path=&customer=");
    }
    const auto customerName = textField(query, "customer");
    const auto &customers = context.config.customers();
    const auto found = std::find_if(customers.begin(), customers.end(), [&](const CustomerSpec *it) { return it->name == customerName; });
    if (!customerName.empty() && found == customers.end()) {
        return makeProblem(kStatusNotFound, "no such customer in force", customerName);
    }
    Json json{{"node", context.settings.name}, {"method", textField(query, "method")}, {"host", host}, {"path", path}};
    const auto *route = context.config.findRoute(toLowerCase(host), pathOf(path));
    if (!route || !route->isUsable) {
        json["refusal"] = rowOf(!route && context.config.knowsAllRoutes() ? Reason::UnknownService : Reason::NotConfigured).name;
        return {.body = json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n"};
    }
    const auto *customer = customerName.empty() || route->isPublic ? nullptr : *found;
    json["route"] = describeRoute(*route);
    json["customer"] = describeCustomer(customer);
    if (!customer && !route->isPublic && context.config.requiresCustomers()) {
        json["refusal"] = rowOf(Reason::CustomerUnknown).name;
    }
    const MethodSpec method{.name = route->name, .requestClass = route->requestClass(), .defaultTimeout = route->timeout};
    const auto call = makeContext(now,
                                  {.fields = EntryFields(),
                                   .method = method,
                                   .config = context.config,
                                   .ranksAsRoot = true,
                                   .customer = customer,
                                   .routePriority = route->priority});
    json["class"] = rowOf(call.requestClass).name;
    json["importance"] = call.importance;
    json["services"] = Json::array();
    for (const auto &it : route->backends) {
        if (it.weight > 0) {
            json["services"].push_back(describeBackend(context, now, *route, it, call));
        }
    }
    return {.body = json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n"};
}

} // namespace chicoryspar
