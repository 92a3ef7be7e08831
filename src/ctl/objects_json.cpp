/// @file
/// Parsing, merging and comparison of JSON objects.

#include "ctl/objects.h"

#include <algorithm>
#include <ostream>
#include <sstream>

namespace chicoryspar::ctl {
namespace {

const Json::json_pointer kAnnotations("/metadata/annotations");

/// Metadata fields that the platform or this client maintains.
constexpr std::array<std::string_view, 6> kManagedMetadata{"resourceVersion",   "generation",    "uid",
                                                           "creationTimestamp", "managedFields", "annotations"};

Json withoutManagedFields(const Json &object)
{
    Json part = object.is_object() ? object : Json::object();
    part.erase("status");
    if (part.contains("metadata") && part["metadata"].is_object()) {
        for (const auto key : kManagedMetadata) {
            part["metadata"].erase(std::string(key));
        }
    }
    return part;
}

std::string dottedPath(const std::string &pointer)
{
    std::istringstream parts(pointer);
    std::string path;
    for (std::string part; std::getline(parts, part, '/');) {
        if (part.empty()) {
            continue;
        }
        const bool isIndex = !part.empty() && std::all_of(part.begin(), part.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
        path += isIndex ? "[" + part + "]" : (path.empty() ? "" : ".") + part;
    }
    return path;
}

std::string annotationOf(const Json &object, std::string_view key)
{
    if (!object.is_object() || !object.contains(kAnnotations) || !object.at(kAnnotations).is_object()) {
        return {};
    }
    const auto value = object.at(kAnnotations).value(std::string(key), Json());
    return value.is_string() ? value.get<std::string>() : std::string();
}

/// Copies the fields of @a stored that are listed in @a unknown and missing in @a wanted.
/// @param place path of the object within the stored one
void keepUnknownFields(const Json &stored, Json &wanted, const std::string &place, const std::vector<Finding> &unknown)
{
    for (const auto &it : stored.items()) {
        const auto suffix = " " + place + "." + it.key();
        const bool isUnknown =
            std::any_of(unknown.begin(), unknown.end(), [&suffix](const Finding &finding) { return finding.place.ends_with(suffix); });
        if (isUnknown && !wanted.contains(it.key())) {
            wanted[it.key()] = it.value();
        }
    }
}

/// Copies unknown fields of methods with the same name.
void keepUnknownMethodFields(const Json &stored, Json &wanted, const std::vector<Finding> &unknown)
{
    for (std::size_t n = 0; n < stored.size(); ++n) {
        for (auto &it : wanted) {
            if (it.is_object() && stored[n].is_object() && it.value("name", Json()) == stored[n].value("name", Json())) {
                keepUnknownFields(stored[n], it, "spec.methods[" + std::to_string(n) + "]", unknown);
            }
        }
    }
}

/// Parses one JSON value and leaves the rest in the stream; null on a syntax error.
Json parseNextValue(std::istream &in)
{
    try {
        Json value;
        in >> value;
        return value;
    } catch (const Json::parse_error &) {
        return {};
    }
}

/// Removes the first segment of a path such as "methods[0].name" from @a rest and returns it.
std::string takePathSegment(std::string &rest)
{
    const auto end = rest.find_first_of(".[", 1);
    auto part = rest.substr(0, end);
    rest = end == std::string::npos ? std::string() : rest.substr(rest[end] == '.' ? end + 1 : end);
    return part;
}

} // namespace

ParsedObjects parseObjectsText(const std::string &text)
{
    ParsedObjects read;
    std::istringstream in(text);
    while (in >> std::ws && !in.eof()) {
        const auto value = parseNextValue(in);
        const auto place = "object " + std::to_string(read.objects.size() + 1);
        if (value.is_array()) {
            read.objects.insert(read.objects.end(), value.begin(), value.end());
        } else if (value.is_object() && value.contains("items") && value["items"].is_array()) {
            read.objects.insert(read.objects.end(), value["items"].begin(), value["items"].end());
        } else if (value.is_object()) {
            read.objects.push_back(value);
        } else {
            read.findings.push_back({place, "expected a JSON object or an array of them"});
            break;
        }
    }
    if (read.objects.empty() && read.findings.empty()) {
        read.findings.push_back({"file", "expected at least one object"});
    }
    return read;
}

std::vector<FieldDifference> findDifferences(const Json &before, const Json &after)
{
    auto flatBefore = withoutManagedFields(before).flatten();
    auto flatAfter = withoutManagedFields(after).flatten();
    // flatten() of an empty object gives one entry with an empty key.
    flatBefore.erase("");
    flatAfter.erase("");
    std::vector<FieldDifference> differences;
    for (const auto &it : flatBefore.items()) {
        const auto other = flatAfter.find(it.key());
        if (other == flatAfter.end()) {
            differences.push_back({dottedPath(it.key()), it.value().dump(), {}});
        } else if (*other != it.value()) {
            differences.push_back({dottedPath(it.key()), it.value().dump(), other->dump()});
        }
    }
    for (const auto &it : flatAfter.items()) {
        if (!flatBefore.contains(it.key())) {
            differences.push_back({dottedPath(it.key()), {}, it.value().dump()});
        }
    }
    return differences;
}

void printDifferences(std::ostream &out, const std::vector<FieldDifference> &differences)
{
    for (const auto &it : differences) {
        if (!it.before.empty()) {
            out << "  - " << it.path << ": " << it.before << "\n";
        }
        if (!it.after.empty()) {
            out << "  + " << it.path << ": " << it.after << "\n";
        }
    }
}

Json mergeObjects(const Json &stored, const Json &wanted)
{
    auto merged = stored;
    merged.erase("status");
    for (const auto &it : wanted.items()) {
        if (it.key() != "metadata" && it.key() != "status") {
            merged[it.key()] = it.value();
        }
    }
    const auto metadata = wanted.value("metadata", Json::object());
    for (const auto &it : metadata.items()) {
        if (it.key() == "annotations" && it.value().is_object()) {
            merged["metadata"]["annotations"].update(it.value());
        } else if (std::find(kManagedMetadata.begin(), kManagedMetadata.end(), it.key()) == kManagedMetadata.end()) {
            merged["metadata"][it.key()] = it.value();
        }
    }
    const auto unknown = parseObject(stored.dump()).unknownKeys;
    if (merged.contains("spec") && merged["spec"].is_object() && stored.value("spec", Json()).is_object()) {
        keepUnknownFields(stored["spec"], merged["spec"], "spec", unknown);
        if (merged["spec"].contains("methods") && stored["spec"].contains("methods")) {
            keepUnknownMethodFields(stored["spec"]["methods"], merged["spec"]["methods"], unknown);
        }
    }
    return merged;
}

void addChangeNote(Json &object, const ChangeNote &change)
{
    auto &annotations = object["metadata"]["annotations"];
    annotations[std::string(kChangeIdAnnotation)] = change.changeId;
    annotations[std::string(kChangedByAnnotation)] = change.changedBy;
    annotations[std::string(kReasonAnnotation)] = change.reason;
    annotations[std::string(kChangedAtAnnotation)] = change.changedAt;
}

std::optional<Finding> setField(Json &object, const std::string &path, const std::string &value)
{
    auto *target = &object;
    for (auto rest = path; !rest.empty();) {
        const auto part = takePathSegment(rest);
        if (part.starts_with('[')) {
            const auto index = std::strtoull(part.c_str() + 1, nullptr, 10);
            if (!target->is_array() || index >= target->size()) {
                return Finding{path, "no such array element: " + part};
            }
            target = &(*target)[index];
            continue;
        }
        if (part.empty() || (!target->is_object() && !target->is_null())) {
            return Finding{path, "not an object; can't select " + part};
        }
        target = &(*target)[part];
    }
    const auto json = Json::parse(value, nullptr, false);
    *target = json.is_discarded() ? Json(value) : json;
    return std::nullopt;
}

std::string versionOf(const Json &object)
{
    const Json::json_pointer pointer("/metadata/resourceVersion");
    return object.is_object() && object.contains(pointer) && object.at(pointer).is_string() ? object.at(pointer).get<std::string>()
                                                                                            : std::string();
}

std::string describeLastChange(const Json &object)
{
    const auto by = annotationOf(object, kChangedByAnnotation);
    const auto reason = annotationOf(object, kReasonAnnotation);
    const auto at = annotationOf(object, kChangedAtAnnotation);
    return "version " + versionOf(object) + (by.empty() ? std::string(" by an unknown author") : " by " + by)
        + (at.empty() ? "" : " at " + at) + (reason.empty() ? "" : " (" + reason + ")");
}

} // namespace chicoryspar::ctl
