#pragma once

/// @file
/// Inner state of Membership and the functions that its parts offer each other.

#include "membership/gossip_queue.h"
#include "membership/member_view.h"
#include "membership/send_budget.h"

namespace chicoryspar {

/// The low bits of a version are random for each process, so that two processes of one node never give two records the same version.
constexpr int kVersionProcessBits = 16;

/// Returns the next version of the process that gave out @a own, above @a own and @a other.
constexpr std::uint64_t nextVersion(std::uint64_t own, std::uint64_t other)
{
    constexpr std::uint64_t kProcessMask = (1ULL << kVersionProcessBits) - 1;
    const auto count = std::max(own >> kVersionProcessBits, other >> kVersionProcessBits) + 1;
    return count << kVersionProcessBits | (own & kProcessMask);
}

/// The probe of the current period.
struct PendingProbe
{
    std::uint32_t sequence = 0;
    NodeId target;
    TimePoint sentAt{};
    bool isAcked = false;
    bool areIndirectProbesSent = false;
};

/// A probe made for another member.
struct RelayedProbe
{
    std::uint32_t sequence = 0;
    NodeId target;
    std::string originAddress;
    std::uint32_t originSequence = 0;
    TimePoint expiresAt{};
};

/// A suspicion that this node raised; the suspect is probed again until it ends.
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
    std::vector<NodeId> probeOrder;
    std::vector<RelayedProbe> relays;
    std::vector<LocalSuspicion> suspicions;
    std::uint32_t lastSequence = 0;

    TimePoint lastTickAt{};
    TimePoint nextProbeAt{};
    TimePoint nextSyncAt{};
    TimePoint nextContactAt{};
    /// Contacts that were not asked since they were set.
    std::vector<std::string> untriedContacts;
    TimePoint nextDeadProbeAt{};
    TimePoint nextForgetAt{};
    TimePoint lastForeignClaimAt{};
};

/// One call into the state machine: what every part needs.
struct MembershipCall
{
    MembershipState &state;
    TimePoint now;
    Random &random;
    OutgoingMessages &out;
};

/// Tells whether a member that was drawn is taken; one of another region is only now and then.
bool acceptsRegion(const MembershipCall &call, NodeId id);

/// Returns @a period shortened or lengthened by up to a tenth.
Duration jittered(Duration period, Random &random);

// --- Sending (membership_gossip.cpp) ---------------------------------------------------------------------------------

/// Returns a message with the header of this node.
MembershipMessage makeMessage(const MembershipState &state);

/// Sends @a message with as many pending updates as piggybackBytes allows.
void sendWithUpdates(const MembershipCall &call, const std::string &to, MembershipMessage message);

/// Sends the urgent updates to a few random members.
void pushUrgent(const MembershipCall &call);

/// Returns how often one update is passed on.
int transmitLimit(const MembershipState &state);

// --- Claims (membership_claims.cpp) ----------------------------------------------------------------------------------

/// Applies the updates of @a message.
void handleUpdates(const MembershipCall &call, const std::string &from, const MembershipMessage &message);

/// Applies one claim, about this node or another.
ClaimEffect handleClaim(const MembershipCall &call, const MemberUpdate &claim);

/// Marks a member that didn't answer.
void suspectMember(const MembershipCall &call, NodeId target);

/// Declares suspects dead that haven't refuted in time.
void expireSuspicions(const MembershipCall &call);

/// Raises the own version and spreads the own record.
void publishSelf(const MembershipCall &call);

// --- Probes (membership_probe.cpp) -----------------------------------------------------------------------------------

void tickProbes(const MembershipCall &call);
void handleProbe(const MembershipCall &call, const std::string &from, const Probe &body);
void handleProbeAck(const MembershipCall &call, const ProbeAck &body);
void handleProbeRequest(const MembershipCall &call, const std::string &from, const ProbeRequest &body);

// --- Anti-entropy (membership_sync.cpp) ------------------------------------------------------------------------------

void tickSync(const MembershipCall &call);
void handleSyncDigest(const MembershipCall &call, const std::string &from, const SyncDigest &body);
void handleSyncSummary(const MembershipCall &call, const std::string &from, const SyncSummary &body);
void handleSyncRecordRequest(const MembershipCall &call, const std::string &from, const SyncRecordRequest &body);

/// Asks @a to for the records of @a members.
void requestRecords(const MembershipCall &call, const std::string &to, std::vector<NodeId> members);

} // namespace chicoryspar
