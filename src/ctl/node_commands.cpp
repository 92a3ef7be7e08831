/// @file
/// Commands that query a node, and the wait until a change is in force on every node.

#include "ctl/objects.h"

#include <ostream>

namespace chicoryspar::ctl {
namespace {

constexpr Duration kPollPeriod = std::chrono::milliseconds(250);
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;

/// Parsed response of a node; json is valid if code is Ok.
struct ParsedAnswer
{
    ExitCode code = ExitCode::Ok;
    Json json;
};

ParsedAnswer readAnswer(CtlContext &context, const NodeAnswer &answer)
{
    auto json = Json::parse(answer.body, nullptr, false);
    if (answer.status == kStatusOk && json.is_object()) {
        return {ExitCode::Ok, std::move(json)};
    }
    if (answer.status == 0) {
        context.err << "the node can't be reached: " << answer.body << "\n";
        return {ExitCode::Failed, {}};
    }
    const auto title = json.is_object() ? json.value("title", std::string("error")) : std::string("error");
    const auto detail = json.is_object() ? json.value("detail", std::string()) : answer.body;
    context.err << title << ": " << detail << "\n";
    return {answer.status == kStatusNotFound ? ExitCode::NotFound : ExitCode::Failed, {}};
}

std::string textOf(const Json &json, const std::string &key)
{
    if (!json.is_object() || !json.contains(key)) {
        return {};
    }
    return json[key].is_string() ? json[key].get<std::string>() : json[key].dump();
}

std::string formatSeconds(const Json &json, const std::string &key)
{
    return json.contains(key) && json[key].is_number() ? std::to_string(json[key].get<std::int64_t>() / 1000) + " s" : std::string();
}

/// Prints the response if the output format is JSON.
/// @returns whether it was printed
bool printJson(CtlContext &context, const Json &json)
{
    if (context.options.format != OutputFormat::Json) {
        return false;
    }
    context.out << json.dump(2) << "\n";
    return true;
}

ExitCode postDrain(CtlContext &context, const std::string &action)
{
    const auto path = "/v1/" + action + "?by=" + encodeQuery(context.options.changedBy) + "&reason=" + encodeQuery(context.options.reason);
    const auto parsed = readAnswer(context, context.node->post(path));
    if (parsed.code == ExitCode::Ok && !printJson(context, parsed.json)) {
        const auto gate = parsed.json.value("gate", Json());
        context.out << textOf(parsed.json, "node") << ": backend server of " << textOf(gate, "service") << " is "
                    << textOf(gate, "readiness") << ", " << textOf(gate, "inFlight") << " in flight\n";
    }
    return parsed.code;
}

std::string inForcePath(const AwaitedChange &change)
{
    return "/v1/inforce?kind=" + std::string(chicoryspar::rowOf(change.kind).name) + "&name=" + encodeQuery(change.name)
        + "&version=" + std::to_string(change.version) + "&hash=" + std::to_string(change.contentHash);
}

std::string joinNames(const Json &names)
{
    std::string text;
    for (const auto &it : names) {
        text += (text.empty() ? "" : ", ") + (it.is_string() ? it.get<std::string>() : std::string());
    }
    return text;
}

/// Waits until one change is in force on every node.
/// @param left remaining time; reduced by the time waited
ExitCode waitForChange(CtlContext &context, const AwaitedChange &change, Duration &left)
{
    const auto label = std::string(chicoryspar::rowOf(change.kind).name) + "/" + change.name;
    std::string shown;
    while (true) {
        const auto parsed = readAnswer(context, context.node->get(inForcePath(change)));
        const auto members = parsed.code == ExitCode::Ok ? parsed.json.value("members", 0U) : 0U;
        const auto inForce = parsed.code == ExitCode::Ok ? parsed.json.value("inForce", 0U) : 0U;
        const auto progress = label + ": in force on " + std::to_string(inForce) + " of " + std::to_string(members) + " nodes";
        const bool isDone = members > 0 && inForce == members;
        if (context.options.isTerminal) {
            context.err << "\r" << progress << (isDone ? "\n" : "") << std::flush;
        } else if (isDone) {
            context.out << progress << "\n";
        }
        if (isDone) {
            return ExitCode::Ok;
        }
        if (left <= Duration::zero()) {
            context.err << "\n" << progress << "; not yet in force on: " << joinNames(parsed.json.value("waiting", Json::array())) << "\n";
            return ExitCode::NotEverywhere;
        }
        context.sleep(kPollPeriod);
        left -= kPollPeriod;
    }
}

/// Prints where a request would go: one table of what decides before the services, then one for the upstreams of each service.
ExitCode explainWhere(CtlContext &context, const std::vector<std::string> &arguments)
{
    const auto parsed =
        readAnswer(context,
                   context.node->get("/v1/explain/where?method=" + encodeQuery(arguments[1]) + "&host=" + encodeQuery(arguments[2])
                                     + "&path=" + encodeQuery(arguments[3]) + "&customer=" + encodeQuery(context.options.keyOf)));
    if (parsed.code != ExitCode::Ok || printJson(context, parsed.json)) {
        return parsed.code;
    }
    const auto &json = parsed.json;
    const auto route = json.value("route", Json::object());
    printTable(context.out,
               {{"node", textOf(json, "node")},
                {"route", textOf(route, "name") + (route.value("public", false) ? " (public)" : "")},
                {"customer", textOf(json, "customer")},
                {"class", textOf(json, "class") + ", importance " + textOf(json, "importance")},
                {"refusal", json.contains("refusal") ? textOf(json, "refusal") : "none"}});
    for (const auto &it : json.value("services", Json::array())) {
        context.out << "\nservice " << textOf(it, "service") << ", weight " << textOf(it, "weight") << ", entry level "
                    << textOf(it, "entryLevel") << (it.value("entryAdmits", false) ? " admits" : " refuses") << ", choice "
                    << textOf(it, "choice") << "\n";
        std::vector<std::vector<std::string>> rows{{"UPSTREAM", "TIER", "READY", "EJECTED", "ADMITS", "IN FLIGHT", "LATENCY MS", "WEIGHT"}};
        for (const auto &upstream : it.value("candidates", Json::array())) {
            rows.push_back({textOf(upstream, "node"), textOf(upstream, "tier"), textOf(upstream, "ready"), textOf(upstream, "ejected"),
                            textOf(upstream, "admits"), textOf(upstream, "inFlight"), textOf(upstream, "latencyMs"),
                            textOf(upstream, "weight")});
        }
        printTable(context.out, rows);
    }
    return ExitCode::Ok;
}

} // namespace

ExitCode showStatus(CtlContext &context, const std::vector<std::string> &)
{
    const auto parsed = readAnswer(context, context.node->get("/v1/status"));
    if (parsed.code != ExitCode::Ok || printJson(context, parsed.json)) {
        return parsed.code;
    }
    const auto &json = parsed.json;
    const auto config = json.value("configuration", Json::object());
    const auto gate = json.value("gate", Json::object());
    const auto store = config.contains("storeDownForMs") && config["storeDownForMs"].is_number()
        ? "down for " + formatSeconds(config, "storeDownForMs")
        : std::string("answers");
    printTable(context.out,
               {{"node", textOf(json, "node") + " (" + textOf(json, "region") + ", " + textOf(json, "zone") + ")"},
                {"version", textOf(json, "version")},
                {"up for", formatSeconds(json, "uptimeMs")},
                {"members", textOf(json, "members")},
                {"configuration", textOf(config, "objects") + " objects, digest " + textOf(config, "digest")},
                {"store", store},
                {"backend server", textOf(gate, "service") + " " + textOf(gate, "readiness")},
                {"limit",
                 textOf(gate, "limit") + " (" + textOf(gate, "limitReason") + "), " + textOf(gate, "inFlight") + " in flight, "
                     + textOf(gate, "queued") + " queued"},
                {"refused", textOf(gate, "refused")}});
    for (const auto &it : config.value("refused", Json::array())) {
        context.out << "refused object " << textOf(it, "object") << " version " << textOf(it, "version")
                    << "; the last valid version stays in force\n";
        for (const auto &finding : it.value("findings", Json::array())) {
            context.out << "  " << textOf(finding, "place") << ": " << textOf(finding, "text") << "\n";
        }
    }
    return ExitCode::Ok;
}

ExitCode showMembers(CtlContext &context, const std::vector<std::string> &)
{
    const auto parsed = readAnswer(context, context.node->get("/v1/members"));
    if (parsed.code != ExitCode::Ok || printJson(context, parsed.json)) {
        return parsed.code;
    }
    std::vector<std::vector<std::string>> rows{{"NAME", "STATE", "FOR", "SERVICE", "READINESS", "SLOTS", "ZONE", "REGION", "ADDRESS"}};
    for (const auto &it : parsed.json.value("members", Json::array())) {
        rows.push_back({textOf(it, "name"), textOf(it, "state"), formatSeconds(it, "forMs"), textOf(it, "service"), textOf(it, "readiness"),
                        textOf(it, "slots"), textOf(it, "zone"), textOf(it, "region"), textOf(it, "address")});
    }
    printTable(context.out, rows);
    return ExitCode::Ok;
}

ExitCode showHistory(CtlContext &context, const std::vector<std::string> &)
{
    const auto parsed = readAnswer(context, context.node->get("/v1/history"));
    if (parsed.code != ExitCode::Ok || printJson(context, parsed.json)) {
        return parsed.code;
    }
    std::vector<std::vector<std::string>> rows{{"OBJECT", "VERSION", "IN FORCE FOR", "CHANGED BY", "CHANGED AT", "REASON"}};
    for (const auto &it : parsed.json.value("changes", Json::array())) {
        const auto change = it.value("change", Json::object());
        const auto version = textOf(it, "version") + (it.value("deleted", false) ? " (deleted)" : "");
        rows.push_back({textOf(it, "object"), version, formatSeconds(it, "inForceForMs"), textOf(change, "changedBy"),
                        textOf(change, "changedAt"), textOf(change, "reason")});
    }
    printTable(context.out, rows);
    return ExitCode::Ok;
}

ExitCode showInForce(CtlContext &context, const std::vector<std::string> &arguments)
{
    const auto kind = arguments.size() == 3 ? findObjectKind(arguments[0]) : std::nullopt;
    if (!kind) {
        context.err << "expected arguments KIND NAME VERSION with a known kind\n";
        return ExitCode::Usage;
    }
    return waitInForce(context, {{*kind, arguments[1], std::strtoull(arguments[2].c_str(), nullptr, 10), 0}});
}

ExitCode explainCall(CtlContext &context, const std::vector<std::string> &arguments)
{
    // A path begins with a slash, so these arguments don't name a service "where".
    if (arguments.size() == 4 && arguments[0] == "where" && !arguments[2].starts_with('/')) {
        return explainWhere(context, arguments);
    }
    if (arguments.size() < 3) {
        context.err << "expected arguments SERVICE METHOD PATH [CALLER]\n";
        return ExitCode::Usage;
    }
    auto path =
        "/v1/explain?service=" + encodeQuery(arguments[0]) + "&method=" + encodeQuery(arguments[1]) + "&path=" + encodeQuery(arguments[2]);
    if (arguments.size() > 3) {
        path += "&caller=" + encodeQuery(arguments[3]);
    }
    const auto parsed = readAnswer(context, context.node->get(path));
    if (parsed.code != ExitCode::Ok || printJson(context, parsed.json)) {
        return parsed.code;
    }
    std::vector<std::vector<std::string>> rows{{"STEP", "VALUE", "OBJECT", "VERSION", "SET BY", "REASON"}};
    for (const auto &it : parsed.json.value("steps", Json::array())) {
        const auto change = it.value("change", Json::object());
        const auto version = it.value("version", 0U) == 0 ? std::string() : textOf(it, "version");
        rows.push_back({textOf(it, "what"), textOf(it, "value"), textOf(it, "object"), version, textOf(change, "changedBy"),
                        textOf(change, "reason")});
    }
    printTable(context.out, rows);
    return ExitCode::Ok;
}

ExitCode drainNode(CtlContext &context, const std::vector<std::string> &)
{
    return postDrain(context, "drain");
}

ExitCode undrainNode(CtlContext &context, const std::vector<std::string> &)
{
    return postDrain(context, "undrain");
}

ExitCode waitInForce(CtlContext &context, const std::vector<AwaitedChange> &changes)
{
    if (!context.node) {
        context.err << "waiting until the change is in force requires --node or $CHICORYSPAR_NODE\n";
        return ExitCode::NotEverywhere;
    }
    auto left = context.options.waitTimeout;
    for (const auto &it : changes) {
        const auto code = waitForChange(context, it, left);
        if (code != ExitCode::Ok) {
            return code;
        }
    }
    return ExitCode::Ok;
}

} // namespace chicoryspar::ctl
