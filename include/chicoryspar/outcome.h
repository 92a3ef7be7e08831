#pragma once

/// @file
/// At-most-once execution of requests with an idempotency key: validation of the header, the record owner of a key, the group of nodes that
/// agrees on the record owner, and the executor's record of dispatches. Does no I/O. See docs/DESIGN-outcomes.md.

#include <chicoryspar/core.h>
#include <chicoryspar/wire.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>

namespace chicoryspar {

// Validation of the Idempotency-Key header

/// Limits on the age of a key. Must be the same on every node.
struct KeyLimits
{
    /// Age above which a request with the key is never executed.
    Duration lifetime = std::chrono::seconds(30);
    /// Maximum time by which a key's creation time may be ahead of the wall clock of the node that checks it.
    Duration futureTolerance = std::chrono::seconds(1);
    /// Greatest difference between the wall clocks of two nodes.
    Duration maxSkew = std::chrono::milliseconds(500);
};

/// Result of checking the header: the parsed key, or the reason why the header is unusable.
struct KeyCheck
{
    Reason reason = Reason::None;
    RequestId key;
    WallTime created;

    bool isValid() const
    {
        return reason == Reason::None;
    }
};

/// Parses the value of the Idempotency-Key header, which must be a UUIDv7.
/// @returns the key, or the reason KeyMissing for an empty value and KeyMalformed for anything else
KeyCheck checkKeyHeader(std::string_view text);

/// Checks the age at @a wall of a key created at @a created.
/// @returns None, KeyExpired or KeyFromFuture
Reason checkKeyAge(WallTime created, WallTime wall, const KeyLimits &limits);

/// Returns the outcome to report for a request that was refused with @a reason without consulting the record owner.
/// Refusing a keyed request proves nothing about its earlier attempts, so the outcome is Unknown, unless this is the first attempt
/// (@a firstAttempt) or the header held no valid key.
Outcome outcomeOfRefusal(Reason reason, bool keyed, bool firstAttempt);

// Messages between the nodes of a group

/// One incarnation of a node: its process from one start to its end, or to its next rejoin.
struct KeyMember
{
    NodeId id;
    /// Increases with every start of the process, and when a member that was voted out joins again.
    std::uint64_t incarnation = 0;

    auto operator<=>(const KeyMember &) const = default;
};

/// Requests a member's support for the sender as a record owner, and carries the sender's votes and a digest of its member list.
struct KeyHello
{
    KeyMember from;
    /// Monotonic time of the sender, in microseconds; echoed in the KeyHelloAck.
    std::int64_t sentAt = 0;
    /// True when the sender is a full member, false while it is joining.
    bool isFullMember = false;
    /// Incarnations that the sender voted to exclude, and will never support again.
    std::vector<KeyMember> exclusionVotes;
    /// Digest of the sender's member list.
    std::uint64_t memberDigest = 0;
};

/// Reply to a KeyHello.
struct KeyHelloAck
{
    KeyMember from;
    KeyMember to;
    std::int64_t sentAt = 0;
    bool isFullMember = false;
    /// True when the sender supports the receiver as a record owner. Holds for KeyOwnerOptions::supportDuration from sentAt.
    bool supports = false;
    std::vector<KeyMember> exclusionVotes;
    /// The sender's members that haven't left; empty when the digests were equal.
    std::vector<KeyMember> members;
    /// Members that left within KeyOwnerOptions::formerMemberRetention; empty when the digests were equal.
    std::vector<KeyMember> left;
};

/// State of a key at its record owner.
enum class KeyState : std::uint8_t {
    /// A query about the key is pending at the next node in rank.
    Asking,
    /// Dispatched, or accepted and about to be dispatched.
    Running,
    /// Executed; the stored answer may have been evicted.
    Done,
    /// Refused permanently: never executed, and never will be.
    Refused,
    /// Dispatched, but no answer arrived: may have been executed or not.
    Lost,
    /// Ceded to a node that ranks before this one.
    Moved,
    Count,
};

/// A complete answer to a keyed request.
struct KeyAnswer
{
    std::uint16_t status = 0;
    /// Header fields, each as one line with the name followed by one line with the value.
    std::string headers;
    std::string body;

    std::size_t size() const
    {
        return headers.size() + body.size();
    }
    bool operator==(const KeyAnswer &) const = default;
};

/// The stored state of one key.
struct KeyRecord
{
    RequestId key;
    std::uint64_t fingerprint = 0;
    WallTime created;
    KeyState state = KeyState::Running;
    Reason reason = Reason::None;
    /// Executor of a running key.
    NodeId executor;
    /// Number of dispatches so far, to any executor.
    std::uint32_t dispatches = 0;
    /// Member that a Moved key was ceded to.
    KeyMember movedTo;
    /// Null when the state isn't Done, or when the answer was evicted.
    std::shared_ptr<const KeyAnswer> answer;
};

/// Queries the next node in rank about a key of which the sender has no record.
struct KeyQuery
{
    KeyMember from;
    RequestId key;
    std::uint64_t fingerprint = 0;
    /// Echoed in the reply; a reply with another nonce is ignored.
    std::uint64_t nonce = 0;
};

/// Result of a query about a key at the next node in rank.
enum class KeyQueryResult : std::uint8_t {
    /// An earlier execution can't be ruled out.
    Uncertain,
    /// Not executed before; the key is ceded to the querying member.
    Ceded,
    /// The replying node has a record, which the reply contains.
    Recorded,
    Count,
};

/// Reply to a KeyQuery.
struct KeyQueryReply
{
    KeyMember from;
    KeyMember to;
    RequestId key;
    std::uint64_t nonce = 0;
    KeyQueryResult result = KeyQueryResult::Uncertain;
    KeyRecord record;
};

/// Transfers records to the next owner when the sender leaves as planned, or transfers the result of a run that ended after that.
struct KeyHandover
{
    KeyMember from;
    /// Zero-based index of this part.
    std::uint32_t part = 0;
    /// Number of parts of the hand-over; 0 for a result that follows the hand-over.
    std::uint32_t parts = 0;
    /// The members that the sender considers alive, without itself, sorted.
    std::vector<KeyMember> alive;
    /// Keys created at or before this time of which the sender has no record were refused permanently.
    WallTime refusedUntil;
    std::vector<KeyRecord> records;
};

/// Acknowledges that every part of a KeyHandover arrived.
struct KeyHandoverAck
{
    KeyMember from;
    KeyMember to;
};

using KeyMessage = std::variant<KeyHello, KeyHelloAck, KeyQuery, KeyQueryReply, KeyHandover, KeyHandoverAck>;

/// A message and its receiver.
struct KeyEnvelope
{
    NodeId to;
    KeyMessage message;
};

// Dispatch

/// Identifies one dispatch of a key to an executor.
struct KeyDispatch
{
    RequestId key;
    KeyMember owner;
    /// 1 for the first dispatch of the key, incremented by each further one.
    std::uint32_t attempt = 1;
    /// Wall time at which the owner decided to dispatch.
    WallTime decidedAt;
    /// Wall time after which the executor must not start the request; at most the expiry time of the key.
    WallTime notAfter;
};

/// A message of the group of one service, as sent between nodes.
struct KeyFrame
{
    std::string service;
    KeyMessage message;
};

// Record owner

/// Safety rules of the record owner. At-most-once execution requires all of them; only the model tests disable one, to check that its
/// absence is detected.
struct KeyOwnerRules
{
    /// A key without a record is executed only while a majority of the group supports this node.
    bool needsQuorum = true;
    /// A member is voted out only by a majority of the group, not by this node's vote alone.
    bool voteOutNeedsMajority = true;
    /// Support is valid from the time at which it was requested, not from the arrival of the reply.
    bool supportFromSendTime = true;
    /// A member that voted against an incarnation never supports it again.
    bool votesArePermanent = true;
    /// A joining node needs an acknowledgement from every member that is alive.
    bool joinNeedsEveryMember = true;
    /// Keys that a higher-ranked member may have executed before it was voted out, left or restarted aren't executed.
    bool endFloor = true;
    /// Keys that may be older than this node's join are queried at the next node in rank.
    bool joinFloor = true;
    /// Floors are set ahead of the wall clock by KeyLimits::futureTolerance and KeyLimits::maxSkew.
    bool floorMargin = true;
    /// Keys created further in the future than KeyLimits::futureTolerance aren't executed.
    bool futureCheck = true;
    /// Keys older than KeyLimits::lifetime aren't executed.
    bool expiryCheck = true;
    /// Records are kept until their key can no longer be executed.
    bool keepsRecords = true;
    /// A key that was refused as not run stays refused.
    bool refusalsAreFinal = true;
    /// Records from a member that left rule out other executions only when its set of alive members equals that of the receiver.
    bool handoverNeedsEqualView = true;
    /// Another executor is tried only after a proven "not run".
    bool retryNeedsProof = true;
    /// A group needs at least KeyOwnerOptions::founders members to start and for a quorum.
    bool needsFounders = true;
};

/// Settings of one record owner.
struct KeyOwnerOptions
{
    NodeId self;
    /// Must be higher than in every earlier run of this node, for example the wall time of the process start in milliseconds.
    std::uint64_t incarnation = 1;
    KeyLimits limits;
    /// Minimum number of connected members, including this one, to start a new group: more than half of all nodes that can be in the
    /// group at the same time.
    std::size_t founders = 1;
    Duration helloInterval = std::chrono::seconds(1);
    /// Time for which a member's support is valid.
    Duration supportDuration = std::chrono::seconds(3);
    /// Time without a KeyHello after which a member votes against another; must be above supportDuration.
    Duration silenceTimeout = std::chrono::seconds(5);
    /// Time from the start of a node until it may start a new group.
    Duration foundingDelay = std::chrono::seconds(2);
    /// Time after which a member that was voted out or left is removed. Must be above the longest network partition whose two sides both
    /// keep running.
    Duration formerMemberRetention = std::chrono::hours(24);
    Duration queryTimeout = std::chrono::milliseconds(500);
    /// Time after which a running key without an answer becomes Lost.
    Duration runTimeout = std::chrono::seconds(30);
    std::size_t maxEntries = 65536;
    /// Maximum total size of the stored answers, in bytes.
    std::size_t maxBytes = 16U << 20U;
    KeyOwnerRules rules;
};

/// A request with an idempotency key, as received by the record owner.
struct KeyRequest
{
    RequestId key;
    /// Hash of the method, target and body; differs when the key is reused for another request.
    std::uint64_t fingerprint = 0;
    /// True when the caller states that it has sent this key only once, and the entry node has sent the request to no other node that
    /// failed to reply. Must not be set on a message that can be delivered twice.
    bool firstAttempt = false;
};

/// What to do with a keyed request.
enum class KeyVerdict : std::uint8_t {
    /// Choose an executor and dispatch; then call onAnswer(), onNotRun() or onLost().
    Run,
    /// Wait for the KeyEvent of this key; its run or query is in progress.
    Join,
    /// Return the stored answer.
    Answer,
    /// Report that the request was never executed under this key.
    NotRun,
    /// Report that the request may have been executed.
    Unknown,
    /// Send the request to KeyDecision::node.
    Forward,
    /// Retry at this node after a short delay: it is joining or leaving.
    Later,
    Count,
};

/// Decision for a keyed request.
struct KeyDecision
{
    KeyVerdict verdict = KeyVerdict::Unknown;
    Reason reason = Reason::None;
    /// Set for Forward.
    NodeId node;
    /// Set for Answer.
    std::shared_ptr<const KeyAnswer> answer;
};

/// Decision for all requests that wait for a key. Run applies to exactly one of them.
struct KeyEvent
{
    RequestId key;
    KeyDecision decision;
};

/// Returns the stable name of @a verdict.
std::string_view nameOf(KeyVerdict verdict);
/// Returns the stable name of @a state.
std::string_view nameOf(KeyState state);

/// State and counters for status output and tests.
struct KeyOwnerStatus
{
    bool isFullMember = false;
    bool hasQuorum = false;
    bool leaving = false;
    std::size_t members = 0;
    std::size_t alive = 0;
    std::size_t entries = 0;
    std::size_t answerBytes = 0;
    std::uint64_t evicted = 0;
    /// Keys created at or before this time are queried at the next node in rank.
    WallTime joinFloor;
};

class KeyGroup;
class KeyTable;
struct KeyRanking;

/// Record owner of the keys of one service on one node, in one group of nodes.
///
/// Functions take the current monotonic and wall time as arguments. Messages and events are queued; fetch them with takeMessages() and
/// takeEvents() after every call.
class KeyOwner
{
public:
    KeyOwner(TimePoint now, const KeyOwnerOptions &options);
    ~KeyOwner();
    KeyOwner(const KeyOwner &) = delete;
    KeyOwner &operator=(const KeyOwner &) = delete;

    /// Sets the nodes of the group as listed by the membership service; used only to discover members.
    void setContacts(std::vector<NodeId> contacts);
    /// Processes a message from another member.
    void onMessage(TimePoint now, WallTime wall, const KeyMessage &message);
    /// Runs the timers that are due; call it at nextEvent() or more often.
    void onTimer(TimePoint now, WallTime wall);
    TimePoint nextEvent() const;

    /// Updates KeyOwnerOptions::founders when the expected size of the group has changed.
    void setFounders(std::size_t founders);

    /// Decides on a request that an entry node sent to this node. The key must have a creation time (UUIDv7).
    KeyDecision onRequest(TimePoint now, WallTime wall, const KeyRequest &request);

    /// Records @a executor, and returns the dispatch to send to it. Call immediately before the dispatch is written, and again for another
    /// executor only after a proven "not run".
    KeyDispatch beginDispatch(WallTime wall, const RequestId &key, NodeId executor, WallTime notAfter);
    /// Reports that the executor returned a complete answer.
    void onAnswer(const RequestId &key, KeyAnswer answer);
    /// Reports that provably no executor ran the key, and that no further one will be tried.
    void onNotRun(const RequestId &key, Reason reason);
    /// Reports that the dispatch was written, but its result is unknown.
    void onLost(const RequestId &key, Reason reason);

    /// Ends the ownership and starts the hand-over of the records. Answers of running keys are still reported to onAnswer().
    void beginLeave(TimePoint now, WallTime wall);
    /// Returns whether every member acknowledged the hand-over and no run is in progress.
    bool hasLeft() const;

    std::vector<KeyEnvelope> takeMessages();
    std::vector<KeyEvent> takeEvents();
    KeyOwnerStatus status(TimePoint now) const;

private:
    struct PendingQuery
    {
        std::uint64_t nonce = 0;
        TimePoint deadline;
        KeyRequest request;
    };

    KeyDecision decideRecorded(const KeyRecord &record, const KeyRequest &request) const;
    KeyDecision decideUnrecorded(TimePoint now, WallTime wall, const KeyRequest &request, WallTime created);
    KeyDecision decideOwned(TimePoint now, WallTime wall, const KeyRequest &request, WallTime created);
    static KeyDecision decideUncertain(const KeyRequest &request, Reason reason);
    KeyDecision refuse(const KeyRequest &request, WallTime created, Reason reason);
    KeyDecision startRun(TimePoint now, const KeyRequest &request, WallTime created);
    KeyDecision startQuery(TimePoint now, const KeyRequest &request, WallTime created, NodeId next);
    void onQueryReply(TimePoint now, WallTime wall, const KeyQueryReply &reply);
    void endQuery(TimePoint now, WallTime wall, const PendingQuery &pending, const KeyQueryReply *reply);
    KeyQueryReply answerQuery(TimePoint now, WallTime wall, const KeyQuery &query);
    bool isSafeToRun(TimePoint now, WallTime wall, WallTime created, const KeyRanking &ranking) const;
    void onHandover(TimePoint now, WallTime wall, const KeyHandover &handover);
    bool importRecord(TimePoint now, const KeyRecord &record);
    void endRun(KeyRecord &record, KeyState state, Reason reason, const std::shared_ptr<const KeyAnswer> &answer);
    void prepareHandovers();
    void sendHandovers();
    void emit(const RequestId &key, KeyDecision decision);

    KeyOwnerOptions m_options;
    std::unique_ptr<KeyGroup> m_group;
    std::unique_ptr<KeyTable> m_table;
    std::map<RequestId, PendingQuery> m_queries;
    /// Keys with the time at which their run becomes Lost, earliest first.
    std::deque<std::pair<TimePoint, RequestId>> m_runTimeouts;
    std::size_t m_running = 0;
    /// Parts for each member that hasn't acknowledged the hand-over.
    std::map<NodeId, std::vector<KeyHandover>> m_handovers;
    /// Next owners of the keys that were running when the hand-over was prepared; they receive the results of these runs.
    std::map<RequestId, NodeId> m_resultTargets;
    /// Which parts of each incoming hand-over have been received.
    std::map<KeyMember, std::vector<bool>> m_receivedParts;
    std::vector<KeyEnvelope> m_messages;
    std::vector<KeyEvent> m_events;
    std::uint64_t m_lastNonce = 0;
    TimePoint m_nextHandover;
    bool m_leaving = false;
};

/// Returns the node to which an entry node first sends a request with @a key, or an invalid one when @a alive is empty.
NodeId chooseOwner(const std::vector<NodeId> &alive, const RequestId &key);

// Executor

/// Limits of a DispatchGate.
struct DispatchGateOptions
{
    /// Greatest difference between the wall clocks of two nodes.
    Duration maxSkew = std::chrono::milliseconds(500);
    /// Time for which a dispatch is recorded after KeyDispatch::notAfter.
    Duration retention = std::chrono::seconds(30);
    std::size_t maxEntries = 65536;
    /// Safety rules; only the model tests disable them.
    bool recordsDispatches = true;
    /// Dispatches that may be older than the start of this process are Uncertain.
    bool checksProcessStart = true;
    bool checksDeadline = true;
};

/// What an executor does with a dispatch, or has recorded about it.
enum class DispatchVerdict : std::uint8_t {
    /// Start the request now.
    Start,
    /// Provably not started by this executor, and never will be.
    NotRun,
    /// Already started by this executor: running or finished. A duplicate is dropped.
    Started,
    /// Can't be decided: an earlier process on this host may have started it, or its record may have expired.
    Uncertain,
    Count,
};

/// Records the dispatches that reached an executor, so that one that arrives twice or late isn't started again.
class DispatchGate
{
public:
    explicit DispatchGate(WallTime startedAt, const DispatchGateOptions &options = {});

    /// Decides on a dispatch that arrived. A verdict of Start records it as started.
    DispatchVerdict admit(WallTime wall, const KeyDispatch &dispatch);
    /// Records that an admitted dispatch was removed from the queue before it was started. It won't be started later.
    void withdraw(const KeyDispatch &dispatch);
    /// Returns the state of a dispatch to an owner that lost the connection: NotRun, Started or Uncertain. A dispatch that hasn't arrived
    /// yet is refused from now on.
    DispatchVerdict resolve(WallTime wall, const KeyDispatch &dispatch);
    std::size_t size() const
    {
        return m_entries.size();
    }

private:
    struct Entry
    {
        /// Highest attempt received; it and lower ones are never started again.
        std::uint32_t attempt = 0;
        bool started = false;
    };

    std::optional<DispatchVerdict> findRecorded(const KeyDispatch &dispatch) const;
    bool isUndecidable(WallTime wall, const KeyDispatch &dispatch) const;
    void expire(WallTime wall);
    bool record(const KeyDispatch &dispatch, bool started);

    DispatchGateOptions m_options;
    WallTime m_startedAt;
    std::unordered_map<RequestId, Entry> m_entries;
    std::multimap<WallTime, RequestId> m_expiry;
    /// Dispatches decided at or before this time that aren't recorded are refused: at least one was refused without a record because the
    /// table was full.
    WallTime m_refusedUntil;
};

template<>
struct FrameTypeOf<KeyFrame>
{
    static constexpr FrameType kValue = FrameType::KeyFrame;
};

} // namespace chicoryspar
