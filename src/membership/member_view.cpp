/// @file
/// Precedence of claims, and digests and random draws over one node's view of the members.

#include "membership/member_view.h"

#include <algorithm>

namespace chicoryspar {
namespace {

bool isPresentState(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}

MemberChangeKind changeKindOf(MemberState before, MemberState after)
{
    if (after == MemberState::Suspect) {
        return isPresentState(before) ? MemberChangeKind::Suspected : MemberChangeKind::Returned;
    }
    if (after == MemberState::Dead) {
        return MemberChangeKind::Died;
    }
    if (after == MemberState::Left) {
        return MemberChangeKind::Left;
    }
    return before == MemberState::Suspect ? MemberChangeKind::Refuted : MemberChangeKind::Returned;
}

void recordChange(MemberView &view, MemberChangeKind kind, const Member &member)
{
    view.changes.push_back({kind, member});
    ++view.revision;
}

void setState(MemberView &view, Member &member, TimePoint now, MemberState state)
{
    if (member.state == state) {
        return;
    }
    const auto kind = changeKindOf(member.state, state);
    if (member.state == MemberState::Suspect) {
        std::erase(view.suspects, member.info.id);
    }
    if (state == MemberState::Suspect) {
        view.suspects.push_back(member.info.id);
    }
    if (member.isPresent() && !isPresentState(state)) {
        std::erase(view.others, member.info.id);
    }
    if (!member.isPresent() && isPresentState(state)) {
        view.others.push_back(member.info.id);
    }
    member.state = state;
    member.since = now;
    recordChange(view, kind, member);
}

/// Applies the newer record of @a claim, but not its incarnation and state; the caller applies those.
/// @returns whether the boot differs, that is, whether the node has lost its state
bool setInfo(Member &member, const MemberUpdate &claim)
{
    const bool isRestart = claim.info->boot != member.info.boot;
    const auto incarnation = member.info.incarnation;
    member.info = *claim.info;
    member.info.id = claim.id;
    member.info.incarnation = incarnation;
    member.info.version = claim.version;
    return isRestart;
}

ClaimEffect addMember(MemberView &view, TimePoint now, const MemberUpdate &claim)
{
    if (!claim.info && isPresentState(claim.state)) {
        return ClaimEffect::NeedsRecord;
    }
    Member member{.state = claim.state, .since = now};
    if (claim.info) {
        member.info = *claim.info;
        member.info.version = claim.version;
    }
    member.info.id = claim.id;
    member.info.incarnation = claim.incarnation;
    const auto &added = view.members.emplace(claim.id, std::move(member)).first->second;
    ++view.revision;
    if (added.state == MemberState::Suspect) {
        view.suspects.push_back(claim.id);
    }
    if (added.isPresent()) {
        view.others.push_back(claim.id);
        recordChange(view, MemberChangeKind::Joined, added);
    }
    return ClaimEffect::Applied;
}

bool supersedes(const MemberUpdate &claim, const Member &member)
{
    if (claim.incarnation != member.info.incarnation) {
        return claim.incarnation > member.info.incarnation;
    }
    return claim.state > member.state;
}

} // namespace

ClaimEffect applyClaim(MemberView &view, TimePoint now, const MemberUpdate &claim)
{
    const auto it = view.members.find(claim.id);
    if (it == view.members.end()) {
        return addMember(view, now, claim);
    }
    auto &member = it->second;
    const bool isNewer = supersedes(claim, member);
    const bool isNewRecord = claim.version > member.info.version && claim.incarnation >= member.info.incarnation;
    const bool isStillRemoved = !member.isPresent() && !isNewer;
    if ((!isNewer && !isNewRecord) || isStillRemoved) {
        return ClaimEffect::None;
    }
    const bool isPresentClaim = isPresentState(claim.state);
    if (!claim.info && isNewRecord && isPresentClaim && !member.isPresent()) {
        return ClaimEffect::NeedsRecord;
    }
    const bool appliesRecord = isNewRecord && claim.info.has_value();
    const bool isRestart = appliesRecord && setInfo(member, claim);
    view.revision += appliesRecord ? 1 : 0;
    if (isNewer) {
        member.info.incarnation = claim.incarnation;
        setState(view, member, now, claim.state);
    }
    if (appliesRecord && member.isPresent()) {
        recordChange(view, isRestart ? MemberChangeKind::Restarted : MemberChangeKind::InfoChanged, member);
    }
    const bool needsRecord = isNewRecord && !appliesRecord && isPresentClaim;
    return needsRecord ? ClaimEffect::NeedsRecord : ClaimEffect::Applied;
}

bool isOutdated(const MemberView &view, const MemberSummary &claim)
{
    const auto it = view.members.find(claim.id);
    if (it == view.members.end()) {
        return false;
    }
    const auto &info = it->second.info;
    if (info.incarnation != claim.incarnation) {
        return info.incarnation > claim.incarnation;
    }
    return it->second.state > claim.state || info.version > claim.version;
}

MemberUpdate updateOf(const MemberView &view, NodeId id, bool includesRecord)
{
    const auto &member = view.members.at(id);
    MemberUpdate update{.id = id, .incarnation = member.info.incarnation, .version = member.info.version, .state = member.state};
    if (includesRecord && !member.info.name.empty()) {
        update.info = member.info;
    }
    return update;
}

NodeId drawOther(const MemberView &view, Random &random)
{
    return view.others.empty() ? NodeId{} : view.others[drawBelow(random, view.others.size())];
}

std::size_t bucketOf(NodeId id)
{
    return id.value % kSyncBuckets;
}

std::vector<std::uint64_t> bucketHashes(const MemberView &view)
{
    std::vector<std::uint64_t> hashes(kSyncBuckets, 0);
    for (const auto &[id, member] : view.members) {
        if (member.isPresent()) {
            hashes[bucketOf(id)] += hashRequest(RequestId{member.info.incarnation, member.info.version}, id.value);
        }
    }
    return hashes;
}

void forgetRemoved(MemberView &view, TimePoint now, Duration age)
{
    view.revision += std::erase_if(view.members, [&](const auto &it) { return !it.second.isPresent() && now - it.second.since > age; });
}

} // namespace chicoryspar
