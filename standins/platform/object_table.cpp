/// @file
/// In-memory object store of the stand-in platform.

#include "standins/platform/object_table.h"

#include <algorithm>

namespace chicoryspar::standin {
namespace {

constexpr int kCreated = 201;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr std::size_t kMaxLogEntries = 10'000;

std::string versionOf(const Json &object)
{
    return object.value(Json::json_pointer("/metadata/resourceVersion"), std::string());
}

ApiAnswer makeNotFound(const std::string &name)
{
    return makeErrorAnswer(kNotFound, "NotFound", "no object named " + name);
}

ApiAnswer makeConflict(const std::string &name)
{
    return makeErrorAnswer(kConflict, "Conflict", "the object " + name + " has been modified; read it again");
}

bool isWellFormed(const Json &object)
{
    return object.is_object() && object.value("metadata", Json()).is_object();
}

} // namespace

ApiAnswer makeErrorAnswer(int status, std::string_view reason, std::string_view message)
{
    return {status,
            {{"kind", "Status"}, {"apiVersion", "v1"}, {"status", "Failure"}, {"reason", reason}, {"message", message}, {"code", status}}};
}

Json *ObjectTable::findObject(ObjectKind kind, const std::string &name)
{
    const auto it = m_objects.find({kind, name});
    return it == m_objects.end() ? nullptr : &it->second;
}

void ObjectTable::logEvent(ObjectKind kind, const std::string &name, std::string_view type, const Json &object)
{
    if (m_log.size() >= kMaxLogEntries) {
        m_stateBeforeLog = stateAt(m_log.back().version);
        m_compactedVersion = m_log.back().version;
        m_log.clear();
    }
    m_log.push_back({m_version, kind, name, type, object});
}

ApiAnswer ObjectTable::create(WallTime wall, ObjectKind kind, Json object)
{
    const auto name = isWellFormed(object) ? object["metadata"].value("name", std::string()) : std::string();
    if (name.empty()) {
        return makeErrorAnswer(kUnprocessable, "Invalid", "metadata.name is missing");
    }
    if (findObject(kind, name)) {
        return makeErrorAnswer(kConflict, "AlreadyExists", "the object " + name + " exists already");
    }
    auto &metadata = object["metadata"];
    metadata["uid"] = "standin-" + std::to_string(++m_nextUid);
    metadata["generation"] = 1;
    metadata["creationTimestamp"] = formatTimestamp(wall);
    metadata["resourceVersion"] = std::to_string(++m_version);
    object.erase("status");
    m_objects[{kind, name}] = object;
    logEvent(kind, name, "ADDED", object);
    return {kCreated, std::move(object)};
}

ApiAnswer ObjectTable::read(ObjectKind kind, const std::string &name) const
{
    const auto it = m_objects.find({kind, name});
    return it == m_objects.end() ? makeNotFound(name) : ApiAnswer{.body = it->second};
}

ApiAnswer ObjectTable::commitUpdate(ObjectKind kind, const std::string &name, Json object)
{
    auto &stored = m_objects.at({kind, name});
    if (stored == object) {
        return {.body = std::move(object)};
    }
    object["metadata"]["resourceVersion"] = std::to_string(++m_version);
    stored = object;
    logEvent(kind, name, "MODIFIED", object);
    return {.body = std::move(object)};
}

ApiAnswer ObjectTable::replace(ObjectKind kind, const std::string &name, Json object)
{
    const auto *stored = findObject(kind, name);
    if (!stored) {
        return makeNotFound(name);
    }
    if (!isWellFormed(object) || versionOf(object).empty()) {
        return makeErrorAnswer(kUnprocessable, "Invalid", "metadata.resourceVersion is needed for an update");
    }
    if (versionOf(object) != versionOf(*stored)) {
        return makeConflict(name);
    }
    auto &metadata = object["metadata"];
    for (const auto *key : {"name", "uid", "creationTimestamp", "generation"}) {
        metadata[key] = (*stored)["metadata"][key];
    }
    if (object.value("spec", Json()) != stored->value("spec", Json())) {
        metadata["generation"] = metadata["generation"].get<std::uint64_t>() + 1;
    }
    object.erase("status");
    if (stored->contains("status")) {
        object["status"] = (*stored)["status"];
    }
    return commitUpdate(kind, name, std::move(object));
}

ApiAnswer ObjectTable::replaceStatus(ObjectKind kind, const std::string &name, const Json &object)
{
    const auto *stored = findObject(kind, name);
    if (!stored) {
        return makeNotFound(name);
    }
    if (!isWellFormed(object) || versionOf(object) != versionOf(*stored)) {
        return makeConflict(name);
    }
    auto next = *stored;
    next["status"] = object.value("status", Json::object());
    return commitUpdate(kind, name, std::move(next));
}

ApiAnswer ObjectTable::remove(ObjectKind kind, const std::string &name, const std::string &version)
{
    const auto *stored = findObject(kind, name);
    if (!stored) {
        return makeNotFound(name);
    }
    if (!version.empty() && version != versionOf(*stored)) {
        return makeConflict(name);
    }
    auto last = *stored;
    last["metadata"]["resourceVersion"] = std::to_string(++m_version);
    m_objects.erase({kind, name});
    logEvent(kind, name, "DELETED", last);
    return {.body = std::move(last)};
}

std::map<ObjectKey, Json> ObjectTable::stateAt(std::uint64_t version) const
{
    auto state = m_stateBeforeLog;
    for (const auto &it : m_log) {
        if (it.version > version) {
            break;
        }
        if (it.type == "DELETED") {
            state.erase({it.kind, it.name});
        } else {
            state[{it.kind, it.name}] = it.object;
        }
    }
    return state;
}

ApiAnswer ObjectTable::list(ObjectKind kind, std::uint64_t versionsBack) const
{
    const auto version = std::max(m_version - std::min(m_version, versionsBack), m_compactedVersion);
    const auto items = versionsBack == 0 ? m_objects : stateAt(version);
    Json answer{{"kind", std::string(rowOf(kind).name) + "List"},
                {"apiVersion", kApiVersion},
                {"metadata", {{"resourceVersion", std::to_string(version)}}},
                {"items", Json::array()}};
    for (const auto &[key, object] : items) {
        if (key.kind == kind) {
            answer["items"].push_back(object);
        }
    }
    return {.body = std::move(answer)};
}

std::vector<LoggedEvent> ObjectTable::eventsAfter(ObjectKind kind, std::uint64_t version) const
{
    std::vector<LoggedEvent> events;
    const auto first = std::upper_bound(m_log.begin(), m_log.end(), version,
                                        [](std::uint64_t value, const LoggedEvent &it) { return value < it.version; });
    std::copy_if(first, m_log.end(), std::back_inserter(events), [kind](const LoggedEvent &it) { return it.kind == kind; });
    return events;
}

std::uint64_t ObjectTable::version() const
{
    return m_version;
}

std::uint64_t ObjectTable::compactedVersion() const
{
    return m_compactedVersion;
}

void ObjectTable::compact()
{
    m_stateBeforeLog = m_objects;
    m_log.clear();
    m_compactedVersion = m_version;
}

void ObjectTable::restore(std::uint64_t versionsBack)
{
    m_version = std::max(m_version - std::min(m_version, versionsBack), m_compactedVersion);
    m_objects = stateAt(m_version);
    std::erase_if(m_log, [this](const LoggedEvent &it) { return it.version > m_version; });
    ++m_era;
}

std::uint64_t ObjectTable::era() const
{
    return m_era;
}

} // namespace chicoryspar::standin
