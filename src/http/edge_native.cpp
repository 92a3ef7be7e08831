/// @file
/// The product's own dialect on the HTTP ports.

#include <chicoryspar/http.h>

#include <algorithm>

#include <nlohmann/json.hpp>

namespace chicoryspar {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kAnnouncePath = "/chicoryspar/announce";
constexpr std::string_view kReadinessPath = "/chicoryspar/ready";
constexpr std::string_view kHeaderPrefix = "Chicoryspar-";
constexpr std::string_view kCustomerHeader = "Chicoryspar-Customer";
constexpr std::uint64_t kMaxTimeoutMs = 600'000;
constexpr std::uint64_t kMaxRetryTokens = 100;
constexpr std::uint64_t kMaxSlots = 65535;
constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kServiceUnavailable = 503;
constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

std::string readText(const Json &json, const char *key, std::vector<Finding> &findings)
{
    const auto it = json.find(key);
    if (it == json.end() || !it->is_string() || it->get_ref<const std::string &>().empty()) {
        findings.push_back({key, "expected a non-empty string"});
        return {};
    }
    return it->get<std::string>();
}

std::uint32_t readCount(const Json &json, const char *key, std::vector<Finding> &findings)
{
    const auto it = json.find(key);
    if (it == json.end() || !it->is_number_unsigned() || it->get<std::uint64_t>() == 0 || it->get<std::uint64_t>() > kMaxSlots) {
        findings.push_back({key, "expected an integer from 1 to " + std::to_string(kMaxSlots) + " inclusive"});
        return 1;
    }
    return it->get<std::uint32_t>();
}

BackendNotice parseAnnouncement(std::string_view text)
{
    BackendNotice notice;
    const auto json = exceedsNestingDepth(text) ? Json() : Json::parse(text, nullptr, false);
    if (!json.is_object()) {
        notice.findings.push_back(
            {"announcement", "expected a JSON object as the body, nested at most " + std::to_string(kMaxJsonNesting) + " levels deep"});
        return notice;
    }
    auto &it = notice.announcement;
    it.service = readText(json, "service", notice.findings);
    it.address = readText(json, "address", notice.findings);
    it.instance = readText(json, "instance", notice.findings);
    it.slots = readCount(json, "slots", notice.findings);
    it.connections = readCount(json, "connections", notice.findings);
    const auto state = readText(json, "state", notice.findings);
    const auto readiness = findBackendReadiness(state);
    if (!state.empty() && !readiness) {
        notice.findings.push_back({"state", "'" + state + "' is none of starting, ready, draining"});
    }
    it.readiness = readiness.value_or(BackendReadiness::Starting);
    return notice;
}

std::string firstHostLabel(std::string_view host)
{
    return std::string(host.substr(0, host.find_first_of(".:")));
}

template<typename Number>
void readNumber(const HttpRequest &request, std::string_view name, std::uint64_t maxValue, std::optional<Number> &value,
                std::vector<Finding> &findings)
{
    const auto text = findHeader(request.headers, name);
    if (!text) {
        return;
    }
    const auto number = parseWholeNumber(*text);
    if (!number || *number > maxValue) {
        findings.push_back({std::string(name), "expected an integer from 0 to " + std::to_string(maxValue) + " inclusive"});
        return;
    }
    value = static_cast<Number>(*number);
}

std::string retryAfterSeconds(Duration value)
{
    const auto wait = value > Duration{0} ? value : kDefaultRetryAfter;
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(wait).count());
}

HttpResponse makeProblem(const CallAnswer &answer)
{
    const auto &row = rowOf(answer.reason);
    HttpResponse response;
    response.status = static_cast<std::uint16_t>(row.status == kOk ? rowOf(Reason::BackendFailed).status : row.status);
    response.headers.push_back({"Content-Type", "application/problem+json"});
    response.headers.push_back({"Retry-After", retryAfterSeconds(answer.retryAfter)});
    if (answer.reason == Reason::CustomerUnknown) {
        response.headers.push_back({"WWW-Authenticate", "Bearer"});
    }
    const nlohmann::ordered_json body{{"type", "urn:chicoryspar:reason:" + std::string(row.name)},
                                      {"title", row.text},
                                      {"status", response.status},
                                      {"detail", answer.body},
                                      {"outcome", rowOf(answer.outcome).name},
                                      {"reason", row.name},
                                      {"node", answer.node}};
    response.body = body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
    return response;
}

class NativeEdge : public EdgeDialect
{
public:
    bool usesRoutes() const override
    {
        return false;
    }

    std::optional<BackendNotice> readNotice(const HttpRequest &request) const override
    {
        return pathOf(request.target) == kAnnouncePath ? std::optional(parseAnnouncement(request.body)) : std::nullopt;
    }

    HttpResponse answerNotice(const NoticeResult &result) const override
    {
        HttpResponse response;
        response.headers.push_back({"Content-Type", "application/json"});
        Json body{{"node", result.node}, {"configured", result.isConfigured}};
        for (const auto &it : result.findings) {
            response.status = kBadRequest;
            body["findings"].push_back({{"place", it.place}, {"text", it.text}});
        }
        response.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
        return response;
    }

    bool isReadinessCheck(const HttpRequest &request) const override
    {
        return pathOf(request.target) == kReadinessPath;
    }

    EntryFields readEntry(const HttpRequest &request) const override;

    void removeReservedHeaders(std::vector<HeaderField> &headers) const override
    {
        removeHeadersWithPrefix(headers, kHeaderPrefix);
    }

    void removeCustomerHeaders(std::vector<HeaderField> &headers) const override
    {
        removeHeader(headers, "Authorization");
        removeHeader(headers, kCustomerHeader);
    }

    std::string callToken(const CallRequest &) const override
    {
        return {};
    }

    void describeCall(const BackendCall &call, std::vector<HeaderField> &headers) const override
    {
        const auto &context = call.request.context;
        headers.push_back({"Chicoryspar-Call", std::string(call.token)});
        headers.push_back({"Chicoryspar-Root", toString(context.root)});
        headers.push_back({"Chicoryspar-Class", std::string(rowOf(context.requestClass).name)});
        headers.push_back({"Chicoryspar-Caller", call.request.caller});
        if (!call.request.customer.empty()) {
            headers.push_back({std::string(kCustomerHeader), call.request.customer});
        }
        headers.push_back({"Chicoryspar-Timeout-Ms", std::to_string(toMilliseconds(call.remaining))});
        headers.push_back({"Chicoryspar-Deadline", std::to_string(toMilliseconds(call.deadline.time_since_epoch()))});
    }

    std::optional<HttpRequest> healthRequest(const std::string &) const override
    {
        return std::nullopt;
    }

    bool isHealthyResponse(const std::string &, const HttpResponse &) const override
    {
        return true;
    }

    std::string correlationId(const std::vector<HeaderField> &) const override
    {
        return {};
    }

    bool isAnswerTo(std::string_view, const HttpResponse &) const override
    {
        return true;
    }

    BackendOutcome classifyAnswer(const HttpResponse &response) const override
    {
        const auto outcome = findHeader(response.headers, "Chicoryspar-Outcome");
        if (response.status == kServiceUnavailable && outcome == rowOf(Outcome::NotRun).name) {
            return {Outcome::NotRun, Reason::ShedByBackend};
        }
        return {};
    }

    AnswerSignals readSignals(const HttpResponse &response) const override
    {
        const auto limit = findHeader(response.headers, "Chicoryspar-Rate-Limit");
        return {.rateLimit = limit ? parseDecimal(*limit) : std::nullopt,
                .isLeaving = findHeader(response.headers, "Chicoryspar-Leaving") == "1"};
    }

    HttpResponse makeResponse(const RequestId &root, CallAnswer answer) const override;
};

EntryFields NativeEdge::readEntry(const HttpRequest &request) const
{
    EntryFields fields;
    if (const auto service = findHeader(request.headers, "Chicoryspar-Service")) {
        fields.service = std::string(*service);
    } else if (const auto host = findHeader(request.headers, "Host")) {
        fields.service = firstHostLabel(*host);
    }
    if (const auto caller = findHeader(request.headers, "Chicoryspar-Caller")) {
        fields.caller = std::string(*caller);
    }
    if (const auto root = findHeader(request.headers, "Chicoryspar-Root")) {
        fields.root = parseRequestId(*root);
        if (!fields.root || !fields.root->isValid()) {
            fields.findings.push_back({"Chicoryspar-Root", "expected a UUID other than zero"});
        }
    }
    if (const auto token = findHeader(request.headers, "Chicoryspar-Call")) {
        fields.parentToken = std::string(*token);
    }
    std::optional<std::uint64_t> timeout;
    readNumber(request, "Chicoryspar-Timeout-Ms", kMaxTimeoutMs, timeout, fields.findings);
    if (timeout) {
        fields.timeout = std::chrono::milliseconds(*timeout);
    }
    readNumber(request, "Chicoryspar-Retry-Tokens", kMaxRetryTokens, fields.retryTokens, fields.findings);
    fields.credential = bearerTokenDigest(request.headers);
    return fields;
}

HttpResponse NativeEdge::makeResponse(const RequestId &root, CallAnswer answer) const
{
    HttpResponse response;
    if (answer.outcome == Outcome::Answer) {
        response.status = answer.status;
        response.headers = std::move(answer.headers);
        removeReservedHeaders(response.headers);
        response.body = std::move(answer.body);
    } else {
        response = makeProblem(answer);
    }
    response.headers.push_back({"Chicoryspar-Outcome", std::string(rowOf(answer.outcome).name)});
    if (answer.reason != Reason::None) {
        response.headers.push_back({"Chicoryspar-Reason", std::string(rowOf(answer.reason).name)});
    }
    response.headers.push_back({"Chicoryspar-Root", toString(root)});
    response.headers.push_back({"Chicoryspar-Node", answer.node});
    response.headers.push_back({"Chicoryspar-Retry-Tokens-Left", std::to_string(answer.retryTokensLeft)});
    return response;
}

} // namespace

std::shared_ptr<const EdgeDialect> nativeEdgeDialect()
{
    static const auto s_dialect = std::make_shared<const NativeEdge>();
    return s_dialect;
}

} // namespace chicoryspar
