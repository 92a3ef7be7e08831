#pragma once

/// @file
/// State machine that synchronizes a node's configuration set with the store and with its peers. It does no input or output: a
/// driver takes the store calls and pulls that are due, carries them out and reports their results.

#include <chicoryspar/config.h>

namespace chicoryspar {

struct ConfigSyncOptions
{
    NodeId self;
    std::string zone;
    /// Configuration kinds to read from the store; empty for all of them.
    std::vector<ObjectKind> kinds;
    /// Number of members of each zone that watch the store; the others receive changes from peers.
    std::size_t watchersPerZone = 2;
    /// Maximum duration of one watch call. It bounds how long a dead connection to the store goes unnoticed; see storeTimeoutsFor().
    Duration watchDuration = std::chrono::seconds(6);
    /// The first store call after a start is delayed by a random time up to this; it is made earlier once other members are known.
    Duration startWindow = std::chrono::seconds(4);
    /// Exponential backoff after failed store calls, from minBackoff to maxBackoff; the delay is drawn from the upper half of it.
    Duration minBackoff = std::chrono::milliseconds(500);
    Duration maxBackoff = std::chrono::seconds(4);
    /// Token bucket for the store calls of this node, apart from the watches that follow one another: rate and capacity.
    double storeCallsPerSecond = 1;
    double storeBurst = 12;
    /// Members list all objects again (an audit) about every auditPerMember times the number of members, but no more often than
    /// minAuditPeriod, so that the rate of audits in the whole fleet doesn't grow with its size.
    Duration auditPerMember = std::chrono::seconds(2);
    Duration minAuditPeriod = std::chrono::seconds(20);
    /// A pull has failed when no answer or part of one arrives for this long, so that a peer that stopped doesn't block further pulls.
    /// The next pull, from another peer, resumes where it ended.
    Duration pullTimeout = std::chrono::milliseconds(600);
    /// How long objects that the store lost with its return from a copy stay in force, so that their authors can write them again.
    /// Afterwards the store's list decides.
    Duration lostObjectRetention = std::chrono::minutes(10);
    /// Maximum size of the objects sent for one pull; a single larger object is sent nevertheless.
    std::size_t maxPullBytes = 512 * 1024;
    /// Longer texts are pulled in parts of this size.
    std::size_t pullPartBytes = 64 * 1024;
};

enum class StoreCallKind : std::uint8_t {
    List,
    Watch,
    Count,
};

/// A store call that the driver has to make.
struct StoreCall
{
    StoreCallKind callKind = StoreCallKind::List;
    ObjectKind kind = ObjectKind::Count;
    /// Watch only: the watch returns events after this version.
    std::uint64_t version = 0;
    /// Watch only: how long the store keeps the watch open.
    Duration duration{0};
};

enum class WatchEventKind : std::uint8_t {
    Changed,
    Deleted,
    /// All events up to the version have been sent.
    Bookmark,
    Count,
};

struct WatchEvent
{
    WatchEventKind eventKind = WatchEventKind::Changed;
    std::uint64_t version = 0;
    ParsedObject object;
    std::uint64_t storeEra = 0;
};

/// How a call ended.
enum class StoreCallEnd : std::uint8_t {
    /// The watch reached its duration.
    Done,
    /// The store has compacted the version to watch from; a new list is needed.
    Expired,
    /// No answer came in time: the connection may be dead while the store serves others.
    Silent,
    Failed,
    Count,
};

/// Counters since the start of the node.
struct ConfigSyncCounters
{
    std::uint64_t listCalls = 0;
    std::uint64_t watchCalls = 0;
    std::uint64_t failedCalls = 0;
    std::uint64_t pulls = 0;
    std::uint64_t failedPulls = 0;
    std::uint64_t emptyPulls = 0;
    /// Pulls that resumed a text of which an earlier pull had received a part.
    std::uint64_t resumedPulls = 0;
    /// Lists that the store answered in an earlier era than the highest one known.
    std::uint64_t earlierEraLists = 0;
};

/// The configuration set of a node, and its synchronization with the store and with peers.
class ConfigSync
{
public:
    ConfigSync(ConfigSyncOptions options, TimePoint now, Random &random);

    const ConfigSet &set() const;
    /// Returns whether the node has had a complete configuration at least once. The node must not announce itself before.
    bool isConfigured() const;
    /// Returns whether this node is one of the members of its zone that watch the store.
    bool isWatcher() const;
    /// Returns the digest to send to peers; 0 until isConfigured().
    std::uint64_t digest() const;
    const ConfigSyncCounters &counters() const;
    /// Returns when store calls began to fail; nothing while the store answers.
    std::optional<TimePoint> storeDownSince() const;
    /// Returns the highest era of the store that this node knows from the store or from peers; 0 if none.
    std::uint64_t storeEra() const;
    /// Returns the number of objects in force that the store seems to have lost with its return from a copy: they are of an earlier era and
    /// missing from the last list.
    std::size_t lostObjectCount() const;

    /// Returns whether a node with @a digest has @a revision of the object, or a later one, in force: @a digest is that of this node, now
    /// or at any time since the version took effect here (the last few digests are kept).
    bool isVersionInDigest(ObjectKind kind, std::string_view name, const StoreRevision &revision, std::uint64_t digest) const;

    // Membership.

    /// Updates the membership.
    /// @param zoneMembers current members of the own zone, including this node
    /// @param memberCount number of members in all zones
    void setMembers(TimePoint now, Random &random, std::span<const NodeId> zoneMembers, std::size_t memberCount);

    // Store.

    /// Returns the store calls that are due. The driver must report the end of each by onListed(), onListFailed() or onWatchEnded().
    std::vector<StoreCall> takeStoreCalls(TimePoint now, Random &random);
    /// Processes a list. One from an earlier era counts as a failed call.
    /// @param at revision of the store that the list shows
    void onListed(TimePoint now, Random &random, ObjectKind kind, const StoreRevision &at, std::span<const ParsedObject> objects);
    void onListFailed(TimePoint now, Random &random, ObjectKind kind, StoreCallEnd end = StoreCallEnd::Failed);
    void onWatchEvent(TimePoint now, ObjectKind kind, const WatchEvent &event);
    void onWatchEnded(TimePoint now, Random &random, ObjectKind kind, StoreCallEnd end);

    // Peers.

    /// Processes the digest received in a message from @a peer; a new one makes @a peer a candidate for a pull.
    void onPeerDigest(NodeId peer, std::uint64_t digest);
    /// Returns the peer to pull from now, if any; only one pull is open at a time. The driver must report the end of the pull by
    /// onPullAnswer() or onPullFailed().
    std::optional<NodeId> startPull(TimePoint now);
    /// Returns whether a pull is open.
    bool isPulling() const;
    ConfigPull makePull() const;
    /// Returns the answers to send to a peer, in this order.
    std::vector<ConfigPullAnswer> answerPull(const ConfigPull &pull) const;
    /// Processes one answer. Late answers, to a pull that has failed, are used as well.
    void onPullAnswer(TimePoint now, NodeId peer, const ConfigPullAnswer &answer);
    void onPullFailed(NodeId peer);

private:
    /// State of the synchronization of one kind with the store.
    struct KindState
    {
        bool isListed = false;
        bool hasOpenCall = false;
        TimePoint callStartedAt{};
        /// Version for the next watch: the highest one of a list or bookmark.
        std::uint64_t resumeVersion = 0;
        /// When the next list is due; until then a watcher watches.
        TimePoint nextListAt{};
        /// Number of objects in force that are of an earlier era and missing from the last list.
        std::size_t lostObjects = 0;
    };
    /// A peer with a digest that this node hasn't had.
    struct PullCandidate
    {
        NodeId peer;
        std::uint64_t digest = 0;
        /// A pull from this peer has failed: the connection may have been silent, and another one is tried.
        bool isRepeated = false;
    };
    struct OpenPull
    {
        PullCandidate candidate;
        /// When the pull fails unless another answer arrives.
        TimePoint deadline;
        /// An answer has changed the set.
        bool hasChanged = false;
        /// A part couldn't be used, so the pull is incomplete.
        bool hasGap = false;
    };
    /// Text of an object that has arrived in part.
    struct PartialText
    {
        VersionOrder order;
        std::uint64_t hash = 0;
        std::string text;
    };
    /// An earlier digest of this node.
    struct FormerDigest
    {
        std::uint64_t digest = 0;
        /// When another digest replaced it.
        TimePoint replacedAt;
    };

    KindState &kindState(ObjectKind kind);
    bool isSynced(ObjectKind kind) const;
    bool takeStoreToken(TimePoint now);
    void applyObject(TimePoint now, const ParsedObject &object);
    void applyDeletions(TimePoint now, ObjectKind kind, const StoreRevision &at, std::span<const ParsedObject> objects);
    void applyDeletion(TimePoint now, ObjectKind kind, const WatchEvent &event);
    /// Makes a higher era the current one. Revisions of earlier eras no longer tell what the store holds, so everything is listed again.
    void adoptStoreEra(TimePoint now, std::uint64_t era);
    void recordFormerDigest(TimePoint now, std::uint64_t previous);
    void recordStoreSuccess();
    void recordStoreFailure(TimePoint now, Random &random);
    /// Has the objects of a call without an answer listed at once over another connection. Calls that began before the first one was
    /// noticed may be silent for the same cause; only one that began later shows that the store itself is silent.
    void recordSilentCall(TimePoint now, Random &random, KindState &state);
    Duration drawAuditPeriod(Random &random) const;
    std::optional<StoreCall> nextCall(TimePoint now, ObjectKind kind, KindState &state);
    /// Returns whether a pull from a peer with @a digest would bring nothing new.
    bool isUselessDigest(std::uint64_t digest) const;
    void recordUselessDigest(std::uint64_t digest);
    bool isNeeded(const ObjectPart &part) const;
    /// Adds a part to the partial text, and applies the object once it is complete.
    /// @param isLate the part belongs to a pull that has failed
    /// @returns false if the part can't be used because what precedes it is missing
    bool receivePart(TimePoint now, const ObjectPart &part, bool isLate);

    ConfigSyncOptions m_options;
    ConfigSet m_set;
    std::array<KindState, static_cast<std::size_t>(ObjectKind::Count)> m_kinds;
    ConfigSyncCounters m_counters;
    std::size_t m_memberCount = 1;
    std::uint64_t m_storeEra = 0;
    TimePoint m_storeEraSince{};
    bool m_isWatcher = false;
    bool m_isConfigured = false;
    TimePoint m_nextStoreCallAt{};
    Duration m_backoff{0};
    std::optional<TimePoint> m_storeDownSince;
    /// When the first call without an answer was noticed; nothing once a call is answered.
    std::optional<TimePoint> m_silentSince;
    double m_storeTokens = 0;
    TimePoint m_storeTokensUpdatedAt{};
    std::deque<PullCandidate> m_pullCandidates;
    std::optional<OpenPull> m_openPull;
    std::optional<PartialText> m_partialText;
    std::deque<FormerDigest> m_formerDigests;
    std::deque<std::uint64_t> m_uselessDigests;
};

} // namespace chicoryspar
