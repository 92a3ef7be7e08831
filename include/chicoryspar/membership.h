#pragma once

/// @file
/// Membership of nodes: a SWIM state machine with piggybacked updates, suspicion, incarnations and anti-entropy.
/// Nothing here reads a clock or does input or output; a driver carries the messages and calls onTick().

#include <chicoryspar/core.h>

#include <map>
#include <memory>
#include <variant>

namespace chicoryspar {

// --- Members ---------------------------------------------------------------------------------------------------------

/// What a node knows of another node's life, in the order in which claims of one incarnation replace each other.
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

/// What a node says about itself.
struct MemberInfo
{
    NodeId id;
    std::string name;
    std::string region;
    std::string zone;
    /// Address "ip:port" of the peers' port.
    std::string address;
    /// Address "ip:port" of the operators' port, or empty.
    std::string operators;
    /// Service of the backend server, or empty.
    std::string service;
    /// Slots of the backend server.
    std::uint32_t slots = 0;
    BackendReadiness readiness = BackendReadiness::None;
    /// Start of this process in milliseconds since the Unix epoch; another value is another process without memory.
    std::uint64_t boot = 0;
    /// Raised by the node itself to refute a claim about it, and on each start or long pause.
    std::uint64_t incarnation = 0;
    /// Raised with each change of the fields above.
    std::uint64_t version = 0;

    bool operator==(const MemberInfo &) const = default;
};

/// A member as one node sees it.
struct Member
{
    MemberInfo info;
    MemberState state = MemberState::Alive;
    /// Since when @a state holds here.
    TimePoint since{};
    /// Summary of the configuration in force there, as the last message received from it said; 0 when none arrived.
    std::uint64_t configDigest = 0;

    /// Returns whether it may still be running: alive or suspect.
    bool isPresent() const
    {
        return state == MemberState::Alive || state == MemberState::Suspect;
    }
};

/// Returns the JSON body of `GET /v1/members`.
std::string formatMembers(const std::vector<const Member *> &members, TimePoint now);

/// Parses the JSON body of `GET /v1/members`; Member::since is counted back from @a now.
/// @returns nothing when @a text has faults, which are added to @a findings
std::optional<std::vector<Member>> parseMembers(std::string_view text, TimePoint now, std::vector<Finding> &findings);

/// What changed in the view of one node.
enum class MemberChangeKind : std::uint8_t {
    Joined,
    Suspected,
    Refuted,
    Died,
    Left,
    /// Came back after it was dead or had left.
    Returned,
    /// Another process of the same node, without memory.
    Restarted,
    /// Service, slots, readiness or address.
    InfoChanged,
    /// A claim about the own name that another process made.
    NameConflict,
    Count,
};

struct MemberChange
{
    MemberChangeKind kind = MemberChangeKind::Joined;
    Member member;
};

// --- Messages --------------------------------------------------------------------------------------------------------

/// A claim about one member: the full record, or only its state.
struct MemberUpdate
{
    NodeId id;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    MemberState state = MemberState::Alive;
    /// Present when the receiver may not know the record yet. Its identifier, incarnation and version aren't sent apart:
    /// the fields above hold for it.
    std::optional<MemberInfo> info;
};

/// Asks @a target whether it is alive.
struct Probe
{
    std::uint32_t sequence = 0;
    NodeId target;
};

/// Answers a probe, directly or through a helper.
struct ProbeAck
{
    std::uint32_t sequence = 0;
    /// The member that is alive.
    NodeId target;
};

/// Asks a helper to probe @a target on behalf of the sender.
struct ProbeRequest
{
    std::uint32_t sequence = 0;
    NodeId target;
    std::string targetAddress;
};

/// Carries updates only.
struct Gossip
{
};

/// Carries the records that an anti-entropy exchange asked for; the receiver doesn't pass them on.
struct SyncRecords
{
};

/// Opens an anti-entropy exchange: one hash for each bucket of present members.
/// Without buckets it asks a contact for a few members to begin with.
struct SyncDigest
{
    std::vector<std::uint64_t> buckets;
};

/// What the sender knows of one member.
struct MemberSummary
{
    NodeId id;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    MemberState state = MemberState::Alive;
};

/// Answers SyncDigest: all members of some buckets that differ; empty when both views agree.
struct SyncSummary
{
    /// Buckets of which every member is named.
    std::vector<std::uint16_t> buckets;
    std::vector<MemberSummary> members;
    /// True when more buckets differ than are named here.
    bool isPartial = false;
};

/// Asks for the full records of members; answered by SyncRecords.
struct SyncRecordRequest
{
    std::vector<NodeId> members;
};

/// One datagram.
struct MembershipMessage
{
    NodeId from;
    /// Incarnation of the sender.
    std::uint64_t incarnation = 0;
    /// Summary of the configuration in force at the sender.
    std::uint64_t configDigest = 0;
    /// Hybrid time of the sender; the driver fills it in.
    std::uint64_t clock = 0;
    /// Opaque bytes of the configuration part, at most kMaxConfigPayload.
    std::string configPayload;
    std::vector<MemberUpdate> updates;
    std::variant<Gossip, Probe, ProbeAck, ProbeRequest, SyncDigest, SyncSummary, SyncRecordRequest, SyncRecords> body;
};

/// Bytes that a packed message may take.
constexpr std::size_t kMaxMessageBytes = 1200;
constexpr std::size_t kMaxConfigPayload = 128;
/// Bytes that the record of a member may take; larger ones are ignored.
constexpr std::size_t kMaxRecordBytes = 600;
/// Buckets of the anti-entropy digest.
constexpr std::size_t kSyncBuckets = 64;

/// Returns an upper bound of the packed size of @a message, in bytes.
std::size_t packedSizeBound(const MembershipMessage &message);
std::size_t packedSizeBound(const MemberUpdate &update);

/// A message to send.
struct OutgoingMessage
{
    /// Address "ip:port".
    std::string to;
    MembershipMessage message;
};

// --- State machine ---------------------------------------------------------------------------------------------------

struct MembershipOptions
{
    /// Own record; its incarnation and version start at boot.
    MemberInfo self;
    /// Addresses of first contact.
    std::vector<std::string> contacts;
    /// Chance that a member of another region is taken when it is drawn for a probe or a push: the way there is billed by volume.
    double crossRegionProbability = 1;
    /// Each member probes one other in each period.
    Duration probePeriod = std::chrono::milliseconds(1000);
    /// After this without an acknowledgement, helpers are asked.
    Duration probeTimeout = std::chrono::milliseconds(300);
    int probeHelpers = 3;
    /// A suspect that hasn't refuted after this is dead.
    Duration suspicionTimeout = std::chrono::seconds(5);
    /// A new update is sent at once to this many members more than the natural logarithm of the member count.
    int pushFanoutExtra = 2;
    /// Rate of bytes sent for pushes, on average, and the most at once.
    double pushBytesPerSecond = 1500;
    double pushBurstBytes = 8000;
    /// Bytes of updates that a probe or its acknowledgement may carry.
    std::size_t piggybackBytes = 700;
    /// A pending update is dropped after this multiple of log10 of the member count, counting each time sent or heard again.
    int transmitLimitFactor = 4;
    /// A pending update older than this is dropped when an anti-entropy exchange found equal views.
    Duration dropAgeOnEqualViews = std::chrono::seconds(5);
    /// Period of anti-entropy while views agree, and while they differ.
    Duration syncPeriod = std::chrono::seconds(10);
    Duration syncCatchUpPeriod = std::chrono::milliseconds(250);
    /// Rate of bytes sent for anti-entropy, on average, and the most at once.
    double syncBytesPerSecond = 1000;
    double syncBurstBytes = 150'000;
    /// One dead member is probed again in each period.
    Duration deadProbePeriod = std::chrono::seconds(2);
    /// A contact that isn't a present member is asked again in each period.
    Duration contactPeriod = std::chrono::seconds(30);
    /// Dead and departed members are forgotten after this.
    Duration forgetAfter = std::chrono::hours(24);
    /// Ticks further apart than this are taken for a pause of the process.
    Duration pauseThreshold = std::chrono::milliseconds(1500);
};

/// Counters since the start.
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

/// The view of one node and its part in the protocol. Each function appends the messages to send to @a out.
class Membership
{
public:
    Membership(MembershipOptions options, TimePoint now, Random &random);
    ~Membership();
    Membership(Membership &&) noexcept;
    Membership &operator=(Membership &&) noexcept;

    /// Advances all timers; call it every kTickPeriod.
    void onTick(TimePoint now, Random &random, std::vector<OutgoingMessage> &out);

    /// Handles a message that came from address @a from and was authenticated.
    void onMessage(TimePoint now, Random &random, const std::string &from, const MembershipMessage &message,
                   std::vector<OutgoingMessage> &out);

    /// Spreads a changed state of the own backend server; does nothing when nothing changed.
    /// @param service name that keeps the own record under kMaxRecordBytes
    void announceSelf(TimePoint now, Random &random, std::string_view service, std::uint32_t slots, BackendReadiness readiness,
                      std::vector<OutgoingMessage> &out);

    /// Spreads that this node stops. Keep ticking for kLeaveTime so that all learn it.
    void leave(TimePoint now, Random &random, std::vector<OutgoingMessage> &out);

    /// Takes a pause of the whole process of length @a gap into account; onTick() finds pauses by itself.
    /// A pause beyond the suspicion timeout gives the node a fresh boot and incarnation.
    void onPaused(TimePoint now, Duration gap);

    /// Replaces the addresses of first contact.
    void setContacts(std::vector<std::string> contacts);

    /// Sets the configuration summary that messages carry, and tells a few members at once when it changed.
    void setConfigDigest(TimePoint now, Random &random, std::uint64_t digest, std::string payload, std::vector<OutgoingMessage> &out);

    /// Sends the own record and configuration summary to @a node at once.
    void notify(TimePoint now, NodeId node, std::vector<OutgoingMessage> &out);

    /// Asks @a node for its configuration digest, outside the regular probes; the answer updates Member::configDigest.
    void requestConfigDigest(TimePoint now, NodeId node, std::vector<OutgoingMessage> &out);

    /// Own record.
    const MemberInfo &self() const;

    /// Returns the member, or null; the own node is a member too.
    const Member *find(NodeId id) const;

    /// Returns every known member, by identifier.
    std::vector<const Member *> members() const;

    /// Returns the number of members that are alive or suspect, with the own node.
    std::size_t presentCount() const;

    /// Returns the changes since the last call, oldest first.
    std::vector<MemberChange> takeChanges();

    /// Returns a hash over the present members; equal views have equal hashes.
    std::uint64_t viewDigest() const;

    const MembershipCounters &counters() const;

    /// Returns the estimated bytes of memory that the view takes.
    std::size_t memoryBytes() const;

private:
    std::unique_ptr<MembershipState> m_state;
};

/// Time between calls of Membership::onTick().
constexpr Duration kTickPeriod = std::chrono::milliseconds(100);
/// Time between Membership::leave() and the end of the process.
constexpr Duration kLeaveTime = std::chrono::milliseconds(1000);

} // namespace chicoryspar
