/// @file
/// Performs the I/O that ConfigSync asks for.

#include "node/control/config_driver.h"

#include "config/store_timeouts.h"
#include "node/clock.h"
#include "node/log.h"
#include "node/peers/peer_set.h"

namespace chicoryspar {
namespace {

constexpr Duration kTimerPeriod = std::chrono::milliseconds(100);
/// Number of unused parts of one object that are named in the log.
constexpr std::size_t kMaxNamedParts = 10;

/// Objects of a list call, parsed outside the node's thread.
struct ParsedList
{
    StoreRevision at;
    std::vector<ParsedObject> objects;
};

ParsedList parseObjects(const ObjectList &list)
{
    ParsedList parsed{.at = {list.era, list.version}};
    for (const auto &it : list.objects) {
        parsed.objects.push_back(parseObject(it, list.era));
    }
    return parsed;
}

WatchEvent parseWatchEvent(const StoreEvent &event)
{
    if (event.kind == StoreEventKind::Bookmark) {
        return {.eventKind = WatchEventKind::Bookmark, .version = event.version, .storeEra = event.era};
    }
    const bool isDeletion = event.kind == StoreEventKind::Deleted;
    return {.eventKind = isDeletion ? WatchEventKind::Deleted : WatchEventKind::Changed,
            .version = event.version,
            .object = parseObject(event.object, event.era),
            .storeEra = event.era};
}

StoreCallEnd toCallEnd(std::error_code ec)
{
    if (!ec) {
        return StoreCallEnd::Done;
    }
    if (ec == StoreError::TimedOut) {
        return StoreCallEnd::Silent;
    }
    return ec == StoreError::Expired ? StoreCallEnd::Expired : StoreCallEnd::Failed;
}

std::string subjectOf(const ObjectKey &key)
{
    return std::string(rowOf(key.kind).name) + "/" + key.name;
}

std::string describeChange(const ChangeNote &change)
{
    auto text = change.changedBy.empty() ? std::string("by an unknown author") : "by " + change.changedBy;
    return change.reason.empty() ? text : text + ": " + change.reason;
}

} // namespace

ConfigDriver::ConfigDriver(NodeContext &context, MembershipDriver &membership, StoreLink &store, std::vector<ObjectKind> kinds)
    : m_context(context)
    , m_membership(membership)
    , m_store(store)
    , m_sync(ConfigSyncOptions{.self = context.self,
                               .zone = context.settings.zone,
                               .kinds = std::move(kinds),
                               .watchersPerZone = context.settings.watchersPerZone,
                               .watchDuration = storeTimeoutsFor(context.settings.changeBound).watchDuration,
                               .startWindow = context.settings.storeStartWindow},
             steadyNow(), context.random)
    , m_timer(context.io)
{
}

void ConfigDriver::start()
{
    m_context.membersChanged.connect([this](TimePoint now) { refreshMembers(now); });
    m_membership.setConfigPayloadHandler([this](TimePoint now, NodeId from, std::uint64_t digest, const std::string &) {
        m_sync.onPeerDigest(from, digest);
        beginPull(now);
    });
    m_context.peers->setFrameHandler(FrameType::ConfigPull,
                                     [this](const PeerSet::FrameSource &from, std::string_view payload) { onPull(from, payload); });
    m_context.peers->setFrameHandler(FrameType::ConfigPullAnswer, [this](const PeerSet::FrameSource &from, std::string_view payload) {
        onPullAnswer(from.node, payload);
    });
    refreshMembers(steadyNow());
    armTimer();
}

void ConfigDriver::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

const ConfigSync &ConfigDriver::sync() const
{
    return m_sync;
}

void ConfigDriver::armTimer()
{
    m_timer.expires_after(kTimerPeriod);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (ec || m_isStopped) {
            return;
        }
        onTimer(steadyNow());
        armTimer();
    });
}

void ConfigDriver::onTimer(TimePoint now)
{
    beginStoreCalls(now);
    beginPull(now);
    recordStoreState();
    recordWatcherRole();
}

void ConfigDriver::refreshMembers(TimePoint now)
{
    std::vector<NodeId> zoneMembers;
    std::size_t count = 0;
    for (const auto *it : m_membership.membership().members()) {
        if (!it->isPresent()) {
            continue;
        }
        ++count;
        if (it->info.zone == m_context.settings.zone) {
            zoneMembers.push_back(it->info.id);
        }
    }
    m_sync.setMembers(now, m_context.random, zoneMembers, count);
}

void ConfigDriver::beginStoreCalls(TimePoint now)
{
    if (!m_store.hasStore() || m_context.isStopping) {
        return;
    }
    for (const auto &it : m_sync.takeStoreCalls(now, m_context.random)) {
        if (it.callKind == StoreCallKind::List) {
            beginList(it);
        } else {
            beginWatch(it);
        }
    }
}

void ConfigDriver::beginList(const StoreCall &call)
{
    std::function<void(std::error_code, ParsedList)> handler = [this, call, startedAt = steadyNow(),
                                                                kind = call.kind](std::error_code ec, const ParsedList &list) {
        const auto now = steadyNow();
        recordStoreCall(startedAt, call, ec);
        if (ec) {
            m_sync.onListFailed(now, m_context.random, kind, toCallEnd(ec));
            return;
        }
        if (list.at.era < m_sync.storeEra()) {
            writeLog(LogLevel::Warning, "the configuration store answered in an earlier era; the answer counts as failed",
                     {{"era", std::to_string(list.at.era)}, {"eraKnown", std::to_string(m_sync.storeEra())}});
        }
        m_sync.onListed(now, m_context.random, kind, list.at, list.objects);
        publish(now);
    };
    m_store.store().listObjects(call.kind,
                                [handler = m_store.bindToNodeThread(std::move(handler))](std::error_code ec, const ObjectList &list) {
                                    handler(ec, parseObjects(list));
                                });
}

void ConfigDriver::beginWatch(const StoreCall &call)
{
    std::function<void(WatchEvent)> onEvent = [this, kind = call.kind](const WatchEvent &event) {
        const auto now = steadyNow();
        m_sync.onWatchEvent(now, kind, event);
        publish(now);
    };
    std::function<void(std::error_code)> onEnd = [this, call, startedAt = steadyNow(), kind = call.kind](std::error_code ec) {
        recordStoreCall(startedAt, call, ec);
        if (ec == StoreError::Expired) {
            writeLog(LogLevel::Info, "watch of the store can't be continued, listing again", {{"kind", std::string(rowOf(kind).name)}});
        }
        m_sync.onWatchEnded(steadyNow(), m_context.random, kind, toCallEnd(ec));
    };
    m_store.store().watchObjects(
        {.kind = call.kind, .version = call.version, .duration = call.duration},
        [handler = m_store.bindToNodeThread(std::move(onEvent))](const StoreEvent &event) { handler(parseWatchEvent(event)); },
        m_store.bindToNodeThread(std::move(onEnd)));
}

void ConfigDriver::beginPull(TimePoint now)
{
    const auto peer = m_sync.startPull(now);
    if (m_openPull && (peer || !m_sync.isPulling())) {
        recordPullEnd(now, "timeout");
        m_context.peers->probeAll();
    }
    if (!peer) {
        return;
    }
    m_openPull = OpenPull{*peer, now};
    if (!m_context.peers->sendRequest(*peer, encodeFrame(m_sync.makePull()))) {
        m_sync.onPullFailed(*peer);
        recordPullEnd(now, "not-connected");
    }
}

void ConfigDriver::onPull(const PeerSet::FrameSource &from, std::string_view payload)
{
    if (const auto pull = decodePayload<ConfigPull>(payload)) {
        for (const auto &it : m_sync.answerPull(*pull)) {
            m_context.peers->sendReply(from, encodeFrame(it));
        }
    }
}

void ConfigDriver::onPullAnswer(NodeId from, std::string_view payload)
{
    const auto answer = decodePayload<ConfigPullAnswer>(payload);
    if (!answer) {
        m_sync.onPullFailed(from);
        recordPullEnd(steadyNow(), "malformed");
        return;
    }
    const auto now = steadyNow();
    const auto emptyPulls = m_sync.counters().emptyPulls;
    m_sync.onPullAnswer(now, from, *answer);
    if (m_openPull && m_openPull->peer == from) {
        m_openPull->bytes += payload.size();
        if (!answer->isContinued) {
            const bool isEmpty = m_sync.counters().emptyPulls > emptyPulls;
            recordPullEnd(now, answer->digest == 0 ? "not-configured" : isEmpty ? "nothing-new" : "answered");
        }
    } else if (!answer->isContinued) {
        writeLog(LogLevel::Info, "late answer to a configuration pull", {{"peer", memberName(from)}});
    }
    publish(now);
    beginPull(now);
}

void ConfigDriver::publish(TimePoint now)
{
    recordRefusedObjects();
    recordIgnoredObjects();
    const auto digest = m_sync.digest();
    if (digest == m_publishedDigest) {
        return;
    }
    const bool isFirst = m_publishedDigest == 0;
    m_publishedDigest = digest;
    recordChanges();
    m_context.config = m_sync.set();
    m_membership.setConfigDigest(digest, {});
    m_context.configChanged.emitChange(now);
    if (isFirst) {
        writeLog(LogLevel::Info, "first configuration received", {{"objects", std::to_string(m_sync.set().size())}});
        // The backend server may be announced once there is a configuration.
        m_context.backendChanged.emitChange(now);
    }
}

void ConfigDriver::recordChanges()
{
    const auto &history = m_sync.set().history();
    const auto newChanges = std::min<std::uint64_t>(m_sync.set().changeCount() - m_recordedChanges, history.size());
    m_recordedChanges = m_sync.set().changeCount();
    for (auto it = history.end() - static_cast<std::ptrdiff_t>(newChanges); it != history.end(); ++it) {
        m_context.recordEvent(Event{.kind = it->deleted ? EventKind::ConfigDeleted : EventKind::ConfigInForce,
                                    .subject = subjectOf(it->key),
                                    .value = static_cast<std::int64_t>(it->version),
                                    .text = describeChange(it->change)});
        writeLog(LogLevel::Info, it->deleted ? "configuration object deleted" : "configuration object in force",
                 {{"object", subjectOf(it->key)}, {"version", std::to_string(it->version)}, {"change", it->change.changeId}});
        recordUnusedParts(it->key);
    }
}

/// Logs the parts of a new version that can't be used; the first ones by name.
void ConfigDriver::recordUnusedParts(const ObjectKey &key)
{
    const auto *entry = m_sync.set().find(key.kind, key.name);
    if (!entry || entry->object->unusedParts.empty()) {
        return;
    }
    const auto &parts = entry->object->unusedParts;
    const auto named = std::min(parts.size(), kMaxNamedParts);
    const auto text = toString({parts.begin(), parts.begin() + static_cast<std::ptrdiff_t>(named)});
    m_context.recordEvent(Event{.kind = EventKind::ConfigRefused,
                                .subject = subjectOf(key),
                                .value = static_cast<std::int64_t>(entry->object->version),
                                .text = text});
    writeLog(LogLevel::Warning, "parts of a configuration object can't be used",
             {{"object", subjectOf(key)}, {"parts", std::to_string(parts.size())}, {"findings", text}});
}

void ConfigDriver::recordRefusedObjects()
{
    for (const auto &[key, refused] : m_sync.set().refusedObjects()) {
        const StoreRevision revision{refused.storeEra, refused.version};
        auto &recorded = m_recordedRefusals[key];
        if (recorded == revision) {
            continue;
        }
        recorded = revision;
        m_context.recordEvent(Event{.kind = EventKind::ConfigRefused,
                                    .subject = subjectOf(key),
                                    .value = static_cast<std::int64_t>(refused.version),
                                    .text = toString(refused.findings)});
        writeLog(LogLevel::Warning, "configuration object refused", {{"object", subjectOf(key)}, {"findings", toString(refused.findings)}});
    }
}

void ConfigDriver::recordIgnoredObjects()
{
    for (const auto &[key, ignored] : m_sync.set().ignoredObjects()) {
        auto &recorded = m_recordedIgnored[key];
        if (recorded == ignored.order) {
            continue;
        }
        recorded = ignored.order;
        const auto *entry = m_sync.set().findIncludingDeleted(key.kind, key.name);
        writeLog(LogLevel::Warning, "configuration object ignored: not newer than the one in force",
                 {{"object", subjectOf(key)},
                  {"version", std::to_string(ignored.order.revision.number)},
                  {"storeEra", std::to_string(ignored.order.revision.era)},
                  {"change", ignored.change.changeId},
                  {"versionInForce", entry ? std::to_string(entry->object->version) : std::string()},
                  {"changeInForce", entry ? entry->object->change.changeId : std::string()}});
    }
}

void ConfigDriver::recordStoreState()
{
    if (m_sync.storeEra() != m_recordedStoreEra) {
        // The first era that a node learns is no event.
        if (m_recordedStoreEra != 0) {
            m_context.storeRestored.emitChange(steadyNow());
            writeLog(LogLevel::Warning, "the configuration store returned from an older copy",
                     {{"era", std::to_string(m_sync.storeEra())},
                      {"eraBefore", std::to_string(m_recordedStoreEra)},
                      {"lostObjects", std::to_string(m_sync.lostObjectCount())}});
        }
        m_recordedStoreEra = m_sync.storeEra();
    }
    const bool isDown = m_sync.storeDownSince().has_value();
    if (isDown == m_isStoreDown) {
        return;
    }
    m_isStoreDown = isDown;
    m_context.recordEvent(
        Event{.kind = isDown ? EventKind::StoreLost : EventKind::StoreBack, .subject = m_context.settings.platformAddress});
    writeLog(isDown ? LogLevel::Warning : LogLevel::Info,
             isDown ? "calls to the configuration store fail" : "calls to the configuration store succeed again");
}

void ConfigDriver::recordWatcherRole()
{
    if (m_sync.isWatcher() == m_isRecordedWatcher) {
        return;
    }
    m_isRecordedWatcher = m_sync.isWatcher();
    writeLog(LogLevel::Info, m_isRecordedWatcher ? "this node watches the configuration store" : "this node leaves the watch to others");
}

void ConfigDriver::recordStoreCall(TimePoint startedAt, const StoreCall &call, std::error_code ec)
{
    const bool isWatch = call.callKind == StoreCallKind::Watch;
    if (isWatch && !ec) {
        return;
    }
    writeLog(LogLevel::Info, "call to the configuration store ended",
             {{"call", isWatch ? "watch" : "list"},
              {"kind", std::string(rowOf(call.kind).name)},
              {"elapsedMs", std::to_string(toMilliseconds(steadyNow() - startedAt))},
              {"result", ec ? ec.message() : "done"}});
}

void ConfigDriver::recordPullEnd(TimePoint now, std::string_view result)
{
    if (!m_openPull) {
        return;
    }
    writeLog(LogLevel::Info, "configuration pull ended",
             {{"peer", memberName(m_openPull->peer)},
              {"result", std::string(result)},
              {"elapsedMs", std::to_string(toMilliseconds(now - m_openPull->startedAt))},
              {"bytes", std::to_string(m_openPull->bytes)}});
    m_openPull.reset();
}

std::string ConfigDriver::memberName(NodeId node) const
{
    const auto *member = m_membership.membership().find(node);
    return member ? member->info.name : std::string();
}

InForceCount ConfigDriver::countInForce(const ObjectKey &key, std::uint64_t version, std::uint64_t contentHash)
{
    const auto *entry = m_sync.set().find(key.kind, key.name);
    StoreRevision revision{m_sync.storeEra(), version};
    if (entry && contentHash != 0 && entry->object->contentHash == contentHash) {
        // A write of the status alone gives an object a new version. Nodes that have the same content under an earlier version
        // count as well.
        revision = entry->object->order().revision;
    }
    InForceCount count;
    for (const auto *it : m_membership.membership().members()) {
        if (!it->isPresent()) {
            continue;
        }
        ++count.members;
        const bool isSelf = it->info.id == m_context.self;
        if (m_sync.isVersionInDigest(key.kind, key.name, revision, isSelf ? m_sync.digest() : it->configDigest)) {
            ++count.inForce;
            continue;
        }
        count.waiting.push_back(it->info.name);
        if (!isSelf) {
            m_membership.requestConfigDigest(it->info.id);
        }
    }
    return count;
}

} // namespace chicoryspar
