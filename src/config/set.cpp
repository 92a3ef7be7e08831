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
    const auto knownOrder = it == m_objects.end() ? VersionOrder() : it->second.object->order();
    if (object->order() <= knownOrder) {
        if (it != m_objects.end() && object->contentHash != it->second.object->contentHash) {
            m_ignored[key] = {.order = object->order(), .change = object->change, .at = now};
        }
        return ApplyResult::Stale;
    }
    if (it == m_objects.end() && m_objects.size() >= kMaxObjects && !evictOldestTombstone(object->order().revision)) {
        return ApplyResult::Full;
    }
    m_ignored.erase(key);
    forgetRefusal(*object);
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
    m_objects[key] = ObjectInForce{std::move(object), now};
    rebuildIndexes();
    return ApplyResult::InForce;
}

/// Removes the refusal of an earlier version of @a object.
void ConfigSet::forgetRefusal(const ConfigObject &object)
{
    const auto refused = m_refused.find(ObjectKey{object.kind, object.name});
    if (refused != m_refused.end() && StoreRevision{refused->second.storeEra, refused->second.version} <= object.order().revision) {
        m_refused.erase(refused);
    }
}

/// Evicts the tombstone with the lowest revision, provided that it is below @a revision.
/// @returns whether one was evicted
bool ConfigSet::evictOldestTombstone(const StoreRevision &revision)
{
    auto oldest = m_objects.end();
    for (auto it = m_objects.begin(); it != m_objects.end(); ++it) {
        const auto &object = *it->second.object;
        if (object.deleted && (oldest == m_objects.end() || object.order().revision < oldest->second.object->order().revision)) {
            oldest = it;
        }
    }
    if (oldest == m_objects.end() || oldest->second.object->order().revision >= revision) {
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
    const StoreRevision revision{parsed.storeEra, parsed.version};
    if (it != m_objects.end() && revision <= it->second.object->order().revision) {
        return ApplyResult::Stale;
    }
    auto &refused = m_refused[key];
    if (revision > StoreRevision{refused.storeEra, refused.version}) {
        refused = {.version = parsed.version, .storeEra = parsed.storeEra, .at = now, .findings = parsed.findings};
    }
    return ApplyResult::Refused;
}

std::uint64_t ConfigSet::digest() const
{
    return m_digest;
}

ObjectVersion versionOf(const ConfigObject &object)
{
    return {.key = hashKey(object.kind, object.name),
            .version = object.version,
            .contentHash = object.contentHash,
            .storeEra = object.storeEra,
            .declaredVersion = object.declaredVersion};
}

std::vector<ObjectVersion> ConfigSet::versions() const
{
    std::vector<ObjectVersion> list;
    list.reserve(m_objects.size());
    for (const auto &[key, entry] : m_objects) {
        list.push_back(versionOf(*entry.object));
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
            it == byKey.end() || (it->second.order() < entry.object->order() && it->second.contentHash != entry.object->contentHash);
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
