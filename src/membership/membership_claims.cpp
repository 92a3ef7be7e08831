/// @file
/// Claims about this node and others: application, refutation and suspicion.

#include "membership/membership_state.h"

#include <algorithm>

namespace chicoryspar {
namespace {

/// Minimum time between two reactions to claims of another process that uses the name of this node.
constexpr Duration kMinForeignClaimInterval = std::chrono::seconds(1);

Member &selfOf(MembershipState &state)
{
    return state.view.members.at(state.view.self);
}

/// Returns whether this process can't have made @a claim: it comes from an earlier process of this node, or from another process with
/// the same name.
bool isForeign(const MemberInfo &self, const MemberUpdate &claim)
{
    return claim.incarnation > self.incarnation || claim.version > self.version;
}

/// Raises boot, incarnation and version above those of @a claim and publishes this node's record. Reports a name conflict when the
/// claim is of a running process at another address.
void overrideForeignClaim(const MembershipCall &call, const MemberUpdate &claim)
{
    auto &state = call.state;
    auto &self = selfOf(state);
    if (call.now - state.lastForeignClaimAt < kMinForeignClaimInterval) {
        return;
    }
    state.lastForeignClaimAt = call.now;
    const bool isNameConflict = claim.state == MemberState::Alive && claim.info && claim.info->address != self.info.address;
    if (isNameConflict) {
        state.view.changes.push_back(
            {MemberChangeKind::NameConflict, Member{.info = *claim.info, .state = claim.state, .since = call.now}});
    }
    const auto foreignBoot = claim.info ? claim.info->boot : claim.incarnation;
    self.info.boot = std::max(self.info.boot, foreignBoot + 1);
    self.info.incarnation = std::max({self.info.incarnation, claim.incarnation, self.info.boot}) + 1;
    self.info.version = nextVersion(self.info.version, claim.version);
    ++state.view.revision;
    enqueueUpdate(state.queue, call.now, state.view.self, true, true);
}

ClaimEffect handleClaimAboutSelf(const MembershipCall &call, const MemberUpdate &claim)
{
    auto &state = call.state;
    auto &self = selfOf(state);
    if (state.isLeaving || claim.incarnation < self.info.incarnation) {
        return ClaimEffect::None;
    }
    if (isForeign(self.info, claim)) {
        overrideForeignClaim(call, claim);
        return ClaimEffect::Applied;
    }
    if (claim.state == MemberState::Alive) {
        return ClaimEffect::None;
    }
    ++state.counters.refutations;
    self.info.incarnation = claim.incarnation + 1;
    enqueueUpdate(state.queue, call.now, state.view.self, false, true);
    return ClaimEffect::Applied;
}

/// Sends the state in this view to a sender that is suspect, dead or left here, so that it can refute it.
void notifyNonAliveSender(const MembershipCall &call, const std::string &from, const MembershipMessage &message)
{
    const auto it = call.state.view.members.find(message.from);
    if (it == call.state.view.members.end() || it->second.state == MemberState::Alive) {
        return;
    }
    if (message.incarnation > it->second.info.incarnation || std::holds_alternative<Gossip>(message.body)) {
        return;
    }
    auto reply = makeMessage(call.state);
    reply.updates.push_back(updateOf(call.state.view, message.from, false));
    call.out.push_back({from, std::move(reply)});
}

/// Returns whether the sender isn't in the view or has a newer incarnation than there.
bool needsSenderRecord(const MembershipState &state, const MembershipMessage &message)
{
    const auto it = state.view.members.find(message.from);
    return it == state.view.members.end() || it->second.info.incarnation < message.incarnation;
}

} // namespace

ClaimEffect handleClaim(const MembershipCall &call, const MemberUpdate &claim)
{
    if (claim.id == call.state.view.self) {
        return handleClaimAboutSelf(call, claim);
    }
    return applyClaim(call.state.view, call.now, claim);
}

void handleUpdates(const MembershipCall &call, const std::string &from, const MembershipMessage &message)
{
    auto &state = call.state;
    const bool isForwarded = !std::holds_alternative<SyncRecords>(message.body);
    std::vector<NodeId> neededRecords;
    for (const auto &it : message.updates) {
        if (!it.id.isValid() || packedSizeBound(it) > kMaxRecordBytes) {
            continue;
        }
        const auto effect = handleClaim(call, it);
        if (effect == ClaimEffect::NeedsRecord) {
            neededRecords.push_back(it.id);
        }
        if (it.id == state.view.self) {
            continue;
        }
        if (effect == ClaimEffect::Applied && isForwarded) {
            const bool isUrgent = it.state != MemberState::Suspect;
            enqueueUpdate(state.queue, call.now, it.id, it.info.has_value(), isUrgent);
        } else if (effect == ClaimEffect::None) {
            countDuplicate(state.queue, call.now, it.id);
        }
    }
    if (needsSenderRecord(state, message)) {
        neededRecords.push_back(message.from);
    }
    if (!neededRecords.empty()) {
        requestRecords(call, from, std::move(neededRecords));
    }
    notifyNonAliveSender(call, from, message);
    const auto sender = state.view.members.find(message.from);
    if (sender != state.view.members.end()) {
        sender->second.configDigest = message.configDigest;
    }
}

void suspectMember(const MembershipCall &call, NodeId target)
{
    auto &state = call.state;
    const auto it = state.view.members.find(target);
    if (it == state.view.members.end() || it->second.state != MemberState::Alive) {
        return;
    }
    ++state.counters.suspicions;
    auto claim = updateOf(state.view, target, false);
    claim.state = MemberState::Suspect;
    applyClaim(state.view, call.now, claim);
    enqueueUpdate(state.queue, call.now, target, false, false);
    state.suspicions.push_back({target, call.now});
}

void expireSuspicions(const MembershipCall &call)
{
    auto &view = call.state.view;
    const auto suspects = view.suspects;
    for (const auto id : suspects) {
        if (call.now - view.members.at(id).since < call.state.options.suspicionTimeout) {
            continue;
        }
        auto claim = updateOf(view, id, false);
        claim.state = MemberState::Dead;
        applyClaim(view, call.now, claim);
        enqueueUpdate(call.state.queue, call.now, id, false, true);
    }
}

void publishSelf(const MembershipCall &call)
{
    auto &self = selfOf(call.state);
    self.info.version = nextVersion(self.info.version, 0);
    ++call.state.view.revision;
    enqueueUpdate(call.state.queue, call.now, call.state.view.self, true, true);
}

} // namespace chicoryspar
