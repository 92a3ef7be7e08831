/// @file
/// Checks of references between objects, and the explanation of the configuration that applies to a request.

#include <chicoryspar/config.h>

#include <algorithm>

namespace chicoryspar {
namespace {

using Objects = std::span<const std::shared_ptr<const ConfigObject>>;

/// A field of a Service that refers to a policy by name.
struct PolicyReference
{
    std::string_view field;
    std::string ServiceSpec::*member;
    ObjectKind kind;
};

constexpr std::array<PolicyReference, 3> kPolicyReferences{{
    {"retryPolicy", &ServiceSpec::retryPolicy, ObjectKind::RetryPolicy},
    {"overloadPolicy", &ServiceSpec::overloadPolicy, ObjectKind::OverloadPolicy},
    {"routePolicy", &ServiceSpec::routePolicy, ObjectKind::RoutePolicy},
}};

std::string objectPath(ObjectKind kind, std::string_view name)
{
    return std::string(rowOf(kind).name) + "/" + std::string(name);
}

bool hasObject(Objects objects, ObjectKind kind, std::string_view name)
{
    return std::any_of(objects.begin(), objects.end(),
                       [&](const auto &it) { return it->kind == kind && it->name == name && !it->deleted; });
}

void checkPolicyReferences(Objects objects, const ConfigObject &object, const ServiceSpec &spec, std::vector<Finding> &findings)
{
    for (const auto &it : kPolicyReferences) {
        const auto &name = spec.*it.member;
        if (!name.empty() && !hasObject(objects, it.kind, name)) {
            findings.push_back({objectPath(object.kind, object.name) + " spec." + std::string(it.field),
                                "no " + objectPath(it.kind, name) + " exists; the default applies"});
        }
    }
}

ExplainStep makeStep(std::string what, std::string value, const ObjectInForce *entry)
{
    ExplainStep step{.what = std::move(what), .value = std::move(value)};
    if (entry) {
        step.object = objectPath(entry->object->kind, entry->object->name);
        step.change = entry->object->change;
        step.version = entry->object->version;
    }
    return step;
}

std::string formatMilliseconds(Duration value)
{
    return std::to_string(toMilliseconds(value)) + " ms";
}

void explainMethod(const MethodSpec &method, const ObjectInForce *service, std::vector<ExplainStep> &steps)
{
    steps.push_back(makeStep("method", method.name, service));
    steps.push_back(makeStep("class", std::string(rowOf(method.requestClass).name), service));
    steps.push_back(makeStep("once", method.once ? "true" : "false", service));
    steps.push_back(makeStep("idempotent", method.idempotent ? "true" : "false", service));
    steps.push_back(makeStep("default timeout", formatMilliseconds(method.defaultTimeout), service));
}

} // namespace

std::vector<Finding> checkReferences(Objects objects)
{
    std::vector<Finding> findings;
    std::map<std::string, std::string> callers;
    for (const auto &it : objects) {
        if (it->deleted) {
            continue;
        }
        if (const auto *service = std::get_if<ServiceSpec>(&it->spec)) {
            checkPolicyReferences(objects, *it, *service, findings);
        }
        const auto *policy = std::get_if<CallerPolicySpec>(&it->spec);
        for (std::size_t n = 0; policy && n < policy->callers.size(); ++n) {
            const auto [other, isNew] = callers.emplace(policy->callers[n], it->name);
            if (!isNew) {
                findings.push_back({objectPath(it->kind, it->name) + " spec.callers[" + std::to_string(n) + "]",
                                    "is named by " + objectPath(ObjectKind::CallerPolicy, other->second) + " too"});
            }
        }
    }
    return findings;
}

std::vector<ExplainStep> explainRequest(const ConfigSet &set, std::string_view service, std::string_view caller, std::string_view verb,
                                        std::string_view path)
{
    std::vector<ExplainStep> steps;
    const auto *entry = set.find(ObjectKind::Service, service);
    if (!entry) {
        steps.push_back(makeStep("service", "unknown: " + std::string(rowOf(Reason::UnknownService).text),
                                 set.findIncludingDeleted(ObjectKind::Service, service)));
        return steps;
    }
    steps.push_back(makeStep("service", std::string(service), entry));
    if (const auto *method = set.findMethod(service, verb, path)) {
        explainMethod(*method, entry, steps);
    } else {
        steps.push_back(makeStep("method", "none matches this verb and path", entry));
    }
    const auto *policy = set.find(ObjectKind::CallerPolicy, set.callerPolicyOf(caller));
    steps.push_back(makeStep("importance", std::to_string(set.importanceOf(caller)), policy));
    const auto &spec = std::get<ServiceSpec>(entry->object->spec);
    for (const auto &it : kPolicyReferences) {
        const auto &name = spec.*it.member;
        const auto *referenced = set.find(it.kind, name);
        steps.push_back(makeStep(std::string(it.field), referenced ? name : "default", referenced));
    }
    steps.push_back(
        makeStep("retry budget", std::to_string(set.retryPolicyOf(service).budget), set.find(ObjectKind::RetryPolicy, spec.retryPolicy)));
    return steps;
}

} // namespace chicoryspar
