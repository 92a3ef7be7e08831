/// @file
/// Entry points of the membership state machine.

#include "membership/membership_state.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace chicoryspar {
namespace {

/// Interval between removals of members that died or left long ago.
constexpr Duration kForgetPeriod = std::chrono::minutes(1);

Member makeSelf(const MembershipOptions &options, TimePoint now, Random &random)
{
    Member self{.info = options.self, .state = MemberState::Alive, .since = now};
    self.info.incarnation = self.info.boot;
    self.info.version = self.info.boot << kVersionProcessBits | drawBelow(random, 1ULL << kVersionProcessBits);
    return self;
}

/// Passes the body of a message to its handler.
struct BodyDispatcher
{
    const MembershipCall &call;
    const std::string &from;

    void operator()(const Gossip &) const
    {
    }
    void operator()(const SyncRecords &) const
    {
    }
    void operator()(const Probe &body) const
    {
        handleProbe(call, from, body);
    }
    void operator()(const ProbeAck &body) const
    {
        handleProbeAck(call, body);
    }
    void operator()(const ProbeRequest &body) const
    {
        handleProbeRequest(call, from, body);
    }
    void operator()(const SyncDigest &body) const
    {
        handleSyncDigest(call, from, body);
    }
    void operator()(const SyncSummary &body) const
    {
        handleSyncSummary(call, from, body);
    }
    void operator()(const SyncRecordRequest &body) const
    {
        handleSyncRecordRequest(call, from, body);
    }
};

/// Empties the view and keeps the addresses of present members as contacts. After a pause longer than forgetAfter the other nodes
/// may have forgotten members that left meanwhile, so that this view would never receive their departure.
void forgetOtherMembers(MembershipState &state)
{
    std::vector<std::string> addresses;
    for (const auto id : state.view.others) {
        addresses.push_back(state.view.members.at(id).info.address);
    }
    auto &contacts = state.options.contacts;
    contacts.insert(contacts.end(), addresses.begin(), addresses.end());
    std::erase_if(state.view.members, [&state](const auto &it) { return it.first != state.view.self; });
    state.view.suspects.clear();
    state.view.others.clear();
    ++state.view.revision;
}

} // namespace

Membership::Membership(MembershipOptions options, TimePoint now, Random &random)
    : m_state(std::make_unique<MembershipState>())
{
    assert(options.self.id.isValid());
    assert(packedSizeBound(MemberUpdate{.info = options.self}) <= kMaxRecordBytes);
    auto &state = *m_state;
    state.view.self = options.self.id;
    state.view.members.emplace(options.self.id, makeSelf(options, now, random));
    state.pushBudget = {options.pushBytesPerSecond, options.pushBurstBytes, options.pushBurstBytes, now};
    state.syncBudget = {options.syncBytesPerSecond, options.syncBurstBytes, options.syncBurstBytes, now};
    state.lastTickAt = now;
    state.nextProbeAt =
        now + Duration(static_cast<Duration::rep>(drawBelow(random, static_cast<std::uint64_t>(options.probePeriod.count()))));
    state.nextSyncAt = now + jittered(options.syncCatchUpPeriod, random);
    state.nextContactAt = now;
    state.nextDeadProbeAt = now + jittered(options.deadProbePeriod, random);
    state.nextForgetAt = now + kForgetPeriod;
    state.lastForeignClaimAt = now - std::chrono::hours(1);
    state.options = std::move(options);
    enqueueUpdate(state.queue, now, state.view.self, true, true);
}

Membership::~Membership() = default;
Membership::Membership(Membership &&) noexcept = default;
Membership &Membership::operator=(Membership &&) noexcept = default;

void Membership::onTick(TimePoint now, Random &random, std::vector<OutgoingMessage> &out)
{
    auto &state = *m_state;
    const auto gap = now - state.lastTickAt;
    if (gap > state.options.pauseThreshold) {
        onPaused(now, gap);
    }
    state.lastTickAt = now;
    const MembershipCall call{state, now, random, out};
    if (!state.isLeaving) {
        tickProbes(call);
        expireSuspicions(call);
        tickSync(call);
    }
    pushUrgent(call);
    if (now >= state.nextForgetAt) {
        state.nextForgetAt = now + kForgetPeriod;
        forgetRemoved(state.view, now, state.options.forgetAfter);
    }
}

void Membership::onMessage(TimePoint now, Random &random, const std::string &from, const MembershipMessage &message,
                           std::vector<OutgoingMessage> &out)
{
    if (!message.from.isValid() || message.from == m_state->view.self) {
        return;
    }
    const MembershipCall call{*m_state, now, random, out};
    handleUpdates(call, from, message);
    std::visit(BodyDispatcher{call, from}, message.body);
}

void Membership::announceSelf(TimePoint now, Random &random, std::string_view service, std::uint32_t slots, BackendReadiness readiness,
                              std::vector<OutgoingMessage> &out)
{
    auto &info = m_state->view.members.at(m_state->view.self).info;
    if (info.service == service && info.slots == slots && info.readiness == readiness) {
        return;
    }
    info.service = service;
    info.slots = slots;
    info.readiness = readiness;
    const MembershipCall call{*m_state, now, random, out};
    publishSelf(call);
    pushUrgent(call);
}

void Membership::leave(TimePoint now, Random &random, std::vector<OutgoingMessage> &out)
{
    auto &state = *m_state;
    if (state.isLeaving) {
        return;
    }
    state.isLeaving = true;
    auto &self = state.view.members.at(state.view.self);
    self.state = MemberState::Left;
    self.since = now;
    ++state.view.revision;
    enqueueUpdate(state.queue, now, state.view.self, false, true);
    pushUrgent({state, now, random, out});
}

void Membership::onPaused(TimePoint now, Duration gap)
{
    auto &state = *m_state;
    ++state.counters.pauses;
    state.lastTickAt = now;
    state.probe.reset();
    state.relays.clear();
    for (const auto id : state.view.suspects) {
        state.view.members.at(id).since += gap;
    }
    if (gap > state.options.forgetAfter) {
        forgetOtherMembers(state);
    }
    if (gap > state.options.suspicionTimeout && !state.isLeaving) {
        auto &info = state.view.members.at(state.view.self).info;
        info.boot += static_cast<std::uint64_t>(toMilliseconds(gap));
        info.incarnation = std::max(info.incarnation + 1, info.boot);
        info.version = nextVersion(info.version, 0);
        ++state.view.revision;
        enqueueUpdate(state.queue, now, state.view.self, true, true);
    }
}

void Membership::setContacts(std::vector<std::string> contacts)
{
    m_state->untriedContacts = contacts;
    m_state->options.contacts = std::move(contacts);
}

void Membership::setConfigDigest(TimePoint now, Random &random, std::uint64_t digest, std::string payload,
                                 std::vector<OutgoingMessage> &out)
{
    assert(payload.size() <= kMaxConfigPayload);
    auto &state = *m_state;
    if (state.configDigest == digest && state.configPayload == payload) {
        return;
    }
    state.isConfigDigestUnsent = state.configDigest != digest;
    state.configDigest = digest;
    state.configPayload = std::move(payload);
    pushUrgent({state, now, random, out});
}

void Membership::sendOwnRecord(TimePoint, NodeId node, std::vector<OutgoingMessage> &out)
{
    auto &state = *m_state;
    const auto *member = find(node);
    if (member == nullptr || node == state.view.self || member->info.address.empty()) {
        return;
    }
    auto message = makeMessage(state);
    message.updates.push_back(updateOf(state.view, state.view.self, true));
    out.push_back({member->info.address, std::move(message)});
}

void Membership::requestConfigDigest(TimePoint, NodeId node, std::vector<OutgoingMessage> &out)
{
    const auto *member = find(node);
    if (member == nullptr || node == m_state->view.self || member->info.address.empty()) {
        return;
    }
    auto message = makeMessage(*m_state);
    // Regular probes never use sequence 0, so the acknowledgement carries the digest and has no effect on a pending probe.
    message.body = Probe{0, node};
    out.push_back({member->info.address, std::move(message)});
}

const MemberInfo &Membership::self() const
{
    return m_state->view.members.at(m_state->view.self).info;
}

const Member *Membership::find(NodeId id) const
{
    const auto it = m_state->view.members.find(id);
    return it == m_state->view.members.end() ? nullptr : &it->second;
}

std::vector<const Member *> Membership::members() const
{
    std::vector<const Member *> members;
    for (const auto &[id, member] : m_state->view.members) {
        if (!member.info.name.empty()) {
            members.push_back(&member);
        }
    }
    return members;
}

std::size_t Membership::presentCount() const
{
    return m_state->view.others.size() + (m_state->isLeaving ? 0 : 1);
}

std::vector<MemberChange> Membership::takeChanges()
{
    return std::exchange(m_state->view.changes, {});
}

std::uint64_t Membership::revision() const
{
    return m_state->view.revision;
}

std::uint64_t Membership::viewDigest() const
{
    const auto hashes = bucketHashes(m_state->view);
    return hashBytes({reinterpret_cast<const char *>(hashes.data()), hashes.size() * sizeof hashes[0]});
}

const MembershipCounters &Membership::counters() const
{
    return m_state->counters;
}

std::size_t Membership::memoryBytes() const
{
    constexpr std::size_t kMapNodeBytes = 48;
    auto bytes = sizeof(MembershipState) + m_state->queue.updates.capacity() * sizeof(PendingUpdate);
    bytes += (m_state->view.others.capacity() + m_state->probeOrder.capacity()) * sizeof(NodeId);
    for (const auto &[id, member] : m_state->view.members) {
        const auto &info = member.info;
        bytes += kMapNodeBytes + sizeof(id) + sizeof(member);
        for (const auto *it : {&info.name, &info.region, &info.zone, &info.address, &info.operators, &info.service}) {
            bytes += it->capacity() + 1;
        }
    }
    return bytes;
}

} // namespace chicoryspar
