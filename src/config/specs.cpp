/// @file
/// Field tables of the spec of each kind, and the validation of single specs.

#include "config/fields.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <set>
#include <unordered_set>

namespace chicoryspar {
namespace {

constexpr std::uint64_t kMaxDurationMs = 3'600'000;
constexpr std::uint64_t kMaxConcurrencyLimit = 1'000'000;
constexpr std::uint64_t kMaxRetryBudget = 64;
constexpr std::uint64_t kMaxBytesPerSecond = 125'000'000'000;
constexpr std::uint64_t kMaxPercent = 100;
constexpr std::uint64_t kMaxRatioPercent = 1000;
constexpr std::uint64_t kMinNotRunStatus = 400;
constexpr std::uint64_t kMaxNotRunStatus = 599;
constexpr std::size_t kMaxMethods = 256;
constexpr std::uint64_t kMaxUpstreams = 65535;
constexpr double kMaxWeight = 1e9;
constexpr std::uint64_t kMaxPriority = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMaxAttempts = std::numeric_limits<std::uint32_t>::max();
/// Longest time of a route or limit; keeps sums of points in time in range.
constexpr std::uint64_t kMaxRouteTimeMs = 365ULL * 24 * 3'600'000;
constexpr std::size_t kKeyDigestLength = 32;
constexpr double kMaxRequestsPerSecond = 1e9;
constexpr std::uint64_t kMaxTrafficLimitBytes = 1ULL << 40;
constexpr std::array<std::string_view, 9> kVerbs{"", "*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

void readRequestClass(const Json &json, const std::string &path, MethodSpec &method, ObjectFindings &findings)
{
    const auto text = readString(json, path, findings);
    if (!text) {
        return;
    }
    if (const auto value = findRequestClass(*text)) {
        method.requestClass = *value;
        return;
    }
    findings.addFault(path, "must be lookup, standard or order");
}

void readNotRunStatuses(const Json &json, const std::string &path, ServiceSpec &spec, ObjectFindings &findings)
{
    if (!json.is_array()) {
        findings.addFault(path, "must be a list of HTTP statuses");
        return;
    }
    for (std::size_t n = 0; n < json.size(); ++n) {
        const auto itemPath = path + "[" + std::to_string(n) + "]";
        if (const auto status = readNumber(json[n], itemPath, kMinNotRunStatus, kMaxNotRunStatus, findings)) {
            spec.notRunStatuses.push_back(static_cast<int>(*status));
        }
    }
}

void readCallers(const Json &json, const std::string &path, CallerPolicySpec &spec, ObjectFindings &findings)
{
    spec.callers = readStrings(json, path, findings);
}

void readMethods(const Json &json, const std::string &path, ServiceSpec &spec, ObjectFindings &findings);

constexpr std::array<Field<MethodSpec>, 7> kMethodFields{{
    {"name", &MethodSpec::name},
    {"verb", &MethodSpec::verb},
    {"pathPrefix", &MethodSpec::pathPrefix},
    {"class", &readRequestClass},
    {"once", &MethodSpec::once},
    {"idempotent", &MethodSpec::idempotent},
    {"defaultTimeoutMs", &MethodSpec::defaultTimeout, 1, kMaxDurationMs},
}};

constexpr std::array<Field<ServiceSpec>, 6> kServiceFields{{
    {"methods", &readMethods},
    {"upstreams", &ServiceSpec::upstreams, 0, kMaxUpstreams},
    {"notRunStatuses", &readNotRunStatuses},
    {"retryPolicy", &ServiceSpec::retryPolicy},
    {"overloadPolicy", &ServiceSpec::overloadPolicy},
    {"routePolicy", &ServiceSpec::routePolicy},
}};

constexpr std::array<Field<CallerPolicySpec>, 2> kCallerPolicyFields{{
    {"callers", &readCallers},
    {"importance", &CallerPolicySpec::importance, 0, kMaxImportance},
}};

constexpr std::array<Field<OverloadPolicySpec>, 8> kOverloadPolicyFields{{
    {"algorithm", &OverloadPolicySpec::algorithm},
    {"minLimit", &OverloadPolicySpec::minLimit, 1, kMaxConcurrencyLimit},
    {"maxLimit", &OverloadPolicySpec::maxLimit, 0, kMaxConcurrencyLimit},
    {"queueTargetMs", &OverloadPolicySpec::queueTarget, 0, kMaxDurationMs},
    {"queueIntervalMs", &OverloadPolicySpec::queueInterval, 1, kMaxDurationMs},
    {"queueLength", &OverloadPolicySpec::queueLength, 0, kMaxConcurrencyLimit},
    {"coldStartMs", &OverloadPolicySpec::coldStart, 0, kMaxDurationMs},
    {"pushBack", &OverloadPolicySpec::pushBack, 0, kMaxPercent},
}};

constexpr std::array<Field<RetryPolicySpec>, 4> kRetryPolicyFields{{
    {"budget", &RetryPolicySpec::budget, 0, kMaxRetryBudget},
    {"ratioPercent", &RetryPolicySpec::ratioPercent, 0, kMaxRatioPercent},
    {"backoffMs", &RetryPolicySpec::backoff, 0, kMaxDurationMs},
    {"maxBackoffMs", &RetryPolicySpec::maxBackoff, 0, kMaxDurationMs},
}};

constexpr std::array<Field<RoutePolicySpec>, 4> kRoutePolicyFields{{
    {"crossRegionBytesPerSecond", &RoutePolicySpec::crossRegionBytesPerSecond, 0, kMaxBytesPerSecond},
    {"spillAtPercent", &RoutePolicySpec::spillAtPercent, 1, kMaxRatioPercent},
    {"ejectSharePercent", &RoutePolicySpec::ejectSharePercent, 0, kMaxPercent},
    {"slowStartMs", &RoutePolicySpec::slowStart, 0, kMaxDurationMs},
}};

constexpr std::array<Field<ContactSpec>, 1> kContactFields{{
    {"address", &ContactSpec::address},
}};

/// Reads an item of a list. Its faults are added to the unused parts.
/// @param check finds what the field table can't, unless the fields have faults
/// @param isUsable receives whether the item has no fault
template<typename Item, std::size_t kSize, typename Check>
Item readItem(const Json &json, const std::string &path, const std::array<Field<Item>, kSize> &fields, Check check, bool &isUsable,
              ObjectFindings &findings)
{
    ObjectFindings own;
    auto item = readFields(json, path, fields, own);
    if (own.faults.empty()) {
        check(item, path, own);
    }
    isUsable = own.faults.empty();
    findings.addPart(std::move(own));
    return item;
}

std::string itemPath(const std::string &path, std::size_t n)
{
    return path + "[" + std::to_string(n) + "]";
}

void readWeight(const Json &json, const std::string &path, RouteBackend &backend, ObjectFindings &findings)
{
    backend.weight = readDecimal(json, path, kMaxWeight, findings).value_or(backend.weight);
}

constexpr std::array<Field<RouteBackend>, 2> kRouteBackendFields{{
    {"service", &RouteBackend::service},
    {"weight", &readWeight},
}};

/// Reads the services of a route. One that can't be read makes the route unusable: the others would get its share.
void readRouteBackends(const Json &json, const std::string &path, RouteSpec &spec, ObjectFindings &findings)
{
    if (!json.is_array()) {
        findings.addFault(path, "must be a list of services");
        return;
    }
    for (std::size_t n = 0; n < json.size(); ++n) {
        spec.backends.push_back(readFields(json[n], itemPath(path, n), kRouteBackendFields, findings));
    }
}

constexpr std::array<Field<RouteSpec>, 10> kRouteFields{{
    {"name", &RouteSpec::name},
    {"host", &RouteSpec::host},
    {"pathPrefix", &RouteSpec::pathPrefix},
    {"backends", &readRouteBackends},
    {"idempotent", &RouteSpec::idempotent},
    {"timeoutMs", &RouteSpec::timeout, 1, kMaxRouteTimeMs, RangePolicy::Clamp},
    {"latencyObjectiveMs", &RouteSpec::latencyObjective, 1, kMaxRouteTimeMs, RangePolicy::Clamp},
    {"priority", &RouteSpec::priority, 0, kMaxPriority, RangePolicy::Clamp},
    {"maxAttempts", &RouteSpec::maxAttempts, 1, kMaxAttempts, RangePolicy::Clamp},
    {"public", &RouteSpec::isPublic},
}};

constexpr std::array<Field<RoutedServiceSpec>, 3> kRoutedServiceFields{{
    {"name", &RoutedServiceSpec::name},
    {"healthPath", &RoutedServiceSpec::healthPath},
    {"maxConnections", &RoutedServiceSpec::maxConnections, 1, kMaxConcurrencyLimit, RangePolicy::Clamp},
}};

constexpr std::array<Field<TrafficLimits>, 4> kTrafficLimitFields{{
    {"maxHeaderBytes", &TrafficLimits::maxHeaderBytes, 1, kMaxTrafficLimitBytes, RangePolicy::Clamp},
    {"maxBodyBytes", &TrafficLimits::maxBodyBytes, 1, kMaxTrafficLimitBytes, RangePolicy::Clamp},
    {"headerTimeoutMs", &TrafficLimits::headerTimeout, 1, kMaxRouteTimeMs, RangePolicy::Clamp},
    {"idleTimeoutMs", &TrafficLimits::idleTimeout, 1, kMaxRouteTimeMs, RangePolicy::Clamp},
}};

bool isKeyDigest(const Json &json)
{
    const auto *digest = json.get_ptr<const std::string *>();
    return digest && digest->size() == kKeyDigestLength && digest->find_first_not_of("0123456789abcdef") == std::string::npos;
}

/// Reads the digests of a customer's keys. One that can't be read is left out by itself.
void readKeyDigests(const Json &json, const std::string &path, CustomerSpec &spec, ObjectFindings &findings)
{
    if (!json.is_array()) {
        findings.addFault(path, "must be a list of digests");
        return;
    }
    for (std::size_t n = 0; n < json.size(); ++n) {
        if (isKeyDigest(json[n])) {
            spec.keyDigests.push_back(json[n].get<std::string>());
        } else {
            // Doesn't quote the text: it may be a key that was stated in place of its digest.
            findings.unusedParts.push_back({itemPath(path, n), "must be 32 lower-case hexadecimal digits"});
        }
    }
}

void readCustomerPriority(const Json &json, const std::string &path, CustomerSpec &spec, ObjectFindings &findings)
{
    if (const auto priority = readNumber(json, path, 0, kMaxPriority, findings, RangePolicy::Clamp)) {
        spec.priority = static_cast<std::uint32_t>(*priority);
    }
}

template<double CustomerSpec::*kMember>
void readCustomerRate(const Json &json, const std::string &path, CustomerSpec &spec, ObjectFindings &findings)
{
    spec.*kMember = readDecimal(json, path, kMaxRequestsPerSecond, findings).value_or(spec.*kMember);
}

constexpr std::array<Field<CustomerSpec>, 5> kCustomerFields{{
    {"name", &CustomerSpec::name},
    {"keyDigests", &readKeyDigests},
    {"priority", &readCustomerPriority},
    {"requestsPerSecond", &readCustomerRate<&CustomerSpec::requestsPerSecond>},
    {"burst", &readCustomerRate<&CustomerSpec::burst>},
}};

/// Returns whether @a name can be the value of an HTTP header field.
bool isCustomerName(const std::string &name)
{
    const auto isControl = [](unsigned char c) { return c < 0x20 || c == 0x7F; };
    const bool hasBlankEnd = name.starts_with(' ') || name.ends_with(' ');
    return !name.empty() && !hasBlankEnd && std::none_of(name.begin(), name.end(), isControl);
}

/// Removes digests that several customers have: they leave open whose request it is.
void removeSharedDigests(std::vector<CustomerSpec> &customers, const std::string &path, ObjectFindings &findings)
{
    std::unordered_map<std::string, std::size_t> owners;
    std::unordered_set<std::string> shared;
    for (std::size_t n = 0; n < customers.size(); ++n) {
        for (const auto &it : customers[n].keyDigests) {
            if (owners.emplace(it, n).first->second != n && shared.insert(it).second) {
                findings.unusedParts.push_back({path, "a key of '" + customers[n].name + "' belongs to an earlier customer as well"});
            }
        }
    }
    if (!shared.empty()) {
        for (auto &it : customers) {
            std::erase_if(it.keyDigests, [&shared](const auto &digest) { return shared.contains(digest); });
        }
    }
}

void readCustomers(const Json &json, const std::string &path, RouteTableSpec &spec, ObjectFindings &findings)
{
    // Keys are required from here on, even if none can be read.
    auto &customers = spec.customers.emplace();
    const auto unusedBefore = findings.unusedParts.size();
    if (!json.is_array()) {
        findings.unusedParts.push_back({path, "must be a list of customers"});
    }
    std::unordered_set<std::string> names;
    const auto check = [&names](const CustomerSpec &customer, const std::string &place, ObjectFindings &own) {
        if (!isCustomerName(customer.name)) {
            own.addFault(place + ".name", "must not be empty, hold control characters, or begin or end with a space");
        } else if (!names.insert(customer.name).second) {
            own.addFault(place + ".name", "is used by an earlier customer already");
        }
    };
    for (std::size_t n = 0; json.is_array() && n < json.size(); ++n) {
        bool isUsable = false;
        auto customer = readItem(json[n], itemPath(path, n), kCustomerFields, check, isUsable, findings);
        if (!isUsable) {
            continue;
        }
        if (customer.requestsPerSecond > 0) {
            customer.burst = std::max(customer.burst > 0 ? customer.burst : customer.requestsPerSecond, 1.0);
        }
        customers.push_back(std::move(customer));
    }
    removeSharedDigests(customers, path, findings);
    spec.hasUnreadKeys = findings.unusedParts.size() > unusedBefore;
}

bool isPathPrefix(const std::string &prefix)
{
    return prefix.starts_with('/') && prefix.ends_with('/');
}

void checkRoute(const RouteSpec &route, const std::string &path, ObjectFindings &findings)
{
    if (route.host.empty()) {
        findings.addFault(path + ".host", "must not be empty");
    }
    if (!isPathPrefix(route.pathPrefix)) {
        findings.addFault(path + ".pathPrefix", "must begin and end with /");
    }
    const auto receivesRequests = [](const RouteBackend &it) { return !it.service.empty() && it.weight > 0; };
    if (std::none_of(route.backends.begin(), route.backends.end(), receivesRequests)) {
        findings.addFault(path + ".backends", "must name at least one service with a weight above 0");
    }
    if (std::any_of(route.backends.begin(), route.backends.end(), [](const RouteBackend &it) { return it.service.empty(); })) {
        findings.addFault(path + ".backends", "must name a service in each item");
    }
}

void readRoutes(const Json &json, const std::string &path, RouteTableSpec &spec, ObjectFindings &findings)
{
    if (!json.is_array()) {
        findings.unusedParts.push_back({path, "must be a list of routes"});
        spec.hasUnreadRoutes = true;
        return;
    }
    for (std::size_t n = 0; n < json.size(); ++n) {
        bool isUsable = false;
        auto route = readItem(json[n], itemPath(path, n), kRouteFields, &checkRoute, isUsable, findings);
        route.isUsable = isUsable;
        if (!isUsable && (route.host.empty() || !isPathPrefix(route.pathPrefix))) {
            spec.hasUnreadRoutes = true;
        } else {
            spec.routes.push_back(std::move(route));
        }
    }
}

void readRoutedServices(const Json &json, const std::string &path, RouteTableSpec &spec, ObjectFindings &findings)
{
    if (!json.is_array()) {
        findings.unusedParts.push_back({path, "must be a list of services"});
        return;
    }
    for (std::size_t n = 0; n < json.size(); ++n) {
        bool isUsable = false;
        auto service = readItem(
            json[n], itemPath(path, n), kRoutedServiceFields, [](const auto &, const auto &, auto &) {}, isUsable, findings);
        if (isUsable) {
            spec.services.push_back(std::move(service));
        }
    }
}

/// Reads the limits. One that can't be read keeps its default.
void readTrafficLimits(const Json &json, const std::string &path, RouteTableSpec &spec, ObjectFindings &findings)
{
    ObjectFindings own;
    spec.limits = readFields(json, path, kTrafficLimitFields, own);
    findings.addPart(std::move(own));
}

constexpr std::array<Field<RouteTableSpec>, 4> kRouteTableFields{{
    {"routes", &readRoutes},
    {"services", &readRoutedServices},
    {"limits", &readTrafficLimits},
    {"customers", &readCustomers},
}};

void checkMethod(const MethodSpec &method, const std::string &path, ObjectFindings &findings)
{
    if (method.name.empty()) {
        findings.addFault(path + ".name", "must not be empty");
    }
    if (std::find(kVerbs.begin(), kVerbs.end(), method.verb) == kVerbs.end()) {
        findings.addFault(path + ".verb", "must be an upper-case HTTP method, or * for any");
    }
    if (!method.pathPrefix.starts_with('/')) {
        findings.addFault(path + ".pathPrefix", "must begin with /");
    }
    if (method.once && method.idempotent) {
        findings.addFault(path + ".idempotent", "must be false for a method with once, which runs under an idempotency key");
    }
}

bool matchesAnyVerb(const MethodSpec &method)
{
    return method.verb.empty() || method.verb == "*";
}

bool matchesAllOf(const MethodSpec &earlier, const MethodSpec &later)
{
    const bool isVerbCovered = matchesAnyVerb(earlier) || earlier.verb == later.verb;
    return isVerbCovered && later.pathPrefix.starts_with(earlier.pathPrefix);
}

void checkMethodOrder(const std::vector<MethodSpec> &methods, const std::string &path, ObjectFindings &findings)
{
    std::set<std::string_view> names;
    for (std::size_t n = 0; n < methods.size(); ++n) {
        const auto itemPath = path + "[" + std::to_string(n) + "]";
        if (!names.insert(methods[n].name).second) {
            findings.addFault(itemPath + ".name", "is used by an earlier method already");
        }
        const auto end = methods.begin() + static_cast<std::ptrdiff_t>(n);
        const auto earlier = std::find_if(methods.begin(), end, [&](const MethodSpec &it) { return matchesAllOf(it, methods[n]); });
        if (earlier != end) {
            findings.addFault(itemPath,
                              "never matches a request: methods[" + std::to_string(earlier - methods.begin())
                                  + "] matches all of its requests first");
        }
    }
}

void readMethods(const Json &json, const std::string &path, ServiceSpec &spec, ObjectFindings &findings)
{
    if (!json.is_array() || json.size() > kMaxMethods) {
        findings.addFault(path, "must be a list of at most " + std::to_string(kMaxMethods) + " methods");
        return;
    }
    for (std::size_t n = 0; n < json.size(); ++n) {
        const auto itemPath = path + "[" + std::to_string(n) + "]";
        spec.methods.push_back(readFields(json[n], itemPath, kMethodFields, findings));
        checkMethod(spec.methods.back(), itemPath, findings);
    }
    checkMethodOrder(spec.methods, path, findings);
}

void checkSpec(const ServiceSpec &spec, ObjectFindings &findings)
{
    if (spec.methods.empty()) {
        findings.addFault("spec.methods", "must hold at least one method");
    }
    const bool hasOnceMethod = std::any_of(spec.methods.begin(), spec.methods.end(), [](const MethodSpec &it) { return it.once; });
    if (hasOnceMethod && spec.upstreams == 0) {
        findings.addFault("spec.upstreams", "must be the number of upstreams of the service, at least 1, because a method has once");
    }
}

void checkSpec(const CallerPolicySpec &spec, ObjectFindings &findings)
{
    if (spec.callers.empty()) {
        findings.addFault("spec.callers", "must hold at least one caller");
    }
    for (std::size_t n = 0; n < spec.callers.size(); ++n) {
        const auto star = spec.callers[n].find('*');
        if (spec.callers[n].empty() || (star != std::string::npos && star + 1 != spec.callers[n].size())) {
            findings.addFault("spec.callers[" + std::to_string(n) + "]", "must be a name, or a prefix that ends with *");
        }
    }
}

void checkSpec(const OverloadPolicySpec &spec, ObjectFindings &findings)
{
    if (spec.maxLimit != 0 && spec.maxLimit < spec.minLimit) {
        findings.addFault("spec.maxLimit", "must be 0 or at least minLimit");
    }
}

void checkSpec(const RetryPolicySpec &spec, ObjectFindings &findings)
{
    if (spec.maxBackoff < spec.backoff) {
        findings.addFault("spec.maxBackoffMs", "must be at least backoffMs");
    }
}

void checkSpec(const RoutePolicySpec &, ObjectFindings &)
{
}

void checkSpec(const ContactSpec &spec, ObjectFindings &findings)
{
    const auto colon = spec.address.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos && colon > 0) {
        const auto *end = spec.address.data() + spec.address.size();
        const auto [at, ec] = std::from_chars(spec.address.data() + colon + 1, end, port);
        port = ec == std::errc() && at == end ? port : 0;
    }
    if (port == 0) {
        findings.addFault("spec.address", "must be address:port, with a port from 1 to 65535");
    }
}

void checkSpec(const RouteTableSpec &, ObjectFindings &)
{
}

using SpecReader = ObjectSpec (*)(const Json &json, ObjectFindings &findings);

template<const auto &kFields>
ObjectSpec readAndCheckSpec(const Json &json, ObjectFindings &findings)
{
    auto spec = readFields(json, "spec", kFields, findings);
    checkSpec(spec, findings);
    return spec;
}

constexpr std::array<SpecReader, static_cast<std::size_t>(ObjectKind::Count)> kSpecReaders{
    &readAndCheckSpec<kServiceFields>,     &readAndCheckSpec<kCallerPolicyFields>, &readAndCheckSpec<kOverloadPolicyFields>,
    &readAndCheckSpec<kRetryPolicyFields>, &readAndCheckSpec<kRoutePolicyFields>,  &readAndCheckSpec<kContactFields>,
    &readAndCheckSpec<kRouteTableFields>,
};

} // namespace

RequestClass requestClassOfPriority(std::uint32_t priority)
{
    constexpr std::array kClasses{RequestClass::Order, RequestClass::Standard, RequestClass::Lookup};
    return kClasses.at(std::min<std::size_t>(priority, kClasses.size() - 1));
}

RequestClass RouteSpec::requestClass() const
{
    return requestClassOfPriority(priority);
}

ObjectSpec readSpec(ObjectKind kind, const Json &json, ObjectFindings &findings)
{
    return kSpecReaders.at(static_cast<std::size_t>(kind))(json, findings);
}

} // namespace chicoryspar
