#pragma once

/// @file
/// Simulation of many nodes with a ConfigSync each, in virtual time, with a store and a network that can fail. Used by tests and by
/// a benchmark.

#include "config/config_sync.h"
#include "config/store_timeouts.h"

#include <algorithm>

namespace chicoryspar::fleet {

constexpr Duration kStep = std::chrono::milliseconds(50);
constexpr Duration kProbePeriod = std::chrono::seconds(1);
constexpr std::size_t kDigestPushFanout = 5;
constexpr std::uint64_t kStepsPerBookmark = 40;

/// Faults of the store.
struct StoreFaults
{
    bool isDown = false;
    /// Number of latest versions that lists don't show yet.
    std::uint64_t listLagVersions = 0;
    bool duplicateEvents = false;
    bool reorderEvents = false;
    bool isCompacted = false;
};

/// Model of the store. Version n of the store is log[n - 1].
struct FakeStore
{
    std::vector<std::shared_ptr<const ConfigObject>> log;
    StoreFaults faults;
    std::uint64_t calls = 0;
    /// Rises with each return from a copy; 0 for a store that states none.
    std::uint64_t era = 0;

    /// @param declared version that the author states; 0 for none
    /// @param paddingBytes size of an annotation that makes the object large
    void put(const std::string &name, std::uint64_t budget, std::uint64_t declared = 0, std::size_t paddingBytes = 0)
    {
        const auto version = log.size() + 1;
        const auto text = R"({"apiVersion":"chicoryspar.io/v1","kind":"RetryPolicy","metadata":{"name":")" + name
            + R"(","resourceVersion":")" + std::to_string(version) + R"(","generation":)" + std::to_string(version)
            + R"(,"declaredVersion":)" + std::to_string(declared) + R"(,"annotations":{"padding":")" + std::string(paddingBytes, 'x')
            + R"("}},"spec":{"budget":)" + std::to_string(budget) + "}}";
        log.push_back(parseObject(text).object);
    }

    void remove(const std::string &name)
    {
        log.push_back(makeTombstone(ObjectKind::RetryPolicy, name, log.size() + 1));
    }

    /// Returns from a copy that doesn't have the last @a lost writes.
    void restore(std::size_t lost)
    {
        log.resize(log.size() - std::min(lost, log.size()));
        ++era;
    }

    /// Returns what a call in the present era yields for @a object.
    ParsedObject parsedObject(const ConfigObject &object) const
    {
        return parseObject(object.text, era);
    }

    std::map<std::string, std::shared_ptr<const ConfigObject>> objectsAt(std::uint64_t version) const
    {
        std::map<std::string, std::shared_ptr<const ConfigObject>> state;
        for (const auto &it : log) {
            if (it->version <= version) {
                state[it->name] = it;
            }
        }
        return state;
    }
};

/// A store call without a result so far.
struct PendingCall
{
    std::size_t node = 0;
    StoreCall call;
    TimePoint end;
    /// Watch only: the last version whose event was sent.
    std::uint64_t sentVersion = 0;
    /// Watch only: simulation steps since the start.
    std::uint64_t steps = 0;
    /// The connection of the call passes nothing more on.
    bool isSilent = false;
};

/// The answers to one pull on their way. All answers to one node share the bandwidth of its link.
struct Transfer
{
    std::size_t to = 0;
    NodeId from;
    std::deque<ConfigPullAnswer> answers;
    /// Bytes of the first answer that have arrived.
    double receivedBytes = 0;
};

inline std::size_t sizeOf(const ConfigPullAnswer &answer)
{
    std::size_t bytes = answer.part ? answer.part->bytes.size() : 0;
    for (const auto &it : answer.objects) {
        bytes += it.size();
    }
    return bytes;
}

struct FleetNode
{
    NodeId id;
    std::size_t zone = 0;
    bool isUp = true;
    /// Network partition of the node; only nodes in the same one reach each other. The store is in partition 0.
    int partition = 0;
    std::unique_ptr<ConfigSync> sync;
    std::uint64_t sentDigest = 0;
    TimePoint nextProbe{};
    TimePoint changedAt{};
};

struct FleetOptions
{
    std::size_t nodes = 20;
    std::size_t zones = 3;
    std::uint64_t seed = 1;
    /// See ConfigSyncOptions::lostObjectRetention.
    Duration lostObjectRetention = std::chrono::seconds(20);
    /// Rate at which a node receives answers to its pulls; 0 for no limit.
    double linkBytesPerSecond = 0;
    StoreTimeouts storeTimeouts{.watchDuration = ConfigSyncOptions().watchDuration};
};

/// The simulated nodes, store and network.
class Fleet
{
public:
    explicit Fleet(const FleetOptions &options)
        : random(options.seed)
        , m_options(options)
    {
        nodes.resize(options.nodes);
        for (std::size_t n = 0; n < nodes.size(); ++n) {
            nodes[n].id = makeNodeId("node-" + std::to_string(n));
            nodes[n].zone = n % options.zones;
            startNode(n);
        }
        updateMembers();
    }

    /// Starts or restarts node @a n without any state.
    void startNode(std::size_t n)
    {
        dropCallsOf(n);
        nodes[n].isUp = true;
        nodes[n].sentDigest = 0;
        nodes[n].nextProbe = now + Duration(static_cast<Duration::rep>(drawBelow(random, kProbePeriod.count())));
        nodes[n].sync = std::make_unique<ConfigSync>(ConfigSyncOptions{.self = nodes[n].id,
                                                                       .zone = zoneName(n),
                                                                       .watchDuration = m_options.storeTimeouts.watchDuration,
                                                                       .lostObjectRetention = m_options.lostObjectRetention},
                                                     now, random);
    }

    void stopNode(std::size_t n)
    {
        nodes[n].isUp = false;
        dropCallsOf(n);
    }

    /// Updates the membership at every node.
    void updateMembers()
    {
        const auto up = std::count_if(nodes.begin(), nodes.end(), [](const FleetNode &it) { return it.isUp; });
        for (std::size_t n = 0; n < nodes.size(); ++n) {
            std::vector<NodeId> zone;
            for (const auto &it : nodes) {
                if (it.isUp && it.zone == nodes[n].zone && it.partition == nodes[n].partition) {
                    zone.push_back(it.id);
                }
            }
            nodes[n].sync->setMembers(now, random, zone, static_cast<std::size_t>(up));
        }
    }

    /// Advances virtual time by kStep.
    void step()
    {
        now += kStep;
        for (std::size_t n = 0; n < nodes.size(); ++n) {
            if (nodes[n].isUp) {
                runNode(n);
            }
        }
        finishCalls();
        advanceTransfers();
    }

    void run(Duration duration)
    {
        for (const auto end = now + duration; now < end;) {
            step();
        }
    }

    /// Makes the open connections to the store silent for good. Later calls use new ones.
    void silenceStoreConnections()
    {
        for (auto &it : m_calls) {
            if (!it.isSilent) {
                it.isSilent = true;
                const bool isWatch = it.call.callKind == StoreCallKind::Watch;
                it.end += isWatch ? m_options.storeTimeouts.watchGrace : m_options.storeTimeouts.callTimeout;
            }
        }
    }

    /// Returns whether every running node has the store's current state in force.
    bool isConverged() const
    {
        const auto state = store.objectsAt(store.log.size());
        return std::all_of(nodes.begin(), nodes.end(), [&](const FleetNode &it) { return !it.isUp || hasStateInForce(it, state); });
    }

    std::size_t watcherCount() const
    {
        return static_cast<std::size_t>(
            std::count_if(nodes.begin(), nodes.end(), [](const FleetNode &it) { return it.isUp && it.sync->isWatcher(); }));
    }

    TimePoint now{};
    Random random;
    FakeStore store;
    std::vector<FleetNode> nodes;
    std::uint64_t pulledBytes = 0;
    std::uint64_t openWatchCount() const
    {
        return static_cast<std::uint64_t>(
            std::count_if(m_calls.begin(), m_calls.end(), [](const PendingCall &it) { return it.call.callKind == StoreCallKind::Watch; }));
    }

private:
    bool hasStateInForce(const FleetNode &node, const std::map<std::string, std::shared_ptr<const ConfigObject>> &state) const
    {
        if (!node.sync->isConfigured()) {
            return false;
        }
        return std::all_of(state.begin(), state.end(), [&](const auto &it) {
            const auto *entry = node.sync->set().find(ObjectKind::RetryPolicy, it.first);
            return it.second->deleted ? entry == nullptr : entry && entry->object->contentHash == it.second->contentHash;
        });
    }

    std::string zoneName(std::size_t n) const
    {
        return "zone-" + std::to_string(nodes[n].zone);
    }

    void runNode(std::size_t n)
    {
        auto &node = nodes[n];
        for (const auto &it : node.sync->takeStoreCalls(now, random)) {
            ++store.calls;
            m_calls.push_back({n, it, now + (it.callKind == StoreCallKind::Watch ? it.duration : kStep), it.version, 0});
        }
        if (now >= node.nextProbe) {
            node.nextProbe += kProbePeriod;
            exchangeDigests(n, drawBelow(random, nodes.size()));
        }
        if (node.sync->digest() != node.sentDigest) {
            node.sentDigest = node.sync->digest();
            node.changedAt = now;
            for (std::size_t it = 0; it < kDigestPushFanout; ++it) {
                sendDigest(n, drawBelow(random, nodes.size()));
            }
        }
        if (const auto peer = node.sync->startPull(now)) {
            pull(n, *peer);
        }
    }

    bool isReachable(std::size_t a, std::size_t b) const
    {
        return a != b && nodes[a].isUp && nodes[b].isUp && nodes[a].partition == nodes[b].partition;
    }

    void sendDigest(std::size_t from, std::size_t to)
    {
        if (isReachable(from, to)) {
            nodes[to].sync->onPeerDigest(nodes[from].id, nodes[from].sync->digest());
        }
    }

    void exchangeDigests(std::size_t a, std::size_t b)
    {
        sendDigest(a, b);
        sendDigest(b, a);
    }

    void pull(std::size_t n, NodeId peer)
    {
        const auto it = std::find_if(nodes.begin(), nodes.end(), [peer](const FleetNode &node) { return node.id == peer; });
        const auto index = static_cast<std::size_t>(it - nodes.begin());
        if (!isReachable(n, index)) {
            // The pull ends by the pull timeout of ConfigSync.
            return;
        }
        const auto request = nodes[n].sync->makePull();
        pulledBytes += request.known.size() * sizeof(ObjectVersion);
        Transfer transfer{.to = n, .from = peer};
        for (auto &answer : it->sync->answerPull(request)) {
            pulledBytes += sizeOf(answer);
            transfer.answers.push_back(std::move(answer));
        }
        if (m_options.linkBytesPerSecond > 0) {
            m_transfers.push_back(std::move(transfer));
            return;
        }
        for (const auto &answer : transfer.answers) {
            nodes[n].sync->onPullAnswer(now, peer, answer);
        }
    }

    void advanceTransfers()
    {
        std::map<std::size_t, double> transfersTo;
        for (const auto &it : m_transfers) {
            ++transfersTo[it.to];
        }
        const auto bytesPerStep = m_options.linkBytesPerSecond * static_cast<double>(kStep.count()) / 1e6;
        for (auto &it : m_transfers) {
            it.receivedBytes += bytesPerStep / transfersTo[it.to];
            while (!it.answers.empty() && it.receivedBytes >= static_cast<double>(sizeOf(it.answers.front()))) {
                it.receivedBytes -= static_cast<double>(sizeOf(it.answers.front()));
                nodes[it.to].sync->onPullAnswer(now, it.from, it.answers.front());
                it.answers.pop_front();
            }
        }
        std::erase_if(m_transfers, [](const Transfer &it) { return it.answers.empty(); });
    }

    void dropCallsOf(std::size_t n)
    {
        std::erase_if(m_calls, [n](const PendingCall &it) { return it.node == n; });
        std::erase_if(m_transfers, [n](const Transfer &it) { return it.to == n; });
    }

    void finishCalls()
    {
        std::vector<PendingCall> pendingCalls;
        for (auto &it : m_calls) {
            if (!finishCall(it)) {
                pendingCalls.push_back(it);
            }
        }
        m_calls = std::move(pendingCalls);
    }

    bool finishCall(PendingCall &pending)
    {
        auto &sync = *nodes[pending.node].sync;
        if (pending.isSilent) {
            if (now < pending.end) {
                return false;
            }
            if (pending.call.callKind == StoreCallKind::Watch) {
                sync.onWatchEnded(now, random, pending.call.kind, StoreCallEnd::Silent);
            } else {
                sync.onListFailed(now, random, pending.call.kind, StoreCallEnd::Silent);
            }
            return true;
        }
        const bool isUnreachable = store.faults.isDown || nodes[pending.node].partition != 0;
        if (pending.call.callKind == StoreCallKind::List) {
            if (now < pending.end) {
                return false;
            }
            if (isUnreachable) {
                sync.onListFailed(now, random, pending.call.kind);
            } else {
                answerList(sync, pending.call.kind);
            }
            return true;
        }
        // A watch ends with 410 when its history is gone, or when the store never gave out its version.
        const bool isExpired =
            pending.sentVersion > store.log.size() || (store.faults.isCompacted && pending.sentVersion < store.log.size());
        if (isUnreachable || isExpired) {
            sync.onWatchEnded(now, random, pending.call.kind, isUnreachable ? StoreCallEnd::Failed : StoreCallEnd::Expired);
            return true;
        }
        sendEvents(sync, pending);
        if (now >= pending.end) {
            sync.onWatchEnded(now, random, pending.call.kind, StoreCallEnd::Done);
            return true;
        }
        return false;
    }

    void answerList(ConfigSync &sync, ObjectKind kind)
    {
        const auto version = store.log.size() - std::min<std::uint64_t>(store.log.size(), store.faults.listLagVersions);
        std::vector<ParsedObject> objects;
        for (const auto &[name, object] : store.objectsAt(version)) {
            if (object->kind == kind && !object->deleted) {
                objects.push_back(store.parsedObject(*object));
            }
        }
        sync.onListed(now, random, kind, {store.era, version}, objects);
    }

    void sendEvents(ConfigSync &sync, PendingCall &pending)
    {
        std::vector<WatchEvent> events;
        for (const auto &it : store.log) {
            if (it->version > pending.sentVersion && it->kind == pending.call.kind) {
                events.push_back({.eventKind = it->deleted ? WatchEventKind::Deleted : WatchEventKind::Changed,
                                  .version = it->version,
                                  .object = store.parsedObject(*it),
                                  .storeEra = store.era});
            }
        }
        pending.sentVersion = store.log.size();
        if (store.faults.duplicateEvents) {
            const auto copies = events;
            events.insert(events.end(), copies.begin(), copies.end());
        }
        if (store.faults.reorderEvents) {
            std::shuffle(events.begin(), events.end(), random);
        }
        if (++pending.steps % kStepsPerBookmark == 0) {
            events.push_back({.eventKind = WatchEventKind::Bookmark, .version = pending.sentVersion, .storeEra = store.era});
        }
        for (const auto &it : events) {
            sync.onWatchEvent(now, pending.call.kind, it);
        }
    }

    FleetOptions m_options;
    std::vector<PendingCall> m_calls;
    std::vector<Transfer> m_transfers;
};

} // namespace chicoryspar::fleet
