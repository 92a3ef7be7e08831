#pragma once

/// @file
/// Internal state of Membership, and the functions that its source files share.

#include "membership/gossip_queue.h"
#include "membership/member_view.h"
#include "membership/send_budget.h"

namespace chicoryspar {

/// Number of low bits of a version that each process draws at random, so that two processes of one node don't publish different records
/// under the same version.
constexpr int kVersionProcessBits = 16;

/// Returns a version above @a own and @a other, with the process bits of @a own.
constexpr std::uint64_t nextVersion(std::uint64_t own, std::uint64_t other)
{
    constexpr std::uint64_t kProcessMask = (1ULL << kVersionProcessBits) - 1;
    const auto count = std::max(own >> kVersionProcessBits, other >> kVersionProcessBits) + 1;
    return count << kVersionProcessBits | (own & kProcessMask);
}

/// This node's probe of the current period.
struct PendingProbe
{
    std::uint32_t sequence = 0;
    NodeId target;
    TimePoint sentAt{};
    bool isAcked = false;
    bool areIndirectProbesSent = false;
};

/// A probe on behalf of another member, the origin.
struct RelayedProbe
{
    std::uint32_t sequence = 0;
    NodeId target;
    std::string originAddress;
    std::uint32_t originSequence = 0;
    TimePoint expiresAt{};
};

/// A suspicion raised by this node. The suspect is probed once per probe period until it is no longer suspect.
struct LocalSuspicion
{
    NodeId target;
    TimePoint nextProbeAt{};
};

using OutgoingMessages = std::vector<OutgoingMessage>;

struct MembershipState
{
    MembershipOptions options;
    MemberView view;
    GossipQueue queue;
    SendBudget pushBudget;
    SendBudget syncBudget;
    MembershipCounters counters;
    std::uint64_t configDigest = 0;
    std::string configPayload;
    bool isLeaving = false;
    bool isConfigDigestUnsent = false;

    std::optional<PendingProbe> probe;
    /// Members still to be probed in this round; the last one is next.
    std::vector<NodeId> probeOrder;
    std::vector<RelayedProbe> relays;
    std::vector<LocalSuspicion> suspicions;
    std::uint32_t lastSequence = 0;

    TimePoint lastTickAt{};
    TimePoint nextProbeAt{};
    TimePoint nextSyncAt{};
    TimePoint nextContactAt{};
    /// Contacts that haven't been asked since they were set.
    std::vector<std::string> untriedContacts;
    TimePoint nextDeadProbeAt{};
    TimePoint nextForgetAt{};
    TimePoint lastForeignClaimAt{};
};

/// Parameters of one call of a function of Membership, passed on to all handlers.
struct MembershipCall
{
    MembershipState &state;
    TimePoint now;
    Random &random;
    OutgoingMessages &out;
};

/// Returns whether a drawn member is accepted by its region: always in this node's region, with crossRegionProbability in others.
bool acceptsRegion(const MembershipCall &call, NodeId id);

/// Returns @a period with a random jitter of up to 10 % in either direction.
Duration jittered(Duration period, Random &random);

// Sending (membership_gossip.cpp)

/// Returns a message without updates and body, with the header fields of this node.
MembershipMessage makeMessage(const MembershipState &state);

/// Sends @a message with as many pending updates as fit into piggybackBytes and kMaxMessageBytes.
void sendWithUpdates(const MembershipCall &call, const std::string &to, MembershipMessage message);

/// Sends the urgent updates, and a configuration digest not sent yet, to a few random members.
void pushUrgent(const MembershipCall &call);

/// Returns how often an update is sent or received again before it is dropped.
int transmitLimit(const MembershipState &state);

// Claims (membership_claims.cpp)

/// Applies the updates of @a message, queues those that had an effect and requests missing records from the sender.
void handleUpdates(const MembershipCall &call, const std::string &from, const MembershipMessage &message);

/// Applies one claim about this node or another member.
ClaimEffect handleClaim(const MembershipCall &call, const MemberUpdate &claim);

/// Marks @a target as suspect if it is alive in the view.
void suspectMember(const MembershipCall &call, NodeId target);

/// Declares suspects dead that haven't refuted within the suspicion timeout.
void expireSuspicions(const MembershipCall &call);

/// Raises the version of this node's record and queues the record as an urgent update.
void publishSelf(const MembershipCall &call);

// Probes (membership_probe.cpp)

void tickProbes(const MembershipCall &call);
void handleProbe(const MembershipCall &call, const std::string &from, const Probe &body);
void handleProbeAck(const MembershipCall &call, const ProbeAck &body);
void handleProbeRequest(const MembershipCall &call, const std::string &from, const ProbeRequest &body);

// Anti-entropy (membership_sync.cpp)

void tickSync(const MembershipCall &call);
void handleSyncDigest(const MembershipCall &call, const std::string &from, const SyncDigest &body);
void handleSyncSummary(const MembershipCall &call, const std::string &from, const SyncSummary &body);
void handleSyncRecordRequest(const MembershipCall &call, const std::string &from, const SyncRecordRequest &body);

/// Requests the records of @a members from address @a to.
void requestRecords(const MembershipCall &call, const std::string &to, std::vector<NodeId> members);

} // namespace chicoryspar
