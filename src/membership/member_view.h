#pragma once

/// @file
/// One node's view of the members, and the precedence of claims about a member.

#include <chicoryspar/membership.h>

namespace chicoryspar {

/// Effect of a claim on a view.
enum class ClaimEffect : std::uint8_t {
    /// No effect: the view has the same or a newer state.
    None,
    /// Changed the view.
    Applied,
    /// The view lacks the record of this member, or of this version of it.
    NeedsRecord,
    Count,
};

struct MemberView
{
    NodeId self;
    std::map<NodeId, Member> members;
    /// Members whose state is Suspect.
    std::vector<NodeId> suspects;
    /// Present members without this node, in no particular order.
    std::vector<NodeId> others;
    /// Changes that haven't been taken with Membership::takeChanges(), oldest first.
    std::vector<MemberChange> changes;
    /// See Membership::revision().
    std::uint64_t revision = 1;
};

/// Applies a claim about a member other than this node.
ClaimEffect applyClaim(MemberView &view, TimePoint now, const MemberUpdate &claim);

/// Returns whether the view has a newer state or record of the member than @a claim.
bool isOutdated(const MemberView &view, const MemberSummary &claim);

/// Returns an update with the state of @a id, which must be in the view, and with its record if @a includesRecord and it has arrived.
MemberUpdate updateOf(const MemberView &view, NodeId id, bool includesRecord);

/// Returns a random present member other than this node, or an invalid identifier when there is none.
NodeId drawOther(const MemberView &view, Random &random);

/// Returns the bucket of the anti-entropy digest that @a id belongs to.
std::size_t bucketOf(NodeId id);

/// Returns for each bucket a hash over identifier, incarnation and version of its present members.
std::vector<std::uint64_t> bucketHashes(const MemberView &view);

/// Removes members that died or left more than @a age ago.
void forgetRemoved(MemberView &view, TimePoint now, Duration age);

} // namespace chicoryspar
