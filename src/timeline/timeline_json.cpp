/// @file
/// Events and time line as JSON.

#include <chicoryspar/timeline.h>

#include <nlohmann/json.hpp>

namespace chicoryspar {
namespace {

using Json = nlohmann::json;

/// Formats @a value without spaces; invalid UTF-8 is replaced.
std::string dumpJson(const Json &value)
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json toJson(const Event &event)
{
    Json value{{"at", event.at.value},
               {"time", toString(wallOf(event.at))},
               {"kind", rowOf(event.kind).name},
               {"node", event.node},
               {"sequence", event.sequence}};
    const std::array<std::pair<const char *, const std::string *>, 3> texts{
        {{"service", &event.service}, {"subject", &event.subject}, {"text", &event.text}}};
    for (const auto &[name, text] : texts) {
        if (!text->empty()) {
            value[name] = *text;
        }
    }
    if (event.reason != Reason::None) {
        value["reason"] = rowOf(event.reason).name;
    }
    if (event.root.isValid()) {
        value["root"] = toString(event.root);
    }
    if (event.value != 0) {
        value["value"] = event.value;
    }
    return value;
}

std::string textOf(const Json &value, const char *name)
{
    const auto it = value.find(name);
    return it != value.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::uint64_t numberOf(const Json &value, const char *name)
{
    const auto it = value.find(name);
    return it != value.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

/// Parses one event. A newer node may send a kind that this version doesn't have: such an event becomes a Decision, with the name of its
/// kind in front of the text. A reason that this version doesn't have is read as Reason::None.
Event parseEvent(const Json &value)
{
    Event event;
    event.at.value = numberOf(value, "at");
    event.node = textOf(value, "node");
    event.sequence = numberOf(value, "sequence");
    event.service = textOf(value, "service");
    event.subject = textOf(value, "subject");
    event.text = textOf(value, "text");
    event.root = parseRequestId(textOf(value, "root")).value_or(RequestId{});
    event.reason = findReason(textOf(value, "reason")).value_or(Reason::None);
    const auto kind = textOf(value, "kind");
    const auto knownKind = findEventKind(kind);
    event.kind = knownKind.value_or(EventKind::Decision);
    if (!knownKind) {
        event.text = kind + (event.text.empty() ? "" : " " + event.text);
    }
    const auto it = value.find("value");
    if (it != value.end() && it->is_number_integer()) {
        event.value = it->get<std::int64_t>();
    }
    return event;
}

} // namespace

std::string renderJson(const Timeline &timeline)
{
    Json value{{"events", Json::array()}, {"gaps", Json::array()}};
    for (const auto &it : timeline.events) {
        value["events"].push_back(toJson(it));
    }
    for (const auto &it : timeline.gaps) {
        value["gaps"].push_back({{"place", it.place}, {"text", it.text}});
    }
    return dumpJson(value) + "\n";
}

std::string formatPage(const EventPage &page)
{
    Json value{{"node", page.node}, {"boot", page.boot}, {"next", page.next}, {"dropped", page.dropped}, {"events", Json::array()}};
    for (const auto &it : page.events) {
        value["events"].push_back(toJson(it));
    }
    return dumpJson(value);
}

std::optional<EventPage> parsePage(std::string_view text, std::vector<Finding> &findings)
{
    const auto value = Json::parse(text, nullptr, false);
    if (!value.is_object()) {
        findings.push_back({"events", "expected a JSON object"});
        return std::nullopt;
    }
    const auto events = value.find("events");
    if (events == value.end() || !events->is_array()) {
        findings.push_back({"events.events", "expected an array"});
        return std::nullopt;
    }
    EventPage page{textOf(value, "node"), numberOf(value, "boot"), numberOf(value, "next"), numberOf(value, "dropped"), {}};
    for (std::size_t n = 0; n < events->size(); ++n) {
        const auto &it = (*events)[n];
        if (!it.is_object() || numberOf(it, "at") == 0) {
            findings.push_back({"events.events[" + std::to_string(n) + "]", "expected an object with a positive integer \"at\""});
            return std::nullopt;
        }
        page.events.push_back(parseEvent(it));
    }
    return page;
}

} // namespace chicoryspar
