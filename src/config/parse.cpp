/// @file
/// Parsing of one object from JSON: metadata, spec and content hash.

#include "config/fields.h"

#include <algorithm>
#include <cassert>
#include <charconv>

namespace chicoryspar {
namespace {

constexpr std::size_t kMaxNameLength = 63;
constexpr std::string_view kTombstoneKey = "tombstone";
constexpr std::string_view kStoreEraKey = "storeEra";
constexpr std::string_view kDeclaredVersionKey = "declaredVersion";
constexpr std::array<std::string_view, 6> kTopLevelKeys{"apiVersion", "kind", "metadata", "spec", "status", kTombstoneKey};

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.';
}

bool isObjectName(std::string_view name)
{
    return !name.empty() && name.size() <= kMaxNameLength && std::all_of(name.begin(), name.end(), isNameCharacter);
}

std::string stringMember(const Json &json, std::string_view key)
{
    const auto it = json.find(std::string(key));
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

Json objectMember(const Json &json, std::string_view key)
{
    const auto it = json.find(std::string(key));
    return it != json.end() && it->is_object() ? *it : Json::object();
}

std::uint64_t numberMember(const Json &json, std::string_view key)
{
    const auto it = json.find(std::string(key));
    return it != json.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

void readVersion(const Json &metadata, ParsedObject &parsed, ObjectFindings &findings)
{
    const auto it = metadata.find("resourceVersion");
    if (it == metadata.end()) {
        return;
    }
    const auto text = it->is_string() ? it->get<std::string>() : std::string();
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), parsed.version);
    if (ec != std::errc() || text.empty() || end != text.data() + text.size()) {
        parsed.version = 0;
        findings.addFault("metadata.resourceVersion", "must be a string of decimal digits");
    }
}

/// Checks the version that the author declares. Without it, an object that has one in force would be ignored as older.
void checkDeclaredVersion(const Json &metadata, ObjectFindings &findings)
{
    const auto it = metadata.find(std::string(kDeclaredVersionKey));
    if (it != metadata.end() && !it->is_number_unsigned()) {
        findings.addFault("metadata.declaredVersion", "must be a whole number");
    }
}

ChangeNote readChangeNote(const Json &metadata)
{
    const auto annotations = objectMember(metadata, "annotations");
    return {
        .changeId = stringMember(annotations, kChangeIdAnnotation),
        .changedBy = stringMember(annotations, kChangedByAnnotation),
        .reason = stringMember(annotations, kReasonAnnotation),
        .changedAt = stringMember(annotations, kChangedAtAnnotation),
    };
}

void readEnvelope(const Json &json, ParsedObject &parsed, ObjectFindings &findings)
{
    if (stringMember(json, "apiVersion") != kApiVersion) {
        findings.addFault("apiVersion", "must be " + std::string(kApiVersion));
    }
    const auto kind = findObjectKind(stringMember(json, "kind"));
    parsed.kind = kind.value_or(ObjectKind::Count);
    if (!kind || stringMember(json, "kind") != rowOf(*kind).name) {
        findings.addFault("kind", "must be a known kind, spelled as in the API");
    }
    const auto metadata = objectMember(json, "metadata");
    parsed.name = stringMember(metadata, "name");
    if (!isObjectName(parsed.name)) {
        findings.addFault("metadata.name", "must be 1 to 63 lower-case letters, digits, hyphens and dots");
    }
    readVersion(metadata, parsed, findings);
    checkDeclaredVersion(metadata, findings);
    for (const auto &it : json.items()) {
        if (std::find(kTopLevelKeys.begin(), kTopLevelKeys.end(), it.key()) == kTopLevelKeys.end()) {
            findings.unknownKeys.push_back({it.key(), "isn't a known field"});
        }
    }
}

/// Returns the hash of what affects the behaviour of nodes: everything but the status (already removed), the version, the
/// store's era and the platform's managedFields. @a json is as before on return.
std::uint64_t hashContent(Json &json)
{
    const auto metadata = json["metadata"];
    json["metadata"].erase("resourceVersion");
    json["metadata"].erase("managedFields");
    json["metadata"].erase(std::string(kStoreEraKey));
    const auto hash = hashBytes(json.dump(-1, ' ', false, Json::error_handler_t::replace));
    json["metadata"] = metadata;
    return hash;
}

std::shared_ptr<const ConfigObject> makeObject(Json json, const ParsedObject &parsed, ObjectSpec spec)
{
    json.erase("status");
    json["metadata"].erase(std::string(kStoreEraKey));
    if (parsed.storeEra > 0) {
        json["metadata"][std::string(kStoreEraKey)] = parsed.storeEra;
    }
    const auto metadata = objectMember(json, "metadata");
    return std::make_shared<const ConfigObject>(ConfigObject{
        .kind = parsed.kind,
        .name = parsed.name,
        .version = parsed.version,
        .storeEra = parsed.storeEra,
        .declaredVersion = numberMember(metadata, kDeclaredVersionKey),
        .generation = numberMember(metadata, "generation"),
        .contentHash = hashContent(json),
        .change = readChangeNote(metadata),
        .spec = std::move(spec),
        .unusedParts = parsed.unusedParts,
        .text = json.dump(-1, ' ', false, Json::error_handler_t::replace),
    });
}

std::string objectPath(const ParsedObject &parsed)
{
    const auto kind = parsed.kind == ObjectKind::Count ? std::string_view("object") : rowOf(parsed.kind).name;
    return std::string(kind) + "/" + (parsed.name.empty() ? "?" : parsed.name);
}

std::vector<Finding> prefixFindings(const ParsedObject &parsed, std::vector<Finding> findings)
{
    for (auto &it : findings) {
        it.place = objectPath(parsed) + " " + it.place;
    }
    return findings;
}

} // namespace

ParsedObject parseObject(std::string_view json, std::optional<std::uint64_t> storeEra)
{
    ParsedObject parsed;
    if (json.size() > kMaxObjectBytes || exceedsNestingDepth(json)) {
        parsed.findings.push_back({"object", "must be at most 8 MiB of JSON, nested at most 32 levels deep"});
        return parsed;
    }
    auto value = Json::parse(json, nullptr, false);
    if (!value.is_object()) {
        parsed.findings.push_back({"object", "must be a JSON object"});
        return parsed;
    }
    ObjectFindings findings;
    readEnvelope(value, parsed, findings);
    const auto metadata = objectMember(value, "metadata");
    parsed.storeEra = storeEra.value_or(numberMember(metadata, kStoreEraKey));
    const bool isTombstone = value.value(std::string(kTombstoneKey), Json()) == true;
    if (isTombstone && findings.faults.empty() && parsed.version > 0) {
        const VersionOrder order{numberMember(metadata, kDeclaredVersionKey), {parsed.storeEra, parsed.version}};
        parsed.object = makeTombstone(parsed.kind, parsed.name, order, readChangeNote(metadata));
        return parsed;
    }
    ObjectSpec spec;
    if (parsed.kind != ObjectKind::Count) {
        const auto it = value.find("spec");
        static const auto s_empty = Json::object();
        spec = readSpec(parsed.kind, it == value.end() ? s_empty : *it, findings);
    }
    parsed.findings = prefixFindings(parsed, std::move(findings.faults));
    parsed.unusedParts = prefixFindings(parsed, std::move(findings.unusedParts));
    parsed.unknownKeys = prefixFindings(parsed, std::move(findings.unknownKeys));
    if (parsed.findings.empty()) {
        parsed.object = makeObject(std::move(value), parsed, std::move(spec));
    }
    return parsed;
}

std::shared_ptr<const ConfigObject> makeTombstone(ObjectKind kind, std::string_view name, std::uint64_t version, const ChangeNote &change)
{
    return makeTombstone(kind, name, VersionOrder{0, {0, version}}, change);
}

std::shared_ptr<const ConfigObject> makeTombstone(ObjectKind kind, std::string_view name, const VersionOrder &order,
                                                  const ChangeNote &change)
{
    const auto version = order.revision.number;
    assert(kind != ObjectKind::Count && version > 0);
    const auto path = std::string(rowOf(kind).name) + "/" + std::string(name) + " " + std::to_string(order.declared) + " "
        + std::to_string(order.revision.era);
    const Json annotations{{kChangeIdAnnotation, change.changeId},
                           {kChangedByAnnotation, change.changedBy},
                           {kReasonAnnotation, change.reason},
                           {kChangedAtAnnotation, change.changedAt}};
    Json json{{"apiVersion", kApiVersion},
              {"kind", rowOf(kind).name},
              {"metadata", {{"name", name}, {"resourceVersion", std::to_string(version)}, {"annotations", annotations}}},
              {kTombstoneKey, true}};
    if (order.declared > 0) {
        json["metadata"][std::string(kDeclaredVersionKey)] = order.declared;
    }
    if (order.revision.era > 0) {
        json["metadata"][std::string(kStoreEraKey)] = order.revision.era;
    }
    return std::make_shared<const ConfigObject>(ConfigObject{
        .kind = kind,
        .name = std::string(name),
        .version = version,
        .storeEra = order.revision.era,
        .declaredVersion = order.declared,
        .contentHash = hashBytes(path, version),
        .deleted = true,
        .change = change,
        .text = json.dump(-1, ' ', false, Json::error_handler_t::replace),
    });
}

} // namespace chicoryspar
