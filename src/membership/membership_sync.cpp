/// @file
/// Anti-entropy: a digest, a summary of the buckets that differ, then the records that either side lacks.

#include "membership/membership_state.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace chicoryspar {
namespace {

/// Maximum number of records requested, and of newer records sent, in one exchange.
constexpr std::size_t kMaxRecordsPerExchange = 64;
/// Period at which a contact is asked while no other member is present.
constexpr Duration kFirstContactPeriod = std::chrono::milliseconds(1000);
/// Maximum number of random members whose records a contact sends to a joining node.
constexpr std::size_t kReferralCount = 4;
/// After an exchange that found more differing records than this, the next one starts after syncCatchUpPeriod.
constexpr std::size_t kSmallDifferenceRecords = 4;
/// Multiple of syncCatchUpPeriod before the next exchange when many buckets differ by few records. Such differences are mostly updates
/// that are still propagating by pushes.
constexpr int kPropagatingRetryFactor = 8;

/// Sends @a message if the anti-entropy budget covers its packed size.
/// @returns whether it was sent
bool trySend(const MembershipCall &call, const std::string &to, MembershipMessage message)
{
    if (!call.state.syncBudget.trySpend(call.now, packedSizeBound(message))) {
        return false;
    }
    call.out.push_back({to, std::move(message)});
    return true;
}

/// Opens an anti-entropy exchange with @a to, or asks it for members when no other member is present.
void sendDigest(const MembershipCall &call, const std::string &to)
{
    auto message = makeMessage(call.state);
    const bool hasNoOtherMembers = call.state.view.others.empty();
    message.body = hasNoOtherMembers ? SyncDigest{} : SyncDigest{bucketHashes(call.state.view)};
    message.updates.push_back(updateOf(call.state.view, call.state.view.self, true));
    if (trySend(call, to, std::move(message))) {
        ++call.state.counters.syncsSent;
    }
}

/// Sends the records of @a members in as many messages as needed, until the anti-entropy budget is used up.
void sendRecords(const MembershipCall &call, const std::string &to, const std::vector<NodeId> &members)
{
    auto message = makeMessage(call.state);
    message.body = SyncRecords{};
    auto size = packedSizeBound(message);
    for (const auto id : members) {
        auto update = updateOf(call.state.view, id, true);
        const auto bytes = packedSizeBound(update);
        if (size + bytes > kMaxMessageBytes) {
            auto full = std::exchange(message.updates, {});
            size -= size - packedSizeBound(message);
            auto part = message;
            part.updates = std::move(full);
            if (!trySend(call, to, std::move(part))) {
                return;
            }
        }
        size += bytes;
        message.updates.push_back(std::move(update));
    }
    if (!message.updates.empty()) {
        trySend(call, to, std::move(message));
    }
}

using SummariesByBucket = std::array<std::vector<MemberSummary>, kSyncBuckets>;

SummariesByBucket summariesOf(const MemberView &view)
{
    SummariesByBucket summaries;
    for (const auto &[id, member] : view.members) {
        summaries[bucketOf(id)].push_back({id, member.info.incarnation, member.info.version, member.state});
    }
    return summaries;
}

std::vector<std::size_t> differingBuckets(const MemberView &view, const std::vector<std::uint64_t> &theirs)
{
    const auto ours = bucketHashes(view);
    std::vector<std::size_t> buckets;
    for (std::size_t n = 0; n < kSyncBuckets; ++n) {
        if (ours[n] != theirs[n]) {
            buckets.push_back(n);
        }
    }
    return buckets;
}

/// Sets the body of @a message to a summary of as many complete buckets as fit, starting at a random one.
void fillSummary(const MembershipCall &call, const std::vector<std::size_t> &buckets, MembershipMessage &message)
{
    SyncSummary body;
    const auto byBucket = summariesOf(call.state.view);
    const auto first = drawBelow(call.random, buckets.size());
    for (std::size_t n = 0; n < buckets.size(); ++n) {
        const auto bucket = buckets[(first + n) % buckets.size()];
        auto candidate = body;
        const auto &summaries = byBucket[bucket];
        candidate.members.insert(candidate.members.end(), summaries.begin(), summaries.end());
        candidate.buckets.push_back(static_cast<std::uint16_t>(bucket));
        message.body = candidate;
        if (packedSizeBound(message) <= kMaxMessageBytes) {
            body = std::move(candidate);
            continue;
        }
        body.isPartial = true;
        if (body.members.empty()) {
            // A single bucket is too large: list a random part of its members, but not the bucket as complete.
            body.members = summaries;
            std::shuffle(body.members.begin(), body.members.end(), call.random);
            while (message.body = body, packedSizeBound(message) > kMaxMessageBytes) {
                body.members.pop_back();
            }
        }
        break;
    }
    message.body = std::move(body);
}

/// Returns the present members of the complete buckets in @a body that @a body doesn't list.
std::vector<NodeId> unlistedMembers(const MemberView &view, const SyncSummary &body)
{
    std::unordered_set<NodeId> listed;
    for (const auto &it : body.members) {
        listed.insert(it.id);
    }
    std::vector<NodeId> unlisted;
    for (const auto &[id, member] : view.members) {
        const auto bucket = static_cast<std::uint16_t>(bucketOf(id));
        const bool isComplete = std::find(body.buckets.begin(), body.buckets.end(), bucket) != body.buckets.end();
        if (isComplete && member.isPresent() && !listed.contains(id)) {
            unlisted.push_back(id);
        }
    }
    return unlisted;
}

/// Returns random members for a joining node, so that the nodes of a fleet that starts at once don't all use its contacts.
/// Adds this node when fewer than kReferralCount distinct members were drawn.
std::vector<NodeId> drawReferrals(const MembershipCall &call)
{
    std::vector<NodeId> members;
    for (std::size_t n = 0; n < kReferralCount; ++n) {
        const auto id = drawOther(call.state.view, call.random);
        if (id.isValid() && std::find(members.begin(), members.end(), id) == members.end()) {
            members.push_back(id);
        }
    }
    if (members.size() < kReferralCount) {
        members.push_back(call.state.view.self);
    }
    return members;
}

bool isPresentMember(const MembershipState &state, const std::string &address)
{
    return std::any_of(state.view.members.begin(), state.view.members.end(),
                       [&address](const auto &it) { return it.second.isPresent() && it.second.info.address == address; });
}

/// Asks the next untried contact that isn't a present member.
void tickUntriedContacts(const MembershipCall &call)
{
    auto &untried = call.state.untriedContacts;
    while (!untried.empty()) {
        const auto address = std::move(untried.back());
        untried.pop_back();
        if (!isPresentMember(call.state, address)) {
            sendDigest(call, address);
            return;
        }
    }
}

void tickContacts(const MembershipCall &call)
{
    auto &state = call.state;
    tickUntriedContacts(call);
    if (call.now < state.nextContactAt || state.options.contacts.empty()) {
        return;
    }
    const bool hasNoOtherMembers = state.view.others.empty();
    state.nextContactAt = call.now + jittered(hasNoOtherMembers ? kFirstContactPeriod : state.options.contactPeriod, call.random);
    const auto &address = state.options.contacts[drawBelow(call.random, state.options.contacts.size())];
    if (!isPresentMember(state, address)) {
        sendDigest(call, address);
    }
}

} // namespace

void tickSync(const MembershipCall &call)
{
    auto &state = call.state;
    tickContacts(call);
    if (call.now < state.nextSyncAt) {
        return;
    }
    const auto id = drawOther(state.view, call.random);
    state.nextSyncAt = call.now + jittered(id.isValid() ? state.options.syncPeriod : state.options.syncCatchUpPeriod, call.random);
    if (id.isValid()) {
        sendDigest(call, state.view.members.at(id).info.address);
    }
}

void handleSyncDigest(const MembershipCall &call, const std::string &from, const SyncDigest &body)
{
    auto &state = call.state;
    if (body.buckets.empty()) {
        sendRecords(call, from, drawReferrals(call));
        return;
    }
    if (body.buckets.size() != kSyncBuckets) {
        return;
    }
    auto message = makeMessage(state);
    message.body = SyncSummary{};
    const auto buckets = differingBuckets(state.view, body.buckets);
    if (buckets.empty()) {
        dropQueuedBefore(state.queue, call.now - state.options.dropAgeOnEqualViews);
    } else {
        fillSummary(call, buckets, message);
    }
    trySend(call, from, std::move(message));
}

void handleSyncSummary(const MembershipCall &call, const std::string &from, const SyncSummary &body)
{
    auto &state = call.state;
    if (body.buckets.empty() && body.members.empty()) {
        dropQueuedBefore(state.queue, call.now - state.options.dropAgeOnEqualViews);
        return;
    }
    std::vector<NodeId> neededRecords;
    std::vector<NodeId> newerHere = unlistedMembers(state.view, body);
    for (const auto &it : body.members) {
        if (isOutdated(state.view, it)) {
            newerHere.push_back(it.id);
            continue;
        }
        const MemberUpdate claim{.id = it.id, .incarnation = it.incarnation, .version = it.version, .state = it.state};
        if (handleClaim(call, claim) == ClaimEffect::NeedsRecord) {
            neededRecords.push_back(it.id);
        }
    }
    const auto differingRecords = neededRecords.size() + newerHere.size();
    // A new node may receive records from many members at once; sending random parts avoids that all send the same records.
    std::shuffle(newerHere.begin(), newerHere.end(), call.random);
    newerHere.resize(std::min(newerHere.size(), kMaxRecordsPerExchange));
    if (differingRecords > kSmallDifferenceRecords) {
        state.nextSyncAt = call.now + jittered(state.options.syncCatchUpPeriod, call.random);
    } else if (body.isPartial) {
        state.nextSyncAt = call.now + jittered(kPropagatingRetryFactor * state.options.syncCatchUpPeriod, call.random);
    }
    sendRecords(call, from, newerHere);
    requestRecords(call, from, std::move(neededRecords));
}

void handleSyncRecordRequest(const MembershipCall &call, const std::string &from, const SyncRecordRequest &body)
{
    std::vector<NodeId> membersInView;
    for (const auto id : body.members) {
        if (call.state.view.members.contains(id)) {
            membersInView.push_back(id);
        }
    }
    sendRecords(call, from, membersInView);
}

void requestRecords(const MembershipCall &call, const std::string &to, std::vector<NodeId> members)
{
    if (members.empty()) {
        return;
    }
    members.resize(std::min(members.size(), kMaxRecordsPerExchange));
    auto message = makeMessage(call.state);
    message.body = SyncRecordRequest{std::move(members)};
    trySend(call, to, std::move(message));
}

} // namespace chicoryspar
