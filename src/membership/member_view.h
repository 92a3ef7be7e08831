#pragma once

/// @file
/// The members as one node sees them, and the order in which claims about a member replace each other.

#include <chicoryspar/membership.h>

namespace chicoryspar {

/// What a claim did to a view.
enum class ClaimEffect : std::uint8_t {
    /// Older than what is known, or equal to it.
    None,
    /// Changed the view.
    Applied,
    /// Names a member or version whose record isn't known yet.
    NeedsRecord,
    Count,
};

struct MemberView
{
    NodeId self;
    std::map<NodeId, Member> members;
    /// Members whose state is Suspect.
    std::vector<NodeId> suspects;
    /// Present members but the own node, in no order.
    std::vector<NodeId> others;
    std::vector<MemberChange> changes;
};

/// Applies a claim about another member.
ClaimEffect applyClaim(MemberView &view, TimePoint now, const MemberUpdate &claim);

/// Returns whether the view holds something newer about the member than @a claim says.
bool isOutdated(const MemberView &view, const MemberSummary &claim);

/// Returns what the view knows of @a id, with the full record when @a includesRecord.
MemberUpdate updateOf(const MemberView &view, NodeId id, bool includesRecord);

/// Returns one random present member but the own node, or an invalid identifier.
NodeId drawOther(const MemberView &view, Random &random);

/// Returns the bucket of the anti-entropy digest that @a id falls into.
std::size_t bucketOf(NodeId id);

/// Returns one hash for each bucket over identifier, incarnation and version of the present members.
std::vector<std::uint64_t> bucketHashes(const MemberView &view);

/// Drops the members that have been dead or have left for longer than @a age.
void forgetRemoved(MemberView &view, TimePoint now, Duration age);

} // namespace chicoryspar
