/// @file
/// Paths, bodies and error statuses of the object API in docs/INTERFACES.md.

#include <chicoryspar/store.h>

#include <charconv>

#include <nlohmann/json.hpp>

namespace chicoryspar {
namespace {

using Json = nlohmann::json;

constexpr int kFirstSuccessStatus = 200;
constexpr int kFirstErrorStatus = 300;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerErrorStatus = 500;

std::optional<std::uint64_t> versionOf(const Json &object)
{
    if (!object.is_object() || !object.contains("metadata") || !object["metadata"].is_object()) {
        return std::nullopt;
    }
    const auto text = object["metadata"].value("resourceVersion", Json());
    if (!text.is_string()) {
        return std::nullopt;
    }
    const auto digits = text.get<std::string>();
    std::uint64_t version = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), version);
    return ec == std::errc() && end == digits.data() + digits.size() ? std::optional(version) : std::nullopt;
}

std::string encodeName(const std::string &name)
{
    constexpr std::string_view kDigits = "0123456789ABCDEF";
    std::string text;
    for (const char c : name) {
        const auto byte = static_cast<unsigned char>(c);
        const bool isPlain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_';
        if (isPlain) {
            text += c;
        } else {
            text += '%';
            text += kDigits[byte >> 4U];
            text += kDigits[byte & 0xFU];
        }
    }
    return text;
}

class NativeStore : public StoreDialect
{
public:
    std::vector<ObjectKind> kinds() const override
    {
        return {};
    }

    bool storesContacts() const override
    {
        return false;
    }

    std::string listPath(ObjectKind kind, const std::string &) const override
    {
        return "/apis/" + std::string(kApiVersion) + "/" + std::string(rowOf(kind).plural);
    }

    std::string objectPath(ObjectKind kind, const std::string &name) const override
    {
        return listPath(kind, {}) + "/" + encodeName(name);
    }

    std::string watchPath(const WatchRequest &request) const override
    {
        const auto seconds = std::max<std::int64_t>(toMilliseconds(request.duration) / 1000, 1);
        return listPath(request.kind, {}) + "?watch=true&allowWatchBookmarks=true&resourceVersion=" + std::to_string(request.version)
            + "&timeoutSeconds=" + std::to_string(seconds);
    }

    StoreCallParts createCall(ObjectKind kind, const std::string &object) const override
    {
        return {listPath(kind, {}), object};
    }

    StoreCallParts replaceCall(ObjectKind kind, const std::string &name, const std::string &object) const override
    {
        return {objectPath(kind, name), object};
    }

    StoreCallParts replaceStatusCall(ObjectKind kind, const std::string &name, const std::string &object) const override
    {
        return {objectPath(kind, name) + "/status", object};
    }

    StoreCallParts removeCall(ObjectKind kind, const std::string &name, std::uint64_t version) const override
    {
        const Json options{
            {"kind", "DeleteOptions"}, {"apiVersion", "v1"}, {"preconditions", {{"resourceVersion", std::to_string(version)}}}};
        return {objectPath(kind, name), options.dump()};
    }

    std::string eraHeader() const override
    {
        return "Chicoryspar-Store-Era";
    }

    std::error_code errorOf(int status, const std::string &body) const override;
    std::optional<ObjectPage> readPage(ObjectKind kind, const std::string &body) const override;

    std::optional<std::string> readObject(ObjectKind, const std::string &body) const override
    {
        return body;
    }

    bool streamsEvents() const override
    {
        return true;
    }

    std::optional<std::vector<StoreEvent>> readEvents(ObjectKind kind, const std::string &text) const override;
};

std::error_code NativeStore::errorOf(int status, const std::string &body) const
{
    if (status >= kFirstSuccessStatus && status < kFirstErrorStatus) {
        return {};
    }
    if (status < kFirstSuccessStatus || !isResponseStatus(status)) {
        return StoreError::Malformed;
    }
    switch (status) {
    case kNotFound:
        return StoreError::NotFound;
    case kGone:
        return StoreError::Expired;
    case kTooManyRequests:
        return StoreError::Throttled;
    case kConflict: {
        const auto json = Json::parse(body, nullptr, false);
        const bool exists = json.is_object() && json.value("reason", Json()) == "AlreadyExists";
        return exists ? StoreError::AlreadyExists : StoreError::Conflict;
    }
    default:
        return status >= kFirstServerErrorStatus ? StoreError::Unavailable : StoreError::Invalid;
    }
}

/// Returns a value of an answer; null when it can't be read or is nested too deeply.
Json parseMember(std::string_view text, std::string_view key)
{
    const auto member = findJsonMember(text, key);
    auto json = member && !exceedsNestingDepth(*member) ? Json::parse(*member, nullptr, false) : Json();
    if (json.is_discarded()) {
        json = nullptr;
    }
    return json;
}

/// Returns a listed object. One that can't be read as a whole keeps its kind and metadata, so that the product refuses it instead of taking
/// it for deleted.
std::string readableObject(std::string_view text)
{
    if (!exceedsNestingDepth(text) && Json::accept(text)) {
        return std::string(text);
    }
    const Json object{{"apiVersion", parseMember(text, "apiVersion")},
                      {"kind", parseMember(text, "kind")},
                      {"metadata", parseMember(text, "metadata")},
                      {"spec", Json()}};
    return object.dump();
}

std::optional<ObjectPage> NativeStore::readPage(ObjectKind, const std::string &body) const
{
    const auto version = versionOf(Json{{"metadata", parseMember(body, "metadata")}});
    const auto list = findJsonMember(body, "items");
    const auto items = list ? splitJsonArray(*list) : std::nullopt;
    if (!version || !items) {
        return std::nullopt;
    }
    ObjectPage page{.list = {.version = *version}};
    for (const auto it : *items) {
        page.list.objects.push_back(readableObject(it));
    }
    return page;
}

std::optional<std::vector<StoreEvent>> NativeStore::readEvents(ObjectKind, const std::string &text) const
{
    const auto type = parseMember(text, "type");
    const auto object = findJsonMember(text, "object");
    if (!type.is_string() || !object) {
        return std::nullopt;
    }
    const auto kind = findStoreEventKind(type.get<std::string>());
    const auto version = versionOf(Json{{"metadata", parseMember(*object, "metadata")}});
    if (!kind || (!version && *kind != StoreEventKind::Error)) {
        return std::nullopt;
    }
    return std::vector<StoreEvent>{{*kind, version.value_or(0), readableObject(*object)}};
}

} // namespace

std::shared_ptr<const StoreDialect> nativeStoreDialect()
{
    static const auto s_dialect = std::make_shared<const NativeStore>();
    return s_dialect;
}

std::string changeIdOf(const std::string &object)
{
    const auto json = Json::parse(object, nullptr, false);
    const Json::json_pointer annotations("/metadata/annotations");
    if (!json.is_object() || !json.contains(annotations) || !json[annotations].is_object()) {
        return {};
    }
    const auto id = json[annotations].value(std::string(kChangeIdAnnotation), Json());
    return id.is_string() ? id.get<std::string>() : std::string();
}

} // namespace chicoryspar
