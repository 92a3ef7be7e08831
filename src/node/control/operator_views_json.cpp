/// @file
/// JSON views of a node's state for operators.

#include "node/control/operator_views.h"

#include "node/clock.h"
#include "node/entry/dispatcher.h"
#include "node/gate/gate_service.h"

#include <nlohmann/json.hpp>

namespace chicoryspar {
namespace {

using Json = nlohmann::json;

constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr std::size_t kMaxWaitingNames = 20;

OperatorAnswer makeAnswer(const Json &json)
{
    return {.body = json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n"};
}

std::string toHex(std::uint64_t value)
{
    constexpr std::string_view kDigits = "0123456789abcdef";
    std::string text;
    for (int shift = 60; shift >= 0; shift -= 4) {
        text.push_back(kDigits[(value >> shift) & 0xF]);
    }
    return text;
}

std::string subjectOf(ObjectKind kind, const std::string &name)
{
    return std::string(rowOf(kind).name) + "/" + name;
}

Json describeChange(const ChangeNote &change)
{
    return {{"changeId", change.changeId}, {"changedBy", change.changedBy}, {"reason", change.reason}, {"changedAt", change.changedAt}};
}

Json describeFindings(const std::vector<Finding> &findings)
{
    auto list = Json::array();
    for (const auto &it : findings) {
        list.push_back({{"place", it.place}, {"text", it.text}});
    }
    return list;
}

Json describeEntry(const ObjectInForce &entry, TimePoint now)
{
    return {{"kind", rowOf(entry.object->kind).name},
            {"name", entry.object->name},
            {"version", entry.object->version},
            {"storeEra", entry.object->storeEra},
            {"declaredVersion", entry.object->declaredVersion},
            {"generation", entry.object->generation},
            {"inForceForMs", toMilliseconds(now - entry.since)},
            {"change", describeChange(entry.object->change)}};
}

Json countMembers(const Membership *membership)
{
    auto counts = Json::object();
    for (std::size_t n = 0; n < static_cast<std::size_t>(MemberState::Count); ++n) {
        counts[std::string(rowOf(static_cast<MemberState>(n)).name)] = 0;
    }
    for (const auto *it : membership ? membership->members() : std::vector<const Member *>()) {
        auto &count = counts[std::string(rowOf(it->state).name)];
        count = count.get<std::uint64_t>() + 1;
    }
    return counts;
}

Json describeRefused(const ConfigSet &set, TimePoint now)
{
    auto list = Json::array();
    for (const auto &[key, refused] : set.refusedObjects()) {
        list.push_back({{"object", subjectOf(key.kind, key.name)},
                        {"version", refused.version},
                        {"refusedForMs", toMilliseconds(now - refused.at)},
                        {"findings", describeFindings(refused.findings)}});
    }
    return list;
}

Json describeIgnored(const ConfigSet &set, TimePoint now)
{
    auto list = Json::array();
    for (const auto &[key, ignored] : set.ignoredObjects()) {
        list.push_back({{"object", subjectOf(key.kind, key.name)},
                        {"version", ignored.order.revision.number},
                        {"storeEra", ignored.order.revision.era},
                        {"declaredVersion", ignored.order.declared},
                        {"ignoredForMs", toMilliseconds(now - ignored.at)},
                        {"change", describeChange(ignored.change)}});
    }
    return list;
}

Json describeConfigState(const OperatorSources &sources, TimePoint now)
{
    const auto &sync = sources.config.sync();
    const auto down = sync.storeDownSince();
    const auto &counters = sync.counters();
    return {{"configured", sync.isConfigured()},
            {"digest", toHex(sync.digest())},
            {"objects", sync.set().objectsInForce().size()},
            {"customers", sync.set().customers().size()},
            {"watcher", sync.isWatcher()},
            {"storeDownForMs", down ? Json(toMilliseconds(now - *down)) : Json()},
            {"storeEra", sync.storeEra()},
            {"lostByStore", sync.lostObjectCount()},
            {"refused", describeRefused(sync.set(), now)},
            {"ignored", describeIgnored(sync.set(), now)},
            {"findings", describeFindings(sync.set().checkReferences())},
            {"unusedParts", describeFindings(sync.set().unusedParts())},
            {"storeCalls", {{"list", counters.listCalls}, {"watch", counters.watchCalls}, {"failed", counters.failedCalls}}},
            {"pulls",
             {{"begun", counters.pulls},
              {"failed", counters.failedPulls},
              {"empty", counters.emptyPulls},
              {"resumed", counters.resumedPulls}}}};
}

Json describeRepeats(const GateRepeats &repeats)
{
    auto calls = Json::object();
    for (const auto &it : repeats.callEdges().edges()) {
        calls[it.service] = repeats.callEdges().callsPerExecution(it);
    }
    const auto &counts = repeats.counts();
    return {{"bounded", repeats.isBounding()},
            {"tokens", repeats.budget().tokens()},
            {"capacity", repeats.budget().capacity()},
            {"servedShare", repeats.budget().servedShare()},
            {"dispatched", counts.dispatched},
            {"refused", counts.refused},
            {"refusedForCallees", counts.refusedForCallees},
            {"callsPerExecution", calls}};
}

Json describeGate(const GateService &gate)
{
    const auto it = gate.snapshot();
    auto refused = Json::object();
    for (std::size_t n = 0; n < it.refused.size(); ++n) {
        refused[std::string(rowOf(static_cast<RequestClass>(n)).name)] = it.refused.at(n);
    }
    return {{"service", gate.announcement().service},
            {"readiness", rowOf(gate.readiness()).name},
            {"drained", gate.isDrained()},
            {"limit", it.limit},
            {"limitReason", rowOf(it.limitReason).name},
            {"inFlight", it.inFlight},
            {"queued", it.queued},
            {"level", it.level.value},
            {"queueingDelayMs", toMilliseconds(it.queueingDelay)},
            {"serviceTimeMs", toMilliseconds(it.serviceTime)},
            {"capacity", it.capacity},
            {"rateLimit", it.rateLimit ? Json(*it.rateLimit) : Json()},
            {"lookupsHeld", it.lookupsHeld},
            {"refusingMs", toMilliseconds(it.overloadTime)},
            {"usualRate", it.usualRate},
            {"admitted", it.admitted},
            {"refused", refused},
            {"repeats", describeRepeats(gate.repeats())}};
}

/// Returns the counts of one class by outcome and by reason, leaving out reasons that never occurred, and its latencies.
Json describeClass(const Metrics &metrics, RequestClass requestClass)
{
    auto outcomes = Json::object();
    for (std::size_t n = 0; n < static_cast<std::size_t>(Outcome::Count); ++n) {
        const auto outcome = static_cast<Outcome>(n);
        outcomes[std::string(rowOf(outcome).name)] = metrics.outcomeCount(requestClass, outcome);
    }
    auto reasons = Json::object();
    for (std::size_t n = 1; n < static_cast<std::size_t>(Reason::Count); ++n) {
        const auto reason = static_cast<Reason>(n);
        if (const auto count = metrics.reasonCount(requestClass, reason)) {
            reasons[std::string(rowOf(reason).name)] = count;
        }
    }
    const auto latency = metrics.latency(requestClass);
    return {{"outcomes", outcomes},
            {"reasons", reasons},
            {"latencyMs", {{"count", latency.count}, {"mean", latency.meanMs}, {"median", latency.medianMs}, {"p99", latency.p99Ms}}}};
}

Json describeCalls(const Metrics &metrics)
{
    auto classes = Json::object();
    for (std::size_t n = 0; n < static_cast<std::size_t>(RequestClass::Count); ++n) {
        const auto requestClass = static_cast<RequestClass>(n);
        classes[std::string(rowOf(requestClass).name)] = describeClass(metrics, requestClass);
    }
    return classes;
}

/// Describes the upstreams of a service as the router of this node has them.
Json describeUpstreams(const std::vector<CandidateView> &upstreams, const Membership *membership)
{
    auto list = Json::array();
    for (const auto &it : upstreams) {
        const auto *member = membership ? membership->find(it.node) : nullptr;
        Json json{{"node", member ? member->info.name : toHex(it.node.value)},
                  {"tier", rowOf(it.tier).name},
                  {"ready", it.ready},
                  {"ejected", it.ejected},
                  {"inFlight", it.inFlight},
                  {"latencyMs", toMilliseconds(it.latency)},
                  {"level", it.level.value},
                  {"weight", it.weight}};
        if (it.reportsLoad) {
            json["load"] = {{"outstandingWorkMs", toMilliseconds(it.outstandingWork)},
                            {"pace", it.pace},
                            {"paceAgeMs", toMilliseconds(it.paceAge)},
                            {"paceTrusted", it.isPaceTrusted},
                            {"speed", it.speed},
                            {"lossRate", it.lossRate}};
        }
        list.push_back(std::move(json));
    }
    return list;
}

std::string textField(const QueryFields &query, const std::string &key, const std::string &fallback = {})
{
    const auto it = query.find(key);
    return it == query.end() ? fallback : it->second;
}

Json describeStep(const ExplainStep &step)
{
    return {{"what", step.what},
            {"value", step.value},
            {"object", step.object},
            {"version", step.version},
            {"change", describeChange(step.change)}};
}

Json makeStep(std::string_view what, const std::string &value)
{
    return {{"what", what}, {"value", value}};
}

/// Adds the steps that depend on the current load of this node and on the ready upstreams in its member list.
void explainLoad(const OperatorSources &sources, TimePoint now, const std::string &service, const CallContext &callContext, Json &steps)
{
    auto &context = sources.context;
    std::size_t ready = 0;
    for (const auto *it : context.membership ? context.membership->members() : std::vector<const Member *>()) {
        ready += it->info.service == service && it->isPresent() && it->info.readiness == BackendReadiness::Ready ? 1 : 0;
    }
    steps.push_back(makeStep("ready upstreams", std::to_string(ready)));
    if (ready == 0) {
        steps.push_back(makeStep("decision", std::string(rowOf(Reason::NoUpstream).text)));
        return;
    }
    if (context.gate && context.gate->announcement().service == service) {
        const auto decision = context.gate->explain(now, callContext);
        const auto text = decision.reason == Reason::None ? std::string("admitted") : std::string(rowOf(decision.reason).text);
        steps.push_back(makeStep("gate of this node", text));
    }
}

} // namespace

OperatorAnswer makeProblem(int status, std::string_view title, std::string_view detail)
{
    const Json json{{"type", "about:blank"}, {"title", title}, {"status", status}, {"detail", detail}};
    return {status, json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n", "application/problem+json"};
}

OperatorAnswer describeStatus(const OperatorSources &sources, TimePoint now)
{
    const auto &context = sources.context;
    const auto uptime = wallNow().time_since_epoch() - std::chrono::milliseconds(context.boot);
    Json json{{"node", context.settings.name},
              {"region", context.settings.region},
              {"zone", context.settings.zone},
              {"version", CHICORYSPAR_VERSION},
              {"boot", context.boot},
              {"uptimeMs", toMilliseconds(std::chrono::duration_cast<Duration>(uptime))},
              {"stopping", context.isStopping},
              {"members", countMembers(context.membership)},
              {"configuration", describeConfigState(sources, now)},
              {"calls", describeCalls(context.metrics)}};
    if (context.gate) {
        json["gate"] = describeGate(*context.gate);
    }
    return makeAnswer(json);
}

OperatorAnswer describeMembers(const OperatorSources &sources, TimePoint now)
{
    const auto *membership = sources.context.membership;
    return {.body = formatMembers(membership ? membership->members() : std::vector<const Member *>(), now)};
}

OperatorAnswer describeConfig(const OperatorSources &sources, TimePoint now)
{
    auto list = Json::array();
    for (const auto &it : sources.config.sync().set().objectsInForce()) {
        list.push_back(describeEntry(it, now));
    }
    return makeAnswer({{"node", sources.context.settings.name}, {"digest", toHex(sources.config.sync().digest())}, {"objects", list}});
}

OperatorAnswer describeObject(const OperatorSources &sources, TimePoint now, ObjectKind kind, const std::string &name)
{
    const auto *entry = sources.config.sync().set().findIncludingDeleted(kind, name);
    if (!entry) {
        return makeProblem(kStatusNotFound, "no such object in force", subjectOf(kind, name));
    }
    auto json = describeEntry(*entry, now);
    json["deleted"] = entry->object->deleted;
    json["object"] = Json::parse(entry->object->text, nullptr, false);
    return makeAnswer(json);
}

OperatorAnswer describeHistory(const OperatorSources &sources, TimePoint now)
{
    auto list = Json::array();
    for (const auto &it : sources.config.sync().set().history()) {
        list.push_back({{"object", subjectOf(it.key.kind, it.key.name)},
                        {"version", it.version},
                        {"deleted", it.deleted},
                        {"inForceForMs", toMilliseconds(now - it.at)},
                        {"change", describeChange(it.change)}});
    }
    return makeAnswer({{"node", sources.context.settings.name}, {"changes", list}});
}

OperatorAnswer describeInForce(const OperatorSources &sources, const QueryFields &query)
{
    const auto kind = findObjectKind(textField(query, "kind"));
    const auto name = textField(query, "name");
    const auto version = std::strtoull(textField(query, "version", "0").c_str(), nullptr, 10);
    if (!kind || name.empty() || version == 0) {
        return makeProblem(kStatusBadRequest, "kind, name and version are needed", "GET /v1/inforce?kind=&name=&version=");
    }
    const auto contentHash = std::strtoull(textField(query, "hash", "0").c_str(), nullptr, 10);
    auto count = sources.config.countInForce({*kind, name}, version, contentHash);
    const auto waiting = count.waiting.size();
    count.waiting.resize(std::min(waiting, kMaxWaitingNames));
    return makeAnswer({{"members", count.members}, {"inForce", count.inForce}, {"waitingCount", waiting}, {"waiting", count.waiting}});
}

OperatorAnswer describeDecision(const OperatorSources &sources, TimePoint now, const QueryFields &query)
{
    const auto service = textField(query, "service");
    const auto caller = textField(query, "caller", "anonymous");
    const auto method = textField(query, "method", "GET");
    const auto path = textField(query, "path", "/");
    if (service.empty()) {
        return makeProblem(kStatusBadRequest, "service is needed", "GET /v1/explain?service=&caller=&method=&path=");
    }
    const auto &set = sources.config.sync().set();
    auto steps = Json::array();
    if (!sources.config.sync().isConfigured()) {
        steps.push_back(makeStep("configuration", std::string(rowOf(Reason::NotConfigured).text)));
    }
    for (const auto &it : explainRequest(set, service, caller, method, path)) {
        steps.push_back(describeStep(it));
    }
    if (const auto *spec = set.findMethod(service, method, path)) {
        const CallContext callContext{
            .requestClass = spec->requestClass, .importance = set.importanceOf(caller), .remaining = spec->defaultTimeout};
        explainLoad(sources, now, service, callContext, steps);
    }
    const auto *dispatcher = sources.context.dispatcher;
    const auto upstreams = dispatcher ? dispatcher->explainRoutes(now, service) : std::vector<CandidateView>();
    return makeAnswer({{"node", sources.context.settings.name},
                       {"service", service},
                       {"caller", caller},
                       {"method", method},
                       {"path", path},
                       {"steps", steps},
                       {"upstreams", describeUpstreams(upstreams, sources.context.membership)}});
}

} // namespace chicoryspar
