/// @file
/// ConfigSync, store side: schedule of store calls, and processing of their results.

#include "config/config_sync.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace chicoryspar {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

Duration drawDuration(Random &random, Duration low, Duration high)
{
    assert(low <= high);
    return low + Duration(static_cast<Duration::rep>(drawUnit(random) * static_cast<double>((high - low).count())));
}

} // namespace

ConfigSync::ConfigSync(ConfigSyncOptions options, TimePoint now, Random &random)
    : m_options(std::move(options))
    , m_storeTokens(m_options.storeBurst)
    , m_storeTokensUpdatedAt(now)
{
    m_nextStoreCallAt = now + drawDuration(random, Duration::zero(), m_options.startWindow);
    // Until members are known, the node acts as the only one of its zone.
    m_isWatcher = true;
}

ConfigSync::KindState &ConfigSync::kindState(ObjectKind kind)
{
    return m_kinds.at(static_cast<std::size_t>(kind));
}

bool ConfigSync::isSynced(ObjectKind kind) const
{
    const auto &kinds = m_options.kinds;
    return rowOf(kind).isConfiguration && (kinds.empty() || std::find(kinds.begin(), kinds.end(), kind) != kinds.end());
}

bool ConfigSync::takeStoreToken(TimePoint now)
{
    const auto syncedKinds = static_cast<double>(std::count_if(
        m_kinds.begin(), m_kinds.end(), [this](const KindState &it) { return isSynced(static_cast<ObjectKind>(&it - m_kinds.data())); }));
    const double watchesPerSecond = kMicrosecondsPerSecond / static_cast<double>(m_options.watchDuration.count()) * syncedKinds;
    const double refill = static_cast<double>((now - m_storeTokensUpdatedAt).count()) / kMicrosecondsPerSecond
        * (m_options.storeCallsPerSecond + watchesPerSecond);
    m_storeTokens = std::min(m_options.storeBurst, m_storeTokens + refill);
    m_storeTokensUpdatedAt = now;
    if (m_storeTokens < 1) {
        return false;
    }
    m_storeTokens -= 1;
    return true;
}

Duration ConfigSync::drawAuditPeriod(Random &random) const
{
    const auto period = std::max(m_options.minAuditPeriod, m_options.auditPerMember * static_cast<Duration::rep>(m_memberCount));
    return drawDuration(random, period / 2, period + period / 2);
}

void ConfigSync::setMembers(TimePoint now, Random &random, std::span<const NodeId> zoneMembers, std::size_t memberCount)
{
    const bool wasAlone = m_memberCount == 1;
    m_memberCount = std::max<std::size_t>(memberCount, 1);
    std::vector<NodeId> ranked(zoneMembers.begin(), zoneMembers.end());
    sortByRank(ranked, hashBytes(m_options.zone));
    const auto rank = static_cast<std::size_t>(std::find(ranked.begin(), ranked.end(), m_options.self) - ranked.begin());
    const bool wasWatcher = m_isWatcher;
    m_isWatcher = rank < m_options.watchersPerZone || rank == ranked.size();
    if (m_isWatcher && wasAlone && m_memberCount > 1 && !m_storeDownSince) {
        m_nextStoreCallAt = std::min(m_nextStoreCallAt, now + drawDuration(random, Duration::zero(), m_options.minBackoff));
    }
    if (m_isWatcher == wasWatcher) {
        return;
    }
    for (auto &it : m_kinds) {
        it.nextListAt = m_isWatcher ? now : now + drawAuditPeriod(random);
    }
    if (m_isWatcher) {
        m_nextStoreCallAt = std::max(m_nextStoreCallAt, now + drawDuration(random, Duration::zero(), m_options.minBackoff));
    }
}

std::optional<StoreCall> ConfigSync::nextCall(TimePoint now, ObjectKind kind, KindState &state)
{
    if (state.hasOpenCall) {
        return std::nullopt;
    }
    if (m_isWatcher && state.isListed && now < state.nextListAt) {
        return StoreCall{StoreCallKind::Watch, kind, state.resumeVersion, m_options.watchDuration};
    }
    if (now >= state.nextListAt) {
        return StoreCall{.callKind = StoreCallKind::List, .kind = kind};
    }
    return std::nullopt;
}

std::vector<StoreCall> ConfigSync::takeStoreCalls(TimePoint now, Random &random)
{
    std::vector<StoreCall> calls;
    for (std::size_t n = 0; n < m_kinds.size() && now >= m_nextStoreCallAt; ++n) {
        const auto kind = static_cast<ObjectKind>(n);
        const auto call = isSynced(kind) ? nextCall(now, kind, m_kinds[n]) : std::nullopt;
        if (!call || !takeStoreToken(now)) {
            continue;
        }
        m_kinds[n].hasOpenCall = true;
        m_kinds[n].callStartedAt = now;
        calls.push_back(*call);
        auto &counter = call->callKind == StoreCallKind::List ? m_counters.listCalls : m_counters.watchCalls;
        ++counter;
        if (m_storeDownSince) {
            // While the store is down, one call per backoff probes whether it answers again.
            m_nextStoreCallAt = now + drawDuration(random, m_backoff / 2, m_backoff);
        }
    }
    return calls;
}

void ConfigSync::recordStoreSuccess()
{
    m_storeDownSince.reset();
    m_silentSince.reset();
    m_backoff = Duration::zero();
}

void ConfigSync::recordStoreFailure(TimePoint now, Random &random)
{
    ++m_counters.failedCalls;
    if (!m_storeDownSince) {
        m_storeDownSince = now;
    }
    m_backoff = std::clamp(m_backoff * 2, m_options.minBackoff, m_options.maxBackoff);
    m_nextStoreCallAt = std::max(m_nextStoreCallAt, now + drawDuration(random, m_backoff / 2, m_backoff));
}

void ConfigSync::recordSilentCall(TimePoint now, Random &random, KindState &state)
{
    state.nextListAt = now;
    if (m_storeDownSince || (m_silentSince && state.callStartedAt >= *m_silentSince)) {
        recordStoreFailure(now, random);
        return;
    }
    ++m_counters.failedCalls;
    m_silentSince = m_silentSince.value_or(now);
}

void ConfigSync::adoptStoreEra(TimePoint now, std::uint64_t era)
{
    if (era <= m_storeEra) {
        return;
    }
    m_storeEra = era;
    m_storeEraSince = now;
    for (auto &it : m_kinds) {
        it.resumeVersion = 0;
        it.nextListAt = m_isWatcher ? now : it.nextListAt;
    }
}

void ConfigSync::onListed(TimePoint now, Random &random, ObjectKind kind, const StoreRevision &at, std::span<const ParsedObject> objects)
{
    if (at.era < m_storeEra) {
        kindState(kind).hasOpenCall = false;
        ++m_counters.earlierEraLists;
        recordStoreFailure(now, random);
        return;
    }
    recordStoreSuccess();
    const auto previousDigest = digest();
    adoptStoreEra(now, at.era);
    for (const auto &it : objects) {
        applyObject(now, it);
    }
    applyDeletions(now, kind, at, objects);
    auto &state = kindState(kind);
    state.hasOpenCall = false;
    state.isListed = true;
    state.resumeVersion = std::max(state.resumeVersion, at.number);
    state.nextListAt = now + drawAuditPeriod(random);
    m_isConfigured = m_isConfigured || std::all_of(m_kinds.begin(), m_kinds.end(), [this](const KindState &it) {
                         return it.isListed || !isSynced(static_cast<ObjectKind>(&it - m_kinds.data()));
                     });
    recordFormerDigest(now, previousDigest);
}

std::uint64_t ConfigSync::storeEra() const
{
    return m_storeEra;
}

std::size_t ConfigSync::lostObjectCount() const
{
    std::size_t count = 0;
    for (const auto &it : m_kinds) {
        count += it.lostObjects;
    }
    return count;
}

/// Adds a tombstone for each object in force that is older than the list but missing from it. An object of an earlier era was either
/// lost by the store or deleted after its return, which the list can't tell; it stays in force for lostObjectRetention.
void ConfigSync::applyDeletions(TimePoint now, ObjectKind kind, const StoreRevision &at, std::span<const ParsedObject> objects)
{
    std::set<std::string_view> listed;
    for (const auto &it : objects) {
        listed.insert(it.name);
    }
    auto &lostObjects = kindState(kind).lostObjects;
    lostObjects = 0;
    for (const auto &it : m_set.objectsInForce()) {
        const auto order = it.object->order();
        if (it.object->kind != kind || order.revision >= at || listed.contains(it.object->name)) {
            continue;
        }
        if (order.revision.era < at.era && now - m_storeEraSince < m_options.lostObjectRetention) {
            ++lostObjects;
            continue;
        }
        m_set.applyObject(now, makeTombstone(kind, it.object->name, VersionOrder{order.declared, at}));
    }
}

void ConfigSync::applyDeletion(TimePoint now, ObjectKind kind, const WatchEvent &event)
{
    if (event.version == 0 || event.object.name.empty()) {
        return;
    }
    const auto *known = m_set.findIncludingDeleted(kind, event.object.name);
    const auto declared =
        std::max(known ? known->object->declaredVersion : 0, event.object.object ? event.object.object->declaredVersion : 0);
    const auto change = event.object.object ? event.object.object->change : ChangeNote();
    m_set.applyObject(now, makeTombstone(kind, event.object.name, VersionOrder{declared, {event.storeEra, event.version}}, change));
}

void ConfigSync::onListFailed(TimePoint now, Random &random, ObjectKind kind, StoreCallEnd end)
{
    kindState(kind).hasOpenCall = false;
    if (end == StoreCallEnd::Silent) {
        recordSilentCall(now, random, kindState(kind));
    } else {
        recordStoreFailure(now, random);
    }
    if (!m_isWatcher) {
        // Only watchers probe a failed store; the other members retry at their next audit.
        for (auto &it : m_kinds) {
            it.nextListAt = std::max(it.nextListAt, now + drawAuditPeriod(random));
        }
    }
}

void ConfigSync::onWatchEvent(TimePoint now, ObjectKind kind, const WatchEvent &event)
{
    if (event.storeEra < m_storeEra) {
        return;
    }
    recordStoreSuccess();
    auto &state = kindState(kind);
    const auto previousDigest = digest();
    adoptStoreEra(now, event.storeEra);
    switch (event.eventKind) {
    case WatchEventKind::Changed:
        applyObject(now, event.object);
        break;
    case WatchEventKind::Deleted:
        applyDeletion(now, kind, event);
        break;
    default:
        state.resumeVersion = std::max(state.resumeVersion, event.version);
        break;
    }
    recordFormerDigest(now, previousDigest);
}

void ConfigSync::onWatchEnded(TimePoint now, Random &random, ObjectKind kind, StoreCallEnd end)
{
    auto &state = kindState(kind);
    state.hasOpenCall = false;
    switch (end) {
    case StoreCallEnd::Done:
        recordStoreSuccess();
        break;
    case StoreCallEnd::Expired:
        recordStoreSuccess();
        state.isListed = false;
        state.nextListAt = now;
        break;
    case StoreCallEnd::Silent:
        recordSilentCall(now, random, state);
        break;
    default:
        // The store may have returned from a copy meanwhile; a watch from a revision that was given out again would miss changes.
        state.nextListAt = now;
        recordStoreFailure(now, random);
        break;
    }
}

void ConfigSync::applyObject(TimePoint now, const ParsedObject &object)
{
    m_set.applyParsed(now, object);
}

} // namespace chicoryspar
