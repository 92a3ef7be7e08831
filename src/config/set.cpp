/// @file
/// The configuration set: accepts only increasing versions of each object, and keeps tombstones of deleted ones.

#include <chicoryspar/config.h>

#include <algorithm>
#include <cassert>

namespace chicoryspar {
namespace {

std::uint64_t hashKey(ObjectKind kind, std::string_view name)
{
    return hashBytes(name, static_cast<std::uint64_t>(kind) + 1);
}

/// Returns what one object adds to the digest. The digest is the sum over all objects, so their order doesn't matter.
std::uint64_t digestContribution(const ConfigObject &object)
{
    const std::array<std::uint64_t, 2> parts{hashKey(object.kind, object.name), object.contentHash};
    return hashBytes({reinterpret_cast<const char *>(parts.data()), sizeof parts});
}

} // namespace

ApplyResult ConfigSet::applyObject(TimePoint now, std::shared_ptr<const ConfigObject> object)
{
    assert(object && object->kind != ObjectKind::Count);
    const ObjectKey key{object->kind, object->name};
    const auto it = m_objects.find(key);
    const auto knownVersion = it == m_objects.end() ? 0 : it->second.object->version;
    if (object->version <= knownVersion) {
        if (object->contentHash != it->second.object->contentHash) {
            m_ignored[key] = {.version = object->version, .change = object->change, .at = now};
        }
        return ApplyResult::Stale;
    }
    if (it == m_objects.end() && m_objects.size() >= kMaxObjects && !evictOldestTombstone(object->version)) {
        return ApplyResult::Full;
    }
    if (it != m_objects.end() && it->second.object->contentHash == object->contentHash) {
        it->second.object = std::move(object);
        rebuildIndexes();
        return ApplyResult::SameContent;
    }
    if (it != m_objects.end()) {
        m_digest -= digestContribution(*it->second.object);
    }
    m_digest += digestContribution(*object);
    m_history.push_back({key, object->version, object->deleted, now, object->change});
    ++m_changeCount;
    if (m_history.size() > kChangeHistoryLength) {
        m_history.pop_front();
    }
    const auto refused = m_refused.find(key);
    if (refused != m_refused.end() && refused->second.version <= object->version) {
        m_refused.erase(refused);
    }
    m_objects[key] = ObjectInForce{std::move(object), now};
    rebuildIndexes();
    return ApplyResult::InForce;
}

/// Evicts the tombstone with the lowest version, provided that it is below @a version.
/// @returns whether one was evicted
bool ConfigSet::evictOldestTombstone(std::uint64_t version)
{
    auto oldest = m_objects.end();
    for (auto it = m_objects.begin(); it != m_objects.end(); ++it) {
        const auto &object = *it->second.object;
        if (object.deleted && (oldest == m_objects.end() || object.version < oldest->second.object->version)) {
            oldest = it;
        }
    }
    if (oldest == m_objects.end() || oldest->second.object->version >= version) {
        return false;
    }
    m_digest -= digestContribution(*oldest->second.object);
    m_objects.erase(oldest);
    return true;
}

ApplyResult ConfigSet::applyParsed(TimePoint now, const ParsedObject &parsed)
{
    if (parsed.object) {
        return applyObject(now, parsed.object);
    }
    if (parsed.kind == ObjectKind::Count || parsed.name.empty() || m_refused.size() >= kMaxObjects) {
        return ApplyResult::Refused;
    }
    const ObjectKey key{parsed.kind, parsed.name};
    const auto it = m_objects.find(key);
    if (it != m_objects.end() && parsed.version <= it->second.object->version) {
        return ApplyResult::Stale;
    }
    auto &refused = m_refused[key];
    if (parsed.version > refused.version) {
        refused = {parsed.version, now, parsed.findings};
    }
    return ApplyResult::Refused;
}

std::uint64_t ConfigSet::digest() const
{
    return m_digest;
}

std::vector<ObjectVersion> ConfigSet::versions() const
{
    std::vector<ObjectVersion> list;
    list.reserve(m_objects.size());
    for (const auto &[key, entry] : m_objects) {
        list.push_back({hashKey(key.kind, key.name), entry.object->version, entry.object->contentHash});
    }
    return list;
}

std::vector<std::shared_ptr<const ConfigObject>> ConfigSet::objectsNewerThan(std::span<const ObjectVersion> known) const
{
    std::unordered_map<std::uint64_t, ObjectVersion> byKey;
    for (const auto &it : known) {
        byKey.emplace(it.key, it);
    }
    std::vector<std::shared_ptr<const ConfigObject>> newer;
    for (const auto &[key, entry] : m_objects) {
        const auto it = byKey.find(hashKey(key.kind, key.name));
        const bool isNewer =
            it == byKey.end() || (it->second.version < entry.object->version && it->second.contentHash != entry.object->contentHash);
        if (isNewer) {
            newer.push_back(entry.object);
        }
    }
    return newer;
}

const ObjectInForce *ConfigSet::findIncludingDeleted(ObjectKind kind, std::string_view name) const
{
    const auto it = m_objects.find(ObjectKey{kind, std::string(name)});
    return it == m_objects.end() ? nullptr : &it->second;
}

const ObjectInForce *ConfigSet::find(ObjectKind kind, std::string_view name) const
{
    const auto *entry = findIncludingDeleted(kind, name);
    return entry && !entry->object->deleted ? entry : nullptr;
}

std::vector<ObjectInForce> ConfigSet::objectsInForce() const
{
    std::vector<ObjectInForce> list;
    for (const auto &[key, entry] : m_objects) {
        if (!entry.object->deleted) {
            list.push_back(entry);
        }
    }
    return list;
}

const std::map<ObjectKey, RefusedObject> &ConfigSet::refusedObjects() const
{
    return m_refused;
}

const std::map<ObjectKey, IgnoredObject> &ConfigSet::ignoredObjects() const
{
    return m_ignored;
}

const std::deque<AppliedChange> &ConfigSet::history() const
{
    return m_history;
}

std::uint64_t ConfigSet::changeCount() const
{
    return m_changeCount;
}

std::size_t ConfigSet::size() const
{
    return m_objects.size();
}

std::vector<Finding> ConfigSet::checkReferences() const
{
    std::vector<std::shared_ptr<const ConfigObject>> objects;
    for (const auto &it : objectsInForce()) {
        objects.push_back(it.object);
    }
    return chicoryspar::checkReferences(objects);
}

} // namespace chicoryspar
