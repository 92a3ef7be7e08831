#pragma once

/// @file
/// Schedule by which a node keeps its set in step with the store and with its peers. It does no input or output: a driver carries
/// out the store calls and pulls that it takes from here, and reports how they ended.

#include <chicoryspar/config.h>

namespace chicoryspar {

struct ConfigSyncOptions
{
    NodeId self;
    std::string zone;
    /// Kinds that the store holds; empty for all that are configuration.
    std::vector<ObjectKind> kinds;
    /// Members of a zone that watch the store.
    std::size_t watchersPerZone = 2;
    /// How long one watch waits at the store. A connection that went silent is found when it is over.
    Duration watchDuration = std::chrono::seconds(6);
    /// A starting node that knows no other member waits up to this long before it calls the store; drawn by each node.
    Duration startWindow = std::chrono::seconds(4);
    /// Wait after a failed store call: doubled from the first to the second, and drawn from its upper half.
    Duration minBackoff = std::chrono::milliseconds(500);
    Duration maxBackoff = std::chrono::seconds(4);
    /// Store calls of this node, on average and at most at once.
    double storeCallsPerSecond = 1;
    double storeBurst = 12;
    /// Members that don't watch list everything once in this time for each member, so that the fleet's rate stays constant.
    Duration auditPerMember = std::chrono::seconds(2);
    Duration minAuditPeriod = std::chrono::seconds(20);
    /// A pull that takes longer has failed: a peer that stops meanwhile must not hold up the next one.
    Duration pullTimeout = std::chrono::milliseconds(600);
    /// Bytes of objects in one answer to a pull; at least one object is sent.
    std::size_t maxPullBytes = 512 * 1024;
};

enum class StoreCallKind : std::uint8_t {
    List,
    Watch,
    Count,
};

/// A call that the driver must make.
struct StoreCall
{
    StoreCallKind callKind = StoreCallKind::List;
    ObjectKind kind = ObjectKind::Count;
    /// Version from which to watch.
    std::uint64_t version = 0;
    /// How long the watch waits.
    Duration duration{0};
};

enum class WatchEventKind : std::uint8_t {
    Changed,
    Deleted,
    /// All events up to the version were sent.
    Bookmark,
    Count,
};

struct WatchEvent
{
    WatchEventKind eventKind = WatchEventKind::Changed;
    std::uint64_t version = 0;
    ParsedObject object;
};

/// How a store call ended that didn't bring a list.
enum class StoreCallEnd : std::uint8_t {
    /// A watch reached its time.
    Done,
    /// The version of a watch is compacted.
    Expired,
    Failed,
    Count,
};

/// Counters since the start.
struct ConfigSyncCounters
{
    std::uint64_t listCalls = 0;
    std::uint64_t watchCalls = 0;
    std::uint64_t failedCalls = 0;
    std::uint64_t pulls = 0;
    std::uint64_t failedPulls = 0;
    std::uint64_t emptyPulls = 0;
};

/// The set in force on a node and its part in spreading it.
class ConfigSync
{
public:
    ConfigSync(ConfigSyncOptions options, TimePoint now, Random &random);

    const ConfigSet &set() const;
    /// Whether the whole configuration was known at least once; nothing may be announced before.
    bool isConfigured() const;
    bool isWatcher() const;
    /// Digest for peers; 0 until configured.
    std::uint64_t digest() const;
    const ConfigSyncCounters &counters() const;
    /// Since when store calls fail, if they do.
    std::optional<TimePoint> storeDownSince() const;

    /// Tells whether a node with @a digest has everything in force that this node had since @a version of the object took force here.
    bool isVersionInDigest(ObjectKind kind, std::string_view name, std::uint64_t version, std::uint64_t digest) const;

    // --- Membership ---

    /// Sets the present members of the own zone, the own node included, and the number in all zones.
    void setMembers(TimePoint now, Random &random, std::span<const NodeId> zoneMembers, std::size_t memberCount);

    // --- Store ---

    /// Returns the calls that are due; each must end in onListed(), onWatchEnded() or onListFailed().
    std::vector<StoreCall> takeStoreCalls(TimePoint now, Random &random);
    void onListed(TimePoint now, Random &random, ObjectKind kind, std::uint64_t version, std::span<const ParsedObject> objects);
    void onListFailed(TimePoint now, Random &random, ObjectKind kind);
    void onWatchEvent(TimePoint now, ObjectKind kind, const WatchEvent &event);
    void onWatchEnded(TimePoint now, Random &random, ObjectKind kind, StoreCallEnd end);

    // --- Peers ---

    /// Takes the digest that came with a message of @a peer.
    void onPeerDigest(NodeId peer, std::uint64_t digest);
    /// Returns the peer from which to pull now, if any; each pull ends in onPullAnswer() or onPullFailed().
    std::optional<NodeId> startPull(TimePoint now);
    ConfigPull makePull() const;
    ConfigPullAnswer answerPull(const ConfigPull &pull) const;
    void onPullAnswer(TimePoint now, NodeId peer, const ConfigPullAnswer &answer);
    void onPullFailed(NodeId peer);

private:
    /// Progress with one kind at the store.
    struct KindState
    {
        bool isListed = false;
        bool isCalling = false;
        /// Watches start here: the highest version of a list or bookmark.
        std::uint64_t resumeVersion = 0;
        /// When the next list is due without a watch.
        TimePoint nextListAt{};
    };
    /// A peer whose digest differs.
    struct PullCandidate
    {
        NodeId peer;
        std::uint64_t digest = 0;
    };
    /// A digest that this node had.
    struct FormerDigest
    {
        std::uint64_t digest = 0;
        /// When it stopped to be the own one.
        TimePoint replacedAt;
    };

    KindState &kindState(ObjectKind kind);
    bool isSynced(ObjectKind kind) const;
    bool takeStoreToken(TimePoint now);
    void applyObject(TimePoint now, const ParsedObject &object);
    void applyDeletions(TimePoint now, ObjectKind kind, std::uint64_t version, std::span<const ParsedObject> objects);
    void recordFormerDigest(TimePoint now, std::uint64_t before);
    void recordStoreSuccess();
    void recordStoreFailure(TimePoint now, Random &random);
    Duration drawAuditPeriod(Random &random) const;
    std::optional<StoreCall> nextCall(TimePoint now, ObjectKind kind, KindState &state);
    bool isUselessDigest(std::uint64_t digest) const;
    void recordUselessDigest(std::uint64_t digest);

    ConfigSyncOptions m_options;
    ConfigSet m_set;
    std::array<KindState, static_cast<std::size_t>(ObjectKind::Count)> m_kinds;
    ConfigSyncCounters m_counters;
    std::size_t m_memberCount = 1;
    bool m_isWatcher = false;
    bool m_isConfigured = false;
    TimePoint m_nextStoreCallAt{};
    Duration m_backoff{0};
    std::optional<TimePoint> m_storeDownSince;
    double m_storeTokens = 0;
    TimePoint m_storeTokensUpdatedAt{};
    std::deque<PullCandidate> m_pullCandidates;
    std::optional<NodeId> m_pullPeer;
    TimePoint m_pullDeadline{};
    std::deque<FormerDigest> m_formerDigests;
    std::deque<std::uint64_t> m_uselessDigests;
};

} // namespace chicoryspar
