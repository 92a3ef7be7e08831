/// @file
/// Lookups of the request path in the set, and the indexes behind them.

#include <chicoryspar/config.h>

#include <algorithm>

namespace chicoryspar {
namespace {

const RetryPolicySpec kDefaultRetryPolicy;
const OverloadPolicySpec kDefaultOverloadPolicy;
const RoutePolicySpec kDefaultRoutePolicy;
const TrafficLimits kDefaultTrafficLimits;

bool matchesVerb(const MethodSpec &method, std::string_view verb)
{
    return method.verb.empty() || method.verb == "*" || method.verb == verb;
}

template<typename Spec>
const Spec &policyOrDefault(const ObjectInForce *entry, const Spec &fallback)
{
    const auto *spec = entry ? std::get_if<Spec>(&entry->object->spec) : nullptr;
    return spec ? *spec : fallback;
}

} // namespace

std::size_t ConfigSet::NameHash::operator()(std::string_view text) const
{
    return hashBytes(text);
}

void ConfigSet::indexCallers(std::string_view policyName, const CallerPolicySpec &policy)
{
    for (const std::string_view caller : policy.callers) {
        const bool isPrefix = caller.ends_with('*');
        const auto nameOrPrefix = isPrefix ? caller.substr(0, caller.size() - 1) : caller;
        CallerRule rule{std::string(nameOrPrefix), static_cast<std::uint8_t>(policy.importance), std::string(policyName)};
        if (isPrefix) {
            m_callerPrefixes.push_back(std::move(rule));
        } else {
            m_exactCallers.emplace(caller, std::move(rule));
        }
    }
}

void ConfigSet::indexRoutes(const RouteTableSpec &table)
{
    m_routeTable = &table;
    for (const auto &it : table.routes) {
        m_longestRouteTimeout = std::max(m_longestRouteTimeout, it.timeout);
        m_routes[it.host].push_back(&it);
    }
    for (auto &[host, routes] : m_routes) {
        std::stable_sort(routes.begin(), routes.end(),
                         [](const RouteSpec *a, const RouteSpec *b) { return a->pathPrefix.size() > b->pathPrefix.size(); });
    }
}

void ConfigSet::indexCustomers(const RouteTableSpec &table)
{
    if (!table.customers) {
        return;
    }
    m_requiresCustomers = true;
    for (const auto &it : *table.customers) {
        m_customers.push_back(&it);
        for (const auto &digest : it.keyDigests) {
            m_customersByDigest.emplace(digest, &it);
        }
    }
}

void ConfigSet::rebuildIndexes()
{
    m_customers.clear();
    m_customersByDigest.clear();
    m_requiresCustomers = false;
    m_routes.clear();
    m_routeTable = nullptr;
    m_longestRouteTimeout = Duration{0};
    m_services.clear();
    m_exactCallers.clear();
    m_callerPrefixes.clear();
    for (const auto &[key, entry] : m_objects) {
        if (entry.object->deleted) {
            continue;
        }
        if (const auto *service = std::get_if<ServiceSpec>(&entry.object->spec)) {
            m_services.emplace(
                key.name,
                ServiceEntry{
                    .service = service,
                    .retryPolicy = &policyOrDefault(find(ObjectKind::RetryPolicy, service->retryPolicy), kDefaultRetryPolicy),
                    .overloadPolicy = &policyOrDefault(find(ObjectKind::OverloadPolicy, service->overloadPolicy), kDefaultOverloadPolicy),
                    .routePolicy = &policyOrDefault(find(ObjectKind::RoutePolicy, service->routePolicy), kDefaultRoutePolicy),
                });
        }
        if (const auto *policy = std::get_if<CallerPolicySpec>(&entry.object->spec)) {
            indexCallers(key.name, *policy);
        }
        if (const auto *table = std::get_if<RouteTableSpec>(&entry.object->spec)) {
            indexRoutes(*table);
            indexCustomers(*table);
        }
    }
    std::stable_sort(m_callerPrefixes.begin(), m_callerPrefixes.end(),
                     [](const CallerRule &a, const CallerRule &b) { return a.nameOrPrefix.size() > b.nameOrPrefix.size(); });
}

const ConfigSet::ServiceEntry *ConfigSet::findServiceEntry(std::string_view service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? nullptr : &it->second;
}

const ServiceSpec *ConfigSet::findService(std::string_view service) const
{
    const auto *entry = findServiceEntry(service);
    return entry ? entry->service : nullptr;
}

const MethodSpec *ConfigSet::findMethod(std::string_view service, std::string_view verb, std::string_view path) const
{
    const auto *spec = findService(service);
    if (!spec) {
        return nullptr;
    }
    const auto matches = [&](const MethodSpec &method) { return matchesVerb(method, verb) && path.starts_with(method.pathPrefix); };
    const auto it = std::find_if(spec->methods.begin(), spec->methods.end(), matches);
    return it == spec->methods.end() ? nullptr : &*it;
}

const ConfigSet::CallerRule *ConfigSet::findCallerRule(std::string_view caller) const
{
    const auto exact = m_exactCallers.find(caller);
    if (exact != m_exactCallers.end()) {
        return &exact->second;
    }
    const auto it = std::find_if(m_callerPrefixes.begin(), m_callerPrefixes.end(),
                                 [caller](const CallerRule &rule) { return caller.starts_with(rule.nameOrPrefix); });
    return it == m_callerPrefixes.end() ? nullptr : &*it;
}

std::uint8_t ConfigSet::importanceOf(std::string_view caller) const
{
    const auto *rule = findCallerRule(caller);
    return rule ? rule->importance : kDefaultImportance;
}

std::string_view ConfigSet::callerPolicyOf(std::string_view caller) const
{
    const auto *rule = findCallerRule(caller);
    return rule ? std::string_view(rule->policy) : std::string_view();
}

bool ConfigSet::hasRoutes() const
{
    return m_routeTable != nullptr;
}

const RouteSpec *ConfigSet::findRoute(std::string_view host, std::string_view path) const
{
    const auto routes = m_routes.find(host);
    if (routes == m_routes.end()) {
        return nullptr;
    }
    const auto it = std::find_if(routes->second.begin(), routes->second.end(),
                                 [path](const RouteSpec *route) { return path.starts_with(route->pathPrefix); });
    return it == routes->second.end() ? nullptr : *it;
}

bool ConfigSet::knowsAllRoutes() const
{
    return m_routeTable && !m_routeTable->hasUnreadRoutes;
}

bool ConfigSet::knowsAllKeys() const
{
    return m_routeTable && !m_routeTable->hasUnreadKeys;
}

std::vector<Finding> ConfigSet::unusedParts() const
{
    std::vector<Finding> parts;
    for (const auto &[key, entry] : m_objects) {
        parts.insert(parts.end(), entry.object->unusedParts.begin(), entry.object->unusedParts.end());
    }
    return parts;
}

const RoutedServiceSpec *ConfigSet::findRoutedService(std::string_view service) const
{
    if (!m_routeTable) {
        return nullptr;
    }
    const auto &services = m_routeTable->services;
    const auto it = std::find_if(services.begin(), services.end(), [service](const RoutedServiceSpec &row) { return row.name == service; });
    return it == services.end() ? nullptr : &*it;
}

std::optional<Duration> ConfigSet::shortestLatencyObjective(std::string_view service) const
{
    std::optional<Duration> shortest;
    for (const auto &route : m_routeTable ? std::span<const RouteSpec>(m_routeTable->routes) : std::span<const RouteSpec>()) {
        const auto routesToService = [service](const RouteBackend &it) { return it.service == service && it.weight > 0; };
        if (std::any_of(route.backends.begin(), route.backends.end(), routesToService)) {
            shortest = std::min(shortest.value_or(route.latencyObjective), route.latencyObjective);
        }
    }
    return shortest;
}

bool ConfigSet::requiresCustomers() const
{
    return m_requiresCustomers;
}

const CustomerSpec *ConfigSet::findCustomerByDigest(std::string_view digest) const
{
    const auto it = m_customersByDigest.find(digest);
    return it == m_customersByDigest.end() ? nullptr : it->second;
}

const std::vector<const CustomerSpec *> &ConfigSet::customers() const
{
    return m_customers;
}

Duration ConfigSet::longestRouteTimeout() const
{
    return m_longestRouteTimeout;
}

const TrafficLimits &ConfigSet::trafficLimits() const
{
    return m_routeTable ? m_routeTable->limits : kDefaultTrafficLimits;
}

const RetryPolicySpec &ConfigSet::retryPolicyOf(std::string_view service) const
{
    const auto *entry = findServiceEntry(service);
    return entry ? *entry->retryPolicy : kDefaultRetryPolicy;
}

const OverloadPolicySpec &ConfigSet::overloadPolicyOf(std::string_view service) const
{
    const auto *entry = findServiceEntry(service);
    return entry ? *entry->overloadPolicy : kDefaultOverloadPolicy;
}

const RoutePolicySpec &ConfigSet::routePolicyOf(std::string_view service) const
{
    const auto *entry = findServiceEntry(service);
    return entry ? *entry->routePolicy : kDefaultRoutePolicy;
}

} // namespace chicoryspar
