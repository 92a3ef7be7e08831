#pragma once

/// @file
/// Membership of nodes: a SWIM state machine with piggybacked updates, suspicion, incarnations and anti-entropy.
/// The state machine reads no clock and does no I/O; a driver passes in the time, carries the messages and calls onTick().

#include <chicoryspar/core.h>

#include <map>
#include <memory>
#include <variant>

namespace chicoryspar {

// Members

/// State of a member. Among claims of the same incarnation, a later enumerator supersedes an earlier one.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect,
    Dead,
    Left,
    Count,
};

/// State of the backend server beside a node.
enum class BackendReadiness : std::uint8_t {
    None,
    Starting,
    Ready,
    Draining,
    Count,
};

struct MemberStateRow
{
    std::string_view name;
};

struct BackendReadinessRow
{
    std::string_view name;
};

const MemberStateRow &rowOf(MemberState value);
const BackendReadinessRow &rowOf(BackendReadiness value);
std::optional<MemberState> findMemberState(std::string_view name);
std::optional<BackendReadiness> findBackendReadiness(std::string_view name);

/// Record that a node publishes about itself.
struct MemberInfo
{
    NodeId id;
    std::string name;
    std::string region;
    std::string zone;
    /// Address "ip:port" at which peers reach this node.
    std::string address;
    /// Address "ip:port" of the operator API, or empty.
    std::string operators;
    /// Name of the backend server's service, or empty.
    std::string service;
    /// Number of slots of the backend server.
    std::uint32_t slots = 0;
    BackendReadiness readiness = BackendReadiness::None;
    /// Start of this process in milliseconds since the Unix epoch. A different value means that the node has lost its state.
    /// A long pause of the process raises it too, see Membership::onPaused().
    std::uint64_t boot = 0;
    /// Raised only by the node itself: to refute a claim about it, on each start and after a long pause.
    std::uint64_t incarnation = 0;
    /// Raised with each change of the other fields, except the incarnation.
    std::uint64_t version = 0;

    bool operator==(const MemberInfo &) const = default;
};

/// A member as one node sees it.
struct Member
{
    MemberInfo info;
    MemberState state = MemberState::Alive;
    /// When this node recorded @a state.
    TimePoint since{};
    /// Digest of the configuration in force at the member, from the last message received from it; 0 before the first one.
    std::uint64_t configDigest = 0;

    /// Returns whether the member may still be running, that is, whether it is alive or suspect.
    bool isPresent() const
    {
        return state == MemberState::Alive || state == MemberState::Suspect;
    }
};

/// Returns the JSON body of `GET /v1/members`.
std::string formatMembers(const std::vector<const Member *> &members, TimePoint now);

/// Parses the JSON body of `GET /v1/members`. Member::since is computed from the age in the JSON and @a now.
/// @returns the members, or nothing when @a text is invalid; each error is then appended to @a findings
std::optional<std::vector<Member>> parseMembers(std::string_view text, TimePoint now, std::vector<Finding> &findings);

/// Kind of a change in one node's view of the members.
enum class MemberChangeKind : std::uint8_t {
    Joined,
    Suspected,
    Refuted,
    Died,
    Left,
    /// Alive or suspect again after it was dead or had left.
    Returned,
    /// The node runs under another MemberInfo::boot and has lost its state.
    Restarted,
    /// The record changed, such as its service, slots, readiness or address.
    InfoChanged,
    /// Another running process uses the name of this node.
    NameConflict,
    Count,
};

struct MemberChange
{
    MemberChangeKind kind = MemberChangeKind::Joined;
    Member member;
};

// Messages

/// A claim about one member: its state, with or without its full record.
struct MemberUpdate
{
    NodeId id;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    MemberState state = MemberState::Alive;
    /// Set when the receiver may not have this version of the record. The record's own identifier, incarnation and version
    /// aren't encoded; the fields above apply.
    std::optional<MemberInfo> info;
};

/// Checks whether @a target is alive; answered by ProbeAck.
struct Probe
{
    std::uint32_t sequence = 0;
    NodeId target;
};

/// Answers a probe, directly or through a helper.
struct ProbeAck
{
    std::uint32_t sequence = 0;
    /// The member that answered the probe.
    NodeId target;
};

/// Asks a helper to probe @a target on behalf of the sender (indirect probe).
struct ProbeRequest
{
    std::uint32_t sequence = 0;
    NodeId target;
    std::string targetAddress;
};

/// Carries no body of its own, only the updates of the message.
struct Gossip
{
};

/// Carries records that an anti-entropy exchange requested, as updates of the message. The receiver doesn't forward them.
struct SyncRecords
{
};

/// Opens an anti-entropy exchange with one hash for each bucket of present members.
/// Without buckets it asks a contact for a few members to join through.
struct SyncDigest
{
    std::vector<std::uint64_t> buckets;
};

/// The sender's current state of one member, without the record.
struct MemberSummary
{
    NodeId id;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    MemberState state = MemberState::Alive;
};

/// Answers SyncDigest with all members of buckets whose hashes differ; empty when both views are equal.
struct SyncSummary
{
    /// Buckets whose members are all listed in @a members.
    std::vector<std::uint16_t> buckets;
    std::vector<MemberSummary> members;
    /// True when further buckets differ that didn't fit into the message.
    bool isPartial = false;
};

/// Requests the full records of members; answered by SyncRecords.
struct SyncRecordRequest
{
    std::vector<NodeId> members;
};

/// Content of one datagram.
struct MembershipMessage
{
    NodeId from;
    /// Incarnation of the sender.
    std::uint64_t incarnation = 0;
    /// Digest of the configuration in force at the sender.
    std::uint64_t configDigest = 0;
    /// Hybrid logical clock of the sender; set by the driver.
    std::uint64_t clock = 0;
    /// Opaque bytes of the configuration synchronization, at most kMaxConfigPayload.
    std::string configPayload;
    std::vector<MemberUpdate> updates;
    std::variant<Gossip, Probe, ProbeAck, ProbeRequest, SyncDigest, SyncSummary, SyncRecordRequest, SyncRecords> body;
};

/// Maximum packed size of a message in bytes.
constexpr std::size_t kMaxMessageBytes = 1200;
/// Maximum size of MembershipMessage::configPayload in bytes.
constexpr std::size_t kMaxConfigPayload = 128;
/// Maximum packed size of an update with a record in bytes; larger updates are ignored.
constexpr std::size_t kMaxRecordBytes = 600;
/// Number of buckets of the anti-entropy digest.
constexpr std::size_t kSyncBuckets = 64;

/// Returns an upper bound on the packed size in bytes.
std::size_t packedSizeBound(const MembershipMessage &message);
std::size_t packedSizeBound(const MemberUpdate &update);

/// A message to send.
struct OutgoingMessage
{
    /// Address "ip:port".
    std::string to;
    MembershipMessage message;
};

// State machine

struct MembershipOptions
{
    /// Record of this node. The first incarnation and version are derived from its boot; the values given here aren't used.
    MemberInfo self;
    /// Addresses "ip:port" through which the node joins.
    std::vector<std::string> contacts;
    /// Probability that a member of another region is accepted when it is drawn for a probe or a push.
    /// Below 1 it saves traffic between regions, which is billed by volume.
    double crossRegionProbability = 1;
    /// Each node probes one other member per period.
    Duration probePeriod = std::chrono::milliseconds(1000);
    /// A probe that isn't acknowledged within this time is repeated through helpers.
    Duration probeTimeout = std::chrono::milliseconds(300);
    /// Maximum number of helpers for an unacknowledged probe.
    int probeHelpers = 3;
    /// A suspect that doesn't refute within this time is declared dead.
    Duration suspicionTimeout = std::chrono::seconds(5);
    /// An urgent update is pushed at once to ln(member count) random members plus this many.
    int pushFanoutExtra = 2;
    /// Token bucket of the bytes sent for pushes: rate and burst.
    double pushBytesPerSecond = 1500;
    double pushBurstBytes = 8000;
    /// Maximum bytes of updates that a probe, a probe request or an acknowledgement carries.
    std::size_t piggybackBytes = 700;
    /// A pending update is dropped once it was sent, or received again, this many times log10 of the member count (rounded up).
    int transmitLimitFactor = 4;
    /// A pending update older than this is dropped when an anti-entropy exchange finds equal views.
    Duration dropAgeOnEqualViews = std::chrono::seconds(5);
    /// Period of anti-entropy exchanges.
    Duration syncPeriod = std::chrono::seconds(10);
    /// Period of anti-entropy exchanges while views differ or no other member is present.
    Duration syncCatchUpPeriod = std::chrono::milliseconds(250);
    /// Token bucket of the bytes sent for anti-entropy: rate and burst.
    double syncBytesPerSecond = 1000;
    double syncBurstBytes = 150'000;
    /// A node probes at most one dead member per period.
    Duration deadProbePeriod = std::chrono::seconds(2);
    /// One random contact is asked for members per period, unless it is a present member.
    Duration contactPeriod = std::chrono::seconds(30);
    /// Members that are dead or have left are removed from the view after this time.
    Duration forgetAfter = std::chrono::hours(24);
    /// A longer gap between two ticks is treated as a pause of the process.
    Duration pauseThreshold = std::chrono::milliseconds(1500);
};

/// Counters since the start of the process.
struct MembershipCounters
{
    std::uint64_t probesSent = 0;
    std::uint64_t probesFailed = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t refutations = 0;
    std::uint64_t pushesSent = 0;
    std::uint64_t syncsSent = 0;
    std::uint64_t pauses = 0;
};

struct MembershipState;

/// Membership protocol of one node, with its view of all members. Functions with a parameter @a out append the messages to send to it.
class Membership
{
public:
    Membership(MembershipOptions options, TimePoint now, Random &random);
    ~Membership();
    Membership(Membership &&) noexcept;
    Membership &operator=(Membership &&) noexcept;

    /// Advances all timers. Call it every kTickPeriod.
    void onTick(TimePoint now, Random &random, std::vector<OutgoingMessage> &out);

    /// Handles a message from address @a from. The driver must have authenticated it.
    void onMessage(TimePoint now, Random &random, const std::string &from, const MembershipMessage &message,
                   std::vector<OutgoingMessage> &out);

    /// Publishes the state of this node's backend server; does nothing when it hasn't changed.
    /// @param service name of the service, short enough that this node's record stays within kMaxRecordBytes
    void announceSelf(TimePoint now, Random &random, std::string_view service, std::uint32_t slots, BackendReadiness readiness,
                      std::vector<OutgoingMessage> &out);

    /// Announces that this node is leaving. Keep calling onTick() for kLeaveTime so that the announcement reaches all members.
    void leave(TimePoint now, Random &random, std::vector<OutgoingMessage> &out);

    /// Handles a pause of the process: drops pending probes and extends suspicions by @a gap. onTick() detects pauses by itself.
    /// After a pause longer than the suspicion timeout the node takes a new boot and incarnation.
    void onPaused(TimePoint now, Duration gap);

    /// Replaces the addresses through which the node joins. Each that isn't a present member is asked once, one per tick.
    void setContacts(std::vector<std::string> contacts);

    /// Sets the configuration digest and payload that messages carry. A changed digest is pushed to a few members at once.
    void setConfigDigest(TimePoint now, Random &random, std::uint64_t digest, std::string payload, std::vector<OutgoingMessage> &out);

    /// Sends this node's record and configuration digest to @a node at once.
    void sendOwnRecord(TimePoint now, NodeId node, std::vector<OutgoingMessage> &out);

    /// Requests the configuration digest of @a node, outside the regular probes; the answer updates Member::configDigest.
    void requestConfigDigest(TimePoint now, NodeId node, std::vector<OutgoingMessage> &out);

    /// Returns the record of this node.
    const MemberInfo &self() const;

    /// Returns the member, or null when it isn't in the view. This node is a member too.
    const Member *find(NodeId id) const;

    /// Returns all members whose record has arrived, dead and departed ones included, ordered by identifier.
    std::vector<const Member *> members() const;

    /// Returns the number of members that are alive or suspect, including this node until it leaves.
    std::size_t presentCount() const;

    /// Returns the changes since the last call, oldest first.
    std::vector<MemberChange> takeChanges();

    /// Increases with each change of the record or state of a member, this node included, and with each member that is added or removed.
    /// What is derived from members() is out of date once it differs. Incarnations and configuration digests alone don't count.
    std::uint64_t revision() const;

    /// Returns a hash over identifier, incarnation and version of the present members; equal views have equal hashes.
    std::uint64_t viewDigest() const;

    const MembershipCounters &counters() const;

    /// Returns the estimated memory of the view in bytes.
    std::size_t memoryBytes() const;

private:
    std::unique_ptr<MembershipState> m_state;
};

/// Interval between calls of Membership::onTick().
constexpr Duration kTickPeriod = std::chrono::milliseconds(100);
/// Time that the process keeps running after Membership::leave().
constexpr Duration kLeaveTime = std::chrono::milliseconds(1000);

} // namespace chicoryspar
