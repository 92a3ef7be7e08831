/// @file
/// Direct and indirect probes of present members, and probes of dead members.

#include "membership/membership_state.h"

#include <algorithm>

namespace chicoryspar {
namespace {

/// Maximum number of pending probes on behalf of other members.
constexpr std::size_t kMaxRelayedProbes = 64;

std::string addressOf(const MembershipState &state, NodeId id)
{
    return state.view.members.at(id).info.address;
}

std::uint32_t sendProbe(const MembershipCall &call, NodeId target, const std::string &address)
{
    auto &state = call.state;
    auto message = makeMessage(state);
    message.body = Probe{++state.lastSequence, target};
    const auto it = state.view.members.find(target);
    if (it != state.view.members.end() && it->second.state != MemberState::Alive) {
        message.updates.push_back(updateOf(state.view, target, false));
    }
    ++state.counters.probesSent;
    sendWithUpdates(call, address, std::move(message));
    return state.lastSequence;
}

/// Returns the next member of a shuffled list of all present members, so that each comes up once per round; some members of other
/// regions are skipped, see acceptsRegion(). Returns an invalid identifier when no other member is present.
NodeId nextTarget(const MembershipCall &call)
{
    auto &state = call.state;
    while (true) {
        if (state.probeOrder.empty()) {
            state.probeOrder = state.view.others;
            std::shuffle(state.probeOrder.begin(), state.probeOrder.end(), call.random);
        }
        if (state.probeOrder.empty()) {
            return {};
        }
        const auto id = state.probeOrder.back();
        state.probeOrder.pop_back();
        const auto it = state.view.members.find(id);
        if (it != state.view.members.end() && it->second.isPresent() && acceptsRegion(call, id)) {
            return id;
        }
    }
}

void startProbe(const MembershipCall &call)
{
    auto &state = call.state;
    const auto target = nextTarget(call);
    if (!target.isValid()) {
        return;
    }
    const auto sequence = sendProbe(call, target, addressOf(state, target));
    state.probe = PendingProbe{.sequence = sequence, .target = target, .sentAt = call.now};
}

void requestIndirectProbes(const MembershipCall &call)
{
    auto &state = call.state;
    state.probe->areIndirectProbesSent = true;
    for (int n = 0; n < state.options.probeHelpers; ++n) {
        const auto helper = drawOther(state.view, call.random);
        if (!helper.isValid() || helper == state.probe->target) {
            continue;
        }
        auto message = makeMessage(state);
        message.body = ProbeRequest{state.probe->sequence, state.probe->target, addressOf(state, state.probe->target)};
        sendWithUpdates(call, addressOf(state, helper), std::move(message));
    }
}

void finishProbe(const MembershipCall &call)
{
    auto &state = call.state;
    if (state.probe && !state.probe->isAcked) {
        ++state.counters.probesFailed;
        suspectMember(call, state.probe->target);
    }
    state.probe.reset();
}

void probeLocalSuspects(const MembershipCall &call)
{
    auto &state = call.state;
    std::erase_if(state.suspicions, [&state](const LocalSuspicion &it) {
        const auto found = state.view.members.find(it.target);
        return found == state.view.members.end() || found->second.state != MemberState::Suspect;
    });
    for (auto &it : state.suspicions) {
        if (call.now >= it.nextProbeAt) {
            it.nextProbeAt = call.now + state.options.probePeriod;
            sendProbe(call, it.target, addressOf(state, it.target));
        }
    }
}

void probeRandomDead(const MembershipCall &call)
{
    std::vector<NodeId> dead;
    for (const auto &[id, member] : call.state.view.members) {
        if (member.state == MemberState::Dead && !member.info.address.empty()) {
            dead.push_back(id);
        }
    }
    // With this probability all present members together probe each dead member about twice per period.
    const auto probability = 2.0 * static_cast<double>(dead.size()) / static_cast<double>(call.state.view.others.size() + 1);
    if (!dead.empty() && drawUnit(call.random) < probability) {
        const auto id = dead[drawBelow(call.random, dead.size())];
        sendProbe(call, id, addressOf(call.state, id));
    }
}

} // namespace

void tickProbes(const MembershipCall &call)
{
    auto &state = call.state;
    std::erase_if(state.relays, [&call](const RelayedProbe &it) { return call.now >= it.expiresAt; });
    if (call.now >= state.nextProbeAt) {
        finishProbe(call);
        startProbe(call);
        state.nextProbeAt = std::max(state.nextProbeAt + state.options.probePeriod, call.now);
    }
    const auto &probe = state.probe;
    if (probe && !probe->isAcked && !probe->areIndirectProbesSent && call.now - probe->sentAt >= state.options.probeTimeout) {
        requestIndirectProbes(call);
    }
    probeLocalSuspects(call);
    if (call.now >= state.nextDeadProbeAt) {
        state.nextDeadProbeAt = call.now + jittered(state.options.deadProbePeriod, call.random);
        probeRandomDead(call);
    }
}

void handleProbe(const MembershipCall &call, const std::string &from, const Probe &body)
{
    // The probe may be for another node that used this address before.
    if (body.target != call.state.view.self) {
        return;
    }
    auto message = makeMessage(call.state);
    message.body = ProbeAck{body.sequence, body.target};
    sendWithUpdates(call, from, std::move(message));
}

void handleProbeAck(const MembershipCall &call, const ProbeAck &body)
{
    auto &state = call.state;
    if (state.probe && state.probe->sequence == body.sequence && state.probe->target == body.target) {
        state.probe->isAcked = true;
    }
    const auto it = std::find_if(state.relays.begin(), state.relays.end(), [&body](const RelayedProbe &relay) {
        return relay.sequence == body.sequence && relay.target == body.target;
    });
    if (it == state.relays.end()) {
        return;
    }
    auto message = makeMessage(state);
    message.body = ProbeAck{it->originSequence, body.target};
    const auto origin = it->originAddress;
    state.relays.erase(it);
    sendWithUpdates(call, origin, std::move(message));
}

void handleProbeRequest(const MembershipCall &call, const std::string &from, const ProbeRequest &body)
{
    auto &state = call.state;
    if (state.relays.size() >= kMaxRelayedProbes) {
        return;
    }
    const auto sequence = sendProbe(call, body.target, body.targetAddress);
    state.relays.push_back({sequence, body.target, from, body.sequence, call.now + state.options.probePeriod});
}

} // namespace chicoryspar
